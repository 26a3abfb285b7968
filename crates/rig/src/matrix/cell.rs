//! A cell of the matrix and its report.

use std::fmt;
use std::time::Duration;

use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoEnumIterator;

use crate::Call;
use crate::matrix::Fault;
use crate::matrix::Step;

/// The model service.
pub(super) const MODEL_SERVICE: &str = "belay";
/// The plain service.
pub(super) const PLAIN_SERVICE: &str = "ledger";
/// The number of tokens of the model call.
pub(super) const TOKENS: u32 = 30;

/// The kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// A streamed model call.
    Model,
    /// A non-idempotent call.
    Once,
}

impl Kind {
    /// Returns the name of the called service.
    pub(super) const fn service(self) -> &'static str {
        match self {
            Self::Model => MODEL_SERVICE,
            Self::Once => PLAIN_SERVICE,
        }
    }

    /// Returns a call with a text as its prompt or body.
    pub(super) fn call(self, text: &str) -> Call {
        match self {
            Self::Model => Call::completion(MODEL_SERVICE, text, TOKENS),
            Self::Once => Call::non_idempotent(PLAIN_SERVICE, "/ascents", text),
        }
    }
}

/// One cell of the matrix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cell {
    /// The fault.
    pub fault: Fault,
    /// The step at which the fault is injected.
    pub step: Step,
    /// The kind of call.
    pub kind: Kind,
    /// The seed that selects the roles of the routers and the delay before the fault.
    pub seed: u64,
}

impl Cell {
    /// Returns all cells, including those that are not applicable.
    #[must_use]
    pub fn all(seed: u64) -> Vec<Self> {
        let mut cells = Vec::new();
        for fault in Fault::iter() {
            for step in Step::iter() {
                cells.extend(Kind::iter().map(|kind| Self { fault, step, kind, seed }));
            }
        }
        cells
    }

    /// Returns the cells of the quick subset.
    #[must_use]
    pub fn quick(seed: u64) -> Vec<Self> {
        let selected = [
            (Fault::KillEntry, Step::Claimed, Kind::Once),
            (Fault::KillEntry, Step::Sent, Kind::Once),
            (Fault::KillDispatcher, Step::Queued, Kind::Model),
            (Fault::PauseDispatcher, Step::Granted, Kind::Model),
            (Fault::Cut, Step::Accepted, Kind::Once),
            (Fault::SilentRunner, Step::Streaming, Kind::Model),
            (Fault::RunnerCrash, Step::FirstByte, Kind::Model),
            (Fault::LogDown, Step::Claimed, Kind::Once),
            (Fault::LostAnswer, Step::Granted, Kind::Once),
            (Fault::EmptyRestart, Step::Finished, Kind::Once),
        ];
        selected.map(|(fault, step, kind)| Self { fault, step, kind, seed }).to_vec()
    }

    /// Returns the reason why the cell is not applicable, or `None` if it can be run.
    #[must_use]
    pub const fn inapplicable_reason(&self) -> Option<&'static str> {
        self.fault.inapplicable_reason(self.kind, self.step)
    }
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {} of {}", self.fault, self.step, self.kind)
    }
}

/// The outcome of the call under test in a cell that passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The complete expected answer.
    #[strum(to_string = "whole")]
    Complete,
    /// A refusal or an explicit error.
    Refused,
    /// The connection broke because the router ended.
    Broken,
}

/// The result of a cell.
#[derive(Debug, Clone)]
pub struct Report {
    /// The cell.
    pub cell: Cell,
    /// The outcome of the call under test, if its answer was acceptable.
    pub outcome: Option<Outcome>,
    /// All failed checks; empty if the cell passed.
    pub failures: Vec<String>,
    /// The duration of the cell.
    pub took: Duration,
}

impl Report {
    /// Returns whether all checks passed.
    #[must_use]
    pub const fn is_passed(&self) -> bool {
        self.failures.is_empty()
    }
}
