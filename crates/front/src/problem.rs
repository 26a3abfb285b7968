//! Error answers to callers: problem details (RFC 9457) with a verdict and a retry hint.

use std::io;
use std::time::Duration;

use base::RequestId;
use base::Verdict;
use bytes::Bytes;
use gotham::helpers::http::Body;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http_body_util::BodyExt;
use http_body_util::Full;
use serde::Serialize;

/// Media type of problem details.
const MEDIA_TYPE: &str = "application/problem+json";

/// The final answer to a call that failed or was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    status: StatusCode,
    verdict: Verdict,
    detail: String,
    retry_after: Option<Duration>,
    request: Option<RequestId>,
}

/// The JSON document of a problem.
#[derive(Serialize)]
struct Document<'a> {
    #[serde(rename = "type")]
    kind: &'static str,
    title: &'a str,
    status: u16,
    detail: &'a str,
    verdict: Verdict,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
}

impl Problem {
    /// Creates a problem.
    pub fn new(status: StatusCode, verdict: Verdict, detail: impl Into<String>) -> Self {
        Self { status, verdict, detail: detail.into(), retry_after: None, request: None }
    }

    /// Creates a problem of a request that was rejected before it ran, with the verdict not-run.
    pub fn rejected(status: StatusCode, detail: impl Into<String>) -> Self {
        Self::new(status, Verdict::NotRun, detail)
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub const fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Sets the identifier of the request.
    #[must_use]
    pub const fn request(mut self, request: RequestId) -> Self {
        self.request = Some(request);
        self
    }

    /// Raises the verdict to at least `verdict`, that of an earlier attempt.
    #[must_use]
    pub fn at_least(mut self, verdict: Verdict) -> Self {
        self.verdict = self.verdict.combine(verdict);
        self
    }

    /// Returns the verdict.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns the status code.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the detail text.
    #[must_use]
    pub fn detail(&self) -> &str {
        &self.detail
    }

    /// Returns the JSON text.
    #[must_use]
    pub fn json(&self) -> String {
        let document = Document {
            kind: "about:blank",
            title: self.status.canonical_reason().unwrap_or("Error"),
            status: self.status.as_u16(),
            detail: &self.detail,
            verdict: self.verdict,
            retry_after_ms: self
                .retry_after
                .map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX)),
            request: self.request.map(|request| request.to_string()),
        };
        serde_json::to_string(&document).expect("a problem serialises to JSON")
    }

    /// Returns the HTTP response.
    #[must_use]
    pub fn response(&self) -> Response<Body> {
        let mut response = Response::new(full(self.json()));
        *response.status_mut() = self.status;
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(MEDIA_TYPE));
        if let Some(after) = self.retry_after {
            let seconds = after.as_millis().div_ceil(1000).max(1);
            response
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(u64::try_from(seconds).unwrap_or(1)));
        }
        response
    }
}

/// Returns a body of known, complete content.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| -> io::Error { match never {} }).boxed_unsync()
}

/// Returns a JSON response.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("answers serialise to JSON");
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
