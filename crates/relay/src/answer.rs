//! The final answer to a call.

use std::time::Duration;

use balance::Limit;
use balance::Refusal;
use http::Response;

use crate::Held;
use crate::Stream;

/// A final answer.
#[derive(Debug)]
pub enum Answer {
    /// The complete answer of a runner.
    Complete(Response<Held>),
    /// A runner's stream of events, passed on as they arrive.
    Stream(Box<Response<Stream>>),
    /// There is no answer of a runner.
    Problem(Problem),
}

/// The reason why there is no answer of a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Problem {
    /// The request has not run; the caller may retry.
    Refused {
        /// The delay after which the caller may retry.
        retry_after: Duration,
        /// Why it was not run.
        reason: Refusal,
        /// What kept it from the engines when it was refused, for the log.
        limit: Option<Limit>,
    },
    /// The request may have run, and its answer is lost.
    Lost,
    /// The request may have run, and no answer arrived in time.
    Timeout,
}
