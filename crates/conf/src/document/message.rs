//! Parsing of error messages of serde, which reports the cause of an error only as text.

/// Maximum edit distance at which a word is suggested.
const MAX_EDIT_DISTANCE: usize = 3;

/// The cause of a decoding error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Cause {
    /// An object has an unknown field.
    Unknown {
        /// The name of the field.
        field: String,
        /// The allowed names.
        allowed: String,
        /// The allowed name that is nearest to the found one, if any is near.
        nearest: Option<String>,
    },
    /// An object lacks a field.
    Missing {
        /// The name of the field.
        field: String,
    },
    /// A value has the wrong type or is out of range.
    Value {
        /// A description of the allowed values.
        allowed: String,
        /// The allowed word that is nearest to the found one, if any is near.
        nearest: Option<String>,
    },
}

/// Parses the cause from a message of serde.
pub(crate) fn cause(message: &str) -> Cause {
    if let Some(field) = message.strip_prefix("missing field ") {
        return Cause::Missing { field: field.trim_matches('`').to_owned() };
    }
    let (start, allowed) = message.rsplit_once("expected ").unwrap_or(("", message));
    if let Some(field) = between_backquotes(start, "unknown field ") {
        let nearest = nearest(field, &quoted(allowed));
        return Cause::Unknown { field: field.to_owned(), allowed: join_quoted(allowed), nearest };
    }
    if let Some(variant) = between_backquotes(start, "unknown variant ") {
        let nearest = nearest(variant, &quoted(allowed));
        return Cause::Value { allowed: join_quoted(allowed), nearest };
    }
    Cause::Value { allowed: describe(allowed), nearest: None }
}

/// Returns the reason why a text is not valid JSON, without the position.
pub(crate) fn reason(error: &serde_json::Error) -> String {
    let text = error.to_string();
    text.split(" at line ").next().unwrap_or_default().to_owned()
}

/// Returns the word nearest to the found one, if one is within the maximum edit distance.
pub(crate) fn nearest<T: AsRef<str>>(found: &str, words: &[T]) -> Option<String> {
    let distances =
        words.iter().map(|word| (strsim::damerau_levenshtein(found, word.as_ref()), word));
    let (distance, word) = distances.min_by_key(|(distance, _)| *distance)?;
    let near = distance <= MAX_EDIT_DISTANCE && distance < word.as_ref().len();
    near.then(|| word.as_ref().to_owned())
}

/// Returns the name between backquotes, which may itself contain backquotes.
fn between_backquotes<'a>(start: &'a str, kind: &str) -> Option<&'a str> {
    start.strip_prefix(kind)?.strip_prefix('`')?.strip_suffix("`, ")
}

fn join_quoted(allowed: &str) -> String {
    quoted(allowed).iter().map(|word| format!("`{word}`")).collect::<Vec<_>>().join(", ")
}

fn quoted(text: &str) -> Vec<String> {
    text.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

fn describe(allowed: &str) -> String {
    match allowed {
        _ if allowed.starts_with("struct ") => "an object".to_owned(),
        "a sequence" => "a list".to_owned(),
        "a boolean" => "`true` or `false`".to_owned(),
        _ => allowed.to_owned(),
    }
}
