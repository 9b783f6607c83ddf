//! Single-server membership changes (thesis, section 4.1): majorities of two configurations that differ by one voter
//! always overlap. A configuration takes effect when it is appended, before it is committed.

use super::leader_state::LeaderState;
use super::{RaftNode, Role, MAX_UNCOMMITTED};
use crate::error::{ProposeError, VoterChangeError};
use crate::fault::ConsensusFault;
use tackmast::interface::Instant;
use tackmast_wire::consensus::{EntryPayload, MAX_VOTERS};

impl RaftNode {
    /// Adds `host` to the voters with the disk that it last reported. Returns the index of the entry with the new
    /// configuration, which takes effect immediately.
    pub fn add_voter(&mut self, now: Instant, host: u32) -> Result<u64, ProposeError> {
        let leader = self.check_can_change_voters()?;
        let disk = leader.reported_disks.get(&host).copied();
        let stored_index = leader.stored_reports.get(&host).map(|report| report.stored_index);
        let (Some(disk), Some(stored_index)) = (disk, stored_index) else {
            return Err(VoterChangeError::Unknown { host }.into());
        };
        if stored_index + MAX_UNCOMMITTED < self.commit_index {
            let min_index = self.commit_index.saturating_sub(MAX_UNCOMMITTED);
            return Err(VoterChangeError::TooFarBehind { host, stored_index, min_index }.into());
        }
        let mut voters = self.voters().clone();
        if voters.contains_key(&host) {
            return Err(VoterChangeError::AlreadyVoter { host }.into());
        }
        if voters.len() >= MAX_VOTERS {
            return Err(VoterChangeError::TooManyVoters.into());
        }
        voters.insert(host, disk);
        Ok(self.append_entry(now, EntryPayload::Voters(voters)))
    }

    /// Removes `host` from the voters. Returns the index of the entry with the new configuration, which takes effect
    /// immediately.
    pub fn remove_voter(&mut self, now: Instant, host: u32) -> Result<u64, ProposeError> {
        self.check_can_change_voters()?;
        let mut voters = self.voters().clone();
        if voters.remove(&host).is_none() || voters.is_empty() {
            return Err(VoterChangeError::NotRemovable { host }.into());
        }
        Ok(self.append_entry(now, EntryPayload::Voters(voters)))
    }

    /// Checks that the previous configuration is committed, and an entry of this term as well (erratum of 2015 to
    /// section 4.1). With two changes at once, majorities of the first and the last configuration need not overlap, and
    /// each could elect a leader.
    fn check_can_change_voters(&self) -> Result<&LeaderState, ProposeError> {
        self.check_can_append()?;
        let Role::Leader(leader) = &self.role else {
            return Err(ProposeError::NotLeader { leader: None });
        };
        let configuration_index = self.log.configuration().index;
        let is_pending =
            configuration_index > self.commit_index || self.commit_index < leader.term_start_index;
        if is_pending && !self.has_fault(ConsensusFault::TwoChangesAtOnce) {
            return Err(ProposeError::VoterChangePending);
        }
        Ok(leader)
    }
}
