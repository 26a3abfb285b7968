//! The handle of the mesh.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Clock;
use base::Name;
use error_stack::Report;
use error_stack::ResultExt;
use quinn::Endpoint;
use tokio::sync::mpsc::Sender;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;
use tokio_util::sync::DropGuard;
use wire::Frame;

use crate::Candidate;
use crate::Counters;
use crate::Error;
use crate::Member;
use crate::Record;
use crate::Register;
use crate::Settings;
use crate::accept;
use crate::core::Core;
use crate::swim::Swim;
use crate::swim::Timing;
use crate::tls;

/// Time from one look at what is due to the next.
const TICK_PERIOD: Duration = Duration::from_millis(25);
/// Time for the farewell to leave.
const FAREWELL_TIME: Duration = Duration::from_millis(100);

/// Something that the owner of the mesh is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A frame has arrived.
    Frame {
        /// The sender.
        from: Name,
        /// The frame.
        frame: Frame,
    },
    /// The view of the members has changed: all members, this router included.
    Members(Vec<Member>),
    /// A newer register was taken in from gossip.
    Register(Register),
}

/// The part of a router that joins it to the others.
#[derive(Debug)]
pub struct Mesh {
    core: Arc<Core>,
    address: SocketAddr,
    _guard: DropGuard,
}

impl Mesh {
    /// Checks the identity, listens and starts to look for others.
    ///
    /// # Errors
    /// Returns the fault of the identity, or [`Error::Listen`].
    pub async fn start(
        settings: Settings,
        clock: Arc<Clock>,
        events: Sender<Event>,
    ) -> Result<Self, Report<Error>> {
        settings.identity.check(&settings.me)?;
        let server = tls::server(&settings.identity)?;
        let client = tls::client(&settings.identity)?;
        let listen = settings.listen;
        let endpoint = Endpoint::server(server, listen).change_context(Error::Listen(listen))?;
        let address = endpoint.local_addr().change_context(Error::Listen(listen))?;
        let swim = swim(&settings, address, &clock);
        let core = Arc::new(Core::new(settings, client, swim, events));
        core.tasks.spawn(accept::run(Arc::clone(&core), endpoint));
        core.tasks.spawn(Arc::clone(&core).pump());
        core.tasks.spawn(tick(Arc::clone(&core)));
        let guard = core.stop.clone().drop_guard();
        Ok(Self { core, address, _guard: guard })
    }

    /// Returns the address on which the mesh listens.
    #[must_use]
    pub const fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Takes in the platform's instance list. An empty list removes nobody.
    #[expect(clippy::needless_pass_by_value, reason = "the caller has no further use for it")]
    pub fn candidates(&self, list: Vec<Candidate>) {
        self.core.with(|swim| swim.candidates(&list));
    }

    /// Queues a frame for a member. Frames to one member keep their order while a link to it lives; they are dropped
    /// when it cannot be reached or its queue is full.
    #[expect(clippy::needless_pass_by_value, reason = "the caller has no further use for it")]
    pub fn send(&self, to: &Name, frame: Frame) {
        match frame.encode() {
            Ok(bytes) => self.core.send(to, bytes),
            Err(error) => log::warn!("mesh: frame for {to} is dropped: {error}"),
        }
    }

    /// Spreads a register to all members. One that passes the size limits is dropped.
    #[expect(clippy::needless_pass_by_value, reason = "the caller has no further use for it")]
    pub fn publish(&self, register: Register) {
        if !register.is_bounded() {
            log::warn!("mesh: register {} is too large and dropped", register.key);
        }
        self.core.publish(&register);
    }

    /// Returns all registers.
    #[must_use]
    pub fn registers(&self) -> Vec<Register> {
        self.core.with(|swim| swim.registers())
    }

    /// Returns all members, this router included.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.core.with(|swim| swim.members())
    }

    /// Returns what the links have carried.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.core.live.snapshot()
    }

    /// Announces that this router leaves, closes all links and joins all tasks.
    pub async fn shutdown(self) {
        self.core.leave();
        sleep(FAREWELL_TIME).await;
        self.core.stop.cancel();
        self.core.tasks.close();
        self.core.tasks.wait().await;
    }
}

fn swim(settings: &Settings, address: SocketAddr, clock: &Clock) -> Swim {
    let record = Record {
        name: settings.me.clone(),
        address,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
    };
    let timing = Timing {
        probe_period: settings.probe_period,
        probe_timeout: settings.probe_timeout,
        suspect_timeout: settings.suspect_timeout,
    };
    Swim::new(record, clock.now().millis(), timing, rand::random())
}

async fn tick(core: Arc<Core>) {
    let mut ticks = interval(TICK_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = core.stop.cancelled() => return,
            _ = ticks.tick() => core.tick(),
        }
    }
}
