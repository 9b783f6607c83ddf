//! A cut between any two operations on the disk, and a disk that takes no more: what was acknowledged is there, and
//! nothing is there that was never asked for.

use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex};
use tackmast_consensus::{
    Entry, EntryPayload, HardState, LogPosition, LogSuffix, PersistentState, Snapshot, Voters, Write,
};
use tackmast_host_core::{KnownPeer, PersistBatch, PersistedMembers};
use tackmast_overrides::*;
use tackmast_store::{OpenedStore, PersistedState, Store};

#[derive(Clone, Debug)]
enum Op {
    Write(u64, Vec<u8>),
    Length(u64),
    Sync,
}

/// A disk in memory that remembers every operation, and fails from some operation on.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    bytes: Vec<u8>,
    ops: Vec<Op>,
    fails_from: Option<usize>,
}

impl Inner {
    fn run(&mut self, op: Op) -> io::Result<()> {
        if self.fails_from.is_some_and(|n| self.ops.len() >= n) {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "no space left on device"));
        }
        apply(&mut self.bytes, &op);
        self.ops.push(op);
        Ok(())
    }
}

fn apply(bytes: &mut Vec<u8>, op: &Op) {
    match op {
        Op::Write(at, data) => bytes[*at as usize..*at as usize + data.len()].copy_from_slice(data),
        Op::Length(n) => bytes.resize(*n as usize, 0),
        Op::Sync => {}
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().bytes.len() as u64)
    }
    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        Ok(self.0.lock().unwrap().bytes[offset as usize..offset as usize + len].to_vec())
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        self.0.lock().unwrap().run(Op::Length(len))
    }
    fn sync_data(&self, _: bool) -> io::Result<()> {
        self.0.lock().unwrap().run(Op::Sync)
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.lock().unwrap().run(Op::Write(offset, data.to_vec()))
    }
}

fn record(id: u64) -> Override {
    Override {
        id: OverrideId(id),
        target: format!("zone:{id}").parse().unwrap(),
        kind: Kind::Weight(0.5),
        reason: "it smokes".into(),
        who: "ann".into(),
        set_us: id,
        ends_us: id + 1,
        origin: None,
    }
}

fn put(id: u64) -> PersistBatch {
    let changes = vec![(id - 1, vec![id as u8; 8])];
    // As many other hosts as the number says, under a generation of that number.
    let host = |h: u32| {
        let address = std::net::SocketAddr::from(([10, 0, 0, h as u8], 7400));
        KnownPeer { slot: h, generation: id, address }
    };
    let members = Some(PersistedMembers { generation: id, peers: (0..id as u32).map(host).collect() });
    let audits = vec![Audit::set(&record(id), false)];
    PersistBatch {
        put: vec![record(id)],
        remove: vec![],
        audits,
        changes,
        members,
        consensus: Some(Box::new(log_write(id))),
    }
}

/// Of the consensus log: the entry of that index, that term and vote, and from the third on a snapshot that stands for the
/// first two entries.
fn log_write(id: u64) -> Write {
    let hard_state = Some(HardState { term: id, voted_for: Some(id as u32) });
    let entry = Entry { term: id, payload: EntryPayload::Command(vec![id as u8; 3].into()) };
    let last = LogPosition { term: 2, index: 2 };
    let snapshot = Snapshot { log_id: 7, last, voters: Voters::from([(0, 9)]), state: vec![1, 2, 3].into() };
    let snapshot = (id == 3).then_some(snapshot);
    Write {
        write_id: id,
        hard_state,
        snapshot,
        entries: Some(LogSuffix { first_index: id, entries: vec![entry] }),
        ..Write::default()
    }
}

fn clear(id: u64) -> PersistBatch {
    let audits = vec![Audit::cleared(0, &record(id), "bob")];
    PersistBatch { remove: vec![OverrideId(id)], audits, ..PersistBatch::default() }
}

fn ids(overrides: &[Override]) -> Vec<u64> {
    overrides.iter().map(|record| record.id.0).collect()
}

/// Updates, and the overrides before the first and after each of them.
fn steps() -> (Vec<PersistBatch>, Vec<Vec<u64>>) {
    let updates = vec![put(1), put(2), clear(1), put(3), put(4), clear(3), put(5)];
    let expected =
        vec![vec![], vec![1], vec![1, 2], vec![2], vec![2, 3], vec![2, 3, 4], vec![2, 4], vec![2, 4, 5]];
    (updates, expected)
}

/// The bytes of a disk that was cut off after `cut` operations. It may have taken all that was written since the last sync
/// (`taken` 0), none of it (1), or every second operation (2).
fn bytes_after_cut(ops: &[Op], cut: usize, taken: usize) -> Vec<u8> {
    let synced = ops[..cut].iter().rposition(|op| matches!(op, Op::Sync)).map_or(0, |i| i + 1);
    let mut bytes = Vec::new();
    for (i, op) in ops[..cut].iter().enumerate() {
        // The length is kept with the data that needs it, as a journalled file system does.
        let kept = i < synced || matches!(op, Op::Length(_));
        if kept || taken == 0 || (taken == 2 && i % 2 == 0) {
            apply(&mut bytes, op);
        }
    }
    bytes
}

/// Overrides, changes of plans and members are those after `done` writes or the one after, each in whole.
fn assert_state(cut: usize, state: &PersistedState, updates: &[PersistBatch], done: usize) {
    // Changes of plans are written with the rest: one for each record that was ever put.
    let puts = |n: usize| updates.iter().take(n).filter(|k| !k.put.is_empty()).count();
    let changes = state.change_log.len() / 8;
    assert!(changes == puts(done) || changes == puts(done + 1), "cut {cut}: {changes} changes");
    assert!(state.change_log.chunks(8).zip(1u8..).all(|(c, id)| c == [id; 8]), "cut {cut}: their order");
    // The members are of one generation, whole; and its number is the last that was acknowledged, or the next.
    let generation = state.members.generation;
    assert_eq!(state.members.peers.len() as u64, generation, "cut {cut}: peers of generation {generation}");
    let newest =
        |n: usize| updates.iter().take(n).filter_map(|k| k.members.as_ref()).map(|m| m.generation).max();
    let generations = [newest(done).unwrap_or(0), newest(done + 1).unwrap_or(0)];
    assert!(generations.contains(&generation), "cut {cut}: generation {generation}");
    assert_log(cut, state, [puts(done) as u64, puts(done + 1) as u64]);
}

/// Of the consensus log all of a write is there, or nothing: its term, its entries and its snapshot.
fn assert_log(cut: usize, state: &PersistedState, terms: [u64; 2]) {
    let Some(log) = &state.consensus_log else {
        assert_eq!(terms[0], 0, "cut {cut}: no consensus log");
        return;
    };
    let PersistentState { hard_state, snapshot, entries, .. } = &log.persisted;
    assert!(terms.contains(&hard_state.term), "cut {cut}: term {}", hard_state.term);
    let last = snapshot.last.index + entries.len() as u64;
    let log_id = if hard_state.term >= 3 { 7 } else { 0 };
    assert_eq!((last, snapshot.log_id), (hard_state.term, log_id), "cut {cut}");
}

/// The host loses power at any operation of its disk. What was acknowledged to an operator or a peer must be there,
/// and nothing in part.
#[test]
fn after_a_cut_at_any_operation_all_acknowledged_writes_are_there_and_no_partial_ones() {
    let (updates, expected) = steps();
    let disk = Disk::default();
    let store = Store::open_backend(disk.clone()).unwrap().store;
    let mut acknowledged = vec![disk.0.lock().unwrap().ops.len()];
    for update in &updates {
        store.write(update).unwrap();
        acknowledged.push(disk.0.lock().unwrap().ops.len());
    }
    let ops = disk.0.lock().unwrap().ops.clone();
    drop(store);
    let mut cuts = 0;
    for cut in acknowledged[0]..=ops.len() {
        // Done when the cut comes: all that was acknowledged by then; the one that was being written may be too.
        let done = acknowledged.iter().rposition(|n| *n <= cut).unwrap();
        for taken in 0..3 {
            let bytes = bytes_after_cut(&ops, cut, taken);
            let disk = Disk(Arc::new(Mutex::new(Inner { bytes, ..Inner::default() })));
            let opened = Store::open_backend(disk);
            let OpenedStore { store, state } =
                opened.unwrap_or_else(|e| panic!("cut {cut}, taken {taken}: {e}"));
            let found = ids(&state.overrides);
            let allowed = [Some(&expected[done]), expected.get(done + 1)];
            assert!(
                allowed.contains(&Some(&found)),
                "cut {cut}, taken {taken}: {found:?}, acknowledged {:?}",
                expected[done]
            );
            assert!(store.audit(100).unwrap().len() >= done, "cut {cut}: the audit log");
            assert_state(cut, &state, &updates, done);
            store.write(&put(9)).unwrap();
            cuts += 1;
        }
    }
    assert!(cuts > 50, "{cuts} cuts");
}

/// The disk is full in the middle of a write. The operator must get an error, and the store must open again with
/// whole updates.
#[test]
fn a_write_to_a_full_disk_is_an_error_and_stores_nothing_in_part() {
    let (updates, expected) = steps();
    let whole = Disk::default();
    let store = Store::open_backend(whole.clone()).unwrap().store;
    let first = whole.0.lock().unwrap().ops.len();
    updates.iter().for_each(|k| store.write(k).unwrap());
    let last = whole.0.lock().unwrap().ops.len();
    for fails_from in first..last {
        let disk = Disk::default();
        let store = Store::open_backend(disk.clone()).unwrap().store;
        disk.0.lock().unwrap().fails_from = Some(fails_from);
        let done = updates.iter().take_while(|k| store.write(k).is_ok()).count();
        assert!(done < updates.len(), "from {fails_from} on nothing is taken");
        // The host is killed and started when there is space again.
        let bytes = disk.0.lock().unwrap().bytes.clone();
        std::mem::forget(store);
        let disk = Disk(Arc::new(Mutex::new(Inner { bytes, ..Inner::default() })));
        let OpenedStore { state, .. } = Store::open_backend(disk).unwrap();
        let found = ids(&state.overrides);
        // The one that failed may have reached the disk before its sync failed; its operator got an error,
        // and sees it in the list.
        let allowed = [Some(&expected[done]), expected.get(done + 1)];
        assert!(allowed.contains(&Some(&found)), "from {fails_from}: {found:?} after {done}");
    }
}
