//! The error of a router process.

use std::error;
use std::fmt;

/// The reason why a router failed to start or stopped early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// Threads or their runtime could not be started.
    Threads,
    /// The address for callers could not be bound.
    Callers,
    /// The links to other routers could not be started.
    Mesh,
    /// The metrics sink could not be opened.
    Metrics,
    /// Signal handlers could not be installed.
    Signals,
    /// The control thread ended early.
    Control,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Threads => "failed to start the threads",
            Self::Callers => "failed to bind the address for callers",
            Self::Mesh => "failed to start the links to other routers",
            Self::Metrics => "failed to open the metrics sink",
            Self::Signals => "failed to install signal handlers",
            Self::Control => "the control thread ended early",
        })
    }
}

impl error::Error for Error {}
