//! The temporary directory of a run, with its own copies of the binaries.

use std::env;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use error_stack::Report;
use error_stack::ResultExt;

use crate::Error;

/// The number of the next run directory of this process.
static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// The temporary directory of a run; dropping it removes the directory.
#[derive(Debug)]
pub struct RunDirectory {
    path: PathBuf,
    copy_lock: Mutex<()>,
}

impl RunDirectory {
    /// Creates the directory.
    ///
    /// # Errors
    /// Returns [`Error::Directory`] if it can't be created.
    pub fn new() -> Result<Self, Report<Error>> {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = env::temp_dir().join(format!("aspenline-{}-{number}", process::id()));
        fs::create_dir_all(&path).change_context(Error::Directory)?;
        Ok(Self { path, copy_lock: Mutex::new(()) })
    }

    /// Returns the path of the directory.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the path of the log file of a process.
    #[must_use]
    pub fn log(&self, name: &str) -> PathBuf {
        self.path.join(format!("{name}.log"))
    }

    /// Returns the run's own copy of a binary, which a rebuild doesn't replace.
    ///
    /// # Errors
    /// Returns [`Error::NoBinary`] if it isn't built and [`Error::Directory`] if it can't be copied.
    pub fn binary(&self, name: &str) -> Result<PathBuf, Report<Error>> {
        let _guard = self.copy_lock.lock().unwrap_or_else(PoisonError::into_inner);
        let copy = self.path.join(name);
        if !copy.exists() {
            let found =
                find_binary(name).ok_or_else(|| Report::new(Error::NoBinary(name.to_owned())))?;
            if fs::hard_link(&found, &copy).is_err() {
                fs::copy(&found, &copy).change_context(Error::Directory)?;
            }
        }
        Ok(copy)
    }
}

impl Drop for RunDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// Finds a binary in the directory of the running executable or in one of its two parent directories.
fn find_binary(name: &str) -> Option<PathBuf> {
    let executable = env::current_exe().ok()?;
    let candidates = executable.ancestors().skip(1).take(3).map(|parent| parent.join(name));
    candidates.into_iter().find(|path| path.is_file())
}
