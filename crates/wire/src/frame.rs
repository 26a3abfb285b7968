//! Frames that routers exchange, mostly between entries and dispatchers.

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
    /// Entry to dispatcher: queues a request that waits for a runner.
    Enqueue(Enqueue),
    /// Entry to dispatcher: withdraws a waiting request.
    Cancel(Cancel),
    /// Entry to dispatcher: reports the work used so far by running requests.
    Usage(Vec<Usage>),
    /// Entry to dispatcher: reports that a granted request no longer uses its runner.
    Done(Done),
    /// Dispatcher to entry: grants a runner to a waiting request.
    Grant(Grant),
    /// Dispatcher to entry: refuses a waiting request.
    Refuse(Refuse),
    /// Dispatcher to all entries: announces a new term; each entry answers with [`Frame::Resync`].
    TakeOver(TakeOver),
    /// Entry to dispatcher: lists all requests of a shard that wait or run at the entry.
    Resync(Resync),
    /// Any router to a sender: the receiver is not the dispatcher of the shard.
    NotOwner(NotOwner),
    /// Dispatcher to its successors: replicates the fairness counters of a shard.
    Totals(Totals),
    /// Dispatcher to the dispatchers of the other shards of its service: reports charges and free slots.
    Served(Served),
    /// Dispatcher to entry: sends a waiting request to another shard, which has free slots.
    Redirect(Redirect),
    /// Any router to another: requests the content of a configuration version.
    ConfigPull {
        /// The requested version, a log offset.
        version: u64,
    },
    /// Any router to another: the content of a configuration version.
    ConfigPush(ConfigContent),
    /// Any router to all: an order from an operator to take a zone or instance out of service or return it.
    PlacementOrder(PlacementOrder),
    /// The acknowledgement of a [`Frame::PlacementOrder`], with the order itself.
    PlacementAck(PlacementOrder),
    /// Any router to all: reports that a runner crashed while it served a request with this digest.
    Crash(Crash),
}

/// A request that waits for a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Enqueue {
    /// The shard that queues the request.
    pub shard: Shard,
    /// The request.
    pub request: RequestId,
    /// The number of the next attempt, from 1.
    pub attempt: u32,
    /// The workspace that is charged.
    pub workspace: Name,
    /// The class of the request.
    pub class: Class,
    /// The estimated cost, which may be inaccurate.
    pub hint: Cost,
    /// A digest of the prompt prefix, for prefix cache affinity; zero means no prefix.
    pub prefix: u64,
    /// The longest time that the request may still wait in the queue, in milliseconds.
    pub max_wait_ms: u32,
    /// The time that the request has already waited, in milliseconds.
    pub waited_ms: u32,
    /// Runners that failed this request and must not be granted to it again.
    pub avoid: Vec<Name>,
    /// Whether the request is suspected of crashing runners and must be the only one on its runner.
    pub alone: bool,
}

/// The withdrawal of a waiting request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// The shard that queues the request.
    pub shard: Shard,
    /// The request.
    pub request: RequestId,
}

/// The work that the current attempt of a request has used so far.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The shard of the runner.
    pub shard: Shard,
    /// The request.
    pub request: RequestId,
    /// All work used by this attempt so far.
    pub used: Cost,
}

/// The outcome of an attempt, as evidence about the runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The runner answered.
    Answered,
    /// The attempt never used the runner.
    Unused,
    /// The caller disconnected and the runner was asked to cancel the attempt.
    Cancelled,
    /// The runner could not be reached.
    Unreachable,
    /// The connection to the runner broke or timed out during the attempt.
    Broken,
    /// The runner reported that it is overloaded or not ready.
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
    /// The time from sending the request to its first token, in milliseconds; `None` without a token.
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

/// The refusal of a waiting request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refuse {
    /// The shard that queues the request.
    pub shard: Shard,
    /// The dispatcher's term.
    pub term: Term,
    /// The request.
    pub request: RequestId,
    /// The verdict of the attempt, always [`Verdict::NotRun`].
    pub verdict: Verdict,
    /// The delay after which the caller may retry, in milliseconds.
    pub retry_after_ms: u32,
    /// Whether the queue of the workspace is full; otherwise the deadline cannot be met.
    pub queue_full: bool,
}

/// The announcement of a new term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeOver {
    /// The shard.
    pub shard: Shard,
    /// The new term.
    pub term: Term,
}

/// A running request, as reported by its entry.
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
    /// The runner that serves the request.
    pub runner: Name,
    /// All work used by this attempt so far.
    pub used: Cost,
}

/// All requests of a shard that an entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resync {
    /// The shard.
    pub shard: Shard,
    /// The term whose announcement is answered.
    pub term: Term,
    /// The waiting requests.
    pub waiting: Vec<Enqueue>,
    /// The running requests.
    pub running: Vec<Running>,
    /// The fairness counters last received from an earlier dispatcher, if any.
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
    /// The term of the dispatcher that sends the counters.
    pub term: Term,
    /// The sequence number of the message within the term, which increases with each message.
    pub sequence: u64,
    /// The fairness counters by workspace.
    pub totals: Vec<Total>,
}

/// The charges and the free slots of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Served {
    /// The shard.
    pub shard: Shard,
    /// The term of its dispatcher.
    pub term: Term,
    /// The charges since the start of the term, only of workspaces whose charge has changed.
    pub totals: Vec<Total>,
    /// The number of free slots that no queued request waits for.
    pub spare: u32,
    /// The number of these slots that may serve long requests.
    pub spare_long: u32,
}

/// The instruction to an entry to queue a request at another shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// The shard that no longer queues the request.
    pub shard: Shard,
    /// The dispatcher's term.
    pub term: Term,
    /// The request.
    pub request: RequestId,
    /// The index of the other shard, within the same service and region.
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

/// An order from an operator to take a zone or instance out of service or return it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementOrder {
    /// The kind and name of the subject, such as `zone/derby`.
    pub key: Name,
    /// The version of the order: a higher one supersedes a lower one.
    pub counter: u64,
    /// Whether the subject is out of service; at the same counter, this supersedes a return to service.
    pub out: bool,
    /// The router that received the order from the operator.
    pub by: Name,
}

/// A crash of a runner while it served a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// A digest of the workspace and the content of the request.
    pub digest: u64,
    /// The crashed runner.
    pub runner: Name,
    /// The attempt that the runner served.
    pub attempt: Attempt,
    /// Whether no other request was on the runner.
    pub alone: bool,
}
