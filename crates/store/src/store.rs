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

const MOVE_AWAY: &str =
    "Nothing was changed. To start without what it holds, move the file away; overrides then have to be set anew";
/// The name of a store that is not in a file, in its errors.
const BACKEND_NAME: &str = "memory";

/// The open store of one host.
pub struct Store {
    database: Database,
    path: PathBuf,
}

/// A store that was just opened, with what it held.
pub struct OpenedStore {
    /// The store, to write to.
    pub store: Store,
    /// What it held when it was opened.
    pub state: PersistedState,
}

impl Store {
    /// Opens the store, or makes a new one where there is no file.
    pub fn open(path: &Path) -> Result<OpenedStore, StoreError> {
        let open = || {
            let is_new = is_missing_or_empty(path)?;
            let database = catch_damage(|| open_database(path, is_new))?;
            if is_new {
                create_tables(&database)?;
            }
            let state = catch_damage(AssertUnwindSafe(|| persisted_state::read(&database)))?;
            Ok(OpenedStore { store: Store { database, path: path.into() }, state })
        };
        open().map_err(|problem| unusable(path, problem))
    }

    /// Opens the store on any storage backend of the database library; an empty one gets a new store.
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

    /// Opens the consensus log for this start of the host: `random_id` becomes the id of a disk that has none yet, and the count of starts
    /// is raised by one. Both are on the disk when this returns. No message about the log may be sent before: after a crash, the same count
    /// would be used again, and peers could not tell an old copy of the disk from the disk itself.
    pub fn open_consensus_log(&self, random_id: u64, generation: u64) -> Result<ConsensusStart, StoreError> {
        consensus_log::open(&self.database, random_id, generation).map_err(|problem| self.access(problem))
    }

    /// Writes all of the update or nothing; it is on the disk when this returns.
    pub fn write(&self, update: &PersistBatch) -> Result<(), StoreError> {
        let write = || {
            let transaction = self.database.begin_write()?;
            update::write(&transaction, update)?;
            Ok(transaction.commit()?)
        };
        write().map_err(|problem| self.access(problem))
    }

    /// The last lines of the audit log, oldest first.
    pub fn audit(&self, max_lines: usize) -> Result<Vec<Audit>, StoreError> {
        read_audit(&self.database, max_lines).map_err(|problem| self.access(problem))
    }

    fn access(&self, problem: StoreProblem) -> StoreError {
        StoreError::Access { path: self.path.clone(), problem: Box::new(problem) }
    }
}

fn unusable(path: &Path, problem: StoreProblem) -> StoreError {
    StoreError::Unusable { path: path.into(), problem: Box::new(problem), advice: MOVE_AWAY }
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

/// Runs `read`, and reports a panic of it as damage. The database library trusts the lengths in a file, so it may panic on a damaged one,
/// and the host would end without telling its operator which file to move away.
fn catch_damage<T>(
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
