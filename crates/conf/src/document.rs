//! Decoding of a file that goes on after a fault, so that all faults are reported at once.

mod message;
mod strip;

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Path;
use serde_path_to_error::Segment;

use self::message::Cause;
use crate::Fault;
use crate::scan;
use crate::scan::Places;

pub(crate) use self::message::nearest;

/// Most faults that are reported of one file.
const FAULT_LIMIT: usize = 64;
/// Most characters of a found value that are shown.
const SHOWN_LIMIT: usize = 60;

/// A field whose meaning is wrong although its shape is right.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Problem {
    pointer: String,
    allowed: String,
    nearest: Option<String>,
}

impl Problem {
    /// Creates a problem of the field at a JSON pointer.
    pub(crate) fn new(pointer: &str, allowed: &str) -> Self {
        Self { pointer: pointer.to_owned(), allowed: allowed.to_owned(), nearest: None }
    }

    /// Adds the allowed word nearest to the found one.
    pub(crate) fn nearest(mut self, nearest: Option<&str>) -> Self {
        self.nearest = nearest.map(str::to_owned);
        self
    }
}

/// A file, its fields and their places.
#[derive(Debug)]
pub(crate) struct Document {
    text: String,
    value: Value,
    places: Places,
}

impl Document {
    /// Decodes a text, then checks its meaning if its shape is right.
    pub(crate) fn parse<T: DeserializeOwned>(
        text: &str,
        stand_in: &str,
        check: impl FnOnce(&T) -> Vec<Problem>,
    ) -> Result<T, Vec<Fault>> {
        let document = Self::read(text).map_err(|fault| vec![fault])?;
        let decoded = document.decode::<T>(stand_in).map_err(in_order)?;
        let faults: Vec<Fault> =
            check(&decoded).into_iter().map(|problem| document.wrong(problem)).collect();
        if faults.is_empty() { Ok(decoded) } else { Err(in_order(faults)) }
    }

    fn read(text: &str) -> Result<Self, Fault> {
        let bare = strip::comments(text).map_err(|stop| syntax(text, stop.offset, stop.allowed))?;
        let mut source = serde_json::Deserializer::from_str(&bare);
        let value = serde_path_to_error::deserialize::<_, Value>(&mut source)
            .map_err(|error| malformed(text, dotted(error.path()), &error.into_inner()))?;
        source.end().map_err(|error| malformed(text, String::new(), &error))?;
        Ok(Self { text: text.to_owned(), value, places: scan::places(&bare) })
    }

    fn decode<T: DeserializeOwned>(&self, stand_in: &str) -> Result<T, Vec<Fault>> {
        let stand_in: Value = serde_json::from_str(stand_in).expect("the stand-in file is JSON");
        let mut faults = self.repeated();
        let mut value = self.value.clone();
        self.replace_lists(&mut value, &stand_in, &mut faults);
        loop {
            let error = match serde_path_to_error::deserialize::<_, T>(value.clone()) {
                Ok(decoded) if faults.is_empty() => return Ok(decoded),
                Ok(_) => return Err(faults),
                Err(error) => error,
            };
            let pointer = pointer_of(error.path());
            let cause = message::cause(&error.into_inner().to_string());
            let mended = mend(&mut value, &stand_in, &pointer, &cause);
            faults.push(self.fault(&pointer, cause));
            if !mended || faults.len() >= FAULT_LIMIT {
                return Err(faults);
            }
        }
    }

    /// Replaces lists that stand for objects, which serde would take as fields in order.
    fn replace_lists(&self, value: &mut Value, stand_in: &Value, faults: &mut Vec<Fault>) {
        for pointer in self.places.by_pointer.keys() {
            let whole = stand_in.pointer(&pattern(pointer)).filter(|whole| whole.is_object());
            let (Some(whole), Some(field)) = (whole, value.pointer_mut(pointer)) else { continue };
            if field.is_array() {
                *field = whole.clone();
                let cause = Cause::Value { allowed: "an object".to_owned(), nearest: None };
                faults.push(self.fault(pointer, cause));
            }
        }
    }

    fn repeated(&self) -> Vec<Fault> {
        let faults = self.places.repeated.iter().map(|repeated| Fault {
            found: "a second field of this name".to_owned(),
            allowed: "one field of each name".to_owned(),
            ..self.at(repeated.offset, &repeated.pointer)
        });
        faults.collect()
    }

    fn fault(&self, pointer: &str, cause: Cause) -> Fault {
        match cause {
            Cause::Unknown { field, allowed, nearest } => {
                let pointer = with_last(pointer, &field);
                let found = format!("unknown field `{field}`");
                Fault { found, allowed, nearest, ..self.at(self.key(&pointer), &pointer) }
            }
            Cause::Missing { field } => {
                let pointer = without_last(pointer, &field);
                let found = format!("no field `{field}`");
                let allowed = format!("an object that has `{field}`");
                Fault { found, allowed, ..self.at(self.start(&pointer), &pointer) }
            }
            Cause::Value { allowed, nearest } => {
                let found = self.found(pointer);
                Fault { found, allowed, nearest, ..self.at(self.start(pointer), pointer) }
            }
        }
    }

    fn wrong(&self, problem: Problem) -> Fault {
        let Problem { pointer, allowed, nearest } = problem;
        let found = self.found(&pointer);
        Fault { found, allowed, nearest, ..self.at(self.start(&pointer), &pointer) }
    }

    fn at(&self, offset: usize, pointer: &str) -> Fault {
        let (line, column) = strip::position(&self.text, offset);
        let path = self.dotted(pointer);
        Fault { line, column, path, found: String::new(), allowed: String::new(), nearest: None }
    }

    fn key(&self, pointer: &str) -> usize {
        self.places.by_pointer.get(pointer).map_or(0, |place| place.key)
    }

    fn start(&self, pointer: &str) -> usize {
        let known = |pointer: &str| self.places.by_pointer.get(pointer).map(|place| place.value);
        let mut pointer = pointer;
        loop {
            if let Some(offset) = known(pointer) {
                return offset;
            }
            let Some(end) = pointer.rfind('/') else { return 0 };
            pointer = &pointer[..end];
        }
    }

    fn found(&self, pointer: &str) -> String {
        let Some(value) = self.value.pointer(pointer) else { return "nothing".to_owned() };
        match value {
            Value::Object(_) => "an object".to_owned(),
            Value::Array(entries) if entries.is_empty() => "an empty list".to_owned(),
            Value::Array(_) => "a list".to_owned(),
            scalar => shortened(&scalar.to_string()),
        }
    }

    /// Writes a pointer as a path such as `services[0].name`.
    fn dotted(&self, pointer: &str) -> String {
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

/// Replaces a faulty field by the stand-in one and returns whether that changed anything.
fn mend(value: &mut Value, stand_in: &Value, pointer: &str, cause: &Cause) -> bool {
    match cause {
        Cause::Unknown { field, .. } => {
            let parent = parent_of(&with_last(pointer, field));
            let object = value.pointer_mut(&parent).and_then(Value::as_object_mut);
            object.is_some_and(|object| object.remove(field).is_some())
        }
        Cause::Missing { field } => {
            let parent = without_last(pointer, field);
            let whole = stand_in.pointer(&pattern(&scan::child(&parent, field)));
            let object = value.pointer_mut(&parent).and_then(Value::as_object_mut);
            match (object, whole) {
                (Some(object), Some(whole)) => {
                    object.insert(field.clone(), whole.clone()).is_none()
                }
                _ => false,
            }
        }
        Cause::Value { .. } => {
            let whole = stand_in.pointer(&pattern(pointer));
            match (value.pointer_mut(pointer), whole) {
                (Some(field), Some(whole)) if field != whole => {
                    *field = whole.clone();
                    true
                }
                _ => false,
            }
        }
    }
}

fn in_order(mut faults: Vec<Fault>) -> Vec<Fault> {
    faults.sort_by_key(|fault| (fault.line, fault.column));
    faults
}

fn malformed(text: &str, path: String, error: &serde_json::Error) -> Fault {
    let offset = match error.is_eof() {
        true => text.len(),
        false => strip::offset(text, error.line(), error.column()),
    };
    Fault { path, ..syntax(text, offset, &format!("JSON ({})", message::reason(error))) }
}

fn syntax(text: &str, offset: usize, allowed: &str) -> Fault {
    let (line, column) = strip::position(text, offset);
    let found = match text.get(offset..).and_then(|rest| rest.chars().next()) {
        Some(character) => format!("{character:?}"),
        None => "the end of the file".to_owned(),
    };
    Fault { line, column, path: String::new(), found, allowed: allowed.to_owned(), nearest: None }
}

fn shortened(text: &str) -> String {
    if text.chars().count() <= SHOWN_LIMIT {
        return text.to_owned();
    }
    let start: String = text.chars().take(SHOWN_LIMIT).collect();
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

/// Writes a path without the steps that a syntax error left open.
fn dotted(path: &Path) -> String {
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

/// Turns every index of a pointer to zero, since the stand-in lists hold one entry.
fn pattern(pointer: &str) -> String {
    let parts = pointer.split('/').map(|part| {
        let is_index = !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_digit());
        if is_index { "0" } else { part }
    });
    parts.collect::<Vec<_>>().join("/")
}

fn parent_of(pointer: &str) -> String {
    pointer.rfind('/').map_or_else(String::new, |end| pointer[..end].to_owned())
}

fn with_last(pointer: &str, field: &str) -> String {
    let last = scan::child("", field);
    if pointer.ends_with(&last) { pointer.to_owned() } else { format!("{pointer}{last}") }
}

fn without_last(pointer: &str, field: &str) -> String {
    let last = scan::child("", field);
    pointer.strip_suffix(&last).unwrap_or(pointer).to_owned()
}
