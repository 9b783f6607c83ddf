//! Overrides and their audit trail in an embedded store (redb). A write is one transaction, synced before it is
//! told of; what was told of is there after any crash, and nothing half-done is.

mod agreed;

use redb::{Database, ReadableTable, ReadableTableMetadata, TableDefinition};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tackmast_host_core::{KnownPeer, PersistBatch, PersistedMembers};
use tackmast_overrides::{Audit, Override};

/// Raised when what is written changes its form.
pub const FORMAT: u64 = 1;
/// Audit lines kept; the oldest go first.
const AUDITS: u64 = 100_000;

/// Of the agreed log: entries by place, and the rest by name.
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("agreed entries");
const AGREED: TableDefinition<&str, &[u8]> = TableDefinition::new("agreed");
const META: TableDefinition<&str, u64> = TableDefinition::new("tackmast");
const OVERRIDES: TableDefinition<u64, &[u8]> = TableDefinition::new("overrides");
const AUDIT: TableDefinition<u64, &[u8]> = TableDefinition::new("audit");
/// Changes of plans by number, each as a line of the trail; what it begins with is number 0.
const CHANGES: TableDefinition<u64, &[u8]> = TableDefinition::new("changes of plans");
/// Other hosts by number: eight bytes of their generation, and the text of their address.
const MEMBERS: TableDefinition<u64, &[u8]> = TableDefinition::new("members");

#[derive(Debug, thiserror::Error)]
pub enum KeepError {
    #[error("store {path}: {problem}; expected a tackmast store of format {FORMAT}. {way_on}")]
    Unusable { path: PathBuf, problem: String, way_on: &'static str },
    #[error("store {path}: {problem}")]
    Write { path: PathBuf, problem: String },
}

const MOVE_AWAY: &str =
    "Nothing was changed. To start without what it holds, move the file away; overrides then have to be set anew";

fn member(bytes: &[u8]) -> Option<(u64, SocketAddr)> {
    let (generation, address) = bytes.split_first_chunk::<8>()?;
    Some((u64::from_be_bytes(*generation), std::str::from_utf8(address).ok()?.parse().ok()?))
}

/// The open store of one host.
pub struct Store {
    db: Database,
    path: PathBuf,
}

/// What the store held when it was opened.
#[derive(Debug, Default, PartialEq)]
pub struct Held {
    pub overrides: Vec<Override>,
    /// Lowest number that no override ever had.
    pub next: u64,
    /// The trail of changes of plans, as it was written.
    pub trail: Vec<u8>,
    /// Of the agreed log; none before the first.
    pub agreed: Option<tackmast_host_core::ConsensusStart>,
    /// What an earlier generation knew of other hosts, and the number of that generation.
    pub members: PersistedMembers,
}

impl Store {
    /// Opens the store, or makes a new one where there is no file.
    pub fn open(path: &Path) -> Result<(Store, Held), KeepError> {
        let unusable =
            |problem: String| KeepError::Unusable { path: path.into(), problem, way_on: MOVE_AWAY };
        let is_new = match std::fs::metadata(path) {
            Ok(m) => m.len() == 0,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => true,
            Err(e) => return Err(unusable(e.to_string())),
        };
        // The library trusts a file's own lengths; a damaged one may make it panic, which is no way to say so.
        let opened = std::panic::catch_unwind(|| match is_new {
            true => Database::create(path).map_err(|e| e.to_string()),
            false => Database::open(path).map_err(|e| e.to_string()),
        });
        let db = opened.map_err(|_| unusable("damaged".into()))?.map_err(&unusable)?;
        let store = Store { db, path: path.into() };
        if is_new {
            store.prepare().map_err(|e| unusable(e.to_string()))?;
        }
        let held = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| store.held()));
        let held = held.map_err(|_| unusable("damaged".into()))?.map_err(unusable)?;
        Ok((store, held))
    }

    /// The same on any backend of the library, new where it is empty.
    pub fn on(backend: impl redb::StorageBackend) -> Result<(Store, Held), KeepError> {
        let path = PathBuf::from("memory");
        let unusable =
            |problem: String| KeepError::Unusable { path: "memory".into(), problem, way_on: MOVE_AWAY };
        let is_new = backend.len().map_err(|e| unusable(e.to_string()))? == 0;
        let db = Database::builder().create_with_backend(backend).map_err(|e| unusable(e.to_string()))?;
        let store = Store { db, path };
        if is_new {
            store.prepare().map_err(|e| unusable(e.to_string()))?;
        }
        let held = store.held().map_err(unusable)?;
        Ok((store, held))
    }

    fn prepare(&self) -> Result<(), Box<dyn std::error::Error>> {
        let w = self.db.begin_write()?;
        {
            let mut meta = w.open_table(META)?;
            meta.insert("format", FORMAT)?;
            meta.insert("next override", 1)?;
            w.open_table(OVERRIDES)?;
            w.open_table(AUDIT)?;
        }
        w.commit()?;
        Ok(())
    }

    fn held(&self) -> Result<Held, String> {
        let r = self.db.begin_read().map_err(|e| e.to_string())?;
        let meta = r.open_table(META).map_err(|_| "another program's file".to_owned())?;
        let number =
            |key: &str| Ok::<_, String>(meta.get(key).map_err(|e| e.to_string())?.map(|v| v.value()));
        match number("format")? {
            Some(FORMAT) => {}
            Some(other) => return Err(format!("format {other}")),
            None => return Err("no format".into()),
        }
        let table = r.open_table(OVERRIDES).map_err(|e| e.to_string())?;
        let mut overrides = Vec::new();
        for row in table.iter().map_err(|e| e.to_string())? {
            let (key, value) = row.map_err(|e| e.to_string())?;
            let o: Override = serde_json::from_slice(value.value())
                .map_err(|e| format!("override {}: {e}", key.value()))?;
            overrides.push(o);
        }
        let mut trail = Vec::new();
        // A store of before there were such changes has no table for them.
        if let Ok(table) = r.open_table(CHANGES) {
            for (n, row) in table.iter().map_err(|e| e.to_string())?.enumerate() {
                let (key, value) = row.map_err(|e| e.to_string())?;
                if key.value() != n as u64 {
                    return Err(format!("change of plans {}: expected {n}", key.value()));
                }
                trail.extend_from_slice(value.value());
            }
        }
        let mut members = PersistedMembers { generation: number("life")?.unwrap_or(0), peers: Vec::new() };
        if let Ok(table) = r.open_table(MEMBERS) {
            for row in table.iter().map_err(|e| e.to_string())? {
                let (key, value) = row.map_err(|e| e.to_string())?;
                let one = member(value.value()).ok_or_else(|| format!("member {}: damaged", key.value()))?;
                members.peers.push(KnownPeer { slot: key.value() as u32, generation: one.0, address: one.1 });
            }
        }
        let agreed = agreed::read(&r)?;
        Ok(Held { overrides, next: number("next override")?.unwrap_or(1), trail, agreed, members })
    }

    /// The agreed log is opened once more: its disk's mark, drawn where there was none, and how often it was. It is on the
    /// disk when this returns, and nothing may be said of the log before.
    pub fn open_agreed(
        &self,
        drawn: u64,
        generation: u64,
    ) -> Result<tackmast_host_core::ConsensusStart, KeepError> {
        let wrong = |problem: String| KeepError::Write { path: self.path.clone(), problem };
        agreed::open(&self.db, drawn, generation).map_err(wrong)
    }

    /// Writes all of it or nothing; it is on the disk when this returns.
    pub fn keep(&self, k: &PersistBatch) -> Result<(), KeepError> {
        self.try_keep(k).map_err(|problem| KeepError::Write { path: self.path.clone(), problem })
    }

    fn try_keep(&self, k: &PersistBatch) -> Result<(), String> {
        let w = self.db.begin_write().map_err(|e| e.to_string())?;
        let write = || -> Result<(), Box<dyn std::error::Error>> {
            let mut overrides = w.open_table(OVERRIDES)?;
            let mut meta = w.open_table(META)?;
            let mut next = meta.get("next override")?.map_or(1, |v| v.value());
            for o in &k.put {
                let bytes = serde_json::to_vec(o).unwrap_or_default();
                overrides.insert(o.id.0, bytes.as_slice())?;
                next = next.max(o.id.0 + 1);
            }
            meta.insert("next override", next)?;
            for id in &k.remove {
                overrides.remove(id.0)?;
            }
            if !k.changes.is_empty() {
                let mut changes = w.open_table(CHANGES)?;
                for (number, line) in &k.changes {
                    changes.insert(number, line.as_slice())?;
                }
            }
            if let Some(m) = &k.members {
                // A generation's number never goes back, whatever clock it was drawn from.
                let generation = meta.get("life")?.map_or(0, |v| v.value()).max(m.generation);
                meta.insert("life", generation)?;
                let mut members = w.open_table(MEMBERS)?;
                members.retain(|_, _| false)?;
                for KnownPeer { slot, generation, address } in &m.peers {
                    let mut bytes = generation.to_be_bytes().to_vec();
                    bytes.extend_from_slice(address.to_string().as_bytes());
                    members.insert(u64::from(*slot), bytes.as_slice())?;
                }
            }
            if let Some(a) = &k.consensus {
                agreed::write(&w, a)?;
            }
            let mut audit = w.open_table(AUDIT)?;
            let first = audit.last()?.map_or(0, |(n, _)| n.value() + 1);
            for (line, a) in (first..).zip(&k.audits) {
                let bytes = serde_json::to_vec(a).unwrap_or_default();
                audit.insert(line, bytes.as_slice())?;
            }
            let over = audit.len()?.saturating_sub(AUDITS);
            for _ in 0..over {
                audit.pop_first()?;
            }
            Ok(())
        };
        write().map_err(|e| e.to_string())?;
        w.commit().map_err(|e| e.to_string())
    }

    /// The last lines of the audit trail, oldest first.
    pub fn audit(&self, most: usize) -> Result<Vec<Audit>, KeepError> {
        let read = || -> Result<Vec<Audit>, String> {
            let r = self.db.begin_read().map_err(|e| e.to_string())?;
            let table = r.open_table(AUDIT).map_err(|e| e.to_string())?;
            let mut lines = Vec::new();
            for row in table.iter().map_err(|e| e.to_string())?.rev().take(most) {
                let (key, value) = row.map_err(|e| e.to_string())?;
                lines.push(
                    serde_json::from_slice(value.value())
                        .map_err(|e| format!("line {}: {e}", key.value()))?,
                );
            }
            lines.reverse();
            Ok(lines)
        };
        read().map_err(|problem| KeepError::Write { path: self.path.clone(), problem })
    }
}
