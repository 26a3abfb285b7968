//! Reading files and standard input.

use std::fs;
use std::io;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;

use crate::failure::Failure;

/// The path that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// The text of a file or of standard input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Input {
    /// The name in messages.
    pub(crate) name: String,
    /// The directory to which paths in the text are relative.
    pub(crate) directory: PathBuf,
    /// The text.
    pub(crate) text: String,
}

/// Reads a file, or standard input for `-`.
pub(crate) fn read(path: &str) -> Result<Input, Failure> {
    if path == STANDARD_INPUT {
        let mut text = String::new();
        let result = io::stdin().read_to_string(&mut text);
        result.map_err(|error| Failure::Invalid(format!("can't read standard input: {error}")))?;
        return Ok(Input { name: "standard input".to_owned(), directory: PathBuf::new(), text });
    }
    let directory = Path::new(path).parent().map(Path::to_path_buf).unwrap_or_default();
    Ok(Input { name: path.to_owned(), directory, text: read_file(Path::new(path))? })
}

/// Reads a file as text.
pub(crate) fn read_file(path: &Path) -> Result<String, Failure> {
    fs::read_to_string(path)
        .map_err(|error| Failure::Invalid(format!("can't read {}: {error}", path.display())))
}
