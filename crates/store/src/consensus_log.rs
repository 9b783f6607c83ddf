//! Reads and writes the rows of the consensus log, which docs/consensus.md describes.

use crate::error::StoreProblem;
use crate::log_rows::*;
use crate::tables::{
    CONFIRMED_VOTERS_KEY, HARD_STATE_KEY, IDENTITY_KEY, KNOWN_DISKS_KEY, LOG_ENTRIES, LOG_STATE, SNAPSHOT_KEY,
};
use bytes::{Bytes, BytesMut};
use redb::{Database, ReadTransaction, ReadableTable, WriteTransaction};
use tackmast_consensus::{DiskIdentity, Entry, LogSuffix, PersistentState, Write};
use tackmast_host_core::ConsensusStart;
use tackmast_wire::consensus::{decode_entry, encode_entry};
use tackmast_wire::reader::Fields;

/// Reads the consensus log. Returns `None` if the store has none. A row that can't be decoded is an error that names it.
pub(crate) fn read(transaction: &ReadTransaction) -> Result<Option<ConsensusStart>, StoreProblem> {
    let Ok(table) = transaction.open_table(LOG_STATE) else { return Ok(None) };
    let StoredIdentity { disk, boot } = read_row(&table, IDENTITY_KEY, decode_identity)?.unwrap_or_default();
    let snapshot = read_row(&table, SNAPSHOT_KEY, decode_snapshot)?.unwrap_or_default();
    let entries = read_entries(transaction, snapshot.last.index + 1)?;
    let persisted = PersistentState {
        hard_state: read_row(&table, HARD_STATE_KEY, decode_hard_state)?.unwrap_or_default(),
        snapshot,
        entries,
        confirmed_voters: read_row(&table, CONFIRMED_VOTERS_KEY, decode_voters)?,
        known_disks: read_row(&table, KNOWN_DISKS_KEY, decode_known_disks)?.unwrap_or_default(),
    };
    Ok(Some(ConsensusStart { identity: DiskIdentity { disk, boot, generation: 0 }, persisted }))
}

fn read_row<T>(
    table: &impl ReadableTable<&'static str, &'static [u8]>,
    key: &'static str,
    decode: impl Fn(&[u8]) -> Option<T>,
) -> Result<Option<T>, StoreProblem> {
    let Some(row) = table.get(key)? else { return Ok(None) };
    decode(row.value()).map(Some).ok_or(StoreProblem::LogState { key })
}

/// Returns all entries. Their indices must be consecutive and begin with `first_index`.
fn read_entries(transaction: &ReadTransaction, first_index: u64) -> Result<Vec<Entry>, StoreProblem> {
    let mut entries = Vec::new();
    let Ok(table) = transaction.open_table(LOG_ENTRIES) else { return Ok(entries) };
    for (index, row) in (first_index..).zip(table.iter()?) {
        let (key, value) = row?;
        if key.value() != index {
            return Err(StoreProblem::LogEntryIndex { found: key.value(), expected: index });
        }
        let mut fields = Fields(Bytes::copy_from_slice(value.value()));
        let entry = decode_entry(&mut fields).and_then(|entry| fields.end("entry").map(|()| entry));
        entries.push(entry.map_err(|source| StoreProblem::LogEntry { index, source })?);
    }
    Ok(entries)
}

/// Reads the log and increments the number of starts. If the disk has no id yet, its id is made from `random_id`.
pub(crate) fn open(
    database: &Database,
    random_id: u64,
    generation: u64,
) -> Result<ConsensusStart, StoreProblem> {
    let mut start = read(&database.begin_read()?)?.unwrap_or_default();
    let identity = &mut start.identity;
    if identity.disk == 0 {
        // An id of 0 would mean that the disk has none.
        identity.disk = random_id | 1;
    }
    identity.boot = identity.boot.saturating_add(1);
    identity.generation = generation;
    let stored = StoredIdentity { disk: identity.disk, boot: identity.boot };
    let transaction = database.begin_write()?;
    transaction.open_table(LOG_STATE)?.insert(IDENTITY_KEY, encode_identity(stored).as_slice())?;
    transaction.open_table(LOG_ENTRIES)?;
    transaction.commit()?;
    Ok(start)
}

/// Writes what the replica of the consensus group requested to the transaction, which the caller commits.
pub(crate) fn write(transaction: &WriteTransaction, log: &Write) -> Result<(), StoreProblem> {
    write_state(transaction, log)?;
    let mut entries = transaction.open_table(LOG_ENTRIES)?;
    if log.snapshot.is_some() {
        entries.retain(|_, _| false)?;
    }
    let Some(LogSuffix { first_index, entries: new_entries }) = &log.entries else { return Ok(()) };
    entries.retain_in(*first_index.., |_, _| false)?;
    for (index, entry) in (*first_index..).zip(new_entries) {
        let mut bytes = BytesMut::new();
        encode_entry(&mut bytes, entry);
        entries.insert(index, bytes.as_ref())?;
    }
    Ok(())
}

fn write_state(transaction: &WriteTransaction, log: &Write) -> Result<(), StoreProblem> {
    let mut table = transaction.open_table(LOG_STATE)?;
    if let Some(hard_state) = log.hard_state {
        table.insert(HARD_STATE_KEY, encode_hard_state(hard_state).as_slice())?;
    }
    if let Some(voters) = &log.confirmed_voters {
        table.insert(CONFIRMED_VOTERS_KEY, encode_voters(voters).as_slice())?;
    }
    if let Some(known_disks) = &log.known_disks {
        table.insert(KNOWN_DISKS_KEY, encode_known_disks(known_disks).as_slice())?;
    }
    if let Some(disk) = log.disk {
        let stored = table.get(IDENTITY_KEY)?.and_then(|row| decode_identity(row.value()));
        let boot = stored.map_or(1, |identity| identity.boot);
        table.insert(IDENTITY_KEY, encode_identity(StoredIdentity { disk, boot }).as_slice())?;
    }
    if let Some(snapshot) = &log.snapshot {
        table.insert(SNAPSHOT_KEY, encode_snapshot(snapshot).as_slice())?;
    }
    Ok(())
}
