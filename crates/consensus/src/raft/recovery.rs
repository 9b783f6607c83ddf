//! What an operator does by hand after most voters are lost for good: one server begins a new log alone from what is
//! committed on it, and the others discard theirs to follow it. Not part of Raft as published.

use super::bootstrap::BootstrapState;
use super::learner::FetchState;
use super::{RaftNode, Role};
use crate::error::RecoveryError;
use crate::event::ConsensusEvent;
use crate::log::Snapshot;
use crate::state::{HardState, LogSuffix, Write};
use bytes::Bytes;
use std::collections::BTreeSet;
use tackmast::interface::Instant;
use tackmast_wire::consensus::{LogPosition, Voters};

/// Election timeouts without a leader before an operator may force a new log. A group that elects is not to be overridden.
const SILENT_ELECTION_TIMEOUTS: f64 = 10.0;

impl RaftNode {
    /// Begins a new log alone with what is committed here; its id. Replicas of the old log ignore messages of the new one,
    /// so that entries of the two are never mixed. `state` is what all entries up to the last committed one led to.
    pub(crate) fn force_new_log(&mut self, now: Instant, state: Bytes) -> Result<u64, RecoveryError> {
        if self.disk_failed || self.bootstrap.is_some() || self.log.snapshot().log_id == 0 {
            return Err(RecoveryError::NoLog);
        }
        if self.is_leader() || !self.is_leader_gone(now) {
            return Err(RecoveryError::RecentLeaderContact {
                silent_s: (now - self.last_leader_contact).secs().max(0.0),
                min_silent_s: self.settings.election_timeouts(SILENT_ELECTION_TIMEOUTS).secs(),
            });
        }
        self.forget_persisted_after(self.commit_index);
        let log_id = self.random.rand_u64() | 1;
        // With a new disk id, replicas of the old log do not count this server's votes any more.
        self.choose_new_disk_id();
        let voters = Voters::from([(self.host, self.identity.disk)]);
        let last = LogPosition { term: self.hard_state.term + 1, index: self.commit_index };
        self.hard_state = HardState { term: last.term, voted_for: None };
        self.log.restore(Snapshot { log_id, last, voters, state });
        self.write(Write { disk: Some(self.identity.disk), ..Write::default() });
        self.write_hard_state();
        self.write_snapshot();
        self.role = Role::Follower { leader: None };
        self.reset_election_timer(now);
        self.emit(ConsensusEvent::LogForced { host: self.host, commit_index: self.commit_index, log_id });
        Ok(log_id)
    }

    /// Discards the log, so that this server can follow another; it does not vote until it is made a voter.
    pub(crate) fn discard_log(
        &mut self,
        now: Instant,
        initial_voters: &BTreeSet<u32>,
    ) -> Result<(), RecoveryError> {
        let is_needed = self.is_voter() && !self.is_leader_gone(now);
        if self.disk_failed || self.is_leader() || is_needed {
            return Err(RecoveryError::ActiveVoter);
        }
        self.emit(ConsensusEvent::LogDiscarded { host: self.host, commit_index: self.commit_index });
        self.forget_persisted_after(0);
        self.choose_new_disk_id();
        // With its new id this disk has never voted, and the other log has terms of its own.
        self.hard_state = HardState::default();
        self.commit_index = 0;
        self.fetch = FetchState::default();
        self.snapshot_requested = None;
        self.role = Role::Follower { leader: None };
        self.log.restore(Snapshot::default());
        // As an initial voter it could begin a second log beside the one that it is to follow.
        self.bootstrap = Some(BootstrapState::learner(initial_voters.clone()));
        self.write(Write {
            hard_state: Some(self.hard_state),
            snapshot: Some(Snapshot::default()),
            entries: Some(LogSuffix { first_index: 1, entries: Vec::new() }),
            disk: Some(self.identity.disk),
            ..Write::default()
        });
        Ok(())
    }

    fn is_leader_gone(&self, now: Instant) -> bool {
        now - self.last_leader_contact >= self.settings.election_timeouts(SILENT_ELECTION_TIMEOUTS)
    }
}
