//! Errors of the host core. Operators see their texts as they are.

use tackmast_membership::{MAX_CATALOG_UPDATES, MAX_UPDATE_LEN};
use tackmast_plans::{ChangeLogError, Refusal};

/// The store could not write a batch; its own text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct PersistError(pub String);

/// Why a change of plans is not accepted.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// It does not fit the plans that apply, or the fleet.
    #[error("{0}")]
    Refused(Refusal),
    /// It does not follow the change log.
    #[error(transparent)]
    ChangeLog(#[from] ChangeLogError),
    /// Its bytes are not a command.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The change to undo is not known.
    #[error("change {number}: not in the trail; expected one that `log` shows")]
    UnknownChange {
        /// Its number.
        number: u64,
    },
    /// It needs consensus, which this host does not have.
    #[error("hosts do not agree on plans here")]
    NoConsensus,
    /// The change log is empty after a change.
    #[error("no entry")]
    NoEntry,
    /// It does not fit a datagram.
    #[error("a change of {bytes} bytes; expected at most {MAX_UPDATE_LEN}, in several changes")]
    ChangeTooLong {
        /// Its length.
        bytes: usize,
    },
    /// No further change can be replicated.
    #[error("the trail is full: {MAX_CATALOG_UPDATES} changes; expected it to be begun anew")]
    ChangeLogFull,
    /// The scheduler remembers plans by number, and has no more numbers.
    #[error("plans have had {max} names since this host's start; expected one of these")]
    TooManyNames {
        /// How many names it may remember.
        max: usize,
    },
    /// Another host accepts changes.
    #[error("host {home} takes changes of plans, and this is host {host}; ask it")]
    NotHome {
        /// The host that accepts changes.
        home: u32,
        /// This host.
        host: u32,
    },
    /// The change log does not fit one answer.
    #[error("the trail has {bytes} bytes; an answer holds {max}")]
    LogTooLong {
        /// Its length.
        bytes: usize,
        /// The longest that fits.
        max: usize,
    },
    /// Too many changes wait for the one before them to be written.
    #[error("{max} changes wait already")]
    QueueFull {
        /// How many may wait.
        max: usize,
    },
    /// The change was not written, so it does not apply.
    #[error("not kept, so it does not hold: {0}")]
    NotPersisted(PersistError),
}
