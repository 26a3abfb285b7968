//! What all tasks of the mesh share.

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
use crate::counters::Live;
use crate::hello::Hello;
use crate::lane::Lane;
use crate::link;
use crate::link::Handle;
use crate::swim::Action;
use crate::swim::Message;
use crate::swim::Swim;

/// What the owner of the mesh has still to be told.
#[derive(Debug, Default)]
struct Pending {
    members: bool,
    registers: IndexMap<Name, Register>,
}

/// What is kept of a peer between its connections.
#[derive(Debug, Default)]
pub(crate) struct Incoming {
    /// Ends the connection that is heard now.
    pub(crate) replaced: CancellationToken,
    /// Held by the connection that is heard now.
    pub(crate) lane: Arc<tokio::sync::Mutex<Lane>>,
}

/// The shared state of all tasks.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) settings: Settings,
    pub(crate) client: ClientConfig,
    pub(crate) live: Live,
    pub(crate) tasks: TaskTracker,
    pub(crate) stop: CancellationToken,
    pub(crate) events: Sender<Event>,
    pub(crate) incoming: Mutex<IndexMap<Name, Incoming>>,
    started: Instant,
    swim: Mutex<Swim>,
    links: Mutex<IndexMap<Name, Handle>>,
    pending: Mutex<Pending>,
    wake: Notify,
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
            live: Live::default(),
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
            events,
            incoming: Mutex::default(),
            started: Instant::now(),
            swim: Mutex::new(swim),
            links: Mutex::default(),
            pending: Mutex::new(Pending { members: true, ..Pending::default() }),
            wake: Notify::new(),
        }
    }

    /// Runs a read or a change of the state machine that has no consequences.
    pub(crate) fn with<T>(&self, run: impl FnOnce(&mut Swim) -> T) -> T {
        run(&mut lock(&self.swim))
    }

    /// Does what is due.
    pub(crate) fn tick(self: &Arc<Self>) {
        let actions = lock(&self.swim).tick(self.started.elapsed());
        self.act(actions);
    }

    /// Takes in who has opened a link and returns whether it may.
    pub(crate) fn greet(self: &Arc<Self>, hello: &Hello) -> bool {
        let actions = {
            let mut swim = lock(&self.swim);
            if !swim.admits(&hello.record.name, hello.version) {
                return false;
            }
            swim.greet(self.started.elapsed(), hello.record.clone(), hello.version)
        };
        self.act(actions);
        true
    }

    /// Takes in a datagram and returns the answers to it.
    pub(crate) fn receive(self: &Arc<Self>, from: &Name, bytes: &[u8]) -> Vec<Message> {
        let Ok(message) = Message::decode(bytes) else { return Vec::new() };
        let actions = lock(&self.swim).receive(self.started.elapsed(), from, message);
        self.act(actions)
    }

    /// Takes in a register of this router.
    pub(crate) fn publish(self: &Arc<Self>, register: &Register) {
        let actions = lock(&self.swim).publish(register);
        self.act(actions);
    }

    /// Announces the end of this router.
    pub(crate) fn leave(self: &Arc<Self>) {
        let actions = lock(&self.swim).leave();
        self.act(actions);
    }

    /// Queues a frame for a member, or drops it.
    pub(crate) fn send(self: &Arc<Self>, to: &Name, frame: Vec<u8>) {
        let is_open = !self.stop.is_cancelled() && self.with(|swim| swim.is_reachable(to));
        if !is_open || !self.link(to).send_frame(frame) {
            self.live.frames_dropped.fetch_add(1, Relaxed);
        }
    }

    pub(crate) fn address(&self, name: &Name) -> Option<SocketAddr> {
        self.with(|swim| swim.address(name))
    }

    /// Tells the owner of changes until the end.
    pub(crate) async fn pump(self: Arc<Self>) {
        loop {
            let pending = mem::take(&mut *lock(&self.pending));
            let view = pending.members.then(|| self.with(|swim| swim.members()));
            let registers = pending.registers.into_values().map(Event::Register);
            for event in view.map(Event::Members).into_iter().chain(registers) {
                tokio::select! {
                    () = self.stop.cancelled() => return,
                    sent = self.events.send(event) => if sent.is_err() { return },
                }
            }
            tokio::select! {
                () = self.stop.cancelled() => return,
                () = self.wake.notified() => {}
            }
        }
    }

    fn act(self: &Arc<Self>, actions: Vec<Action>) -> Vec<Message> {
        let mut replies = Vec::new();
        for action in actions {
            match action {
                Action::Send { to, message } => self.link(&to).send_probe(message.encode()),
                Action::Reply(message) => replies.push(message),
                Action::Renew(to) => self.link(&to).renew(),
                Action::Members => self.note_members(),
                Action::Register(register) => self.note_register(register),
            }
        }
        replies
    }

    fn note_members(&self) {
        lock(&self.pending).members = true;
        self.wake.notify_one();
        let known = self.with(|swim| swim.known());
        lock(&self.links).retain(|name, _| known.contains(name));
        lock(&self.incoming).retain(|name, _| known.contains(name));
    }

    fn note_register(&self, register: Register) {
        lock(&self.pending).registers.insert(register.key.clone(), register);
        self.wake.notify_one();
    }

    fn link(self: &Arc<Self>, to: &Name) -> Handle {
        let mut links = lock(&self.links);
        if let Some(handle) = links.get(to) {
            return handle.clone();
        }
        let handle = link::open(self, to);
        links.insert(to.clone(), handle.clone());
        handle
    }
}

/// Locks, also after a panic of another holder.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
