//! The recorded answer to a call.

/// Media type of a problem document.
const PROBLEM_TYPE: &str = "application/problem+json";
/// Status of the answer to a repeated call whose first answer was not kept: 410 Gone.
const NOT_KEPT_STATUS: u16 = 410;

/// The answer to a call that has run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if the answer had one.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Creates the problem document for a repeated call that ran with `status` and whose answer was not kept.
    #[must_use]
    pub fn not_kept(status: u16) -> Self {
        let problem = serde_json::json!({
            "type": "about:blank",
            "title": "Gone",
            "status": NOT_KEPT_STATUS,
            "detail": format!("the call ran and got status {status}, its answer was not kept"),
            "verdict": base::Verdict::Ran,
        });
        Self {
            status: NOT_KEPT_STATUS,
            content_type: Some(PROBLEM_TYPE.to_owned()),
            body: problem.to_string().into_bytes(),
        }
    }
}
