//! One link, with its faults and counters.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use tokio::sync::watch;

/// The transport protocol of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// TCP connections.
    Tcp,
    /// UDP packets.
    Udp,
}

/// A direction of traffic on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Direction {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    ToClient,
}

/// A change of the faults of a link; absent fields stay as they are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// Whether all traffic in both directions is blocked.
    pub cut: Option<bool>,
    /// Whether all traffic from the client to the target is blocked.
    #[serde(rename = "cut_to")]
    pub cut_to_target: Option<bool>,
    /// Whether all traffic from the target to the client is blocked.
    #[serde(rename = "cut_back")]
    pub cut_to_client: Option<bool>,
    /// The delay in each direction, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Whether to stall all current flows permanently; later flows are not affected.
    #[serde(rename = "silent")]
    pub stall: Option<bool>,
}

/// The faults of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Faults {
    cut: bool,
    cut_to_target: bool,
    cut_to_client: bool,
    pub(super) delay: Duration,
    /// The current generation; flows of an older one are stalled.
    pub(super) generation: u64,
}

impl Faults {
    /// Returns whether both directions are blocked by `cut`.
    pub(super) const fn is_cut(&self) -> bool {
        self.cut
    }

    /// Returns whether traffic of a flow of this generation passes in a direction.
    pub(super) const fn passes(&self, direction: Direction, generation: u64) -> bool {
        let is_cut = match direction {
            Direction::ToTarget => self.cut_to_target,
            Direction::ToClient => self.cut_to_client,
        };
        !self.cut && !is_cut && generation >= self.generation
    }
}

/// The counters of one direction.
#[derive(Debug, Default)]
struct Counter {
    bytes: AtomicU64,
    packets: AtomicU64,
    dropped: AtomicU64,
}

/// The traffic that has passed over a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// The name of the link.
    pub name: String,
    /// The transport protocol of the link.
    pub kind: Kind,
    /// The number of bytes from the client to the target.
    #[serde(rename = "bytes_to")]
    pub bytes_to_target: u64,
    /// The number of bytes from the target to the client.
    #[serde(rename = "bytes_back")]
    pub bytes_to_client: u64,
    /// The number of packets, or of reads for TCP, from the client to the target.
    #[serde(rename = "packets_to")]
    pub packets_to_target: u64,
    /// The number of packets, or of reads for TCP, from the target to the client.
    #[serde(rename = "packets_back")]
    pub packets_to_client: u64,
    /// The number of packets dropped from the client to the target.
    #[serde(rename = "dropped_to")]
    pub dropped_to_target: u64,
    /// The number of packets dropped from the target to the client.
    #[serde(rename = "dropped_back")]
    pub dropped_to_client: u64,
}

/// One link.
#[derive(Debug)]
pub(super) struct Link {
    name: String,
    kind: Kind,
    pub(super) target: SocketAddr,
    faults: watch::Sender<Faults>,
    to_target: Counter,
    to_client: Counter,
}

impl Link {
    pub(super) fn new(name: &str, kind: Kind, target: SocketAddr) -> Self {
        let faults = watch::Sender::new(Faults::default());
        let (to_target, to_client) = (Counter::default(), Counter::default());
        Self { name: name.to_owned(), kind, target, faults, to_target, to_client }
    }

    pub(super) fn faults(&self) -> Faults {
        *self.faults.borrow()
    }

    pub(super) fn watch(&self) -> watch::Receiver<Faults> {
        self.faults.subscribe()
    }

    pub(super) fn apply(&self, change: Change) {
        self.faults.send_modify(|faults| {
            faults.cut = change.cut.unwrap_or(faults.cut);
            faults.cut_to_target = change.cut_to_target.unwrap_or(faults.cut_to_target);
            faults.cut_to_client = change.cut_to_client.unwrap_or(faults.cut_to_client);
            faults.delay = change.delay_ms.map_or(faults.delay, Duration::from_millis);
            faults.generation += u64::from(change.stall.unwrap_or_default());
        });
    }

    pub(super) fn count(&self, direction: Direction, bytes: usize) {
        let counter = self.counter(direction);
        counter.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        counter.packets.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_dropped(&self, direction: Direction) {
        self.counter(direction).dropped.fetch_add(1, Ordering::Relaxed);
    }

    const fn counter(&self, direction: Direction) -> &Counter {
        match direction {
            Direction::ToTarget => &self.to_target,
            Direction::ToClient => &self.to_client,
        }
    }

    pub(super) fn traffic(&self) -> Traffic {
        Traffic {
            name: self.name.clone(),
            kind: self.kind,
            bytes_to_target: self.to_target.bytes.load(Ordering::Relaxed),
            bytes_to_client: self.to_client.bytes.load(Ordering::Relaxed),
            packets_to_target: self.to_target.packets.load(Ordering::Relaxed),
            packets_to_client: self.to_client.packets.load(Ordering::Relaxed),
            dropped_to_target: self.to_target.dropped.load(Ordering::Relaxed),
            dropped_to_client: self.to_client.dropped.load(Ordering::Relaxed),
        }
    }
}
