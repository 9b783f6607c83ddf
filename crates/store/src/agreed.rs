//! The agreed log on disk: docs/agreement.md has its rows.

use crate::{AGREED, ENTRIES};
use bytes::{BufMut, Bytes, BytesMut};
use redb::{Database, ReadTransaction, ReadableTable, WriteTransaction};
use std::collections::BTreeMap;
use tackmast_consensus::{Base, Entry, Hard, Held, Mark, Origin, Voters, Write};
use tackmast_host_core::AgreedStart;
use tackmast_wire::agree::{entry, put_entry};
use tackmast_wire::reader::Fields;

type Failed = Box<dyn std::error::Error>;

fn voters_bytes(v: &Voters) -> Vec<u8> {
    v.iter().flat_map(|(slot, disk)| [&slot.to_be_bytes()[..], &disk.to_be_bytes()].concat()).collect()
}

fn voters(bytes: &[u8]) -> Option<Voters> {
    let one = |c: &[u8]| {
        let (slot, disk) = c.split_first_chunk::<4>()?;
        Some((u32::from_be_bytes(*slot), u64::from_be_bytes(disk.try_into().ok()?)))
    };
    bytes.chunks(12).map(one).collect()
}

fn known_bytes(known: &BTreeMap<u32, Origin>) -> Vec<u8> {
    let mut out = BytesMut::new();
    for (slot, o) in known {
        out.put_u32(*slot);
        out.put_u64(o.disk);
        out.put_u32(o.boot);
        out.put_u64(o.generation);
    }
    out.to_vec()
}

fn known(bytes: &[u8]) -> Option<BTreeMap<u32, Origin>> {
    let mut f = Fields(Bytes::copy_from_slice(bytes));
    let mut all = BTreeMap::new();
    while !f.0.is_empty() {
        let slot = f.u32("host").ok()?;
        let (disk, boot, generation) = (f.u64("disk").ok()?, f.u32("boot").ok()?, f.u64("life").ok()?);
        all.insert(slot, Origin { disk, boot, generation });
    }
    Some(all)
}

fn hard_bytes(h: Hard) -> Vec<u8> {
    [&h.term.to_be_bytes()[..], &h.vote.unwrap_or(u32::MAX).to_be_bytes()].concat()
}

fn hard(bytes: &[u8]) -> Option<Hard> {
    let mut f = Fields(Bytes::copy_from_slice(bytes));
    let (term, vote) = (f.u64("term").ok()?, f.u32("vote").ok()?);
    Some(Hard { term, vote: Some(vote).filter(|v| *v != u32::MAX) })
}

fn base_bytes(b: &Base) -> Vec<u8> {
    let mut out = BytesMut::new();
    out.put_u64(b.id);
    out.put_u64(b.last.term);
    out.put_u64(b.last.index);
    let v = voters_bytes(&b.voters);
    out.put_u32(v.len() as u32);
    out.put_slice(&v);
    out.put_slice(&b.state);
    out.to_vec()
}

fn base(bytes: &[u8]) -> Option<Base> {
    let mut f = Fields(Bytes::copy_from_slice(bytes));
    let id = f.u64("log").ok()?;
    let last = Mark { term: f.u64("term").ok()?, index: f.u64("index").ok()? };
    let n = f.u32("voters").ok()? as usize;
    let voters = voters(&f.bytes("voters", n).ok()?)?;
    Some(Base { id, last, voters, state: f.0 })
}

fn origin(bytes: &[u8]) -> Option<(u64, u32)> {
    let mut f = Fields(Bytes::copy_from_slice(bytes));
    Some((f.u64("disk").ok()?, f.u32("boot").ok()?))
}

/// None where the store has no agreed log. Any row that is not as it was written is an error that names it.
pub(crate) fn read(r: &ReadTransaction) -> Result<Option<AgreedStart>, String> {
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
    let (disk, boot) = part(row("disk")?, "disk", origin)?.unwrap_or_default();
    let base = part(row("base")?, "base", base)?.unwrap_or_default();
    let mut entries: Vec<Entry> = Vec::new();
    if let Ok(rows) = r.open_table(ENTRIES) {
        for row in rows.iter().map_err(|e| e.to_string())? {
            let (key, value) = row.map_err(|e| e.to_string())?;
            let expected = base.last.index + 1 + entries.len() as u64;
            if key.value() != expected {
                return Err(format!("agreed entry {}: expected {expected}", key.value()));
            }
            let mut f = Fields(Bytes::copy_from_slice(value.value()));
            let e = entry(&mut f).and_then(|e| f.end("entry").map(|()| e));
            entries.push(e.map_err(|e| format!("agreed entry {expected}: {e}"))?);
        }
    }
    let held = Held {
        hard: part(row("hard")?, "hard", hard)?.unwrap_or_default(),
        base,
        entries,
        sealed: part(row("sealed")?, "sealed", voters)?,
        known: part(row("known")?, "known", known)?.unwrap_or_default(),
    };
    Ok(Some(AgreedStart { of: Origin { disk, boot, generation: 0 }, held }))
}

fn origin_bytes(disk: u64, boot: u32) -> Vec<u8> {
    [&disk.to_be_bytes()[..], &boot.to_be_bytes()].concat()
}

pub(crate) fn open(db: &Database, drawn: u64, generation: u64) -> Result<AgreedStart, String> {
    let r = db.begin_read().map_err(|e| e.to_string())?;
    let mut start = read(&r)?.unwrap_or_default();
    if start.of.disk == 0 {
        start.of.disk = drawn | 1;
    }
    (start.of.boot, start.of.generation) = (start.of.boot.saturating_add(1), generation);
    let write = || -> Result<(), Failed> {
        let w = db.begin_write()?;
        w.open_table(AGREED)?.insert("disk", origin_bytes(start.of.disk, start.of.boot).as_slice())?;
        w.open_table(ENTRIES)?;
        w.commit()?;
        Ok(())
    };
    write().map_err(|e| e.to_string())?;
    Ok(start)
}

pub(crate) fn write(w: &WriteTransaction, a: &Write) -> Result<(), Failed> {
    let mut rows = w.open_table(AGREED)?;
    if let Some(h) = a.hard {
        rows.insert("hard", hard_bytes(h).as_slice())?;
    }
    if let Some(s) = &a.sealed {
        rows.insert("sealed", voters_bytes(s).as_slice())?;
    }
    if let Some(k) = &a.known {
        rows.insert("known", known_bytes(k).as_slice())?;
    }
    if let Some(disk) = a.disk {
        let boot = rows.get("disk")?.and_then(|v| origin(v.value())).map_or(1, |(_, boot)| boot);
        rows.insert("disk", origin_bytes(disk, boot).as_slice())?;
    }
    let mut entries = w.open_table(ENTRIES)?;
    if let Some(b) = &a.base {
        rows.insert("base", base_bytes(b).as_slice())?;
        entries.retain(|_, _| false)?;
    }
    if let Some((from, new)) = &a.entries {
        entries.retain_in(*from.., |_, _| false)?;
        for (index, e) in (*from..).zip(new) {
            let mut out = BytesMut::new();
            put_entry(&mut out, e);
            entries.insert(index, out.as_ref())?;
        }
    }
    Ok(())
}
