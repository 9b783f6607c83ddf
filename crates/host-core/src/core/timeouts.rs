//! Timeouts, among them those of attempts, and the closing of connections that are stuck in a write.

use super::tables::AttemptKey;
use super::Core;
use crate::output::Output;
use bytes::Bytes;
use tackmast::interface::{Instant, NodeId, Outcome};

impl Core {
    /// Handles everything that is due at `now`.
    pub fn handle_timeout(&mut self, now: Instant) {
        self.handle_override_timeout(now);
        self.handle_consensus_timeout(now);
        self.handle_peer_timeout(now);
        self.handle_removal_timeout(now);
        while let Some((_, node)) = self.cut_deadlines.first().copied().filter(|(due, _)| *due <= now) {
            self.cut_deadlines.pop_first();
            self.cut_stuck_attempts(now, node);
        }
        while let Some((_, key)) = self.attempt_deadlines.first().copied().filter(|(due, _)| *due <= now) {
            self.time_out(now, key);
        }
    }

    fn handle_peer_timeout(&mut self, now: Instant) {
        let Some(peers) = self.peers.as_mut().filter(|peers| peers.member.poll_timeout() <= now) else {
            return;
        };
        peers.member.handle_timeout(now);
        self.process_peer_events(now);
    }

    /// Closes the connections that are still writing attempts to a node that has been unavailable for part of the drain grace period.
    ///
    /// A node that reads nothing for a while could otherwise read such an attempt after the grace period, when it may already have
    /// been replaced.
    fn cut_stuck_attempts(&mut self, now: Instant, node: NodeId) {
        if !self.is_unavailable(now, node) {
            return;
        }
        for key in self.attempts_at_node.get(&node).cloned().unwrap_or_default() {
            if self.find_in_flight(key).is_some_and(|attempt| attempt.ticket.is_stuck()) {
                self.counters.cut += 1;
                self.outputs.push_back(Output::Cut { node, attempt: key.id() });
            }
        }
    }

    /// Ends an attempt whose deadline has passed. If no byte of it was written, it is withdrawn and provably did not run.
    fn time_out(&mut self, now: Instant, key: AttemptKey) {
        let Some(attempt) = self.find_in_flight(key) else {
            self.attempt_deadlines.pop_first();
            return;
        };
        let (node, was_unsent) = (attempt.node, attempt.ticket.withdraw());
        let is_stuck = attempt.ticket.is_stuck();
        if was_unsent {
            self.counters.withdrawn += 1;
            self.finish_attempt(now, key, Outcome::Refused, None, Bytes::new());
            return;
        }
        self.counters.timed_out += 1;
        self.push_cancel(node, key.id(), is_stuck);
        self.finish_attempt(now, key, Outcome::TimedOut, None, Bytes::new());
    }
}
