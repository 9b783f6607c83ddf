//! Outputs of a replica, which its host carries out.

use crate::event::ConsensusEvent;
use crate::state::Write;
use bytes::Bytes;
use tackmast_wire::consensus::Message;

/// An output of a replica, which its host carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaOutput {
    /// Send a message to another replica.
    Send {
        /// The receiver's host number.
        to: u32,
        /// The message.
        message: Message,
    },
    /// Persist a change of the state, then call `on_persisted`.
    Write(Write),
    /// Apply a committed command to the state machine.
    Committed {
        /// Index of the command's entry.
        index: u64,
        /// The command.
        data: Bytes,
        /// Number that `propose` returned for the command; `None` if another process proposed it.
        own_proposal: Option<u32>,
    },
    /// Replace the state machine's state by that of a snapshot.
    RestoreSnapshot {
        /// Index of the last entry that the state covers.
        index: u64,
        /// The state machine's encoded state.
        state: Bytes,
    },
    /// Encode the state machine's state as of an entry, then call `on_snapshot_taken`.
    TakeSnapshot {
        /// Index of the last entry that the state is to cover.
        index: u64,
    },
    /// A proposal's result stayed unknown for too long. The proposal is no longer sent, but may still be committed.
    ProposalTimedOut {
        /// Number that `propose` returned for the proposal.
        number: u32,
    },
    /// Report an event to operators.
    Event(ConsensusEvent),
}
