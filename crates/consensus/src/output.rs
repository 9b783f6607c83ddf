//! What a host is to do for its replica.

use crate::event::ConsensusEvent;
use crate::state::Write;
use bytes::Bytes;
use tackmast_wire::consensus::Message;

/// What a host is to do for its replica.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaOutput {
    /// A message for another replica.
    Send {
        /// The receiver's host number.
        to: u32,
        /// The message.
        message: Message,
    },
    /// A change of the persistent state, to be reported by `on_persisted`.
    Write(Write),
    /// A command is committed: the state machine applies it.
    Committed {
        /// Index of its entry.
        index: u64,
        /// The command.
        data: Bytes,
        /// Its number, if this process proposed it.
        own_proposal: Option<u32>,
    },
    /// The state machine takes this state in place of all before.
    RestoreSnapshot {
        /// Index of the last entry that the state covers.
        index: u64,
        /// The state.
        state: Bytes,
    },
    /// The state machine's state as of that entry is wanted, by `on_snapshot_taken`.
    TakeSnapshot {
        /// Index of the entry.
        index: u64,
    },
    /// A proposal is given up, as its result was unknown for too long. It may still be committed.
    ProposalTimedOut {
        /// Number of the proposal.
        number: u32,
    },
    /// A change for the log.
    Event(ConsensusEvent),
}
