//! Failure detection: a direct probe of one member each period, and indirect probes when it does not answer.

use std::time::Duration;

use base::Name;
use rand::seq::SliceRandom;

use super::machine::Action;
use super::machine::Swim;
use super::membership::Entry;
use super::message::Kind;
use super::message::MemberUpdate;
use crate::State;
use crate::Version;

/// Number of members that are asked to probe an unresponsive one.
const INDIRECT_PROBES: usize = 3;
/// Maximum number of concurrent probes of non-members and for other routers. Beyond it, probe requests are ignored.
const RELAY_LIMIT: usize = 64;
/// Maximum number of listed, never probed routers that are probed in one period.
const NEW_PROBE_COUNT: usize = 3;
/// Periods between probes of routers that are not members.
const NON_MEMBER_PERIODS: u64 = 4;
/// Periods without any answer after which a router considers itself isolated.
const ISOLATION_PERIODS: u32 = 3;
/// Probe timeouts allowed for the first answer of a router in the same region.
const SAME_REGION_TIMEOUTS: u32 = 3;
/// Probe timeouts allowed for the first answer of a router in another region.
const OTHER_REGION_TIMEOUTS: u32 = 10;
/// Maximum round-trip time of a sample. A longer one counts as this time.
const RTT_LIMIT: Duration = Duration::from_millis(500);

/// The reason for a probe.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Purpose {
    /// The regular probe of a member.
    Member,
    /// The probe of a router that is not a member now.
    NonMember,
    /// A probe that another router has requested.
    Relay { asker: Name, sequence: u64 },
}

/// A running probe.
#[derive(Debug, Clone)]
struct Probe {
    target: Name,
    sequence: u64,
    sent: Duration,
    indirect_at: Option<Duration>,
    fails_at: Duration,
    purpose: Purpose,
}

/// The order of the next targets, and the running probes.
#[derive(Debug, Clone, Default)]
pub(super) struct Prober {
    sequence: u64,
    period: u64,
    next: Duration,
    members: Vec<Name>,
    suspects: Vec<Name>,
    non_members: Vec<Name>,
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
        for name in self.next_non_members() {
            self.start_probe(now, &name, Purpose::NonMember);
        }
    }

    /// Starts indirect probes for unanswered probes, and suspects the targets of failed ones.
    pub(super) fn expire_probes(&mut self, now: Duration) {
        let mut overdue = Vec::new();
        for probe in &mut self.prober.probes {
            if probe.indirect_at.is_some_and(|at| at <= now) {
                probe.indirect_at = None;
                overdue.push(probe.clone());
            }
        }
        for probe in overdue {
            self.probe_indirectly(&probe);
        }
        let failed: Vec<Probe> =
            self.prober.probes.extract_if(.., |probe| probe.fails_at <= now).collect();
        for probe in failed {
            self.fail(now, &probe);
        }
    }

    /// Handles the answer to a ping.
    pub(super) fn on_ack(&mut self, now: Duration, from: &Name, version: Version, sequence: u64) {
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

    /// Handles the confirmation that another member has received an answer of a probed one.
    pub(super) fn on_indirect_ack(&mut self, now: Duration, version: Version, sequence: u64) {
        let found = self.prober.probes.iter().position(|probe| probe.sequence == sequence);
        let Some(index) = found else { return };
        let probe = self.prober.probes.swap_remove(index);
        self.prober.last_answer = now;
        self.confirm(now, &probe.target, version);
    }

    /// Probes a member on behalf of another router.
    pub(super) fn on_request(&mut self, now: Duration, asker: &Name, target: &Name, sequence: u64) {
        let relayed = self.prober.probes.iter().filter(|probe| probe.purpose != Purpose::Member);
        if relayed.count() < RELAY_LIMIT && self.membership.entries.contains_key(target) {
            let purpose = Purpose::Relay { asker: asker.clone(), sequence };
            self.start_probe(now, target, purpose);
        }
    }

    /// Moves all deadlines when this process was paused, so that it does not suspect others because of its own pause.
    pub(super) fn compensate_pause(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if pause <= self.timing.probe_timeout {
            return;
        }
        for probe in &mut self.prober.probes {
            probe.indirect_at = probe.indirect_at.map(|at| at + pause);
            probe.fails_at += pause;
        }
        for entry in self.membership.entries.values_mut() {
            entry.deadline += pause;
        }
        self.prober.last_answer += pause;
    }

    /// Returns whether no router has answered this one for several periods.
    pub(super) fn is_isolated(&self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.prober.last_answer);
        elapsed > ISOLATION_PERIODS * self.timing.probe_period
    }

    fn start_probe(&mut self, now: Duration, target: &Name, purpose: Purpose) {
        let Some(entry) = self.membership.entries.get_mut(target) else { return };
        entry.is_probed = true;
        let answer_timeout = response_timeout(entry, &self.local.region, self.timing.probe_timeout);
        let indirect_at = (purpose == Purpose::Member).then_some(now + answer_timeout);
        self.prober.sequence += 1;
        let sequence = self.prober.sequence;
        let target = target.clone();
        self.send(&target, Kind::Ping { sequence });
        let fails_at = now + 3 * answer_timeout;
        self.prober.probes.push(Probe {
            target,
            sequence,
            sent: now,
            indirect_at,
            fails_at,
            purpose,
        });
    }

    /// Probes over a new connection, since the old one may be at fault, and through other members.
    fn probe_indirectly(&mut self, probe: &Probe) {
        self.actions.push(Action::Reconnect(probe.target.clone()));
        self.send(&probe.target, Kind::Ping { sequence: probe.sequence });
        for member in self.random_members(INDIRECT_PROBES, &[&probe.target]) {
            let target = probe.target.clone();
            self.send(&member, Kind::PingRequest { sequence: probe.sequence, target });
        }
    }

    fn fail(&mut self, now: Duration, probe: &Probe) {
        let state = self.membership.entries.get(&probe.target).and_then(|entry| entry.state);
        if probe.purpose == Purpose::Member && state == Some(State::Alive) {
            self.declare(now, &probe.target, State::Suspect);
        }
    }

    /// Records that a router answers, which makes it a member if it was none.
    fn confirm(&mut self, now: Duration, name: &Name, version: Version) {
        let Some(entry) = self.membership.entries.get(name) else { return };
        let record = entry.record.clone();
        self.merge(now, MemberUpdate { record, version, state: State::Alive });
    }

    fn measure(&mut self, name: &Name, sample: Duration) {
        let Some(entry) = self.membership.entries.get_mut(name) else { return };
        let sample = sample.min(RTT_LIMIT);
        entry.rtt = Some(entry.rtt.map_or(sample, |rtt| (7 * rtt + sample) / 8));
    }

    fn next_member(&mut self) -> Option<Name> {
        if self.prober.members.is_empty() {
            self.prober.members = self.membership.names(Entry::is_live);
            self.prober.members.shuffle(&mut self.random);
        }
        pop(&mut self.prober.members, |name| {
            self.membership.entries.get(name).is_some_and(Entry::is_live)
        })
    }

    fn next_suspect(&mut self) -> Option<Name> {
        let is_own_suspicion =
            |entry: &Entry| entry.state == Some(State::Suspect) && entry.is_own_suspicion;
        if self.prober.suspects.is_empty() {
            self.prober.suspects = self.membership.names(is_own_suspicion);
        }
        pop(&mut self.prober.suspects, |name| {
            self.membership.entries.get(name).is_some_and(is_own_suspicion)
        })
    }

    fn next_non_members(&mut self) -> Vec<Name> {
        let mut first = self.membership.names(|entry| !entry.is_live() && !entry.is_probed);
        if !first.is_empty() {
            first.truncate(NEW_PROBE_COUNT);
            return first;
        }
        if !self.prober.period.is_multiple_of(NON_MEMBER_PERIODS) {
            return Vec::new();
        }
        if self.prober.non_members.is_empty() {
            self.prober.non_members = self.membership.names(|entry| !entry.is_live());
            self.prober.non_members.shuffle(&mut self.random);
        }
        let next = pop(&mut self.prober.non_members, |name| {
            self.membership.entries.get(name).is_some_and(|entry| !entry.is_live())
        });
        next.into_iter().collect()
    }
}

/// Returns the time without an answer after which indirect probes start.
fn response_timeout(entry: &Entry, region: &Name, min_timeout: Duration) -> Duration {
    match entry.rtt {
        Some(rtt) => min_timeout.max(3 * rtt),
        None if entry.record.region == *region => SAME_REGION_TIMEOUTS * min_timeout,
        None => OTHER_REGION_TIMEOUTS * min_timeout,
    }
}

/// Removes and returns the last name that still meets the condition, and discards those after it.
fn pop(names: &mut Vec<Name>, is_eligible: impl Fn(&Name) -> bool) -> Option<Name> {
    while let Some(name) = names.pop() {
        if is_eligible(&name) {
            return Some(name);
        }
    }
    None
}
