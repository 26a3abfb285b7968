//! The view of the fleet: live members, the owners of shards, and the snapshot for traffic threads.

use std::sync::Arc;

use base::EventKind;
use base::Name;
use conf::Configuration;
use front::LiveRouter;
use front::Snapshot;
use indexmap::IndexSet;
use mesh::Candidate;
use mesh::Member;
use mesh::State;
use plat::Listing;
use sched::Dispatcher;
use sched::Plan;
use sched::Sibling;
use wire::Shard;
use wire::Term;

use super::Control;
use super::placement;
use super::plan::plans;
use super::plan::refresh_scheduler;
use super::plan::runners_of;
use super::plan::shard_count;
use super::plan::shards_of;
use super::plan::unsharded;
use super::republish::MAX_FIRST_REPUBLISH_DELAY;
use crate::input::LoadTarget;

impl Control {
    /// Publishes to the fleet that this router is not leaving, and records its start.
    pub(super) fn start(&mut self) {
        self.members = self.mesh.members();
        self.publish_leaving(false);
        self.republish_due = self.now() + self.republish_period().min(MAX_FIRST_REPUBLISH_DELAY);
        self.record_event(EventKind::Process, "the router has started");
        self.refresh();
    }

    /// Handles a new instance list of the platform.
    pub(super) fn handle_listing(&mut self, listing: Listing) {
        if listing == self.listing {
            return;
        }
        let candidates = listing.instances.iter().map(|instance| Candidate {
            name: instance.name.clone(),
            address: instance.peers,
            zone: instance.zone.clone(),
            region: instance.region.clone(),
            leaving: instance.leaving,
        });
        self.mesh.set_candidates(candidates.collect());
        self.listing = listing;
        self.refresh();
    }

    /// Handles a changed list of members.
    pub(super) fn handle_members(&mut self, members: Vec<Member>) {
        for member in &members {
            let before = self.members.iter().find(|known| known.name == member.name);
            let changed = before.is_none_or(|known| {
                known.state != member.state || known.incarnation != member.incarnation
            });
            if changed {
                self.record_event(
                    EventKind::Member,
                    &format!("member {} is {}", member.name, member.state),
                );
            }
        }
        self.report_ended(&members);
        self.members = members;
        self.refresh();
    }

    /// Reports ended processes to the dispatchers, including those whose name a new process took over at once.
    fn report_ended(&mut self, members: &[Member]) {
        let now = self.now();
        let is_replaced = |name: &Name| {
            let known = self.members.iter().find(|member| member.name == *name);
            let next = members.iter().find(|member| member.name == *name);
            known.zip(next).is_some_and(|(known, next)| known.incarnation != next.incarnation)
        };
        for (shard, dispatcher) in &mut self.dispatchers {
            let in_region =
                |member: &&Member| member.state.is_live() && member.region == shard.region;
            let alive = members.iter().filter(in_region).map(|member| member.name.clone());
            let (ended, staying): (Vec<Name>, Vec<Name>) = alive.partition(is_replaced);
            if !ended.is_empty() {
                let listed = staying.len() + ended.len();
                dispatcher.update_members(staying, listed, now);
            }
        }
    }

    /// Starts to leave the fleet: callers are redirected and shards are handed over.
    pub(super) fn leave(&mut self) {
        self.leaving = true;
        self.publish_leaving(true);
        self.record_event(EventKind::Process, "the router is leaving");
        self.refresh();
    }

    /// Handles the load report of a runner.
    pub(super) fn handle_load(&mut self, shard: &Shard, runner: &Name, load: Option<sched::Load>) {
        let now = self.now();
        self.record_runner_load(shard, runner, load);
        if let Some(dispatcher) = self.dispatchers.get_mut(shard) {
            dispatcher.record_load(runner, load, now);
        }
    }

    /// Updates shards, plans and the snapshot after any change.
    pub(super) fn refresh(&mut self) {
        let version = self.chain.version().filter(|_| self.has_joined());
        let configuration = version.map(|version| Arc::new(version.configuration.clone()));
        let mut out = self.out_of_service();
        out.extend(self.listing.leaving_runners.iter().map(placement::instance_key));
        if let Some(configuration) = &configuration {
            self.refresh_shards(configuration, &out);
        }
        self.ports.snapshot.send_replace(Snapshot {
            configuration,
            version: self.chain.number(),
            routers: self.live_routers(&out),
            out_of_service: out,
            leaving: self.leaving,
        });
    }

    fn refresh_shards(&mut self, configuration: &Configuration, out: &IndexSet<Name>) {
        let is_baseline = self.baseline.is_some();
        let plans: Vec<Plan> = configuration
            .services
            .iter()
            .flat_map(|service| match is_baseline {
                true => plans(configuration, &unsharded(service), out),
                false => plans(configuration, service, out),
            })
            .collect();
        self.dispatchers.retain(|shard, _| plans.iter().any(|plan| plan.shard == *shard));
        for plan in &plans {
            match &mut self.baseline {
                Some(schedulers) => refresh_scheduler(schedulers, plan),
                None => self.refresh_owner(plan, out),
            }
        }
        self.refresh_siblings(configuration, out);
        self.refresh_targets(configuration);
        self.refresh_leases(configuration, out);
    }

    fn refresh_owner(&mut self, plan: &Plan, out: &IndexSet<Name>) {
        let now = self.now();
        let shard = &plan.shard;
        let candidates = self.dispatcher_candidates(&shard.region, out);
        let owner = sched::owner(shard, &candidates).cloned();
        let alive = self.live_members(&shard.region);
        let listed = self.listed_count(&shard.region).max(alive.len());
        if owner.as_ref() != Some(&self.me) {
            self.dispatchers.swap_remove(shard);
        } else if let Some(dispatcher) = self.dispatchers.get_mut(shard) {
            dispatcher.update_plan(plan.clone(), now);
            dispatcher.update_members(alive, listed, now);
        } else {
            let term = Term(self.shared.clock.now());
            log::info!("sched: this router becomes dispatcher of {shard} in term {term}");
            self.record_event(
                EventKind::Dispatcher,
                &format!("{} dispatches {shard} in term {term}", self.me),
            );
            let dispatcher =
                Dispatcher::new(plan.clone(), self.me.clone(), term, alive, listed, now);
            self.dispatchers.insert(shard.clone(), dispatcher);
        }
        self.entry.set_owner(shard, owner, now);
    }

    /// Updates the dispatchers with the other shards of their service, and the entry with the number of shards.
    fn refresh_siblings(&mut self, configuration: &Configuration, out: &IndexSet<Name>) {
        let now = self.now();
        for service in &configuration.services {
            let candidates = self.dispatcher_candidates(&service.region, out);
            let siblings: Vec<Sibling> = shards_of(service)
                .filter_map(|shard| {
                    let owner = sched::owner(&shard, &candidates)?.clone();
                    Some(Sibling { shard, owner })
                })
                .collect();
            for shard in shards_of(service) {
                let Some(dispatcher) = self.dispatchers.get_mut(&shard) else { continue };
                let others = siblings.iter().filter(|sibling| sibling.shard != shard);
                dispatcher.update_siblings(others.cloned().collect());
            }
        }
        let resharded = |shard: &Shard| {
            let service =
                configuration.services.iter().find(|service| service.name == shard.service);
            let index = service.map_or(shard.index, |service| shard.index % shard_count(service));
            Shard { index, ..shard.clone() }
        };
        self.entry.reshard(resharded, now);
    }

    fn refresh_targets(&mut self, configuration: &Configuration) {
        let mut targets = Vec::new();
        for service in &configuration.services {
            for shard in shards_of(service) {
                if !self.dispatchers.contains_key(&shard) {
                    continue;
                }
                targets.extend(runners_of(service, shard.index).map(|runner| LoadTarget {
                    shard: shard.clone(),
                    runner: runner.name.clone(),
                    address: runner.address,
                }));
            }
        }
        self.ports.targets.send_if_modified(|known| {
            let changed = *known != targets;
            *known = targets;
            changed
        });
    }

    /// Returns whether this router knows the fleet; without a list or another member, it would act as the only router.
    fn has_joined(&self) -> bool {
        !self.listing.instances.is_empty()
            || self.members.iter().any(|member| member.name != self.me)
    }

    fn dispatcher_candidates(&self, region: &Name, out: &IndexSet<Name>) -> Vec<Name> {
        let staying: Vec<&Member> = self
            .members
            .iter()
            .filter(|member| {
                member.state.is_live() && member.region == *region && !self.is_leaving(&member.name)
            })
            .collect();
        let in_service: Vec<Name> = staying
            .iter()
            .filter(|member| !placement::is_out_of_service(out, &member.zone, &member.name))
            .map(|member| member.name.clone())
            .collect();
        if in_service.is_empty() {
            staying.iter().map(|member| member.name.clone()).collect()
        } else {
            in_service
        }
    }

    fn live_members(&self, region: &Name) -> Vec<Name> {
        let alive =
            self.members.iter().filter(|member| member.state.is_live() && member.region == *region);
        alive.map(|member| member.name.clone()).collect()
    }

    fn listed_count(&self, region: &Name) -> usize {
        let has_left = |name: &Name| {
            self.members.iter().any(|member| member.name == *name && member.state == State::Left)
        };
        self.listing
            .instances
            .iter()
            .filter(|instance| instance.region == *region && !has_left(&instance.name))
            .count()
    }

    fn live_routers(&self, out: &IndexSet<Name>) -> Vec<LiveRouter> {
        let mut live_routers = Vec::new();
        for instance in &self.listing.instances {
            let alive = instance.name == self.me
                || self
                    .members
                    .iter()
                    .any(|member| member.name == instance.name && member.state.is_live());
            if !alive {
                continue;
            }
            let leaving = instance.leaving || self.is_leaving(&instance.name);
            live_routers.push(LiveRouter {
                name: instance.name.clone(),
                zone: instance.zone.clone(),
                callers: instance.callers,
                accepts_callers: !leaving
                    && !placement::is_out_of_service(out, &instance.zone, &instance.name),
            });
        }
        live_routers
    }
}
