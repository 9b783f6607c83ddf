//! Errors of `tackmast scenario`, `scenario-import` and `rules`.

use std::io;
use std::path::PathBuf;
use tackmast_config::ConfigError;
use tackmast_scenario::{BenchImportError, ScenarioError};
use tackmast_trace::ReadError;

/// Why a scenario or a trace could not be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ScenarioCommandError {
    /// The script is wrong.
    #[error(transparent)]
    Script(#[from] ConfigError),
    /// Hosts with consensus can't run alone.
    #[error("{}: --alone, and a block agreement; expected a scenario whose hosts do not need each other", path.display())]
    ConsensusAlone {
        /// The script.
        path: PathBuf,
    },
    /// The folder of the run's files could not be created.
    #[error("--out {}: {source}", path.display())]
    OutFolder {
        /// The folder.
        path: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
    /// A temporary folder could not be created or removed.
    #[error("temporary folder: {0}")]
    TemporaryFolder(#[source] io::Error),
    /// The path of this program is not known.
    #[error("own program: {0}")]
    OwnProgram(#[source] io::Error),
    /// The scenario could not be run.
    #[error(transparent)]
    Run(#[from] ScenarioError),
    /// A file could not be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
    /// The report could not be written to its file.
    #[error("{}: {source}", path.display())]
    ReportFile {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        source: serde_json::Error,
    },
    /// The file is no trace.
    #[error("{}: {source}", path.display())]
    Trace {
        /// The file.
        path: PathBuf,
        /// Where it differs.
        source: ReadError,
    },
    /// The file is no day of the bench.
    #[error("{}: {source}", path.display())]
    BenchDay {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: BenchImportError,
    },
    /// A report could not be printed as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}
