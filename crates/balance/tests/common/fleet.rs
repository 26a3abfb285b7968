//! Routers that share engines and report to each other with a delay.

use std::time::Duration;

use balance::Core;
use balance::Decision;
use balance::Grant;
use balance::Origin;
use balance::Outcome;
use balance::Request;
use balance::Work;
use base::Name;
use indexmap::IndexMap;

use super::SERVICE;
use super::TARGET;
use super::core;

/// The time from a grant to the first token.
const FIRST_TOKEN: Duration = Duration::from_millis(120);

/// A request that an engine runs.
struct Running {
    router: usize,
    grant: Grant,
    workspace: Name,
    first_token: Option<Duration>,
    ends_at: Duration,
}

/// Routers that share engines and report to each other at a fixed interval.
pub(crate) struct Fleet {
    pub(crate) cores: Vec<Core>,
    /// The number of requests granted, by workspace and whole second.
    pub(crate) granted: IndexMap<(Name, u64), u64>,
    /// A router whose reports get lost from one time to another.
    pub(crate) silent: Option<(usize, Duration, Duration)>,
    run: Duration,
    interval: Duration,
    running: Vec<Running>,
    waiting: IndexMap<(usize, balance::Ticket), Name>,
}

impl Fleet {
    /// Creates routers whose requests run for a given time, and which report at a given interval.
    pub(crate) fn new(routers: usize, engines: usize, run: Duration, interval: Duration) -> Self {
        let names: Vec<Name> = (0..routers).map(|n| Name::new(&format!("router-{n}"))).collect();
        let cores = names.iter().map(|name| {
            let mut core = core(name.as_str(), engines);
            core.set_report_interval(interval);
            core.set_peers(names.iter().filter(|other| *other != name).cloned().collect());
            core
        });
        Self {
            cores: cores.collect(),
            granted: IndexMap::new(),
            silent: None,
            run,
            interval,
            running: Vec::new(),
            waiting: IndexMap::new(),
        }
    }

    /// Submits a request at a router.
    pub(crate) fn submit(&mut self, now: Duration, router: usize, request: Request) {
        let workspace = request.workspace.clone().expect("a request has a workspace");
        match self.cores[router].submit(now, request) {
            Outcome::Queued(ticket) => {
                self.waiting.insert((router, ticket), workspace);
            }
            Outcome::Decided(decision) => self.record(now, router, decision, &workspace),
        }
    }

    /// Returns the number of requests of a workspace that were granted from one second to another.
    pub(crate) fn granted_between(&self, workspace: &str, from: u64, to: u64) -> u64 {
        let name = Name::new(workspace);
        (from..to).filter_map(|second| self.granted.get(&(name.clone(), second))).sum()
    }

    /// Ends requests, decides waiting ones and exchanges reports, in steps of 10 ms.
    pub(crate) fn step(&mut self, now: Duration) {
        self.advance_requests(now);
        // The router with the lowest number runs last, after the others have used the free capacity.
        for router in (0..self.cores.len()).rev() {
            for (ticket, decision) in self.cores[router].process_queue(now) {
                let workspace = self.waiting.swap_remove(&(router, ticket)).expect("waiting");
                self.record(now, router, decision, &workspace);
            }
        }
        if now.as_millis().is_multiple_of(self.interval.as_millis()) {
            self.exchange(now);
        }
    }

    /// Lets all routers measure tokens that take far too long.
    pub(crate) fn record_slow_tokens(&mut self, now: Duration) {
        for core in &mut self.cores {
            core.record_token_time(now, &Name::new(SERVICE), Duration::from_secs(1));
        }
    }

    fn advance_requests(&mut self, now: Duration) {
        for running in &mut self.running {
            if running.first_token.take_if(|at| *at <= now).is_some() {
                let core = &mut self.cores[running.router];
                let grant = &mut running.grant;
                core.record_first_token(now, grant, &Name::new(SERVICE), FIRST_TOKEN, TARGET);
            }
        }
        let is_ended = |running: &Running| running.ends_at <= now;
        let (ended, running) = std::mem::take(&mut self.running).into_iter().partition(is_ended);
        self.running = running;
        for Running { router, grant, workspace, .. } in ended {
            self.cores[router].release(now, &grant, Some(&workspace), true);
        }
    }

    fn record(&mut self, now: Duration, router: usize, decision: Decision, workspace: &Name) {
        let Decision::Granted(grant) = decision else { return };
        *self.granted.entry((workspace.clone(), now.as_secs())).or_default() += 1;
        self.running.push(Running {
            router,
            grant,
            workspace: workspace.clone(),
            first_token: Some(now + FIRST_TOKEN),
            ends_at: now + self.run,
        });
    }

    fn exchange(&mut self, now: Duration) {
        for from in 0..self.cores.len() {
            let is_silent = |(router, start, end)| router == from && (start..end).contains(&now);
            if self.silent.is_some_and(is_silent) {
                continue;
            }
            let sender = Origin::Router(Name::new(&format!("router-{from}")));
            let loads: Vec<_> = self.cores[from]
                .registry
                .iter()
                .map(|(_, runner)| (runner.registration.id.clone(), runner.own_load))
                .collect();
            let works: IndexMap<Name, Work> =
                self.cores[from].usage.own(now).map(|(name, work)| (name.clone(), work)).collect();
            for (to, core) in self.cores.iter_mut().enumerate() {
                if to == from {
                    continue;
                }
                for (id, load) in &loads {
                    let key = core.registry.find(id.as_str()).expect("known");
                    let runner = core.registry.get_mut(key).expect("known");
                    runner.peer_loads.put(&sender, now, *load);
                }
                core.usage.put(&sender, now, works.clone());
            }
        }
    }
}
