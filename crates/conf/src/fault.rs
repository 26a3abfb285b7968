//! Faults of a file and the error that contains all of them.

use std::error;
use std::fmt;

/// One fault of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The path of the field, such as `services[0].name`; empty for the entire file.
    pub path: String,
    /// A description of what was found there.
    pub found: String,
    /// A description of what is allowed there.
    pub allowed: String,
    /// The allowed word that is nearest to the found one, if any is near.
    pub nearest: Option<String>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() { "file" } else { &self.path };
        write!(f, "line {}, column {}: {path}: ", self.line, self.column)?;
        write!(f, "found {}, allowed is {}", self.found, self.allowed)?;
        match &self.nearest {
            Some(nearest) => write!(f, "; did you mean `{nearest}`?"),
            None => Ok(()),
        }
    }
}

/// The error of parsing an invalid file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The text is not a valid settings file.
    Settings(Vec<Fault>),
    /// The text is not a valid configuration file.
    Configuration(Vec<Fault>),
}

impl Error {
    /// Returns all faults in the order of their positions.
    #[must_use]
    pub fn faults(&self) -> &[Fault] {
        match self {
            Self::Settings(faults) | Self::Configuration(faults) => faults,
        }
    }

    const fn kind(&self) -> &'static str {
        match self {
            Self::Settings(_) => "settings",
            Self::Configuration(_) => "configuration",
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.faults().len();
        let noun = if count == 1 { "fault" } else { "faults" };
        write!(f, "the {} file has {count} {noun}", self.kind())?;
        for fault in self.faults() {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl error::Error for Error {}
