//! The state that all tasks of a router share.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use balance::Candidate;
use balance::Changes;
use balance::Core;
use balance::Decision;
use balance::Extent;
use balance::FleetLimits;
use balance::Grant;
use balance::Members;
use balance::ReadSchedule;
use balance::Report;
use balance::Ticket;
use balance::TopicView;
use balance::Window;
use budget::Budget;
use budget::Limits;
use indexmap::IndexMap;
use strum::EnumCount;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::Capacity;
use crate::Clock;
use crate::Gauges;
use crate::Journal;
use crate::Line;
use crate::Metrics;
use crate::RunnerProtocol;
use crate::Settings;
use crate::Strangers;
use crate::body;
use crate::buffer::Buffer;
use crate::crash_check::Breaks;
use crate::crediting;
use crate::crediting::Crediting;
use crate::exchange::Exchange;
use crate::forward;
use crate::heartbeat;
use crate::lending::Lending;
use crate::pool::Pool;
use crate::sent_heartbeats::SentHeartbeats;

/// Maximum interval between two runs of the queue, since load of other routers may have ended.
const MAX_QUEUE_INTERVAL: Duration = Duration::from_millis(25);
/// Fraction of the time allowed for a revoked key after which keys are no longer served.
const REVOCATION_FRACTION: f64 = 0.8;
/// Delay from a change to the run of the queue, so that several changes are processed together.
const QUEUE_DELAY: Duration = Duration::from_millis(3);
/// The window over which requests are counted.
const REQUEST_WINDOW: Duration = Duration::from_secs(1);

/// A topic of the store that only a few routers, its readers, poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumCount, strum::EnumIter)]
pub enum Topic {
    /// The topic that the operator writes.
    Operator,
    /// The topic with the registrations of the runners.
    Runners,
}

/// The state of a router, used by all its tasks on one thread.
#[derive(Debug)]
pub struct Router {
    /// The settings of the process.
    pub settings: Settings,
    /// The protocol of the runners.
    pub protocol: RunnerProtocol,
    /// The decisions and the state that they are based on.
    pub core: RefCell<Core>,
    /// The other routers.
    pub members: RefCell<Members>,
    /// The log.
    pub journal: Journal,
    /// The metrics.
    pub metrics: Metrics,
    /// The clock of the process.
    pub clock: Clock,
    /// What clients may use of the instance.
    pub capacity: Capacity,
    /// The memory that clients and runners may make the process hold.
    pub budget: Budget,
    pub(crate) pool: RefCell<Pool>,
    pub(crate) breaks: Breaks,
    /// The memory for incomplete answers.
    pub(crate) buffer: Buffer,
    pub(crate) sent_heartbeats: RefCell<SentHeartbeats>,
    pub(crate) exchange: RefCell<Exchange>,
    pub(crate) lending: Lending,
    pub(crate) crediting: Crediting,
    /// The heartbeats of processes whose identities are not known.
    pub strangers: Strangers,
    reaches_store: Cell<bool>,
    waiters: RefCell<IndexMap<Ticket, oneshot::Sender<Decision>>>,
    queue_changed: Notify,
    is_leaving: Cell<bool>,
    /// Cancelled when the process is about to end and what still waits for an answer gets one.
    ending: CancellationToken,
    grace: Cell<Duration>,
    revocation: Cell<Option<Duration>>,
    pub(crate) read_schedules: RefCell<[ReadSchedule; Topic::COUNT]>,
    topic_reports: [Notify; Topic::COUNT],
    views: [Rc<RefCell<TopicView>>; Topic::COUNT],
    requests: RefCell<Window>,
}

impl Router {
    /// Creates the state of a router that has no configuration, runners or peers yet.
    #[must_use]
    pub fn new(settings: Settings, protocol: RunnerProtocol, clock: Clock) -> Self {
        let mut core = Core::new(limits(&settings, clock.now()));
        core.rollouts.bounds = settings.rollout_bounds();
        let capacity = Capacity::of(&settings);
        let budget = Budget::new(Limits::of(capacity.held_bytes));
        Self {
            capacity,
            grace: Cell::new(settings.grace()),
            revocation: Cell::new(settings.revocation()),
            settings,
            protocol,
            core: RefCell::new(core),
            members: RefCell::default(),
            journal: Journal::new(clock),
            metrics: Metrics::default(),
            clock,
            pool: RefCell::new(Pool::new(capacity.idle)),
            breaks: Breaks::default(),
            buffer: Buffer::new(budget.clone()),
            budget,
            sent_heartbeats: RefCell::default(),
            exchange: RefCell::default(),
            lending: Lending::default(),
            crediting: Crediting::default(),
            strangers: Strangers::default(),
            reaches_store: Cell::new(true),
            waiters: RefCell::default(),
            queue_changed: Notify::new(),
            is_leaving: Cell::new(false),
            ending: CancellationToken::new(),
            read_schedules: RefCell::default(),
            topic_reports: Default::default(),
            views: Default::default(),
            requests: RefCell::new(Window::new(REQUEST_WINDOW)),
        }
    }

    /// Applies the limits of changed settings; addresses and names stay as they are.
    pub fn reload(&self, settings: &Settings) {
        self.core.borrow_mut().set_limits(limits(settings, self.now()));
        self.core.borrow_mut().rollouts.bounds = settings.rollout_bounds();
        self.grace.set(settings.grace());
        self.revocation.set(settings.revocation());
    }

    /// Returns the size of the largest body for which there is memory without load.
    #[must_use]
    pub fn max_body_bytes(&self) -> usize {
        let Limits { total, reserved, answers, .. } = Limits::of(self.capacity.held_bytes);
        total.saturating_sub(reserved + answers + body::OVERHEAD_BYTES)
    }

    /// Returns how long the process may continue after it is asked to terminate.
    #[must_use]
    pub fn grace(&self) -> Duration {
        self.grace.get()
    }

    /// Returns the current time of the process's clock.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns whether the process has been asked to terminate.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// Records that the process has been asked to terminate.
    pub fn leave(&self) {
        self.is_leaving.set(true);
    }

    /// Gives all requests that still wait for an answer of a runner their final answer.
    pub fn end_requests(&self) {
        self.ending.cancel();
    }

    /// Waits until the requests must be answered, since the process is about to end.
    pub(crate) async fn requests_ended(&self) {
        self.ending.cancelled().await;
    }

    /// Returns whether the router accepts callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.core.borrow().table.is_some()
    }

    /// Records another router's view of a topic.
    pub(crate) fn record_topic_report(&self, topic: Topic, report: &Report) {
        let mut schedules = self.read_schedules.borrow_mut();
        let schedule = &mut schedules[topic as usize];
        let was_behind = schedule.is_behind();
        schedule.record_report(report);
        if schedule.is_behind() && !was_behind {
            self.topic_reports[topic as usize].notify_one();
        }
        drop(schedules);
        self.confirm_departures(topic);
    }

    /// Records a read of a topic that began at `started`, as [`ReadSchedule::record_read`] does.
    pub fn record_read(
        &self,
        topic: Topic,
        started: Duration,
        position: u64,
        changes: Changes,
        extent: Extent,
    ) {
        self.with_read_schedule(topic, |schedule| {
            schedule.record_read(started, position, changes, extent);
        });
        self.confirm_departures(topic);
    }

    /// Tells the decisions as of when the departures of runners are known.
    fn confirm_departures(&self, topic: Topic) {
        if topic == Topic::Runners {
            let as_of = self.with_read_schedule(topic, |schedule| schedule.told_as_of());
            if let Some(as_of) = as_of {
                self.core.borrow_mut().registry.confirm(as_of);
            }
        }
    }

    /// Returns the records of a topic that this router has read.
    #[must_use]
    pub fn view(&self, topic: Topic) -> Rc<RefCell<TopicView>> {
        Rc::clone(&self.views[topic as usize])
    }

    /// Calls `work` with the read schedule of a topic and returns its result.
    pub fn with_read_schedule<T>(
        &self,
        topic: Topic,
        work: impl FnOnce(&mut ReadSchedule) -> T,
    ) -> T {
        work(&mut self.read_schedules.borrow_mut()[topic as usize])
    }

    /// Records whether the last call to the store succeeded.
    pub fn record_store_call(&self, has_succeeded: bool) {
        self.reaches_store.set(has_succeeded);
    }

    /// Returns whether the last call to the store succeeded.
    #[must_use]
    pub fn reaches_store(&self) -> bool {
        self.reaches_store.get()
    }

    /// Returns whether this router is one of the readers of a topic.
    #[must_use]
    pub fn is_reader(&self, topic: Topic) -> bool {
        let now = self.now();
        let zone = &self.settings.zone;
        let members = self.members.borrow();
        let zones = members.by_other_zone(zone).len() + 1;
        let alive = members.direct(zone).filter(|member| member.is_alive(now));
        let others = alive.map(|member| Candidate {
            name: member.identity.name.as_str(),
            reaches_store: member.status.reaches_store,
        });
        let own =
            Candidate { name: self.settings.name.as_str(), reaches_store: self.reaches_store() };
        balance::is_reader(topic as u64, own, others, zones)
    }

    /// Waits until the next read of a topic is due; `interval` is the time between two reads of a reader.
    pub async fn wait_to_read(&self, topic: Topic, interval: Duration) {
        loop {
            let is_reader = self.is_reader(topic);
            let due = self.with_read_schedule(topic, |schedule| {
                schedule.next_read(is_reader, interval, heartbeat::period(self))
            });
            let left = due.saturating_sub(self.now());
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = time::sleep(left) => (),
                () = self.topic_reports[topic as usize].notified() => (),
            }
        }
    }

    /// Waits for `interval`, or until another router reports a change that this router has not read yet.
    pub async fn wait_for_report(&self, topic: Topic, interval: Duration) {
        tokio::select! {
            () = time::sleep(interval) => (),
            () = self.topic_reports[topic as usize].notified() => (),
        }
    }

    /// Counts a request of a caller.
    pub fn count_request(&self, service: &base::Name) {
        let now = self.now();
        self.requests.borrow_mut().add(now, 1);
        self.core.borrow_mut().count_request(now, service);
    }

    /// Returns the number of requests of callers in the last second.
    pub(crate) fn recent_requests(&self) -> u32 {
        let sum = self.requests.borrow_mut().sum(self.now());
        u32::try_from(sum).unwrap_or(u32::MAX)
    }

    /// Returns whether to close a caller's connection after its answer, so that the caller connects to another router.
    #[must_use]
    pub fn should_close_connection(&self) -> bool {
        if self.is_leaving() {
            return true;
        }
        let own = f64::from(self.recent_requests());
        let share = self.settings.share;
        let now = self.now();
        let members = self.members.borrow();
        let ready = members.ready(now).map(|member| {
            (f64::from(member.status.requests), f64::from(member.identity.share_milli) / 1_000.0)
        });
        let (requests, shares) = ready
            .fold((own, share), |(requests, shares), other| (requests + other.0, shares + other.1));
        let fraction = balance::close_fraction(own, share, requests / shares);
        fraction > 0.0 && rand::random::<f64>() < fraction
    }

    /// Returns the maximum age of the configuration in force; `None` if it is unknown.
    #[must_use]
    pub fn config_age(&self) -> Option<Duration> {
        let now = self.now();
        self.with_read_schedule(Topic::Operator, |schedule| schedule.age(now))
    }

    /// Returns the maximum age of what is known about runners that leave; `None` if it is unknown.
    #[must_use]
    pub(crate) fn departures_age(&self) -> Option<Duration> {
        let now = self.now();
        self.with_read_schedule(Topic::Runners, |schedule| schedule.told_age(now))
    }

    /// Returns whether keys may have been revoked in the store for too long without this router knowing.
    #[must_use]
    pub fn is_revocation_unknown(&self) -> bool {
        let Some(max_age) = self.revocation.get() else { return false };
        self.config_age().is_none_or(|age| age > max_age.mul_f64(REVOCATION_FRACTION))
    }

    /// Records that the other routers, which are to become known now, don't know this one yet.
    pub fn join(&self) {
        self.core.borrow_mut().join(self.now());
    }

    /// Updates the names of the routers among which the constant parts of limits are divided.
    pub fn update_peers(&self) {
        let members = self.members.borrow();
        let names = members.iter().map(|member| member.identity.name.clone()).collect();
        let zones = members.by_other_zone(&self.settings.zone).into_iter();
        let sizes = zones.map(|(zone, members)| (zone.clone(), members.len())).collect();
        let mut core = self.core.borrow_mut();
        core.set_peers(self.now(), names);
        core.set_zone_sizes(sizes);
    }

    /// Releases a grant and wakes the queue.
    pub(crate) fn release(&self, grant: &Grant, may_have_run: bool) {
        let now = self.now();
        self.core.borrow_mut().release(now, grant, may_have_run);
        self.wake_queue();
    }

    /// Schedules a run of the queue; several changes are processed together.
    pub fn wake_queue(&self) {
        if !self.waiters.borrow().is_empty() {
            self.queue_changed.notify_one();
        }
    }

    /// Sends the decisions on all waiting requests that can be decided now.
    fn process_queue(&self) {
        let decisions = self.core.borrow_mut().process_queue(self.now());
        for (ticket, decision) in decisions {
            let Some(waiter) = self.waiters.borrow_mut().swap_remove(&ticket) else { continue };
            if let Decision::Granted(grant) = &decision
                && waiter.is_closed()
            {
                self.core.borrow_mut().release(self.now(), grant, false);
                continue;
            }
            drop(waiter.send(decision));
        }
        self.lending.want(self.core.borrow_mut().loan_requests(self.now()));
        crediting::request(self);
    }

    /// Adds a waiter for the decision on a queued request and returns its receiver.
    pub(crate) fn add_waiter(&self, ticket: Ticket) -> oneshot::Receiver<Decision> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        self.queue_changed.notify_one();
        receiver
    }

    /// Cancels a waiting request.
    pub(crate) fn cancel(&self, ticket: Ticket) {
        self.waiters.borrow_mut().swap_remove(&ticket);
        self.core.borrow_mut().cancel(ticket);
    }

    /// Processes the queue after each change and whenever a request is due, until the process ends.
    pub async fn run_queue(self: Rc<Self>) {
        loop {
            let next = self.core.borrow().next_wake();
            let due = match next {
                Some(next) => next.saturating_sub(self.now()).min(MAX_QUEUE_INTERVAL),
                None => Duration::MAX,
            };
            tokio::select! {
                () = time::sleep(due) => (),
                () = self.queue_changed.notified() => time::sleep(QUEUE_DELAY).await,
            }
            self.process_queue();
        }
    }

    /// Returns all metrics as text.
    #[must_use]
    pub fn metrics(&self) -> String {
        let now = self.now();
        let mut core = self.core.borrow_mut();
        self.metrics.text(Gauges {
            waiting: core.waiting(),
            configuration_age: self.config_age(),
            departures_age: self.departures_age(),
            runners: core.registry.ids().count(),
            quarantined: core.crash_history.quarantined(now).len(),
            memory: self.budget.figures(),
            routers: self.members.borrow().iter().filter(|member| member.is_alive(now)).count(),
        })
    }

    /// Counts the event of a line and writes the line to the log.
    pub fn log(&self, line: Line) {
        self.metrics.count(line.event);
        self.journal.write(line);
    }
}

/// Returns the limits from the settings, for a process that started at a time.
fn limits(settings: &Settings, started: Duration) -> FleetLimits {
    let bounds = &settings.bounds;
    FleetLimits {
        router: settings.name.clone(),
        zone: settings.zone.clone(),
        peers: None,
        former: IndexMap::new(),
        started,
        joined: None,
        cold_factor: bounds.cold_factor,
        cold_constant: bounds.cold_constant,
        retry_window: Duration::from_secs_f64(bounds.retry_window_s),
        retry_ratio: bounds.retry_ratio,
        retry_constant: bounds.retry_constant,
        max_departures_age: settings
            .leaving()
            .map(|serving| serving.saturating_sub(forward::CONNECT_TIMEOUT)),
    }
}
