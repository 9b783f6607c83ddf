//! Consensus among the hosts of a fleet: a replicated log by Raft, with pre-vote, changes of one voter at a time, and
//! leases that limit how long each replica may treat what it has as the newest. It never gives a wrong result; without a
//! majority it makes no progress. There is no I/O and no clock: messages, the time and completed writes go in, messages,
//! writes and committed commands come out. docs/consensus.md has the guarantees.
//!
//! "Raft" is Ongaro and Ousterhout, *In Search of an Understandable Consensus Algorithm* (extended version, 2014); "thesis"
//! is Ongaro, *Consensus: Bridging Theory and Practice* (2014).
//!
//! | module | implements |
//! | --- | --- |
//! | `raft`, `raft::dispatch` | state of one server and its messages (Raft, figures 2 and 4) |
//! | `raft::election` | votes (Raft, 5.2 and 5.4.1), pre-votes (thesis, 9.6), no votes while there is a leader (thesis, 4.2.3) |
//! | `raft::leader`, `raft::leader_state` | proposals, heartbeats, stepping down without a majority (thesis, 6.2) |
//! | `raft::replication`, `raft::progress` | AppendEntries by the leader (Raft, 5.3), commitment (Raft, 5.4.2) |
//! | `raft::follower` | AppendEntries and InstallSnapshot at a follower (Raft, 5.3 and 7) |
//! | `raft::membership` | changes of one voter (thesis, 4.1, with the erratum of 2015) |
//! | `raft::leases` | grants after a heartbeat round (thesis, 6.4) |
//! | `raft::learner` | replicas that do not vote (thesis, 4.2.1) |
//! | `raft::persistence`, `raft::commit` | writes before responses (Raft, figure 2); commits in order, and snapshots (Raft, 7) |
//! | `raft::bootstrap`, `raft::disk_identity`, `raft::recovery` | what Raft leaves out, see below |
//! | `log` | entries and compaction (Raft, 7) |
//! | `lease` | a replica's lease (compare thesis, 6.4.1) |
//! | `replica` | client sessions (thesis, 6.3), forwarding of proposals, reads (thesis, 6.4) |
//! | `chunks` | messages longer than a datagram (compare Raft, figure 13) |
//!
//! What differs from Raft as published:
//!
//! - A voter is a host number and a disk id. A replica whose disk was lost, or is an old copy, does not vote.
//! - The initial voters agree on their disks before the first term, so that no second log can begin.
//! - Learners fetch committed entries from any voter; the leader keeps no state of them but what they reported.
//! - Every replica holds a lease from the leader, not the leader one from its followers. A committed entry is *effective*
//!   once all leases that were granted before it have expired.
//! - A snapshot is taken of what is committed, which may not be on this replica's disk yet.
//! - Responses of AppendEntries carry the round that they respond to, and on a mismatch where to try next.
//! - An operator may make one replica go on without a majority, as a new log.

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
