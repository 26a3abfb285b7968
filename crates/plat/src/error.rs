//! Errors of calls to the platform, and whether such a call may have taken effect.

use std::error;
use std::fmt;
use std::time::Duration;

use base::Verdict;

/// The reason why a call to the platform failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// No byte of the call was sent.
    Unreachable,
    /// The platform refused the call: it is down or receives too many calls.
    Unavailable {
        /// The delay before a retry.
        retry_after: Duration,
    },
    /// The call was sent but no answer was received, so it may have taken effect.
    Lost,
    /// The requested records are no longer retained.
    Gone {
        /// The oldest offset that is retained.
        first: u64,
        /// The offset of the next record.
        next: u64,
    },
    /// The answer violates the protocol, so the call may have taken effect.
    Malformed,
}

impl Error {
    /// Returns whether the call may have taken effect.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Unreachable | Self::Unavailable { .. } | Self::Gone { .. } => Verdict::NotRun,
            Self::Lost | Self::Malformed => Verdict::MayHaveRun,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => f.write_str("platform cannot be reached"),
            Self::Unavailable { retry_after } => {
                write!(f, "platform refuses calls, retry after {} ms", retry_after.as_millis())
            }
            Self::Lost => f.write_str("platform did not answer"),
            Self::Gone { first, next } => {
                write!(f, "records are no longer retained, only {first} to before {next}")
            }
            Self::Malformed => f.write_str("answer of the platform is malformed"),
        }
    }
}

impl error::Error for Error {}
