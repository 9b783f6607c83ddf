//! Writes one update of a host in a transaction.

use crate::consensus_log;
use crate::error::StoreProblem;
use crate::tables::{AUDIT, CHANGES, GENERATION_KEY, MEMBERS, META, NEXT_OVERRIDE_KEY, OVERRIDES};
use redb::{ReadableTable, ReadableTableMetadata, WriteTransaction};
use tackmast_host_core::{KnownPeer, PersistBatch, PersistedMembers};
use tackmast_overrides::Audit;

/// Maximum number of lines in the audit log. The oldest lines are removed first.
const MAX_AUDIT_LINES: u64 = 100_000;

/// Writes all parts of the update to the transaction, which the caller commits.
pub(crate) fn write(transaction: &WriteTransaction, update: &PersistBatch) -> Result<(), StoreProblem> {
    write_overrides(transaction, update)?;
    write_changes(transaction, &update.changes)?;
    if let Some(members) = &update.members {
        write_members(transaction, members)?;
    }
    if let Some(log) = &update.consensus {
        consensus_log::write(transaction, log)?;
    }
    append_audit(transaction, &update.audits)
}

fn write_overrides(transaction: &WriteTransaction, update: &PersistBatch) -> Result<(), StoreProblem> {
    let mut overrides = transaction.open_table(OVERRIDES)?;
    let mut meta = transaction.open_table(META)?;
    let mut next = meta.get(NEXT_OVERRIDE_KEY)?.map_or(1, |row| row.value());
    for record in &update.put {
        let bytes = serde_json::to_vec(record).unwrap_or_default();
        overrides.insert(record.id.0, bytes.as_slice())?;
        next = next.max(record.id.0 + 1);
    }
    meta.insert(NEXT_OVERRIDE_KEY, next)?;
    for id in &update.remove {
        overrides.remove(id.0)?;
    }
    Ok(())
}

fn write_changes(transaction: &WriteTransaction, lines: &[(u64, Vec<u8>)]) -> Result<(), StoreProblem> {
    if lines.is_empty() {
        return Ok(());
    }
    let mut changes = transaction.open_table(CHANGES)?;
    for (number, line) in lines {
        changes.insert(number, line.as_slice())?;
    }
    Ok(())
}

fn write_members(transaction: &WriteTransaction, members: &PersistedMembers) -> Result<(), StoreProblem> {
    let mut meta = transaction.open_table(META)?;
    // A generation is taken from the wall clock, which may have been set back. Peers would treat a host with a lower
    // generation as an earlier process, so the highest generation is kept.
    let stored_generation = meta.get(GENERATION_KEY)?.map_or(0, |row| row.value());
    meta.insert(GENERATION_KEY, stored_generation.max(members.generation))?;
    let mut table = transaction.open_table(MEMBERS)?;
    table.retain(|_, _| false)?;
    for KnownPeer { slot, generation, address } in &members.peers {
        let mut bytes = generation.to_be_bytes().to_vec();
        bytes.extend_from_slice(address.to_string().as_bytes());
        table.insert(u64::from(*slot), bytes.as_slice())?;
    }
    Ok(())
}

fn append_audit(transaction: &WriteTransaction, lines: &[Audit]) -> Result<(), StoreProblem> {
    let mut audit = transaction.open_table(AUDIT)?;
    let first_number = audit.last()?.map_or(0, |(number, _)| number.value() + 1);
    for (number, line) in (first_number..).zip(lines) {
        let bytes = serde_json::to_vec(line).unwrap_or_default();
        audit.insert(number, bytes.as_slice())?;
    }
    let surplus = audit.len()?.saturating_sub(MAX_AUDIT_LINES);
    for _ in 0..surplus {
        audit.pop_first()?;
    }
    Ok(())
}
