//! The control state of a router, owned by one thread.
//!
//! All decisions are made here: which router owns a shard, which request runs next and which configuration is in force.
//! Traffic threads send [`front::Order`]s and read [`front::Snapshot`]s; background tasks send [`Input`]s.

mod config;
pub(crate) mod fence;
pub mod lease;
mod order;
mod placement;
mod plan;
mod republish;
mod route;
mod status;
mod view;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use std::time::Instant;

use base::Clock;
use base::Event;
use base::EventKind;
use base::Name;
use base::RequestId;
use base::Ring;
use claim::Claims;
use claim::Crashes;
use conf::Chain;
use conf::Settings;
use conf::settings::Mode;
use front::Counters;
use front::Decision;
use front::Order;
use front::Snapshot;
use indexmap::IndexMap;
use mesh::Member;
use mesh::Mesh;
use plat::Listing;
use plat::Log;
use sched::Dispatcher;
use sched::Entry;
use sched::baseline::Scheduler;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;
use wire::Shard;

use self::fence::ShardLease;
use self::placement::PendingOrder;
use crate::input::Input;
use crate::input::LoadTarget;
use crate::usage::Usage;

pub(crate) use config::PendingConfig;

/// Maximum time between two rounds of due decisions when no input arrives.
const MAX_IDLE_TIME: Duration = Duration::from_millis(250);
/// Maximum number of events, and of orders, that are handled before due decisions are made again.
const MAX_BATCH: usize = 64;

/// The channels of the control thread.
#[derive(Debug)]
pub(crate) struct Ports {
    /// Orders from traffic threads.
    pub(crate) orders: mpsc::UnboundedReceiver<Order>,
    /// Messages from background tasks.
    pub(crate) inputs: mpsc::Receiver<Input>,
    /// The sender for background tasks that the control state starts.
    pub(crate) input_sender: mpsc::Sender<Input>,
    /// Events from the links to other routers.
    pub(crate) events: mpsc::Receiver<mesh::Event>,
    /// The state published to traffic threads.
    pub(crate) snapshot: watch::Sender<Snapshot>,
    /// The runners whose load is polled.
    pub(crate) targets: watch::Sender<Vec<LoadTarget>>,
}

/// The state that the control thread shares with traffic threads.
#[derive(Debug, Clone)]
pub(crate) struct Shared {
    /// The settings of this router.
    pub(crate) settings: Settings,
    /// The hybrid logical clock.
    pub(crate) clock: Arc<Clock>,
    /// The timeline of this process.
    pub(crate) ring: Arc<Ring>,
    /// Requests that are suspected of crashing runners.
    pub(crate) crashes: Arc<Mutex<Crashes>>,
    /// Counters of calls.
    pub(crate) counters: Arc<Counters>,
    /// Claims of non-idempotent calls.
    pub(crate) claims: Arc<Claims>,
    /// The start time of the process.
    pub(crate) started: Instant,
}

/// A call at this router that waits for a decision.
#[derive(Debug)]
struct Waiting {
    used: Arc<AtomicU64>,
    reply: oneshot::Sender<Decision>,
}

/// The control state.
#[derive(Debug)]
pub(crate) struct Control {
    shared: Shared,
    me: Name,
    mesh: Arc<Mesh>,
    log: Log,
    ports: Ports,
    tasks: JoinSet<()>,
    entry: Entry,
    /// The schedulers of all shards in baseline mode; `None` in fleet mode.
    baseline: Option<IndexMap<Shard, Scheduler>>,
    dispatchers: IndexMap<Shard, Dispatcher>,
    leases: IndexMap<Shard, ShardLease>,
    waiting: IndexMap<RequestId, Waiting>,
    usage: Usage,
    chain: Chain,
    pending_configs: Vec<PendingConfig>,
    pending_orders: Vec<PendingOrder>,
    /// The newest version that any router is known to have in force.
    newest_config: u64,
    config_request_due: Duration,
    /// The number of requests for a newer version so far, by which members are asked in turn.
    config_requests: usize,
    republish_due: Duration,
    append_count: u64,
    members: Vec<Member>,
    listing: Listing,
    log_up: bool,
    leaving: bool,
}

impl Control {
    /// Creates the state of a router that has received no input yet.
    pub(crate) fn new(shared: Shared, mesh: Arc<Mesh>, log: Log, ports: Ports) -> Self {
        let me = shared.settings.name.clone();
        let baseline = match shared.settings.mode {
            Mode::Fleet => None,
            Mode::Baseline => Some(IndexMap::new()),
        };
        Self {
            entry: Entry::new(me.clone()),
            me,
            baseline,
            mesh,
            log,
            ports,
            shared,
            tasks: JoinSet::new(),
            dispatchers: IndexMap::new(),
            leases: IndexMap::new(),
            waiting: IndexMap::new(),
            usage: Usage::default(),
            chain: Chain::new(),
            pending_configs: Vec::new(),
            pending_orders: Vec::new(),
            newest_config: 0,
            config_request_due: Duration::ZERO,
            config_requests: 0,
            republish_due: Duration::ZERO,
            append_count: 0,
            members: Vec::new(),
            listing: Listing::default(),
            log_up: true,
            leaving: false,
        }
    }

    /// Runs until [`Input::Stop`], then joins all tasks that it has started.
    pub(crate) async fn run(mut self) {
        self.start();
        while self.step().await {
            self.process_due();
        }
        self.tasks.abort_all();
        while self.tasks.join_next().await.is_some() {}
    }

    /// Waits for the next input, then handles further pending ones; returns false once the thread must end.
    async fn step(&mut self) -> bool {
        let wake = time::Instant::from_std(self.shared.started + self.next_wake());
        let mut running = tokio::select! {
            biased;
            Some(input) = self.ports.inputs.recv() => self.handle_input(input),
            Some(event) = self.ports.events.recv() => self.handle_event(event),
            Some(order) = self.ports.orders.recv() => self.handle_order(order),
            () = time::sleep_until(wake) => true,
        };
        for _ in 0..MAX_BATCH {
            let mut is_idle = true;
            if let Ok(event) = self.ports.events.try_recv() {
                running &= self.handle_event(event);
                is_idle = false;
            }
            if let Ok(order) = self.ports.orders.try_recv() {
                running &= self.handle_order(order);
                is_idle = false;
            }
            if is_idle {
                break;
            }
        }
        while self.tasks.try_join_next().is_some() {}
        running
    }

    fn handle_input(&mut self, input: Input) -> bool {
        match input {
            Input::Instances(list) => self.handle_listing(list),
            Input::Config { offset, body } => self.handle_config_record(offset, &body),
            Input::ConfigTrimmed => self.handle_config_trim(),
            Input::Placement { body } => self.handle_placement_record(&body),
            Input::Log { up } => self.set_log_up(up),
            Input::Load { shard, runner, load } => self.handle_load(&shard, &runner, load),
            Input::LeaseAnswer { shard, answer } => self.handle_lease_answer(&shard, &answer),
            Input::Appended { append_id, result } => self.handle_append(append_id, &result),
            Input::Republished { number } => self.handle_republished(number),
            Input::OrderStored(order) => self.confirm_order(&order),
            Input::Leave => self.leave(),
            Input::Stop => return false,
        }
        true
    }

    fn handle_event(&mut self, event: mesh::Event) -> bool {
        match event {
            mesh::Event::Frame { from, frame } => self.handle_frame(&from, &frame),
            mesh::Event::Members(members) => self.handle_members(members),
            mesh::Event::Register(register) => self.handle_register(&register),
        }
        true
    }

    fn next_wake(&self) -> Duration {
        let now = self.now();
        let wakes = self
            .dispatchers
            .values()
            .filter_map(|dispatcher| dispatcher.next_wake(now))
            .chain(self.entry.next_wake(now));
        wakes.min().unwrap_or(now + MAX_IDLE_TIME).clamp(now, now + MAX_IDLE_TIME)
    }

    fn now(&self) -> Duration {
        self.shared.started.elapsed()
    }

    fn set_log_up(&mut self, up: bool) {
        if self.log_up != up {
            self.log_up = up;
            let detail = if up { "the log answers again" } else { "the log does not answer" };
            log::warn!("node: {detail}");
            self.record_event(EventKind::Log, detail);
        }
    }

    fn record_event(&self, kind: EventKind, detail: &str) {
        self.shared.ring.push(Event {
            at: self.shared.clock.now(),
            process: self.me.clone(),
            kind,
            request: None,
            workspace: None,
            runner: None,
            detail: detail.to_owned(),
        });
    }

    fn with_crashes<T>(&self, change: impl FnOnce(&mut Crashes) -> T) -> T {
        change(&mut self.shared.crashes.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
