//! What all tasks of a router share.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use balance::Core;
use balance::Grant;
use balance::Limits;
use balance::Members;
use balance::Settled;
use balance::Ticket;
use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time;

use crate::Clock;
use crate::Dialect;
use crate::Journal;
use crate::Line;
use crate::Meter;
use crate::Reading;
use crate::Settings;
use crate::echo::Echo;
use crate::pool::Pool;

/// Longest time between two looks at waiting requests, since load of other routers may have ended.
const LOOK: Duration = Duration::from_millis(25);
/// The part of the time allowed for a key that was taken away after which it is served no longer.
const REVOCATION_PART: f64 = 0.8;
/// Time between two clean-ups.
const SWEEP: Duration = Duration::from_millis(500);

/// The state of a router, used by all its tasks on one thread.
#[derive(Debug)]
pub struct Router {
    /// The settings of the process.
    pub settings: Settings,
    /// What is spoken to runners.
    pub dialect: Dialect,
    /// Decisions and what they are based on.
    pub core: RefCell<Core>,
    /// The other routers.
    pub members: RefCell<Members>,
    /// The log.
    pub journal: Journal,
    /// The metrics.
    pub meter: Meter,
    /// The clock of the process.
    pub clock: Clock,
    pub(crate) pool: RefCell<Pool>,
    pub(crate) echo: RefCell<Echo>,
    waiters: RefCell<IndexMap<Ticket, oneshot::Sender<Settled>>>,
    changed: Notify,
    is_leaving: Cell<bool>,
    grace: Cell<Duration>,
    revocation: Cell<Option<Duration>>,
    config_heard: Cell<Option<Duration>>,
}

impl Router {
    /// Creates the state of a router that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, dialect: Dialect, clock: Clock) -> Self {
        let limits = limits(&settings);
        Self {
            grace: Cell::new(settings.grace()),
            revocation: Cell::new(settings.revocation()),
            settings,
            dialect,
            core: RefCell::new(Core::new(limits)),
            members: RefCell::default(),
            journal: Journal::new(clock),
            meter: Meter::default(),
            clock,
            pool: RefCell::default(),
            echo: RefCell::default(),
            waiters: RefCell::default(),
            changed: Notify::new(),
            is_leaving: Cell::new(false),
            config_heard: Cell::new(None),
        }
    }

    /// Puts the limits of changed settings in force; addresses and names stay as they are.
    pub fn reload(&self, settings: &Settings) {
        self.core.borrow_mut().set_limits(limits(settings));
        self.grace.set(settings.grace());
        self.revocation.set(settings.revocation());
    }

    /// Returns how long a process that is told to end may go on.
    #[must_use]
    pub fn grace(&self) -> Duration {
        self.grace.get()
    }

    /// Returns the time of the process's clock.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns whether the process has been told to end.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// Takes in that the process has been told to end.
    pub fn leave(&self) {
        self.is_leaving.set(true);
    }

    /// Returns whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.core.borrow().table.is_some()
    }

    /// Takes in that the configuration is as new as the store had it at a time.
    pub fn hear_config(&self, at: Duration) {
        let newest = self.config_heard.get().map_or(at, |heard| heard.max(at));
        self.config_heard.set(Some(newest));
    }

    /// Returns how old the configuration in force may be.
    #[must_use]
    pub fn config_age(&self) -> Option<Duration> {
        self.config_heard.get().map(|heard| self.now().saturating_sub(heard))
    }

    /// Returns whether keys that the store has taken away may be unknown here for too long.
    #[must_use]
    pub fn is_revocation_unknown(&self) -> bool {
        let Some(longest) = self.revocation.get() else { return false };
        self.config_age().is_none_or(|age| age > longest.mul_f64(REVOCATION_PART))
    }

    /// Updates the names over which fixed parts of limits are divided.
    pub fn members_changed(&self) {
        let names =
            self.members.borrow().iter().map(|member| member.identity.name.clone()).collect();
        self.core.borrow_mut().set_peers(names);
    }

    /// Gives a grant back and settles whoever can go on.
    pub(crate) fn end(&self, grant: &Grant, workspace: Option<&base::Name>, has_run: bool) {
        let now = self.now();
        self.core.borrow_mut().end(now, grant, workspace, has_run);
        self.pump();
    }

    /// Settles all waiting requests that can be settled now.
    pub fn pump(&self) {
        if self.waiters.borrow().is_empty() {
            return;
        }
        let settled = self.core.borrow_mut().pump(self.now());
        for (ticket, decision) in settled {
            let Some(waiter) = self.waiters.borrow_mut().swap_remove(&ticket) else { continue };
            if let Settled::Granted(grant) = &decision
                && waiter.is_closed()
            {
                self.core.borrow_mut().end(self.now(), grant, None, false);
                continue;
            }
            drop(waiter.send(decision));
        }
    }

    /// Returns the receiver of the decision on a waiting request.
    pub(crate) fn wait_for(&self, ticket: Ticket) -> oneshot::Receiver<Settled> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        self.changed.notify_one();
        receiver
    }

    /// Withdraws a waiting request.
    pub(crate) fn cancel(&self, ticket: Ticket) {
        self.waiters.borrow_mut().swap_remove(&ticket);
        self.core.borrow_mut().cancel(ticket);
    }

    /// Settles waiting requests when their time comes, for as long as the process runs.
    pub async fn run_queue(self: Rc<Self>) {
        loop {
            if self.waiters.borrow().is_empty() {
                self.changed.notified().await;
            }
            let now = self.now();
            let next = self.core.borrow().next_wake();
            let pause = next.map_or(LOOK, |next| next.saturating_sub(now).min(LOOK));
            time::sleep(pause).await;
            self.pump();
        }
    }

    /// Drops what has grown old, for as long as the process runs.
    pub async fn run_sweep(self: Rc<Self>) {
        loop {
            time::sleep(SWEEP).await;
            self.pool.borrow_mut().sweep();
            let now = self.now();
            self.core.borrow_mut().registry.sweep(now);
            self.log_load();
        }
    }

    /// Writes how much waits, and how much load engines are given.
    fn log_load(&self) {
        let core = self.core.borrow();
        for (service, pace, waiting) in core.load() {
            let text = format!(
                "waiting {waiting}, backlog limit {} tokens, running limit {}",
                pace.limits().backlog,
                pace.limits().running
            );
            self.log(Line::new("load").subject(service.as_str()).outcome(text));
        }
    }

    /// Returns all metrics as text.
    #[must_use]
    pub fn metrics(&self) -> String {
        let now = self.now();
        let core = self.core.borrow();
        self.meter.text(Reading {
            waiting: core.waiting(),
            configuration_age: self.config_age(),
            runners: core.registry.ids().count(),
            routers: self.members.borrow().iter().filter(|member| member.is_alive(now)).count(),
        })
    }

    /// Writes a line to the log.
    pub fn log(&self, line: Line) {
        self.meter.count(line.event);
        self.journal.write(line);
    }
}

/// Returns the limits that settings state.
fn limits(settings: &Settings) -> Limits {
    let bounds = &settings.bounds;
    Limits {
        router: settings.name.clone(),
        peers: Vec::new(),
        cold_factor: bounds.cold_factor,
        cold_constant: bounds.cold_constant,
        retry_window: Duration::from_secs_f64(bounds.retry_window_s),
        retry_ratio: bounds.retry_ratio,
        retry_constant: bounds.retry_constant,
    }
}
