//! Manual recovery after a majority of the voters is permanently lost: one server starts a new log alone with the
//! entries that it knows to be committed, and the others discard theirs to follow it. This is not part of Raft as
//! published.

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

/// Number of election timeouts without contact with a leader after which an operator may force a new log. A group that
/// still elects leaders must not be overridden.
const RECOVERY_ELECTION_TIMEOUTS: f64 = 10.0;

impl RaftNode {
    /// Starts a new log with this server as the only voter and returns the log's id. Replicas of the old log ignore
    /// messages of the new one, so that entries of the two are never mixed. `state` is the encoded state after the last
    /// committed entry.
    pub(crate) fn force_new_log(&mut self, now: Instant, state: Bytes) -> Result<u64, RecoveryError> {
        if self.disk_failed || self.bootstrap.is_some() || self.log.snapshot().log_id == 0 {
            return Err(RecoveryError::NoLog);
        }
        if self.is_leader() || !self.has_lost_leader(now) {
            return Err(RecoveryError::RecentLeaderContact {
                silent_s: (now - self.last_leader_contact).secs().max(0.0),
                min_silent_s: self.settings.election_timeouts(RECOVERY_ELECTION_TIMEOUTS).secs(),
            });
        }
        self.limit_persisted_index(self.commit_index);
        let log_id = self.random.rand_u64() | 1;
        // With a new disk id, this server's votes no longer count for replicas of the old log.
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

    /// Discards the log, so that this server can follow another one. It does not vote until it is added as a voter.
    pub(crate) fn discard_log(
        &mut self,
        now: Instant,
        initial_voters: &BTreeSet<u32>,
    ) -> Result<(), RecoveryError> {
        let is_active_voter = self.is_voter() && !self.has_lost_leader(now);
        if self.disk_failed || self.is_leader() || is_active_voter {
            return Err(RecoveryError::ActiveVoter);
        }
        self.emit(ConsensusEvent::LogDiscarded { host: self.host, commit_index: self.commit_index });
        self.limit_persisted_index(0);
        self.choose_new_disk_id();
        // The disk has not voted under its new id, and terms of the old log do not apply to the other one.
        self.hard_state = HardState::default();
        self.commit_index = 0;
        self.fetch = FetchState::default();
        self.snapshot_requested = None;
        self.role = Role::Follower { leader: None };
        self.log.restore(Snapshot::default());
        // As an initial voter this server could start a second log besides the one that it is to follow.
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

    fn has_lost_leader(&self, now: Instant) -> bool {
        now - self.last_leader_contact >= self.settings.election_timeouts(RECOVERY_ELECTION_TIMEOUTS)
    }
}
