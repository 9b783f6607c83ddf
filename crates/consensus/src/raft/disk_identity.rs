//! Recognition of lost and copied disks. Raft as published assumes that stable storage is never lost.
//!
//! A server that lost its disk has lost its vote and its entries. If it voted again in the same term, two leaders could
//! be elected, or a committed entry could be lost. A voter is therefore identified by its host number and the id of its
//! disk. An old copy of a disk has the same id, so each opening of a disk is counted, and the count is sent with
//! messages, by which voters recognise the copy.

use super::{RaftNode, Role};
use crate::event::ConsensusEvent;
use crate::fault::ConsensusFault;
use crate::state::Write;
use tackmast_wire::consensus::{DiskIdentity, Message};

impl RaftNode {
    /// Returns whether a message comes from the disk that is registered for a voter, and not from an old copy of that
    /// disk.
    pub(super) fn is_current_disk(&mut self, from: u32, identity: DiskIdentity) -> bool {
        if from == self.host {
            return false;
        }
        let is_voters =
            self.voters().get(&from) == Some(&identity.disk) || self.has_fault(ConsensusFault::LostDiskVotes);
        let known = self.known_disks.get(&from).copied();
        let is_current = known.is_none_or(|known| is_not_older(identity, known));
        if !is_voters || !(is_current || self.has_fault(ConsensusFault::OldDiskVotes)) {
            self.counters.rejected_disks += 1;
            if is_voters {
                self.send(from, Message::StaleDisk { identity });
            }
            return false;
        }
        if known != Some(identity) && is_current {
            self.known_disks.insert(from, identity);
            self.known_disks_changed = true;
            // The disk is persisted before the response is sent. Otherwise an older copy of that disk would be accepted
            // again after a restart of this server.
            self.write(Write::default());
        }
        true
    }

    /// Handles a report that another process has opened this server's disk since, and may have voted. This server takes
    /// a new disk id, so that it does not vote any more, even after a restart.
    pub(super) fn handle_stale_disk(&mut self, identity: DiskIdentity) {
        if identity != self.identity || self.has_fault(ConsensusFault::OldDiskVotes) {
            return;
        }
        self.choose_new_disk_id();
        self.role = Role::Follower { leader: None };
        self.emit(ConsensusEvent::StaleDisk { host: self.host });
        self.write(Write { disk: Some(self.identity.disk), ..Write::default() });
    }

    pub(super) fn choose_new_disk_id(&mut self) {
        self.identity.disk = self.random.rand_u64() | 1;
    }
}

/// Returns whether the disk is a different one, was opened again since, or is still open in the same process.
fn is_not_older(identity: DiskIdentity, known: DiskIdentity) -> bool {
    let is_reopened = identity.boot > known.boot;
    let is_same_process = identity.boot == known.boot && identity.generation == known.generation;
    identity.disk != known.disk || is_reopened || is_same_process
}
