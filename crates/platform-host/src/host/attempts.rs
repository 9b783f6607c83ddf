//! Execution of the host core's outputs, and the results of attempts that are reported back to it.

use super::Host;
use crate::client_connections::InputEnd;
use crate::close_reason::CloseReason;
use crate::node_connection::PendingAttempt;
use std::net::SocketAddr;
use tackmast::interface::{Instant, NodeId, Outcome};
use tackmast_host_core::{AttemptResult, Output, Verdict};

impl Host {
    /// Passes the collected results of attempts to the core.
    pub(super) fn report_attempt_results(&mut self, now: Instant) {
        for result in std::mem::take(&mut self.attempt_results) {
            self.core.handle_attempt_result(now, result);
        }
    }

    /// Executes the core's outputs, and sends waiting attempts, until none are left.
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

    /// Sends an attempt to its node, unless it was cancelled or its client has disconnected.
    fn send_attempt(&mut self, now: Instant, pending: PendingAttempt) {
        let may_begin = self.check_client(now, pending.attempt.from.session);
        if !may_begin && !pending.attempt.ticket.is_withdrawn() {
            self.node_connections.postpone(now, pending.attempt);
        } else if !pending.attempt.ticket.is_withdrawn() {
            self.request_ids.attempt_sent(pending.attempt.from.session);
            let to = self.node_address(pending.attempt.node);
            self.node_connections.send(now, &self.poller, to, pending, &mut self.attempt_results);
        }
    }

    /// Returns whether an attempt of a client's request may begin, and aborts the request if its client has disconnected. A client may
    /// disconnect after the iteration began, or while its request waits for a token bucket, a concurrency limit, a connection or its
    /// backoff, and the close may be behind bytes that are not read yet. So this check runs whenever an attempt could begin. The result is
    /// `false` if the request was aborted, and while more of the client's bytes have to be read to know.
    pub(super) fn check_client(&mut self, now: Instant, client: u32) -> bool {
        match self.clients.drain_before_attempt(client) {
            InputEnd::Drained => true,
            InputEnd::Unread => false,
            InputEnd::Closed => {
                let event = self.clients.handle_disconnect(client);
                self.handle_client_event(now, client, Some(event));
                false
            }
            InputEnd::TooLong => {
                self.refuse_open_request(now, client);
                false
            }
        }
    }

    /// Aborts the open request of a client that has sent too many bytes behind it, and answers it with an error.
    fn refuse_open_request(&mut self, now: Instant, client: u32) {
        let open = self.clients.open_request(client);
        self.abort_request(now, client, open);
        self.refused += 1;
        let event = self.clients.close_with(now, &self.poller, client, &CloseReason::TooMuchInput);
        self.handle_client_event(now, client, event);
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
                // The connection is closed and gives no result. Without this result the attempt would count as in flight until its
                // deadline.
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
            // Hosts of the platform have no operators' overrides and no membership protocol.
            Output::Persist { .. } | Output::AdminResponse { .. } | Output::Datagram { .. } => {}
        }
    }
}
