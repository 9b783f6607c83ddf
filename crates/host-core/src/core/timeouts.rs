//! Time: attempts that time out, and connections that are cut.

use super::*;

impl Core {
    /// Time has passed: attempts whose time is up end.
    pub fn handle_timeout(&mut self, now: Instant) {
        self.handle_override_timeout(now);
        self.handle_consensus_timeout(now);
        if self.peers.as_ref().is_some_and(|peers| peers.member.poll_timeout() <= now) {
            if let Some(peers) = &mut self.peers {
                peers.member.handle_timeout(now);
            }
            self.process_peer_events(now);
        }
        while let Some((_, node)) = self.cut_deadlines.first().copied().filter(|(t, _)| *t <= now) {
            self.cut_deadlines.pop_first();
            let stopped = self.is_unavailable(now, node);
            for (id, no) in self.at_node.get(&node).cloned().unwrap_or_default() {
                let attempt =
                    self.requests.get(&id).and_then(|request| request.out.iter().find(|o| o.no == no));
                if stopped && attempt.is_some_and(|o| o.ticket.is_stuck()) {
                    self.counters.cut += 1;
                    self.outputs.push_back(Output::Cut { node, attempt: attempt_id(id, no) });
                }
            }
        }
        while let Some((_, id, no)) = self.until.first().copied().filter(|(t, _, _)| *t <= now) {
            let attempt = self.requests.get(&id).and_then(|request| request.out.iter().find(|o| o.no == no));
            let Some((node, unsent, stuck)) =
                attempt.map(|o| (o.node, o.ticket.withdraw(), o.ticket.is_stuck()))
            else {
                self.until.pop_first();
                continue;
            };
            let outcome = if unsent { Outcome::Refused } else { Outcome::TimedOut };
            match unsent {
                true => self.counters.withdrawn += 1,
                false => {
                    self.counters.timed_out += 1;
                    self.push_cancel(node, attempt_id(id, no), stuck);
                }
            }
            self.finish_attempt(now, id, no, outcome, None, Bytes::new());
        }
    }
}
