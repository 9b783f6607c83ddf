//! Tests of a single Raft server: votes, commitment, heartbeat rounds for leases, snapshots, and a failed disk.

use super::*;
use bytes::Bytes;

/// Returns one of three voters, whose log has entries of the given terms.
fn raft_node(host: u32, term: u64, terms: &[u64]) -> RaftNode {
    let entry = |(number, term): (usize, &u64)| Entry {
        term: *term,
        payload: EntryPayload::Command(Bytes::from(vec![number as u8])),
    };
    let snapshot = Snapshot { log_id: 9, voters: voters(3), ..Snapshot::default() };
    let hard_state = HardState { term, voted_for: None };
    let entries = terms.iter().enumerate().map(entry).collect();
    let persisted = PersistentState { hard_state, snapshot, entries, ..PersistentState::default() };
    let initial_voters = (0..3).collect();
    let identity = identity(host, 1);
    RaftNode::new(
        at(0.0),
        ReplicaSettings { host, identity, raft: settings(), initial_voters, persisted, seed: 7 },
    )
}

/// Returns all outputs, and completes writes immediately.
fn drain(node: &mut RaftNode, now: Instant) -> Vec<RaftOutput> {
    let mut outputs = Vec::new();
    while let Some(output) = node.poll_output() {
        if let RaftOutput::Write(write) = &output {
            node.on_persisted(now, write.write_id);
        }
        outputs.push(output);
    }
    outputs
}

fn messages(outputs: &[RaftOutput]) -> Vec<(u32, Message)> {
    let message = |output: &RaftOutput| match output {
        RaftOutput::Send { to, message } => Some((*to, message.clone())),
        _ => None,
    };
    outputs.iter().filter_map(message).collect()
}

/// Candidates with different logs, terms and disks request votes. A vote for a candidate whose log lacks committed
/// entries, or whose disk is not a voter's, could elect a leader that loses committed entries.
#[test]
fn a_vote_is_granted_by_term_log_and_disk() {
    // Case name, term and log of the voter, the candidate's term, last entry and disk, and whether the vote is granted.
    let position = |term, index| LogPosition { term, index };
    let other = DiskIdentity { disk: 5, boot: 1, generation: 1 };
    type Case<'a> = (&'a str, u64, &'a [u64], u64, LogPosition, DiskIdentity, bool);
    let cases: &[Case] = &[
        ("up to date", 1, &[1, 1], 2, position(1, 2), identity(1, 1), true),
        ("newer term, shorter", 1, &[1, 1, 1], 3, position(2, 1), identity(1, 1), true),
        ("older term, longer", 2, &[1, 2], 3, position(1, 9), identity(1, 1), false),
        ("shorter", 1, &[1, 1], 2, position(1, 1), identity(1, 1), false),
        ("an earlier term of its own", 4, &[1], 3, position(1, 1), identity(1, 1), false),
        ("another disk", 1, &[1], 2, position(1, 1), other, false),
    ];
    for (name, term, log, candidate_term, last_log, disk, expected) in cases {
        let mut node = raft_node(0, *term, log);
        node.handle_message(
            at(1.0),
            1,
            Message::RequestVote {
                pre_vote: false,
                term: *candidate_term,
                last_log: *last_log,
                identity: *disk,
            },
        );
        let sent = messages(&drain(&mut node, at(1.0)));
        let granted = sent.iter().any(|(to, message)| {
            *to == 1 && matches!(message, Message::RequestVoteResponse { granted: true, .. })
        });
        assert_eq!(granted, *expected, "{name}: {sent:?}");
    }
}

/// A voter that crashed after it sent a vote, but before the vote is on disk, could vote twice in a term. A voter in
/// contact with a leader must not vote at all. Otherwise a server that was partitioned would depose the leader.
#[test]
fn a_vote_is_sent_only_once_persisted_and_once_a_term() {
    let mut node = raft_node(0, 1, &[1]);
    let request_of = |host: u32| Message::RequestVote {
        pre_vote: false,
        term: 2,
        last_log: LogPosition { term: 1, index: 1 },
        identity: identity(host, 1),
    };
    node.handle_message(at(1.0), 1, request_of(1));
    let mut write_ids = Vec::new();
    while let Some(output) = node.poll_output() {
        match output {
            RaftOutput::Write(write) => write_ids.push(write.write_id),
            RaftOutput::Send { message, .. } => panic!("sent before it is on disk: {message:?}"),
            _ => {}
        }
    }
    write_ids.iter().for_each(|write_id| node.on_persisted(at(1.1), *write_id));
    assert!(matches!(
        messages(&drain(&mut node, at(1.1)))[..],
        [(1, Message::RequestVoteResponse { granted: true, .. })]
    ));
    node.handle_message(at(1.2), 2, request_of(2));
    assert!(matches!(
        messages(&drain(&mut node, at(1.2)))[..],
        [(2, Message::RequestVoteResponse { granted: false, .. })]
    ));
    // No vote is granted during contact with a leader, regardless of the candidate's term.
    let heartbeat = Message::AppendEntries {
        log_id: 9,
        term: 2,
        round: 1,
        previous: LogPosition { term: 1, index: 1 },
        commit_index: 0,
        entries: vec![],
    };
    node.handle_message(at(1.3), 1, heartbeat);
    drain(&mut node, at(1.3));
    node.handle_message(
        at(1.4),
        2,
        Message::RequestVote {
            pre_vote: false,
            term: 9,
            last_log: LogPosition { term: 8, index: 9 },
            identity: identity(2, 1),
        },
    );
    assert_eq!(messages(&drain(&mut node, at(1.4))), []);
    assert_eq!(node.term(), 2);
}

/// Returns a leader of term 4 whose log has entries of terms 1 and 2, as in figure 8 of the Raft paper.
fn leader_of_term_four(fault: Option<ConsensusFault>) -> RaftNode {
    let mut node = raft_node(0, 3, &[1, 2]);
    if let Some(fault) = fault {
        node = node.with_fault(fault);
    }
    node.handle_timeout(at(2.0));
    drain(&mut node, at(2.0));
    node.handle_message(
        at(2.0),
        1,
        Message::RequestVoteResponse { pre_vote: true, term: 4, granted: true, identity: identity(1, 1) },
    );
    drain(&mut node, at(2.0));
    node.handle_message(
        at(2.0),
        1,
        Message::RequestVoteResponse { pre_vote: false, term: 4, granted: true, identity: identity(1, 1) },
    );
    drain(&mut node, at(2.0));
    assert!(node.is_leader());
    node
}

/// A majority has an entry of an earlier term on disk. A later leader may still overwrite it, so it must be committed
/// only together with an entry of the leader's own term (Raft, figure 8).
#[test]
fn an_entry_of_an_earlier_term_is_committed_only_with_one_of_this_term() {
    let response = |index: u64| Message::AppendEntriesResponse {
        term: 4,
        round: 1,
        success: true,
        index,
        identity: identity(1, 1),
    };
    // The injected fault, the index up to which a follower's log matches, and the expected commit index.
    for (fault, index, expected) in [(None, 2, 0), (None, 3, 3), (Some(ConsensusFault::CommitOldTerm), 2, 2)]
    {
        let mut node = leader_of_term_four(fault);
        node.handle_message(at(2.1), 1, response(index));
        drain(&mut node, at(2.1));
        assert_eq!(node.commit_index(), expected, "{fault:?} {index}");
    }
}

/// A replica requests a lease while a response to an earlier heartbeat round is in flight. That response does not prove
/// that the server still leads, so the lease must wait for a response to a later round.
#[test]
fn a_lease_is_granted_only_after_a_later_heartbeat_round() {
    let mut node = leader_of_term_four(None);
    let response = |round: u64| Message::AppendEntriesResponse {
        term: 4,
        round,
        success: true,
        index: 3,
        identity: identity(1, 1),
    };
    node.handle_message(at(2.1), 1, response(0));
    drain(&mut node, at(2.1));
    node.handle_message(
        at(2.2),
        4,
        Message::RequestLease { sequence: 6, stored_index: 0, identity: identity(4, 3) },
    );
    let sent = messages(&drain(&mut node, at(2.2)));
    let round = sent.iter().find_map(|(_, message)| match message {
        Message::AppendEntries { round, .. } => Some(*round),
        _ => None,
    });
    let round = round.expect("a request starts a round");
    // A response to a round before the request does not prove that this server still leads.
    node.handle_message(at(2.2), 1, response(round - 1));
    assert!(messages(&drain(&mut node, at(2.2))).iter().all(|(to, _)| *to != 4));
    node.handle_message(at(2.2), 1, response(round));
    let sent = messages(&drain(&mut node, at(2.2)));
    let granted = sent.iter().find(|(to, _)| *to == 4);
    assert!(
        matches!(granted, Some((_, Message::LeaseGranted { to_generation: 3, sequence: 6, index: 3, .. }))),
        "{sent:?}"
    );
    // After two election timeouts without responses of a majority, the leader steps down.
    node.handle_timeout(at(4.0));
    assert!(!node.is_leader());
}

/// A snapshot is delayed, and the server has acknowledged entries after it. If those were removed, a committed entry
/// could be lost (Raft, figure 13, step 6).
#[test]
fn a_snapshot_keeps_matching_entries_after_it() {
    let install = |index: u64, term: u64| Message::InstallSnapshot {
        term: 5,
        log_id: 9,
        last: LogPosition { term, index },
        voters: voters(3),
        state: Bytes::new(),
    };
    // Index and term of the snapshot's last entry, and the expected last index of the log afterwards.
    for (index, term, last) in [(2, 2, 3), (2, 4, 2), (7, 5, 7)] {
        let mut node = raft_node(0, 4, &[1, 2, 2]);
        node.handle_message(at(1.0), 1, install(index, term));
        drain(&mut node, at(1.0));
        assert_eq!((node.commit_index(), node.status(at(1.0)).last_index), (index, last), "{index} {term}");
    }
}

/// A write fails, so the server does not know what is on its disk. It must step down and must not vote, as anything
/// that it acknowledged could be lost.
#[test]
fn a_server_whose_write_failed_neither_leads_nor_votes() {
    let mut node = leader_of_term_four(None);
    _ = node.propose(at(2.1), Bytes::from_static(b"x"));
    let write_id = std::iter::from_fn(|| node.poll_output()).find_map(|output| match output {
        RaftOutput::Write(write) => Some(write.write_id),
        _ => None,
    });
    assert!(write_id.is_some(), "a write");
    node.on_persist_failed();
    assert!(!node.is_leader() && node.status(at(2.1)).disk_failed);
    drain(&mut node, at(2.1));
    node.handle_message(
        at(2.2),
        1,
        Message::RequestVote {
            pre_vote: false,
            term: 9,
            last_log: LogPosition { term: 8, index: 9 },
            identity: identity(1, 1),
        },
    );
    assert_eq!(messages(&drain(&mut node, at(2.2))), []);
}
