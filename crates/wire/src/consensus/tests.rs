//! Each message there and back, and input that is no message.

use super::*;
use proptest::prelude::*;

fn all_messages() -> Vec<Message> {
    let identity = DiskIdentity { disk: 1, boot: 2, generation: 3 };
    let voters: Voters = (0..MAX_VOTERS as u32).map(|host| (host, u64::from(host) + 7)).collect();
    let entries = vec![
        Entry { term: 1, payload: EntryPayload::Noop },
        Entry { term: 2, payload: EntryPayload::Command(Bytes::from_static(b"change")) },
        Entry { term: 2, payload: EntryPayload::Voters(voters.clone()) },
    ];
    let last = LogPosition { term: 5, index: 6 };
    let state = Bytes::from_static(b"state");
    vec![
        Message::RequestVote { pre_vote: true, term: 4, last_log: last, identity },
        Message::RequestVoteResponse { pre_vote: false, term: 4, granted: true, identity },
        Message::AppendEntries {
            log_id: 8,
            term: 4,
            round: 9,
            previous: last,
            commit_index: 3,
            entries: entries.clone(),
        },
        Message::AppendEntries {
            log_id: 8,
            term: 4,
            round: 9,
            previous: last,
            commit_index: 3,
            entries: vec![],
        },
        Message::AppendEntriesResponse { term: 4, round: 9, success: false, index: 2, identity },
        Message::InstallSnapshot { term: 4, log_id: 8, last, voters: voters.clone(), state: state.clone() },
        Message::Propose { log_id: 8, data: state.clone() },
        Message::RequestLease { sequence: 1, stored_index: 2, identity },
        Message::LeaseGranted { log_id: 8, to_generation: 9, sequence: 1, term: 2, index: 3, duration_ms: 4 },
        Message::LeaderHint { term: 1, leader: Some(2) },
        Message::LeaderHint { term: 1, leader: None },
        Message::FetchCommitted { stored_index: 7 },
        Message::CommittedEntries { log_id: 8, after: 7, entries },
        Message::CommittedSnapshot { log_id: 8, last, voters: voters.clone(), state },
        Message::Bootstrap { identity, confirmed: true, bootstrapped: false, disks: voters },
        Message::StaleDisk { identity },
    ]
}

/// Each kind of message is encoded and decoded. A message that is cut short or has a byte more is refused.
#[test]
fn message_survives_a_round_trip_and_no_prefix_decodes() {
    for message in all_messages() {
        let bytes = message.to_bytes();
        assert_eq!(Message::decode(bytes.clone()), Ok(message.clone()));
        for length in 0..bytes.len() {
            assert!(Message::decode(bytes.slice(..length)).is_err(), "{message:?} cut at {length}");
        }
        let longer = Bytes::from([&bytes[..], &[0]].concat());
        assert!(Message::decode(longer).is_err(), "{message:?} with a byte more");
    }
}

proptest! {
    /// A peer sends arbitrary bytes. The decoder may refuse them, and must not panic.
    #[test]
    fn decoder_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        _ = Message::decode(Bytes::from(bytes));
    }
}
