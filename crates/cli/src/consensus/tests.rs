//! The text of a status.

use super::*;

/// An operator asks the leader of a group for its status while one host is behind, and a host that is past its lease. The text names
/// the voters, who is behind, and what the host keeps to.
#[test]
fn status_names_voters_laggards_and_lease() {
    let status = ConsensusStatus {
        host: 3,
        role: "leads".into(),
        leader: Some(3),
        voters: vec![0, 1, 3],
        votes: true,
        bootstrapped: true,
        commit: 9,
        lease: "holds".into(),
        has: [(1, (9, 0.1)), (2, (4, 2.5))].into(),
        ..ConsensusStatus::default()
    };
    let text = status_text(&status);
    assert!(
        text.contains("voters 0, 1, 3; votes") && text.contains("behind: host 2 at 4, 2.5 s ago"),
        "{text}"
    );
    let past = ConsensusStatus { lease: "past".into(), degraded: true, votes: false, ..status };
    assert!(
        status_text(&past).contains("lease expired 0.00 s ago; degraded mode: fallback limits"),
        "{}",
        status_text(&past)
    );
}
