//! The agreed log on disk: docs/agreement.md has its rows.

use crate::{AGREED, ENTRIES};
use bytes::{BufMut, Bytes, BytesMut};
use redb::{Database, ReadTransaction, ReadableTable, WriteTransaction};
use std::collections::BTreeMap;
use tackmast_consensus::{
    DiskIdentity, Entry, HardState, LogPosition, LogSuffix, PersistentState, Snapshot, Voters, Write,
};
use tackmast_host_core::ConsensusStart;
use tackmast_wire::consensus::{decode_entry, encode_entry};
use tackmast_wire::reader::Fields;

type Failed = Box<dyn std::error::Error>;

fn voters_bytes(v: &Voters) -> Vec<u8> {
    v.iter().flat_map(|(host, disk)| [&host.to_be_bytes()[..], &disk.to_be_bytes()].concat()).collect()
}

fn voters(bytes: &[u8]) -> Option<Voters> {
    let one = |c: &[u8]| {
        let (host, disk) = c.split_first_chunk::<4>()?;
        Some((u32::from_be_bytes(*host), u64::from_be_bytes(disk.try_into().ok()?)))
    };
    bytes.chunks(12).map(one).collect()
}

fn known_disks_bytes(known_disks: &BTreeMap<u32, DiskIdentity>) -> Vec<u8> {
    let mut out = BytesMut::new();
    for (host, o) in known_disks {
        out.put_u32(*host);
        out.put_u64(o.disk);
        out.put_u32(o.boot);
        out.put_u64(o.generation);
    }
    out.to_vec()
}

fn known_disks(bytes: &[u8]) -> Option<BTreeMap<u32, DiskIdentity>> {
    let mut f = Fields(Bytes::copy_from_slice(bytes));
    let mut all = BTreeMap::new();
    while !f.0.is_empty() {
        let host = f.u32("host").ok()?;
        let (disk, boot, generation) = (f.u64("disk").ok()?, f.u32("boot").ok()?, f.u64("life").ok()?);
        all.insert(host, DiskIdentity { disk, boot, generation });
    }
    Some(all)
}

fn hard_state_bytes(h: HardState) -> Vec<u8> {
    [&h.term.to_be_bytes()[..], &h.voted_for.unwrap_or(u32::MAX).to_be_bytes()].concat()
}

fn hard_state(bytes: &[u8]) -> Option<HardState> {
    let mut f = Fields(Bytes::copy_from_slice(bytes));
    let (term, voted_for) = (f.u64("term").ok()?, f.u32("vote").ok()?);
    Some(HardState { term, voted_for: Some(voted_for).filter(|v| *v != u32::MAX) })
}

fn snapshot_bytes(b: &Snapshot) -> Vec<u8> {
    let mut out = BytesMut::new();
    out.put_u64(b.log_id);
    out.put_u64(b.last.term);
    out.put_u64(b.last.index);
    let v = voters_bytes(&b.voters);
    out.put_u32(v.len() as u32);
    out.put_slice(&v);
    out.put_slice(&b.state);
    out.to_vec()
}

fn snapshot(bytes: &[u8]) -> Option<Snapshot> {
    let mut f = Fields(Bytes::copy_from_slice(bytes));
    let log_id = f.u64("log").ok()?;
    let last = LogPosition { term: f.u64("term").ok()?, index: f.u64("index").ok()? };
    let n = f.u32("voters").ok()? as usize;
    let voters = voters(&f.bytes("voters", n).ok()?)?;
    Some(Snapshot { log_id, last, voters, state: f.0 })
}

fn identity(bytes: &[u8]) -> Option<(u64, u32)> {
    let mut f = Fields(Bytes::copy_from_slice(bytes));
    Some((f.u64("disk").ok()?, f.u32("boot").ok()?))
}

/// None where the store has no agreed log. Any row that is not as it was written is an error that names it.
pub(crate) fn read(r: &ReadTransaction) -> Result<Option<ConsensusStart>, String> {
    let Ok(table) = r.open_table(AGREED) else { return Ok(None) };
    let row = |key: &str| -> Result<Option<Vec<u8>>, String> {
        Ok(table.get(key).map_err(|e| e.to_string())?.map(|v| v.value().to_vec()))
    };
    fn part<T>(
        bytes: Option<Vec<u8>>,
        key: &str,
        read: impl Fn(&[u8]) -> Option<T>,
    ) -> Result<Option<T>, String> {
        match bytes {
            None => Ok(None),
            Some(b) => read(&b).map(Some).ok_or_else(|| format!("agreed {key}: damaged")),
        }
    }
    let (disk, boot) = part(row("disk")?, "disk", identity)?.unwrap_or_default();
    let snapshot = part(row("base")?, "base", snapshot)?.unwrap_or_default();
    let mut entries: Vec<Entry> = Vec::new();
    if let Ok(rows) = r.open_table(ENTRIES) {
        for row in rows.iter().map_err(|e| e.to_string())? {
            let (key, value) = row.map_err(|e| e.to_string())?;
            let expected = snapshot.last.index + 1 + entries.len() as u64;
            if key.value() != expected {
                return Err(format!("agreed entry {}: expected {expected}", key.value()));
            }
            let mut f = Fields(Bytes::copy_from_slice(value.value()));
            let e = decode_entry(&mut f).and_then(|e| f.end("entry").map(|()| e));
            entries.push(e.map_err(|e| format!("agreed entry {expected}: {e}"))?);
        }
    }
    let persisted = PersistentState {
        hard_state: part(row("hard")?, "hard", hard_state)?.unwrap_or_default(),
        snapshot,
        entries,
        confirmed_voters: part(row("sealed")?, "sealed", voters)?,
        known_disks: part(row("known")?, "known", known_disks)?.unwrap_or_default(),
    };
    Ok(Some(ConsensusStart { identity: DiskIdentity { disk, boot, generation: 0 }, persisted }))
}

fn identity_bytes(disk: u64, boot: u32) -> Vec<u8> {
    [&disk.to_be_bytes()[..], &boot.to_be_bytes()].concat()
}

pub(crate) fn open(db: &Database, drawn: u64, generation: u64) -> Result<ConsensusStart, String> {
    let r = db.begin_read().map_err(|e| e.to_string())?;
    let mut start = read(&r)?.unwrap_or_default();
    if start.identity.disk == 0 {
        start.identity.disk = drawn | 1;
    }
    (start.identity.boot, start.identity.generation) = (start.identity.boot.saturating_add(1), generation);
    let write = || -> Result<(), Failed> {
        let w = db.begin_write()?;
        w.open_table(AGREED)?
            .insert("disk", identity_bytes(start.identity.disk, start.identity.boot).as_slice())?;
        w.open_table(ENTRIES)?;
        w.commit()?;
        Ok(())
    };
    write().map_err(|e| e.to_string())?;
    Ok(start)
}

pub(crate) fn write(w: &WriteTransaction, a: &Write) -> Result<(), Failed> {
    let mut rows = w.open_table(AGREED)?;
    if let Some(h) = a.hard_state {
        rows.insert("hard", hard_state_bytes(h).as_slice())?;
    }
    if let Some(s) = &a.confirmed_voters {
        rows.insert("sealed", voters_bytes(s).as_slice())?;
    }
    if let Some(k) = &a.known_disks {
        rows.insert("known", known_disks_bytes(k).as_slice())?;
    }
    if let Some(disk) = a.disk {
        let boot = rows.get("disk")?.and_then(|v| identity(v.value())).map_or(1, |(_, boot)| boot);
        rows.insert("disk", identity_bytes(disk, boot).as_slice())?;
    }
    let mut entries = w.open_table(ENTRIES)?;
    if let Some(b) = &a.snapshot {
        rows.insert("base", snapshot_bytes(b).as_slice())?;
        entries.retain(|_, _| false)?;
    }
    if let Some(LogSuffix { first_index, entries: new }) = &a.entries {
        entries.retain_in(*first_index.., |_, _| false)?;
        for (index, e) in (*first_index..).zip(new) {
            let mut out = BytesMut::new();
            encode_entry(&mut out, e);
            entries.insert(index, out.as_ref())?;
        }
    }
    Ok(())
}
