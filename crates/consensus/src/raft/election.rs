//! Leader election (Raft, section 5.2) with the election restriction (section 5.4.1).
//!
//! A server that was partitioned has received no heartbeats. Its repeated elections would raise its term, and once
//! connected again it would depose an active leader. Two rules prevent this: pre-votes (thesis, section 9.6), which
//! increment no term, and voters that ignore vote requests while they are in contact with a leader (thesis, section
//! 4.2.3).

use super::{RaftNode, Role};
use crate::fault::ConsensusFault;
use crate::state::HardState;
use std::collections::BTreeSet;
use tackmast::interface::Instant;
use tackmast_wire::consensus::{DiskIdentity, LogPosition, Message};

/// The fields of a RequestVote message.
pub(super) struct VoteRequest {
    pub pre_vote: bool,
    pub term: u64,
    pub last_log: LogPosition,
    pub identity: DiskIdentity,
}

/// The fields of a RequestVoteResponse message.
pub(super) struct VoteResponse {
    pub pre_vote: bool,
    pub term: u64,
    pub granted: bool,
    pub identity: DiskIdentity,
}

/// The facts by which a voter grants a pre-vote or a vote.
struct VoteInputs {
    /// Term of the election.
    candidate_term: u64,
    /// Latest term that the voter has seen.
    voter_term: u64,
    /// Whether the candidate's log is at least as up to date as the voter's (Raft, section 5.4.1).
    is_log_up_to_date: bool,
}

impl VoteInputs {
    /// Returns whether a pre-vote is granted, that is, whether a vote would be granted in the term that the
    /// candidate proposes. A pre-vote does not commit the voter to the candidate.
    fn allow_pre_vote(&self, has_leader_contact: bool) -> bool {
        !has_leader_contact && self.is_log_up_to_date && self.candidate_term > self.voter_term
    }

    /// Returns whether a vote is granted. `has_other_vote` is whether the voter has voted for another candidate in this
    /// term, or leads it.
    fn allow_vote(&self, has_other_vote: bool) -> bool {
        self.candidate_term == self.voter_term && !has_other_vote && self.is_log_up_to_date
    }
}

impl RaftNode {
    /// Starts a new election timeout. It is chosen at random between one and two times the configured one, so that two
    /// servers rarely start elections together and split the votes (Raft, section 9.3).
    pub(super) fn reset_election_timer(&mut self, now: Instant) {
        let timeouts = 1.0 + self.random.rand_float();
        self.election_deadline = now + self.settings.election_timeouts(timeouts);
    }

    pub(super) fn start_pre_vote(&mut self, now: Instant) {
        self.reset_election_timer(now);
        self.counters.elections += 1;
        self.become_pre_candidate();
        self.advance_on_majority(now);
    }

    fn become_pre_candidate(&mut self) {
        self.role = Role::Candidate { pre_vote: true, votes: BTreeSet::from([self.host]) };
        self.request_votes(true, self.hard_state.term + 1);
    }

    fn become_candidate(&mut self) {
        self.hard_state = HardState { term: self.hard_state.term + 1, voted_for: Some(self.host) };
        self.write_hard_state();
        self.role = Role::Candidate { pre_vote: false, votes: BTreeSet::from([self.host]) };
        self.request_votes(false, self.hard_state.term);
    }

    fn request_votes(&mut self, pre_vote: bool, term: u64) {
        let (last_log, identity) = (self.log.last(), self.identity);
        for voter in self.other_voters() {
            self.send_after_persist(voter, Message::RequestVote { pre_vote, term, last_log, identity });
        }
    }

    pub(super) fn handle_request_vote(&mut self, now: Instant, from: u32, request: VoteRequest) {
        if !self.is_voter() {
            return;
        }
        let VoteRequest { pre_vote, term, last_log, identity } = request;
        if !self.is_current_disk(from, identity) {
            return self.respond_to_vote(from, pre_vote, self.hard_state.term, false);
        }
        let is_up_to_date = last_log >= self.log.last() || self.has_fault(ConsensusFault::NoLogCheck);
        let has_leader_contact = self.has_leader_contact(now);
        if pre_vote {
            let granted = self.vote_inputs(term, is_up_to_date).allow_pre_vote(has_leader_contact);
            let response_term = if granted { term } else { self.hard_state.term };
            return self.respond_to_vote(from, pre_vote, response_term, granted);
        }
        if has_leader_contact {
            return;
        }
        self.observe_term(now, term);
        let voted_for_other = self.hard_state.voted_for.is_some_and(|candidate| candidate != from);
        let has_other_vote = voted_for_other || self.is_leader();
        let granted = self.vote_inputs(term, is_up_to_date).allow_vote(has_other_vote);
        if granted {
            self.record_vote(from);
            self.reset_election_timer(now);
        }
        self.respond_to_vote(from, pre_vote, self.hard_state.term, granted);
    }

    fn vote_inputs(&self, candidate_term: u64, is_log_up_to_date: bool) -> VoteInputs {
        VoteInputs { candidate_term, voter_term: self.hard_state.term, is_log_up_to_date }
    }

    /// Returns whether this server leads, or has received a message from a leader within the election timeout.
    fn has_leader_contact(&self, now: Instant) -> bool {
        let has_recent_contact = now - self.last_leader_contact < self.settings.election_timeout;
        self.is_leader() || (self.leader().is_some() && has_recent_contact)
    }

    /// Persists the vote, unless one is recorded, before the response is sent. Otherwise the server could vote for
    /// another candidate in the same term after a restart, and two leaders could be elected.
    fn record_vote(&mut self, candidate: u32) {
        if self.hard_state.voted_for.is_some() {
            return;
        }
        self.hard_state.voted_for = Some(candidate);
        if !self.has_fault(ConsensusFault::VoteNotPersisted) {
            self.write_hard_state();
        }
    }

    fn respond_to_vote(&mut self, candidate: u32, pre_vote: bool, term: u64, granted: bool) {
        let identity = self.identity;
        let response = Message::RequestVoteResponse { pre_vote, term, granted, identity };
        self.send_after_persist(candidate, response);
    }

    pub(super) fn handle_vote_response(&mut self, now: Instant, from: u32, response: VoteResponse) {
        if !response.granted {
            return self.observe_term(now, response.term);
        }
        if !self.is_voter() || !self.is_current_disk(from, response.identity) {
            return;
        }
        let expected_term = self.hard_state.term + u64::from(response.pre_vote);
        match &mut self.role {
            Role::Candidate { pre_vote, votes }
                if *pre_vote == response.pre_vote && response.term == expected_term =>
            {
                votes.insert(from);
            }
            _ => return,
        }
        self.advance_on_majority(now);
    }

    /// Starts the election if a majority has granted pre-votes, or becomes leader if a majority has granted votes.
    pub(super) fn advance_on_majority(&mut self, now: Instant) {
        let Role::Candidate { pre_vote, votes } = &self.role else { return };
        let pre_vote = *pre_vote;
        let count = votes.iter().filter(|voter| self.voters().contains_key(voter)).count();
        if count < self.quorum() {
            return;
        }
        if pre_vote {
            self.become_candidate();
            return self.advance_on_majority(now);
        }
        // This server's own vote must be on disk as well. The vote requests are sent only once it is, so this
        // matters only for a single voter.
        if count == 1 && self.persisted_write < self.last_write {
            return;
        }
        self.become_leader(now);
    }
}
