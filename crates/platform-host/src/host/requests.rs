//! Requests of clients: accepting connections, parsing calls, and submitting them to the host core.

use super::Host;
use crate::client_connections::ClientEvent;
use crate::close_reason::CloseReason;
use crate::shutdown_schedule::ShutdownPhase;
use std::io::ErrorKind;
use tackmast::interface::{Instant, NodeState};
use tackmast::policy::may_serve_by_list;
use tackmast_host_core::{CommandId, ObjectRequest, OpaqueRequest};
use tackmast_http::Request;
use tackmast_platform::Call;

/// Maximum number of connections accepted in one call of `Host::accept`.
const MAX_ACCEPTS_PER_ITERATION: usize = 32;

impl Host {
    /// Accepts connections from the listener, at most [`MAX_ACCEPTS_PER_ITERATION`].
    pub(super) fn accept(&mut self, now: Instant) {
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok((stream, _)) => self.clients.accepted(now, &self.poller, stream),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {
                    // No descriptor is left, although the resource budget reserves some. The listener stays ready, so the event loop
                    // would spin on it without an eviction.
                    self.clients.evict_one(now);
                    return;
                }
            }
        }
    }

    /// Handles an event of the client connection `id`, if there is one.
    pub(super) fn handle_client_event(&mut self, now: Instant, id: u32, event: Option<ClientEvent>) {
        match event {
            None => {}
            Some(ClientEvent::Disconnected(open)) => self.abort_request(now, id, open),
            Some(ClientEvent::Request(request)) => self.handle_request(now, id, request),
            Some(ClientEvent::UnreadInput) => self.pipelined_clients.push(id),
        }
    }

    /// Aborts the open request of a client connection that was closed, if it had one.
    pub(super) fn abort_request(&mut self, now: Instant, id: u32, open: Option<u32>) {
        if let Some(command) = open {
            self.request_ids.finish(now, id);
            self.core.handle_abort(now, CommandId { session: id, command });
        }
    }

    fn handle_request(&mut self, now: Instant, id: u32, request: Request) {
        if request.method == "GET" && request.target == "/health/ready" {
            let is_ready = self.shutdown_since.is_none() && self.is_ready();
            let (status, text) = if is_ready { (200, "ready") } else { (503, "not ready") };
            let event = self.clients.answer(now, &self.poller, id, status, text.as_bytes(), None);
            self.handle_client_event(now, id, event);
            return self.queue_pipelined(id);
        }
        match self.accept_call(now, request) {
            Ok(call) => self.submit_call(now, id, call),
            Err(reason) => {
                let event = self.clients.close_with(now, &self.poller, id, &reason);
                self.handle_client_event(now, id, event);
            }
        }
    }

    /// Parses the call in a request, and returns the reason to close the connection if this host does not serve the call now.
    fn accept_call(&mut self, now: Instant, request: Request) -> Result<Call, CloseReason> {
        if self.shutdown_phase >= ShutdownPhase::Settled {
            return Err(CloseReason::ShuttingDown);
        }
        // Clients may send requests before the host is ready, for example those that knew it before a restart.
        if !self.may_serve_by_list() {
            return Err(CloseReason::UnconfirmedList);
        }
        if !self.request_ids.has_capacity(now) {
            return Err(CloseReason::NoIdCapacity);
        }
        let (status, why) = match Call::parse(request, &self.settings) {
            Ok(call) if self.request_ids.is_in_use(&call.id) => {
                (409, "x-call-id: that of another request; expected a fresh one".to_owned())
            }
            Ok(call) => return Ok(call),
            Err(refusal) => (refusal.status, refusal.why),
        };
        self.refused += 1;
        tracing::debug!(status, why, "request refused");
        Err(CloseReason::Refused { status, why })
    }

    fn submit_call(&mut self, now: Instant, id: u32, call: Call) {
        self.last_request_number = self.last_request_number.wrapping_add(1);
        let request_bytes = call.head.len() + call.body.len();
        self.clients.request_accepted(now, id, self.last_request_number, request_bytes);
        self.request_ids.insert(id, &call.id);
        let request = ObjectRequest {
            volume: call.volume,
            plan: call.plan,
            traffic_class: call.traffic_class,
            shard: call.shard,
            key: call.key,
            units: call.units,
            hosts: call.hosts,
            time_left: call.time_left,
            payload: OpaqueRequest { head: call.head, body: call.body },
        };
        self.core.handle_object_request(
            now,
            CommandId { session: id, command: self.last_request_number },
            request,
        );
    }

    /// Queues a connection that has received at least a part of its next request, so that the event loop parses it.
    pub(super) fn queue_pipelined(&mut self, id: u32) {
        if self.clients.has_more(id) {
            self.pipelined_clients.push(id);
        }
    }

    /// Returns whether the host may serve by the list that it has, and a node of it is ready.
    fn is_ready(&self) -> bool {
        let is_any_ready = self.core.nodes().entries().any(|(_, entry)| entry.state == NodeState::Ready);
        self.may_serve_by_list() && is_any_ready
    }

    /// Returns whether the endpoint list is recent enough for requests to be sent by it.
    fn may_serve_by_list(&self) -> bool {
        may_serve_by_list(self.settings.lists_are_pushed(), self.is_list_confirmed)
    }
}
