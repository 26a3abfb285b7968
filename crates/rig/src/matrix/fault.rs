//! The faults of the matrix.

use strum::Display;
use strum::EnumIter;
use strum::EnumString;

use crate::matrix::Kind;
use crate::matrix::Step;

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// The entry router is killed.
    KillEntry,
    /// The dispatcher is killed.
    KillDispatcher,
    /// The entry router is stopped for a while.
    PauseEntry,
    /// The dispatcher is stopped for a while.
    PauseDispatcher,
    /// The links between entry and dispatcher are cut for a while.
    Cut,
    /// The link from the entry to the dispatcher drops packets towards it for a while.
    OneWayCut,
    /// The links between entry and dispatcher are slow for a while.
    Delay,
    /// The present connections between entry and dispatcher are silent for good.
    SilentRouters,
    /// The present connections to all runners of the service are silent for good.
    SilentRunner,
    /// The runner of the call, or one that could get it, falls over.
    RunnerCrash,
    /// The runner of the call, or one that could get it, turns cold.
    RunnerCold,
    /// The platform's log fails for a while.
    LogDown,
    /// The platform's log is slow for a while.
    LogSlow,
    /// The answer to the next append is lost.
    LostAnswer,
    /// The entry router is killed and starts again empty.
    EmptyRestart,
}

impl Fault {
    /// Returns whether the caller's connection breaks by the fault itself.
    #[must_use]
    pub const fn breaks_caller_connection(self) -> bool {
        matches!(self, Self::KillEntry | Self::EmptyRestart)
    }

    /// Returns whether the fault lasts until it is healed.
    #[must_use]
    pub const fn lasts_until_cleared(self) -> bool {
        matches!(
            self,
            Self::PauseEntry
                | Self::PauseDispatcher
                | Self::Cut
                | Self::OneWayCut
                | Self::Delay
                | Self::LogDown
                | Self::LogSlow
        )
    }

    /// Returns why the fault can't happen to a kind of call at a step, if so.
    #[must_use]
    pub const fn not_applicable(self, kind: Kind, step: Step) -> Option<&'static str> {
        match (self, kind, step) {
            (_, Kind::Model, Step::Claimed | Step::Recorded) => Some("model calls aren't claimed"),
            (_, Kind::Once, Step::FirstByte | Step::Streaming) => {
                Some("non-idempotent calls are answered in one piece")
            }
            (Self::RunnerCold, Kind::Once, _) => Some("plain services have no cold start"),
            (Self::LostAnswer, Kind::Model, _) => Some("model calls append nothing"),
            (Self::LostAnswer, Kind::Once, Step::Recorded) => Some("nothing is left to append"),
            _ => None,
        }
    }
}
