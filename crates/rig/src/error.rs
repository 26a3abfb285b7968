//! What can go wrong in the rig itself.

use std::error;
use std::fmt;

/// A failure of the rig, which says nothing about the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// A binary isn't next to the running executable.
    NoBinary(String),
    /// A directory or file of the run can't be made.
    Directory,
    /// A process can't be started.
    Start(String),
    /// A process ended or said nothing before it was ready.
    NotReady(String),
    /// A process has ended.
    Ended(String),
    /// A process didn't end in time.
    NotEnded(String),
    /// A part didn't answer.
    NoAnswer(String),
    /// A part refused an order.
    Refused(String),
    /// A part answered something unexpected.
    Malformed(String),
    /// The keys of the fleet can't be made.
    Keys,
    /// What was waited for didn't happen in time.
    Timeout(String),
    /// There is no part of this name.
    Unknown(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoBinary(name) => {
                write!(f, "no binary {name} next to this one: run `cargo build --workspace` first")
            }
            Self::Directory => f.write_str("the directory of the run can't be used"),
            Self::Start(name) => write!(f, "{name} can't be started"),
            Self::NotReady(name) => write!(f, "{name} didn't get ready"),
            Self::Ended(name) => write!(f, "{name} has ended"),
            Self::NotEnded(name) => write!(f, "{name} didn't end in time"),
            Self::NoAnswer(what) => write!(f, "no answer to {what}"),
            Self::Refused(what) => write!(f, "refused: {what}"),
            Self::Malformed(what) => write!(f, "unexpected answer to {what}"),
            Self::Keys => f.write_str("the keys of the fleet can't be made"),
            Self::Timeout(what) => write!(f, "not in time: {what}"),
            Self::Unknown(name) => write!(f, "no part {name}"),
        }
    }
}

impl error::Error for Error {}
