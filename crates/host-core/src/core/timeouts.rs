//! Time: attempts that time out, and connections that are cut.

use super::tables::AttemptKey;
use super::Core;
use crate::output::Output;
use bytes::Bytes;
use tackmast::interface::{Instant, NodeId, Outcome};

impl Core {
    /// Time has passed: what is due by now happens.
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

    /// Part of the grace of a drain is over. A node that takes no bytes would read an attempt that is still being written after the
    /// grace, when it may have been replaced; so the connections of such attempts are cut.
    fn cut_stuck_attempts(&mut self, now: Instant, node: NodeId) {
        if !self.is_unavailable(now, node) {
            return;
        }
        for key in self.attempts_at_node.get(&node).cloned().unwrap_or_default() {
            if self.in_flight(key).is_some_and(|attempt| attempt.ticket.is_stuck()) {
                self.counters.cut += 1;
                self.outputs.push_back(Output::Cut { node, attempt: key.id() });
            }
        }
    }

    /// Ends an attempt whose time is over. An attempt of which no byte was written is withdrawn: it provably did not run.
    fn time_out(&mut self, now: Instant, key: AttemptKey) {
        let Some(attempt) = self.in_flight(key) else {
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
