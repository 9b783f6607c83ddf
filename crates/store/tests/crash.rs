//! A cut between any two operations on the disk, and a disk that takes no more: what was acknowledged is there, and
//! nothing is there that was never asked for.

use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex};
use tackmast_consensus::{Entry, EntryPayload, HardState, LogPosition, LogSuffix, Snapshot, Voters, Write};
use tackmast_host_core::{KnownPeer, PersistBatch, PersistedMembers};
use tackmast_overrides::*;
use tackmast_store::Store;

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
        consensus: Some(Box::new(agreed(id))),
    }
}

/// Of the agreed log: its entry of that number, the term and vote of that number, and from the third on a state that the
/// first two were folded into.
fn agreed(id: u64) -> Write {
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

fn ids(held: &[Override]) -> Vec<u64> {
    held.iter().map(|o| o.id.0).collect()
}

/// After `keeps[i]` was acknowledged, these stand.
fn steps() -> (Vec<PersistBatch>, Vec<Vec<u64>>) {
    let keeps = vec![put(1), put(2), clear(1), put(3), put(4), clear(3), put(5)];
    let stand =
        vec![vec![], vec![1], vec![1, 2], vec![2], vec![2, 3], vec![2, 3, 4], vec![2, 4], vec![2, 4, 5]];
    (keeps, stand)
}

#[test]
fn a_cut_at_any_operation_loses_nothing_acknowledged_and_invents_nothing() {
    let (keeps, stand) = steps();
    let disk = Disk::default();
    let store = Store::on(disk.clone()).unwrap().0;
    let mut acknowledged = vec![disk.0.lock().unwrap().ops.len()];
    for k in &keeps {
        store.keep(k).unwrap();
        acknowledged.push(disk.0.lock().unwrap().ops.len());
    }
    let ops = disk.0.lock().unwrap().ops.clone();
    drop(store);
    let mut cuts = 0;
    for cut in acknowledged[0]..=ops.len() {
        // Done when the cut comes: all that was acknowledged by then; the one that was being written may be too.
        let done = acknowledged.iter().rposition(|n| *n <= cut).unwrap();
        let synced = ops[..cut].iter().rposition(|o| matches!(o, Op::Sync)).map_or(0, |i| i + 1);
        // The disk may have taken all that was written since the last sync, none of it, or every second operation.
        for taken in 0..3 {
            let mut bytes = Vec::new();
            for (i, op) in ops[..cut].iter().enumerate() {
                // The length is kept with the data that needs it, as a journalled file system does.
                let kept = i < synced || matches!(op, Op::Length(_));
                if kept || taken == 0 || (taken == 2 && i % 2 == 0) {
                    apply(&mut bytes, op);
                }
            }
            let disk = Disk(Arc::new(Mutex::new(Inner { bytes, ..Inner::default() })));
            let (store, held) = Store::on(disk).unwrap_or_else(|e| panic!("cut {cut}, taken {taken}: {e}"));
            let found = ids(&held.overrides);
            let allowed = [Some(&stand[done]), stand.get(done + 1)];
            assert!(
                allowed.contains(&Some(&found)),
                "cut {cut}, taken {taken}: {found:?}, acknowledged {:?}",
                stand[done]
            );
            assert!(store.audit(100).unwrap().len() >= done, "cut {cut}: the trail");
            // Changes of plans are written with the rest: one for each record that was ever put.
            let puts = |n: usize| keeps.iter().take(n).filter(|k| !k.put.is_empty()).count();
            let changes = held.trail.len() / 8;
            assert!(changes == puts(done) || changes == puts(done + 1), "cut {cut}: {changes} changes");
            assert!(held.trail.chunks(8).zip(1u8..).all(|(c, id)| c == [id; 8]), "cut {cut}: their order");
            // Who is known is of one generation, whole; and the generation's number is the last that was acknowledged, or the next.
            let generation = held.members.generation;
            assert_eq!(held.members.peers.len() as u64, generation, "cut {cut}: hosts of life {generation}");
            let generations = |n: usize| {
                keeps.iter().take(n).filter_map(|k| k.members.as_ref()).map(|m| m.generation).max()
            };
            let generations = [generations(done).unwrap_or(0), generations(done + 1).unwrap_or(0)];
            assert!(generations.contains(&generation), "cut {cut}: life {generation}");
            // Of the agreed log all of a write is there, or nothing: its term, its entries and what was folded.
            if let Some(a) = &held.agreed {
                let term = a.persisted.hard_state.term;
                assert!([puts(done) as u64, puts(done + 1) as u64].contains(&term), "cut {cut}: term {term}");
                let last = a.persisted.snapshot.last.index + a.persisted.entries.len() as u64;
                assert_eq!(
                    (last, a.persisted.snapshot.log_id),
                    (term, if term >= 3 { 7 } else { 0 }),
                    "cut {cut}"
                );
            } else {
                assert_eq!(puts(done), 0, "cut {cut}: no agreed log");
            }
            store.keep(&put(9)).unwrap();
            cuts += 1;
        }
    }
    assert!(cuts > 50, "{cuts} cuts");
}

#[test]
fn a_full_disk_is_told_of_and_what_it_refused_does_not_stand() {
    let (keeps, stand) = steps();
    let whole = Disk::default();
    let store = Store::on(whole.clone()).unwrap().0;
    let first = whole.0.lock().unwrap().ops.len();
    keeps.iter().for_each(|k| store.keep(k).unwrap());
    let last = whole.0.lock().unwrap().ops.len();
    for fails_from in first..last {
        let disk = Disk::default();
        let store = Store::on(disk.clone()).unwrap().0;
        disk.0.lock().unwrap().fails_from = Some(fails_from);
        let done = keeps.iter().take_while(|k| store.keep(k).is_ok()).count();
        assert!(done < keeps.len(), "from {fails_from} on nothing is taken");
        // The host is killed and started when there is room again.
        let bytes = disk.0.lock().unwrap().bytes.clone();
        std::mem::forget(store);
        let disk = Disk(Arc::new(Mutex::new(Inner { bytes, ..Inner::default() })));
        let (_, held) = Store::on(disk).unwrap();
        let found = ids(&held.overrides);
        // The one that failed may have reached the disk before its sync failed; its operator was told otherwise,
        // and sees it in the list.
        let allowed = [Some(&stand[done]), stand.get(done + 1)];
        assert!(allowed.contains(&Some(&found)), "from {fails_from}: {found:?} after {done}");
    }
}
