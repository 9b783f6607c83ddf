//! Tests of positions, configurations and memory bounds after truncation and compaction.

use super::*;

fn command(term: u64, byte: u8) -> Entry {
    Entry { term, payload: EntryPayload::Command(Bytes::from(vec![byte])) }
}

fn voters(disk: u64) -> Voters {
    Voters::from([(0, disk)])
}

fn configuration(index: u64, voters: &Voters) -> Configuration<'_> {
    Configuration { index, voters }
}

/// A log is truncated, as on conflict with a new leader, and compacted, as after a snapshot. Positions and voters must
/// be those of the remaining entries. Otherwise votes and appends would be decided by entries that were removed.
#[test]
fn positions_terms_and_voters_follow_truncation_and_compaction() {
    let last = LogPosition { term: 1, index: 10 };
    let snapshot = Snapshot { log_id: 3, last, voters: voters(1), state: Bytes::new() };
    let mut log = Log::new(snapshot, vec![command(1, 11), command(2, 12)]);
    assert_eq!(log.last(), LogPosition { term: 2, index: 12 });
    assert_eq!(log.position_at(10).map(|position| position.term), Some(1));
    assert_eq!(log.push(Entry { term: 3, payload: EntryPayload::Voters(voters(2)) }), 13);
    log.push(command(3, 14));
    assert_eq!(log.configuration(), configuration(13, &voters(2)));
    // Truncation restores the configuration before the removed entry.
    log.truncate_from(13);
    assert_eq!((log.configuration(), log.last().index), (configuration(10, &voters(1)), 12));
    log.push(Entry { term: 4, payload: EntryPayload::Voters(voters(3)) });
    log.push(command(4, 14));
    assert!(log.compact(13, Bytes::from_static(b"s")));
    assert!(!log.compact(13, Bytes::new()) && !log.compact(99, Bytes::new()));
    assert_eq!(log.snapshot().last, LogPosition { term: 4, index: 13 });
    assert_eq!(log.configuration(), configuration(13, &voters(3)));
    // Entries that the snapshot covers are still sent to followers that are slightly behind, and cannot be truncated.
    assert_eq!(log.entries_from(11, 2, 100).len(), 2);
    log.truncate_from(5);
    assert_eq!((log.last().index, log.get(14)), (13, None));
    log.restore(Snapshot { last: LogPosition { term: 9, index: 40 }, ..Snapshot::default() });
    assert_eq!((log.last().index, log.get(13)), (40, None));
    assert_eq!(log.position_at(40).map(|position| position.term), Some(9));
}

/// A snapshot covers thousands of small entries, or a few of one megabyte. Entries that stay for followers that are
/// slightly behind must not exceed the bounds on their number and size.
#[test]
fn retained_entries_that_the_snapshot_covers_are_bounded() {
    let mut log = Log::default();
    for number in 0..5_000u64 {
        log.push(command(1, number as u8));
    }
    assert!(log.compact(4_990, Bytes::new()));
    assert_eq!(log.entries_from(4_000, 10_000, 1 << 30).len(), 1_001);
    assert!(log.entries_from(3_900, 10, 1 << 30).is_empty());
    let large = Entry { term: 2, payload: EntryPayload::Command(Bytes::from(vec![0; 1 << 20])) };
    (0..6).for_each(|_| _ = log.push(large.clone()));
    assert!(log.compact(log.last().index, Bytes::new()));
    assert!(log.bytes <= MAX_RETAINED_BYTES);
}

/// A follower's log conflicts with the leader's, or is shorter. The hint must skip all entries of the conflicting term,
/// but never go below the commit index, as committed entries match.
#[test]
fn conflict_hint_skips_the_conflicting_term_but_no_committed_entry() {
    let last = LogPosition { term: 1, index: 10 };
    let snapshot = Snapshot { log_id: 3, last, voters: voters(1), state: Bytes::new() };
    let log = Log::new(snapshot, vec![command(1, 11), command(2, 12), command(2, 13), command(2, 14)]);
    // Index of the leader's entry that does not match, this log's commit index, and the expected hint.
    for (mismatch, commit_index, expected) in [(20, 11, 14), (14, 11, 11), (12, 11, 11), (14, 12, 12)] {
        assert_eq!(log.conflict_hint(mismatch, commit_index), expected, "{mismatch} {commit_index}");
    }
}
