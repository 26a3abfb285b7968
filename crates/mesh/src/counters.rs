//! Counters of the traffic on links.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;

use quinn::Connection;

/// Size of the IP and UDP headers of a datagram, in bytes.
const HEADER_BYTES: u64 = 28;

/// Totals of all links since the start, and the number of open links.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Bytes sent, with IP and UDP headers.
    pub bytes_sent: u64,
    /// Bytes received, with IP and UDP headers.
    pub bytes_received: u64,
    /// Frames sent. Those that are sent again on a new connection count once.
    pub frames_sent: u64,
    /// Frames delivered as events.
    pub frames_received: u64,
    /// Frames dropped because a queue was full or a peer was unreachable.
    pub frames_dropped: u64,
    /// Connections opened by this router since the start.
    pub connects: u64,
    /// Outgoing links that are open now.
    pub links: u64,
    /// Incoming links that are open now.
    pub incoming: u64,
}

/// The counters that the tasks update.
#[derive(Debug, Default)]
pub(crate) struct AtomicCounters {
    bytes_sent: AtomicU64,
    bytes_received: AtomicU64,
    pub(crate) frames_sent: AtomicU64,
    pub(crate) frames_received: AtomicU64,
    pub(crate) frames_dropped: AtomicU64,
    pub(crate) connects: AtomicU64,
    pub(crate) links: AtomicU64,
    pub(crate) incoming: AtomicU64,
}

impl AtomicCounters {
    pub(crate) fn snapshot(&self) -> Counters {
        Counters {
            bytes_sent: self.bytes_sent.load(Relaxed),
            bytes_received: self.bytes_received.load(Relaxed),
            frames_sent: self.frames_sent.load(Relaxed),
            frames_received: self.frames_received.load(Relaxed),
            frames_dropped: self.frames_dropped.load(Relaxed),
            connects: self.connects.load(Relaxed),
            links: self.links.load(Relaxed),
            incoming: self.incoming.load(Relaxed),
        }
    }
}

/// The traffic of one connection that is already counted.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    sent: u64,
    received: u64,
}

impl Meter {
    /// Adds the traffic of the connection since the last call, and returns the number of datagrams received on it.
    pub(crate) fn update(&mut self, connection: &Connection, counters: &AtomicCounters) -> u64 {
        let stats = connection.stats();
        let sent = stats.udp_tx.bytes + HEADER_BYTES * stats.udp_tx.datagrams;
        let received = stats.udp_rx.bytes + HEADER_BYTES * stats.udp_rx.datagrams;
        counters.bytes_sent.fetch_add(sent - self.sent, Relaxed);
        counters.bytes_received.fetch_add(received - self.received, Relaxed);
        self.sent = sent;
        self.received = received;
        stats.udp_rx.datagrams
    }
}
