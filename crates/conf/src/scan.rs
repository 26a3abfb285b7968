//! Positions of all fields of a JSON text that is known to be well-formed.

use indexmap::IndexMap;

/// Where a field stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Place {
    /// Offset of its key, or of its value when it has no key.
    pub(crate) key: usize,
    /// Offset of its value.
    pub(crate) value: usize,
}

/// A key that an object holds more than once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Repeated {
    /// JSON pointer of the field.
    pub(crate) pointer: String,
    /// Offset of the later key.
    pub(crate) offset: usize,
}

/// The places of all fields by JSON pointer.
#[derive(Debug, Default)]
pub(crate) struct Places {
    /// The places; the last one counts for a repeated key.
    pub(crate) by_pointer: IndexMap<String, Place>,
    /// Keys that are held more than once.
    pub(crate) repeated: Vec<Repeated>,
}

/// Finds all fields of a well-formed JSON text without comments.
pub(crate) fn places(text: &str) -> Places {
    let mut scanner = Scanner { text, at: 0, places: Places::default() };
    scanner.value("", None);
    scanner.places
}

/// Returns the pointer of a field within an object or list.
pub(crate) fn child(pointer: &str, key: &str) -> String {
    format!("{pointer}/{}", key.replace('~', "~0").replace('/', "~1"))
}

struct Scanner<'a> {
    text: &'a str,
    at: usize,
    places: Places,
}

impl Scanner<'_> {
    fn value(&mut self, pointer: &str, key: Option<usize>) {
        self.blanks();
        let place = Place { key: key.unwrap_or(self.at), value: self.at };
        if self.places.by_pointer.insert(pointer.to_owned(), place).is_some() {
            let repeated = Repeated { pointer: pointer.to_owned(), offset: place.key };
            self.places.repeated.push(repeated);
        }
        match self.peek() {
            Some(b'{') => self.object(pointer),
            Some(b'[') => self.list(pointer),
            Some(b'"') => self.string(),
            _ => self.scalar(),
        }
    }

    fn object(&mut self, pointer: &str) {
        self.at += 1;
        loop {
            self.blanks();
            match self.peek() {
                Some(b'"') => self.member(pointer),
                Some(b',') => self.at += 1,
                _ => break,
            }
        }
        self.at += 1;
    }

    fn member(&mut self, pointer: &str) {
        let start = self.at;
        self.string();
        let key: String = serde_json::from_str(&self.text[start..self.at]).unwrap_or_default();
        self.blanks();
        self.at += 1;
        self.value(&child(pointer, &key), Some(start));
    }

    fn list(&mut self, pointer: &str) {
        self.at += 1;
        let mut index = 0_usize;
        loop {
            self.blanks();
            match self.peek() {
                None | Some(b']') => break,
                Some(b',') => self.at += 1,
                Some(_) => {
                    self.value(&child(pointer, &index.to_string()), None);
                    index += 1;
                }
            }
        }
        self.at += 1;
    }

    fn string(&mut self) {
        self.at += 1;
        while let Some(byte) = self.peek() {
            self.at += if byte == b'\\' { 2 } else { 1 };
            if byte == b'"' {
                break;
            }
        }
    }

    fn scalar(&mut self) {
        while self.peek().is_some_and(|byte| !b",]} \t\r\n".contains(&byte)) {
            self.at += 1;
        }
    }

    fn blanks(&mut self) {
        while self.peek().is_some_and(|byte| b" \t\r\n".contains(&byte)) {
            self.at += 1;
        }
    }

    fn peek(&self) -> Option<u8> {
        self.text.as_bytes().get(self.at).copied()
    }
}
