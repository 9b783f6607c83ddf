//! A folder for the files of one run.

use std::io;
use std::path::{Path, PathBuf};

/// A folder of this process among the system's temporary files, which is removed when dropped.
pub(crate) struct TemporaryFolder {
    path: PathBuf,
}

impl TemporaryFolder {
    /// Creates the folder; `kind` says in its name what it is for.
    pub(crate) fn create(kind: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("tackmast-{kind}-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(TemporaryFolder { path })
    }

    /// Path of the folder.
    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    /// Removes the folder, and reports if that fails.
    pub(crate) fn remove(self) -> io::Result<()> {
        std::fs::remove_dir_all(&self.path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.path);
    }
}
