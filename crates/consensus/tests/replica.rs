//! Seats fed by hand: votes, what counts as committed, leases, a disk that fails, a fleet that begins.

use bytes::Bytes;
use std::collections::BTreeMap;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_consensus::*;

fn settings() -> RaftSettings {
    RaftSettings {
        heartbeat_interval: TimeDelta::from_secs(0.05),
        election_timeout: TimeDelta::from_secs(0.3),
        lease: TimeDelta::from_secs(1.0),
        max_clock_drift: 0.01,
        host_count: 5,
        snapshot_after_entries: 1_000,
        snapshot_after_bytes: 1 << 20,
    }
}

fn at(seconds: f64) -> Instant {
    Instant::from_secs(100.0 + seconds)
}

fn identity(host: u32, generation: u64) -> DiskIdentity {
    DiskIdentity { disk: u64::from(host) + 100, boot: generation as u32, generation }
}

fn voters(n: u32) -> Voters {
    (0..n).map(|host| (host, identity(host, 1).disk)).collect()
}

/// A voter of three whose log holds entries of these terms.
fn raft_node(me: u32, term: u64, terms: &[u64]) -> RaftNode {
    let data = |(i, t): (usize, &u64)| Entry {
        term: *t,
        payload: EntryPayload::Command(Bytes::from(vec![i as u8])),
    };
    let snapshot = Snapshot { log_id: 9, voters: voters(3), ..Snapshot::default() };
    let hard_state = HardState { term, voted_for: None };
    let entries = terms.iter().enumerate().map(data).collect();
    let persisted = PersistentState { hard_state, snapshot, entries, ..PersistentState::default() };
    let initial_voters = (0..3).collect();
    let identity = identity(me, 1);
    RaftNode::new(
        at(0.0),
        ReplicaSettings { me, identity, raft: settings(), initial_voters, persisted, seed: 7 },
    )
}

/// All that it gives out, its writes done at once.
fn drain(node: &mut RaftNode, now: Instant) -> Vec<RaftOutput> {
    let mut all = Vec::new();
    while let Some(output) = node.poll_output() {
        if let RaftOutput::Write(write) = &output {
            node.on_persisted(now, write.write_id);
        }
        all.push(output);
    }
    all
}

fn messages(all: &[RaftOutput]) -> Vec<(u32, Message)> {
    let message = |output: &RaftOutput| match output {
        RaftOutput::Send { to, message } => Some((*to, message.clone())),
        _ => None,
    };
    all.iter().filter_map(message).collect()
}

#[test]
fn who_gets_a_vote() {
    // Name, term and log here, the asker's term and last entry, its disk, and whether it gets the vote.
    let position = |term, index| LogPosition { term, index };
    let other = DiskIdentity { disk: 5, boot: 1, generation: 1 };
    type Case<'a> = (&'a str, u64, &'a [u64], u64, LogPosition, DiskIdentity, bool);
    let cases: &[Case] = &[
        ("as new", 1, &[1, 1], 2, position(1, 2), identity(1, 1), true),
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
        let said = messages(&drain(&mut node, at(1.0)));
        let granted = said.iter().any(|(to, message)| {
            *to == 1 && matches!(message, Message::RequestVoteResponse { granted: true, .. })
        });
        assert_eq!(granted, *expected, "{name}: {said:?}");
    }
}

#[test]
fn a_vote_is_said_only_once_it_is_on_disk_and_given_once_a_term() {
    let mut node = raft_node(0, 1, &[1]);
    let ask = |host: u32| Message::RequestVote {
        pre_vote: false,
        term: 2,
        last_log: LogPosition { term: 1, index: 1 },
        identity: identity(host, 1),
    };
    node.handle_message(at(1.0), 1, ask(1));
    let mut receipts = Vec::new();
    while let Some(output) = node.poll_output() {
        match output {
            RaftOutput::Write(write) => receipts.push(write.write_id),
            RaftOutput::Send { message, .. } => panic!("said before it is on disk: {message:?}"),
            _ => {}
        }
    }
    receipts.iter().for_each(|r| node.on_persisted(at(1.1), *r));
    assert!(matches!(
        messages(&drain(&mut node, at(1.1)))[..],
        [(1, Message::RequestVoteResponse { granted: true, .. })]
    ));
    node.handle_message(at(1.2), 2, ask(2));
    assert!(matches!(
        messages(&drain(&mut node, at(1.2)))[..],
        [(2, Message::RequestVoteResponse { granted: false, .. })]
    ));
    // Nor while a leader is heard, whatever the term: one that was cut off must not unseat it.
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

/// Leads term 4 with a log whose entries are of terms 1 and 2, as in figure 8 of the Raft paper: most have the one of term 2,
/// and yet it may not count before one of term 4 does.
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

#[test]
fn an_entry_of_an_earlier_term_counts_only_with_one_of_this() {
    let appended = |index: u64| Message::AppendEntriesResponse {
        term: 4,
        round: 1,
        success: true,
        index,
        identity: identity(1, 1),
    };
    // Up to where another has the leader's log, and what is committed then; with the fault of counting any entry.
    for (fault, index, expected) in [(None, 2, 0), (None, 3, 3), (Some(ConsensusFault::CommitOldTerm), 2, 2)]
    {
        let mut node = leader_of_term_four(fault);
        node.handle_message(at(2.1), 1, appended(index));
        drain(&mut node, at(2.1));
        assert_eq!(node.commit_index(), expected, "{fault:?} {index}");
    }
}

#[test]
fn a_leader_grants_only_after_a_round_that_began_later() {
    let mut node = leader_of_term_four(None);
    let answer = |round: u64| Message::AppendEntriesResponse {
        term: 4,
        round,
        success: true,
        index: 3,
        identity: identity(1, 1),
    };
    node.handle_message(at(2.1), 1, answer(0));
    drain(&mut node, at(2.1));
    node.handle_message(
        at(2.2),
        4,
        Message::RequestLease { sequence: 6, stored_index: 0, identity: identity(4, 3) },
    );
    let said = messages(&drain(&mut node, at(2.2)));
    let round = said.iter().find_map(|(_, message)| match message {
        Message::AppendEntries { round, .. } => Some(*round),
        _ => None,
    });
    let round = round.expect("an ask begins a round");
    // A round of before the ask shows nothing.
    node.handle_message(at(2.2), 1, answer(round - 1));
    assert!(messages(&drain(&mut node, at(2.2))).iter().all(|(to, _)| *to != 4));
    node.handle_message(at(2.2), 1, answer(round));
    let said = messages(&drain(&mut node, at(2.2)));
    let granted = said.iter().find(|(to, _)| *to == 4);
    assert!(
        matches!(granted, Some((_, Message::LeaseGranted { to_generation: 3, sequence: 6, index: 3, .. }))),
        "{said:?}"
    );
    // Without a majority's word for long it leads no more.
    node.handle_timeout(at(4.0));
    assert!(!node.is_leader());
}

#[test]
fn a_state_from_the_leader_leaves_what_stands_behind_it() {
    let state = |index: u64, term: u64| Message::InstallSnapshot {
        term: 5,
        log_id: 9,
        last: LogPosition { term, index },
        voters: voters(3),
        state: Bytes::new(),
    };
    // The state's place and term, and up to where the log reaches afterwards.
    for (index, term, last) in [(2, 2, 3), (2, 4, 2), (7, 5, 7)] {
        let mut node = raft_node(0, 4, &[1, 2, 2]);
        node.handle_message(at(1.0), 1, state(index, term));
        drain(&mut node, at(1.0));
        assert_eq!((node.commit_index(), node.status(at(1.0)).last_index), (index, last), "{index} {term}");
    }
}

#[test]
fn a_disk_that_takes_no_writes_ends_a_hosts_part() {
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

#[test]
fn a_lease_counts_from_its_ask_less_the_drift_and_with_what_it_names() {
    let duration = TimeDelta::from_secs(1.0);
    let granted = |sequence, index| LeaseGrant { sequence, index, duration };
    let mut lease = Lease::new(at(0.0), TimeDelta::from_secs(1.0), 0.01);
    let sequence = lease.poll_request(at(0.0)).expect("at once");
    assert_eq!(lease.state(at(0.0)), LeaseState::Never);
    // The answer comes late: what is left counts from the ask.
    lease.on_granted(at(0.6), granted(sequence, 5));
    assert!(!lease.state(at(0.6)).is_valid(), "its entries are not here");
    lease.on_committed(4);
    assert!(!lease.state(at(0.6)).is_valid());
    lease.on_committed(5);
    assert_eq!(lease.state(at(0.6)), LeaseState::Valid { until: at(0.98) });
    assert_eq!(lease.state(at(0.99)), LeaseState::Expired { since: at(0.98) });
    // An answer to what was never asked, and one that says a longer term than this host was told.
    lease.on_granted(at(1.0), granted(sequence + 50, 5));
    assert!(!lease.state(at(1.0)).is_valid());
    let sequence = lease.poll_request(at(1.0)).expect("it is time");
    lease.on_granted(at(1.0), LeaseGrant { sequence, index: 5, duration: TimeDelta::from_secs(900.0) });
    lease.on_committed(5);
    assert_eq!(lease.state(at(1.0)), LeaseState::Valid { until: at(1.98) });
    assert!(lease.read_index(sequence) == Some(5) && lease.read_index(sequence + 1).is_none());
}

/// Seats that hear each other at once, but those that are away.
struct Fleet {
    replicas: BTreeMap<u32, Replica>,
    now: f64,
    generations: u64,
    committed: BTreeMap<u32, Vec<(Bytes, Option<u32>)>>,
}

impl Fleet {
    fn new() -> Fleet {
        Fleet { replicas: BTreeMap::new(), now: 0.0, generations: 0, committed: BTreeMap::new() }
    }

    fn start(&mut self, host: u32, disk: u64) {
        self.generations += 1;
        let identity = DiskIdentity { disk, boot: 1, generation: self.generations };
        let initial_voters = (0..3).collect();
        let (raft, persisted) = (settings(), PersistentState::default());
        let replica =
            ReplicaSettings { me: host, identity, raft, initial_voters, persisted, seed: self.generations };
        self.replicas.insert(host, Replica::new(at(self.now), replica));
    }

    fn run(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.01;
            let now = at(self.now);
            self.replicas.values_mut().for_each(|replica| replica.handle_timeout(now));
            for _ in 0..10 {
                let mut messages = Vec::new();
                for (host, replica) in &mut self.replicas {
                    while let Some(output) = replica.poll_output() {
                        match output {
                            ReplicaOutput::Send { to, message } => messages.push((*host, to, message)),
                            ReplicaOutput::Write(write) => replica.on_persisted(now, write.write_id),
                            ReplicaOutput::Committed { data, own_proposal, .. } => {
                                self.committed.entry(*host).or_default().push((data, own_proposal))
                            }
                            _ => {}
                        }
                    }
                }
                for (from, to, message) in messages {
                    if let Some(replica) = self.replicas.get_mut(&to) {
                        replica.handle_message(now, from, message);
                    }
                }
            }
        }
    }

    fn leader(&self) -> Option<u32> {
        self.replicas.iter().find(|(_, replica)| replica.raft.is_leader()).map(|(host, _)| *host)
    }
}

#[test]
fn a_fleet_begins_once_all_founders_stand_by_the_same_disks() {
    let mut fleet = Fleet::new();
    fleet.start(0, 100);
    fleet.start(1, 101);
    fleet.start(4, 104);
    fleet.run(3.0);
    assert_eq!(
        (fleet.leader(), fleet.replicas[&4].commit_index()),
        (None, 0),
        "one founder is not there yet"
    );
    fleet.start(2, 102);
    fleet.run(3.0);
    let leader = fleet.leader().expect("a leader");
    assert!(
        fleet.replicas[&4].lease_state(at(fleet.now)).is_valid(),
        "one that does not vote follows, and has its lease"
    );
    // A change at a host that does not vote counts once, everywhere, and is known as its own there.
    let number =
        fleet.replicas.get_mut(&4).map(|replica| replica.propose(at(fleet.now), Bytes::from_static(b"a")));
    fleet.run(1.0);
    for host in [0, 1, 2, 4] {
        let own_proposal = (host == 4).then_some(1);
        assert_eq!(fleet.committed[&host], vec![(Bytes::from_static(b"a"), own_proposal)], "host {host}");
    }
    assert_eq!(number, Some(Ok(1)));
    // A voter whose disk is lost neither votes nor founds another log; it follows.
    let lost = (leader + 1) % 3;
    fleet.start(lost, 999);
    fleet.run(2.0);
    assert!(!fleet.replicas[&lost].raft.is_voter() && fleet.replicas[&lost].commit_index() > 0);
    // Taken out and in again it votes with its new disk.
    let moves = [(false, fleet.replicas[&leader].raft.voters().len() - 1), (true, 3)];
    for (is_added, expected) in moves {
        let now = at(fleet.now);
        let moved = fleet.replicas.get_mut(&leader).map(|replica| match is_added {
            true => replica.raft.add_voter(now, lost),
            false => replica.raft.remove_voter(now, lost),
        });
        assert!(matches!(moved, Some(Ok(_))), "{moved:?}");
        fleet.run(1.0);
        assert_eq!(fleet.replicas[&leader].raft.voters().len(), expected);
    }
    assert!(fleet.replicas[&lost].raft.is_voter());
    // Without most of them nothing is agreed on, and no lease lasts.
    fleet.replicas.retain(|host, _| *host == leader || *host == 4);
    fleet.run(2.0);
    assert!(fleet.leader().is_none() && !fleet.replicas[&4].lease_state(at(fleet.now)).is_valid());
    // Nor does a change: it is given up, and said so.
    _ = fleet.replicas.get_mut(&4).map(|replica| replica.propose(at(fleet.now), Bytes::from_static(b"b")));
    let previous = fleet.committed[&4].len();
    fleet.run(5.0);
    assert_eq!(fleet.committed[&4].len(), previous);
}

#[test]
fn an_answer_to_an_earlier_generation_is_no_lease() {
    // To which generation the answer is, of which log, and whether the host has a lease by it; with the fault of mixing lives.
    for (to_generation, log_id, fault, expected) in [
        (3, 9, None, true),
        (2, 9, None, false),
        (2, 9, Some(ConsensusFault::GenerationsMixed), true),
        (3, 8, None, false),
    ] {
        let last = LogPosition { term: 1, index: 4 };
        let persisted = PersistentState {
            snapshot: Snapshot { log_id: 9, last, voters: voters(3), ..Snapshot::default() },
            ..PersistentState::default()
        };
        let (initial_voters, identity) = ((0..3).collect(), identity(4, 3));
        let replica =
            ReplicaSettings { me: 4, identity, raft: settings(), initial_voters, persisted, seed: 1 };
        let mut replica = Replica::new(at(0.0), replica);
        if let Some(fault) = fault {
            replica = replica.with_fault(fault);
        }
        replica.handle_timeout(at(0.0));
        let sequence = std::iter::from_fn(|| replica.poll_output()).find_map(|output| match output {
            ReplicaOutput::Send { message: Message::RequestLease { sequence, .. }, .. } => Some(sequence),
            _ => None,
        });
        let sequence = sequence.expect("it asks at once");
        replica.handle_message(
            at(0.1),
            0,
            Message::LeaseGranted { log_id, to_generation, sequence, term: 1, index: 4, duration_ms: 1_000 },
        );
        assert_eq!(
            replica.lease_state(at(0.2)).is_valid(),
            expected,
            "life {to_generation}, log {log_id}, {fault:?}"
        );
    }
}
