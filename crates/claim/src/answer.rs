//! The recorded answer to a call.

/// Media type of problem details.
const PROBLEM_TYPE: &str = "application/problem+json";
/// Status of the answer to a repeat whose first answer was not kept: gone.
const NOT_KEPT_STATUS: u16 = 410;

/// The answer to a finished call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if there was one.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Creates the problem that a repeat gets if the call ran with this status and its answer was not kept.
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
