//! The sizes of the two deployments and their load.

use base::Class;
use rand::Rng;
use rand::rngs::StdRng;
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

/// Number of routers of a deployment.
pub(crate) const ROUTERS: usize = 9;
/// Number of engines of a deployment.
const ENGINE_COUNT: usize = 20;
/// Number of runners of the plain service.
const PLAIN_RUNNER_COUNT: usize = 3;
/// Number of slots of an engine.
pub(crate) const SLOTS: u32 = 4;
/// Concurrency limit of a cold engine, in requests.
const COLD_LIMIT: u32 = 2;
/// Number of workspaces; the backlogged ones come first.
const WORKSPACE_COUNT: usize = 16;

/// A deployment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Profile {
    /// Its name.
    pub(crate) name: &'static str,
    /// Its region.
    pub(crate) region: &'static str,
    /// Its zones.
    pub(crate) zones: [&'static str; 3],
    /// The name of its model service.
    pub(crate) model_service: &'static str,
    /// The name of its plain service.
    pub(crate) plain_service: &'static str,
    /// Time between two tokens of an engine, in milliseconds.
    token_ms: u32,
    /// Maximum number of runners of one shard.
    shard_runners: u32,
}

/// A workspace that always has waiting work.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backlogged {
    /// The number in its name.
    pub(crate) number: usize,
    /// Its weight.
    pub(crate) weight: u32,
    /// Number of its callers, divided among its routers.
    callers: u32,
    class: Class,
    /// The smallest and largest number of tokens of an answer.
    tokens: [u32; 2],
    /// The first and last router that its callers use.
    routers: [usize; 2],
}

/// The backlogged workspaces, distributed unevenly over the routers.
pub(crate) const BACKLOGGED: [Backlogged; 3] = [
    Backlogged {
        number: 1,
        weight: 1,
        callers: 60,
        class: Class::Long,
        tokens: [100, 260],
        routers: [0, 0],
    },
    Backlogged {
        number: 2,
        weight: 1,
        callers: 40,
        class: Class::Long,
        tokens: [40, 120],
        routers: [1, 2],
    },
    Backlogged {
        number: 3,
        weight: 2,
        callers: 90,
        class: Class::Interactive,
        tokens: [30, 90],
        routers: [0, 8],
    },
];

impl Profile {
    /// Returns the climbers' deployment, `trentside`.
    pub(crate) const fn trentside() -> Self {
        Self {
            name: "trentside",
            region: "midlands",
            zones: ["derby", "nottingham", "leicester"],
            model_service: "belay-llm",
            plain_service: "ledger-app",
            token_ms: 30,
            shard_runners: 5,
        }
    }

    /// Returns the wrap shops' deployment, `limkraftur`.
    pub(crate) const fn limkraftur() -> Self {
        Self {
            name: "limkraftur",
            region: "is-reykjanes",
            zones: ["rnes-a", "rnes-b", "rnes-c"],
            model_service: "wrap-assist",
            plain_service: "shop-orders",
            token_ms: 35,
            shard_runners: 5,
        }
    }

    /// Sets the maximum number of runners of a shard.
    pub(crate) const fn shard_runners(mut self, count: u32) -> Self {
        self.shard_runners = count;
        self
    }

    /// Returns the definition of the fleet with its runners and workspaces.
    pub(crate) fn fleet(&self) -> Builder {
        let token_ms = self.token_ms.to_string();
        let slots = SLOTS.to_string();
        let engine = RunnerPlan::new()
            .args(&["--slots", &slots, "--token-interval-ms", &token_ms])
            .limits(SLOTS, COLD_LIMIT);
        let engines = ServicePlan::engine(self.model_service, self.region)
            .runners(ENGINE_COUNT, &engine)
            .field("shard_runners", self.shard_runners.into());
        let mut builder = Fleet::builder().routers(ROUTERS);
        for zone in self.zones {
            builder = builder.zone(zone, self.region);
        }
        for number in 1..=WORKSPACE_COUNT {
            let backlogged = BACKLOGGED.iter().find(|backlogged| backlogged.number == number);
            let weight = backlogged.map_or(1, |backlogged| backlogged.weight);
            let plan = WorkspacePlan::new(&workspace_name(number)).weight(weight).queue_limit(256);
            builder = builder.workspace(plan);
        }
        builder.service(engines).service(
            ServicePlan::plain(self.plain_service, self.region)
                .runners(PLAIN_RUNNER_COUNT, &RunnerPlan::new()),
        )
    }

    /// Adds the streams of all workspaces to a load.
    pub(crate) fn load(&self, fleet: &Fleet, mut load: Load) -> Load {
        for backlogged in BACKLOGGED {
            for router in backlogged.routers[0]..=backlogged.routers[1] {
                load = load.stream(self.backlogged_stream(fleet, backlogged, router));
            }
        }
        for number in BACKLOGGED.len() + 1..=WORKSPACE_COUNT {
            load = load
                .stream(self.within_share_stream(fleet, number))
                .stream(self.plain_stream(fleet, number));
        }
        load
    }

    fn backlogged_stream(&self, fleet: &Fleet, backlogged: Backlogged, router: usize) -> Stream {
        let name = workspace_name(backlogged.number);
        let routers = u32::try_from(backlogged.routers[1] - backlogged.routers[0] + 1).unwrap_or(1);
        let service = self.model_service;
        let mix = Mix::of(move |random, number| {
            model_call(service, backlogged.class, backlogged.tokens, random, number)
        });
        let arrival = Arrival::Closed { callers: backlogged.callers / routers };
        Stream::new(&name, fleet.caller_of(&name, router), arrival, mix)
    }

    fn within_share_stream(&self, fleet: &Fleet, number: usize) -> Stream {
        let name = workspace_name(number);
        let service = self.model_service;
        let mix = Mix::of(move |random, number| {
            model_call(service, Class::Interactive, [8, 24], random, number)
        });
        Stream::new(
            &name,
            fleet.caller_of(&name, number % ROUTERS),
            Arrival::Open { per_second: 0.5 },
            mix,
        )
    }

    fn plain_stream(&self, fleet: &Fleet, number: usize) -> Stream {
        let name = workspace_name(number);
        let service = self.plain_service;
        let mix = Mix::of(move |_, number| Call::lookup(service, &format!("/entries/{number}")))
            .and(1, move |_, number| {
                Call::non_idempotent(service, "/entries", &format!("{{\"entry\":{number}}}"))
            });
        Stream::new(
            &name,
            fleet.caller_of(&name, (number + 4) % ROUTERS),
            Arrival::Open { per_second: 1.0 },
            mix,
        )
    }
}

/// Returns the name of a workspace.
pub(crate) fn workspace_name(number: usize) -> String {
    format!("w{number}")
}

fn model_call(
    service: &str,
    class: Class,
    tokens: [u32; 2],
    random: &mut StdRng,
    number: u64,
) -> Call {
    let count = random.random_range(tokens[0]..=tokens[1]);
    let cost_hint = u64::from(random.random_range(count / 2..=count * 2));
    Call::completion(service, &format!("question {number}"), count)
        .class(class)
        .cost_hint(cost_hint)
}
