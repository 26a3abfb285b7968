//! Why a project task failed.

use std::error;
use std::fmt;

/// Why a project task failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Error {
    /// The demo could not be run to its end.
    Demo,
    /// The fault matrix could not be run to its end.
    Matrix,
    /// A measurement could not be run to its end.
    Measure,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Demo => f.write_str("the demo could not be run to its end"),
            Self::Matrix => f.write_str("the fault matrix could not be run to its end"),
            Self::Measure => f.write_str("the measurement could not be run to its end"),
        }
    }
}

impl error::Error for Error {}
