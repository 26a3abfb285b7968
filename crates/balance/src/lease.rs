//! The places at the engines of a service that one router may use until it hears from the others.
//!
//! Load pattern: all routers see the same free places, and what each of them uses becomes known to the others an interval
//! of reports later. A router that used all that it sees would fill engines several times over, first of all when a flood
//! begins, when it has just started, or when reports get lost, since what it has not heard of looks free. The places are
//! therefore divided among the routers from the start, whatever is known of the others. Places are counted over all
//! engines of the service, so that the choice among engines stays free.

use base::Name;

use crate::LeasedPlaces;
use crate::Limit;
use crate::Load;
use crate::loan::Balance;
use crate::rendezvous;

/// The least number of places that a router may use, so that each one serves something whatever it knows.
const MIN_PLACES: f64 = 1.0;
/// The fraction of the places in use up to which a router may be in excess of its lease when it lends them.
const MAX_YIELDED: f64 = 0.25;

/// The places for requests of a workspace at the engines that may be used.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Places {
    /// The requests that they may run.
    pub(crate) running: f64,
    /// The prompt tokens that may wait.
    pub(crate) backlog: f64,
    /// The load that this router has placed on these engines.
    pub(crate) own: Load,
}

/// A router's lease of places at the engines of a service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lease {
    /// The part of all places.
    part: f64,
    /// Whether some workspace lacks work.
    is_short: bool,
    /// A number from 0 to 1 by which fractions of a place are rounded.
    rounding: f64,
    loans: Balance,
}

impl Lease {
    /// Creates the lease of a router for an interval of reports, in which fractions of a place are always rounded alike.
    pub(crate) fn new(router: &Name, interval: u64, part: f64, is_short: bool) -> Self {
        let rounding = rendezvous::weight(interval, router.as_str()) as f64 / u64::MAX as f64;
        Self { part, is_short, rounding, loans: Balance::default() }
    }

    /// Adds what is borrowed from other routers and lent to them.
    pub(crate) const fn with_loans(self, loans: Balance) -> Self {
        Self { loans, ..self }
    }

    /// Returns the lease without the limit on prompt tokens; that on places still holds.
    pub(crate) const fn without_backlog(self) -> Self {
        Self { is_short: false, ..self }
    }

    /// Returns the places that the router has in use and may use.
    pub(crate) fn of(&self, places: &Places) -> LeasedPlaces {
        let Balance { borrowed, lent } = self.loans;
        let leased = self.part * places.running + self.rounding - f64::from(lent);
        let leased = leased.max(MIN_PLACES) + f64::from(borrowed);
        LeasedPlaces { own: places.own.running, leased, borrowed, lent }
    }

    /// Returns the prompt tokens that the router may have waiting; places that are lent take their part along.
    fn leased_backlog(&self, places: &Places) -> f64 {
        let Balance { borrowed, lent } = self.loans;
        let moved = f64::from(borrowed) - f64::from(lent);
        (self.part * places.backlog + moved * tokens_per_place(places)).max(0.0)
    }

    /// Returns the places that the router holds and does not use while a number of requests wait for them.
    pub(crate) fn unused(&self, places: &Places, waiting: u32) -> u32 {
        let LeasedPlaces { own, leased, borrowed, .. } = self.of(places);
        let free = leased - f64::from(own) - f64::from(waiting);
        let held = leased - f64::from(borrowed) - MIN_PLACES;
        free.min(held).max(0.0) as u32
    }

    /// Returns the places in use that the router may lend to one whose requests come before those that wait here.
    pub(crate) fn yielded(&self, places: &Places) -> u32 {
        let LeasedPlaces { own, leased, .. } = self.of(places);
        let excess = (f64::from(own) - leased).max(0.0);
        (f64::from(own) * MAX_YIELDED - excess).max(0.0).ceil() as u32
    }

    /// Returns the places that the router lacks for a number of requests with this many prompt tokens.
    pub(crate) fn lacking(&self, places: &Places, requests: u32, tokens: u64) -> u32 {
        let LeasedPlaces { own, leased, .. } = self.of(places);
        let lacking = f64::from(own) + f64::from(requests) - leased;
        // The last of the prompts may be larger than what is left.
        let others = tokens as f64 * (1.0 - 1.0 / f64::from(requests.max(1)));
        let backlog = places.own.backlog as f64 + others - self.leased_backlog(places);
        let of_backlog = if self.is_short { backlog / tokens_per_place(places) } else { 0.0 };
        lacking.max(of_backlog).max(0.0).ceil() as u32
    }

    /// Returns what keeps the router from placing another request; `None` if it may place one.
    ///
    /// Prompt tokens wait for a short time only, so that they are leased only while engines are short. A prompt may be larger
    /// than the part of a router, so that another one is placed while this part is not used up.
    pub(crate) fn limit(&self, places: &Places) -> Option<Limit> {
        let LeasedPlaces { own, leased, .. } = self.of(places);
        if f64::from(own) + 1.0 > leased {
            return Some(Limit::Lease);
        }
        let backlog = places.own.backlog as f64;
        let is_used_up = self.is_short && backlog > 0.0 && backlog >= self.leased_backlog(places);
        is_used_up.then_some(Limit::LeaseBacklog)
    }
}

/// Returns the prompt tokens that may wait for each place.
fn tokens_per_place(places: &Places) -> f64 {
    (places.backlog / places.running.max(1.0)).max(1.0)
}
