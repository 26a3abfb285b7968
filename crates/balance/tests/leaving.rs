//! How late the routers of a zone know that a runner leaves: replays of their decisions over time.

mod common;

use std::time::Duration;

use balance::Candidate;
use balance::Changes;
use balance::Decision;
use balance::Extent;
use balance::Identity;
use balance::MemberStatus;
use balance::Members;
use balance::Outcome;
use balance::ReadSchedule;
use balance::Record;
use balance::Registration;
use balance::Registry;
use balance::Removal;
use balance::Report;
use balance::Start;
use balance::StoreContact;
use balance::TopicView;
use base::Name;

use crate::common::SERVICE;
use crate::common::ms;
use crate::common::registration;

const RUNNER: &str = "engine-1";
/// The numbers of routers of a zone.
const SMALL_ZONE: usize = 4;
const LARGE_ZONE: usize = 10;
/// The number of zones, each with readers of its own.
const ZONES: usize = 3;
/// The interval between two reads of a reader.
const READ_INTERVAL: Duration = ms(600);
/// The interval between two heartbeats.
const PERIOD: Duration = ms(50);
/// How long the store and other routers take to answer.
const ANSWER_TIME: Duration = ms(5);
/// How long a router waits for the records of another one that does not answer.
const FETCH_TIMEOUT: Duration = ms(500);
/// The time after the store has accepted that a runner leaves from which on it gets no more requests.
const LEAVING_BOUND: Duration = ms(2_000);
/// The time at which the store accepts that the runner leaves.
const LEFT_AT: Duration = ms(4_000);
/// The time that a request which has been given a runner may take until it reaches it.
const DELIVERY_TIME: Duration = ms(250);
const STEP: Duration = ms(5);

/// Random numbers of a replay.
struct Random(u64);

impl Random {
    const fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, limit: Duration) -> Duration {
        ms(self.next() % limit.as_millis() as u64)
    }

    fn index(&mut self, count: usize) -> usize {
        (self.next() % count as u64) as usize
    }
}

/// How the runner of a replay leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Departure {
    /// It reports that it is draining.
    Reported,
    /// Its registration is removed.
    Removed,
}

/// The records that the store has accepted: when, and whether it is the one of the leaving runner.
struct Store {
    records: Vec<(Duration, bool)>,
    departure: Departure,
}

impl Store {
    /// Returns a store that accepts a change of some runner every `interval`.
    fn new(interval: Duration, departure: Departure) -> Self {
        let times = (1..).map(|number| interval * number);
        let times: Vec<_> = times.take_while(|at| *at < 2 * LEFT_AT).collect();
        let mut records: Vec<_> = times.into_iter().map(|at| (at, false)).collect();
        records.push((LEFT_AT, true));
        records.sort_unstable();
        Self { records, departure }
    }

    fn end(&self, now: Duration) -> u64 {
        self.records.iter().filter(|(at, _)| *at <= now).count() as u64
    }

    /// Returns the position after the record of the leaving runner, if it is one of the first `position`.
    fn left_before(&self, position: u64) -> Option<u64> {
        let read = self.records.iter().take(position as usize);
        read.zip(1..).find(|((_, is_leaving), _)| *is_leaving).map(|(_, position)| position)
    }
}

/// Where a read goes to.
#[derive(Clone, Copy)]
enum Source {
    Store,
    Router(usize),
}

/// A read that has begun.
struct Read {
    source: Source,
    started_at: Duration,
    done_at: Duration,
}

struct Node {
    name: String,
    schedule: ReadSchedule,
    contact: StoreContact,
    members: Members,
    registry: Registry,
    read: Option<Read>,
    next_heartbeat: Duration,
    sequence: u64,
    frozen_from: Duration,
    known_at: Option<Duration>,
}

impl Node {
    fn new(number: usize, routers: usize, random: &mut Random) -> Self {
        let mut members = Members::default();
        for other in (0..routers).filter(|other| *other != number) {
            members.put(Duration::ZERO, &name(other), identity(other));
        }
        let mut registry = Registry::default();
        registry.put(Duration::ZERO, &registration(RUNNER));
        let mut schedule = ReadSchedule::default();
        schedule.begin_read(random.below(READ_INTERVAL));
        Self {
            name: name(number),
            schedule,
            contact: StoreContact::default(),
            members,
            registry,
            read: None,
            next_heartbeat: random.below(PERIOD),
            sequence: 0,
            frozen_from: Duration::MAX,
            known_at: None,
        }
    }

    fn is_frozen(&self, now: Duration) -> bool {
        now >= self.frozen_from
    }

    fn is_reader(&self, now: Duration) -> bool {
        let candidate = |name| Candidate { name, reaches_store: true };
        let alive = self.members.iter().filter(|member| member.is_alive(now));
        let others = alive.map(|member| candidate(member.identity.name.as_str()));
        balance::is_reader(1, candidate(&self.name), others, ZONES)
    }

    /// Begins a read if one is due.
    fn begin_read(&mut self, now: Duration, random: &mut Random) {
        let is_reader = self.is_reader(now);
        if self.read.is_some() || now < self.schedule.next_read(is_reader, READ_INTERVAL, PERIOD) {
            return;
        }
        self.schedule.begin_read(now);
        let source = self.source(now, random).map_or(Source::Store, Source::Router);
        self.read = Some(Read { source, started_at: now, done_at: now + ANSWER_TIME });
    }

    fn source(&self, now: Duration, random: &mut Random) -> Option<usize> {
        let asks_router = self.contact.is_lost() || !self.is_reader(now);
        if !asks_router || !self.schedule.is_behind() {
            return None;
        }
        let (zone, from) = (Name::new("north"), self.schedule.position());
        let reported = self.schedule.reported();
        let salt = random.index(usize::MAX);
        let member = balance::source(&self.members, now, &zone, 0, from, reported, salt)?;
        member.identity.name.as_str().strip_prefix("router-")?.parse().ok()
    }

    fn apply(&mut self, now: Duration, store: &Store, read: &Read, position: u64) {
        let extent = match read.source {
            Source::Store => Extent::All,
            Source::Router(_) => Extent::Partial,
        };
        if extent == Extent::All {
            self.contact.record_success();
        }
        let position = position.max(self.schedule.position());
        let changes = Changes::untold(position);
        self.schedule.record_read(read.started_at, position, changes, extent);
        match (store.left_before(position), store.departure) {
            (Some(left), Departure::Removed) => {
                self.registry.expire(now, &Name::new(RUNNER), left);
            }
            (Some(left), Departure::Reported) => {
                let mut leaving = registration(RUNNER);
                (leaving.is_draining, leaving.sequence, leaving.position) = (true, 2, left);
                self.registry.put(now, &leaving);
            }
            (None, _) => (),
        }
    }

    fn record_knowledge(&mut self, now: Duration) {
        if self.registry.serving(SERVICE).count() == 0 && self.known_at.is_none() {
            self.known_at = Some(now);
        }
    }
}

fn name(number: usize) -> String {
    format!("router-{number}")
}

fn identity(number: usize) -> Identity {
    Identity {
        name: Name::new(&name(number)),
        incarnation: 1,
        peers: "127.0.0.1:1".parse().expect("an address"),
        callers: "127.0.0.1:2".parse().expect("an address"),
        share_milli: 250,
        key: String::new(),
        zone: Some(Name::new("north")),
        records: Some("127.0.0.1:3".parse().expect("an address")),
    }
}

/// What a heartbeat says.
struct Heartbeat {
    sender: usize,
    sequence: u64,
    report: Report,
    leaving: Vec<Start>,
    removals: Vec<Removal>,
}

fn heartbeat(node: &mut Node, sender: usize, now: Duration) -> Heartbeat {
    node.next_heartbeat = now + PERIOD;
    node.sequence += 1;
    let age = node.schedule.age(now);
    Heartbeat {
        sender,
        sequence: node.sequence,
        report: Report {
            changes: node.schedule.changes(),
            as_of: age.map(|age| now - age),
            tells: true,
        },
        leaving: node.registry.leaving().collect(),
        removals: node.registry.removals(now).copied().collect(),
    }
}

fn receive(node: &mut Node, now: Duration, heartbeat: &Heartbeat) {
    let sender = name(heartbeat.sender);
    let status = MemberStatus { reaches_store: true, ..MemberStatus::default() };
    node.members.record_heartbeat(now, &sender, 1, heartbeat.sequence, status);
    node.members.record_last_changes(&sender, vec![heartbeat.report.changes.last]);
    node.schedule.record_report(&heartbeat.report);
    for start in &heartbeat.leaving {
        node.registry.record_leaving(now, *start);
    }
    for removal in &heartbeat.removals {
        node.registry.record_removal(now, *removal);
    }
}

/// Ends the reads that are done, and asks the store instead of a router that has not answered.
fn finish_reads(nodes: &mut [Node], now: Duration, store: &Store) {
    for index in 0..nodes.len() {
        let Some(read) = nodes[index].read.take_if(|read| now >= read.done_at) else { continue };
        let frozen = match read.source {
            Source::Router(other) => nodes[other].is_frozen(now),
            Source::Store => false,
        };
        if frozen && now < read.started_at + FETCH_TIMEOUT {
            let done_at = read.started_at + FETCH_TIMEOUT;
            nodes[index].read = Some(Read { done_at, ..read });
        } else if frozen {
            let read = Read { source: Source::Store, started_at: now, done_at: now + ANSWER_TIME };
            nodes[index].read = Some(read);
        } else {
            let position = match read.source {
                Source::Store => store.end(read.started_at),
                Source::Router(other) => nodes[other].schedule.position(),
            };
            nodes[index].apply(now, store, &read, position);
        }
    }
}

/// What a replay has beside the leaving runner.
#[derive(Clone, Copy)]
struct Faults {
    /// The number of routers that the store rejects.
    lost: usize,
    /// Whether a router freezes at about the time at which the runner leaves.
    freezes_one: bool,
}

/// Replays a zone and returns how late the last router that was not frozen knew that the runner leaves.
fn replay(seed: u64, routers: usize, faults: Faults, departure: Departure) -> Duration {
    let mut random = Random(seed);
    let interval = ms(40) + random.below(ms(400));
    let store = Store::new(interval, departure);
    let numbers = 0..routers;
    let mut nodes: Vec<Node> =
        numbers.map(|number| Node::new(number, routers, &mut random)).collect();
    for node in nodes.iter_mut().take(faults.lost) {
        node.contact.record_failure(Duration::ZERO, 10 * LEFT_AT);
    }
    if faults.freezes_one {
        let frozen = random.index(routers);
        nodes[frozen].frozen_from = LEFT_AT - ms(500) + random.below(ms(2_000));
    }
    let mut now = Duration::ZERO;
    while now < LEFT_AT + 2 * LEAVING_BOUND {
        now += STEP;
        finish_reads(&mut nodes, now, &store);
        send_heartbeats(&mut nodes, now);
        for node in nodes.iter_mut().filter(|node| !node.is_frozen(now)) {
            node.begin_read(now, &mut random);
            node.record_knowledge(now);
        }
    }
    let running = nodes.iter().filter(|node| !node.is_frozen(now));
    let known = running.map(|node| node.known_at.map_or(Duration::MAX, |at| at - LEFT_AT));
    known.max().unwrap_or_default()
}

fn send_heartbeats(nodes: &mut [Node], now: Duration) {
    for sender in 0..nodes.len() {
        if nodes[sender].is_frozen(now) || now < nodes[sender].next_heartbeat {
            continue;
        }
        let heartbeat = heartbeat(&mut nodes[sender], sender, now);
        let others = nodes.iter_mut().enumerate().filter(|(other, _)| *other != sender);
        others.for_each(|(_, node)| receive(node, now, &heartbeat));
    }
}

/// Asserts that in many replays each router knows early enough that no request reaches the runner too late.
fn assert_known_in_time(routers: usize, faults: Faults) {
    for departure in [Departure::Reported, Departure::Removed] {
        let replays = (0..100).map(|seed| (replay(seed, routers, faults, departure), seed));
        let (late, seed) = replays.max().unwrap_or_default();
        assert!(late < LEAVING_BOUND - DELIVERY_TIME, "{departure:?}: {late:?} with seed {seed}");
    }
}

#[test]
fn all_routers_know_in_time_that_a_runner_leaves() {
    for routers in [SMALL_ZONE, LARGE_ZONE] {
        assert_known_in_time(routers, Faults { lost: 0, freezes_one: false });
        assert_known_in_time(routers, Faults { lost: 0, freezes_one: true });
    }
}

#[test]
fn routers_that_had_lost_the_store_know_in_time_that_a_runner_leaves() {
    for routers in [SMALL_ZONE, LARGE_ZONE] {
        assert_known_in_time(routers, Faults { lost: routers - 1, freezes_one: false });
    }
}

#[test]
fn routers_that_had_lost_the_store_know_in_time_that_a_runner_leaves_while_another_is_frozen() {
    for routers in [SMALL_ZONE, LARGE_ZONE] {
        assert_known_in_time(routers, Faults { lost: routers - 1, freezes_one: true });
    }
}

#[test]
fn a_removal_that_a_router_tells_of_holds_until_a_later_registration() {
    let mut registry = Registry::default();
    let before = Registration { position: 4, ..registration(RUNNER) };
    registry.put(ms(1), &before);
    let removal = Removal { start: before.start(), position: 6, at: ms(2) };
    assert_eq!(registry.record_removal(ms(2), removal), Some(Name::new(RUNNER)));
    assert_eq!(registry.put(ms(3), &Registration { position: 5, ..before.clone() }), None);
    assert!(registry.put(ms(4), &Registration { position: 7, ..before }).is_some());
    assert_eq!(registry.record_removal(ms(5), removal), None, "it was known");
    assert_eq!(registry.serving(SERVICE).count(), 1);
}

#[test]
fn a_runner_of_which_a_router_tells_that_it_leaves_is_not_used_once_its_registration_is_read() {
    let mut registry = Registry::default();
    let ready = registration(RUNNER);
    assert_eq!(registry.record_leaving(ms(1), ready.start()), None, "it is not known yet");
    registry.put(ms(2), &ready);
    assert_eq!(registry.serving(SERVICE).count(), 0);
    registry.put(ms(3), &Registration { started_ms: 2, ..ready });
    assert_eq!(registry.serving(SERVICE).count(), 1, "its next start serves");
}

#[test]
fn routers_do_not_tell_each_other_of_a_removal_without_an_end() {
    let mut registries = [Registry::default(), Registry::default()];
    let start = registration(RUNNER).start();
    registries[0].record_removal(ms(0), Removal { start, position: 1, at: ms(0) });
    let mut told_until = Duration::ZERO;
    for now in (0..60_000).step_by(50).map(ms) {
        for (from, to) in [(0, 1), (1, 0)] {
            let told: Vec<Removal> = registries[from].removals(now).copied().collect();
            if !told.is_empty() {
                told_until = now;
            }
            // The time that a heartbeat takes makes what it tells seem younger.
            let late = told.iter().map(|removal| Removal { at: removal.at + ms(40), ..*removal });
            late.for_each(|removal| drop(registries[to].record_removal(now, removal)));
        }
        registries.iter_mut().for_each(|registry| registry.remove_expired(now));
    }
    assert!(told_until < Duration::from_secs(6), "{told_until:?}");
}

#[test]
fn others_need_not_read_what_heartbeats_tell_them() {
    let mut registry = Registry::default();
    let ready = registration(RUNNER);
    registry.put(ms(1), &ready);
    let leaving = Registration { is_draining: true, sequence: 2, ..ready.clone() };
    assert!(registry.is_told_by_heartbeats(ms(2), &leaving));
    let moved = Registration { started_ms: 7, ..leaving };
    assert!(!registry.is_told_by_heartbeats(ms(2), &moved));
    registry.put(ms(3), &Registration { is_draining: true, sequence: 2, ..ready });
    assert_eq!(registry.leaving().count(), 1);
}

#[test]
fn a_removal_that_was_told_is_no_change_once_it_is_read() {
    let record = |offset, value| Record { offset, key: RUNNER.to_owned(), value };
    let mut view = TopicView::default();
    view.apply(record(4, Some(b"ready".to_vec())));
    assert!(view.apply(record(6, None)).is_some(), "as told");
    assert_eq!(view.apply(record(6, None)), None, "as read");
    assert!(view.apply(record(9, Some(b"ready".to_vec()))).is_some(), "it registers again");
    assert!(view.apply(record(11, None)).is_some(), "another removal, that nobody tells");
}

#[test]
fn a_view_of_departures_is_current_while_it_is_recent_or_nothing_newer_can_be_known() {
    let mut core = common::core("router-1", 2);
    let limit = ms(1_750);
    core.registry.confirm(ms(1_000));
    assert!(core.knows_departures(ms(1_000) + limit));
    let late = ms(1_001) + limit;
    assert!(!core.knows_departures(late));
    let outcome = core.submit(late, common::request(late, "wall", 1, 100));
    assert!(matches!(outcome, Outcome::Queued(_)), "it waits");
    core.registry.confirm(late);
    let decided = core.process_queue(late);
    let grant = match &decided[..] {
        [(_, Decision::Granted(grant))] => grant.clone(),
        other => panic!("not granted: {other:?}"),
    };
    assert!(core.may_send(late, &grant));
    assert!(!core.may_send(late + limit + ms(1), &grant), "the view is old when it is to be sent");
    core.registry.store_lost(late);
    assert!(core.may_send(late + limit + ms(1), &grant), "nobody knows more");
    let start = core.registry.get(grant.runner).expect("known").registration.start();
    core.registry.record_leaving(late, start);
    assert!(!core.may_send(late, &grant), "the runner leaves");
}

#[test]
fn a_process_that_was_suspended_does_not_take_the_store_for_lost() {
    let mut registry = Registry::default();
    let limit = ms(1_750);
    registry.confirm(ms(1_000));
    registry.record_running(ms(1_000));
    registry.store_lost(ms(1_100));
    registry.record_running(ms(1_200));
    assert!(registry.is_current(ms(2_000), limit));
    let woken = ms(5_000);
    assert!(!registry.is_current(woken, limit), "before it is noticed");
    registry.record_running(woken);
    assert!(!registry.is_current(woken, limit), "after it is noticed");
    registry.store_lost(ms(1_300));
    assert!(!registry.is_current(woken, limit), "that read began before");
    registry.store_lost(woken);
    assert!(registry.is_current(woken, limit), "the store is lost now");
}
