//! Plans that hosts change by consensus: committed commands, snapshots, and degraded mode without a lease.

use super::*;

/// A committed command: what changes here, the entry of the change log that it made, and the lines for whoever proposed it.
pub struct CommittedChange {
    pub updates: Vec<PlanUpdate>,
    pub entry: Option<Entry>,
    pub lines: Vec<String>,
}

impl Plans {
    /// Changes need consensus from here on; until it has a lease this host is in degraded mode.
    pub fn enable_consensus(&mut self) {
        self.replicated = Some(ReplicatedPlans::starting_with(self.change_log.checkpoint.catalogue.clone()));
        (self.degraded, self.clients_wait_until) = (true, None);
    }

    /// The newest version that is known to be stored on all hosts, and whether a lower fallback limit waits for that.
    pub fn acknowledged(&self) -> (u64, bool) {
        self.replicated.as_ref().map_or((0, false), |a| (a.notified_version(), a.awaits_notification()))
    }

    /// The state that the entries of the replicated log led to.
    pub fn snapshot(&self) -> Vec<u8> {
        self.replicated.as_ref().map(ReplicatedPlans::to_bytes).unwrap_or_default()
    }

    /// Back to the beginning of a log.
    pub fn reset_to_settings(&mut self) -> Vec<PlanUpdate> {
        let from = self.change_log().catalogue.clone();
        let degraded = self.degraded;
        self.enable_consensus();
        self.degraded = degraded;
        let to = self.change_log().catalogue.clone();
        self.updates(&from, &to)
    }

    /// Goes on from a snapshot; returns what changes by that.
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

    /// Whether this host goes by the fallback limits.
    pub fn is_degraded(&self) -> bool {
        self.degraded
    }

    /// What a change would do, as far as this host knows.
    pub fn preview_change(&self, at_us: u64, change: Change) -> Result<(u64, u64, Vec<String>), PlanError> {
        let Some(a) = &self.replicated else { return Err(PlanError::NoConsensus) };
        let Proposal { entry, catalogue: next } =
            a.propose(at_us, change, &self.fleet).map_err(PlanError::Refused)?;
        Ok((entry.number, entry.version, self.change_log().catalogue.diff(&next)))
    }

    /// Applies a committed command.
    pub fn apply_committed(&mut self, command: Command) -> Result<CommittedChange, PlanError> {
        let before = self.change_log().catalogue.clone();
        let Some(a) = &mut self.replicated else { return Err(PlanError::NoConsensus) };
        let entry = a.apply(command, &self.fleet).map_err(PlanError::Refused)?;
        let to = self.change_log().catalogue.clone();
        Ok(CommittedChange { updates: self.updates(&before, &to), entry, lines: before.diff(&to) })
    }
}
