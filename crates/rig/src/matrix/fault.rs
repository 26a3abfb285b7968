//! The faults of the matrix.

use strum::Display;
use strum::EnumIter;
use strum::EnumString;

use crate::matrix::Kind;
use crate::matrix::Step;

/// A fault that is injected at a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// The entry router is killed.
    KillEntry,
    /// The dispatcher is killed.
    KillDispatcher,
    /// The entry router is paused for a while.
    PauseEntry,
    /// The dispatcher is paused for a while.
    PauseDispatcher,
    /// The links between entry and dispatcher are cut for a while.
    Cut,
    /// Packets from the entry to the dispatcher are dropped for a while.
    OneWayCut,
    /// The links between entry and dispatcher are delayed for a while.
    Delay,
    /// The open connections between entry and dispatcher stall permanently.
    SilentRouters,
    /// The open connections to all runners of the service stall permanently.
    SilentRunner,
    /// The runner of the call, or one that could receive it, crashes.
    RunnerCrash,
    /// The runner of the call, or one that could receive it, turns cold.
    RunnerCold,
    /// The platform's log is unavailable for a while.
    LogDown,
    /// The platform's log is slow for a while.
    LogSlow,
    /// The answer to the next append to the log is lost.
    LostAnswer,
    /// The entry router is killed and restarted without its state.
    EmptyRestart,
}

impl Fault {
    /// Returns whether the fault itself breaks the caller's connection.
    #[must_use]
    pub const fn breaks_caller_connection(self) -> bool {
        matches!(self, Self::KillEntry | Self::EmptyRestart)
    }

    /// Returns whether the fault lasts until it is cleared.
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

    /// Returns the reason why the fault is not applicable to a kind of call at a step, or `None` if it is.
    #[must_use]
    pub const fn inapplicable_reason(self, kind: Kind, step: Step) -> Option<&'static str> {
        match (self, kind, step) {
            (_, Kind::Model, Step::Claimed | Step::Recorded) => Some("model calls aren't claimed"),
            (_, Kind::Once, Step::FirstByte | Step::Streaming) => {
                Some("answers to non-idempotent calls aren't streamed")
            }
            (Self::RunnerCold, Kind::Once, _) => Some("plain services have no cold start"),
            (Self::LostAnswer, Kind::Model, _) => Some("model calls append nothing"),
            (Self::LostAnswer, Kind::Once, Step::Recorded) => Some("nothing is left to append"),
            _ => None,
        }
    }
}
