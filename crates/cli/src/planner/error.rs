//! Errors of the planner's commands.

use std::path::PathBuf;
use tackmast_config::ConfigError;

/// Why a workload could not be planned.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PlannerError {
    /// A figure of the nodes is zero, negative or not finite.
    #[error("--{option} {value}; expected a number above 0")]
    NotPositive {
        /// The option, without its dashes.
        option: &'static str,
        /// The value that was given.
        value: f64,
    },
    /// A figure of the nodes is negative or not finite.
    #[error("--{option} {value}; expected a number of 0 or more")]
    Negative {
        /// The option, without its dashes.
        option: &'static str,
        /// The value that was given.
        value: f64,
    },
    /// The settings or the workload are wrong.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The workload names a volume that the settings do not have.
    #[error("{}: flow {flow}: volume {volume:?}; expected one of the settings", path.display())]
    UnknownVolume {
        /// The file of the workload.
        path: PathBuf,
        /// Name of the flow.
        flow: String,
        /// Name of the volume.
        volume: String,
    },
}
