//! What the configuration says of a shard.

use base::Name;
use conf::Configuration;
use conf::configuration::Kind;
use conf::configuration::Service;
use indexmap::IndexMap;
use indexmap::IndexSet;
use sched::Plan;
use sched::RunnerPlan;
use sched::WorkspacePlan;
use sched::baseline::Local;
use wire::Shard;

use super::placement;

/// Gives a router that decides alone the plan of a shard when it has changed.
pub(super) fn review_local(locals: &mut IndexMap<Shard, Local>, plan: &Plan) {
    if locals.get(&plan.shard).is_none_or(|local| local.plan() != plan) {
        locals.insert(plan.shard.clone(), Local::new(plan.clone()));
    }
}

/// Returns the shard of a service.
pub(super) fn shard_of(service: &Service) -> Shard {
    Shard { service: service.name.clone(), region: service.region.clone(), index: 0 }
}

/// Returns the plan of the shard of a service.
pub(super) fn plan(configuration: &Configuration, service: &Service, out: &IndexSet<Name>) -> Plan {
    Plan {
        shard: shard_of(service),
        kind: match service.kind {
            Kind::Engine => sched::Kind::Engine,
            Kind::Plain => sched::Kind::Plain,
        },
        runners: service
            .runners
            .iter()
            .map(|runner| RunnerPlan {
                name: runner.name.clone(),
                zone: runner.zone.clone(),
                warm_limit: runner.warm_limit,
                cold_limit: runner.cold_limit,
                out: placement::is_out(out, &runner.zone, &runner.name),
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
