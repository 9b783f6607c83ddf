//! Errors of `tackmast serve --platform`.

use super::CONFIG_VARIABLE;
use std::io;
use tackmast_platform::FieldError;
use tackmast_platform_host::StartError;

/// Why a host could not be run on the operators' platform.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PlatformError {
    /// The platform does not say which file holds the configuration.
    #[error("{CONFIG_VARIABLE}: not set; expected the path of a file")]
    NoConfiguration,
    /// The configuration can't be read.
    #[error("{path}: {source}; expected a file that can be read")]
    UnreadableConfiguration {
        /// The file.
        path: String,
        /// What the system reports.
        source: io::Error,
    },
    /// The configuration is not valid.
    #[error("{path}: {problem}")]
    InvalidConfiguration {
        /// The file.
        path: String,
        /// The field that is wrong.
        problem: FieldError,
    },
    /// The signals could not be registered.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The host did not start.
    #[error(transparent)]
    Start(#[from] StartError),
}
