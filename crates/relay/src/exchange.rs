//! The exchange of sums between availability zones.

use std::collections::VecDeque;
use std::time::Duration;

use balance::Aggregation;
use base::Name;
use indexmap::IndexMap;

use crate::event;
use crate::gossip::PlacedPart;
use crate::gossip::ZoneSums;

/// Shortest interval between two sums for other zones.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of placed parts that wait for the next sums.
const MAX_PLACED: usize = 192;

/// The newest sums of another zone.
#[derive(Debug)]
struct Received {
    /// The time at which they were made.
    at: Duration,
    sums: ZoneSums,
    /// Whether they are to be passed on to the routers of this zone.
    is_new: bool,
}

/// The state of the exchange with other zones.
#[derive(Debug, Default)]
pub(crate) struct Exchange {
    /// The state by which this router decides whether it is the aggregator of its zone.
    pub(crate) aggregation: Aggregation,
    pub(crate) is_aggregator: bool,
    received: IndexMap<Name, Received>,
    placed: VecDeque<PlacedPart>,
    sent_at: Option<Duration>,
}

impl Exchange {
    /// Records parts that routers of this zone have placed, for the next sums.
    pub(crate) fn record_placed(&mut self, placed: &[PlacedPart]) {
        self.placed.extend(placed.iter().cloned());
        let excess = self.placed.len().saturating_sub(MAX_PLACED);
        self.placed.drain(..excess);
    }

    /// Removes and returns the parts for the next sums.
    pub(crate) fn take_placed(&mut self) -> Vec<PlacedPart> {
        self.placed.drain(..).collect()
    }

    /// Returns whether the next sums are due, and records that they are sent.
    pub(crate) fn begin_sums(&mut self, now: Duration) -> bool {
        if self.sent_at.is_some_and(|sent_at| now < sent_at + MIN_INTERVAL) {
            return false;
        }
        self.sent_at = Some(now);
        true
    }

    /// Records the sums of another zone; returns the time at which they were made if they are newer than the known ones.
    ///
    /// Those that came from that zone are passed on by this router, whether it is the aggregator or not, since a zone that
    /// has lost its aggregator does not know the next one of this zone.
    pub(crate) fn record_sums(
        &mut self,
        now: Duration,
        sums: &ZoneSums,
        is_first_hand: bool,
    ) -> Option<Duration> {
        let at = now.saturating_sub(Duration::from_millis(u64::from(sums.age_ms)));
        let zone = Name::new(&sums.zone);
        let known = self.received.get(&zone);
        if known.is_some_and(|known| at <= known.at) {
            return None;
        }
        let mut sums = sums.clone();
        if let Some(known) = known.filter(|known| known.is_new) {
            sums.placed.extend(known.sums.placed.iter().cloned());
            sums.placed.truncate(MAX_PLACED);
        }
        self.received.insert(zone, Received { at, sums, is_new: is_first_hand });
        Some(at)
    }

    /// Returns the sums that were received from other zones since the last call, with their age.
    pub(crate) fn take_sums(&mut self, now: Duration) -> Vec<ZoneSums> {
        let new = self.received.values_mut().filter(|received| received.is_new);
        let taken = new.map(|received| {
            received.is_new = false;
            ZoneSums { age_ms: age_ms(now, received.at), ..received.sums.clone() }
        });
        taken.collect()
    }
}

/// Returns the time since `at` in milliseconds.
pub(crate) fn age_ms(now: Duration, at: Duration) -> u32 {
    u32::try_from(event::millis(now.saturating_sub(at))).unwrap_or(u32::MAX)
}
