//! Tests of several replicas: bootstrap, proposals, voter changes, and grants to an earlier process generation.

use super::*;
use bytes::Bytes;
use std::collections::BTreeMap;

/// A group of replicas whose messages arrive without delay.
struct Group {
    replicas: BTreeMap<u32, Replica>,
    now: f64,
    generations: u64,
    committed: BTreeMap<u32, Vec<(Bytes, Option<u32>)>>,
}

impl Group {
    fn new() -> Group {
        Group { replicas: BTreeMap::new(), now: 0.0, generations: 0, committed: BTreeMap::new() }
    }

    fn start(&mut self, host: u32, disk: u64) {
        self.generations += 1;
        let identity = DiskIdentity { disk, boot: 1, generation: self.generations };
        let initial_voters = (0..3).collect();
        let (raft, persisted) = (settings(), PersistentState::default());
        let replica =
            ReplicaSettings { host, identity, raft, initial_voters, persisted, seed: self.generations };
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

/// One of three initial voters starts late, and the group must not have a log before that. Later a voter's disk is
/// lost; it must not vote until it is added again. Without a majority nothing may be committed, and leases must expire.
#[test]
fn a_group_bootstraps_once_all_initial_voters_confirm_the_same_disks() {
    let mut group = Group::new();
    group.start(0, 100);
    group.start(1, 101);
    group.start(4, 104);
    group.run(3.0);
    assert_eq!(
        (group.leader(), group.replicas[&4].commit_index()),
        (None, 0),
        "one initial voter has not started"
    );
    group.start(2, 102);
    group.run(3.0);
    let leader = group.leader().expect("a leader");
    assert!(group.replicas[&4].lease_state(at(group.now)).is_valid(), "a learner has its lease");
    // A learner's proposal is applied once on every replica, and only the learner recognises it as its own.
    let number =
        group.replicas.get_mut(&4).map(|replica| replica.propose(at(group.now), Bytes::from_static(b"a")));
    group.run(1.0);
    for host in [0, 1, 2, 4] {
        let own_proposal = (host == 4).then_some(1);
        assert_eq!(group.committed[&host], vec![(Bytes::from_static(b"a"), own_proposal)], "host {host}");
    }
    assert_eq!(number, Some(Ok(1)));
    // A voter whose disk is lost neither votes nor starts another log, but becomes a learner.
    let lost = (leader + 1) % 3;
    group.start(lost, 999);
    group.run(2.0);
    assert!(!group.replicas[&lost].raft.is_voter() && group.replicas[&lost].commit_index() > 0);
    // After it is removed and added again, it votes with its new disk.
    let voter_changes = [(false, group.replicas[&leader].raft.voters().len() - 1), (true, 3)];
    for (is_added, expected) in voter_changes {
        let now = at(group.now);
        let change = group.replicas.get_mut(&leader).map(|replica| match is_added {
            true => replica.raft.add_voter(now, lost),
            false => replica.raft.remove_voter(now, lost),
        });
        assert!(matches!(change, Some(Ok(_))), "{change:?}");
        group.run(1.0);
        assert_eq!(group.replicas[&leader].raft.voters().len(), expected);
    }
    assert!(group.replicas[&lost].raft.is_voter());
    // Without a majority there is no leader, and leases expire.
    group.replicas.retain(|host, _| *host == leader || *host == 4);
    group.run(2.0);
    assert!(group.leader().is_none() && !group.replicas[&4].lease_state(at(group.now)).is_valid());
    // A proposal is not committed without a majority.
    _ = group.replicas.get_mut(&4).map(|replica| replica.propose(at(group.now), Bytes::from_static(b"b")));
    let before = group.committed[&4].len();
    group.run(5.0);
    assert_eq!(group.committed[&4].len(), before);
}

/// A grant to an earlier process of the same host, or from another log, arrives late and has the sequence number of a
/// pending request. If it were accepted, the lease would count from the wrong request.
#[test]
fn a_grant_to_an_earlier_generation_or_from_another_log_is_ignored() {
    // Generation and log of the grant, the injected fault, and whether the replica is expected to have a lease.
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
            ReplicaSettings { host: 4, identity, raft: settings(), initial_voters, persisted, seed: 1 };
        let mut replica = Replica::new(at(0.0), replica);
        if let Some(fault) = fault {
            replica = replica.with_fault(fault);
        }
        replica.handle_timeout(at(0.0));
        let sequence = std::iter::from_fn(|| replica.poll_output()).find_map(|output| match output {
            ReplicaOutput::Send { message: Message::RequestLease { sequence, .. }, .. } => Some(sequence),
            _ => None,
        });
        let sequence = sequence.expect("a request at once");
        replica.handle_message(
            at(0.1),
            0,
            Message::LeaseGranted { log_id, to_generation, sequence, term: 1, index: 4, duration_ms: 1_000 },
        );
        assert_eq!(
            replica.lease_state(at(0.2)).is_valid(),
            expected,
            "generation {to_generation}, log {log_id}, {fault:?}"
        );
    }
}
