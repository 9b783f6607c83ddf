//! Errors of the host core. Operators see their texts unchanged.

use tackmast_membership::{MAX_CATALOG_UPDATES, MAX_UPDATE_LEN};
use tackmast_plans::{ChangeLogError, Refusal};

/// The store could not write a batch. The text is the store's own.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct PersistError(pub String);

/// The reason why a change of plans, or a request about plans, is refused.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The change conflicts with the plans that apply, or asks more than the fleet can serve.
    #[error("{0}")]
    Refused(Refusal),
    /// The change is not the next entry of the change log.
    #[error(transparent)]
    ChangeLog(#[from] ChangeLogError),
    /// The committed bytes are not a command.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The change to undo is not in the change log.
    #[error("change {number}: not in the change log; expected a number that `log` shows")]
    UnknownChange {
        /// The number of the change to undo.
        number: u64,
    },
    /// The request needs consensus, which this host does not use.
    #[error("changes of plans do not use consensus at this host")]
    NoConsensus,
    /// The change log has no entry although a change was just appended.
    #[error("the change log has no entry after the change")]
    NoEntry,
    /// The change does not fit into a datagram.
    #[error("the change has {bytes} bytes; expected at most {MAX_UPDATE_LEN}, in several changes")]
    ChangeTooLong {
        /// The length of the change's stored form, in bytes.
        bytes: usize,
    },
    /// The change log holds as many changes as hosts can replicate.
    #[error("the change log is full: {MAX_CATALOG_UPDATES} changes; expected a new change log")]
    ChangeLogFull,
    /// The scheduler knows plans by number, and the host has assigned all numbers.
    #[error("plans have had {max} names since this host started; expected one of these names")]
    TooManyNames {
        /// The number of names that a host remembers.
        max: usize,
    },
    /// Another host accepts changes.
    #[error("host {home} takes changes of plans, and this is host {host}; ask it")]
    NotHome {
        /// The number of the host that accepts changes.
        home: u32,
        /// The number of this host.
        host: u32,
    },
    /// The change log does not fit into one response.
    #[error("the change log has {bytes} bytes; expected at most {max} in a response")]
    LogTooLong {
        /// The length of the change log, in bytes.
        bytes: usize,
        /// The length of the longest change log that fits, in bytes.
        max: usize,
    },
    /// Too many changes wait until the one before them is written.
    #[error("{max} changes of plans wait already; try again later")]
    QueueFull {
        /// The number of changes that may wait.
        max: usize,
    },
    /// The store could not write the change, so the change does not apply.
    #[error("the change was not written, so it does not apply: {0}")]
    NotPersisted(PersistError),
}
