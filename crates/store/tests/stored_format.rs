//! Guards the format of a host's store: a file that an earlier build wrote must open and have exactly what was written,
//! down to the bytes of each row.
//!
//! `fixtures/store.runs` is such a file, as run-length encoded hex. The test `write_fixture` writes it, if the environment
//! variable that `WRITE_FIXTURE` names is set. Only a new `FORMAT` needs a new fixture, which is then added beside the old
//! one: hosts have stores of the old format.

use redb::{ReadableTable, TableDefinition};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tackmast_consensus::{
    DiskIdentity, Entry, EntryPayload, HardState, LogPosition, LogSuffix, PersistentState, Snapshot, Voters,
    Write,
};
use tackmast_host_core::{ConsensusStart, KnownPeer, PersistBatch, PersistedMembers};
use tackmast_overrides::{Audit, AuditKind, Kind, Origin, Override, OverrideId, Target};
use tackmast_store::{OpenedStore, PersistedState, Store};

const WRITE_FIXTURE: &str = "TACKMAST_WRITE_FIXTURE";
/// Bytes in a row of the encoded file.
const ROW_BYTES: usize = 32;
const CHANGE_LOG: [&str; 3] = ["{\"number\":0}\n", "{\"number\":1}\n", "{\"number\":2}\n"];
const SET_US: u64 = 1_700_000_000_000_000;
const HOUR_US: u64 = 3_600_000_000;

fn fixture_path() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/store.runs")
}

/// Returns the path of the fixture's rows as text, in which a reviewer can read a change.
fn rows_path() -> PathBuf {
    fixture_path().with_file_name("store_rows.txt")
}

/// Encodes bytes as lines of `COUNT HEX`: the number of equal rows that follow each other, and the bytes of one. Most rows
/// of the file are all 00 or all ff.
fn encode_runs(bytes: &[u8]) -> String {
    let rows: Vec<&[u8]> = bytes.chunks(ROW_BYTES).collect();
    let line = |run: &[&[u8]]| {
        let hex: String = run[0].iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{} {hex}\n", run.len())
    };
    rows.chunk_by(|a, b| a == b).map(line).collect()
}

fn decode_runs(text: &str) -> Vec<u8> {
    let byte = |digits: &[u8]| u8::from_str_radix(std::str::from_utf8(digits).unwrap(), 16).unwrap();
    let run = |line: &str| {
        let (count, hex) = line.split_once(' ').unwrap();
        let row: Vec<u8> = hex.as_bytes().chunks(2).map(byte).collect();
        row.repeat(count.parse().unwrap())
    };
    text.lines().flat_map(run).collect()
}

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn override_record(id: u64, target: &str, kind: Kind, origin: Option<Origin>) -> Override {
    let target: Target = target.parse().unwrap();
    let (reason, who) = ("disk \"smokes\"".to_owned(), "ann".to_owned());
    Override {
        id: OverrideId(id),
        target,
        kind,
        reason,
        who,
        set_us: SET_US,
        ends_us: SET_US + HOUR_US,
        origin,
    }
}

fn all_overrides() -> Vec<Override> {
    let origin = Origin { slot: 2, generation: 77, number: 9 };
    vec![
        override_record(1, "10.0.0.1:9000", Kind::OutOfService, None),
        override_record(2, "10.1.0.0/16", Kind::Weight(0.25), Some(origin)),
        override_record(3, "shard:4", Kind::Pinned, None),
        override_record(4, "zone:0", Kind::OutOfService, None),
        override_record(5, "[::1]:9003", Kind::Weight(1.0), None),
    ]
}

fn data(term: u64, text: &'static [u8]) -> Entry {
    Entry { term, payload: EntryPayload::Command(text.into()) }
}

fn voters(disks: &[(u32, u64)]) -> Voters {
    disks.iter().copied().collect()
}

fn snapshot() -> Snapshot {
    Snapshot {
        log_id: 0xfeed_beef,
        last: LogPosition { term: 3, index: 40 },
        voters: voters(&[(0, 11), (1, 22), (4, 33)]),
        state: b"state of 40".as_slice().into(),
    }
}

fn known_disks() -> BTreeMap<u32, DiskIdentity> {
    [
        (1, DiskIdentity { disk: 22, boot: 6, generation: 1_000_001 }),
        (4, DiskIdentity { disk: 33, boot: 1, generation: 1_000_002 }),
    ]
    .into()
}

fn peers() -> Vec<KnownPeer> {
    let peers = [(1, 1_000_001, address("10.9.0.1:7000")), (4, 1_000_002, address("[fd00::4]:7000"))];
    peers.map(|(slot, generation, address)| KnownPeer { slot, generation, address }).to_vec()
}

/// Writes a store in several updates, as a host does: rows of each table, some of them removed or overwritten later.
fn write_store(path: &Path) {
    let OpenedStore { store, .. } = Store::open(path).unwrap();
    let overrides = all_overrides();
    for record in &overrides {
        let audits = vec![Audit::set(record, record.id.0 == 4)];
        store.write(&PersistBatch { put: vec![record.clone()], audits, ..PersistBatch::default() }).unwrap();
    }
    let audits = vec![
        Audit::cleared(SET_US + 1, &overrides[3], "bob"),
        Audit {
            at_us: SET_US + 2,
            kind: AuditKind::Forced,
            id: None,
            who: "eve".into(),
            what: "alone".into(),
        },
    ];
    store
        .write(&PersistBatch {
            remove: vec![OverrideId(4), OverrideId(5)],
            audits,
            ..PersistBatch::default()
        })
        .unwrap();
    let changes = (0..).zip(CHANGE_LOG).map(|(number, line)| (number, line.as_bytes().to_vec())).collect();
    store.write(&PersistBatch { changes, ..PersistBatch::default() }).unwrap();
    let members = Some(PersistedMembers { generation: 5_000_000, peers: peers() });
    store.write(&PersistBatch { members, ..PersistBatch::default() }).unwrap();

    store.open_consensus_log(0xabc0, 5_000_000).unwrap();
    let first = Write {
        hard_state: Some(HardState { term: 2, voted_for: None }),
        entries: Some(LogSuffix {
            first_index: 1,
            entries: vec![Entry { term: 1, payload: EntryPayload::Noop }, data(1, b"folded")],
        }),
        confirmed_voters: Some(voters(&[(0, 11), (1, 22)])),
        ..Write::default()
    };
    let compacted = Write {
        hard_state: Some(HardState { term: 4, voted_for: Some(1) }),
        snapshot: Some(snapshot()),
        entries: Some(LogSuffix {
            first_index: 41,
            entries: vec![data(3, b"kept"), data(3, b"cut"), data(3, b"cut")],
        }),
        known_disks: Some(known_disks()),
        ..Write::default()
    };
    let replaced = Write {
        entries: Some(LogSuffix {
            first_index: 42,
            entries: vec![Entry { term: 4, payload: EntryPayload::Noop }, data(4, b"new"), voters_entry()],
        }),
        ..Write::default()
    };
    for write in [first, compacted, replaced] {
        store.write(&PersistBatch { consensus: Some(Box::new(write)), ..PersistBatch::default() }).unwrap();
    }
}

fn voters_entry() -> Entry {
    Entry { term: 4, payload: EntryPayload::Voters(voters(&[(0, 11), (4, 33)])) }
}

/// Writes the fixture if the environment variable is set; otherwise does nothing.
#[test]
fn write_fixture() {
    if std::env::var_os(WRITE_FIXTURE).is_none() {
        return;
    }
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("store.redb");
    write_store(&path);
    let mut database = redb::Database::open(&path).unwrap();
    database.compact().unwrap();
    drop(database);
    std::fs::write(fixture_path(), encode_runs(&std::fs::read(&path).unwrap())).unwrap();
    std::fs::write(rows_path(), dump(&path).join("\n") + "\n").unwrap();
}

/// Returns a copy of the fixture in a temporary directory, which is removed when its handle is dropped.
fn copy_of_fixture() -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("store.redb");
    let text = std::fs::read_to_string(fixture_path()).unwrap();
    std::fs::write(&path, decode_runs(&text)).unwrap();
    (folder, path)
}

fn expected_log(boot: u32, generation: u64) -> ConsensusStart {
    let entries = vec![
        data(3, b"kept"),
        Entry { term: 4, payload: EntryPayload::Noop },
        data(4, b"new"),
        voters_entry(),
    ];
    ConsensusStart {
        identity: DiskIdentity { disk: 0xabc1, boot, generation },
        persisted: PersistentState {
            hard_state: HardState { term: 4, voted_for: Some(1) },
            snapshot: snapshot(),
            entries,
            confirmed_voters: Some(voters(&[(0, 11), (1, 22)])),
            known_disks: known_disks(),
        },
    }
}

/// Guards against a stored key that changes with a Rust name: after an upgrade a host would start without its overrides, plans
/// or consensus log.
#[test]
fn a_store_of_an_earlier_build_is_read() {
    let (_folder, path) = copy_of_fixture();
    let OpenedStore { store: _store, state } = Store::open(&path).unwrap();
    let expected = PersistedState {
        overrides: all_overrides()[..3].to_vec(),
        next_override_id: 6,
        change_log: CHANGE_LOG.concat().into_bytes(),
        consensus_log: Some(expected_log(1, 0)),
        members: PersistedMembers { generation: 5_000_000, peers: peers() },
    };
    assert_eq!(state, expected);
}

/// Guards the audit log in the same way; operators read its lines long after they were written.
#[test]
fn an_audit_log_of_an_earlier_build_is_read() {
    let (_folder, path) = copy_of_fixture();
    let OpenedStore { store, .. } = Store::open(&path).unwrap();
    let line = |at_us, kind, id: Option<u64>, who: &str, what: &str| Audit {
        at_us,
        kind,
        id: id.map(OverrideId),
        who: who.into(),
        what: what.into(),
    };
    let set = |id, what| line(SET_US, AuditKind::Set, Some(id), "ann", what);
    let expected = vec![
        set(1, "10.0.0.1:9000 out of service: disk \"smokes\" (set by ann)"),
        set(2, "10.1.0.0/16 weight 0.25: disk \"smokes\" (set by ann)"),
        set(3, "shard:4 pinned in service: disk \"smokes\" (set by ann)"),
        set(4, "zone:0 out of service: disk \"smokes\" (set by ann), forced"),
        set(5, "[::1]:9003 weight 1: disk \"smokes\" (set by ann)"),
        line(
            SET_US + 1,
            AuditKind::Cleared,
            Some(4),
            "bob",
            "zone:0 out of service: disk \"smokes\" (set by ann)",
        ),
        line(SET_US + 2, AuditKind::Forced, None, "eve", "alone"),
    ];
    assert_eq!(store.audit(100).unwrap(), expected);
}

/// Covers a host of this build that writes to the store of an earlier one. The store must have the rows of both.
#[test]
fn a_store_of_an_earlier_build_can_be_written() {
    let (_folder, path) = copy_of_fixture();
    let OpenedStore { store, .. } = Store::open(&path).unwrap();
    assert_eq!(store.open_consensus_log(0xdead, 6_000_000).unwrap(), expected_log(2, 6_000_000));
    let added = override_record(6, "zone:9", Kind::Pinned, None);
    let audits = vec![Audit::set(&added, false)];
    store.write(&PersistBatch { put: vec![added.clone()], audits, ..PersistBatch::default() }).unwrap();
    assert_eq!(store.audit(100).unwrap().len(), 8);
    drop(store);
    let OpenedStore { store: _store, state } = Store::open(&path).unwrap();
    assert_eq!((state.overrides.last(), state.next_override_id), (Some(&added), 7));
    assert_eq!(state.consensus_log, Some(expected_log(2, 0)));
}

/// Returns all rows of all tables as `TABLE KEY: VALUE`. Binary values are in hex, others are the number or the JSON text.
fn dump(path: &Path) -> Vec<String> {
    let numbers = TableDefinition::<&str, u64>::new("tackmast");
    let named = TableDefinition::<&str, &[u8]>::new("agreed");
    let value_text = |bytes: &[u8]| match std::str::from_utf8(bytes) {
        Ok(text) if text.starts_with('{') => text.trim_end().to_owned(),
        _ => bytes.iter().map(|byte| format!("{byte:02x}")).collect(),
    };
    let database = redb::Database::open(path).unwrap();
    let read = database.begin_read().unwrap();
    let mut rows = Vec::new();
    for row in read.open_table(numbers).unwrap().iter().unwrap() {
        let (key, value) = row.unwrap();
        rows.push(format!("tackmast {}: {}", key.value(), value.value()));
    }
    for row in read.open_table(named).unwrap().iter().unwrap() {
        let (key, value) = row.unwrap();
        rows.push(format!("agreed {}: {}", key.value(), value_text(value.value())));
    }
    for name in ["agreed entries", "overrides", "audit", "changes of plans", "members"] {
        let table = TableDefinition::<u64, &[u8]>::new(name);
        for row in read.open_table(table).unwrap().iter().unwrap() {
            let (key, value) = row.unwrap();
            rows.push(format!("{name} {}: {}", key.value(), value_text(value.value())));
        }
    }
    let mut tables: Vec<String> =
        read.list_tables().unwrap().map(|table| redb::TableHandle::name(&table).to_owned()).collect();
    tables.sort_unstable();
    rows.push(format!("tables: {}", tables.join(", ")));
    rows
}

/// Guards a downgrade to the earlier build, which must find the rows that it knows, byte for byte.
#[test]
fn a_store_that_this_build_writes_has_the_rows_of_an_earlier_build() {
    let (folder, earlier) = copy_of_fixture();
    let written_now = folder.path().join("written-now.redb");
    write_store(&written_now);
    assert_eq!(dump(&written_now), dump(&earlier));
    let expected = std::fs::read_to_string(rows_path()).unwrap();
    assert_eq!(dump(&earlier), expected.lines().collect::<Vec<_>>());
}
