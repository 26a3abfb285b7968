//! Asking other routers for places at engines, and lending them.

use std::time::Duration;

use base::Name;

use super::Core;
use crate::Grant;
use crate::KEYLESS;
use crate::Loan;
use crate::LoanRequest;
use crate::Request;
use crate::choice::Selector;
use crate::loan;
use crate::queue::Queued;

/// The most waiting requests for which places are asked at once.
const MAX_WANTED: u32 = 64;

impl Core {
    /// Returns what is to be asked of other routers now, for each service.
    ///
    /// That is what waiting requests lack while engines have room. Others that lend nothing are asked ever more seldom.
    pub fn loan_requests(&mut self, now: Duration) -> Vec<LoanRequest> {
        let waiting = self.services.iter().filter(|(_, state)| !state.queue.is_empty());
        let services: Vec<Name> = waiting.map(|(name, _)| name.clone()).collect();
        let requests = services.into_iter().filter_map(|service| {
            let request = self.loan_request(now, service)?;
            let loans = &mut self.services[&request.service].loans;
            loans.begin_request(now, request.granted_share).then_some(request)
        });
        requests.collect()
    }

    /// Lends places to another router, and returns what is lent.
    pub fn lend(&mut self, now: Duration, request: &LoanRequest) -> Loan {
        let service = &request.service;
        let Some(selector) = self.selector(now, service, None) else { return Loan::default() };
        let Some(places) = selector.places() else { return Loan::default() };
        let lease = selector.lease;
        let state = &self.services[service];
        let waiting = u32::try_from(state.queue.len()).unwrap_or(u32::MAX);
        let unused = lease.unused(&places, waiting);
        let yielded = if self.yields(now, request) { lease.yielded(&places) } else { unused };
        let urgent = request.urgent.min(yielded);
        let lendable = unused.div_ceil(2).saturating_sub(urgent);
        let loan = Loan { urgent, other: request.lacking.min(lendable) };
        if !loan.is_empty() {
            self.service_state(service).loans.lend(now, loan);
        }
        loan
    }

    /// Records places that another router has lent after it was sent a request at `asked_at`.
    pub fn borrow(&mut self, now: Duration, asked_at: Duration, request: &LoanRequest, loan: Loan) {
        let loans = &mut self.service_state(&request.service).loans;
        loans.borrow(now, asked_at, &request.first, loan);
    }

    /// Grants a place that another router has lent for a request of this workspace.
    pub(super) fn grant_reserved(&mut self, now: Duration, request: &Request) -> Option<Grant> {
        let service = &request.service;
        let payer = request.payer()?;
        if self.services[service].loans.reserved(now, &payer) == 0 {
            return None;
        }
        let selector = self.current_selector(now, service, request.workspace.as_ref())?;
        let choice = selector.beyond_lease(true).choose(request)?;
        self.services[service].loans.use_reserved(now, &payer);
        Some(self.place(now, request, &choice))
    }

    /// Returns whether another router has lent a place for a request of a workspace.
    pub(super) fn has_reserved(
        &self,
        now: Duration,
        service: &Name,
        workspace: Option<&Name>,
    ) -> bool {
        let payer = workspace.cloned().unwrap_or_else(|| Name::new(KEYLESS));
        self.services[service].loans.reserved(now, &payer) > 0
    }

    /// Returns whether the first request that waits at another router comes before all that wait here.
    fn yields(&self, now: Duration, request: &LoanRequest) -> bool {
        let queued = self.services[&request.service].queue.by_payer();
        let shares = queued.iter().map(|queued| self.granted_share(now, &queued.payer));
        // A router that has just started may not know what the workspace has been granted elsewhere.
        let share = request.granted_share.max(self.granted_share(now, &request.first));
        shares.reduce(f64::min).is_some_and(|own| loan::comes_first(share, own))
    }

    /// Returns what waiting requests of a service lack of this router's lease while engines have room for them; `None` if
    /// nothing is lacking.
    fn loan_request(&mut self, now: Duration, service: Name) -> Option<LoanRequest> {
        let queued: Vec<Queued> = self.services[&service].queue.by_payer();
        let waiting: u32 = queued.iter().map(|queued| queued.requests).sum();
        let tokens: u64 = queued.iter().map(|queued| queued.tokens).sum();
        let mut lacking = 0;
        for Queued { workspace, .. } in &queued {
            let selector = self.selector(now, &service, workspace.as_ref());
            let selector = selector.filter(Selector::has_usable_room);
            let of_workspace = selector.and_then(|selector| {
                Some(selector.lease.lacking(&selector.places()?, waiting, tokens))
            });
            lacking = lacking.max(of_workspace.unwrap_or_default());
        }
        if lacking == 0 {
            return None;
        }
        let shares = queued.iter().map(|queued| self.granted_share(now, &queued.payer));
        let (first, granted_share) =
            queued.iter().zip(shares).min_by(|(_, share), (_, other)| share.total_cmp(other))?;
        let reserved = self.services[&service].loans.reserved(now, &first.payer);
        Some(LoanRequest {
            service,
            lacking: lacking.min(MAX_WANTED),
            first: first.payer.clone(),
            urgent: first.requests.min(MAX_WANTED).saturating_sub(reserved),
            granted_share,
        })
    }

    /// Returns what a payer has been granted lately, relative to its fair share.
    pub(super) fn granted_share(&self, now: Duration, payer: &Name) -> f64 {
        self.shares.fair_share().granted(self.usage.of(now, payer))
    }
}
