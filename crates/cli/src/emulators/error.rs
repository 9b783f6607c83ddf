//! Errors of emulators as processes.

use std::io;
use std::net::SocketAddr;

/// Why an emulator could not be run.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EmulatorError {
    /// The address is not on loopback.
    #[error("--listen {address}; expected a loopback address: emulators serve no other")]
    NotLoopback {
        /// The address that was given.
        address: SocketAddr,
    },
    /// The emulator could not listen.
    #[error("--listen {address}: {source}")]
    Listen {
        /// The address that was given.
        address: SocketAddr,
        /// What the system reports.
        source: io::Error,
    },
}

/// A line of standard input that is no command of the endpoint list.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{line:?}; expected put ADDRESS SHARD ZONE, drain ADDRESS, gone ADDRESS, late SECONDS, \
     fails on|off, silent on|off or reset"
)]
pub(super) struct InvalidListCommand {
    /// The line.
    pub line: String,
}
