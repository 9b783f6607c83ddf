//! The open store of one host.

use crate::consensus_log;
use crate::error::{StoreError, StoreProblem};
use crate::persisted_state::{self, PersistedState};
use crate::tables::{AUDIT, FORMAT, FORMAT_KEY, META, NEXT_OVERRIDE_KEY, OVERRIDES};
use crate::update;
use redb::{Database, ReadableTable};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use tackmast_host_core::{ConsensusStart, PersistBatch};
use tackmast_overrides::Audit;

/// What an operator can do about a store that can't be opened.
const RECOVERY_ADVICE: &str =
    "Nothing was changed. To start with an empty store, move the file away; overrides then have to be set again";
/// Stands for the path in errors of a store that is not in a file.
const BACKEND_NAME: &str = "memory";

/// An open store. Only one process at a time can have a store file open.
pub struct Store {
    database: Database,
    path: PathBuf,
}

/// The result of opening a store.
pub struct OpenedStore {
    /// The open store.
    pub store: Store,
    /// The contents of the store when it was opened.
    pub state: PersistedState,
}

impl Store {
    /// Opens the store at `path`. Creates a new one if the file is missing or empty.
    pub fn open(path: &Path) -> Result<OpenedStore, StoreError> {
        let open = || {
            let is_new = is_missing_or_empty(path)?;
            let database = catch_panic(|| open_database(path, is_new))?;
            if is_new {
                create_tables(&database)?;
            }
            let state = catch_panic(AssertUnwindSafe(|| persisted_state::read(&database)))?;
            Ok(OpenedStore { store: Store { database, path: path.into() }, state })
        };
        open().map_err(|problem| unusable(path, problem))
    }

    /// Opens the store in a storage backend of the database library. Creates a new one if the backend is empty.
    pub fn open_backend(backend: impl redb::StorageBackend) -> Result<OpenedStore, StoreError> {
        let path = Path::new(BACKEND_NAME);
        let open = || {
            let is_new = backend.len()? == 0;
            let database = Database::builder().create_with_backend(backend)?;
            if is_new {
                create_tables(&database)?;
            }
            let state = persisted_state::read(&database)?;
            Ok(OpenedStore { store: Store { database, path: path.into() }, state })
        };
        open().map_err(|problem| unusable(path, problem))
    }

    /// Opens the consensus log for this start of the host. `random_id` becomes the id of a disk that has none yet, and the
    /// number of starts is incremented; both are durable when this returns. No message about the log may be sent earlier:
    /// after a crash, the host would use the same number again, and peers could not tell the disk from an old copy of it.
    pub fn open_consensus_log(&self, random_id: u64, generation: u64) -> Result<ConsensusStart, StoreError> {
        consensus_log::open(&self.database, random_id, generation)
            .map_err(|problem| self.access_error(problem))
    }

    /// Writes the update in one transaction, which is durable when this returns.
    pub fn write(&self, update: &PersistBatch) -> Result<(), StoreError> {
        let write = || {
            let transaction = self.database.begin_write()?;
            update::write(&transaction, update)?;
            Ok(transaction.commit()?)
        };
        write().map_err(|problem| self.access_error(problem))
    }

    /// Returns the last lines of the audit log, at most `max_lines`, the oldest first.
    pub fn audit(&self, max_lines: usize) -> Result<Vec<Audit>, StoreError> {
        read_audit(&self.database, max_lines).map_err(|problem| self.access_error(problem))
    }

    fn access_error(&self, problem: StoreProblem) -> StoreError {
        StoreError::Access { path: self.path.clone(), problem: Box::new(problem) }
    }
}

fn unusable(path: &Path, problem: StoreProblem) -> StoreError {
    StoreError::Unusable { path: path.into(), problem: Box::new(problem), advice: RECOVERY_ADVICE }
}

fn is_missing_or_empty(path: &Path) -> Result<bool, StoreProblem> {
    match std::fs::metadata(path) {
        Ok(metadata) => Ok(metadata.len() == 0),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(true),
        Err(error) => Err(error.into()),
    }
}

fn open_database(path: &Path, is_new: bool) -> Result<Database, StoreProblem> {
    let opened = if is_new { Database::create(path) } else { Database::open(path) };
    Ok(opened?)
}

/// Runs `read` and returns a panic of it as [`StoreProblem::Damaged`]. The database library trusts the lengths in a file, so
/// it may panic on a damaged one, and the host would exit without a message that names the file.
fn catch_panic<T>(
    read: impl FnOnce() -> Result<T, StoreProblem> + std::panic::UnwindSafe,
) -> Result<T, StoreProblem> {
    catch_unwind(read).unwrap_or(Err(StoreProblem::Damaged))
}

fn create_tables(database: &Database) -> Result<(), StoreProblem> {
    let transaction = database.begin_write()?;
    {
        let mut meta = transaction.open_table(META)?;
        meta.insert(FORMAT_KEY, FORMAT)?;
        meta.insert(NEXT_OVERRIDE_KEY, 1)?;
        transaction.open_table(OVERRIDES)?;
        transaction.open_table(AUDIT)?;
    }
    Ok(transaction.commit()?)
}

fn read_audit(database: &Database, max_lines: usize) -> Result<Vec<Audit>, StoreProblem> {
    let transaction = database.begin_read()?;
    let table = transaction.open_table(AUDIT)?;
    let mut lines = Vec::new();
    for row in table.iter()?.rev().take(max_lines) {
        let (key, value) = row?;
        let line = serde_json::from_slice(value.value());
        lines.push(line.map_err(|source| StoreProblem::AuditLine { number: key.value(), source })?);
    }
    lines.reverse();
    Ok(lines)
}
