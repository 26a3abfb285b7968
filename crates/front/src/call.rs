//! Validation of the calls of callers.

use std::time::Duration;

use base::Class;
use base::Cost;
use base::Name;
use base::RequestId;
use bytes::Bytes;
use conf::configuration::Kind;
use conf::configuration::Service;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use serde::Deserialize;
use uuid::Uuid;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

use crate::Problem;
use crate::auth::Caller;

/// Length of the prompt prefix, in bytes, whose digest selects runners by their prefix cache.
const PREFIX_BYTES: usize = 256;
/// Expected cost of a model call without `max_tokens` and without a hint, in tokens.
const DEFAULT_TOKENS: u64 = 128;
/// Expected cost of a plain call without a hint, in microseconds.
const DEFAULT_PLAIN_COST_US: u64 = 10_000;
/// Header with the class of a call.
const CLASS_HEADER: &str = "aspenline-class";
/// Header with the expected cost of a call, in tokens for a model call and in microseconds for a plain call.
const HINT_HEADER: &str = "aspenline-cost-hint";
/// Header with the maximum time that a call may wait in the queue, in milliseconds.
const DEADLINE_HEADER: &str = "aspenline-deadline-ms";
/// Header with the idempotency key of a non-idempotent call.
const KEY_HEADER: &str = "idempotency-key";

/// A validated call, ready to be queued.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    /// The identifier of the request.
    pub(crate) request: RequestId,
    /// The caller and the configuration at the time of the call.
    pub(crate) caller: Caller,
    /// The service that is called.
    pub(crate) service: Name,
    /// The class of the call.
    pub(crate) class: Class,
    /// The HTTP method of the request to the runner.
    pub(crate) method: Method,
    /// Path and query of the request to the runner.
    pub(crate) path: String,
    /// The body.
    pub(crate) body: Bytes,
    /// The media type of the body.
    pub(crate) content_type: Option<HeaderValue>,
    /// The idempotency key; `None` for an idempotent call.
    pub(crate) key: Option<Uuid>,
    /// The expected cost.
    pub(crate) hint: Cost,
    /// The digest of the prompt prefix; zero for a call without a prompt.
    pub(crate) prefix: u64,
    /// The maximum time in the queue.
    pub(crate) max_wait: Duration,
    /// Whether the caller requests the answer of a model as a stream of events.
    pub(crate) streamed: bool,
    /// The digest of workspace and content, which identifies a request that crashes runners.
    pub(crate) digest: u64,
}

/// A call before validation, as taken from an HTTP request.
#[derive(Debug)]
pub(crate) struct RawCall<'a> {
    /// The name of the service.
    pub(crate) service: &'a str,
    /// Path and query after the name of the service.
    pub(crate) path: String,
    /// The method.
    pub(crate) method: Method,
    /// The headers.
    pub(crate) headers: &'a HeaderMap,
    /// The complete body.
    pub(crate) body: Bytes,
}

/// The fields of a model call that the router reads.
#[derive(Debug, Deserialize)]
struct Completion {
    prompt: String,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

impl Call {
    /// Validates a request.
    ///
    /// # Errors
    /// Returns a problem with the verdict not-run and a description of the fault.
    pub(crate) fn check(caller: Caller, raw: RawCall<'_>) -> Result<Self, Problem> {
        let configuration = caller.configuration.clone();
        let service = configuration
            .services
            .iter()
            .find(|service| service.name.as_str() == raw.service)
            .ok_or_else(|| {
                Problem::rejected(
                    StatusCode::NOT_FOUND,
                    format!("there is no service {:?}", raw.service),
                )
            })?;
        let class = class_of(service, &raw)?;
        let completion = completion_of(service, &raw)?;
        let default_hint = match &completion {
            Some(completion) => Cost::tokens(completion.max_tokens.unwrap_or(DEFAULT_TOKENS)),
            None => Cost(DEFAULT_PLAIN_COST_US),
        };
        let hint = match header_number(raw.headers, HINT_HEADER)? {
            Some(tokens) if completion.is_some() => Cost::tokens(tokens),
            Some(micros) => Cost(micros),
            None => default_hint,
        };
        Ok(Self {
            request: RequestId::generate(),
            service: service.name.clone(),
            class,
            key: key_of(class, raw.headers)?,
            hint,
            prefix: completion.as_ref().map_or(0, |completion| prefix_digest(&completion.prompt)),
            max_wait: max_wait_of(service, class, raw.headers)?,
            streamed: completion.is_some_and(|completion| completion.stream),
            digest: content_digest(&caller.workspace, &raw),
            content_type: raw.headers.get(CONTENT_TYPE).cloned(),
            method: raw.method,
            path: raw.path,
            body: raw.body,
            caller,
        })
    }

    /// Returns the service as configured when the call arrived.
    pub(crate) fn service(&self) -> &Service {
        self.caller
            .configuration
            .services
            .iter()
            .find(|service| service.name == self.service)
            .expect("the call was validated against this configuration")
    }
}

fn class_of(service: &Service, raw: &RawCall<'_>) -> Result<Class, Problem> {
    let read_only = matches!(raw.method, Method::GET | Method::HEAD);
    let class = match (service.kind, header_text(raw.headers, CLASS_HEADER)?) {
        (Kind::Plain, _) if read_only => Class::Lookup,
        (Kind::Plain, Some("lookup")) => Class::Lookup,
        (Kind::Plain, _) => Class::Once,
        (Kind::Engine, None) => Class::Interactive,
        (Kind::Engine, Some(name)) => name.parse().map_err(|_| {
            Problem::rejected(
                StatusCode::BAD_REQUEST,
                format!("{CLASS_HEADER} is {name:?}; allowed: interactive, long"),
            )
        })?,
    };
    if service.classes.contains(&class) {
        Ok(class)
    } else {
        Err(Problem::rejected(
            StatusCode::BAD_REQUEST,
            format!("service {} serves no calls of class {class}", service.name),
        ))
    }
}

fn completion_of(service: &Service, raw: &RawCall<'_>) -> Result<Option<Completion>, Problem> {
    if service.kind == Kind::Plain {
        return Ok(None);
    }
    if raw.method != Method::POST {
        return Err(Problem::rejected(StatusCode::METHOD_NOT_ALLOWED, "model calls are POST"));
    }
    serde_json::from_slice(&raw.body).map(Some).map_err(|error| {
        Problem::rejected(StatusCode::BAD_REQUEST, format!("the body is not a model call: {error}"))
    })
}

fn key_of(class: Class, headers: &HeaderMap) -> Result<Option<Uuid>, Problem> {
    if class.is_idempotent() {
        return Ok(None);
    }
    let Some(key) = header_text(headers, KEY_HEADER)? else {
        return Err(Problem::rejected(
            StatusCode::BAD_REQUEST,
            "a call that may not be repeated needs an Idempotency-Key, a UUID of version 7",
        ));
    };
    match Uuid::parse_str(key.trim_matches('"')) {
        Ok(key) if key.get_version_num() == 7 => Ok(Some(key)),
        _ => Err(Problem::rejected(
            StatusCode::BAD_REQUEST,
            "Idempotency-Key must be a UUID of version 7",
        )),
    }
}

fn max_wait_of(service: &Service, class: Class, headers: &HeaderMap) -> Result<Duration, Problem> {
    let limit = match class {
        Class::Long => service.timeouts.long_queue_ms,
        _ => service.timeouts.queue_ms,
    };
    let requested = header_number(headers, DEADLINE_HEADER)?.unwrap_or(limit);
    Ok(Duration::from_millis(requested.min(limit)))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    headers
        .get(name)
        .map(|value| {
            value.to_str().map_err(|_| {
                Problem::rejected(StatusCode::BAD_REQUEST, format!("{name} is not plain text"))
            })
        })
        .transpose()
}

fn header_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Problem> {
    header_text(headers, name)?
        .map(|value| {
            value.trim().parse().map_err(|_| {
                Problem::rejected(
                    StatusCode::BAD_REQUEST,
                    format!("{name} is {value:?}, not a number"),
                )
            })
        })
        .transpose()
}

fn prefix_digest(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)]).max(1)
}

fn content_digest(workspace: &Name, raw: &RawCall<'_>) -> u64 {
    let mut digest = Xxh3::new();
    digest.update(workspace.as_str().as_bytes());
    digest.update(&[0]);
    digest.update(raw.service.as_bytes());
    digest.update(raw.path.as_bytes());
    digest.update(&raw.body);
    digest.digest()
}
