//! Long prompts beside short ones at engines that are asked for more prompt tokens than they can process.

mod common;

use std::time::Duration;

use balance::Core;
use balance::Decision;
use balance::Grant;
use balance::Outcome;
use balance::Part;
use balance::Prompt;
use balance::Request;
use balance::Ticket;
use base::Name;
use indexmap::IndexMap;

use crate::common::SERVICE;
use crate::common::core;
use crate::common::ms;
use crate::common::request;

/// The engines.
const ENGINES: usize = 4;
/// The prompt tokens that an engine processes in a millisecond.
const TOKENS_PER_MS: u64 = 40;
/// The time for which an engine generates tokens.
const GENERATION: Duration = Duration::from_millis(400);
/// The start of the requests.
const START: Duration = Duration::from_secs(100);
/// The end of the requests.
const END: Duration = Duration::from_secs(115);
/// The time at which the limits have settled.
const SETTLED: Duration = Duration::from_secs(105);

/// The requests of one kind.
#[derive(Debug, Clone, Copy)]
struct Demand {
    tokens: u64,
    target: Duration,
    /// Requests in a second.
    rate: u64,
}

const SHORT: Demand = Demand { tokens: 600, target: Duration::from_millis(400), rate: 230 };
const LONG: Demand = Demand { tokens: 9_000, target: Duration::from_millis(800), rate: 20 };

/// A prompt that an engine processes, or whose answer it generates.
struct Running {
    grant: Grant,
    target: Duration,
    sent_at: Duration,
    first_token: Option<Duration>,
}

/// One router and its engines, which process prompts in order of arrival.
struct Site {
    core: Core,
    random: u64,
    waiting: IndexMap<Ticket, Demand>,
    running: Vec<Running>,
    /// The time until which each engine processes prompts.
    busy_until: IndexMap<Name, Duration>,
    /// The requests asked and granted once the limits have settled, by the length of their prompts.
    counts: IndexMap<u64, (u64, u64)>,
}

impl Site {
    fn new(seed: u64) -> Self {
        Self {
            core: core("router", ENGINES),
            random: seed,
            waiting: IndexMap::new(),
            running: Vec::new(),
            busy_until: IndexMap::new(),
            counts: IndexMap::new(),
        }
    }

    fn draw(&mut self) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        self.random >> 33
    }

    fn play(&mut self) {
        let end = u64::try_from(END.as_millis()).expect("short");
        let start = u64::try_from(START.as_millis()).expect("short");
        for now in (start..end).map(ms) {
            self.advance(now);
            for demand in [SHORT, LONG] {
                if self.draw() % 1_000 < demand.rate {
                    self.submit(now, demand);
                }
            }
        }
    }

    fn submit(&mut self, now: Duration, demand: Demand) {
        if now >= SETTLED {
            self.counts.entry(demand.tokens).or_default().0 += 1;
        }
        let id = self.draw();
        match self.core.submit(now, prompt_request(now, id, demand)) {
            Outcome::Queued(ticket) => {
                self.waiting.insert(ticket, demand);
            }
            Outcome::Decided(decision) => self.record(now, decision, demand),
        }
    }

    fn record(&mut self, now: Duration, decision: Decision, demand: Demand) {
        let Decision::Granted(grant) = decision else { return };
        if now >= SETTLED {
            self.counts.entry(demand.tokens).or_default().1 += 1;
        }
        let busy_until = self.busy_until.entry(grant.id.clone()).or_default();
        *busy_until = now.max(*busy_until) + ms(demand.tokens / TOKENS_PER_MS);
        let first_token = Some(*busy_until);
        let target = demand.target;
        self.running.push(Running { grant, target, sent_at: now, first_token });
    }

    fn advance(&mut self, now: Duration) {
        let service = Name::new(SERVICE);
        for running in &mut self.running {
            let Some(at) = running.first_token.take_if(|at| *at <= now) else { continue };
            let (took, target) = (at - running.sent_at, running.target);
            self.core.record_first_token(now, &mut running.grant, &service, took, target);
            running.sent_at = at;
        }
        let is_ended = |running: &Running| {
            running.first_token.is_none() && running.sent_at + GENERATION <= now
        };
        let (ended, running) = std::mem::take(&mut self.running).into_iter().partition(is_ended);
        self.running = running;
        for Running { grant, .. } in ended {
            self.core.release(now, &grant, true);
        }
        for (ticket, decision) in self.core.process_queue(now) {
            let demand = self.waiting.swap_remove(&ticket).expect("waiting");
            self.record(now, decision, demand);
        }
    }

    /// Returns the fractions granted of what was asked: of the tokens of all prompts, of short ones and of long ones.
    fn fractions(&self) -> (f64, f64, f64) {
        let of = |demand: Demand| {
            let (asked, granted) = self.counts[&demand.tokens];
            (asked as f64, granted as f64)
        };
        let (short, long) = (of(SHORT), of(LONG));
        let sum = |short, long| SHORT.tokens as f64 * short + LONG.tokens as f64 * long;
        let all = sum(short.1, long.1) / sum(short.0, long.0);
        (all, short.1 / short.0, long.1 / long.0)
    }
}

fn prompt_request(now: Duration, id: u64, demand: Demand) -> Request {
    let prompt = Prompt {
        input: demand.tokens,
        output: 60,
        expected: Some(20),
        parts: vec![Part { id, tokens: demand.tokens }],
    };
    let target = now + demand.target;
    Request { prompt: Some(prompt), target, ..request(now, "wall", 1, 1) }
}

/// Both are owed the same part of what they ask; each gets at least half of that part.
#[test]
fn long_prompts_are_not_passed_by_all_short_ones_of_their_workspace() {
    for seed in 1..=4 {
        let mut site = Site::new(seed);
        site.play();
        let (all, short, long) = site.fractions();
        let seen = format!("seed {seed}: {all:.2} of all tokens, {short:.2} short, {long:.2} long");
        assert!(short * 2.0 >= all && long * 2.0 >= all, "{seen}");
        assert!(all >= 0.4, "engines can process half of it; {seen}");
    }
}
