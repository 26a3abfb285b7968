//! Why a router could not start or stopped.

use std::error;
use std::fmt;

/// Why a router could not start or stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The threads could not be started.
    Threads,
    /// The address of the callers could not be bound.
    Callers,
    /// The links to other routers could not be started.
    Mesh,
    /// The metrics sink could not be opened.
    Metrics,
    /// Signals could not be received.
    Signals,
    /// The control thread has ended early.
    Control,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Threads => "the threads could not be started",
            Self::Callers => "the address for callers could not be opened",
            Self::Mesh => "the links to other routers could not be started",
            Self::Metrics => "the metrics sink could not be opened",
            Self::Signals => "signals cannot be received",
            Self::Control => "the control thread has ended early",
        })
    }
}

impl error::Error for Error {}
