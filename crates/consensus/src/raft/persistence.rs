//! Persistence before responses (Raft, figure 2): what a message acknowledges or promises is on disk before the message
//! is sent.
//!
//! If a server acknowledged an entry or sent a vote and lost it in a crash, the majority that others had counted would
//! no longer exist. Writes are numbered and performed in order. A message waits for the last write that was issued
//! before it, and therefore for all writes that it depends on.

use super::{RaftNode, RaftOutput, Role};
use crate::event::ConsensusEvent;
use crate::state::{LogSuffix, Write};
use tackmast::interface::Instant;
use tackmast_wire::consensus::{Entry, Message};

/// Greatest number of messages that wait for a write. Further messages are dropped, which Raft tolerates like a loss in
/// the network.
const MAX_DELAYED_MESSAGES: usize = 4096;

/// A write that is not completed yet.
#[derive(Clone, Copy)]
pub(super) struct PendingWrite {
    write_id: u64,
    /// Index of the last entry on disk once the write is completed.
    last_index: u64,
}

/// A message that waits for a write.
#[derive(Clone)]
pub(super) struct DelayedMessage {
    after_write: u64,
    to: u32,
    message: Message,
}

impl RaftNode {
    pub(super) fn write(&mut self, write: Write) {
        self.last_write += 1;
        let write_id = self.last_write;
        let known_disks = std::mem::take(&mut self.known_disks_changed).then(|| self.known_disks.clone());
        self.pending_writes.push_back(PendingWrite { write_id, last_index: self.log.last().index });
        self.outputs.push_back(RaftOutput::Write(Write { write_id, known_disks, ..write }));
    }

    pub(super) fn write_hard_state(&mut self) {
        self.write(Write { hard_state: Some(self.hard_state), ..Write::default() });
    }

    pub(super) fn write_entries(&mut self, first_index: u64, entries: Vec<Entry>) {
        self.write(Write { entries: Some(LogSuffix { first_index, entries }), ..Write::default() });
    }

    /// Writes the snapshot and the entries after it.
    pub(super) fn write_snapshot(&mut self) {
        let first_index = self.log.snapshot().last.index + 1;
        let entries = self.log.entries_from(first_index, usize::MAX, usize::MAX);
        self.write(Write {
            snapshot: Some(self.log.snapshot().clone()),
            entries: Some(LogSuffix { first_index, entries }),
            ..Write::default()
        });
    }

    /// Sends a message once all writes issued so far are on disk.
    pub(super) fn send_after_persist(&mut self, to: u32, message: Message) {
        if self.delayed_messages.len() >= MAX_DELAYED_MESSAGES {
            self.counters.dropped_messages += 1;
            return;
        }
        self.delayed_messages.push_back(DelayedMessage { after_write: self.last_write, to, message });
        self.release_messages();
    }

    /// Sends a message immediately. The message must not depend on writes that are not completed.
    pub(super) fn send(&mut self, to: u32, message: Message) {
        self.outputs.push_back(RaftOutput::Send { to, message });
    }

    fn release_messages(&mut self) {
        let persisted = self.persisted_write;
        while let Some(delayed) =
            self.delayed_messages.pop_front_if(|delayed| delayed.after_write <= persisted)
        {
            self.send(delayed.to, delayed.message);
        }
    }

    /// Handles a failed write. The server does not know what is on its disk, so it acknowledges nothing until it
    /// restarts.
    pub fn on_persist_failed(&mut self) {
        if !std::mem::replace(&mut self.disk_failed, true) {
            self.emit(ConsensusEvent::DiskFailed);
        }
        self.delayed_messages.clear();
        self.role = Role::Follower { leader: None };
    }

    /// Handles the completion of the write with this number and of all before it.
    pub fn on_persisted(&mut self, now: Instant, write_id: u64) {
        if self.disk_failed || write_id <= self.persisted_write {
            return;
        }
        self.persisted_write = write_id;
        while let Some(write) = self.pending_writes.pop_front_if(|write| write.write_id <= write_id) {
            self.persisted_index = write.last_index.min(self.log.last().index);
        }
        self.release_messages();
        self.on_bootstrap_persisted(now);
        match self.role {
            Role::Leader(_) => self.update_commit_index(now),
            Role::Candidate { .. } => self.advance_on_majority(now),
            Role::Follower { .. } => {}
        }
        self.request_snapshot_if_due();
    }

    /// Removes the entry at `index` and all later ones. They do not count as persisted any more, even when their
    /// pending writes complete.
    pub(super) fn truncate_log_from(&mut self, index: u64) {
        self.log.truncate_from(index);
        self.limit_persisted_index(index - 1);
    }

    /// Lowers the persisted index to `index` at most, now and after each pending write.
    pub(super) fn limit_persisted_index(&mut self, index: u64) {
        self.persisted_index = self.persisted_index.min(index);
        for write in &mut self.pending_writes {
            write.last_index = write.last_index.min(index);
        }
    }
}
