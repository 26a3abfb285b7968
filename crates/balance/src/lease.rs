//! The places at the engines of a service that one router may use until it hears from the others.
//!
//! Load pattern: all routers see the same free places, and what each of them uses becomes known to the others an interval
//! of reports later. A router that used all that it sees would fill engines several times over, first of all when a flood
//! begins, when it has just started, or when reports get lost, since what it has not heard of looks free. The places are
//! therefore divided among the routers from the start, whatever is known of the others. Places are counted over all
//! engines of the service, so that the choice among engines stays free.

use base::Name;

use crate::LeasedPlaces;
use crate::Load;
use crate::rendezvous;

/// The least number of places that a router may use, so that each one serves something whatever it knows.
const MIN_PLACES: f64 = 1.0;

/// The part of the places at engines that a router may use.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Part {
    /// The fraction of all places.
    pub(crate) fraction: f64,
    /// The fraction of the places that stay free while workspaces lack work.
    pub(crate) offered: f64,
}

/// A quantity that engines bear.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Room {
    /// What they bear in all.
    all: f64,
    /// What is free of it; negative if they are loaded with more.
    free: f64,
}

/// The places for requests of a workspace at the engines that may be used.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Places {
    /// Running requests.
    pub(crate) running: Room,
    /// Prompt tokens that wait.
    pub(crate) backlog: Room,
    /// The load that this router has placed on these engines.
    pub(crate) own: Load,
}

impl Room {
    /// Adds an engine with its limit and its load.
    pub(crate) fn add(&mut self, limit: f64, load: f64) {
        self.all += limit;
        self.free += limit - load;
    }
}

/// A router's lease of places at the engines of a service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lease {
    part: Part,
    /// Whether some workspace lacks work.
    is_short: bool,
    /// A number from 0 to 1 by which fractions of a place are rounded.
    rounding: f64,
}

impl Lease {
    /// Creates the lease of a router for an interval of reports, in which fractions of a place are always rounded alike.
    pub(crate) fn new(router: &Name, interval: u64, part: Part, is_short: bool) -> Self {
        let rounding = rendezvous::weight(interval, router.as_str()) as f64 / u64::MAX as f64;
        Self { part, is_short, rounding }
    }

    /// Returns the places that the router has in use and may use.
    pub(crate) fn of(&self, places: &Places) -> LeasedPlaces {
        let leased = self.leased(places.running) + self.rounding;
        LeasedPlaces { own: places.own.running, leased: leased.max(MIN_PLACES) }
    }

    /// Returns whether the router may place another request, of whose prompt `missing` tokens are to be processed.
    ///
    /// Prompt tokens wait for a short time only, so that they are leased only while engines are short.
    pub(crate) fn allows(&self, places: &Places, missing: u64) -> bool {
        let LeasedPlaces { own, leased } = self.of(places);
        let backlog = places.own.backlog as f64 + missing as f64;
        let is_backlog_leased =
            !self.is_short || places.own.backlog == 0 || backlog <= self.leased(places.backlog);
        f64::from(own) + 1.0 <= leased && is_backlog_leased
    }

    fn leased(&self, room: Room) -> f64 {
        self.part.fraction * room.all + self.part.offered * room.free.max(0.0)
    }
}
