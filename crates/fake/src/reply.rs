//! Building answers and reading requests.

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

/// The most bytes of a request body that are read.
pub const BODY_LIMIT: usize = 16 << 20;

/// The body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Abort>;
/// An answer.
pub type Answer = Response<Body>;
/// An answer, or the order to close the connection without one.
pub type Reply = Result<Answer, Abort>;

/// The connection is to be closed without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Abort;

impl fmt::Display for Abort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection is closed on purpose")
    }
}

impl Error for Abort {}

/// Creates a body that is known as a whole.
#[must_use]
pub fn whole(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Creates an answer with a JSON body.
#[must_use]
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(whole(Bytes::from(text)));
    *answer.status_mut() = status;
    let content_type = http::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    answer
}

/// Creates an answer without a body.
#[must_use]
pub fn empty(status: StatusCode) -> Answer {
    let mut answer = Response::new(whole(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// Reads a body as a whole; a larger one than [`BODY_LIMIT`] or a broken one is an error.
///
/// # Errors
/// Returns [`Abort`] when the body can't be read.
pub async fn read(body: Incoming) -> Result<Bytes, Abort> {
    let collected = Limited::new(body, BODY_LIMIT).collect().await.map_err(|_| Abort)?;
    Ok(collected.to_bytes())
}

/// Parses a JSON body; the error is the answer to give.
///
/// # Errors
/// Returns an answer with status 400 when the body isn't of the wanted shape.
#[expect(clippy::result_large_err, reason = "the error is the answer itself")]
pub fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Answer> {
    let bytes = if bytes.is_empty() { b"{}" } else { bytes };
    serde_json::from_slice(bytes).map_err(|error| {
        json(StatusCode::BAD_REQUEST, &serde_json::json!({ "detail": error.to_string() }))
    })
}

/// Returns a parameter of the query, if it is there and well-formed.
#[must_use]
pub fn query<T: FromStr>(uri: &Uri, name: &str) -> Option<T> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    found.next().and_then(|(_, value)| value.parse().ok())
}

/// Returns the text of a header, if it is there.
#[must_use]
pub fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

/// Returns the milliseconds since the Unix epoch.
#[must_use]
pub fn wall_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
