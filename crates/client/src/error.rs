//! Why a volume could not be opened.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Why a volume could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// No session was ready in time.
    #[error("{address}: no session within {timeout:?}; expected a gateway that answers")]
    NoAnswer {
        /// Where the gateway was sought.
        address: SocketAddr,
        /// How long.
        timeout: Duration,
    },
    /// The gateway does not serve the volume.
    #[error("{address}: {reason}")]
    Refused {
        /// Where the gateway listens.
        address: SocketAddr,
        /// What it says.
        reason: String,
    },
    /// The system has no thread left for the client.
    #[error("thread: {0}")]
    Thread(#[from] io::Error),
}
