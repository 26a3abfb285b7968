//! Requests to runners.

use base::Attempt;
use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::Full;

use crate::call::Call;
use crate::permit::Permit;
use crate::runner::ATTEMPT_HEADER;
use crate::runner::attempt_value;

/// Header with the identifier of the request.
const REQUEST_HEADER: &str = "x-request-id";
/// Header with the workspace.
const WORKSPACE_HEADER: &str = "x-workspace";
/// Header with the idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Header with the index of the first event that is requested.
const RESUME_HEADER: &str = "x-resume-from";

/// Builds the request of one attempt; a non-zero `resume_from` resumes a stream at that event.
pub(super) fn build(call: &Call, permit: &Permit, resume_from: u64) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(HOST, permit.address().to_string())
        .header(REQUEST_HEADER, call.request.to_string())
        .header(ATTEMPT_HEADER, attempt_value(permit.attempt()))
        .header(WORKSPACE_HEADER, header_text(call.caller.workspace.as_str()));
    if let Some(content_type) = &call.content_type {
        builder = builder.header(CONTENT_TYPE, content_type);
    }
    if let Some(key) = call.key {
        builder = builder.header(KEY_HEADER, key.to_string());
    }
    if resume_from > 0 {
        builder = builder.header(RESUME_HEADER, resume_from);
    }
    builder
        .body(Full::new(call.body.clone()))
        .expect("method, path and headers are valid because they were parsed before")
}

/// Returns the attempt whose identifier the runner must repeat in its answer.
pub(super) const fn attempt_of(permit: &Permit) -> Attempt {
    permit.attempt()
}

fn header_text(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static("unprintable"))
}
