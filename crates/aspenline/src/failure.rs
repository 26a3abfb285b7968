//! Failures of commands and their exit codes.

use std::error;
use std::fmt;
use std::process::ExitCode;

/// The reason why a command failed, which determines its exit code.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The command failed for a reason without an exit code of its own.
    Failed(String),
    /// A file or argument is invalid.
    Invalid(String),
    /// Another operator's configuration was published first.
    Conflict(String),
    /// No router could be reached, or the router could not reach the platform.
    Unreachable(String),
}

impl Failure {
    /// Returns the exit code.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Failed(_) => 1,
            Self::Invalid(_) => 2,
            Self::Conflict(_) => 3,
            Self::Unreachable(_) => 4,
        })
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(text)
            | Self::Invalid(text)
            | Self::Conflict(text)
            | Self::Unreachable(text) => f.write_str(text),
        }
    }
}

impl error::Error for Failure {}
