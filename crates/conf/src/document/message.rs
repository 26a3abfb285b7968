//! Meaning of the messages of serde, which gives only sentences.

/// Largest edit distance at which a word counts as near.
const NEAR_DISTANCE: usize = 3;

/// Why a value was not decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Cause {
    /// An object has a field that it must not have.
    Unknown {
        /// The name of the field.
        field: String,
        /// The names that are allowed.
        allowed: String,
        /// The nearest of them.
        nearest: Option<String>,
    },
    /// An object lacks a field.
    Missing {
        /// The name of the field.
        field: String,
    },
    /// A value is of the wrong type or out of range.
    Value {
        /// What is allowed.
        allowed: String,
        /// The nearest allowed word.
        nearest: Option<String>,
    },
}

/// Reads the cause from a message.
pub(crate) fn cause(message: &str) -> Cause {
    if let Some(field) = message.strip_prefix("missing field ") {
        return Cause::Missing { field: field.trim_matches('`').to_owned() };
    }
    let (start, allowed) = message.rsplit_once("expected ").unwrap_or(("", message));
    if let Some(field) = named(start, "unknown field ") {
        let nearest = nearest(field, &quoted(allowed));
        return Cause::Unknown { field: field.to_owned(), allowed: listed(allowed), nearest };
    }
    if let Some(variant) = named(start, "unknown variant ") {
        let nearest = nearest(variant, &quoted(allowed));
        return Cause::Value { allowed: listed(allowed), nearest };
    }
    Cause::Value { allowed: plain(allowed), nearest: None }
}

/// Returns why a text is no JSON, without the position.
pub(crate) fn reason(error: &serde_json::Error) -> String {
    let text = error.to_string();
    text.split(" at line ").next().unwrap_or_default().to_owned()
}

/// Returns the word nearest to the found one, if any is near.
pub(crate) fn nearest<T: AsRef<str>>(found: &str, words: &[T]) -> Option<String> {
    let distances =
        words.iter().map(|word| (strsim::damerau_levenshtein(found, word.as_ref()), word));
    let (distance, word) = distances.min_by_key(|(distance, _)| *distance)?;
    let near = distance <= NEAR_DISTANCE && distance < word.as_ref().len();
    near.then(|| word.as_ref().to_owned())
}

/// Returns the name between backquotes, which may hold backquotes itself.
fn named<'a>(start: &'a str, kind: &str) -> Option<&'a str> {
    start.strip_prefix(kind)?.strip_prefix('`')?.strip_suffix("`, ")
}

fn listed(allowed: &str) -> String {
    quoted(allowed).iter().map(|word| format!("`{word}`")).collect::<Vec<_>>().join(", ")
}

fn quoted(text: &str) -> Vec<String> {
    text.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

fn plain(allowed: &str) -> String {
    match allowed {
        _ if allowed.starts_with("struct ") => "an object".to_owned(),
        "a sequence" => "a list".to_owned(),
        "a boolean" => "`true` or `false`".to_owned(),
        _ => allowed.to_owned(),
    }
}
