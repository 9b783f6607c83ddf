//! Plans that hosts change by consensus: committed commands, snapshots, and degraded mode without a lease.

use super::changes::PlanUpdate;
use super::Plans;
use crate::error::PlanError;
use tackmast_plans::{Change, ChangeLogError, Command, Entry, Proposal, ReplicatedPlans};

/// What a committed command did.
pub struct CommittedChange {
    /// What changes for the scheduler.
    pub updates: Vec<PlanUpdate>,
    /// The entry of the change log, if one was made.
    pub entry: Option<Entry>,
    /// What the proposer is shown.
    pub lines: Vec<String>,
}

/// The newest version that is known to be stored on all hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcknowledgedVersion {
    /// The version.
    pub version: u64,
    /// Whether a lower fallback limit waits for a newer one.
    pub is_awaited: bool,
}

/// What a change would do.
pub struct ChangePreview {
    /// The number that it would have.
    pub number: u64,
    /// The version that it would make.
    pub version: u64,
    /// What would change, line by line.
    pub lines: Vec<String>,
}

impl Plans {
    /// Changes need consensus from now on. Until it has a lease, this host is in degraded mode.
    pub fn enable_consensus(&mut self) {
        self.replicated = Some(ReplicatedPlans::starting_with(self.change_log.checkpoint.catalogue.clone()));
        (self.degraded, self.clients_wait_until) = (true, None);
    }

    /// The newest version that is known to be stored on all hosts, and whether a lower fallback limit waits for that.
    pub fn acknowledged(&self) -> AcknowledgedVersion {
        let state = |replicated: &ReplicatedPlans| AcknowledgedVersion {
            version: replicated.notified_version(),
            is_awaited: replicated.awaits_notification(),
        };
        self.replicated.as_ref().map(state).unwrap_or_default()
    }

    /// The state that the entries of the replicated log led to.
    pub fn snapshot(&self) -> Vec<u8> {
        self.replicated.as_ref().map(ReplicatedPlans::to_bytes).unwrap_or_default()
    }

    /// Back to the plans of the settings, with which a log begins.
    pub fn reset_to_settings(&mut self) -> Vec<PlanUpdate> {
        let from = self.change_log().catalogue.clone();
        let degraded = self.degraded;
        self.enable_consensus();
        self.degraded = degraded;
        let to = self.change_log().catalogue.clone();
        self.updates(&from, &to)
    }

    /// Installs a snapshot; returns what changes by that.
    pub fn restore_snapshot(&mut self, state: &[u8]) -> Result<Vec<PlanUpdate>, ChangeLogError> {
        let from = self.change_log().catalogue.clone();
        self.replicated = Some(ReplicatedPlans::from_bytes(state, &self.fleet)?);
        let to = self.change_log().catalogue.clone();
        Ok(self.updates(&from, &to))
    }

    /// Enters or leaves degraded mode; returns what changes by that.
    pub fn set_degraded(&mut self, degraded: bool) -> Vec<PlanUpdate> {
        if std::mem::replace(&mut self.degraded, degraded) == degraded {
            return Vec::new();
        }
        self.all_updates()
    }

    /// Whether this host is in degraded mode, with the fallback limits.
    pub fn is_degraded(&self) -> bool {
        self.degraded
    }

    /// What a change would do, as far as this host knows.
    pub fn preview_change(&self, at_us: u64, change: Change) -> Result<ChangePreview, PlanError> {
        let Some(replicated) = &self.replicated else { return Err(PlanError::NoConsensus) };
        let Proposal { entry, catalogue: next } =
            replicated.propose(at_us, change, &self.fleet).map_err(PlanError::Refused)?;
        let lines = self.change_log().catalogue.diff(&next);
        Ok(ChangePreview { number: entry.number, version: entry.version, lines })
    }

    /// Applies a committed command.
    pub fn apply_committed(&mut self, command: Command) -> Result<CommittedChange, PlanError> {
        let before = self.change_log().catalogue.clone();
        let Some(replicated) = &mut self.replicated else { return Err(PlanError::NoConsensus) };
        let entry = replicated.apply(command, &self.fleet).map_err(PlanError::Refused)?;
        let to = self.change_log().catalogue.clone();
        Ok(CommittedChange { updates: self.updates(&before, &to), entry, lines: before.diff(&to) })
    }
}
