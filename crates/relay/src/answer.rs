//! The final answer to a call.

use std::time::Duration;

use bytes::Bytes;
use http::Response;

use crate::Stream;

/// A final answer.
#[derive(Debug)]
pub enum Answer {
    /// The whole answer of a runner.
    Complete(Response<Bytes>),
    /// A runner's stream of events, as they come.
    Stream(Box<Response<Stream>>),
    /// No answer of a runner.
    Problem(Problem),
}

/// Why there is no answer of a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Problem {
    /// The request has not run; the caller may come back.
    Refused {
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// The request may have run and its answer is lost.
    Lost,
    /// The request may have run and no answer came in time.
    Timeout,
}
