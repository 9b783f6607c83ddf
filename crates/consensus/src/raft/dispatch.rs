//! Dispatch of messages to the modules that handle them. Messages that belong to another log are ignored.

use super::{bootstrap, election, follower, leases, replication, RaftNode};
use crate::log::Snapshot;
use tackmast::interface::Instant;
use tackmast_wire::consensus::Message;

impl RaftNode {
    /// Handles a message from the replica of host `from`, which may be this one.
    pub fn handle_message(&mut self, now: Instant, from: u32, message: Message) {
        if self.disk_failed || self.is_of_other_log(&message) {
            return;
        }
        match message {
            Message::RequestVote { pre_vote, term, last_log, identity } => {
                let request = election::VoteRequest { pre_vote, term, last_log, identity };
                self.handle_request_vote(now, from, request)
            }
            Message::RequestVoteResponse { pre_vote, term, granted, identity } => {
                let response = election::VoteResponse { pre_vote, term, granted, identity };
                self.handle_vote_response(now, from, response)
            }
            Message::AppendEntries { term, round, previous, commit_index, entries, .. } => {
                let request = follower::AppendRequest { term, round, previous, commit_index, entries };
                self.handle_append_entries(now, from, request)
            }
            Message::AppendEntriesResponse { term, round, success, index, identity } => {
                let response = replication::AppendResponse { term, round, success, index, identity };
                self.handle_append_response(now, from, response)
            }
            Message::InstallSnapshot { term, log_id, last, voters, state } => {
                self.handle_install_snapshot(now, from, term, Snapshot { log_id, last, voters, state })
            }
            Message::Propose { data, .. } => self.handle_proposal(now, from, data),
            Message::RequestLease { sequence, stored_index, identity } => self.handle_lease_request(
                now,
                from,
                leases::LeaseRequest { sequence, stored_index, identity },
            ),
            Message::FetchCommitted { stored_index } => self.send_committed(from, stored_index),
            Message::CommittedEntries { after, entries, .. } => {
                self.handle_committed_entries(now, after, entries)
            }
            Message::CommittedSnapshot { log_id, last, voters, state } => {
                self.handle_committed_snapshot(now, Snapshot { log_id, last, voters, state })
            }
            Message::Bootstrap { identity, confirmed, bootstrapped, disks } => {
                let announcement = bootstrap::Announcement { identity, confirmed, bootstrapped, disks };
                self.handle_bootstrap(now, from, announcement)
            }
            Message::StaleDisk { identity } => self.handle_stale_disk(identity),
            Message::LeaseGranted { .. } | Message::LeaderHint { .. } => {}
        }
    }

    /// Returns whether the message belongs to another log, for example to the one that a forced log replaced.
    fn is_of_other_log(&self, message: &Message) -> bool {
        match message {
            Message::AppendEntries { log_id, .. }
            | Message::CommittedEntries { log_id, .. }
            | Message::Propose { log_id, .. } => *log_id != self.log.snapshot().log_id,
            _ => false,
        }
    }
}
