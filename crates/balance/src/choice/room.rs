//! How much room runners have for the requests of a workspace, and what limits it.

use super::Selector;
use super::missing_tokens;
use super::usable_memory;
use crate::EngineRoom;
use crate::Limit;
use crate::Openings;
use crate::Request;
use crate::lease::Places;

impl Selector<'_> {
    /// Returns whether any runner has room for a request of the workspace that needs no processing of its prompt.
    ///
    /// If none has, no request of the workspace can be granted, whatever its prompt.
    pub(crate) fn has_room(&self) -> bool {
        let Some(engine) = self.service.engine else { return true };
        let limits = self.workspace_limits();
        let is_leased = self.lease_limit().is_none();
        let mut serving = self.serving(self.service.name.as_str());
        serving.any(|(_, runner)| {
            let load = self.expectation.load(runner);
            runner.has_credit(self.now)
                && (is_leased || runner.is_limited(self.now))
                && limits.may_run(load, runner, &engine)
                && load.backlog <= limits.backlog_at(runner, self.now)
        })
    }

    /// Returns whether any engine that may be used now has room.
    pub(crate) fn has_usable_room(&self) -> bool {
        let Some(engine) = self.service.engine else { return false };
        let limits = self.workspace_limits();
        let mut serving = self.serving(self.service.name.as_str());
        serving.any(|(_, runner)| {
            let load = self.expectation.load(runner);
            runner.may_be_sent(self.now)
                && runner.has_credit(self.now)
                && limits.may_run(load, runner, &engine)
                && load.backlog < limits.backlog_at(runner, self.now)
                && load.memory < usable_memory(&engine)
        })
    }

    /// Returns the number of engines by what limits them for requests of the workspace.
    pub(crate) fn engine_room(&self) -> EngineRoom {
        let mut room = EngineRoom::default();
        let Some(engine) = self.service.engine else { return room };
        let limits = self.workspace_limits();
        for (_, runner) in self.serving(self.service.name.as_str()) {
            let load = self.expectation.load(runner);
            let count = if !runner.has_credit(self.now) {
                &mut room.at_rate_limit
            } else if !limits.may_run(load, runner, &engine) {
                &mut room.at_running_limit
            } else if load.backlog >= limits.backlog_at(runner, self.now) {
                &mut room.at_backlog_limit
            } else if load.memory >= usable_memory(&engine) {
                &mut room.at_memory_limit
            } else {
                &mut room.free
            };
            *count += 1;
        }
        room
    }

    /// Returns the number of engines that would take a request, and whether this router may place it.
    pub(crate) fn openings(&self, request: &Request) -> Openings {
        let full = Self { fraction: 1.0, ..*self };
        Openings {
            full: full.count_openings(request),
            share: self.count_openings(request),
            without_credit: full.count_without_credit(request),
            lease_limit: self.lease_limit(),
            is_placeable: self.choose(request).is_some(),
        }
    }

    fn count_openings(&self, request: &Request) -> u32 {
        let serving = self.serving(request.service.as_str());
        let usable = serving.filter(|(key, runner)| self.is_usable(*key, runner, request));
        let open = usable.filter(|(_, runner)| {
            let missing = missing_tokens(runner, request, self.now);
            self.has_capacity(runner, request, missing)
        });
        u32::try_from(open.count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of runners that only lack a credit of this router to take a request.
    fn count_without_credit(&self, request: &Request) -> u32 {
        let serving = self.serving(request.service.as_str());
        let limited = serving.filter(|(key, runner)| {
            !runner.has_credit(self.now) && self.is_available(*key, runner, request)
        });
        let open = limited.filter(|(_, runner)| self.may_have_capacity(runner, request));
        u32::try_from(open.count()).unwrap_or(u32::MAX)
    }

    /// Returns the places for the workspace at the engines that may be used without a credit; `None` if these are no engines.
    pub(crate) fn places(&self) -> Option<Places> {
        let engine = self.service.engine?;
        let limits = self.workspace_limits();
        let mut places = Places::default();
        let serving = self.serving(self.service.name.as_str());
        let usable = serving.filter(|(_, runner)| runner.may_be_sent(self.now));
        for (_, runner) in usable.filter(|(_, runner)| !runner.is_limited(self.now)) {
            places.own.add(runner.own_load);
            places.running += f64::from(limits.running_at(runner, &engine));
            places.backlog += limits.backlog_at(runner, self.now) as f64;
        }
        Some(places)
    }

    /// Returns what the lease of this router lacks for another request of the workspace; `None` if it allows one.
    pub(super) fn lease_limit(&self) -> Option<Limit> {
        let places = self.places().filter(|_| !self.is_beyond_lease)?;
        self.lease.limit(&places)
    }
}
