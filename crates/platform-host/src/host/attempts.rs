//! Outputs of the host core towards nodes and clients, and the results of attempts back to it.

use super::Host;
use crate::node_connection::PendingAttempt;
use std::net::SocketAddr;
use tackmast::interface::{Instant, NodeId, Outcome};
use tackmast_host_core::{AttemptResult, Output, Verdict};

impl Host {
    pub(super) fn report_attempt_results(&mut self, now: Instant) {
        for result in std::mem::take(&mut self.attempt_results) {
            self.core.handle_attempt_result(now, result);
        }
    }

    /// Executes the core's outputs until there are none.
    pub(super) fn execute_outputs(&mut self) {
        loop {
            let now = self.clock.now();
            while let Some(output) = self.core.poll_output(now) {
                self.handle_output(now, output);
            }
            let delayed = self.node_connections.next_delayed_attempt(now);
            if let Some(pending) = delayed.or_else(|| self.node_connections.next_waiting_attempt()) {
                self.send_attempt(now, pending);
                continue;
            }
            if self.attempt_results.is_empty() {
                return;
            }
            self.report_attempt_results(now);
        }
    }

    /// Sends an attempt to its node, unless it was cancelled meanwhile.
    fn send_attempt(&mut self, now: Instant, pending: PendingAttempt) {
        self.check_client(now, pending.attempt.from.session);
        if !pending.attempt.ticket.is_withdrawn() {
            let to = self.node_address(pending.attempt.node);
            self.node_connections.send(now, &self.poller, to, pending, &mut self.attempt_results);
        }
    }

    /// A client may have gone since this iteration began, or while its request waited for a token bucket, a concurrency limit, a
    /// connection or its backoff. The poller reports that in the next iteration only, and a long iteration would send the request
    /// before. So each client is checked whenever an attempt of its request could begin.
    pub(super) fn check_client(&mut self, now: Instant, client: u32) {
        if self.clients.has_disconnected(client) {
            let event = self.clients.handle_disconnect(client);
            self.handle_client_event(now, client, Some(event));
        }
    }

    fn node_address(&self, node: NodeId) -> Option<SocketAddr> {
        self.core.nodes().address(node).and_then(|address| address.parse().ok())
    }

    fn handle_output(&mut self, now: Instant, output: Output) {
        match output {
            Output::Send(attempt) => {
                self.send_attempt(now, PendingAttempt { attempt: *attempt, has_waited: false });
            }
            Output::Cancel { attempt, .. } | Output::Cut { attempt, .. } => {
                self.node_connections.cancel(attempt);
                // The connection is closed, so no result will come from it: without this one, the attempt would count as in flight until
                // its deadline.
                if self.core.is_in_flight(attempt) {
                    let result = AttemptResult::unanswered(attempt, Outcome::Cancelled);
                    self.core.handle_attempt_result(now, result);
                }
            }
            Output::Answer { to, verdict } => {
                let id = to.session;
                self.request_ids.finish(now, id);
                let (status, body, retry_after) = match &verdict {
                    Verdict::Done { data } => (200, &data[..], None),
                    Verdict::Rejected { retry_after } => (503, &b"deferred"[..], *retry_after),
                    Verdict::Failed => (502, &b"abandoned"[..], None),
                };
                let event = self.clients.answer(now, &self.poller, id, status, body, retry_after);
                self.handle_client_event(now, id, event);
                self.queue_pipelined(id);
            }
            Output::WatchEndpointList { .. } => self.watch_list(now),
            Output::FetchEndpointList => self.fetch_complete_list(now),
            Output::Event(event) => tackmast_host_core::log_event(None, self.core.nodes(), &event),
            // This host takes no operators' overrides and has no membership.
            Output::Persist { .. } | Output::AdminResponse { .. } | Output::Datagram { .. } => {}
        }
    }
}
