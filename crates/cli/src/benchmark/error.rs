//! Errors of `tackmast benchmark`.

use std::io;
use tackmast_benchmarks::BenchmarkError;

/// Why a measurement could not be made.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BenchmarkCommandError {
    /// The loads would be too short or too long.
    #[error("--seconds {0}; expected 0.1 to 60")]
    Seconds(f64),
    /// The folder of the host's settings could not be created.
    #[error(transparent)]
    TemporaryFolder(io::Error),
    /// The path of this program is not known.
    #[error(transparent)]
    OwnProgram(io::Error),
    /// The measurement failed.
    #[error(transparent)]
    Measurement(#[from] BenchmarkError),
}
