//! Operators: what they ask, and what is kept of it.

use super::*;

impl Core {
    /// Takes operators' overrides in. `keep` is what has become of those of an earlier generation.
    pub fn with_overrides(&mut self, now: Instant, overrides: Overrides, keep: Keep) {
        self.orders = Some(Orders::new(now, overrides));
        if keep != Keep::default() {
            self.outputs.push_back(Output::Keep { request: 0, keep });
        }
    }

    /// What the wall clock shows, now and then: audits carry it, and its steps move no end.
    pub fn wall_seen(&mut self, now: Instant, wall_us: u64) {
        self.wall_offset_us = wall_us as i64 - (now.secs() * 1e6).round() as i64;
        let step = self.orders.as_mut().and_then(|o| o.overrides.handle_wall_clock(now, wall_us));
        if let Some((put, audit)) = step {
            self.mode(audit.what.clone());
            let keep = Keep { put, audits: vec![audit], ..Keep::default() };
            self.outputs.push_back(Output::Keep { request: 0, keep });
        }
    }

    pub(super) fn wall_us(&self, now: Instant) -> u64 {
        ((now.secs() * 1e6).round() as i64 + self.wall_offset_us).max(0) as u64
    }

    pub(super) fn mode(&mut self, line: String) {
        self.outputs.push_back(Output::Mode { node: None, line });
    }

    /// An operator's ask, under a number of the caller's that is not 0.
    pub fn ask(&mut self, now: Instant, request: u64, ask: Ask) {
        let ask = match ask {
            Ask::Plan(ask) if self.plans.is_some() => return self.ask_plans(now, request, ask),
            Ask::Agreement(ask) => return self.ask_agreement(now, request, ask),
            other => other,
        };
        let wall_us = self.wall_us(now);
        let Some(orders) = &mut self.orders else {
            let why = "this host has no overrides block in its settings".to_owned();
            return self.outputs.push_back(Output::Reply { request, reply: Reply::NotKept { why } });
        };
        match orders.ask(now, wall_us, request, ask) {
            None => {}
            Some(Next::Keep(request, keep)) => self.outputs.push_back(Output::Keep { request, keep }),
            Some(Next::Reply(request, Reply::Status(_))) => {
                let reply = Reply::Status(Box::new(self.status(now)));
                self.outputs.push_back(Output::Reply { request, reply });
            }
            Some(Next::Reply(request, Reply::Members(_))) => {
                let status = self.fellows.as_ref().map(|f| f.status(now)).unwrap_or_default();
                self.outputs.push_back(Output::Reply { request, reply: Reply::Members(Box::new(status)) });
            }
            Some(Next::Reply(request, Reply::Refused(r))) if Fellows::is_own(request) => {
                self.mode(format!("an order of another host is refused here: {r}"));
            }
            Some(Next::Reply(request, Reply::Explain(mut e))) => {
                let entry = self.nodes.number(&e.address.to_string()).and_then(|n| self.nodes.entry(n));
                e.up_s = entry.and_then(|e| e.up_since).map(|t| (now - t).secs());
                self.outputs.push_back(Output::Reply { request, reply: Reply::Explain(e) });
            }
            Some(Next::Reply(request, reply)) => self.outputs.push_back(Output::Reply { request, reply }),
        }
    }

    /// The store's word on a `Keep`.
    pub fn kept(&mut self, now: Instant, request: u64, result: Result<(), String>) {
        if self.agreed_kept(now, request, &result) {
            return;
        }
        let plans = self.plans.as_mut().and_then(|p| p.kept(now, request, result.clone()));
        if let Some((reply, holds)) = plans {
            if let Some(h) = holds {
                self.holds(now, h, true);
                self.follow_fellows(now);
            }
            self.outputs.push_back(Output::Reply { request, reply: Reply::Plan(reply) });
        }
        if let Some((request, ask)) = self.plans.as_mut().and_then(Plans::next_waiting) {
            self.ask_plans(now, request, ask);
        }
        let told = self.orders.as_mut().and_then(|o| o.kept(now, request, result));
        if let Some((reply, line)) = told {
            if let Some(f) = &mut self.fellows {
                f.kept(now, &reply);
            }
            self.mode(line);
            self.order_nodes(now);
            self.outputs.push_back(Output::Reply { request, reply });
        }
        if let Some((request, ask)) = self.orders.as_mut().and_then(Orders::next_waiting) {
            self.ask(now, request, ask);
        }
    }

    pub(super) fn status(&self, now: Instant) -> OrdersStatus {
        let c = &self.counters;
        let orders = self.orders.as_ref();
        let word = |s: NodeState| format!("{s:?}").to_lowercase();
        let node = |(address, e): (&str, &NodeEntry)| {
            let mut given = *e;
            self.given(now, &mut given);
            Some((address.parse().ok()?, word(e.state), word(given.state)))
        };
        OrdersStatus {
            host: self.number,
            overrides: orders.map_or(0, |o| o.overrides.len()),
            version: orders.map_or(0, |o| o.overrides.version()),
            returning: orders.map_or(0, |o| o.overrides.returning().0),
            there: self.fellows.as_ref().map_or(0, |f| f.member.live_count()),
            commands: self.commands.len(),
            attempts: self.until.len(),
            taken: c.taken,
            done: c.done,
            rejected: c.rejected,
            failed: c.failed,
            nodes: self.nodes.entries().filter_map(node).collect(),
        }
    }

    /// Ends of overrides, and steps of nodes on their way back.
    pub(super) fn tick_orders(&mut self, now: Instant) {
        let wall_us = self.wall_us(now);
        let Some(orders) = self.orders.as_mut().filter(|o| o.next(now).is_some_and(|t| t <= now)) else {
            return;
        };
        let ended = orders.overrides.handle_timeout(now, wall_us);
        let mut lines = orders.tell(now);
        let mut keep = Keep::default();
        for e in ended {
            let o = &e.record;
            lines.push(format!("override {} ended: {} {}, set by {}", o.id.0, o.target, o.kind, o.who));
            keep.remove.push(o.id);
            keep.audits.push(e.audit);
        }
        lines.into_iter().for_each(|l| self.mode(l));
        if keep != Keep::default() {
            self.outputs.push_back(Output::Keep { request: 0, keep });
        }
        self.order_nodes(now);
    }
}
