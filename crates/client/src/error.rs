//! Errors of opening a volume.
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The reason why a volume could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// No session became ready within the timeout.
    #[error("{address}: no session within {timeout:?}; expected a gateway that answers")]
    NoAnswer {
        /// Address to which the client connected.
        address: SocketAddr,
        /// How long the client waited.
        timeout: Duration,
    },
    /// The gateway refused to serve the volume.
    #[error("{address}: {reason}")]
    Refused {
        /// Address of the gateway.
        address: SocketAddr,
        /// The reason, as the session reports it.
        reason: String,
    },
    /// The thread of the event loop could not be started.
    #[error("can't start the event loop thread: {0}")]
    Thread(#[from] io::Error),
}
