//! The choice of the routers that exchange the state of their availability zone with the other zones.
//!
//! Load pattern: heartbeats from each router to each other one grow with the square of the fleet. Each router therefore
//! sends heartbeats to its own zone only. One router of each zone, its aggregator, sends the sums over the zone to the
//! aggregators of the other zones and passes their sums on.
//!
//! All routers of a zone choose the same aggregator by rendezvous hashing over the routers from which they have just
//! heard, so there is no election. While routers disagree, two of them may send sums of the same zone; receivers use the
//! newest.

use std::time::Duration;

use base::Name;
use xxhash_rust::xxh3::xxh3_64;

use crate::Member;
use crate::rendezvous;

/// How long a router must rank first before it acts, so that it hears from the others of its zone after a start.
const TAKEOVER_DELAY: Duration = Duration::from_millis(250);
/// The shortest silence after which a router does not act for its zone any more.
const MIN_SILENCE: Duration = Duration::from_millis(300);
/// The silence after which a router does not act for its zone any more, in heartbeat periods of the zone.
const SILENT_PERIODS: u32 = 3;
/// The time after the last sums of another zone's router for which it counts as the aggregator of that zone.
const SENDER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The interval at which the next router of a zone without a known aggregator is tried.
const TRY_INTERVAL: Duration = Duration::from_millis(250);

/// Whether a router acts as the aggregator of its zone.
#[derive(Debug, Clone, Default)]
pub struct Aggregation {
    first_since: Option<Duration>,
}

impl Aggregation {
    /// Records whether the router ranks first in its zone, and returns whether it acts as the aggregator.
    pub fn update(&mut self, now: Duration, is_first: bool) -> bool {
        if !is_first {
            self.first_since = None;
            return false;
        }
        now >= *self.first_since.get_or_insert(now) + TAKEOVER_DELAY
    }
}

/// Returns whether a router ranks first among those of its zone.
///
/// `members` are the other routers of the zone and `period` is the interval of their heartbeats. A router that hears
/// from less than half as many routers as this one is passed over: its heartbeats arrive, but it receives none.
#[must_use]
pub fn ranks_first<'a>(
    now: Duration,
    period: Duration,
    zone: &Name,
    router: &Name,
    members: impl Iterator<Item = &'a Member>,
) -> bool {
    let silence = MIN_SILENCE.max(SILENT_PERIODS * period);
    let heard: Vec<&Member> =
        members.filter(|member| member.was_heard_within(now, silence)).collect();
    let heard_count = heard.len();
    let able = heard.into_iter().filter(|member| member.status.heard as usize * 2 >= heard_count);
    let names = able.map(|member| member.identity.name.as_str());
    rendezvous::rank(zone_key(zone), router.as_str(), names) == 0
}

/// Returns the routers of another zone to which the sums of this zone are sent.
///
/// These are the ones that have sent sums of that zone. If there are none, the routers of the zone are tried in turn, the
/// likely aggregator first and those that are alive before the others.
#[must_use]
pub fn targets<'a>(now: Duration, zone: &Name, members: &[&'a Member]) -> Vec<&'a Member> {
    let senders: Vec<&Member> = members
        .iter()
        .copied()
        .filter(|member| member.sent_sums_at.is_some_and(|at| now < at + SENDER_TIMEOUT))
        .collect();
    if !senders.is_empty() || members.is_empty() {
        return senders;
    }
    let alive: Vec<&Member> =
        members.iter().copied().filter(|member| member.is_alive(now)).collect();
    let mut candidates = if alive.is_empty() { members.to_vec() } else { alive };
    let key = zone_key(zone);
    candidates.sort_by_key(|member| {
        std::cmp::Reverse(rendezvous::weight(key, member.identity.name.as_str()))
    });
    let turn = (now.as_millis() / TRY_INTERVAL.as_millis()) as usize;
    vec![candidates[turn % candidates.len()]]
}

fn zone_key(zone: &Name) -> u64 {
    xxh3_64(zone.as_str().as_bytes())
}
