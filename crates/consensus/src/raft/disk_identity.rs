//! Which disks vote. A voter is its host number and the id of its disk, so that a host whose disk was lost does not vote
//! again in a term. Each opening of a disk is counted and reported, so that an old copy of it is told from it. Raft as
//! published takes stable storage for granted.

use super::*;

impl RaftNode {
    /// Whether a voter's message comes from the disk that votes for it, and not from an old copy of that disk.
    pub(super) fn is_current_disk(&mut self, from: u32, identity: DiskIdentity) -> bool {
        if from == self.me {
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
            // Before anything that is sent in response: it must not be forgotten.
            self.write(Write::default());
        }
        true
    }

    /// Another process has opened this server's disk since, and may have voted: under its id this one votes no more, nor
    /// after a restart.
    pub(super) fn handle_stale_disk(&mut self, identity: DiskIdentity) {
        if identity != self.identity || self.has_fault(ConsensusFault::OldDiskVotes) {
            return;
        }
        self.draw_disk_id();
        self.role = Role::Follower { leader: None };
        self.emit(ConsensusEvent::StaleDisk { host: self.me });
        self.write(Write { disk: Some(self.identity.disk), ..Write::default() });
    }

    pub(super) fn draw_disk_id(&mut self) {
        self.identity.disk = self.random.rand_u64() | 1;
    }
}

/// Whether the disk is another one, was opened again since, or is still open by the same process.
fn is_not_older(identity: DiskIdentity, known: DiskIdentity) -> bool {
    let is_reopened = identity.boot > known.boot;
    let is_same_process = identity.boot == known.boot && identity.generation == known.generation;
    identity.disk != known.disk || is_reopened || is_same_process
}
