//! How the memory and the descriptors of an instance are divided.

use std::fs;

use rustix::process::Resource;
use rustix::process::getrlimit;

use crate::Settings;

/// The path of the kernel's figures on memory.
const MEMORY_PATH: &str = "/proc/meminfo";
/// The field of the memory of the machine, in KiB.
const MEMORY_FIELD: &str = "MemTotal:";
/// The memory that is assumed if the machine's is unknown, in bytes: that of the smallest instances.
const UNKNOWN_MEMORY: usize = 88 << 20;
/// The memory of the process itself, in bytes: its code, configuration, store pages, datagrams and log.
const OWN_BYTES: usize = 24 << 20;
/// The divisor of the memory that gives the part of the connections.
const CONNECTIONS_DIVISOR: usize = 4;
/// The memory of a connection without a body or an answer, in bytes: its head buffer and its task.
const CONNECTION_BYTES: usize = 16 << 10;
/// The fraction of the rest that may be held; the allocator needs the remainder for sizes that do not fit together.
const HELD_FRACTION: (usize, usize) = (3, 4);
/// The smallest memory with which a router works, in MiB.
pub(crate) const MIN_MEMORY_MB: u64 = 48;
/// The smallest number of descriptors with which a router works.
pub(crate) const MIN_DESCRIPTORS: u64 = 128;
/// Connections of callers may use three parts in eight of the descriptors; each may need another one to a runner.
const CALLER_PARTS: (usize, usize) = (3, 8);
/// Idle connections to runners may use one part in eight, and as much is kept for everything else.
const IDLE_DIVISOR: usize = 8;
/// Maximum number of connections to each of the other listeners: readiness, directory, metrics and records.
const SIDE_CONNECTIONS: usize = 128;
/// The divisor of the part for everything else that gives the connections to each of the other listeners.
const SIDE_DIVISOR: usize = 48;

/// What clients may use of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// The bytes that bodies and answers may have together.
    pub held_bytes: usize,
    /// The number of connections of callers.
    pub callers: usize,
    /// The number of connections to each of the other listeners.
    pub side: usize,
    /// The number of idle connections to runners.
    pub idle: usize,
}

impl Capacity {
    /// Returns the capacity by the settings, or by the machine and the limits of the process where they state nothing.
    #[must_use]
    pub fn of(settings: &Settings) -> Self {
        let stated = settings.memory_mb.map(|memory| to_usize(memory).saturating_mul(1 << 20));
        let memory = stated.or_else(machine_memory).unwrap_or(UNKNOWN_MEMORY);
        let own = getrlimit(Resource::Nofile).current.map_or(usize::MAX, to_usize);
        let stated = settings.max_descriptors.map_or(usize::MAX, to_usize);
        Self::with(memory, own.min(stated))
    }

    /// Returns the capacity with this memory in bytes and this number of descriptors.
    #[must_use]
    pub const fn with(memory: usize, descriptors: usize) -> Self {
        let connections = memory / CONNECTIONS_DIVISOR;
        let rest = memory.saturating_sub(OWN_BYTES + connections);
        let callers = descriptors / CALLER_PARTS.1 * CALLER_PARTS.0;
        let by_memory = connections / CONNECTION_BYTES;
        let side = descriptors / SIDE_DIVISOR;
        Self {
            held_bytes: rest / HELD_FRACTION.1 * HELD_FRACTION.0,
            callers: if callers < by_memory { callers } else { by_memory },
            side: if side < SIDE_CONNECTIONS { side } else { SIDE_CONNECTIONS },
            idle: descriptors / IDLE_DIVISOR,
        }
    }
}

fn to_usize(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}

/// Returns the memory of the machine in bytes, if the kernel states it.
fn machine_memory() -> Option<usize> {
    let text = match fs::read_to_string(MEMORY_PATH) {
        Ok(text) => text,
        Err(error) => {
            log::warn!("failed to read {MEMORY_PATH}: {error}");
            return None;
        }
    };
    let field = text.lines().find_map(|line| line.strip_prefix(MEMORY_FIELD))?;
    let kib: usize = field.split_whitespace().next()?.parse().ok()?;
    kib.checked_mul(1 << 10)
}
