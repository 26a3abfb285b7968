//! The state chart of a runner, read from `runner.json`.

use std::sync::LazyLock;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;

static CHART: LazyLock<Chart> = LazyLock::new(|| {
    serde_json::from_str(include_str!("runner.json")).expect("the chart is part of the program")
});

/// The state of a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// Nothing is known of it yet.
    Unknown,
    /// It has lost or not yet filled its caches.
    Cold,
    /// It has answered and bears more with each answer.
    Warming,
    /// It bears its full limit.
    Warm,
    /// It could not be reached.
    Suspect,
    /// It is taken out and still serves requests.
    Draining,
    /// It is taken out.
    Out,
    /// It is no longer configured.
    Gone,
}

/// What may change the state of a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Event {
    /// A load report says that it is warm.
    ReportWarm,
    /// A load report says that it is cold.
    ReportCold,
    /// A request was answered.
    Answered,
    /// The learned limit has reached the warm limit.
    Grown,
    /// A first token came much later than usual.
    Slow,
    /// A connection broke.
    Broken,
    /// It said that it is overloaded.
    Overloaded,
    /// It could not be reached.
    Unreachable,
    /// A suspect without load reports may be tried again.
    Retry,
    /// It was taken out.
    TakenOut,
    /// Its last request ended while it is out.
    Drained,
    /// It was put back.
    PutBack,
    /// It left the configuration.
    Removed,
}

/// Which limit applies in a state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Limit {
    /// No grants.
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
    /// Returns the state of a runner of which nothing is known.
    pub(crate) fn initial() -> Self {
        CHART.initial
    }

    /// Returns the state after an event, which is the same one if the chart names none.
    pub(crate) fn after(self, event: Event) -> Self {
        self.node().on.get(&event).copied().unwrap_or(self)
    }

    /// Returns which limit applies.
    pub(crate) fn limit(self) -> Limit {
        self.node().limit
    }

    fn node(self) -> &'static Node {
        CHART.states.get(&self).expect("the chart holds every state")
    }
}
