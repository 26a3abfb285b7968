//! Decoding of a file that continues after a fault, so that all faults are reported at once.
//!
//! A faulty or missing field is replaced by a valid placeholder, and the file is then decoded again.

mod message;
mod strip;

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Path;
use serde_path_to_error::Segment;

use self::message::Cause;
use crate::Fault;
use crate::scan;
use crate::scan::Locations;

pub(crate) use self::message::nearest;

/// Maximum number of faults reported for one file.
const MAX_FAULTS: usize = 64;
/// Maximum number of characters shown of a found value.
const MAX_SHOWN_CHARS: usize = 60;

/// A field that has a valid shape but an invalid meaning.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Problem {
    pointer: String,
    allowed: String,
    nearest: Option<String>,
}

impl Problem {
    /// Creates a problem for the field at a JSON pointer.
    pub(crate) fn new(pointer: &str, allowed: &str) -> Self {
        Self { pointer: pointer.to_owned(), allowed: allowed.to_owned(), nearest: None }
    }

    /// Sets the allowed word that is nearest to the found one.
    pub(crate) fn nearest(mut self, nearest: Option<&str>) -> Self {
        self.nearest = nearest.map(str::to_owned);
        self
    }
}

/// A file with its fields and their locations.
#[derive(Debug)]
pub(crate) struct Document {
    text: String,
    value: Value,
    locations: Locations,
}

impl Document {
    /// Decodes a text, then checks its meaning if its shape is valid.
    pub(crate) fn parse<T: DeserializeOwned>(
        text: &str,
        placeholders: &str,
        check: impl FnOnce(&T) -> Vec<Problem>,
    ) -> Result<T, Vec<Fault>> {
        let document = Self::read(text).map_err(|fault| vec![fault])?;
        let decoded = document.decode::<T>(placeholders).map_err(sorted_by_position)?;
        let faults: Vec<Fault> =
            check(&decoded).into_iter().map(|problem| document.problem_fault(problem)).collect();
        if faults.is_empty() { Ok(decoded) } else { Err(sorted_by_position(faults)) }
    }

    fn read(text: &str) -> Result<Self, Fault> {
        let stripped = strip::comments(text)
            .map_err(|error| syntax_fault(text, error.offset, error.allowed))?;
        let mut source = serde_json::Deserializer::from_str(&stripped);
        let value = serde_path_to_error::deserialize::<_, Value>(&mut source)
            .map_err(|error| json_fault(text, display_path(error.path()), &error.into_inner()))?;
        source.end().map_err(|error| json_fault(text, String::new(), &error))?;
        Ok(Self { text: text.to_owned(), value, locations: scan::locations(&stripped) })
    }

    fn decode<T: DeserializeOwned>(&self, placeholders: &str) -> Result<T, Vec<Fault>> {
        let placeholders: Value =
            serde_json::from_str(placeholders).expect("the file of placeholders is JSON");
        let mut faults = self.duplicate_keys();
        let mut value = self.value.clone();
        self.replace_lists(&mut value, &placeholders, &mut faults);
        loop {
            let error = match serde_path_to_error::deserialize::<_, T>(value.clone()) {
                Ok(decoded) if faults.is_empty() => return Ok(decoded),
                Ok(_) => return Err(faults),
                Err(error) => error,
            };
            let pointer = pointer_of(error.path());
            let cause = message::cause(&error.into_inner().to_string());
            let replaced = replace_faulty_field(&mut value, &placeholders, &pointer, &cause);
            faults.push(self.fault(&pointer, cause));
            if !replaced || faults.len() >= MAX_FAULTS {
                return Err(faults);
            }
        }
    }

    /// Replaces each list where an object is expected, since serde would decode its elements as the fields in order.
    fn replace_lists(&self, value: &mut Value, placeholders: &Value, faults: &mut Vec<Fault>) {
        for pointer in self.locations.by_pointer.keys() {
            let valid = placeholders
                .pointer(&placeholder_pointer(pointer))
                .filter(|valid| valid.is_object());
            let (Some(valid), Some(field)) = (valid, value.pointer_mut(pointer)) else { continue };
            if field.is_array() {
                *field = valid.clone();
                let cause = Cause::Value { allowed: "an object".to_owned(), nearest: None };
                faults.push(self.fault(pointer, cause));
            }
        }
    }

    fn duplicate_keys(&self) -> Vec<Fault> {
        let faults = self.locations.duplicates.iter().map(|duplicate| Fault {
            found: "a second field of this name".to_owned(),
            allowed: "one field of each name".to_owned(),
            ..self.fault_at(duplicate.offset, &duplicate.pointer)
        });
        faults.collect()
    }

    fn fault(&self, pointer: &str, cause: Cause) -> Fault {
        match cause {
            Cause::Unknown { field, allowed, nearest } => {
                let pointer = with_field(pointer, &field);
                let found = format!("unknown field `{field}`");
                Fault {
                    found,
                    allowed,
                    nearest,
                    ..self.fault_at(self.key_offset(&pointer), &pointer)
                }
            }
            Cause::Missing { field } => {
                let pointer = without_field(pointer, &field);
                let found = format!("no field `{field}`");
                let allowed = format!("an object that has `{field}`");
                Fault { found, allowed, ..self.fault_at(self.value_offset(&pointer), &pointer) }
            }
            Cause::Value { allowed, nearest } => {
                let found = self.describe_found(pointer);
                Fault {
                    found,
                    allowed,
                    nearest,
                    ..self.fault_at(self.value_offset(pointer), pointer)
                }
            }
        }
    }

    fn problem_fault(&self, problem: Problem) -> Fault {
        let Problem { pointer, allowed, nearest } = problem;
        let found = self.describe_found(&pointer);
        Fault { found, allowed, nearest, ..self.fault_at(self.value_offset(&pointer), &pointer) }
    }

    fn fault_at(&self, offset: usize, pointer: &str) -> Fault {
        let (line, column) = strip::position(&self.text, offset);
        let path = self.display_path(pointer);
        Fault { line, column, path, found: String::new(), allowed: String::new(), nearest: None }
    }

    fn key_offset(&self, pointer: &str) -> usize {
        self.locations.by_pointer.get(pointer).map_or(0, |location| location.key)
    }

    fn value_offset(&self, pointer: &str) -> usize {
        let known =
            |pointer: &str| self.locations.by_pointer.get(pointer).map(|location| location.value);
        let mut pointer = pointer;
        loop {
            if let Some(offset) = known(pointer) {
                return offset;
            }
            let Some(end) = pointer.rfind('/') else { return 0 };
            pointer = &pointer[..end];
        }
    }

    fn describe_found(&self, pointer: &str) -> String {
        let Some(value) = self.value.pointer(pointer) else { return "nothing".to_owned() };
        match value {
            Value::Object(_) => "an object".to_owned(),
            Value::Array(entries) if entries.is_empty() => "an empty list".to_owned(),
            Value::Array(_) => "a list".to_owned(),
            scalar => truncated(&scalar.to_string()),
        }
    }

    /// Formats a JSON pointer as a path such as `services[0].name`.
    fn display_path(&self, pointer: &str) -> String {
        let mut path = String::new();
        let mut parent = String::new();
        for part in pointer.split('/').skip(1) {
            if self.value.pointer(&parent).is_some_and(Value::is_array) {
                path.push_str(&format!("[{part}]"));
            } else {
                let dot = if path.is_empty() { "" } else { "." };
                path.push_str(dot);
                path.push_str(&part.replace("~1", "/").replace("~0", "~"));
            }
            parent = format!("{parent}/{part}");
        }
        path
    }
}

/// Replaces a faulty field with its placeholder, or removes an unknown one, and returns whether the value changed.
fn replace_faulty_field(
    value: &mut Value,
    placeholders: &Value,
    pointer: &str,
    cause: &Cause,
) -> bool {
    match cause {
        Cause::Unknown { field, .. } => {
            let parent = parent_of(&with_field(pointer, field));
            let object = value.pointer_mut(&parent).and_then(Value::as_object_mut);
            object.is_some_and(|object| object.remove(field).is_some())
        }
        Cause::Missing { field } => {
            let parent = without_field(pointer, field);
            let valid = placeholders.pointer(&placeholder_pointer(&scan::child(&parent, field)));
            let object = value.pointer_mut(&parent).and_then(Value::as_object_mut);
            match (object, valid) {
                (Some(object), Some(valid)) => {
                    object.insert(field.clone(), valid.clone()).is_none()
                }
                _ => false,
            }
        }
        Cause::Value { .. } => {
            let valid = placeholders.pointer(&placeholder_pointer(pointer));
            match (value.pointer_mut(pointer), valid) {
                (Some(field), Some(valid)) if field != valid => {
                    *field = valid.clone();
                    true
                }
                _ => false,
            }
        }
    }
}

fn sorted_by_position(mut faults: Vec<Fault>) -> Vec<Fault> {
    faults.sort_by_key(|fault| (fault.line, fault.column));
    faults
}

fn json_fault(text: &str, path: String, error: &serde_json::Error) -> Fault {
    let offset = match error.is_eof() {
        true => text.len(),
        false => strip::offset(text, error.line(), error.column()),
    };
    Fault { path, ..syntax_fault(text, offset, &format!("JSON ({})", message::reason(error))) }
}

fn syntax_fault(text: &str, offset: usize, allowed: &str) -> Fault {
    let (line, column) = strip::position(text, offset);
    let found = match text.get(offset..).and_then(|rest| rest.chars().next()) {
        Some(character) => format!("{character:?}"),
        None => "the end of the file".to_owned(),
    };
    Fault { line, column, path: String::new(), found, allowed: allowed.to_owned(), nearest: None }
}

fn truncated(text: &str) -> String {
    if text.chars().count() <= MAX_SHOWN_CHARS {
        return text.to_owned();
    }
    let start: String = text.chars().take(MAX_SHOWN_CHARS).collect();
    format!("{start}...")
}

fn pointer_of(path: &Path) -> String {
    let mut pointer = String::new();
    for segment in path {
        match segment {
            Segment::Seq { index } => pointer = scan::child(&pointer, &index.to_string()),
            Segment::Map { key } => pointer = scan::child(&pointer, key),
            Segment::Enum { .. } | Segment::Unknown => {}
        }
    }
    pointer
}

/// Formats the path of a syntax error, without segments that are not yet known.
fn display_path(path: &Path) -> String {
    let mut text = String::new();
    for segment in path {
        match segment {
            Segment::Seq { index } => text.push_str(&format!("[{index}]")),
            Segment::Map { key } => {
                text.push_str(if text.is_empty() { "" } else { "." });
                text.push_str(key);
            }
            Segment::Enum { .. } | Segment::Unknown => {}
        }
    }
    text
}

/// Returns the pointer of the placeholder of a field: every index is 0, since lists of placeholders have one element.
fn placeholder_pointer(pointer: &str) -> String {
    let parts = pointer.split('/').map(|part| {
        let is_index = !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_digit());
        if is_index { "0" } else { part }
    });
    parts.collect::<Vec<_>>().join("/")
}

fn parent_of(pointer: &str) -> String {
    pointer.rfind('/').map_or_else(String::new, |end| pointer[..end].to_owned())
}

fn with_field(pointer: &str, field: &str) -> String {
    let last = scan::child("", field);
    if pointer.ends_with(&last) { pointer.to_owned() } else { format!("{pointer}{last}") }
}

fn without_field(pointer: &str, field: &str) -> String {
    let last = scan::child("", field);
    pointer.strip_suffix(&last).unwrap_or(pointer).to_owned()
}
