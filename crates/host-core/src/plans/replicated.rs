//! Plans whose changes need consensus: committed commands, snapshots, and degraded mode without a lease.

use super::changes::PlanUpdate;
use super::Plans;
use crate::error::PlanError;
use tackmast_plans::{Change, ChangeLogError, Command, Entry, Proposal, ReplicatedPlans};

/// The result of a committed command.
pub struct CommittedChange {
    /// The updates of the scheduler and the layout.
    pub updates: Vec<PlanUpdate>,
    /// The entry that was appended to the change log; `None` if the command acknowledges a version.
    pub entry: Option<Entry>,
    /// The differences between the plans before and after the command, one a line, for the response to the proposer.
    pub lines: Vec<String>,
}

/// The newest version that all hosts are known to have stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcknowledgedVersion {
    /// The version; 0 if none is known.
    pub version: u64,
    /// Whether a lower fallback limit waits until all hosts have stored a newer version.
    pub is_awaited: bool,
}

/// The result that a change would have.
pub struct ChangePreview {
    /// The number that the change would get.
    pub number: u64,
    /// The version that the plans would get.
    pub version: u64,
    /// The differences between the present plans and the changed ones, one a line.
    pub lines: Vec<String>,
}

impl Plans {
    /// Makes changes need consensus from now on, starting from the plans of the settings. The host is in degraded mode until it has a lease.
    pub fn enable_consensus(&mut self) {
        self.replicated = Some(ReplicatedPlans::starting_with(self.change_log.checkpoint.catalogue.clone()));
        (self.degraded, self.clients_wait_until) = (true, None);
    }

    /// Returns the newest version that all hosts are known to have stored, and whether a lower fallback limit waits for a newer one.
    pub fn acknowledged(&self) -> AcknowledgedVersion {
        let state = |replicated: &ReplicatedPlans| AcknowledgedVersion {
            version: replicated.notified_version(),
            is_awaited: replicated.awaits_notification(),
        };
        self.replicated.as_ref().map(state).unwrap_or_default()
    }

    /// Returns the state after the committed entries of the replicated log, for a snapshot. It is empty without consensus.
    pub fn snapshot(&self) -> Vec<u8> {
        self.replicated.as_ref().map(ReplicatedPlans::to_bytes).unwrap_or_default()
    }

    /// Resets the plans to those of the settings, with which a log begins, and returns the updates.
    pub fn reset_to_settings(&mut self) -> Vec<PlanUpdate> {
        let from = self.change_log().catalogue.clone();
        let degraded = self.degraded;
        self.enable_consensus();
        self.degraded = degraded;
        let to = self.change_log().catalogue.clone();
        self.updates(&from, &to)
    }

    /// Installs a snapshot and returns the updates.
    pub fn restore_snapshot(&mut self, state: &[u8]) -> Result<Vec<PlanUpdate>, ChangeLogError> {
        let from = self.change_log().catalogue.clone();
        self.replicated = Some(ReplicatedPlans::from_bytes(state, &self.fleet)?);
        let to = self.change_log().catalogue.clone();
        Ok(self.updates(&from, &to))
    }

    /// Enters or leaves degraded mode and returns the updates.
    pub fn set_degraded(&mut self, degraded: bool) -> Vec<PlanUpdate> {
        if std::mem::replace(&mut self.degraded, degraded) == degraded {
            return Vec::new();
        }
        self.all_updates()
    }

    /// Returns whether this host is in degraded mode, in which it keeps to the fallback limits.
    pub fn is_degraded(&self) -> bool {
        self.degraded
    }

    /// Returns the result that a change would have on the plans that this host knows, which may not be the newest.
    pub fn preview_change(&self, at_us: u64, change: Change) -> Result<ChangePreview, PlanError> {
        let Some(replicated) = &self.replicated else { return Err(PlanError::NoConsensus) };
        let Proposal { entry, catalogue: next } =
            replicated.propose(at_us, change, &self.fleet).map_err(PlanError::Refused)?;
        let lines = self.change_log().catalogue.diff(&next);
        Ok(ChangePreview { number: entry.number, version: entry.version, lines })
    }

    /// Applies a committed command. Every host applies the same commands in the same order.
    pub fn apply_committed(&mut self, command: Command) -> Result<CommittedChange, PlanError> {
        let before = self.change_log().catalogue.clone();
        let Some(replicated) = &mut self.replicated else { return Err(PlanError::NoConsensus) };
        let entry = replicated.apply(command, &self.fleet).map_err(PlanError::Refused)?;
        let to = self.change_log().catalogue.clone();
        Ok(CommittedChange { updates: self.updates(&before, &to), entry, lines: before.diff(&to) })
    }
}
