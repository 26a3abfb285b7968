//! The fleet and the load of the measurement.

use base::Class;
use rand::Rng;
use rig::Arrival;
use rig::Builder;
use rig::Call;
use rig::Fleet;
use rig::Load;
use rig::Mix;
use rig::RunnerPlan;
use rig::ServicePlan;
use rig::Stream;
use rig::WorkspacePlan;

/// Number of routers.
pub(super) const ROUTERS: usize = 9;
/// The zones.
pub(super) const ZONES: [&str; 3] = ["derby", "nottingham", "leicester"];
/// Index in [`ZONES`] of the zone that is taken out of service.
pub(super) const TARGET_ZONE: usize = 1;
/// Number of slots of an engine.
pub(super) const SLOTS: u32 = 4;
/// The backlogged workspaces with their weights.
pub(super) const BACKLOGGED: [(&str, u32); 2] = [("crag", 2), ("gym", 1)];
/// The workspaces that stay within their fair share.
pub(super) const WITHIN_SHARE: [&str; 4] = ["birch", "gritstone", "lattice", "tor"];
/// Region of the fleet.
const REGION: &str = "midlands";
/// Name of the model service.
const ENGINE: &str = "belay-llm";
/// Number of engines.
const ENGINES: usize = 12;
/// Concurrency limit of a cold engine, in requests.
const COLD_LIMIT: u32 = 2;
/// Number of callers of a backlogged workspace at each router.
const CALLERS_PER_ROUTER: u32 = 8;
/// Calls per second of a workspace within its share.
const CALLS_PER_SECOND: f64 = 2.0;

/// Returns whether an engine is in the zone that is taken out; engines are assigned to the zones in turn.
pub(super) fn is_in_target_zone(engine: usize) -> bool {
    engine % ZONES.len() == TARGET_ZONE
}

/// Returns the definition of the fleet.
pub(super) fn fleet() -> Builder {
    let slots = SLOTS.to_string();
    let engine = RunnerPlan::new()
        .args(&["--slots", &slots, "--token-interval-ms", "30"])
        .limits(SLOTS, COLD_LIMIT);
    let mut builder = Fleet::builder().routers(ROUTERS);
    for zone in ZONES {
        builder = builder.zone(zone, REGION);
    }
    for (name, weight) in BACKLOGGED {
        builder = builder.workspace(WorkspacePlan::new(name).weight(weight).queue_limit(256));
    }
    for name in WITHIN_SHARE {
        builder = builder.workspace(WorkspacePlan::new(name));
    }
    builder.service(ServicePlan::engine(ENGINE, REGION).runners(ENGINES, &engine))
}

/// Adds the streams of all workspaces to a load.
pub(super) fn load(fleet: &Fleet, mut load: Load) -> Load {
    for (name, _) in BACKLOGGED {
        for router in 0..ROUTERS {
            let arrival = Arrival::Closed { callers: CALLERS_PER_ROUTER };
            let stream = Stream::new(name, fleet.caller_of(name, router), arrival, mix([16, 48]));
            load = load.stream(stream);
        }
    }
    for (index, name) in WITHIN_SHARE.into_iter().enumerate() {
        let arrival = Arrival::Open { per_second: CALLS_PER_SECOND };
        let caller = fleet.caller_of(name, (2 * index) % ROUTERS);
        load = load.stream(Stream::new(name, caller, arrival, mix([8, 24])));
    }
    load
}

fn mix(tokens: [u32; 2]) -> Mix {
    Mix::of(move |random, number| {
        let count = random.random_range(tokens[0]..=tokens[1]);
        Call::completion(ENGINE, &format!("question {number}"), count)
            .class(Class::Interactive)
            .cost_hint(u64::from(random.random_range(count / 2..=count * 2)))
    })
}
