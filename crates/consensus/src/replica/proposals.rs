//! This replica's own proposals until they are committed. They are sent one at a time. If a later one were committed
//! first, the earlier one would be taken for a duplicate and dropped.

use super::sessions::{Proposal, ProposalId, PROPOSAL_HEADER_LEN};
use super::Replica;
use crate::error::ProposeError;
use crate::output::ReplicaOutput;
use bytes::Bytes;
use tackmast::interface::Instant;
use tackmast_wire::consensus::{Message, MAX_ENTRY};

/// Greatest number of pending proposals.
const MAX_PENDING_PROPOSALS: usize = 256;
/// Timeout of a proposal in election timeouts. The proposal may still be committed afterwards.
const PROPOSAL_TIMEOUTS: f64 = 12.0;
/// Number of heartbeat intervals after which a proposal without a result is sent again.
const PROPOSAL_RETRY_HEARTBEATS: f64 = 4.0;

/// A proposal that is not known to be committed.
#[derive(Clone)]
pub(super) struct PendingProposal {
    number: u32,
    bytes: Bytes,
    retry_at: Instant,
    deadline: Instant,
    /// The term in which this replica, as leader, appended the proposal to its own log.
    appended_in_term: Option<u64>,
}

impl PendingProposal {
    /// Returns when the proposal is to be sent again or times out.
    pub(super) fn poll_timeout(&self) -> Instant {
        self.retry_at.min(self.deadline)
    }
}

impl Replica {
    /// Proposes a command, and returns the number by which the output `Committed` or `ProposalTimedOut` refers to it.
    pub fn propose(&mut self, now: Instant, data: Bytes) -> Result<u32, ProposeError> {
        if data.len() + PROPOSAL_HEADER_LEN > MAX_ENTRY {
            return Err(ProposeError::TooLong { bytes: data.len() });
        }
        if self.proposals.len() >= MAX_PENDING_PROPOSALS {
            return Err(ProposeError::QueueFull { waiting: self.proposals.len() as u64 });
        }
        self.last_proposal += 1;
        let number = self.last_proposal;
        let id = ProposalId { generation: self.generation(), number };
        self.proposals.push_back(PendingProposal {
            number,
            bytes: Proposal { host: self.host, id, data }.to_bytes(),
            retry_at: now,
            deadline: now + self.settings.election_timeouts(PROPOSAL_TIMEOUTS),
            appended_in_term: None,
        });
        self.handle_timeout(now);
        Ok(number)
    }

    pub(super) fn send_first_proposal(&mut self, now: Instant) {
        self.expire_proposals(now);
        let Some(proposal) = self.proposals.front() else { return };
        let term = self.raft.term();
        let is_appended = proposal.appended_in_term == Some(term);
        let is_new_leader = self.raft.is_leader() && !is_appended;
        if now < proposal.retry_at && !is_new_leader {
            return;
        }
        let bytes = proposal.bytes.clone();
        let appended_in_term = match self.raft.is_leader() {
            // The proposal is already in this leader's log, and only has to be committed.
            true if is_appended => Some(term),
            true => self.raft.propose(now, bytes).ok().map(|_| term),
            false => {
                self.send_to_leader(now, bytes);
                None
            }
        };
        let retry_at = now + self.settings.heartbeats(PROPOSAL_RETRY_HEARTBEATS);
        if let Some(proposal) = self.proposals.front_mut() {
            proposal.retry_at = retry_at;
            proposal.appended_in_term = appended_in_term;
        }
    }

    fn expire_proposals(&mut self, now: Instant) {
        while let Some(proposal) = self.proposals.pop_front_if(|proposal| now >= proposal.deadline) {
            self.outputs.push_back(ReplicaOutput::ProposalTimedOut { number: proposal.number });
        }
    }

    fn send_to_leader(&mut self, now: Instant, data: Bytes) {
        let own_host = self.host;
        if let Some(to) = self.leader_or_next_voter().filter(|to| *to != own_host) {
            let log_id = self.raft.log().snapshot().log_id;
            self.send(now, to, Message::Propose { log_id, data });
        }
    }

    /// Removes the proposal with this number, which is committed, and all earlier ones.
    pub(super) fn on_own_proposal_committed(&mut self, now: Instant, number: u32) {
        self.proposals.retain(|proposal| proposal.number > number);
        self.retry_first_proposal(now);
    }

    pub(super) fn retry_first_proposal(&mut self, now: Instant) {
        if let Some(proposal) = self.proposals.front_mut() {
            proposal.retry_at = now;
        }
    }
}
