//! Client sessions (thesis, section 6.3), by which each proposal is applied at most once, no matter how often it was
//! sent and appended.
//!
//! A proposal whose response is lost is sent again, and would otherwise be applied twice. Each proposal carries its
//! host, its process generation and its number. The last applied one of each host is part of the snapshot, so that all
//! replicas agree on it.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::collections::BTreeMap;

/// Length of a proposal's header in bytes: host, generation, number and data length.
pub(super) const PROPOSAL_HEADER_LEN: usize = 20;
/// Length of an encoded session in bytes: host, generation and number.
const SESSION_LEN: usize = 16;
/// Length of the number of sessions in bytes, which precedes the sessions.
const SESSION_COUNT_LEN: usize = 4;

/// Id of a proposal among those of its host. Ids are ordered as the proposals were made.
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
    /// Encodes the proposal as the command of an entry.
    pub(super) fn to_bytes(&self) -> Bytes {
        let mut out = BytesMut::with_capacity(self.data.len() + PROPOSAL_HEADER_LEN);
        out.put_u32(self.host);
        out.put_u64(self.id.generation);
        out.put_u32(self.id.number);
        out.put_u32(self.data.len() as u32);
        out.put_slice(&self.data);
        out.freeze()
    }

    /// Decodes an entry's command, or returns `None` if it is malformed.
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

/// The last applied proposal of each host. The number of sessions is at most the number of hosts.
#[derive(Clone, Debug, Default)]
pub(super) struct Sessions(BTreeMap<u32, ProposalId>);

impl Sessions {
    /// Returns whether the proposal is to be applied, and records it if so. It is not if the same or a later proposal
    /// of its host was applied before.
    pub(super) fn admit(&mut self, proposal: &Proposal) -> bool {
        if self.0.get(&proposal.host).is_some_and(|last| *last >= proposal.id) {
            return false;
        }
        self.0.insert(proposal.host, proposal.id);
        true
    }

    /// Removes all sessions, when the log is discarded.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// Encodes a snapshot's state, which consists of the sessions and the state machine's encoded state.
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

    /// Replaces the sessions by those of a snapshot's state, and returns the state machine's encoded state.
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
