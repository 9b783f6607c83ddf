//! Reads the contents of a store when it is opened.

use crate::consensus_log;
use crate::error::StoreProblem;
use crate::tables::{
    CHANGES, FORMAT, FORMAT_KEY, GENERATION_KEY, MEMBERS, META, NEXT_OVERRIDE_KEY, OVERRIDES,
};
use redb::{Database, ReadTransaction, ReadableTable};
use std::net::SocketAddr;
use tackmast_host_core::{ConsensusStart, KnownPeer, PersistedMembers};
use tackmast_overrides::Override;

/// The contents of a store when it was opened.
#[derive(Debug, Default, PartialEq)]
pub struct PersistedState {
    /// The overrides, ordered by number.
    pub overrides: Vec<Override>,
    /// The lowest number that was never given to an override.
    pub next_override_id: u64,
    /// All lines of the change log of plans, with the bytes that were written.
    pub change_log: Vec<u8>,
    /// The consensus log; `None` before it was first opened.
    pub consensus_log: Option<ConsensusStart>,
    /// The newest generation that was stored, and the peers that it knew.
    pub members: PersistedMembers,
}

/// Reads the contents of an open database, after a check of its format.
pub(crate) fn read(database: &Database) -> Result<PersistedState, StoreProblem> {
    let transaction = database.begin_read()?;
    check_format(&transaction)?;
    Ok(PersistedState {
        overrides: read_overrides(&transaction)?,
        change_log: read_change_log(&transaction)?,
        members: read_members(&transaction)?,
        consensus_log: consensus_log::read(&transaction)?,
        next_override_id: meta_number(&transaction, NEXT_OVERRIDE_KEY)?.unwrap_or(1),
    })
}

fn meta_number(transaction: &ReadTransaction, key: &str) -> Result<Option<u64>, StoreProblem> {
    let meta = transaction.open_table(META)?;
    Ok(meta.get(key)?.map(|row| row.value()))
}

fn check_format(transaction: &ReadTransaction) -> Result<(), StoreProblem> {
    if transaction.open_table(META).is_err() {
        return Err(StoreProblem::ForeignFile);
    }
    match meta_number(transaction, FORMAT_KEY)? {
        Some(FORMAT) => Ok(()),
        Some(other) => Err(StoreProblem::OtherFormat(other)),
        None => Err(StoreProblem::NoFormat),
    }
}

fn read_overrides(transaction: &ReadTransaction) -> Result<Vec<Override>, StoreProblem> {
    let table = transaction.open_table(OVERRIDES)?;
    let mut overrides = Vec::new();
    for row in table.iter()? {
        let (key, value) = row?;
        let parsed = serde_json::from_slice(value.value());
        overrides.push(parsed.map_err(|source| StoreProblem::Override { number: key.value(), source })?);
    }
    Ok(overrides)
}

/// Returns all lines of the change log. Stores of builds that had no change log lack its table.
fn read_change_log(transaction: &ReadTransaction) -> Result<Vec<u8>, StoreProblem> {
    let mut change_log = Vec::new();
    let Ok(table) = transaction.open_table(CHANGES) else { return Ok(change_log) };
    for (expected, row) in (0..).zip(table.iter()?) {
        let (key, line) = row?;
        if key.value() != expected {
            return Err(StoreProblem::ChangeNumber { found: key.value(), expected });
        }
        change_log.extend_from_slice(line.value());
    }
    Ok(change_log)
}

/// Returns the newest generation and its peers. Stores of builds that did not store peers lack their table.
fn read_members(transaction: &ReadTransaction) -> Result<PersistedMembers, StoreProblem> {
    let generation = meta_number(transaction, GENERATION_KEY)?.unwrap_or(0);
    let mut peers = Vec::new();
    if let Ok(table) = transaction.open_table(MEMBERS) {
        for row in table.iter()? {
            let (key, value) = row?;
            let slot = key.value();
            peers.push(decode_peer(slot, value.value()).ok_or(StoreProblem::Member { slot })?);
        }
    }
    Ok(PersistedMembers { generation, peers })
}

fn decode_peer(slot: u64, bytes: &[u8]) -> Option<KnownPeer> {
    let (generation, address) = bytes.split_first_chunk::<8>()?;
    let address: SocketAddr = std::str::from_utf8(address).ok()?.parse().ok()?;
    Some(KnownPeer { slot: slot as u32, generation: u64::from_be_bytes(*generation), address })
}
