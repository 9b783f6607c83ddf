//! What each event does, and when a trouble begins and ends.

use super::*;

impl Sim<'_> {
    pub(super) fn event(&mut self, e: Event, last: Us) {
        if let Some(t) = self.stands_before(&e) {
            return self.push(t, e);
        }
        match e {
            Event::Trouble(i, on) => self.trouble(i, on),
            Event::Arrive(h) => self.arrive(h, last),
            Event::Loaded => self.loaded(),
            Event::Asked => {
                let Some(a) = self.asks.pop_front() else { return };
                if let Some(next) = self.asks.front() {
                    self.push(self.now + (next.at_us - a.at_us), Event::Asked);
                }
                self.number += 1;
                let (number, first) = (self.number, self.now);
                self.tries.insert(number, Try { ask: a, first, tries: 0 });
                self.ask(number);
            }
            Event::Again(number) => self.ask(number),
            Event::ToNode(h, n, generation, bytes) => self.node_gets(h, n, generation, &bytes),
            Event::ToHost(h, n, generation, bytes) => self.host_gets(h, n, generation, &bytes),
            Event::Refused(h, generation, attempt) => {
                if self.hosts[h as usize].generation == generation {
                    self.back(h, attempt, Outcome::Refused);
                    self.pull(h);
                }
            }
            Event::LinkDown(h, n, generation) => self.link_down(h, n, generation),
            Event::NodeTime(n) => {
                self.nodes[n as usize].wake = Us::MAX;
                self.settle(n);
            }
            Event::HostTime(h) => {
                self.hosts[h as usize].wake = Us::MAX;
                self.pull(h);
            }
            Event::List(h, generation, version, entries) => self.list(h, generation, version, &entries),
            Event::ListFailed(h, generation) => {
                if self.hosts[h as usize].generation == generation && self.hosts[h as usize].up {
                    self.hosts[h as usize].following = false;
                    let now = self.time(h);
                    self.hosts[h as usize].core.handle_endpoint_list(now, ListKind::Failed, 0, 0, &[]);
                    self.pull(h);
                }
            }
            Event::NodeUp(n) => self.node_up(n),
            Event::HostUp(h) => {
                if !self.hosts[h as usize].up {
                    self.hosts[h as usize] = self.new_host(h);
                    self.note(tackmast_trace::Event::HostUp { host: h });
                    self.pull(h);
                }
            }
            Event::Leave(h, generation, command) => {
                let host = &mut self.hosts[h as usize];
                if host.generation == generation
                    && host.up
                    && host.submitted.remove(&(BESIDE, command)).is_some()
                {
                    self.note(tackmast_trace::Event::Left { host: h, session: BESIDE, command });
                    let from = CommandRef { session: BESIDE, command };
                    let now = self.time(h);
                    self.hosts[h as usize].core.handle_abort(now, from);
                    self.pull(h);
                }
            }
            Event::Answer(h, generation, command, kind, retry_after_us) => {
                self.answered(h, generation, command, kind, retry_after_us)
            }
            Event::Connected(c, slot, generation) => self.connected(c, slot, generation),
            Event::Closed(c, slot, generation) => self.closed(c, slot, generation),
            Event::ToServer(c, slot, generation, bytes) => self.server_gets(c, slot, generation, &bytes),
            Event::ToClient(c, slot, generation, bytes) => {
                if self.clients[c as usize].slots[slot].generation == generation {
                    let now = at(self.now);
                    self.clients[c as usize].core.handle_bytes(now, slot, &bytes);
                    self.client_pull(c);
                }
            }
            Event::ClientTime(c) => {
                self.clients[c as usize].wake = Us::MAX;
                self.client_pull(c);
            }
            Event::OrderOver(host, node) => {
                self.note(tackmast_trace::Event::Ordered { host, node, out: false });
            }
            Event::Hello(h, generation, n, started) => self.hello(h, generation, n, started),
            Event::Datagram(from, h, bytes) => {
                let now = self.time(h);
                let host = &mut self.hosts[h as usize];
                if let Some(core) = host.core.core().filter(|_| host.up) {
                    core.handle_datagram(now, peer_address(from), Bytes::from(bytes));
                    self.pull(h);
                }
            }
            Event::Gone(h, generation) => {
                if self.hosts[h as usize].generation == generation {
                    let now = self.time(h);
                    self.hosts[h as usize].core.core().into_iter().for_each(|c| c.announce_leave(now));
                    self.pull(h);
                    self.host_kill(h, true);
                }
            }
        }
    }

    /// The host that an event is for, where a process that stands still would only see it later.
    pub(super) fn stands_before(&self, e: &Event) -> Option<Us> {
        let h = match e {
            Event::ToHost(h, ..) | Event::Refused(h, ..) | Event::List(h, ..) | Event::ListFailed(h, _) => *h,
            Event::Datagram(_, h, _) | Event::Hello(h, ..) | Event::Gone(h, _) => *h,
            Event::ToServer(c, ..) | Event::Connected(c, ..) => self.clients[*c as usize].host,
            _ => return None,
        };
        let host = &self.hosts[h as usize];
        (host.up && host.stands > self.now).then_some(host.stands)
    }

    pub(super) fn trouble(&mut self, i: usize, on: bool) {
        let t = self.w.troubles[i];
        let n = t.node;
        let node = n as usize;
        match t.kind {
            Kind::Slow(x) => self.set(n, |faults| faults.slowdown = if on { x } else { 1.0 }),
            Kind::Errors(x) => self.set(n, |faults| faults.error_rate = if on { x } else { 0.0 }),
            Kind::Neighbour(x) => self.set(n, |faults| faults.neighbour_share = if on { x } else { 0.0 }),
            Kind::Heavy(part, times) => self.set(n, |faults| {
                (faults.heavy_fraction, faults.heavy_multiple) = if on { (part, times) } else { (0.0, 1.0) }
            }),
            Kind::Pause if on => {
                let now = self.now;
                self.nodes[node].model.pause(now, t.for_us as f64 / 1e6);
                self.settle(n);
            }
            Kind::Silent if on => self.nodes[node].silent = true,
            // What it had is gone: it comes back as a process that starts.
            Kind::Silent => {
                self.node_dies(n);
                self.push(self.now + 50_000, Event::NodeUp(n));
            }
            Kind::Restart if on => {
                self.node_dies(n);
                self.push(self.now + t.for_us, Event::NodeUp(n));
            }
            Kind::MassRestart if on => {
                for n in 0..self.w.nodes {
                    self.node_dies(n);
                    self.push(self.now + t.for_us / 2, Event::NodeUp(n));
                }
            }
            Kind::Drain | Kind::Deploy if on => {
                if self.nodes[node].listed == NodeState::Ready {
                    self.nodes[node].listed = NodeState::Draining;
                    self.tell();
                }
            }
            Kind::Drain => {
                if self.nodes[node].listed == NodeState::Draining {
                    self.nodes[node].listed = NodeState::Ready;
                    self.tell();
                }
            }
            Kind::Deploy => {
                self.node_dies(n);
                let x = &mut self.nodes[node];
                x.address_generation += 1;
                x.address = format!("10.{}.{}.{}:9000", x.address_generation, n / 250, n % 250);
                self.push(self.now + 100_000, Event::NodeUp(n));
            }
            Kind::ListLate(s) => {
                self.list_late = if on { (s * 1e6) as Us } else { self.w.list_late_us };
            }
            Kind::ListFails => {
                self.list_fails = on;
                for h in 0..self.w.hosts {
                    let host = &self.hosts[h as usize];
                    if on && host.following {
                        let generation = host.generation;
                        self.push(self.now, Event::ListFailed(h, generation));
                    }
                }
            }
            Kind::HostKill => self.host_kill(t.host.unwrap_or(0), on),
            Kind::Partition if on => {
                let h = t.host.unwrap_or(0);
                let until = self.now + t.for_us;
                self.partitions.insert((h, n), until);
                if let Some(generation) =
                    self.hosts[h as usize].links.get(&n).map(|l| l.generation).filter(|_| t.for_us > SILENCE)
                {
                    self.push(self.now + SILENCE, Event::LinkDown(h, n, generation));
                }
            }
            Kind::Partition => _ = self.partitions.remove(&(t.host.unwrap_or(0), n)),
            Kind::Resets if on => self.all_links_down(n),
            Kind::Surge(x) => self.surge = if on { x } else { 1.0 },
            Kind::Leave(x) => self.leave = if on { x } else { 0.0 },
            Kind::Hot(x) => self.hot = if on { x } else { 0.0 },
            Kind::Order(kind, all) if on => self.order(t.host.filter(|_| !all), n, kind, t.for_us),
            Kind::Hangup(x) if on => self.hang_up(x),
            Kind::Order(..) | Kind::Hangup(_) => {}
            Kind::Split(x) => self.split = on.then_some(x),
            Kind::Busiest(part, h) => self.busiest = on.then_some((part, h)),
            Kind::Plan(limit, burst) if on => self.plan(limit, burst),
            Kind::Plan(..) => self.plan(1.0, 1.0),
            Kind::HostLeaves if on => self.host_leaves(t.host.unwrap_or(0)),
            Kind::HostLeaves => self.push(self.now, Event::HostUp(t.host.unwrap_or(0))),
            Kind::HostStands if on => self.host_stands(t.host.unwrap_or(0), t.for_us),
            Kind::HostStands => {}
            Kind::Pause | Kind::Restart | Kind::MassRestart | Kind::Resets => {}
        }
    }
}
