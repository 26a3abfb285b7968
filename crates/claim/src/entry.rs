//! Entries of the claim stream and their text form.
//!
//! One record of the log is a JSON array of entries, each an object with one field that names its kind:
//!
//! | Kind | Fields |
//! | --- | --- |
//! | `c` claim | `i` claim id, `q` request, `r` router, `d` digest of the content |
//! | `r` release | `i` claim id |
//! | `o` outcome | `i` claim id, `a` status, `h` content type, and the body as `b` text, `x` hexadecimal digits, or `l` true if too large |
//!
//! Each entry also has its scope: `w` workspace, `s` service, `k` key.

use base::Name;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::Answer;
use crate::Digest;
use crate::Scope;

/// One entry of the claim stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A router wants to run a call.
    #[serde(rename = "c")]
    Claim(Claim),
    /// The call of a claim has not run for sure, and its router won't run it.
    #[serde(rename = "r")]
    Release(Release),
    /// The call of a claim has run.
    #[serde(rename = "o")]
    Outcome(Outcome),
}

/// The claim of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key that is claimed.
    #[serde(flatten)]
    pub scope: Scope,
    /// A random id of this claim.
    #[serde(rename = "i")]
    pub id: Uuid,
    /// The request that wants to run.
    #[serde(rename = "q")]
    pub request: Uuid,
    /// The claiming router.
    #[serde(rename = "r")]
    pub router: Name,
    /// The digest of the content.
    #[serde(rename = "d")]
    pub digest: Digest,
}

/// The release of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The key that was claimed.
    #[serde(flatten)]
    pub scope: Scope,
    /// The released claim.
    #[serde(rename = "i")]
    pub id: Uuid,
}

/// The outcome of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The key that was claimed.
    #[serde(flatten)]
    pub scope: Scope,
    /// The claim that ran.
    #[serde(rename = "i")]
    pub id: Uuid,
    /// The HTTP status.
    #[serde(rename = "a")]
    pub status: u16,
    /// The content type.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub content_type: Option<String>,
    /// The body, if it is text.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// The body in hexadecimal digits, if it is not text.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub hex: Option<String>,
    /// Whether the body was too large to be recorded.
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    pub too_large: bool,
}

impl Entry {
    /// Returns the key concerned.
    #[must_use]
    pub const fn scope(&self) -> &Scope {
        match self {
            Self::Claim(claim) => &claim.scope,
            Self::Release(release) => &release.scope,
            Self::Outcome(outcome) => &outcome.scope,
        }
    }

    /// Returns the claim concerned.
    #[must_use]
    pub const fn id(&self) -> Uuid {
        match self {
            Self::Claim(claim) => claim.id,
            Self::Release(release) => release.id,
            Self::Outcome(outcome) => outcome.id,
        }
    }
}

impl Outcome {
    /// Creates an outcome that holds the body if it isn't larger than `limit`.
    #[must_use]
    pub fn new(scope: Scope, id: Uuid, answer: Answer, limit: usize) -> Self {
        let Answer { status, content_type, body } = answer;
        let too_large = body.len() > limit;
        let mut outcome =
            Self { scope, id, status, content_type, text: None, hex: None, too_large };
        if too_large {
            return outcome;
        }
        match String::from_utf8(body) {
            Ok(text) if !text.contains(is_long_in_json) => outcome.text = Some(text),
            Ok(text) => outcome.hex = Some(hex::encode(text)),
            Err(error) => outcome.hex = Some(hex::encode(error.as_bytes())),
        }
        outcome
    }

    /// Returns the recorded answer, unless it was too large.
    #[must_use]
    pub fn answer(&self) -> Option<Answer> {
        if self.too_large {
            return None;
        }
        let body = match (&self.text, &self.hex) {
            (Some(text), _) => text.clone().into_bytes(),
            (None, Some(digits)) => hex::decode(digits).ok()?,
            (None, None) => Vec::new(),
        };
        Some(Answer { status: self.status, content_type: self.content_type.clone(), body })
    }
}

/// Returns the text of a record that holds these entries.
#[must_use]
pub fn encode(entries: &[Entry]) -> String {
    serde_json::to_string(entries).expect("entries have only plain fields")
}

/// Returns the entries of a record, or nothing if it is not of the known form.
#[must_use]
pub fn decode(body: &str) -> Option<Vec<Entry>> {
    serde_json::from_str(body).ok()
}

/// Returns whether JSON writes a character as six.
fn is_long_in_json(character: char) -> bool {
    character.is_ascii_control() && !matches!(character, '\n' | '\r' | '\t')
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde asks for a reference")]
const fn is_false(value: &bool) -> bool {
    !*value
}
