//! Messages of the consensus protocol.

use crate::Differences;
use bytes::Bytes;
use tackmast_wire::consensus::{DiskIdentity, Entry, EntryPayload, LogPosition, Message, Voters};

/// Hosts of an earlier and a later build talk to each other: each message of the consensus protocol has the bytes that it had.
#[test]
fn consensus_messages_keep_their_bytes() {
    let identity = DiskIdentity { disk: 0x0102_0304_0506_0708, boot: 2, generation: 3 };
    let voters: Voters = [(0, 100), (1, 101), (4, 104)].into();
    let entries = vec![
        Entry { term: 1, payload: EntryPayload::Noop },
        Entry { term: 2, payload: EntryPayload::Command(Bytes::from_static(b"change")) },
        Entry { term: 3, payload: EntryPayload::Voters(voters.clone()) },
    ];
    let last = LogPosition { term: 5, index: 6 };
    let state = Bytes::from_static(b"state");
    let append = |entries| Message::AppendEntries {
        log_id: 8,
        term: 4,
        round: 9,
        previous: last,
        commit_index: 3,
        entries,
    };
    let cases: Vec<(&str, Message, &str)> = vec![
        (
            "pre-vote request",
            Message::RequestVote { pre_vote: true, term: 4, last_log: last, identity },
            "\
             01010000000000000004000000000000000500000000000000060102030405060708000000020000\
             000000000003",
        ),
        (
            "vote request",
            Message::RequestVote { pre_vote: false, term: 4, last_log: last, identity },
            "\
             01000000000000000004000000000000000500000000000000060102030405060708000000020000\
             000000000003",
        ),
        (
            "vote",
            Message::RequestVoteResponse { pre_vote: false, term: 4, granted: true, identity },
            "02000000000000000004010102030405060708000000020000000000000003",
        ),
        (
            "append entries",
            append(entries.clone()),
            "\
             03000000000000000800000000000000040000000000000009000000000000000500000000000000\
             0600000000000000030003000000000000000100000000000000000201000000066368616e676500\
             00000000000003020300000000000000000000006400000001000000000000006500000004000000\
             0000000068",
        ),
        (
            "heartbeat",
            append(vec![]),
            "\
             03000000000000000800000000000000040000000000000009000000000000000500000000000000\
             0600000000000000030000",
        ),
        (
            "append response",
            Message::AppendEntriesResponse { term: 4, round: 9, success: true, index: 2, identity },
            "\
             04000000000000000400000000000000090100000000000000020102030405060708000000020000\
             000000000003",
        ),
        (
            "install snapshot",
            Message::InstallSnapshot {
                term: 4,
                log_id: 8,
                last,
                voters: voters.clone(),
                state: state.clone(),
            },
            "\
             05000000000000000400000000000000080000000000000005000000000000000603000000000000\
             000000000064000000010000000000000065000000040000000000000068000000057374617465",
        ),
        (
            "propose",
            Message::Propose { log_id: 8, data: state.clone() },
            "060000000000000008000000057374617465",
        ),
        (
            "lease renewal",
            Message::RequestLease { sequence: 1, stored_index: 2, identity },
            "\
             070000000100000000000000020102030405060708000000020000000000000003",
        ),
        (
            "lease grant",
            Message::LeaseGranted {
                log_id: 8,
                to_generation: 9,
                sequence: 1,
                term: 2,
                index: 3,
                duration_ms: 4,
            },
            "\
             08000000000000000800000000000000090000000100000000000000020000000000000003000000\
             04",
        ),
        ("leader known", Message::LeaderHint { term: 1, leader: Some(2) }, "09000000000000000100000002"),
        ("leader unknown", Message::LeaderHint { term: 1, leader: None }, "090000000000000001ffffffff"),
        ("log request", Message::FetchCommitted { stored_index: 7 }, "0a0000000000000007"),
        (
            "log response",
            Message::CommittedEntries { log_id: 8, after: 7, entries },
            "\
             0b000000000000000800000000000000070003000000000000000100000000000000000201000000\
             066368616e6765000000000000000302030000000000000000000000640000000100000000000000\
             65000000040000000000000068",
        ),
        (
            "snapshot response",
            Message::CommittedSnapshot { log_id: 8, last, voters: voters.clone(), state },
            "\
             0c000000000000000800000000000000050000000000000006030000000000000000000000640000\
             00010000000000000065000000040000000000000068000000057374617465",
        ),
        (
            "bootstrap",
            Message::Bootstrap { identity, confirmed: true, bootstrapped: false, disks: voters },
            "\
             0d010203040506070800000002000000000000000301000300000000000000000000006400000001\
             0000000000000065000000040000000000000068",
        ),
        ("stale disk", Message::StaleDisk { identity }, "0e0102030405060708000000020000000000000003"),
    ];
    let mut differences = Differences::default();
    for (kind, message, expected) in cases {
        let encoded = message.to_bytes();
        let decoded = Message::decode(encoded.clone());
        differences.round_trip(kind, message, encoded, decoded, expected);
    }
    differences.assert_none();
}
