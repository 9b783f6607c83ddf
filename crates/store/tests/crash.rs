//! Tests a power loss after each operation on the disk, and a full disk: the store then has every acknowledged update, no
//! partial one, and none that was never written.

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

/// A disk in memory that records every operation, and can fail all operations from a given one on.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    bytes: Vec<u8>,
    ops: Vec<Op>,
    /// Number of the first operation that fails; `None`: no operation fails.
    fails_from: Option<usize>,
}

impl Inner {
    fn execute(&mut self, op: Op) -> io::Result<()> {
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
        self.0.lock().unwrap().execute(Op::Length(len))
    }
    fn sync_data(&self, _: bool) -> io::Result<()> {
        self.0.lock().unwrap().execute(Op::Sync)
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.lock().unwrap().execute(Op::Write(offset, data.to_vec()))
    }
}

fn record(id: u64) -> Override {
    Override {
        id: OverrideId(id),
        target: format!("zone:{id}").parse().unwrap(),
        kind: Kind::Weight(0.5),
        reason: "disk errors".into(),
        who: "ann".into(),
        set_us: id,
        ends_us: id + 1,
        origin: None,
    }
}

fn put(id: u64) -> PersistBatch {
    let changes = vec![(id - 1, vec![id as u8; 8])];
    // The generation is `id`, and it knows as many peers.
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

/// Returns a write to the consensus log in which the index of the entry, the term and the vote are `id`. The third write also
/// has a snapshot that replaces the first two entries.
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

/// Returns updates, and the ids of the overrides before the first update and after each of them.
fn updates_and_expected_ids() -> (Vec<PersistBatch>, Vec<Vec<u64>>) {
    let updates = vec![put(1), put(2), clear(1), put(3), put(4), clear(3), put(5)];
    let expected =
        vec![vec![], vec![1], vec![1, 2], vec![2], vec![2, 3], vec![2, 3, 4], vec![2, 4], vec![2, 4, 5]];
    (updates, expected)
}

/// Returns the contents of a disk that lost power after `cut` operations. Of the operations after the last sync, the disk
/// has all (`persisted` is 0), none (1) or every second one (2).
fn bytes_after_power_loss(ops: &[Op], cut: usize, persisted: usize) -> Vec<u8> {
    let synced = ops[..cut].iter().rposition(|op| matches!(op, Op::Sync)).map_or(0, |i| i + 1);
    let mut bytes = Vec::new();
    for (i, op) in ops[..cut].iter().enumerate() {
        // The disk always keeps the length with the data that needs it, as a journaling file system does.
        let is_kept = i < synced || matches!(op, Op::Length(_));
        if is_kept || persisted == 0 || (persisted == 2 && i % 2 == 0) {
            apply(&mut bytes, op);
        }
    }
    bytes
}

/// Checks that changes of plans, members and the consensus log are those after `done` writes or after one more.
fn assert_state(cut: usize, state: &PersistedState, updates: &[PersistBatch], done: usize) {
    // Each update that sets an override also writes one change of plans.
    let puts = |n: usize| updates.iter().take(n).filter(|update| !update.put.is_empty()).count();
    let changes = state.change_log.len() / 8;
    assert!(changes == puts(done) || changes == puts(done + 1), "cut {cut}: {changes} changes");
    assert!(
        state.change_log.chunks(8).zip(1u8..).all(|(c, id)| c == [id; 8]),
        "cut {cut}: the order of changes"
    );
    // A generation knows as many peers as its number, which is the last that was acknowledged or the next.
    let generation = state.members.generation;
    assert_eq!(state.members.peers.len() as u64, generation, "cut {cut}: peers of generation {generation}");
    let newest = |n: usize| {
        updates.iter().take(n).filter_map(|update| update.members.as_ref()).map(|m| m.generation).max()
    };
    let generations = [newest(done).unwrap_or(0), newest(done + 1).unwrap_or(0)];
    assert!(generations.contains(&generation), "cut {cut}: generation {generation}");
    assert_log(cut, state, [puts(done) as u64, puts(done + 1) as u64]);
}

/// Checks that the consensus log has all of a write or nothing: the term, the entries and the snapshot.
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

/// Covers a power loss after each operation of the disk. Every update that was acknowledged to an operator or a peer must
/// be there, and no partial update.
#[test]
fn a_power_loss_keeps_all_acknowledged_writes_and_no_partial_ones() {
    let (updates, expected) = updates_and_expected_ids();
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
        // Updates before the cut are acknowledged; the one that was being written may be stored as well.
        let done = acknowledged.iter().rposition(|n| *n <= cut).unwrap();
        for persisted in 0..3 {
            let bytes = bytes_after_power_loss(&ops, cut, persisted);
            let disk = Disk(Arc::new(Mutex::new(Inner { bytes, ..Inner::default() })));
            let opened = Store::open_backend(disk);
            let OpenedStore { store, state } =
                opened.unwrap_or_else(|e| panic!("cut {cut}, persisted {persisted}: {e}"));
            let found = ids(&state.overrides);
            let allowed = [Some(&expected[done]), expected.get(done + 1)];
            assert!(
                allowed.contains(&Some(&found)),
                "cut {cut}, persisted {persisted}: {found:?}, acknowledged {:?}",
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

/// Covers a disk that becomes full during a write. The operator must get an error, and the store must open again without a
/// partial update.
#[test]
fn a_write_to_a_full_disk_fails_and_stores_no_partial_update() {
    let (updates, expected) = updates_and_expected_ids();
    let reference_disk = Disk::default();
    let store = Store::open_backend(reference_disk.clone()).unwrap().store;
    let first = reference_disk.0.lock().unwrap().ops.len();
    updates.iter().for_each(|update| store.write(update).unwrap());
    let last = reference_disk.0.lock().unwrap().ops.len();
    for fails_from in first..last {
        let disk = Disk::default();
        let store = Store::open_backend(disk.clone()).unwrap().store;
        disk.0.lock().unwrap().fails_from = Some(fails_from);
        let done = updates.iter().take_while(|update| store.write(update).is_ok()).count();
        assert!(done < updates.len(), "all operations from {fails_from} on fail");
        // The host is killed, and restarts when there is space again.
        let bytes = disk.0.lock().unwrap().bytes.clone();
        std::mem::forget(store);
        let disk = Disk(Arc::new(Mutex::new(Inner { bytes, ..Inner::default() })));
        let OpenedStore { state, .. } = Store::open_backend(disk).unwrap();
        let found = ids(&state.overrides);
        // The update that failed may have reached the disk before its sync failed. Its operator got an error, and sees the
        // override in the list.
        let allowed = [Some(&expected[done]), expected.get(done + 1)];
        assert!(allowed.contains(&Some(&found)), "from {fails_from}: {found:?} after {done}");
    }
}
