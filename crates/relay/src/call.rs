//! A request that is forwarded, and what callers and runners speak.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use balance::Prompt;
use balance::Route;
use base::Name;
use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Uri;
use http::response;
use http_body_util::Full;

/// A request that was checked and may be forwarded.
#[derive(Debug, Clone)]
pub struct Call {
    /// The id of the request, which a runner echoes.
    pub id: String,
    /// The route that it takes.
    pub route: Rc<Route>,
    /// The service that runs it.
    pub service: Name,
    /// The workspace that it is for, if the route needs a key.
    pub workspace: Option<Name>,
    /// The priority, 0 for the most urgent.
    pub priority: u32,
    /// The prompt, for a model engine.
    pub prompt: Option<Prompt>,
    /// Tokens that one event of the answer holds.
    pub event_tokens: u32,
    /// The version of the configuration that admitted it.
    pub version: u64,
    /// When it arrived.
    pub arrived: Duration,
    /// When it is answered at the latest.
    pub deadline: Duration,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The headers that are passed on.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The digest of workspace and content, by which a request that crashes runners is known.
    pub digest: u64,
}

/// One send of a call to one runner.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// The id of the runner.
    pub runner: &'a Name,
    /// The runner from which it fetches the shared parts of the prompt.
    pub source: Option<SocketAddr>,
    /// The time that is left.
    pub time_left: Duration,
    /// The id of the last event that the caller has, if the stream goes on.
    pub last_event: Option<&'a str>,
}

/// What the head of an answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ResponseClass {
    /// The answer is the runner's own and is passed on.
    Final,
    /// The runner ran the request and failed; the answer may be passed on.
    Failed,
    /// The runner has not run the request.
    NotRun,
    /// Another runner has this address; the request has not run.
    Misdirected,
    /// The answer belongs to another request, or is not one that a runner gives.
    Invalid,
}

/// What is spoken to runners.
#[derive(Debug, Clone, Copy)]
pub struct RunnerProtocol {
    /// Builds the request to a runner.
    pub build_request: fn(&Call, &Attempt<'_>) -> Request<Full<Bytes>>,
    /// Judges the head of an answer.
    pub classify: fn(&Call, &response::Parts) -> ResponseClass,
    /// Returns for how long the runner keeps the idle connection, if the answer says so.
    pub keep_alive: fn(&response::Parts) -> Option<Duration>,
}
