//! Tests that a reopened store has what was written, and that a file that can't be used is rejected.

use std::fs;
use std::panic;
use tackmast_host_core::PersistBatch;
use tackmast_overrides::*;
use tackmast_store::{OpenedStore, Store, StoreError};

fn record(id: u64) -> Override {
    Override {
        id: OverrideId(id),
        target: format!("10.0.0.{id}:9000").parse().unwrap(),
        kind: Kind::OutOfService,
        reason: "disk errors".into(),
        who: "ann".into(),
        set_us: 1,
        ends_us: 2,
        origin: None,
    }
}

fn put(id: u64) -> PersistBatch {
    PersistBatch {
        put: vec![record(id)],
        remove: vec![],
        audits: vec![Audit::set(&record(id), false)],
        ..PersistBatch::default()
    }
}

/// Guards against overrides or audit lines that are lost in a restart of the host, and against a number that is given to two
/// overrides.
#[test]
fn a_reopened_store_has_what_was_written() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("o.redb");
    let OpenedStore { store, state } = Store::open(&path).unwrap();
    assert_eq!((state.overrides.len(), state.next_override_id), (0, 1));
    (1..=5).for_each(|id| store.write(&put(id)).unwrap());
    let removal = PersistBatch {
        put: vec![],
        remove: vec![OverrideId(5), OverrideId(2)],
        audits: vec![Audit::cleared(9, &record(2), "bob")],
        ..PersistBatch::default()
    };
    store.write(&removal).unwrap();
    drop(store);
    let OpenedStore { store, state } = Store::open(&path).unwrap();
    let ids: Vec<u64> = state.overrides.iter().map(|record| record.id.0).collect();
    assert_eq!((ids, state.next_override_id), (vec![1, 3, 4], 6), "no number is used twice");
    let audit = store.audit(2).unwrap();
    assert_eq!(
        (audit[0].kind, audit[1].kind, audit[1].who.as_str()),
        (AuditKind::Set, AuditKind::Cleared, "bob")
    );
    assert_eq!(store.audit(100).unwrap().len(), 6);
}

/// Covers a file that is open elsewhere, damaged, or of another program or format. The error must name the reason, and the
/// file must keep its length.
#[test]
fn a_store_that_is_in_use_damaged_or_foreign_is_rejected_and_keeps_its_length() {
    let dir = tempfile::tempdir().unwrap();
    let good = dir.path().join("good.redb");
    let OpenedStore { store, .. } = Store::open(&good).unwrap();
    store.write(&put(1)).unwrap();
    assert!(matches!(Store::open(&good), Err(StoreError::Unusable { .. })), "the store is open already");
    drop(store);
    let whole = fs::read(&good).unwrap();
    let foreign = dir.path().join("foreign.redb");
    {
        let db = redb::Database::create(&foreign).unwrap();
        let w = db.begin_write().unwrap();
        w.open_table(redb::TableDefinition::<u64, u64>::new("other")).unwrap();
        w.commit().unwrap();
    }
    let later = dir.path().join("later.redb");
    fs::write(&later, &whole).unwrap();
    {
        let db = redb::Database::open(&later).unwrap();
        let w = db.begin_write().unwrap();
        w.open_table(redb::TableDefinition::<&str, u64>::new("tackmast"))
            .unwrap()
            .insert("format", 2)
            .unwrap();
        w.commit().unwrap();
    }
    let write = |name: &str, bytes: &[u8]| {
        let path = dir.path().join(name);
        fs::write(&path, bytes).unwrap();
        path
    };
    let mut damaged_header = whole.clone();
    damaged_header[..512].fill(0xaa);
    let cases = [
        ("text", write("text", b"overrides: none\n"), ""),
        ("truncated", write("truncated", &whole[..whole.len() / 2]), ""),
        ("a damaged header", write("damaged-header", &damaged_header), ""),
        ("another program's", foreign, "another program's file"),
        ("a later format", later, "format 2"),
    ];
    let panic_hook = panic::take_hook();
    panic::set_hook(Box::new(|_| {}));
    for (name, path, problem) in cases {
        let before = fs::read(&path).unwrap();
        let Err(e) = Store::open(&path) else { panic!("{name}: opened") };
        let text = e.to_string();
        assert!(
            text.contains(problem) && text.contains("expected a tackmast store of format 1"),
            "{name}: {text}"
        );
        assert!(text.contains("move the file away"), "{name}: the advice");
        let has_same_len = fs::read(&path).unwrap().len() == before.len();
        assert!(has_same_len, "{name}: the length of the file");
    }
    panic::set_hook(panic_hook);
}

/// Covers a path in a missing directory, and a path that is a directory. The host must not start without its store.
#[test]
fn a_store_path_in_a_missing_directory_or_to_a_directory_is_rejected() {
    let dir = tempfile::tempdir().unwrap();
    let missing = dir.path().join("no/such/directory/o.redb");
    assert!(Store::open(&missing).is_err());
    assert!(Store::open(dir.path()).is_err(), "the path is a directory");
}
