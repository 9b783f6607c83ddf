//! Errors of `tackmast plan`.

use crate::admin_calls::AdminCallError;
use crate::planner::PlannerError;
use std::io;
use std::path::PathBuf;
use tackmast_config::ConfigError;
use tackmast_plans::{ChangeLogError, Refusal};

/// Why plans could not be shown, checked or changed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PlanError {
    /// The call to the host failed.
    #[error(transparent)]
    AdminCall(#[from] AdminCallError),
    /// The planner could not be run.
    #[error(transparent)]
    Planner(#[from] PlannerError),
    /// Neither a host nor a file is named.
    #[error("--host: missing; expected a socket, or --from with a file")]
    NoSource,
    /// The file of plans can't be read.
    #[error("{}: {source}; expected a file of plans", path.display())]
    UnreadablePlans {
        /// The file.
        path: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
    /// The file of plans is wrong.
    #[error(transparent)]
    Plans(#[from] ConfigError),
    /// The file with a change log can't be read.
    #[error("{}: {source}; expected what `plan log --json` printed", path.display())]
    UnreadableLog {
        /// The file.
        path: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
    /// The file is no change log.
    #[error("{}: {source}; expected what `plan log --json` printed", path.display())]
    NoLog {
        /// The file.
        path: PathBuf,
        /// Where it differs.
        source: serde_json::Error,
    },
    /// The last line of a change log is cut.
    #[error("the change log: its last line is cut; expected all of it")]
    CutLog,
    /// A change log is not as it was written.
    #[error("the change log: {0}")]
    Log(#[from] ChangeLogError),
    /// An entry of a change log can't be applied.
    #[error(transparent)]
    Entry(#[from] Refusal),
    /// Plans could not be printed as HCL.
    #[error(transparent)]
    Hcl(#[from] hcl::Error),
    /// An answer could not be printed as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}
