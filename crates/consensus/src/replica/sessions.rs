//! Client sessions (thesis, section 6.3): each proposal is applied once, however often it was sent and appended.
//!
//! A proposal whose response gets lost is sent again, and would otherwise be applied twice. Each carries its host, its
//! process generation and its number; the last one of each host is part of the snapshot, so that replicas agree on it.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::collections::BTreeMap;

/// Length in bytes of a proposal's header: host, generation, number and length.
pub(super) const PROPOSAL_HEADER_LEN: usize = 20;
/// Length in bytes of a session in a snapshot: host, generation and number.
const SESSION_LEN: usize = 16;
/// Length in bytes of the number of sessions before them.
const SESSION_COUNT_LEN: usize = 4;

/// Identifies a proposal among those of its host, in the order in which they were made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ProposalId {
    pub generation: u64,
    pub number: u32,
}

/// A proposal as it is encoded in an entry.
#[derive(Clone, Debug)]
pub(super) struct Proposal {
    pub host: u32,
    pub id: ProposalId,
    pub data: Bytes,
}

impl Proposal {
    /// Encodes it as the command of an entry.
    pub(super) fn to_bytes(&self) -> Bytes {
        let mut out = BytesMut::with_capacity(self.data.len() + PROPOSAL_HEADER_LEN);
        out.put_u32(self.host);
        out.put_u64(self.id.generation);
        out.put_u32(self.id.number);
        out.put_u32(self.data.len() as u32);
        out.put_slice(&self.data);
        out.freeze()
    }

    /// Decodes an entry's command.
    pub(super) fn decode(mut bytes: Bytes) -> Option<Proposal> {
        if bytes.len() < PROPOSAL_HEADER_LEN {
            return None;
        }
        let host = bytes.get_u32();
        let id = ProposalId { generation: bytes.get_u64(), number: bytes.get_u32() };
        let length = bytes.get_u32() as usize;
        (length == bytes.len()).then_some(Proposal { host, id, data: bytes })
    }
}

/// The last proposal of each host that was applied. There are no more of them than hosts.
#[derive(Clone, Debug, Default)]
pub(super) struct Sessions(BTreeMap<u32, ProposalId>);

impl Sessions {
    /// Whether the proposal is to be applied: not if it, or a later one of its host, was applied before.
    pub(super) fn admit(&mut self, proposal: &Proposal) -> bool {
        if self.0.get(&proposal.host).is_some_and(|last| *last >= proposal.id) {
            return false;
        }
        self.0.insert(proposal.host, proposal.id);
        true
    }

    /// Forgets all, as the log is discarded.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// A snapshot's state: the sessions, and the state machine's own bytes.
    pub(super) fn encode_with(&self, state: &[u8]) -> Bytes {
        let length = SESSION_COUNT_LEN + self.0.len() * SESSION_LEN + state.len();
        let mut out = BytesMut::with_capacity(length);
        out.put_u32(self.0.len() as u32);
        for (host, id) in &self.0 {
            out.put_u32(*host);
            out.put_u64(id.generation);
            out.put_u32(id.number);
        }
        out.put_slice(state);
        out.freeze()
    }

    /// Replaces the sessions by those of a snapshot's state; returns the state machine's own bytes.
    pub(super) fn restore_from(&mut self, mut state: Bytes) -> Bytes {
        self.clear();
        if state.len() < SESSION_COUNT_LEN {
            return state;
        }
        for _ in 0..state.get_u32() {
            if state.len() < SESSION_LEN {
                break;
            }
            let host = state.get_u32();
            let id = ProposalId { generation: state.get_u64(), number: state.get_u32() };
            self.0.insert(host, id);
        }
        state
    }
}
