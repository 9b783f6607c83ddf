//! Errors of opening, reading and writing a store.

use crate::tables::FORMAT;
use std::path::PathBuf;
use tackmast_wire::WireError;

/// An error of opening, reading or writing a store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The file can't be used as a store; its contents were not changed.
    #[error("store {path}: {problem}; expected a tackmast store of format {FORMAT}. {advice}")]
    Unusable {
        /// The file of the store.
        path: PathBuf,
        /// The reason.
        problem: Box<StoreProblem>,
        /// What an operator can do to start the host.
        advice: &'static str,
    },
    /// An open store could not be read or written.
    #[error("store {path}: {problem}")]
    Access {
        /// The file of the store.
        path: PathBuf,
        /// The reason.
        problem: Box<StoreProblem>,
    },
}

/// The reason of a [`StoreError`], without the path of the store.
#[derive(Debug, thiserror::Error)]
pub enum StoreProblem {
    /// The database library panicked while it read the file.
    #[error("damaged")]
    Damaged,
    /// The file is a database without the tables of a store.
    #[error("another program's file")]
    ForeignFile,
    /// The store has another version of the format.
    #[error("format {0}")]
    OtherFormat(u64),
    /// The store has no version of the format.
    #[error("no format")]
    NoFormat,
    /// An override could not be parsed.
    #[error("override {number}: {source}")]
    Override {
        /// The key of its row.
        number: u64,
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// A line of the change log of plans is missing.
    #[error("change log of plans, line {found}: expected {expected}")]
    ChangeNumber {
        /// The key of the row.
        found: u64,
        /// The key of the missing row.
        expected: u64,
    },
    /// The row of a peer could not be decoded.
    #[error("member {slot}: damaged")]
    Member {
        /// The key of the row.
        slot: u64,
    },
    /// A named row of the consensus log could not be decoded.
    #[error("consensus log, row {key}: damaged")]
    LogState {
        /// The key of the row.
        key: &'static str,
    },
    /// An entry of the consensus log is missing.
    #[error("consensus log, entry {found}: expected {expected}")]
    LogEntryIndex {
        /// The key of the row.
        found: u64,
        /// The key of the missing row.
        expected: u64,
    },
    /// An entry of the consensus log could not be decoded.
    #[error("consensus log, entry {index}: {source}")]
    LogEntry {
        /// The key of the row.
        index: u64,
        /// The error of the parser.
        source: WireError,
    },
    /// A line of the audit log could not be parsed.
    #[error("audit log, line {number}: {source}")]
    AuditLine {
        /// The key of the row.
        number: u64,
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// The metadata of the file could not be read.
    #[error(transparent)]
    File(#[from] std::io::Error),
    /// The database could not be opened.
    #[error(transparent)]
    Database(#[from] redb::DatabaseError),
    /// A transaction could not be started.
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
