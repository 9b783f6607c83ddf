//! Why a host does not start.

use crate::admin::AdminSocketError;
use std::io;
use std::net::SocketAddr;

/// Why a host does not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The host can't listen on an address.
    #[error("host listen {address}: {error}; expected a free address of this machine")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The operating system's error.
        error: io::Error,
    },
    /// The admin socket can't be opened.
    #[error("admin socket {0}")]
    AdminSocket(#[from] AdminSocketError),
    /// The store can't be opened or written.
    #[error(transparent)]
    Store(#[from] tackmast_store::StoreError),
    /// The log of plan changes in the store does not match the settings.
    #[error("plans: {0}. Nothing was changed. To begin anew by the settings, move the store away")]
    Plans(#[from] tackmast_plans::ChangeLogError),
    /// The settings enable consensus on plans, but the store holds changes that were made without it.
    #[error("agreement: the store keeps {changes} changes of plans that one home took; expected none. Bring the settings of all hosts to what `plan show` says, move the stores away, and start the hosts anew")]
    PlansWithoutConsensus {
        /// Number of such changes in the store.
        changes: usize,
    },
    /// The operating system can't create a thread.
    #[error("thread {name}: {error}; expected to start it")]
    Thread {
        /// The thread's name.
        name: String,
        /// The operating system's error.
        error: io::Error,
    },
}
