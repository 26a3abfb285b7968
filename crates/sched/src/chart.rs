//! The state chart of a runner, read from `runner.json`.

use std::sync::LazyLock;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;

static CHART: LazyLock<Chart> = LazyLock::new(|| {
    serde_json::from_str(include_str!("runner.json")).expect("runner.json is a valid state chart")
});

/// The state of a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// No report and no result of it is known yet.
    Unknown,
    /// Its caches are lost or not filled yet.
    Cold,
    /// It has answered, and its limit rises with each answer.
    Warming,
    /// It accepts its full limit.
    Warm,
    /// It could not be reached.
    Suspect,
    /// It is out of service and still serves granted requests.
    Draining,
    /// It is out of service.
    Out,
    /// It is no longer configured.
    Gone,
}

/// An event that may change the state of a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Event {
    /// A load report says that the runner is warm.
    ReportWarm,
    /// A load report says that the runner is cold.
    ReportCold,
    /// A request was answered.
    Answered,
    /// The learned limit has reached the warm limit.
    Grown,
    /// A first token came much later than usual.
    Slow,
    /// A connection broke.
    Broken,
    /// The runner answered that it is overloaded.
    Overloaded,
    /// The runner could not be reached.
    Unreachable,
    /// A suspect runner without load reports may be tried again.
    Retry,
    /// The runner was taken out of service.
    TakenOut,
    /// The last request of the runner ended while it is out of service.
    Drained,
    /// The runner was returned to service.
    PutBack,
    /// The runner was removed from the configuration.
    Removed,
}

/// The limit that applies in a state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Limit {
    /// A limit of zero, so that nothing is granted.
    None,
    /// The configured cold limit.
    Cold,
    /// The learned limit, between the cold and the warm limit.
    Learned,
}

#[derive(Debug, Deserialize)]
struct Chart {
    initial: State,
    states: IndexMap<State, Node>,
}

#[derive(Debug, Deserialize)]
struct Node {
    limit: Limit,
    on: IndexMap<Event, State>,
}

impl State {
    /// Returns the state of a new runner.
    pub(crate) fn initial() -> Self {
        CHART.initial
    }

    /// Returns the state after an event, or the same state if the chart has no transition for it.
    pub(crate) fn after(self, event: Event) -> Self {
        self.node().on.get(&event).copied().unwrap_or(self)
    }

    /// Returns the limit that applies.
    pub(crate) fn limit(self) -> Limit {
        self.node().limit
    }

    fn node(self) -> &'static Node {
        CHART.states.get(&self).expect("the state chart contains every state")
    }
}
