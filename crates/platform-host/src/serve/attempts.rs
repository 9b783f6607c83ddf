//! What the core decides, to connections of nodes, and back.

use super::*;

impl Host {
    pub(super) fn take_back(&mut self, now: Instant) {
        for back in std::mem::take(&mut self.back) {
            self.core.attempt_finished(now, back);
        }
    }

    /// Does what the core asks, until it asks for nothing.
    pub(super) fn carry_out(&mut self) {
        loop {
            let now = self.clock.now();
            while let Some(output) = self.core.next_output(now) {
                self.output(now, output);
            }
            let rested = self.links.rested(now).map(|a| (a, true));
            if let Some(next) = rested.or_else(|| self.links.next_waiting().map(|a| (a, false))) {
                self.begin(now, next);
                continue;
            }
            if self.back.is_empty() {
                return;
            }
            self.take_back(now);
        }
    }

    /// An attempt leaves for its node, unless it is not wanted any more.
    fn begin(&mut self, now: Instant, (attempt, has_waited): (SendAttempt, bool)) {
        self.look_for(now, attempt.from.session);
        if !attempt.ticket.is_withdrawn() {
            let to = self.node_address(attempt.node);
            self.links.send(now, &self.poller, to, (attempt, has_waited), &mut self.back);
        }
    }

    /// A client may have gone since this turn began, or while its request waited for a bucket, a cap, a connection or its
    /// backoff, and a long turn comes late to that: it is looked for whenever an attempt of its request could begin.
    pub(super) fn look_for(&mut self, now: Instant, client: u32) {
        if self.clients.has_left(client) {
            let said = self.clients.left(client);
            self.said(now, client, Some(said));
        }
    }

    fn node_address(&self, node: NodeId) -> Option<SocketAddr> {
        self.core.nodes().address(node).and_then(|a| a.parse().ok())
    }

    fn output(&mut self, now: Instant, output: Output) {
        match output {
            Output::Send(attempt) => self.begin(now, (*attempt, false)),
            Output::Cancel { attempt, .. } | Output::Cut { attempt, .. } => {
                self.links.give_up(attempt);
                // Its connection is closed: nothing more comes of it, and it must not count as out until its time is up.
                if self.core.is_out(attempt) {
                    let (outcome, data) = (Outcome::Cancelled, Bytes::new());
                    self.core.attempt_finished(
                        now,
                        AttemptResult { attempt, outcome, waiting: None, elsewhere: None, data },
                    );
                }
            }
            Output::Answer { to, verdict } => {
                let id = to.session;
                self.forget(now, id);
                let (status, body, retry_after) = match &verdict {
                    Verdict::Done { data } => (200, &data[..], None),
                    Verdict::Rejected { retry_after } => (503, &b"deferred"[..], *retry_after),
                    Verdict::Failed => (502, &b"abandoned"[..], None),
                };
                let said = self.clients.answer(now, &self.poller, id, status, body, retry_after);
                self.said(now, id, said);
                self.may_have_more(id);
            }
            Output::FollowList { .. } | Output::FetchList => {
                self.follows = true;
                if !self.watch.is_calling() {
                    self.ask(now);
                }
            }
            Output::Mode { line, .. } => tracing::info!("{line}"),
            // Neither operators' orders nor fellows are taken in here.
            Output::Keep { .. } | Output::Reply { .. } | Output::Datagram { .. } => {}
        }
    }
}
