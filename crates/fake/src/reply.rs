//! Helpers that build answers and read requests.

use std::error::Error;
use std::fmt;
use std::str::FromStr;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The maximum length of a request body in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 20;

/// The body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Abort>;
/// An answer.
pub type Answer = Response<Body>;
/// An answer, or [`Abort`] to close the connection without one.
pub type Reply = Result<Answer, Abort>;

/// The error that makes the server close the connection without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Abort;

impl fmt::Display for Abort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed on purpose")
    }
}

impl Error for Abort {}

/// Creates a body from its complete bytes.
#[must_use]
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Creates an answer with a JSON body.
#[must_use]
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(full_body(Bytes::from(text)));
    *answer.status_mut() = status;
    let content_type = http::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    answer
}

/// Creates an answer without a body.
#[must_use]
pub fn empty(status: StatusCode) -> Answer {
    let mut answer = Response::new(full_body(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// Reads a body completely, up to [`MAX_BODY_BYTES`].
///
/// # Errors
/// Returns [`Abort`] if the body is longer or cannot be read.
pub async fn read_body(body: Incoming) -> Result<Bytes, Abort> {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|_| Abort)?;
    Ok(collected.to_bytes())
}

/// Parses a JSON body, where an empty body stands for an empty object; the error is the answer to send.
///
/// # Errors
/// Returns an answer with status 400 if the body does not match the type.
#[expect(clippy::result_large_err, reason = "the error is the answer itself")]
pub fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Answer> {
    let bytes = if bytes.is_empty() { b"{}" } else { bytes };
    serde_json::from_slice(bytes).map_err(|error| {
        json(StatusCode::BAD_REQUEST, &serde_json::json!({ "detail": error.to_string() }))
    })
}

/// Returns a parameter of the query, if it is present and well-formed.
#[must_use]
pub fn query<T: FromStr>(uri: &Uri, name: &str) -> Option<T> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    values.next().and_then(|(_, value)| value.parse().ok())
}

/// Returns the text of a header, if it is present and visible ASCII.
#[must_use]
pub fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

/// Returns the time in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
