//! State that all tasks of the mesh share.

use std::mem;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Instant;

use base::Name;
use indexmap::IndexMap;
use quinn::ClientConfig;
use tokio::sync::Notify;
use tokio::sync::mpsc::Sender;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Event;
use crate::Register;
use crate::Settings;
use crate::counters::AtomicCounters;
use crate::handshake::Hello;
use crate::link;
use crate::link::Handle;
use crate::session::Inbox;
use crate::swim::Action;
use crate::swim::Message;
use crate::swim::Swim;

/// Changes that the owner of the mesh has not been notified of yet.
#[derive(Debug, Default)]
struct Pending {
    members_changed: bool,
    registers: IndexMap<Name, Register>,
}

/// The state of a peer that outlives its connections.
#[derive(Debug, Default)]
pub(crate) struct Incoming {
    /// Ends the current connection.
    pub(crate) replaced: CancellationToken,
    /// The session, locked by the current connection.
    pub(crate) session: Arc<tokio::sync::Mutex<Inbox>>,
}

/// The outgoing link to one process of a peer.
#[derive(Debug)]
struct Link {
    /// The incarnation of the process, or `None` if it was not known when the link was opened.
    incarnation: Option<u64>,
    handle: Handle,
}

/// The shared state of all tasks.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) settings: Settings,
    pub(crate) client: ClientConfig,
    pub(crate) counters: AtomicCounters,
    pub(crate) tasks: TaskTracker,
    pub(crate) stop: CancellationToken,
    pub(crate) events: Sender<Event>,
    pub(crate) incoming: Mutex<IndexMap<Name, Incoming>>,
    started: Instant,
    swim: Mutex<Swim>,
    links: Mutex<IndexMap<Name, Link>>,
    pending: Mutex<Pending>,
    changed: Notify,
}

impl Core {
    pub(crate) fn new(
        settings: Settings,
        client: ClientConfig,
        swim: Swim,
        events: Sender<Event>,
    ) -> Self {
        Self {
            settings,
            client,
            counters: AtomicCounters::default(),
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
            events,
            incoming: Mutex::default(),
            started: Instant::now(),
            swim: Mutex::new(swim),
            links: Mutex::default(),
            pending: Mutex::new(Pending { members_changed: true, ..Pending::default() }),
            changed: Notify::new(),
        }
    }

    /// Runs a read or a change of the membership state machine that results in no actions.
    pub(crate) fn with_swim<T>(&self, run: impl FnOnce(&mut Swim) -> T) -> T {
        run(&mut lock(&self.swim))
    }

    /// Advances the membership state machine to the current time.
    pub(crate) fn tick(self: &Arc<Self>) {
        let actions = lock(&self.swim).tick(self.started.elapsed());
        self.execute(actions);
    }

    /// Records the router that opens a link, and returns whether the link is admitted.
    pub(crate) fn accept(self: &Arc<Self>, hello: &Hello) -> bool {
        let actions = {
            let mut swim = lock(&self.swim);
            if !swim.admits(&hello.record.name, hello.version) {
                return false;
            }
            swim.accept(self.started.elapsed(), hello.record.clone(), hello.version)
        };
        self.execute(actions);
        true
    }

    /// Handles a datagram. Returns the incarnation of its sender and the replies to it, or `None` if it is malformed.
    pub(crate) fn receive(
        self: &Arc<Self>,
        from: &Name,
        bytes: &[u8],
    ) -> Option<(u64, Vec<Message>)> {
        let message = Message::decode(bytes).ok()?;
        let incarnation = message.version.incarnation;
        let actions = lock(&self.swim).receive(self.started.elapsed(), from, message);
        Some((incarnation, self.execute(actions)))
    }

    /// Returns the incarnation of a router, if an update about it was received.
    pub(crate) fn incarnation(&self, name: &Name) -> Option<u64> {
        self.with_swim(|swim| swim.incarnation(name))
    }

    /// Applies a register of this router and disseminates it.
    pub(crate) fn publish(self: &Arc<Self>, register: &Register) {
        let actions = lock(&self.swim).publish(register);
        self.execute(actions);
    }

    /// Announces that this router leaves.
    pub(crate) fn leave(self: &Arc<Self>) {
        let actions = lock(&self.swim).leave();
        self.execute(actions);
    }

    /// Queues a frame for a member. It is dropped when the member is unreachable or its queue is full.
    pub(crate) fn send(self: &Arc<Self>, to: &Name, frame: Vec<u8>) {
        let is_open = !self.stop.is_cancelled() && self.with_swim(|swim| swim.is_reachable(to));
        if !is_open || !self.link(to).send_frame(frame) {
            self.counters.frames_dropped.fetch_add(1, Relaxed);
        }
    }

    pub(crate) fn address(&self, name: &Name) -> Option<SocketAddr> {
        self.with_swim(|swim| swim.address(name))
    }

    /// Notifies the owner of changes until the mesh stops.
    pub(crate) async fn send_events(self: Arc<Self>) {
        loop {
            let pending = mem::take(&mut *lock(&self.pending));
            let view = pending.members_changed.then(|| self.with_swim(|swim| swim.members()));
            let registers = pending.registers.into_values().map(Event::Register);
            for event in view.map(Event::Members).into_iter().chain(registers) {
                tokio::select! {
                    () = self.stop.cancelled() => return,
                    sent = self.events.send(event) => if sent.is_err() { return },
                }
            }
            tokio::select! {
                () = self.stop.cancelled() => return,
                () = self.changed.notified() => {}
            }
        }
    }

    fn execute(self: &Arc<Self>, actions: Vec<Action>) -> Vec<Message> {
        let mut replies = Vec::new();
        for action in actions {
            match action {
                Action::Send { to, message } => self.link(&to).send_message(message.encode()),
                Action::Reply(message) => replies.push(message),
                Action::Reconnect(to) => self.link(&to).reconnect(),
                Action::MembersChanged => self.record_members_change(),
                Action::Register(register) => self.record_register(register),
            }
        }
        replies
    }

    fn record_members_change(&self) {
        lock(&self.pending).members_changed = true;
        self.changed.notify_one();
        let known = self.with_swim(|swim| swim.known_names());
        lock(&self.links).retain(|name, _| known.contains(name));
        lock(&self.incoming).retain(|name, _| known.contains(name));
    }

    fn record_register(&self, register: Register) {
        lock(&self.pending).registers.insert(register.key.clone(), register);
        self.changed.notify_one();
    }

    /// Returns the link to the current process of a peer.
    ///
    /// Frames for a new process must not be sent on the link to an earlier one, which may still look open.
    fn link(self: &Arc<Self>, to: &Name) -> Handle {
        let incarnation = self.incarnation(to);
        let mut links = lock(&self.links);
        if let Some(link) = links.get_mut(to) {
            let both = link.incarnation.zip(incarnation);
            if both.is_none_or(|(of_link, current)| of_link == current) {
                let is_unnamed = link.incarnation.is_none() && incarnation.is_some();
                if is_unnamed && link.handle.renew() {
                    link.incarnation = incarnation;
                }
                return link.handle.clone();
            }
        }
        let handle = link::open(self, to);
        links.insert(to.clone(), Link { incarnation, handle: handle.clone() });
        handle
    }
}

/// Locks the mutex, also when it is poisoned by a panic of another holder.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
