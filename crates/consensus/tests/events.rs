//! Tests of the log lines of a replica's events.

use tackmast::interface::TimeDelta;
use tackmast_consensus::ConsensusEvent;

/// Operators search the log for a fixed message and aggregate by its fields. A value inside the message would break the
/// search.
#[test]
fn a_log_line_is_the_fixed_message_followed_by_the_fields() {
    let cases = [
        (
            ConsensusEvent::BecameLeader { term: 4, last_index: 9, commit_index: 8 },
            "consensus: this host is leader term=4 last_index=9 commit_index=8",
        ),
        (
            ConsensusEvent::QuorumLost { silent_for: TimeDelta::from_millis(600), reachable: 1, quorum: 2 },
            "consensus: no majority has responded silent_secs=0.60 reachable=1 quorum=2",
        ),
        (
            ConsensusEvent::LeaseExpired { commit_index: 8 },
            "consensus: lease expired: this host keeps to what can't have changed commit_index=8",
        ),
    ];
    for (event, line) in cases {
        assert_eq!(event.to_string(), line);
        assert!(line.starts_with(event.message()));
        assert!(!event.message().contains(|letter: char| letter.is_ascii_digit()), "{event:?}");
    }
}
