//! What clients ask, from their connections to the core.

use super::*;

impl Host {
    pub(super) fn accept(&mut self, now: Instant) {
        for _ in 0..ACCEPTS {
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok((stream, _)) => self.clients.accepted(now, &self.poller, stream),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {
                    // No descriptor is left although the split leaves some: one more gives way, or this would be tried
                    // without end.
                    self.clients.make_room(now);
                    return;
                }
            }
        }
    }

    pub(super) fn said(&mut self, now: Instant, id: u32, said: Option<Said>) {
        match said {
            None => {}
            Some(Said::Gone(open)) => self.gone(now, id, open),
            Some(Said::Request(r)) => self.request(now, id, r),
        }
    }

    pub(super) fn gone(&mut self, now: Instant, id: u32, open: Option<u32>) {
        if let Some(command) = open {
            self.forget(now, id);
            self.core.abort(now, CommandRef { session: id, command });
        }
    }

    /// A request is over. Its id stays used for a while: every request has a fresh one, and whoever comes with an old one
    /// would be taken by nodes for what they have already seen.
    pub(super) fn forget(&mut self, now: Instant, id: u32) {
        if let Some((_, name)) = self.open.remove(&id) {
            self.used.push_back((now, name));
        }
        let old = |u: &mut (Instant, String)| (now - u.0).secs() > IDS_KEPT;
        while let Some((_, name)) = self.used.pop_front_if(old) {
            self.ids.remove(&name);
        }
        while self.used.len() > MAX_IDS {
            self.used.pop_front().map(|(_, name)| self.ids.remove(&name));
        }
    }

    fn request(&mut self, now: Instant, id: u32, r: Request) {
        if r.method == "GET" && r.target == "/health/ready" {
            let ready = self.ending.is_none() && self.is_ready();
            let (status, text) = if ready { (200, "ready") } else { (503, "not ready") };
            let said = self.clients.answer(now, &self.poller, id, status, text.as_bytes(), None);
            self.said(now, id, said);
            return self.may_have_more(id);
        }
        if self.step >= Step::Settled {
            let said = self.clients.close_with(now, &self.poller, id, 503, "the host ends");
            return self.said(now, id, said);
        }
        let call = match Call::of(r, &self.settings) {
            Ok(call) if self.ids.contains(&call.id) => {
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
                let said = self.clients.close_with(now, &self.poller, id, status, &why);
                return self.said(now, id, said);
            }
        };
        self.requests = self.requests.wrapping_add(1);
        self.clients.taken(now, id, self.requests);
        self.ids.insert(call.id.clone());
        self.open.insert(id, (self.requests, call.id));
        let placed = Placed {
            volume: call.volume,
            plan: call.plan,
            traffic_class: call.traffic_class,
            shard: call.shard,
            key: call.key,
            units: call.units,
            hosts: call.hosts,
            left: call.left,
            request: Opaque { head: call.head, body: call.body },
        };
        self.core.submit_placed(now, CommandRef { session: id, command: self.requests }, placed);
    }

    pub(super) fn may_have_more(&mut self, id: u32) {
        if self.clients.has_more(id) {
            self.again.push(id);
        }
    }

    /// The list is known well enough to serve.
    fn is_ready(&self) -> bool {
        // Where lists are pushed, what the agent has counts as told to a new process: it is heard first.
        let heard = self.heard || !self.settings.lists_are_pushed();
        heard && self.core.nodes().entries().any(|(_, e)| e.state == NodeState::Ready)
    }
}
