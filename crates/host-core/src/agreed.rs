//! The agreement within the host core: its words on the way other hosts are spoken to, its writes, what it brings of plans,
//! and what operators ask of it. What counts is decided in `tackmast-consensus` and `tackmast-plans`.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_config::{ConsensusBlock, HostSettings};
use tackmast_consensus::{
    Chunk, ChunkSettings, ChunkedTransfer, DiskIdentity, FollowerStatus, Lease, LeaseState, Message,
    PersistentState, RaftSettings, Replica, ReplicaSettings,
};
use tackmast_wire::peer::Body;

/// Entries, and bytes of them, after which they are folded.
const FOLD_ENTRIES: u64 = 2_000;
const FOLD_BYTES: usize = 4 << 20;
/// Reads that wait, at most, and for how long each does.
pub(crate) const READS: usize = 256;
pub(crate) const READ_S: f64 = 3.0;
/// How often a leader looks whether all hosts have what some floor waits for.
pub(crate) const TOLD_S: f64 = 0.5;
/// Writes of the agreed log are told of under numbers from here on.
pub(crate) const WRITES: u64 = 1 << 62;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgreementAsk {
    Status,
    /// One voter more, or one less; asked of the host that leads.
    Voter {
        host: u32,
        votes: bool,
    },
    /// Most voters are gone for good: this host goes on alone, from what it has.
    Force {
        who: String,
        why: String,
    },
    /// This host forgets its log, to follow one that was forced elsewhere.
    Forget {
        who: String,
        why: String,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgreementReply {
    Status(Box<AgreementStatus>),
    /// Done here, and written into the audit trail; of a force, the mark of the log that it began.
    Done {
        log: u64,
    },
    /// It stands in the log at that place, and holds once most have it.
    Taken {
        index: u64,
    },
    Refused {
        why: String,
    },
}

/// How a host stands to what is agreed on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AgreementStatus {
    pub host: u32,
    #[serde(rename = "life")]
    pub generation: u64,
    /// Leads, follows, or asks for votes.
    pub role: String,
    pub term: u64,
    pub leader: Option<u32>,
    /// The mark of the log: hosts with different ones do not go by the same.
    pub log: u64,
    pub voters: Vec<u32>,
    pub votes: bool,
    pub founded: bool,
    /// Its disk takes no writes.
    pub failed: bool,
    pub last: u64,
    pub commit: u64,
    pub folded: u64,
    /// Of the plans that it goes by, and the newest that all hosts have, as was agreed.
    pub version: u64,
    pub told: u64,
    /// Holds, past or never; and seconds until its end, or since.
    pub lease: String,
    pub lease_s: f64,
    /// It goes by the floors.
    pub posture: bool,
    /// Seconds until all hosts go by the newest that this one has.
    pub in_force_s: f64,
    /// Where it leads: by host, the entries that it said it has, and seconds since.
    pub has: BTreeMap<u32, (u64, f64)>,
    pub elections: u64,
    pub commits: u64,
    pub granted: u64,
    pub wrong_disks: u64,
    pub lost: u64,
}

/// What a host's disk has of the agreement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AgreedStart {
    pub identity: DiskIdentity,
    pub persisted: PersistentState,
}

pub struct Agreed {
    pub(crate) replica: Replica,
    pub(crate) chunks: ChunkedTransfer,
    pub(crate) settings: RaftSettings,
    /// Changes of this host: their numbers, and who waits for what.
    pub(crate) changes: BTreeMap<u32, u64>,
    /// Who waits for what is newest: by number of the ask, until when, and what for.
    pub(crate) reads: Vec<(u32, Instant, u64, crate::PlanAsk)>,
    /// Where the newest change of plans stands in the log.
    pub(crate) changed_at: u64,
    pub(crate) told_at: Instant,
    me: u32,
}

pub fn agreement_settings(s: &HostSettings, a: &ConsensusBlock) -> RaftSettings {
    RaftSettings {
        heartbeat_interval: TimeDelta::from_secs(a.heartbeat_interval_ms / 1e3),
        election_timeout: TimeDelta::from_secs(a.election_timeout_ms / 1e3),
        lease: TimeDelta::from_secs(a.lease_s),
        max_clock_drift: a.drift,
        host_count: s.host.hosts,
        snapshot_after_entries: FOLD_ENTRIES,
        snapshot_after_bytes: FOLD_BYTES,
    }
}

impl Agreed {
    pub fn new(now: Instant, s: &HostSettings, a: &ConsensusBlock, start: AgreedStart, seed: u64) -> Agreed {
        let (me, settings) = (s.host.number, agreement_settings(s, a));
        let first = (start.identity.generation as u32).wrapping_mul(0x9e37_79b1);
        let replica = ReplicaSettings {
            me,
            identity: start.identity,
            raft: settings,
            initial_voters: a.voters.iter().copied().collect(),
            persisted: start.persisted,
            seed,
        };
        Agreed {
            replica: Replica::new(now, replica),
            chunks: ChunkedTransfer::new(
                ChunkSettings { retry_interval: settings.heartbeat_interval },
                first,
            ),
            settings,
            changes: BTreeMap::new(),
            reads: Vec::new(),
            changed_at: 0,
            told_at: now,
            me,
        }
    }

    pub fn next_wake(&self, now: Instant) -> Instant {
        let reads = self.reads.iter().map(|(_, until, _, _)| *until);
        let all = [Some(self.replica.poll_timeout(now)), self.chunks.poll_timeout()];
        all.into_iter().flatten().chain(reads).fold(self.replica.poll_timeout(now), Instant::min)
    }

    /// A word, once it is whole.
    pub(crate) fn came(&mut self, now: Instant, from: std::net::SocketAddr, body: Body) -> Option<Message> {
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

    pub fn lease_state(&self, now: Instant) -> LeaseState {
        self.replica.lease_state(now)
    }

    pub fn status(&self, now: Instant) -> AgreementStatus {
        let reported = |(host, f): (u32, FollowerStatus)| (host, (f.stored_index, f.silent_for.secs()));
        let (s, c) = (self.replica.status(now), self.replica.raft.counters);
        let (lease, lease_s) = match self.replica.lease_state(now) {
            LeaseState::Valid { until } => ("holds", (until - now).secs()),
            LeaseState::Expired { since } => ("past", (now - since).secs()),
            LeaseState::Never => ("never", 0.0),
        };
        AgreementStatus {
            host: self.me,
            generation: self.replica.raft.identity().generation,
            role: s.role.to_string(),
            term: s.term,
            leader: s.leader,
            log: self.replica.raft.log().snapshot().log_id,
            voters: s.voters.keys().copied().collect(),
            votes: s.is_voter,
            founded: s.bootstrapped,
            failed: s.disk_failed,
            last: s.last_index,
            commit: s.commit_index,
            folded: s.snapshot_index,
            version: 0,
            told: 0,
            lease: lease.into(),
            lease_s,
            posture: false,
            in_force_s: (self.replica.effective_at(now) - now).secs(),
            has: s.followers.into_iter().map(reported).collect(),
            elections: c.elections,
            commits: c.commits,
            granted: c.granted,
            wrong_disks: c.rejected_disks,
            lost: c.dropped_messages + self.chunks.lost,
        }
    }
}
