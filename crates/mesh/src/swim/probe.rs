//! Probing: one member a period, other ways when it is silent.

use std::time::Duration;

use base::Name;
use rand::seq::SliceRandom;

use super::machine::Action;
use super::machine::Swim;
use super::message::Kind;
use super::message::MemberUpdate;
use super::roster::Entry;
use crate::State;
use crate::Version;

/// Members asked to probe a silent one.
const INDIRECT_COUNT: usize = 3;
/// Probes run for others at the same time.
const RELAY_LIMIT: usize = 64;
/// Listed routers that were never probed and are probed in one period.
const FIRST_COUNT: usize = 3;
/// Periods from one probe of a router that is no member to the next.
const ABSENT_PERIODS: u64 = 4;
/// Periods without any answer after which a router takes itself for cut off.
const ISOLATION_PERIODS: u32 = 3;
/// Probe timeouts allowed for the first answer of a router in the same region.
const FIRST_NEAR: u32 = 3;
/// Probe timeouts allowed for the first answer of a router in another region.
const FIRST_FAR: u32 = 10;
/// Longest round trip time that is believed.
const RTT_LIMIT: Duration = Duration::from_millis(500);

/// Why a probe runs.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Purpose {
    /// A member in its turn.
    Member,
    /// A router that is no member now.
    Absent,
    /// A member that another router asks about.
    Relay { asker: Name, sequence: u64 },
}

/// A probe without an answer so far.
#[derive(Debug, Clone)]
struct Probe {
    target: Name,
    sequence: u64,
    sent: Duration,
    widens: Option<Duration>,
    fails: Duration,
    purpose: Purpose,
}

/// The turns and the running probes.
#[derive(Debug, Clone, Default)]
pub(super) struct Prober {
    sequence: u64,
    period: u64,
    next: Duration,
    members: Vec<Name>,
    suspects: Vec<Name>,
    absents: Vec<Name>,
    probes: Vec<Probe>,
    last_answer: Duration,
}

impl Swim {
    /// Starts the probes of a period when one begins.
    pub(super) fn start_probes(&mut self, now: Duration) {
        if now < self.prober.next {
            return;
        }
        self.prober.next = now + self.timing.probe_period;
        self.prober.period += 1;
        if let Some(name) = self.next_member() {
            self.start_probe(now, &name, Purpose::Member);
        }
        if let Some(name) = self.next_suspect() {
            self.start_probe(now, &name, Purpose::Member);
        }
        for name in self.next_absents() {
            self.start_probe(now, &name, Purpose::Absent);
        }
    }

    /// Widens probes that are silent and judges those that have failed.
    pub(super) fn expire_probes(&mut self, now: Duration) {
        let mut widened = Vec::new();
        for probe in &mut self.prober.probes {
            if probe.widens.is_some_and(|at| at <= now) {
                probe.widens = None;
                widened.push(probe.clone());
            }
        }
        for probe in widened {
            self.widen(&probe);
        }
        let failed: Vec<Probe> =
            self.prober.probes.extract_if(.., |probe| probe.fails <= now).collect();
        for probe in failed {
            self.fail(now, &probe);
        }
    }

    /// Takes in the answer to a ping.
    pub(super) fn acked(&mut self, now: Duration, from: &Name, version: Version, sequence: u64) {
        let found = self
            .prober
            .probes
            .iter()
            .position(|probe| probe.sequence == sequence && probe.target == *from);
        let Some(index) = found else { return };
        let probe = self.prober.probes.swap_remove(index);
        self.prober.last_answer = now;
        self.measure(from, now.saturating_sub(probe.sent));
        self.confirm(now, from, version);
        if let Purpose::Relay { asker, sequence } = probe.purpose {
            self.send(&asker, Kind::IndirectAck { sequence, version });
        }
    }

    /// Takes in that another member has had an answer of a probed one.
    pub(super) fn vouched(&mut self, now: Duration, version: Version, sequence: u64) {
        let found = self.prober.probes.iter().position(|probe| probe.sequence == sequence);
        let Some(index) = found else { return };
        let probe = self.prober.probes.swap_remove(index);
        self.prober.last_answer = now;
        self.confirm(now, &probe.target, version);
    }

    /// Probes a member that another router asks about.
    pub(super) fn asked(&mut self, now: Duration, asker: &Name, target: &Name, sequence: u64) {
        let relays = self.prober.probes.iter().filter(|probe| probe.purpose != Purpose::Member);
        if relays.count() < RELAY_LIMIT && self.roster.entries.contains_key(target) {
            let purpose = Purpose::Relay { asker: asker.clone(), sequence };
            self.start_probe(now, target, purpose);
        }
    }

    /// Moves all deadlines when this process was paused, so that it does not blame others for its own silence.
    pub(super) fn excuse_pause(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if pause <= self.timing.probe_timeout {
            return;
        }
        for probe in &mut self.prober.probes {
            probe.widens = probe.widens.map(|at| at + pause);
            probe.fails += pause;
        }
        for entry in self.roster.entries.values_mut() {
            entry.deadline += pause;
        }
        self.prober.last_answer += pause;
    }

    /// Returns whether nobody has answered this router for some periods.
    pub(super) fn is_isolated(&self, now: Duration) -> bool {
        let silence = now.saturating_sub(self.prober.last_answer);
        silence > ISOLATION_PERIODS * self.timing.probe_period
    }

    fn start_probe(&mut self, now: Duration, target: &Name, purpose: Purpose) {
        let Some(entry) = self.roster.entries.get_mut(target) else { return };
        entry.tried = true;
        let wait = patience(entry, &self.me.region, self.timing.probe_timeout);
        let widens = (purpose == Purpose::Member).then_some(now + wait);
        self.prober.sequence += 1;
        let sequence = self.prober.sequence;
        let target = target.clone();
        self.send(&target, Kind::Ping { sequence });
        let fails = now + 3 * wait;
        self.prober.probes.push(Probe { target, sequence, sent: now, widens, fails, purpose });
    }

    /// Tries a new connection and asks others, because the old connection may be at fault.
    fn widen(&mut self, probe: &Probe) {
        self.actions.push(Action::Reconnect(probe.target.clone()));
        self.send(&probe.target, Kind::Ping { sequence: probe.sequence });
        for relay in self.pick(INDIRECT_COUNT, &[&probe.target]) {
            let target = probe.target.clone();
            self.send(&relay, Kind::PingRequest { sequence: probe.sequence, target });
        }
    }

    fn fail(&mut self, now: Duration, probe: &Probe) {
        let state = self.roster.entries.get(&probe.target).and_then(|entry| entry.state);
        if probe.purpose == Purpose::Member && state == Some(State::Alive) {
            self.judge(now, &probe.target, State::Suspect);
        }
    }

    /// Takes in that a router answers, which makes it a member if it was unheard of.
    fn confirm(&mut self, now: Duration, name: &Name, version: Version) {
        let Some(entry) = self.roster.entries.get(name) else { return };
        let record = entry.record.clone();
        self.merge(now, MemberUpdate { record, version, state: State::Alive });
    }

    fn measure(&mut self, name: &Name, sample: Duration) {
        let Some(entry) = self.roster.entries.get_mut(name) else { return };
        let sample = sample.min(RTT_LIMIT);
        entry.rtt = Some(entry.rtt.map_or(sample, |rtt| (7 * rtt + sample) / 8));
    }

    fn next_member(&mut self) -> Option<Name> {
        if self.prober.members.is_empty() {
            self.prober.members = self.roster.names(Entry::is_live);
            self.prober.members.shuffle(&mut self.random);
        }
        pop(&mut self.prober.members, |name| {
            self.roster.entries.get(name).is_some_and(Entry::is_live)
        })
    }

    fn next_suspect(&mut self) -> Option<Name> {
        let is_raised = |entry: &Entry| entry.state == Some(State::Suspect) && entry.raised;
        if self.prober.suspects.is_empty() {
            self.prober.suspects = self.roster.names(is_raised);
        }
        pop(&mut self.prober.suspects, |name| self.roster.entries.get(name).is_some_and(is_raised))
    }

    fn next_absents(&mut self) -> Vec<Name> {
        let mut first = self.roster.names(|entry| !entry.is_live() && !entry.tried);
        if !first.is_empty() {
            first.truncate(FIRST_COUNT);
            return first;
        }
        if !self.prober.period.is_multiple_of(ABSENT_PERIODS) {
            return Vec::new();
        }
        if self.prober.absents.is_empty() {
            self.prober.absents = self.roster.names(|entry| !entry.is_live());
            self.prober.absents.shuffle(&mut self.random);
        }
        let next = pop(&mut self.prober.absents, |name| {
            self.roster.entries.get(name).is_some_and(|entry| !entry.is_live())
        });
        next.into_iter().collect()
    }
}

/// Returns the time after which a silent router is asked in other ways.
fn patience(entry: &Entry, region: &Name, least: Duration) -> Duration {
    match entry.rtt {
        Some(rtt) => least.max(3 * rtt),
        None if entry.record.region == *region => FIRST_NEAR * least,
        None => FIRST_FAR * least,
    }
}

/// Takes the last name that still fits.
fn pop(names: &mut Vec<Name>, fits: impl Fn(&Name) -> bool) -> Option<Name> {
    while let Some(name) = names.pop() {
        if fits(&name) {
            return Some(name);
        }
    }
    None
}
