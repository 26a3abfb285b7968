//! Entries of the claim stream and their encoding as text.
//!
//! A record of the log is a JSON array of entries. Each entry is an object with a single field, named after its kind:
//!
//! | Kind | Fields |
//! | --- | --- |
//! | `c` claim | `i` claim id, `q` request, `r` router, `d` digest of the content |
//! | `r` release | `i` claim id |
//! | `o` outcome | `i` claim id, `a` status, `h` content type, and the body as `b` text or `x` hexadecimal digits, or `l` true if it is too large |
//!
//! Each entry also contains its scope: `w` workspace, `s` service, `k` key.

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
    /// A router claims the right to run a call.
    #[serde(rename = "c")]
    Claim(Claim),
    /// The call of a claim has definitely not run, and its router won't run it.
    #[serde(rename = "r")]
    Release(Release),
    /// The call of a claim has run.
    #[serde(rename = "o")]
    Outcome(Outcome),
}

/// The claim of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The claimed key.
    #[serde(flatten)]
    pub scope: Scope,
    /// The random identifier of this claim.
    #[serde(rename = "i")]
    pub id: Uuid,
    /// The request for which the key is claimed.
    #[serde(rename = "q")]
    pub request: Uuid,
    /// The router that claims the key.
    #[serde(rename = "r")]
    pub router: Name,
    /// The digest of the content of the call.
    #[serde(rename = "d")]
    pub digest: Digest,
}

/// The release of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The claimed key.
    #[serde(flatten)]
    pub scope: Scope,
    /// The identifier of the released claim.
    #[serde(rename = "i")]
    pub id: Uuid,
}

/// The outcome of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The claimed key.
    #[serde(flatten)]
    pub scope: Scope,
    /// The identifier of the claim whose call ran.
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
    /// Returns the key that the entry concerns.
    #[must_use]
    pub const fn scope(&self) -> &Scope {
        match self {
            Self::Claim(claim) => &claim.scope,
            Self::Release(release) => &release.scope,
            Self::Outcome(outcome) => &outcome.scope,
        }
    }

    /// Returns the identifier of the claim that the entry concerns.
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
    /// Creates an outcome, which includes the body if it has at most `limit` bytes.
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
            Ok(text) if !text.contains(needs_unicode_escape) => outcome.text = Some(text),
            Ok(text) => outcome.hex = Some(hex::encode(text)),
            Err(error) => outcome.hex = Some(hex::encode(error.as_bytes())),
        }
        outcome
    }

    /// Returns the recorded answer, or `None` if it was too large or can't be decoded.
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

/// Encodes entries as the text of one record.
#[must_use]
pub fn encode(entries: &[Entry]) -> String {
    serde_json::to_string(entries).expect("an entry can always be encoded as JSON")
}

/// Decodes the entries of a record, or returns `None` if its format is unknown.
#[must_use]
pub fn decode(body: &str) -> Option<Vec<Entry>> {
    serde_json::from_str(body).ok()
}

/// Returns whether JSON escapes a character as six characters (`\u0000`).
fn needs_unicode_escape(character: char) -> bool {
    character.is_ascii_control() && !matches!(character, '\n' | '\r' | '\t')
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde asks for a reference")]
const fn is_false(value: &bool) -> bool {
    !*value
}
