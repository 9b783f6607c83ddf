//! The driver of this host's replica: it ties the replica to the chunked transfer of its messages and to the requests that wait for it. The
//! decisions are made in `tackmast-consensus` and `tackmast-plans`.

mod messages;

pub use self::messages::{ConsensusRequest, ConsensusResponse, ConsensusStatus};

use std::collections::BTreeMap;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_config::{ConsensusBlock, HostSettings};
use tackmast_consensus::{
    Chunk, ChunkSettings, ChunkedTransfer, DiskIdentity, FollowerStatus, Lease, LeaseState, Message,
    PersistentState, RaftSettings, Replica, ReplicaSettings,
};
use tackmast_wire::peer::Body;

/// Number of log entries after which a snapshot is taken.
const SNAPSHOT_AFTER_ENTRIES: u64 = 2_000;
/// Bytes of log entries after which a snapshot is taken.
const SNAPSHOT_AFTER_BYTES: usize = 4 << 20;
/// Greatest number of reads that wait at the same time; further ones are refused.
pub(crate) const MAX_WAITING_READS: usize = 256;
/// How long a read waits at most until this host is up to date. It is then answered with the state that the host has.
pub(crate) const READ_TIMEOUT: TimeDelta = TimeDelta::from_millis(3000);
/// Time between two checks whether all hosts have stored the version that a lower fallback limit waits for.
pub(crate) const ACKNOWLEDGEMENT_CHECK_INTERVAL: TimeDelta = TimeDelta::from_millis(500);
/// Multiplier of the multiplicative hash that derives the first message id from a host's generation. It spreads the ids, so that a
/// restarted host does not reuse ids of which peers still hold chunks.
const MESSAGE_ID_MULTIPLIER: u32 = 0x9e37_79b1;
/// Bits of a request number that tell which part of the core made the write.
const WRITER_BITS: u64 = 3 << 62;
/// The first of the request numbers of writes of the replicated log.
pub(crate) const FIRST_WRITE_REQUEST: u64 = 1 << 62;

/// The state of consensus on a host's disk, with which its replica starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConsensusStart {
    /// The identity of the disk, by which peers notice a replaced disk or an old copy.
    pub identity: DiskIdentity,
    /// The log, and the term and vote of Raft.
    pub persisted: PersistentState,
}

/// Returns whether a request number is that of a write of the replicated log.
pub(crate) fn is_log_write(request: u64) -> bool {
    request & WRITER_BITS == FIRST_WRITE_REQUEST
}

/// A request about plans that waits until this host is up to date.
pub(crate) struct WaitingRead {
    /// The number that the replica gave the read.
    pub read: u32,
    /// When the read is answered even if the host is not known to be up to date.
    pub deadline: Instant,
    /// The caller's number of the request.
    pub request: u64,
    pub plan_request: crate::PlanRequest,
}

/// The replica of this host, the transfer of its messages, and the requests that wait for it.
pub struct ConsensusDriver {
    pub(crate) replica: Replica,
    pub(crate) chunks: ChunkedTransfer,
    pub(crate) settings: RaftSettings,
    /// The request that waits for each change proposed at this host, by the number of the proposal.
    pub(crate) changes: BTreeMap<u32, u64>,
    pub(crate) reads: Vec<WaitingRead>,
    /// Index of the newest entry that changes plans.
    pub(crate) changed_at: u64,
    pub(crate) next_acknowledgement_check: Instant,
    me: u32,
}

/// Derives the settings of Raft from the settings of a host.
fn raft_settings(settings: &HostSettings, block: &ConsensusBlock) -> RaftSettings {
    RaftSettings {
        heartbeat_interval: TimeDelta::from_secs(block.heartbeat_interval_ms / 1e3),
        election_timeout: TimeDelta::from_secs(block.election_timeout_ms / 1e3),
        lease_duration: TimeDelta::from_secs(block.lease_s),
        max_clock_drift: block.drift,
        host_count: settings.host.hosts,
        snapshot_after_entries: SNAPSHOT_AFTER_ENTRIES,
        snapshot_after_bytes: SNAPSHOT_AFTER_BYTES,
    }
}

impl ConsensusDriver {
    /// Creates a driver whose replica starts from the state on disk. `seed` seeds the randomized election timeouts.
    pub fn new(
        now: Instant,
        settings: &HostSettings,
        block: &ConsensusBlock,
        start: ConsensusStart,
        seed: u64,
    ) -> ConsensusDriver {
        let (me, raft) = (settings.host.number, raft_settings(settings, block));
        let first_message_id = (start.identity.generation as u32).wrapping_mul(MESSAGE_ID_MULTIPLIER);
        let replica = ReplicaSettings {
            host: me,
            identity: start.identity,
            raft,
            initial_voters: block.voters.iter().copied().collect(),
            persisted: start.persisted,
            seed,
        };
        ConsensusDriver {
            replica: Replica::new(now, replica),
            chunks: ChunkedTransfer::new(
                ChunkSettings { retry_interval: raft.heartbeat_interval },
                first_message_id,
            ),
            settings: raft,
            changes: BTreeMap::new(),
            reads: Vec::new(),
            changed_at: 0,
            next_acknowledgement_check: now,
            me,
        }
    }

    /// Returns when the replica, the transfer of messages or a waiting read is next due.
    pub fn poll_timeout(&self, now: Instant) -> Instant {
        let reads = self.reads.iter().map(|read| read.deadline);
        let all = [Some(self.replica.poll_timeout(now)), self.chunks.poll_timeout()];
        all.into_iter().flatten().chain(reads).fold(self.replica.poll_timeout(now), Instant::min)
    }

    /// Processes a datagram body and returns the message that it completes, if any. Malformed messages are dropped.
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

    /// Returns how long after its commit a change applies at all hosts.
    pub fn settle_time(&self) -> TimeDelta {
        Lease::commit_wait(self.settings.lease_duration, self.settings.max_clock_drift)
    }

    /// Returns the state of this host's lease.
    pub fn lease_state(&self, now: Instant) -> LeaseState {
        self.replica.lease_state(now)
    }

    /// Returns the status for operators. The core fills in the versions of the plans and `degraded`.
    pub fn status(&self, now: Instant) -> ConsensusStatus {
        let follower_row = |(host, follower): (u32, FollowerStatus)| {
            (host, (follower.stored_index, follower.silent_for.secs()))
        };
        let (status, counters) = (self.replica.status(now), self.replica.raft.counters);
        let (lease, lease_s) = match self.replica.lease_state(now) {
            LeaseState::Valid { until } => ("holds", (until - now).secs()),
            LeaseState::Expired { since } => ("past", (now - since).secs()),
            LeaseState::Never => ("never", 0.0),
        };
        ConsensusStatus {
            host: self.me,
            generation: self.replica.raft.identity().generation,
            role: status.role.to_string(),
            term: status.term,
            leader: status.leader,
            log_id: self.replica.raft.log().snapshot().log_id,
            voters: status.voters.keys().copied().collect(),
            is_voter: status.is_voter,
            bootstrapped: status.bootstrapped,
            disk_failed: status.disk_failed,
            last_index: status.last_index,
            commit_index: status.commit_index,
            snapshot_index: status.snapshot_index,
            version: 0,
            acknowledged: 0,
            lease: lease.into(),
            lease_s,
            degraded: false,
            in_force_s: (self.replica.effective_at(now) - now).secs(),
            followers: status.followers.into_iter().map(follower_row).collect(),
            elections: counters.elections,
            commits: counters.commits,
            granted_leases: counters.leases_granted,
            rejected_disks: counters.rejected_disks,
            dropped_messages: counters.dropped_messages + self.chunks.lost_messages,
        }
    }
}
