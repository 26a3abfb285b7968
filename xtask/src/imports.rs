//! Checks that there is one import a line, in three groups: standard library, other crates, this crate.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// The group of an import, in the order in which groups follow in a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Standard,
    External,
    Local,
}

/// Checks every source file and returns whether all follow the layout.
pub(crate) fn check() -> bool {
    let mut files = Vec::new();
    for root in ["crates", "xtask"] {
        collect(Path::new(root), &mut files);
    }
    files.sort();
    let violations: Vec<String> = files.iter().flat_map(|file| violations_of(file)).collect();
    for violation in &violations {
        eprintln!("xtask: {violation}");
    }
    println!("xtask: imports of {} files checked, {} faults", files.len(), violations.len());
    violations.is_empty()
}

fn collect(directory: &Path, files: &mut Vec<PathBuf>) {
    let Ok(entries) = fs::read_dir(directory) else { return };
    for entry in entries.flatten() {
        let path = entry.path();
        if path.is_dir() {
            collect(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

fn violations_of(file: &Path) -> Vec<String> {
    let text = fs::read_to_string(file).unwrap_or_default();
    let mut violations = Vec::new();
    let mut last: Option<(usize, Group)> = None;
    for (index, line) in text.lines().enumerate() {
        let Some(path) = line.strip_prefix("use ") else { continue };
        let number = index + 1;
        if path.contains('{') {
            violations.push(format!("{}:{number}: more than one import on a line", file.display()));
        }
        let group = group_of(path);
        if let Some((previous, previous_group)) = last {
            let adjacent = previous + 1 == number;
            if group < previous_group || adjacent != (group == previous_group) {
                violations.push(format!("{}:{number}: import in the wrong group", file.display()));
            }
        }
        last = Some((number, group));
    }
    violations
}

fn group_of(path: &str) -> Group {
    match path.split("::").next().unwrap_or_default() {
        "std" | "core" | "alloc" => Group::Standard,
        "crate" | "self" | "super" => Group::Local,
        _ => Group::External,
    }
}
