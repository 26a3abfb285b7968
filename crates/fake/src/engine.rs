//! A fake model engine with continuous batching and a cold start.

mod generation;
mod state;
mod text;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;

use crate::engine::generation::Generation;
use crate::engine::state::Engine;
use crate::engine::state::Refusal;
use crate::reply;
use crate::reply::Abort;
use crate::reply::Answer;
use crate::reply::Body;
use crate::reply::Reply;
use crate::server;
use crate::server::Call;
use crate::server::Connections;

pub use state::Load;
pub use text::answer;
pub use text::token;

/// The text in a prompt that makes the engine crash.
pub const CRASH_MARKER: &str = "CRASH-RUNNER";

/// The settings of the engine.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// The maximum number of requests that run at the same time.
    pub slots: u32,
    /// The time between two tokens of one request.
    pub token_interval: Duration,
    /// The time until the first token.
    pub first_token_delay: Duration,
    /// Whether the engine starts cold.
    pub is_cold: bool,
    /// The maximum number of requests, queued ones included, at which a cold engine does not crash.
    pub cold_slots: u32,
    /// The number of answered requests after which the engine is warm.
    pub warm_after: u32,
    /// How long connections are refused after a crash.
    pub crash_downtime: Duration,
    /// The time between two updates of the load report.
    pub report_interval: Duration,
    /// The number of padding bytes in each event of a stream.
    pub event_bytes: u32,
    /// Whether orders with an older fencing token are refused.
    pub checks_fencing: bool,
}

/// A request for a completion.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Completion {
    /// The prompt.
    pub prompt: String,
    /// The number of tokens to generate.
    pub max_tokens: u32,
    /// Whether tokens are streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// An order to the engine.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Order {
    /// The kind: `load-model`, `load-adapter` or `set-role`.
    pub order: String,
    /// The name that the order concerns.
    pub name: String,
    /// The fencing token of the order.
    pub fence: u64,
}

#[derive(Debug, Deserialize)]
struct Switch {
    on: bool,
}

/// Serves the engine until its listener fails.
///
/// # Errors
/// Returns the error of the operating system.
pub async fn run(settings: Settings, listener: TcpListener) -> io::Result<()> {
    let connections = Arc::new(Connections::default());
    let engine = Arc::new(Engine::new(settings, Arc::clone(&connections)));
    let handler = Arc::clone(&engine);
    let handle = move |call| {
        let engine = Arc::clone(&handler);
        async move { respond(&engine, call).await }
    };
    tokio::select! {
        served = server::run(connections, listener, handle) => served,
        () = refresh(&engine) => Ok(()),
    }
}

async fn refresh(engine: &Engine) {
    let mut interval = tokio::time::interval(engine.settings().report_interval);
    loop {
        interval.tick().await;
        engine.refresh();
    }
}

async fn respond(engine: &Arc<Engine>, call: Call) -> Reply {
    let (parts, body) = call.request.into_parts();
    let bytes = reply::read_body(body).await?;
    let segments: Vec<&str> = parts.uri.path().trim_matches('/').split('/').collect();
    match (&parts.method, segments.as_slice()) {
        (&Method::POST, ["v1", "completions"]) => complete(engine, &parts, &bytes).await,
        (&Method::DELETE, ["v1", "completions", attempt]) => {
            let is_known = engine.cancel(attempt);
            Ok(reply::empty(if is_known { StatusCode::OK } else { StatusCode::NOT_FOUND }))
        }
        (&Method::GET, ["load"]) => Ok(reply::json(StatusCode::OK, &engine.load())),
        (&Method::POST, ["orders"]) => Ok(apply_order(engine, &bytes)),
        (_, ["control", name]) => Ok(control(engine, name, &bytes)),
        _ => Ok(reply::empty(StatusCode::NOT_FOUND)),
    }
}

fn apply_order(engine: &Engine, bytes: &[u8]) -> Answer {
    match reply::parse::<Order>(bytes) {
        Ok(order) => match engine.apply_order(order) {
            Ok(()) => reply::json(StatusCode::OK, &json!({})),
            Err(highest) => reply::json(StatusCode::CONFLICT, &json!({ "highest": highest })),
        },
        Err(answer) => answer,
    }
}

fn control(engine: &Engine, name: &str, bytes: &[u8]) -> Answer {
    match name {
        "journal" => return reply::json(StatusCode::OK, &engine.report()),
        "cold" => engine.set_cold(),
        "warm" => engine.set_warm(),
        "crash" => engine.crash(),
        "silent" | "refuse_resume" => match reply::parse::<Switch>(bytes) {
            Ok(switch) if name == "silent" => engine.stall(switch.on),
            Ok(switch) => engine.refuse_resume(switch.on),
            Err(answer) => return answer,
        },
        _ => return reply::empty(StatusCode::NOT_FOUND),
    }
    reply::json(StatusCode::OK, &json!({}))
}

async fn complete(engine: &Arc<Engine>, parts: &http::request::Parts, bytes: &[u8]) -> Reply {
    let completion: Completion = match reply::parse(bytes) {
        Ok(completion) => completion,
        Err(answer) => return Ok(answer),
    };
    let resume = reply::header(&parts.headers, "x-resume-from");
    let from = resume.as_deref().and_then(|index| index.parse().ok());
    let admitted = engine.admit(&parts.headers, bytes, from.is_some());
    let guard = match admitted {
        Ok(guard) => guard,
        Err(Refusal::NoResume) => return Ok(reply::empty(StatusCode::CONFLICT)),
        Err(Refusal::Crash) => return Err(Abort),
    };
    let mut generation = Generation::new(guard, &completion, from.unwrap_or_default());
    generation.start().await?;
    let mut answer = if completion.stream {
        stream(generation, engine.settings().event_bytes)
    } else {
        collect(generation).await?
    };
    if let Some(attempt) = parts.headers.get("x-attempt-id") {
        answer.headers_mut().insert("x-attempt-id", attempt.clone());
    }
    Ok(answer)
}

async fn collect(mut generation: Generation) -> Reply {
    let mut text = String::new();
    while let Some(token) = generation.next().await? {
        text.push_str(&token.text);
    }
    Ok(reply::json(StatusCode::OK, &json!({ "text": text })))
}

fn stream(generation: Generation, event_bytes: u32) -> Answer {
    let padding = "x".repeat(event_bytes as usize);
    let events = stream::unfold(Some((generation, padding)), |state| async move {
        let (mut generation, padding) = state?;
        match generation.next().await {
            Ok(Some(token)) => {
                let mut event = json!({ "index": token.index, "text": token.text });
                if !padding.is_empty() {
                    event["padding"] = json!(padding);
                }
                Some((Ok(frame(format!("data: {event}\n\n"))), Some((generation, padding))))
            }
            Ok(None) => Some((Ok(frame("data: [DONE]\n\n".to_owned())), None)),
            Err(abort) => Some((Err(abort), None)),
        }
    });
    let body: Body = StreamBody::new(events).boxed_unsync();
    let mut answer = Answer::new(body);
    let content_type = HeaderValue::from_static("text/event-stream");
    answer.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    answer
}

fn frame(text: String) -> Frame<Bytes> {
    Frame::data(Bytes::from(text))
}
