//! Refusals, and what keeps waiting requests from the engines.

use std::cmp::Reverse;
use std::time::Duration;

use base::Name;

use super::Core;
use crate::Contention;
use crate::Decision;
use crate::Limit;
use crate::Refusal;
use crate::Request;

/// The shortest retry delay that a refused caller is given.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

impl Core {
    /// Returns what keeps the waiting requests of a service from the engines, most waiting requests first.
    pub fn contention(&mut self, now: Duration, service: &Name) -> Vec<Contention> {
        self.update_shares(now);
        let fair_share = self.shares.fair_share().tokens();
        let fill = self.engine_fill(now, service);
        let report_interval = self.shares.report_interval;
        let heard_routers = self.usage.heard_routers();
        let published_routers = self.limits.peers.as_ref().map(Vec::len);
        let router_ages = self.usage.report_ages(now, true);
        let zone_ages = self.usage.report_ages(now, false);
        let counts = self.service_state(service).queue.by_workspace();
        let counts = counts.into_iter();
        let mut counts: Vec<(Name, usize, Request)> = counts
            .map(|(name, (count, first))| (name.clone(), count, first.request.clone()))
            .collect();
        counts.sort_by_key(|(_, count, _)| Reverse(*count));
        let states = counts.into_iter().filter_map(|(workspace, waiting, first)| {
            let work = self.usage.of(now, &workspace);
            let selector = self.selector(now, service, Some(&workspace))?;
            Some(Contention {
                waiting,
                work,
                fair_share,
                allowed_fraction: selector.fraction,
                places: selector.places().map(|places| selector.lease.of(&places)),
                engines: selector.engine_room(),
                openings: selector.openings(&first),
                fill,
                heard_routers,
                published_routers,
                report_interval,
                router_ages,
                zone_ages,
                workspace,
            })
        });
        states.collect()
    }

    /// Returns the refusal of a request, with its reason.
    pub(super) fn refusal(&mut self, now: Duration, request: &Request) -> Decision {
        let span = request.target.saturating_sub(request.arrived);
        let pause = self.pause(now, &request.service).unwrap_or_default();
        let limit = self.refusing_limit(now, request);
        let queue_time = if limit == Limit::Rate {
            self.credit_wait(now, &request.service)
        } else {
            Duration::ZERO
        };
        let retry_after = span.max(MIN_RETRY_AFTER).max(pause).max(queue_time);
        let is_over_share = self.is_over_share(now, &request.service, request.workspace.as_ref());
        let reason = if is_over_share { Refusal::OverShare } else { Refusal::NoRunner };
        Decision::Refused { retry_after, reason, limit }
    }

    /// Returns what keeps a request from the engines, without effect on later decisions.
    fn refusing_limit(&self, now: Duration, request: &Request) -> Limit {
        if !self.knows_departures(now) {
            return Limit::Departures;
        }
        let selector = self.current_selector(now, &request.service, request.workspace.as_ref());
        selector.map_or(Limit::Engines, |selector| selector.openings(request).limit())
    }

    /// Returns whether only its fair share keeps a workspace from the runners of a service.
    fn is_over_share(&mut self, now: Duration, service: &Name, workspace: Option<&Name>) -> bool {
        let Some(workspace) = workspace else { return false };
        self.update_shares(now);
        let fair_share = self.shares.fair_share();
        fair_share.is_competing(self.usage.of(now, workspace))
            && self.selector(now, service, None).is_some_and(|selector| selector.has_usable_room())
    }
}
