//! A workspace that asks for little, beside others whose prompts fill the engines beyond their limits.

mod common;

use std::time::Duration;

use balance::Decision;
use balance::Grant;
use balance::Load;
use balance::Origin;
use balance::Outcome;
use balance::Part;
use balance::Prompt;
use balance::Request;
use balance::Ticket;
use balance::Work;
use base::Name;
use indexmap::IndexMap;

use crate::common::SERVICE;
use crate::common::core;
use crate::common::ms;
use crate::common::request;

/// The routers.
const ROUTERS: usize = 82;
/// The engines.
const ENGINES: usize = 60;
/// The prompt tokens that an engine reads in a millisecond.
const TOKENS_PER_MS: u64 = 61;
/// The time between two reports, in milliseconds.
const INTERVAL_MS: u64 = 300;
/// The start and the length of the replay, in milliseconds.
const START_MS: u64 = 100_000;
const LENGTH_MS: u64 = 6_000;
/// The time between two requests of a workspace that asks for little, in milliseconds.
const PERIOD_MS: u64 = 100;
/// The time between two requests of a workspace that asks for most of its share, in milliseconds.
const SHORT_PERIOD_MS: u64 = 10;
/// The lengths of its prompts, in tokens; the mean is 8,000.
const PROMPTS: [u64; 4] = [2_000, 4_000, 8_000, 18_000];
/// The time to the target of each of its requests.
const TIME_TO_TARGET: Duration = Duration::from_millis(1_200);
/// The time for which an engine generates an answer.
const GENERATION: Duration = Duration::from_millis(900);

/// Returns the load that other routers have at an engine: from 1.3 to 1.9 of its limit on waiting prompt tokens, and 0.25 of
/// that on running requests.
fn reported_load(limit: u64, engine: usize) -> Load {
    let backlog = limit * (13 + engine as u64 % 7) / 10;
    Load { running: 16, backlog, memory: 90_000 }
}

/// A request that an engine runs.
struct Running {
    grant: Grant,
    sent_at: Duration,
    first_token_at: Option<Duration>,
    ends_at: Duration,
}

fn small_request(now: Duration, number: usize) -> Request {
    let input = PROMPTS[number % PROMPTS.len()];
    let parts = vec![Part { id: 1_000 + number as u64, tokens: input }];
    let prompt = Prompt { input, output: 120, expected: Some(40), parts };
    let target = now + TIME_TO_TARGET;
    Request { prompt: Some(prompt), target, ..request(now, "small", 1, 1) }
}

/// Returns the work that a workspace at one router asks for in six seconds with a request each `period_ms`, and what it is granted, while others are granted
/// some ten million tokens and engines are reported beyond their limit on waiting prompt tokens.
fn replay(period_ms: u64) -> (u64, u64) {
    let service = Name::new(SERVICE);
    let mut core = core("router-0", ENGINES);
    let others: Vec<Name> = (1..ROUTERS).map(|n| Name::new(&format!("router-{n}"))).collect();
    core.set_peers(Duration::ZERO, others.clone());
    core.set_report_interval(ms(INTERVAL_MS));
    let mut works = IndexMap::new();
    for (name, used) in [("large-0", 3_600_000), ("large-1", 900_000), ("large-2", 900_000)] {
        let used = used / others.len() as u64;
        let work = Work { used, contended: used, unmet: used / 2 };
        works.insert(Name::new(name), work);
    }
    let mut running: Vec<Running> = Vec::new();
    let mut waiting: IndexMap<Ticket, u64> = IndexMap::new();
    let (mut asked, mut granted) = (0, 0);
    for at in (0..LENGTH_MS).step_by(10) {
        let now = ms(START_MS + at);
        if at % INTERVAL_MS == 0 {
            core.record_state(now);
            for other in &others {
                core.usage.put(&Origin::Router(other.clone()), now, 1, works.clone());
            }
            let limit = core.service_loads().map(|(_, limit, _)| limit.limits().backlog).next();
            for engine in 0..ENGINES {
                let key = core.registry.find(&format!("engine-{engine}")).expect("known");
                let runner = core.registry.get_mut(key).expect("known");
                let load = reported_load(limit.unwrap_or(24_000), engine);
                runner.peer_loads.put(&Origin::Router(others[0].clone()), now, load);
            }
            core.confirm_report(now);
        }
        for running in &mut running {
            let Some(at) = running.first_token_at.take_if(|at| *at <= now) else { continue };
            let took = at.saturating_sub(running.sent_at);
            core.record_first_token(now, &mut running.grant, &service, took, TIME_TO_TARGET);
        }
        for ended in running.extract_if(.., |running| running.ends_at <= now) {
            core.release(now, &ended.grant, true);
        }
        let mut decided: Vec<(u64, Decision)> = core
            .process_queue(now)
            .into_iter()
            .map(|(ticket, decision)| (waiting.swap_remove(&ticket).expect("waiting"), decision))
            .collect();
        if at % period_ms == 0 {
            let request = small_request(now, (at / period_ms) as usize);
            let work = request.work();
            asked += work;
            match core.submit(now, request) {
                Outcome::Decided(decision) => decided.push((work, decision)),
                Outcome::Queued(ticket) => {
                    waiting.insert(ticket, work);
                }
            }
        }
        for (work, decision) in decided {
            let Decision::Granted(grant) = decision else { continue };
            granted += work;
            // The engine first reads the prompts that wait there: up to twice its limit.
            let backlog = core.registry.get(grant.runner).map_or(0, |runner| runner.load().backlog);
            let first_token_at = now + ms(backlog / TOKENS_PER_MS);
            let ends_at = first_token_at + GENERATION;
            running.push(Running {
                grant,
                sent_at: now,
                first_token_at: Some(first_token_at),
                ends_at,
            });
        }
    }
    (asked, granted)
}

/// Guards against a workspace that waits throughout because prompts of others keep each engine beyond its limit on waiting
/// prompt tokens.
///
/// In six seconds it gets half of what it asks, less three of the largest requests: others get far more.
#[test]
fn a_workspace_that_asks_for_little_gets_half_of_it_beside_engines_beyond_their_limits() {
    let (asked, granted) = replay(PERIOD_MS);
    let largest = small_request(ms(START_MS), PROMPTS.len() - 1).work();
    assert!(granted + 3 * largest >= asked / 2, "granted {granted} of {asked}");
}

/// The same for one that asks for more than half of its share, and has been granted much less than it is owed.
#[test]
fn a_workspace_far_behind_its_share_gets_half_of_what_it_asks_beside_engines_beyond_their_limits() {
    let (asked, granted) = replay(SHORT_PERIOD_MS);
    let largest = small_request(ms(START_MS), PROMPTS.len() - 1).work();
    assert!(granted + 3 * largest >= asked / 2, "granted {granted} of {asked}");
}
