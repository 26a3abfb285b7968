//! Locations of all fields in a JSON text that is known to be well-formed.

use indexmap::IndexMap;

/// The byte offsets of a field.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Location {
    /// The offset of its key, or of its value if it has no key.
    pub(crate) key: usize,
    /// The offset of its value.
    pub(crate) value: usize,
}

/// A key that occurs more than once in an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct DuplicateKey {
    /// The JSON pointer of the field.
    pub(crate) pointer: String,
    /// The offset of the later key.
    pub(crate) offset: usize,
}

/// The locations of all fields of a text.
#[derive(Debug, Default)]
pub(crate) struct Locations {
    /// The location of each field by JSON pointer; for a duplicate key, that of the last one.
    pub(crate) by_pointer: IndexMap<String, Location>,
    /// All keys that occur more than once in their object.
    pub(crate) duplicates: Vec<DuplicateKey>,
}

/// Locates all fields of a well-formed JSON text without comments.
pub(crate) fn locations(text: &str) -> Locations {
    let mut scanner = Scanner { text, offset: 0, locations: Locations::default() };
    scanner.value("", None);
    scanner.locations
}

/// Returns the JSON pointer of a field of an object, or of an element of a list.
pub(crate) fn child(pointer: &str, key: &str) -> String {
    format!("{pointer}/{}", key.replace('~', "~0").replace('/', "~1"))
}

struct Scanner<'a> {
    text: &'a str,
    offset: usize,
    locations: Locations,
}

impl Scanner<'_> {
    fn value(&mut self, pointer: &str, key: Option<usize>) {
        self.skip_whitespace();
        let location = Location { key: key.unwrap_or(self.offset), value: self.offset };
        if self.locations.by_pointer.insert(pointer.to_owned(), location).is_some() {
            let duplicate = DuplicateKey { pointer: pointer.to_owned(), offset: location.key };
            self.locations.duplicates.push(duplicate);
        }
        match self.peek() {
            Some(b'{') => self.object(pointer),
            Some(b'[') => self.list(pointer),
            Some(b'"') => self.string(),
            _ => self.scalar(),
        }
    }

    fn object(&mut self, pointer: &str) {
        self.offset += 1;
        loop {
            self.skip_whitespace();
            match self.peek() {
                Some(b'"') => self.member(pointer),
                Some(b',') => self.offset += 1,
                _ => break,
            }
        }
        self.offset += 1;
    }

    fn member(&mut self, pointer: &str) {
        let start = self.offset;
        self.string();
        let key: String = serde_json::from_str(&self.text[start..self.offset]).unwrap_or_default();
        self.skip_whitespace();
        self.offset += 1;
        self.value(&child(pointer, &key), Some(start));
    }

    fn list(&mut self, pointer: &str) {
        self.offset += 1;
        let mut index = 0_usize;
        loop {
            self.skip_whitespace();
            match self.peek() {
                None | Some(b']') => break,
                Some(b',') => self.offset += 1,
                Some(_) => {
                    self.value(&child(pointer, &index.to_string()), None);
                    index += 1;
                }
            }
        }
        self.offset += 1;
    }

    fn string(&mut self) {
        self.offset += 1;
        while let Some(byte) = self.peek() {
            self.offset += if byte == b'\\' { 2 } else { 1 };
            if byte == b'"' {
                break;
            }
        }
    }

    fn scalar(&mut self) {
        while self.peek().is_some_and(|byte| !b",]} \t\r\n".contains(&byte)) {
            self.offset += 1;
        }
    }

    fn skip_whitespace(&mut self) {
        while self.peek().is_some_and(|byte| b" \t\r\n".contains(&byte)) {
            self.offset += 1;
        }
    }

    fn peek(&self) -> Option<u8> {
        self.text.as_bytes().get(self.offset).copied()
    }
}
