//! Places at engines that routers lend each other.
//!
//! Load pattern: callers come all at once to one router. Its lease of places follows what is asked some intervals of
//! reports later, and until then its requests would wait beside places that other routers do not use. A router that lacks
//! places therefore asks a few others for some. Only the holder of a place lends it, for a stated time, and the borrower
//! counts that time from before it asked. So the places of all routers add up to the same whatever message is lost; a
//! lost answer only leaves the lent places empty until their time is over.
//!
//! A router whose places are all in use lends some of them if the requests that wait at the other router are of a workspace
//! that has had much less of its share than those that wait here: it does not use the next places that it gets back. Such
//! places are for the requests of that workspace only, whatever else the borrower has in use.

use std::time::Duration;

use base::Name;
use indexmap::IndexMap;

/// The time for which places are lent.
const LOAN_TIME: Duration = Duration::from_secs(2);
/// The pause after a request for places that was answered.
const MIN_PAUSE: Duration = Duration::from_millis(10);
/// The longest pause after requests that nobody has answered with places.
const MAX_PAUSE: Duration = Duration::from_millis(320);
/// The most routers that are asked at once.
const MAX_LENDERS: u32 = 4;
/// The ratio of what two workspaces have of their shares below which the first one comes before the other.
const MAX_RATIO: f64 = 0.8;

/// A request of a router that lacks places.
#[derive(Debug, Clone, PartialEq)]
pub struct LoanRequest {
    /// The service.
    pub service: Name,
    /// The places that it lacks for all requests that wait.
    pub lacking: u32,
    /// The workspace whose requests come first.
    pub first: Name,
    /// The places that the waiting requests of that workspace take.
    pub urgent: u32,
    /// What that workspace has been granted lately, relative to its fair share.
    pub granted_share: f64,
}

/// The places that a router lends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Loan {
    /// For requests of the workspace that comes first at the borrower.
    pub urgent: u32,
    /// For any request.
    pub other: u32,
}

/// A number of places, and the time at which their loan ends.
#[derive(Debug, Clone, Copy)]
struct Term {
    places: u32,
    ends_at: Duration,
}

/// What a router has borrowed from others and lent to them, for the engines of one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct Loans {
    borrowed: Vec<Term>,
    /// What is borrowed for requests of one payer only and not used yet.
    reserved: IndexMap<Name, Vec<Term>>,
    lent: Vec<Term>,
    /// The time before which no others are asked.
    paused_until: Duration,
    pause: Duration,
    /// The part of its share that the first workspace had when others were last asked.
    asked_share: f64,
}

/// The places that a router may use beyond its lease, and those of its lease that it may not use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Balance {
    pub(crate) borrowed: u32,
    pub(crate) lent: u32,
}

impl LoanRequest {
    /// Returns how many routers are asked, no more than it takes places.
    #[must_use]
    pub fn lenders(&self) -> usize {
        self.lacking.max(self.urgent).clamp(1, MAX_LENDERS) as usize
    }

    /// Returns the requests that a number of routers are sent, one each; together they ask for what is lacking.
    pub fn split(&self, parts: usize) -> impl Iterator<Item = Self> {
        let parts = u32::try_from(parts).unwrap_or(u32::MAX);
        (0..parts).map(move |part| Self {
            lacking: (self.lacking + part) / parts,
            urgent: (self.urgent + part) / parts,
            ..self.clone()
        })
    }
}

impl Loan {
    /// Returns whether nothing is lent.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.urgent == 0 && self.other == 0
    }
}

impl Loans {
    /// Returns what is borrowed and lent now.
    pub(crate) fn balance(&self, now: Duration) -> Balance {
        Balance { borrowed: sum(&self.borrowed, now), lent: sum(&self.lent, now) }
    }

    /// Returns whether others may be asked now for a workspace that has been granted this part of its share, and if so,
    /// waits longer before they are asked again.
    ///
    /// A workspace that has had much less than those before it does not wait for the pause after theirs.
    pub(crate) fn begin_request(&mut self, now: Duration, granted_share: f64) -> bool {
        let comes_first = comes_first(granted_share, self.asked_share);
        if now < self.paused_until && !comes_first {
            return false;
        }
        if comes_first {
            self.pause = Duration::ZERO;
        }
        self.asked_share = granted_share;
        self.pause = (2 * self.pause).clamp(MIN_PAUSE, MAX_PAUSE);
        self.paused_until = now + self.pause;
        true
    }

    /// Records places that another router has lent after it was asked at `asked_at` for requests of `first`.
    pub(crate) fn borrow(&mut self, now: Duration, asked_at: Duration, first: &Name, loan: Loan) {
        self.remove_ended(now);
        let term = |places| Term { places, ends_at: asked_at + LOAN_TIME };
        if loan.urgent > 0 {
            self.reserved.entry(first.clone()).or_default().push(term(loan.urgent));
        }
        self.borrowed.push(term(loan.other));
        self.pause = Duration::ZERO;
        self.paused_until = self.paused_until.min(now + MIN_PAUSE);
    }

    /// Returns the places that are reserved for requests of a payer.
    pub(crate) fn reserved(&self, now: Duration, payer: &Name) -> u32 {
        self.reserved.get(payer).map_or(0, |terms| sum(terms, now))
    }

    /// Uses a place that is reserved for a request of a payer.
    pub(crate) fn use_reserved(&mut self, now: Duration, payer: &Name) {
        let terms = self.reserved.get_mut(payer).into_iter().flatten();
        let mut current = terms.filter(|term| now < term.ends_at && term.places > 0);
        let Some(term) = current.next() else { return };
        term.places -= 1;
        self.borrowed.push(Term { places: 1, ends_at: term.ends_at });
    }

    /// Records places that are lent to another router.
    pub(crate) fn lend(&mut self, now: Duration, loan: Loan) {
        self.remove_ended(now);
        self.lent.push(Term { places: loan.urgent + loan.other, ends_at: now + LOAN_TIME });
    }

    fn remove_ended(&mut self, now: Duration) {
        let is_current = |term: &Term| now < term.ends_at && term.places > 0;
        self.borrowed.retain(is_current);
        self.lent.retain(is_current);
        self.reserved.retain(|_, terms| {
            terms.retain(is_current);
            !terms.is_empty()
        });
    }
}

/// Returns whether a workspace that has been granted one part of its share comes well before one with another part.
pub(crate) fn comes_first(share: f64, other: f64) -> bool {
    share < other * MAX_RATIO
}

fn sum(terms: &[Term], now: Duration) -> u32 {
    terms.iter().filter(|term| now < term.ends_at).map(|term| term.places).sum()
}
