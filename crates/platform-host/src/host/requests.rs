//! Requests of clients, from their connections to the host core.

use super::*;

impl Host {
    pub(super) fn accept(&mut self, now: Instant) {
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok((stream, _)) => self.clients.accepted(now, &self.poller, stream),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {
                    // No descriptor is left although the split leaves some: one more gives way, or this would be tried
                    // without end.
                    self.clients.evict_one(now);
                    return;
                }
            }
        }
    }

    pub(super) fn handle_client_event(&mut self, now: Instant, id: u32, event: Option<ClientEvent>) {
        match event {
            None => {}
            Some(ClientEvent::Gone(open)) => self.client_gone(now, id, open),
            Some(ClientEvent::Request(r)) => self.handle_request(now, id, r),
        }
    }

    pub(super) fn client_gone(&mut self, now: Instant, id: u32, open: Option<u32>) {
        if let Some(command) = open {
            self.finish_request(now, id);
            self.core.handle_abort(now, CommandRef { session: id, command });
        }
    }

    /// A request has its final answer. Its id stays in use for a while: each request has a fresh id, and nodes would take a
    /// request with an old one for a repeat of what they have already seen.
    pub(super) fn finish_request(&mut self, now: Instant, id: u32) {
        if let Some(request_id) = self.open_requests.remove(&id) {
            self.recent_ids.push_back((now, request_id));
        }
        let old = |u: &mut (Instant, String)| (now - u.0).secs() > REQUEST_ID_RETENTION;
        while let Some((_, name)) = self.recent_ids.pop_front_if(old) {
            self.request_ids.remove(&name);
        }
        while self.recent_ids.len() > MAX_RECENT_IDS {
            self.recent_ids.pop_front().map(|(_, name)| self.request_ids.remove(&name));
        }
    }

    fn handle_request(&mut self, now: Instant, id: u32, r: Request) {
        if r.method == "GET" && r.target == "/health/ready" {
            let ready = self.shutdown_since.is_none() && self.is_ready();
            let (status, text) = if ready { (200, "ready") } else { (503, "not ready") };
            let event = self.clients.answer(now, &self.poller, id, status, text.as_bytes(), None);
            self.handle_client_event(now, id, event);
            return self.queue_pipelined(id);
        }
        if self.shutdown_phase >= ShutdownPhase::Settled {
            let event = self.clients.close_with(now, &self.poller, id, 503, "the host ends");
            return self.handle_client_event(now, id, event);
        }
        let call = match Call::parse(r, &self.settings) {
            Ok(call) if self.request_ids.contains(&call.id) => {
                Err((409, "x-call-id: that of another request; expected a fresh one".to_owned()))
            }
            Ok(call) => Ok(call),
            Err(refusal) => Err((refusal.status, refusal.why)),
        };
        let call = match call {
            Ok(call) => call,
            Err((status, why)) => {
                self.refused += 1;
                tracing::debug!(status, why, "request refused");
                let event = self.clients.close_with(now, &self.poller, id, status, &why);
                return self.handle_client_event(now, id, event);
            }
        };
        self.requests = self.requests.wrapping_add(1);
        self.clients.request_accepted(now, id, self.requests);
        self.request_ids.insert(call.id.clone());
        self.open_requests.insert(id, call.id);
        let placed = PlacedRequest {
            volume: call.volume,
            plan: call.plan,
            traffic_class: call.traffic_class,
            shard: call.shard,
            key: call.key,
            units: call.units,
            hosts: call.hosts,
            left: call.time_left,
            request: OpaqueRequest { head: call.head, body: call.body },
        };
        self.core.handle_placed_request(now, CommandRef { session: id, command: self.requests }, placed);
    }

    pub(super) fn queue_pipelined(&mut self, id: u32) {
        if self.clients.has_more(id) {
            self.pipelined_clients.push(id);
        }
    }

    /// Whether the endpoint list is known well enough to serve.
    fn is_ready(&self) -> bool {
        // Where lists are pushed, a new process counts as notified of what the agent has: the agent is polled first.
        let polled = self.list_polled || !self.settings.lists_are_pushed();
        polled && self.core.nodes().entries().any(|(_, e)| e.state == NodeState::Ready)
    }
}
