//! A request that is forwarded, and the protocol of the runners.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use balance::Cause;
use balance::Prompt;
use balance::Route;
use base::Name;
use budget::Reservation;
use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Uri;
use http::response;
use http_body_util::Full;

use crate::Notice;

/// A request that was checked and may be forwarded.
#[derive(Debug, Clone)]
pub struct Call {
    /// The id of the request, which a runner echoes.
    pub id: String,
    /// The route of the request.
    pub route: Rc<Route>,
    /// The service that runs it.
    pub service: Name,
    /// The workspace of the request, if its route requires a key.
    pub workspace: Option<Name>,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The prompt, for a model engine.
    pub prompt: Option<Prompt>,
    /// The number of tokens in one event of the answer.
    pub event_tokens: u32,
    /// The version of the configuration that admitted the request.
    pub version: u64,
    /// The time of arrival.
    pub arrived: Duration,
    /// The time by which the request must be answered.
    pub deadline: Duration,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers that are forwarded.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The memory of the body, if it has any.
    pub memory: Option<Rc<Reservation>>,
    /// The number by which the memory of the caller is counted.
    pub owner: u64,
    /// What may be the cause if the request crashes its runner.
    pub causes: Vec<Cause>,
}

/// One attempt at a call: a single send to a single runner.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// The id of the runner.
    pub runner: &'a Name,
    /// The runner from which this one fetches the shared parts of the prompt.
    pub source: Option<SocketAddr>,
    /// The time left until the deadline of the call.
    pub time_left: Duration,
    /// The id of the last event that the caller has received, if a stream is resumed.
    pub last_event: Option<&'a str>,
}

/// The class of an answer, as its head states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AnswerClass {
    /// The answer is the runner's own and is passed on.
    Final,
    /// The runner ran the request and failed; the answer may be passed on if no attempt succeeds.
    Failed,
    /// The runner has not run the request.
    NotRun,
    /// Another runner now has this address; the request has not run.
    Misdirected,
    /// The answer belongs to another request, or is not one that a runner sends.
    Invalid,
}

/// The protocol of the runners: how requests are built and answers are read.
#[derive(Debug, Clone, Copy)]
pub struct RunnerProtocol {
    /// The header that names a request, in lowercase, which each answer repeats.
    pub id_header: &'static str,
    /// Builds the request to a runner.
    pub build_request: fn(&Call, &Attempt<'_>) -> Request<Full<Bytes>>,
    /// Classifies an answer by its head.
    pub classify: fn(&Call, &response::Parts) -> AnswerClass,
    /// Returns how long the runner keeps the idle connection open, if the answer states it.
    pub keep_alive: fn(&response::Parts) -> Option<Duration>,
    /// Returns what the runner says about itself in an answer.
    pub notice: fn(&response::Parts) -> Notice,
}
