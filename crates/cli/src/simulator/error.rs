//! Errors of `tackmast simulator`.

use crate::planner::PlannerError;
use std::io;
use std::path::PathBuf;
use tackmast_benchmarks::BenchmarkError;
use tackmast_config::ConfigError;
use tackmast_simulator::{ReportError, UnsupportedScript};

/// Why a run in virtual time could not be made.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SimulatorError {
    /// Options are out of bounds.
    #[error("{options}; expected {expected}")]
    OutOfBounds {
        /// The options and their values.
        options: String,
        /// The bounds.
        expected: &'static str,
    },
    /// No part of the membership view has this name.
    #[error(
        "--without {0:?}; expected local-health, confirm, own-pause, told-back, own-word, recall, damp or twin"
    )]
    UnknownExtension(String),
    /// No reference model has this name.
    #[error("{place}: {name:?}; expected fcfs, caps or buckets")]
    UnknownReferenceModel {
        /// The option or file that names it.
        place: String,
        /// The name.
        name: String,
    },
    /// A workload or a script is wrong.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The script can't be played in virtual time.
    #[error("{}: {source}", path.display())]
    Script {
        /// The file.
        path: PathBuf,
        /// What is not simulated.
        source: UnsupportedScript,
    },
    /// A file could not be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
    /// The file is no variant.
    #[error("{}: {source}", path.display())]
    Variant {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: hcl::Error,
    },
    /// The page of a run could not be drawn.
    #[error(transparent)]
    Report(#[from] ReportError),
    /// The run on loopback failed.
    #[error(transparent)]
    Loopback(#[from] BenchmarkError),
    /// A workload could not be planned.
    #[error(transparent)]
    Planner(#[from] PlannerError),
}

impl SimulatorError {
    /// Refuses options that are not within their bounds.
    pub(super) fn require_bounds(
        are_within: bool,
        options: impl FnOnce() -> String,
        expected: &'static str,
    ) -> Result<(), SimulatorError> {
        match are_within {
            true => Ok(()),
            false => Err(SimulatorError::OutOfBounds { options: options(), expected }),
        }
    }
}
