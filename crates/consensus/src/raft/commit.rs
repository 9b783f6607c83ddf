//! Output of committed entries in order (Raft, section 5.3), and snapshots of the resulting state (section 7).

use super::{RaftNode, RaftOutput};
use bytes::Bytes;
use tackmast_wire::consensus::MAX_STATE;

impl RaftNode {
    /// Commits entries up to `index`, as far as they are in the log.
    pub(super) fn advance_commit_index(&mut self, index: u64) {
        let index = index.min(self.log.last().index);
        while self.commit_index < index {
            let Some(entry) = self.log.get(self.commit_index + 1) else { break };
            let payload = entry.payload.clone();
            self.commit_index += 1;
            self.counters.commits += 1;
            self.outputs.push_back(RaftOutput::Commit { index: self.commit_index, payload });
        }
        self.request_snapshot_if_due();
    }

    /// Requests a snapshot of the state machine if the log has exceeded its bounds and no request is pending.
    pub(super) fn request_snapshot_if_due(&mut self) {
        let is_long = self.settings.is_snapshot_due(self.log.since_snapshot());
        let snapshot_index = self.log.snapshot().last.index;
        let is_requested = self.snapshot_requested.is_some_and(|index| index > snapshot_index);
        if is_long && !is_requested && self.commit_index > snapshot_index {
            self.snapshot_requested = Some(self.commit_index);
            self.outputs.push_back(RaftOutput::TakeSnapshot { index: self.commit_index });
        }
    }

    /// Compacts the log with the requested state after entry `index`. A state longer than `MAX_STATE` is ignored.
    pub fn on_snapshot_taken(&mut self, index: u64, state: Bytes) {
        if index > self.commit_index || state.len() > MAX_STATE {
            return;
        }
        if self.log.compact(index, state) {
            self.counters.snapshots_taken += 1;
            self.write_snapshot();
        }
    }
}
