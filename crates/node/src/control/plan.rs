//! The shards of a service and their plans, derived from the configuration.

use base::Name;
use base::RequestId;
use conf::Configuration;
use conf::configuration::Kind;
use conf::configuration::Runner;
use conf::configuration::Service;
use indexmap::IndexMap;
use indexmap::IndexSet;
use sched::Plan;
use sched::RunnerPlan;
use sched::WorkspacePlan;
use sched::baseline::Scheduler;
use wire::Shard;

use super::placement;

/// Creates the scheduler of a shard in baseline mode, or replaces it when the plan of the shard has changed.
pub(super) fn refresh_scheduler(schedulers: &mut IndexMap<Shard, Scheduler>, plan: &Plan) {
    if schedulers.get(&plan.shard).is_none_or(|scheduler| scheduler.plan() != plan) {
        schedulers.insert(plan.shard.clone(), Scheduler::new(plan.clone()));
    }
}

/// Returns the number of shards of a service.
pub(super) fn shard_count(service: &Service) -> u16 {
    let shard_size = usize::try_from(service.shard_runners).unwrap_or(usize::MAX).max(1);
    u16::try_from(service.runners.len().div_ceil(shard_size)).unwrap_or(u16::MAX).max(1)
}

/// Returns the shard of a service that has the given index.
pub(super) fn shard_of(service: &Service, index: u16) -> Shard {
    Shard { service: service.name.clone(), region: service.region.clone(), index }
}

/// Returns all shards of a service.
pub(super) fn shards_of(service: &Service) -> impl Iterator<Item = Shard> {
    (0..shard_count(service)).map(|index| shard_of(service, index))
}

/// Returns the runners of a shard; each shard in turn gets the next runner, so that all have runners in all zones.
pub(super) fn runners_of(service: &Service, index: u16) -> impl Iterator<Item = &Runner> {
    let count = usize::from(shard_count(service));
    service.runners.iter().skip(usize::from(index)).step_by(count)
}

/// Returns the shard for a new request, chosen by the id of the request so that all shards get about equally many.
pub(super) fn shard_for(service: &Service, request: RequestId) -> Shard {
    let index = request.0 % u128::from(shard_count(service));
    shard_of(service, u16::try_from(index).unwrap_or(0))
}

/// Returns the service as a single shard, for baseline mode.
pub(super) fn unsharded(service: &Service) -> Service {
    Service { shard_runners: u32::MAX, ..service.clone() }
}

/// Returns the plans of all shards of a service.
pub(super) fn plans(
    configuration: &Configuration,
    service: &Service,
    out: &IndexSet<Name>,
) -> Vec<Plan> {
    (0..shard_count(service)).map(|index| plan(configuration, service, index, out)).collect()
}

fn plan(
    configuration: &Configuration,
    service: &Service,
    index: u16,
    out: &IndexSet<Name>,
) -> Plan {
    Plan {
        shard: shard_of(service, index),
        kind: match service.kind {
            Kind::Engine => sched::Kind::Engine,
            Kind::Plain => sched::Kind::Plain,
        },
        runners: runners_of(service, index)
            .map(|runner| RunnerPlan {
                name: runner.name.clone(),
                zone: runner.zone.clone(),
                warm_limit: runner.warm_limit,
                cold_limit: runner.cold_limit,
                out: placement::is_out_of_service(out, &runner.zone, &runner.name),
            })
            .collect(),
        workspaces: configuration
            .workspaces
            .iter()
            .map(|workspace| WorkspacePlan {
                name: workspace.name.clone(),
                weight: workspace.weight,
                queue_limit: workspace.queue_limit,
            })
            .collect(),
    }
}
