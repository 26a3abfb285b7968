//! Frames between entries and dispatchers.

use base::Attempt;
use base::Class;
use base::Cost;
use base::Name;
use base::RequestId;
use base::Verdict;
use serde::Deserialize;
use serde::Serialize;

use crate::Shard;
use crate::Term;

/// A message from one router to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Entry to dispatcher: a request waits for a runner.
    Enqueue(Enqueue),
    /// Entry to dispatcher: a waiting request is withdrawn.
    Cancel(Cancel),
    /// Entry to dispatcher: work used by running requests since the last report.
    Usage(Vec<Usage>),
    /// Entry to dispatcher: a granted request no longer uses its runner.
    Done(Done),
    /// Dispatcher to entry: a runner for a waiting request.
    Grant(Grant),
    /// Dispatcher to entry: a waiting request is refused.
    Refuse(Refuse),
    /// Dispatcher to all entries: a new term begins; each answers with [`Frame::Resync`].
    TakeOver(TakeOver),
    /// Entry to dispatcher: all its waiting and running requests of a shard.
    Resync(Resync),
    /// Any router to a sender that took it for a dispatcher by mistake.
    NotOwner(NotOwner),
    /// Dispatcher to its successors: the fairness counters of a shard.
    Totals(Totals),
    /// Dispatcher to the dispatchers of the other shards of its service: what it has served, and its free slots.
    Served(Served),
    /// Dispatcher to entry: a waiting request is to ask another shard, which has free slots.
    Redirect(Redirect),
    /// Asks for the content of a configuration version.
    ConfigPull {
        /// The wanted version, a log offset.
        version: u64,
    },
    /// The content of a configuration version.
    ConfigPush(ConfigContent),
    /// The router that took an operator's order to all: a zone or instance is out or back.
    PlacementOrder(PlacementOrder),
    /// The answer to [`Frame::PlacementOrder`].
    PlacementAck(PlacementOrder),
    /// Any router to all: a runner crashed while it served a request with this digest.
    Crash(Crash),
}

/// A request that waits for a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Enqueue {
    /// The shard asked.
    pub shard: Shard,
    /// The request.
    pub request: RequestId,
    /// The number of the coming attempt, from 1.
    pub attempt: u32,
    /// The workspace that is charged.
    pub workspace: Name,
    /// The class of the request.
    pub class: Class,
    /// The expected cost, a rough hint.
    pub hint: Cost,
    /// A digest of the prompt prefix, for cache affinity; zero means none.
    pub prefix: u64,
    /// How long the request may still wait in the queue, in milliseconds.
    pub max_wait_ms: u32,
    /// How long the request has waited already, in milliseconds.
    pub waited_ms: u32,
    /// Runners that have failed the request and are not to be granted again.
    pub avoid: Vec<Name>,
    /// Whether the request is suspected of crashing runners and must run alone.
    pub alone: bool,
}

/// The withdrawal of a waiting request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// The shard asked.
    pub shard: Shard,
    /// The request.
    pub request: RequestId,
}

/// The work that a running request has used so far.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The shard of the runner.
    pub shard: Shard,
    /// The request.
    pub request: RequestId,
    /// All work used by this attempt so far.
    pub used: Cost,
}

/// How an attempt ended, as far as the runner is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The runner answered.
    Answered,
    /// The attempt never used the runner.
    Unused,
    /// The caller hung up and the runner was told to cancel.
    Cancelled,
    /// The runner could not be reached.
    Unreachable,
    /// The connection to the runner broke or went silent during the attempt.
    Broken,
    /// The runner said that it is overloaded or not ready.
    Overloaded,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The shard of the runner.
    pub shard: Shard,
    /// The request.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: u32,
    /// All work used by this attempt.
    pub used: Cost,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from sending to the first token, in milliseconds, if there was one.
    pub first_token_ms: Option<u32>,
}

/// The grant of a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The shard of the runner.
    pub shard: Shard,
    /// The dispatcher's term.
    pub term: Term,
    /// The request.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: u32,
    /// The granted runner.
    pub runner: Name,
}

/// The refusal of a waiting request. Its verdict is always not-run for this attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refuse {
    /// The shard asked.
    pub shard: Shard,
    /// The dispatcher's term.
    pub term: Term,
    /// The request.
    pub request: RequestId,
    /// The verdict of the attempt.
    pub verdict: Verdict,
    /// When the caller may come back, in milliseconds.
    pub retry_after_ms: u32,
    /// Whether the queue of the workspace is full, as opposed to a deadline that cannot be met.
    pub queue_full: bool,
}

/// The begin of a term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeOver {
    /// The shard.
    pub shard: Shard,
    /// The new term.
    pub term: Term,
}

/// A running request, as its entry knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: u32,
    /// The workspace that is charged.
    pub workspace: Name,
    /// The class of the request.
    pub class: Class,
    /// The runner that serves it.
    pub runner: Name,
    /// All work used by this attempt so far.
    pub used: Cost,
}

/// All requests of a shard that an entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resync {
    /// The shard.
    pub shard: Shard,
    /// The term that is answered.
    pub term: Term,
    /// The waiting requests.
    pub waiting: Vec<Enqueue>,
    /// The running requests.
    pub running: Vec<Running>,
    /// The fairness counters last heard of an earlier dispatcher, if any.
    pub totals: Option<Totals>,
}

/// The answer to a frame sent to a router that does not own the shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotOwner {
    /// The shard.
    pub shard: Shard,
}

/// The fairness counter of a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// The workspace.
    pub workspace: Name,
    /// Its weighted charge, in cost per unit of weight.
    pub charge: Cost,
}

/// The fairness counters of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// The shard.
    pub shard: Shard,
    /// The term of the dispatcher that counted.
    pub term: Term,
    /// A counter that rises with each message of the term.
    pub sequence: u64,
    /// The counters.
    pub totals: Vec<Total>,
}

/// What a shard has served, and its free slots.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Served {
    /// The shard.
    pub shard: Shard,
    /// The term of its dispatcher.
    pub term: Term,
    /// The charges since the begin of the term, of workspaces whose charge has changed.
    pub totals: Vec<Total>,
    /// Slots that nobody waits for.
    pub spare: u32,
    /// The part of them that is open to long requests.
    pub spare_long: u32,
}

/// The order to ask another shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// The shard that gives the request up.
    pub shard: Shard,
    /// The dispatcher's term.
    pub term: Term,
    /// The request.
    pub request: RequestId,
    /// The index of the shard to ask.
    pub to: u16,
}

/// The content of a configuration version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigContent {
    /// The version, a log offset.
    pub version: u64,
    /// The text of the configuration file.
    pub text: String,
}

/// An operator's order about a zone or an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementOrder {
    /// The kind and name of what is placed, such as `zone/derby`.
    pub key: Name,
    /// The version of the order: the higher one wins.
    pub counter: u64,
    /// Whether it is out; wins over back at the same counter.
    pub out: bool,
    /// The router that took the order.
    pub by: Name,
}

/// A crash of a runner while it served a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// A digest of workspace and content.
    pub digest: u64,
    /// The crashed runner.
    pub runner: Name,
    /// The attempt that it served.
    pub attempt: Attempt,
    /// Whether the request was the only one on the runner.
    pub alone: bool,
}
