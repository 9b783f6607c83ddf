//! Consensus among the hosts of a fleet: a log replicated with Raft, with pre-vote, single-server membership changes,
//! and leases that limit how long each replica may treat its committed state as the latest. Results are always correct;
//! without a majority of voters there is no progress. The package performs no I/O and reads no clock: its inputs are
//! messages, the current time and completed writes, its outputs are messages, writes and committed commands.
//! docs/consensus.md states the guarantees.
//!
//! "Raft" is Ongaro and Ousterhout, *In Search of an Understandable Consensus Algorithm* (extended version, 2014);
//! "thesis" is Ongaro, *Consensus: Bridging Theory and Practice* (2014).
//!
//! | module | implements |
//! | --- | --- |
//! | `raft`, `raft::dispatch` | state of one server, dispatch of its messages (Raft, figures 2 and 4) |
//! | `raft::election` | votes (Raft, 5.2 and 5.4.1), pre-votes (thesis, 9.6), no votes while a leader is active (thesis, 4.2.3) |
//! | `raft::leader`, `raft::leader_state` | proposals, heartbeats, stepping down without a majority (thesis, 6.2) |
//! | `raft::replication`, `raft::progress` | AppendEntries by the leader (Raft, 5.3), commitment (Raft, 5.4.2) |
//! | `raft::follower` | AppendEntries and InstallSnapshot at a follower (Raft, 5.3 and 7) |
//! | `raft::membership` | single-server membership changes (thesis, 4.1, with the erratum of 2015) |
//! | `raft::leases` | leases granted after a heartbeat round (thesis, 6.4) |
//! | `raft::learner` | replicas that do not vote (thesis, 4.2.1) |
//! | `raft::persistence`, `raft::commit` | writes before responses (Raft, figure 2), commits in order, snapshots (Raft, 7) |
//! | `raft::bootstrap`, `raft::disk_identity`, `raft::recovery` | extensions of Raft, see below |
//! | `log` | entries and compaction (Raft, 7) |
//! | `lease` | a replica's lease (compare thesis, 6.4.1) |
//! | `replica` | client sessions (thesis, 6.3), forwarding of proposals, linearizable reads (thesis, 6.4) |
//! | `chunks` | messages longer than a datagram (compare Raft, figure 13) |
//!
//! Differences from Raft as published:
//!
//! - A voter is identified by its host number and a disk id. A replica whose disk was lost, or is an old copy, does not
//!   vote.
//! - The initial voters agree on their disks before the first term, so that no second log can be started.
//! - Learners fetch committed entries from any voter. The leader keeps no state for them except their last reports.
//! - Every replica holds a lease granted by the leader, whereas in Raft the leader holds one granted by its followers.
//!   A committed entry is *effective* once all leases that were granted before its commit have expired.
//! - A snapshot covers committed entries, which may not be on this replica's own disk yet.
//! - AppendEntries responses carry the heartbeat round that they answer and, on a mismatch, the index to retry from.
//! - An operator can make one replica continue without a majority, as a new log.

#![warn(missing_docs)]
#![warn(unreachable_pub)]

mod chunks;
mod error;
mod event;
mod fault;
mod lease;
mod log;
mod output;
mod raft;
mod replica;
mod settings;
mod state;
mod status;

pub use chunks::{Chunk, ChunkSettings, ChunkedTransfer, Transmit};
pub use error::{ProposeError, RecoveryError, VoterChangeError};
pub use event::ConsensusEvent;
pub use fault::ConsensusFault;
pub use lease::{Lease, LeaseGrant, LeaseState};
pub use log::{Configuration, Log, Snapshot};
pub use output::ReplicaOutput;
pub use raft::{RaftNode, RaftOutput};
pub use replica::Replica;
pub use settings::{RaftSettings, ReplicaSettings};
pub use state::{HardState, LogSuffix, PersistentState, Write};
pub use status::{Counters, FollowerStatus, ReplicaRole, Status};
pub use tackmast_wire::consensus::{
    DiskIdentity, Entry, EntryPayload, LogPosition, Message, Voters, MAX_ENTRY, MAX_STATE, MAX_VOTERS,
};
