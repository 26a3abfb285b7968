//! The errors of project tasks.

use std::error;
use std::fmt;

/// The reason why a project task failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Error {
    /// The demo could not be completed.
    Demo,
    /// The fault matrix could not be completed.
    Matrix,
    /// A measurement could not be completed.
    Measure,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Demo => f.write_str("the demo could not be completed"),
            Self::Matrix => f.write_str("the fault matrix could not be completed"),
            Self::Measure => f.write_str("the measurement could not be completed"),
        }
    }
}

impl error::Error for Error {}
