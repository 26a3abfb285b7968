//! The errors of the test rig itself.

use std::error;
use std::fmt;

/// A failure of the test rig, which is no failure of the fleet under test.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// A binary is not next to the running executable.
    NoBinary(String),
    /// A directory or file of the run can't be created.
    Directory,
    /// A process can't be started.
    Start(String),
    /// A process ended or printed nothing before it was ready.
    NotReady(String),
    /// A process has ended.
    Ended(String),
    /// A process didn't end before the timeout.
    NotEnded(String),
    /// A process didn't answer a request.
    NoAnswer(String),
    /// A process refused a request.
    Refused(String),
    /// A process sent an answer of an unexpected form.
    Malformed(String),
    /// The keys of the fleet can't be created.
    Keys,
    /// An awaited condition was not met before the timeout.
    Timeout(String),
    /// No process, link or other part has this name.
    Unknown(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoBinary(name) => {
                write!(f, "no binary {name} next to this one: run `cargo build --workspace` first")
            }
            Self::Directory => f.write_str("the directory of the run can't be created or written"),
            Self::Start(name) => write!(f, "{name} can't be started"),
            Self::NotReady(name) => write!(f, "{name} didn't become ready"),
            Self::Ended(name) => write!(f, "{name} has ended"),
            Self::NotEnded(name) => write!(f, "{name} didn't end before the timeout"),
            Self::NoAnswer(what) => write!(f, "no answer to {what}"),
            Self::Refused(what) => write!(f, "refused: {what}"),
            Self::Malformed(what) => write!(f, "unexpected answer to {what}"),
            Self::Keys => f.write_str("the keys of the fleet can't be created"),
            Self::Timeout(what) => write!(f, "timed out: {what}"),
            Self::Unknown(name) => write!(f, "unknown name: {name}"),
        }
    }
}

impl error::Error for Error {}
