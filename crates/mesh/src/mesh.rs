//! The public handle of the mesh.

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

/// Interval between ticks of the membership state machine.
const TICK_PERIOD: Duration = Duration::from_millis(25);
/// Time for the leave messages to be sent before the links close.
const LEAVE_TIME: Duration = Duration::from_millis(100);

/// A notification to the owner of the mesh.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A frame has arrived.
    Frame {
        /// The sender.
        from: Name,
        /// The frame.
        frame: Frame,
    },
    /// The view of the members has changed. Holds all members, including this router.
    Members(Vec<Member>),
    /// A newer register was received by gossip.
    Register(Register),
}

/// The part of a router that connects it to the other routers.
#[derive(Debug)]
pub struct Mesh {
    core: Arc<Core>,
    address: SocketAddr,
    _guard: DropGuard,
}

impl Mesh {
    /// Checks the identity, opens the endpoint and starts to discover other routers.
    ///
    /// # Errors
    /// Returns an error when the identity is not usable, or [`Error::Listen`] when the endpoint cannot be opened.
    pub async fn start(
        settings: Settings,
        clock: Arc<Clock>,
        events: Sender<Event>,
    ) -> Result<Self, Report<Error>> {
        settings.identity.check(&settings.name)?;
        let server = tls::server(&settings.identity)?;
        let client = tls::client(&settings.identity)?;
        let listen = settings.listen;
        let endpoint = Endpoint::server(server, listen).change_context(Error::Listen(listen))?;
        let address = endpoint.local_addr().change_context(Error::Listen(listen))?;
        let swim = new_swim(&settings, address, &clock);
        let core = Arc::new(Core::new(settings, client, swim, events));
        core.tasks.spawn(accept::run(Arc::clone(&core), endpoint));
        core.tasks.spawn(Arc::clone(&core).send_events());
        core.tasks.spawn(run_ticks(Arc::clone(&core)));
        let guard = core.stop.clone().drop_guard();
        Ok(Self { core, address, _guard: guard })
    }

    /// Returns the address on which the mesh listens.
    #[must_use]
    pub const fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the list of candidates from the platform's instance list. An empty list is ignored.
    #[expect(clippy::needless_pass_by_value, reason = "the caller has no further use for it")]
    pub fn set_candidates(&self, list: Vec<Candidate>) {
        self.core.with_swim(|swim| swim.set_candidates(&list));
    }

    /// Queues a frame for a member.
    ///
    /// Frames to one member keep their order while the link to it exists. They are dropped when the member is
    /// unreachable or its queue is full.
    #[expect(clippy::needless_pass_by_value, reason = "the caller has no further use for it")]
    pub fn send(&self, to: &Name, frame: Frame) {
        match frame.encode() {
            Ok(bytes) => self.core.send(to, bytes),
            Err(error) => log::warn!("mesh: dropped a frame for {to}: {error}"),
        }
    }

    /// Disseminates a register to all members. A register that exceeds the size limits is dropped.
    #[expect(clippy::needless_pass_by_value, reason = "the caller has no further use for it")]
    pub fn publish(&self, register: Register) {
        if !register.is_bounded() {
            log::warn!("mesh: dropped register {}: it exceeds the size limits", register.key);
        }
        self.core.publish(&register);
    }

    /// Returns all registers.
    #[must_use]
    pub fn registers(&self) -> Vec<Register> {
        self.core.with_swim(|swim| swim.registers())
    }

    /// Returns all members, including this router.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.core.with_swim(|swim| swim.members())
    }

    /// Returns the counters of the traffic on links.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.core.counters.snapshot()
    }

    /// Announces that this router leaves, closes all links and waits for all tasks to end.
    pub async fn shutdown(self) {
        self.core.leave();
        sleep(LEAVE_TIME).await;
        self.core.stop.cancel();
        self.core.tasks.close();
        self.core.tasks.wait().await;
    }
}

fn new_swim(settings: &Settings, address: SocketAddr, clock: &Clock) -> Swim {
    let record = Record {
        name: settings.name.clone(),
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

async fn run_ticks(core: Arc<Core>) {
    let mut ticks = interval(TICK_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = core.stop.cancelled() => return,
            _ = ticks.tick() => core.tick(),
        }
    }
}
