//! Consensus within the host core: messages to and from peers, writes, committed changes of plans, and requests of
//! operators. The decisions are those of `tackmast-consensus` and `tackmast-plans`.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_config::{ConsensusBlock, HostSettings};
use tackmast_consensus::{
    Chunk, ChunkSettings, ChunkedTransfer, DiskIdentity, FollowerStatus, Lease, LeaseState, Message,
    PersistentState, RaftSettings, Replica, ReplicaSettings,
};
use tackmast_wire::peer::Body;

/// Entries, and bytes of them, after which a snapshot is taken.
const SNAPSHOT_AFTER_ENTRIES: u64 = 2_000;
const SNAPSHOT_AFTER_BYTES: usize = 4 << 20;
/// Reads that wait, at most, and for how long each does.
pub(crate) const MAX_WAITING_READS: usize = 256;
pub(crate) const READ_TIMEOUT_S: f64 = 3.0;
/// How often a leader checks whether all hosts have stored what a lower fallback limit waits for.
pub(crate) const ACKNOWLEDGEMENT_CHECK_S: f64 = 0.5;
/// Writes of the replicated log have request numbers from here on.
pub(crate) const FIRST_WRITE_REQUEST: u64 = 1 << 62;

/// What an operator asks of this host's consensus.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConsensusRequest {
    /// The status of this host's replica.
    Status,
    /// Adds or removes a voter; for the leader.
    Voter {
        /// The voter's host.
        host: u32,
        /// Whether it votes from now on.
        votes: bool,
    },
    /// The majority is gone for good: this host goes on alone, as a new log, from what it has.
    Force {
        /// Who asks.
        who: String,
        /// For what reason.
        why: String,
    },
    /// This host forgets its log, to follow one that was forced elsewhere.
    Forget {
        /// Who asks.
        who: String,
        /// For what reason.
        why: String,
    },
}

/// The answer to a `ConsensusRequest`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConsensusResponse {
    /// The status of this host's replica.
    Status(Box<ConsensusStatus>),
    /// Done here, and written into the audit trail; of `Force`, the id of the new log.
    Done {
        /// The mark of the log that applies from now on; 0: none.
        log: u64,
    },
    /// It is in the log at that place, and applies once a majority has stored it.
    Taken {
        /// The place in the log.
        index: u64,
    },
    /// Nothing was done.
    Refused {
        /// Why not.
        why: String,
    },
}

/// The replica of a host as operators see it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConsensusStatus {
    /// This host.
    pub host: u32,
    /// Its generation.
    #[serde(rename = "life")]
    pub generation: u64,
    /// Leader, follower or candidate.
    pub role: String,
    /// The current term.
    pub term: u64,
    /// The leader, where one is known.
    pub leader: Option<u32>,
    /// The id of the log: hosts with different ones do not share one.
    pub log: u64,
    /// Hosts that vote.
    pub voters: Vec<u32>,
    /// Whether this host votes.
    pub votes: bool,
    /// Whether the log has its initial voters.
    #[serde(rename = "founded")]
    pub bootstrapped: bool,
    /// Its disk takes no writes.
    pub failed: bool,
    /// The index of the last entry.
    pub last: u64,
    /// The index up to which entries are committed.
    pub commit: u64,
    /// The index up to which entries are in the snapshot.
    #[serde(rename = "folded")]
    pub snapshot_index: u64,
    /// The version of the plans that apply here.
    pub version: u64,
    /// The newest version of the plans that is known to be stored on all hosts.
    #[serde(rename = "told")]
    pub acknowledged: u64,
    /// `holds`, `past` or `never`.
    pub lease: String,
    /// Seconds until the lease ends, or since it did.
    pub lease_s: f64,
    /// Whether it is in degraded mode, by the fallback limits.
    #[serde(rename = "posture")]
    pub degraded: bool,
    /// Seconds until all hosts go by the newest that this one has.
    pub in_force_s: f64,
    /// Where it leads: by host, the entries that it said it has, and seconds since.
    pub has: BTreeMap<u32, (u64, f64)>,
    /// Elections begun here.
    pub elections: u64,
    /// Entries committed here.
    pub commits: u64,
    /// Leases granted here.
    pub granted: u64,
    /// Messages rejected since they came from a voter's other disk.
    #[serde(rename = "wrong_disks")]
    pub rejected_disks: u64,
    /// Messages dropped.
    pub lost: u64,
}

/// What a host's disk has of consensus.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConsensusStart {
    /// What tells this disk from others.
    pub identity: DiskIdentity,
    /// The log and the state of Raft.
    pub persisted: PersistentState,
}

/// The replica of this host, with the transfer of its messages and whoever waits for it.
pub struct ConsensusDriver {
    pub(crate) replica: Replica,
    pub(crate) chunks: ChunkedTransfer,
    pub(crate) settings: RaftSettings,
    /// Changes of this host: their numbers, and who waits for what.
    pub(crate) changes: BTreeMap<u32, u64>,
    /// Reads that wait: number of the read, until when, number of the request, and the request.
    pub(crate) reads: Vec<(u32, Instant, u64, crate::PlanRequest)>,
    /// The index of the newest change of plans.
    pub(crate) changed_at: u64,
    pub(crate) next_acknowledgement_check: Instant,
    me: u32,
}

/// The settings of Raft that the settings of a host amount to.
pub(crate) fn raft_settings(s: &HostSettings, a: &ConsensusBlock) -> RaftSettings {
    RaftSettings {
        heartbeat_interval: TimeDelta::from_secs(a.heartbeat_interval_ms / 1e3),
        election_timeout: TimeDelta::from_secs(a.election_timeout_ms / 1e3),
        lease: TimeDelta::from_secs(a.lease_s),
        max_clock_drift: a.drift,
        host_count: s.host.hosts,
        snapshot_after_entries: SNAPSHOT_AFTER_ENTRIES,
        snapshot_after_bytes: SNAPSHOT_AFTER_BYTES,
    }
}

impl ConsensusDriver {
    /// A replica that goes on from what the disk has; `seed` is for chance in elections.
    pub fn new(
        now: Instant,
        s: &HostSettings,
        a: &ConsensusBlock,
        start: ConsensusStart,
        seed: u64,
    ) -> ConsensusDriver {
        let (me, settings) = (s.host.number, raft_settings(s, a));
        let first = (start.identity.generation as u32).wrapping_mul(0x9e37_79b1);
        let replica = ReplicaSettings {
            me,
            identity: start.identity,
            raft: settings,
            initial_voters: a.voters.iter().copied().collect(),
            persisted: start.persisted,
            seed,
        };
        ConsensusDriver {
            replica: Replica::new(now, replica),
            chunks: ChunkedTransfer::new(
                ChunkSettings { retry_interval: settings.heartbeat_interval },
                first,
            ),
            settings,
            changes: BTreeMap::new(),
            reads: Vec::new(),
            changed_at: 0,
            next_acknowledgement_check: now,
            me,
        }
    }

    /// When the replica wants to be called again.
    pub fn poll_timeout(&self, now: Instant) -> Instant {
        let reads = self.reads.iter().map(|(_, until, _, _)| *until);
        let all = [Some(self.replica.poll_timeout(now)), self.chunks.poll_timeout()];
        all.into_iter().flatten().chain(reads).fold(self.replica.poll_timeout(now), Instant::min)
    }

    /// A message, once all its chunks have arrived.
    pub(crate) fn handle_body(
        &mut self,
        now: Instant,
        from: std::net::SocketAddr,
        body: Body,
    ) -> Option<Message> {
        let bytes = match body {
            Body::Consensus { bytes } => bytes,
            Body::ConsensusChunk { number, pieces, piece, bytes } => self.chunks.on_chunk(
                now,
                from,
                Chunk { message_id: number, count: pieces, index: piece, bytes },
            )?,
            Body::ConsensusChunkRequest { number, piece } => {
                self.chunks.on_chunk_request(from, number, piece);
                return None;
            }
            _ => return None,
        };
        Message::decode(bytes).ok()
    }

    /// Seconds from a change's commit until all hosts go by it.
    pub fn settle(&self) -> TimeDelta {
        Lease::max_holdover(self.settings.lease, self.settings.max_clock_drift)
    }

    /// Whether this host's lease is valid.
    pub fn lease_state(&self, now: Instant) -> LeaseState {
        self.replica.lease_state(now)
    }

    /// The replica as operators see it. The figures of the plans are filled in by the core.
    pub fn status(&self, now: Instant) -> ConsensusStatus {
        let reported = |(host, f): (u32, FollowerStatus)| (host, (f.stored_index, f.silent_for.secs()));
        let (s, c) = (self.replica.status(now), self.replica.raft.counters);
        let (lease, lease_s) = match self.replica.lease_state(now) {
            LeaseState::Valid { until } => ("holds", (until - now).secs()),
            LeaseState::Expired { since } => ("past", (now - since).secs()),
            LeaseState::Never => ("never", 0.0),
        };
        ConsensusStatus {
            host: self.me,
            generation: self.replica.raft.identity().generation,
            role: s.role.to_string(),
            term: s.term,
            leader: s.leader,
            log: self.replica.raft.log().snapshot().log_id,
            voters: s.voters.keys().copied().collect(),
            votes: s.is_voter,
            bootstrapped: s.bootstrapped,
            failed: s.disk_failed,
            last: s.last_index,
            commit: s.commit_index,
            snapshot_index: s.snapshot_index,
            version: 0,
            acknowledged: 0,
            lease: lease.into(),
            lease_s,
            degraded: false,
            in_force_s: (self.replica.effective_at(now) - now).secs(),
            has: s.followers.into_iter().map(reported).collect(),
            elections: c.elections,
            commits: c.commits,
            granted: c.granted,
            rejected_disks: c.rejected_disks,
            lost: c.dropped_messages + self.chunks.lost,
        }
    }
}
