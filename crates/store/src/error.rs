//! Errors of the store.

use crate::tables::FORMAT;
use std::path::PathBuf;
use tackmast_wire::WireError;

/// Why a store could not be opened, read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The file can't be used as a store; it was left as it was.
    #[error("store {path}: {problem}; expected a tackmast store of format {FORMAT}. {advice}")]
    Unusable {
        /// The store's file.
        path: PathBuf,
        /// What is wrong with it.
        problem: Box<StoreProblem>,
        /// What an operator can do about it.
        advice: &'static str,
    },
    /// The open store could not be read or written.
    #[error("store {path}: {problem}")]
    Access {
        /// The store's file.
        path: PathBuf,
        /// What went wrong.
        problem: Box<StoreProblem>,
    },
}

/// What is wrong with a store, without its path.
#[derive(Debug, thiserror::Error)]
pub enum StoreProblem {
    /// The database library can't read the file.
    #[error("damaged")]
    Damaged,
    /// A database without this program's tables.
    #[error("another program's file")]
    ForeignFile,
    /// A store of another format.
    #[error("format {0}")]
    OtherFormat(u64),
    /// A store that does not say its format.
    #[error("no format")]
    NoFormat,
    /// An override that can't be read.
    #[error("override {number}: {source}")]
    Override {
        /// Key of its row.
        number: u64,
        /// Why it can't be read.
        source: serde_json::Error,
    },
    /// A line of the change log of plans is missing.
    #[error("change of plans {found}: expected {expected}")]
    ChangeNumber {
        /// Key of the row.
        found: u64,
        /// Key of the row that is missing.
        expected: u64,
    },
    /// The row of a peer that can't be read.
    #[error("member {slot}: damaged")]
    Member {
        /// Key of the row.
        slot: u64,
    },
    /// A named row of the consensus log that can't be read.
    #[error("agreed {key}: damaged")]
    LogState {
        /// Key of the row.
        key: &'static str,
    },
    /// An entry of the consensus log is missing.
    #[error("agreed entry {found}: expected {expected}")]
    LogEntryIndex {
        /// Key of the row.
        found: u64,
        /// Key of the row that is missing.
        expected: u64,
    },
    /// An entry of the consensus log that can't be read.
    #[error("agreed entry {index}: {source}")]
    LogEntry {
        /// Key of the row.
        index: u64,
        /// Why it can't be read.
        source: WireError,
    },
    /// A line of the audit log that can't be read.
    #[error("line {number}: {source}")]
    AuditLine {
        /// Key of the row.
        number: u64,
        /// Why it can't be read.
        source: serde_json::Error,
    },
    /// The file could not be looked up.
    #[error(transparent)]
    File(#[from] std::io::Error),
    /// The database could not be opened.
    #[error(transparent)]
    Database(#[from] redb::DatabaseError),
    /// A transaction could not be begun.
    #[error(transparent)]
    Transaction(#[from] Box<redb::TransactionError>),
    /// A table could not be opened.
    #[error(transparent)]
    Table(#[from] redb::TableError),
    /// A row could not be read or written.
    #[error(transparent)]
    Storage(#[from] redb::StorageError),
    /// A transaction could not be committed.
    #[error(transparent)]
    Commit(#[from] redb::CommitError),
}

impl From<redb::TransactionError> for StoreProblem {
    fn from(error: redb::TransactionError) -> Self {
        StoreProblem::Transaction(Box::new(error))
    }
}
