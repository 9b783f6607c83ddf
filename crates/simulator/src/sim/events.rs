//! What each event does, and when a trouble begins and ends.

use super::*;

impl Sim<'_> {
    pub(super) fn handle_event(&mut self, pending: Event, last: Us) {
        if let Some(t) = self.paused_until(&pending) {
            return self.push(t, pending);
        }
        match pending {
            Event::FaultChange(i, on) => self.apply_fault(i, on),
            Event::Arrive(h) => self.on_generated_arrival(h, last),
            Event::Loaded => self.on_workload_arrival(),
            Event::Asked => {
                let Some(a) = self.asks.pop_front() else { return };
                if let Some(next) = self.asks.front() {
                    self.push(self.now + (next.at_us - a.at_us), Event::Asked);
                }
                self.number += 1;
                let (number, first) = (self.number, self.now);
                self.tries.insert(number, ScriptAttempt { ask: a, first, tries: 0 });
                self.send_script_request(number);
            }
            Event::Again(number) => self.send_script_request(number),
            Event::ToNode(h, n, generation, bytes) => self.on_node_bytes(h, n, generation, &bytes),
            Event::ToHost(h, n, generation, bytes) => self.on_host_bytes(h, n, generation, &bytes),
            Event::Refused(h, generation, attempt) => {
                if self.hosts[h as usize].generation == generation {
                    self.report_attempt_result(h, attempt, Outcome::Refused);
                    self.poll_host(h);
                }
            }
            Event::LinkDown(h, n, generation) => self.close_link(h, n, generation),
            Event::NodeTime(n) => {
                self.nodes[n as usize].wake = Us::MAX;
                self.process_node_events(n);
            }
            Event::HostTime(h) => {
                self.hosts[h as usize].wake = Us::MAX;
                self.poll_host(h);
            }
            Event::List(h, generation, version, entries) => {
                self.deliver_list(h, generation, version, &entries)
            }
            Event::ListFailed(h, generation) => {
                if self.hosts[h as usize].generation == generation && self.hosts[h as usize].up {
                    self.hosts[h as usize].following = false;
                    let now = self.time(h);
                    self.hosts[h as usize].core.handle_endpoint_list(now, ListKind::Failed, 0, 0, &[]);
                    self.poll_host(h);
                }
            }
            Event::NodeUp(n) => self.start_node(n),
            Event::HostUp(h) => {
                if !self.hosts[h as usize].up {
                    self.hosts[h as usize] = self.new_host(h);
                    self.record(tackmast_trace::Event::HostUp { host: h });
                    self.poll_host(h);
                }
            }
            Event::Leave(h, generation, command) => {
                let host = &mut self.hosts[h as usize];
                if host.generation == generation
                    && host.up
                    && host.submitted.remove(&(DIRECT_SESSION, command)).is_some()
                {
                    self.record(tackmast_trace::Event::Left { host: h, session: DIRECT_SESSION, command });
                    let from = CommandRef { session: DIRECT_SESSION, command };
                    let now = self.time(h);
                    self.hosts[h as usize].core.handle_abort(now, from);
                    self.poll_host(h);
                }
            }
            Event::Answer(h, generation, command, kind, retry_after_us) => {
                self.record_answer(h, generation, command, kind, retry_after_us)
            }
            Event::Connected(c, slot, generation) => self.on_connected(c, slot, generation),
            Event::Closed(c, slot, generation) => self.on_connection_closed(c, slot, generation),
            Event::ToServer(c, slot, generation, bytes) => self.on_server_bytes(c, slot, generation, &bytes),
            Event::ToClient(c, slot, generation, bytes) => {
                if self.clients[c as usize].slots[slot].generation == generation {
                    let now = at(self.now);
                    self.clients[c as usize].core.handle_bytes(now, slot, &bytes);
                    self.poll_client(c);
                }
            }
            Event::ClientTime(c) => {
                self.clients[c as usize].wake = Us::MAX;
                self.poll_client(c);
            }
            Event::OrderOver(host, node) => {
                self.record(tackmast_trace::Event::Ordered { host, node, out: false });
            }
            Event::Hello(h, generation, n, started) => self.on_node_hello(h, generation, n, started),
            Event::Datagram(from, h, bytes) => {
                let now = self.time(h);
                let host = &mut self.hosts[h as usize];
                if let Some(core) = host.core.core().filter(|_| host.up) {
                    core.handle_datagram(now, peer_address(from), Bytes::from(bytes));
                    self.poll_host(h);
                }
            }
            Event::Gone(h, generation) => {
                if self.hosts[h as usize].generation == generation {
                    let now = self.time(h);
                    self.hosts[h as usize].core.core().into_iter().for_each(|c| c.announce_leave(now));
                    self.poll_host(h);
                    self.kill_host(h, true);
                }
            }
        }
    }

    /// The host that an event is for, where a process that stands still would only see it later.
    pub(super) fn paused_until(&self, event: &Event) -> Option<Us> {
        let host_index = match event {
            Event::ToHost(host_index, ..)
            | Event::Refused(host_index, ..)
            | Event::List(host_index, ..)
            | Event::ListFailed(host_index, _) => *host_index,
            Event::Datagram(_, host_index, _) | Event::Hello(host_index, ..) | Event::Gone(host_index, _) => {
                *host_index
            }
            Event::ToServer(c, ..) | Event::Connected(c, ..) => self.clients[*c as usize].host,
            _ => return None,
        };
        let host = &self.hosts[host_index as usize];
        (host.up && host.paused_until > self.now).then_some(host.paused_until)
    }

    pub(super) fn apply_fault(&mut self, fault_index: usize, on: bool) {
        let fault = self.world.faults[fault_index];
        let node_index = fault.node;
        let node = node_index as usize;
        match fault.kind {
            FaultKind::Slow(node_state) => self
                .change_node_faults(node_index, |faults| faults.slowdown = if on { node_state } else { 1.0 }),
            FaultKind::Errors(node_state) => self.change_node_faults(node_index, |faults| {
                faults.error_rate = if on { node_state } else { 0.0 }
            }),
            FaultKind::Neighbour(node_state) => self.change_node_faults(node_index, |faults| {
                faults.neighbour_share = if on { node_state } else { 0.0 }
            }),
            FaultKind::Heavy(part, times) => self.change_node_faults(node_index, |faults| {
                (faults.heavy_fraction, faults.heavy_multiple) = if on { (part, times) } else { (0.0, 1.0) }
            }),
            FaultKind::Pause if on => {
                let now = self.now;
                self.nodes[node].model.pause(now, fault.for_us as f64 / 1e6);
                self.process_node_events(node_index);
            }
            FaultKind::Silent if on => self.nodes[node].silent = true,
            // What it had is gone: it comes back as a process that starts.
            FaultKind::Silent => {
                self.kill_node(node_index);
                self.push(self.now + 50_000, Event::NodeUp(node_index));
            }
            FaultKind::Restart if on => {
                self.kill_node(node_index);
                self.push(self.now + fault.for_us, Event::NodeUp(node_index));
            }
            FaultKind::MassRestart if on => {
                for node_index in 0..self.world.nodes {
                    self.kill_node(node_index);
                    self.push(self.now + fault.for_us / 2, Event::NodeUp(node_index));
                }
            }
            FaultKind::Drain | FaultKind::Deploy if on => {
                if self.nodes[node].listed == NodeState::Ready {
                    self.nodes[node].listed = NodeState::Draining;
                    self.broadcast_list();
                }
            }
            FaultKind::Drain => {
                if self.nodes[node].listed == NodeState::Draining {
                    self.nodes[node].listed = NodeState::Ready;
                    self.broadcast_list();
                }
            }
            FaultKind::Deploy => {
                self.kill_node(node_index);
                let node_state = &mut self.nodes[node];
                node_state.address_generation += 1;
                node_state.address = format!(
                    "10.{}.{}.{}:9000",
                    node_state.address_generation,
                    node_index / 250,
                    node_index % 250
                );
                self.push(self.now + 100_000, Event::NodeUp(node_index));
            }
            FaultKind::ListLate(s) => {
                self.list_late = if on { (s * 1e6) as Us } else { self.world.list_late_us };
            }
            FaultKind::ListFails => {
                self.list_fails = on;
                for host_index in 0..self.world.hosts {
                    let host = &self.hosts[host_index as usize];
                    if on && host.following {
                        let generation = host.generation;
                        self.push(self.now, Event::ListFailed(host_index, generation));
                    }
                }
            }
            FaultKind::HostKill => self.kill_host(fault.host.unwrap_or(0), on),
            FaultKind::Partition if on => {
                let host_index = fault.host.unwrap_or(0);
                let until = self.now + fault.for_us;
                self.partitions.insert((host_index, node_index), until);
                if let Some(generation) = self.hosts[host_index as usize]
                    .links
                    .get(&node_index)
                    .map(|l| l.generation)
                    .filter(|_| fault.for_us > LINK_TIMEOUT)
                {
                    self.push(self.now + LINK_TIMEOUT, Event::LinkDown(host_index, node_index, generation));
                }
            }
            FaultKind::Partition => _ = self.partitions.remove(&(fault.host.unwrap_or(0), node_index)),
            FaultKind::Resets if on => self.close_all_links(node_index),
            FaultKind::Surge(node_state) => self.surge = if on { node_state } else { 1.0 },
            FaultKind::Leave(node_state) => self.leave = if on { node_state } else { 0.0 },
            FaultKind::Hot(node_state) => self.hot = if on { node_state } else { 0.0 },
            FaultKind::Order(kind, all) if on => {
                self.set_override(fault.host.filter(|_| !all), node_index, kind, fault.for_us)
            }
            FaultKind::Hangup(node_state) if on => self.close_connections(node_state),
            FaultKind::Order(..) | FaultKind::Hangup(_) => {}
            FaultKind::Split(node_state) => self.split = on.then_some(node_state),
            FaultKind::Busiest(part, host_index) => self.busiest = on.then_some((part, host_index)),
            FaultKind::Plan(limit, burst) if on => self.change_plan(limit, burst),
            FaultKind::Plan(..) => self.change_plan(1.0, 1.0),
            FaultKind::HostLeaves if on => self.drain_host(fault.host.unwrap_or(0)),
            FaultKind::HostLeaves => self.push(self.now, Event::HostUp(fault.host.unwrap_or(0))),
            FaultKind::HostStands if on => self.pause_host(fault.host.unwrap_or(0), fault.for_us),
            FaultKind::HostStands => {}
            FaultKind::Pause | FaultKind::Restart | FaultKind::MassRestart | FaultKind::Resets => {}
        }
    }
}
