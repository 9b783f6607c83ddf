//! Errors of `tackmast serve` and `tackmast config check`.

use std::io;
use tackmast_config::ConfigError;
use tackmast_host::StartError;

/// Why a host could not be run, or its settings not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ServeError {
    /// The simulated error of the clock is out of bounds.
    #[error("--clock-off-s {offset_s} --clock-pace {rate}; expected seconds, and 0.5 to 2")]
    Clock {
        /// Seconds by which the wall clock would be wrong.
        offset_s: f64,
        /// Rate at which all clocks would run.
        rate: f64,
    },
    /// The settings are wrong.
    #[error(transparent)]
    Settings(#[from] ConfigError),
    /// The signals could not be registered.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The host did not start.
    #[error(transparent)]
    Start(#[from] StartError),
}
