//! Dispatches each event to its handler.

use super::*;

impl Sim<'_> {
    /// Handles one event. Traffic is generated until `last`.
    pub(super) fn handle_event(&mut self, event: Event, last: Us) {
        if let Some(resumes) = self.paused_until(&event) {
            return self.push(resumes, event);
        }
        match event {
            Event::FaultChange(index, on) => self.apply_fault(index, on),
            Event::Arrive(host) => self.on_generated_arrival(host, last),
            Event::Loaded => self.on_workload_arrival(),
            Event::Asked => self.on_script_request(),
            Event::Again(number) => self.send_script_request(number),
            Event::ToNode(host, node, generation, bytes) => {
                self.on_node_bytes(host, node, generation, &bytes);
            }
            Event::ToHost(host, node, generation, bytes) => {
                self.on_host_bytes(host, node, generation, &bytes);
            }
            Event::Refused(host, generation, attempt) => self.on_refused(host, generation, attempt),
            Event::LinkDown(host, node, generation) => self.close_link(host, node, generation),
            Event::Hello(host, generation, node, started) => {
                self.on_node_hello(host, generation, node, started);
            }
            Event::NodeTime(node) => {
                self.nodes[node as usize].wake = Us::MAX;
                self.process_node_events(node);
            }
            Event::NodeUp(node) => self.start_node(node),
            Event::OrderOver(host, node) => {
                self.record(tackmast_trace::Event::Ordered { host, node, out: false });
            }
            Event::Answer(host, generation, command, kind, retry_after_us) => {
                self.record_answer(host, generation, command, kind, retry_after_us);
            }
            host_event @ (Event::HostTime(_)
            | Event::HostUp(_)
            | Event::Gone(..)
            | Event::List(..)
            | Event::ListFailed(..)
            | Event::Leave(..)
            | Event::Datagram(..)) => self.handle_host_event(host_event),
            client_event @ (Event::Connected(..)
            | Event::Closed(..)
            | Event::ToServer(..)
            | Event::ToClient(..)
            | Event::ClientTime(_)) => self.handle_client_event(client_event),
        }
    }

    fn handle_host_event(&mut self, event: Event) {
        match event {
            Event::HostTime(host) => {
                self.hosts[host as usize].wake = Us::MAX;
                self.poll_host(host);
            }
            Event::HostUp(host) => self.restart_host(host),
            Event::Gone(host, generation) => self.end_drained_host(host, generation),
            Event::List(host, generation, version, entries) => {
                self.deliver_list(host, generation, version, &entries);
            }
            Event::ListFailed(host, generation) => self.on_list_failed(host, generation),
            Event::Leave(host, generation, command) => self.abort_command(host, generation, command),
            Event::Datagram(from, to, bytes) => {
                let now = self.time(to);
                let host = &mut self.hosts[to as usize];
                if let Some(core) = host.core.core().filter(|_| host.up) {
                    core.handle_datagram(now, peer_address(from), Bytes::from(bytes));
                    self.poll_host(to);
                }
            }
            _ => {}
        }
    }

    fn handle_client_event(&mut self, event: Event) {
        match event {
            Event::Connected(client, slot, generation) => self.on_connected(client, slot, generation),
            Event::Closed(client, slot, generation) => self.on_connection_closed(client, slot, generation),
            Event::ToServer(client, slot, generation, bytes) => {
                self.on_server_bytes(client, slot, generation, &bytes);
            }
            Event::ToClient(client, slot, generation, bytes) => {
                self.on_client_bytes(client, slot, generation, &bytes);
            }
            Event::ClientTime(client) => {
                self.clients[client as usize].wake = Us::MAX;
                self.poll_client(client);
            }
            _ => {}
        }
    }

    fn on_client_bytes(&mut self, client: u32, slot: usize, generation: u64, bytes: &[u8]) {
        if self.clients[client as usize].slots[slot].generation == generation {
            let now = at(self.now);
            self.clients[client as usize].core.handle_bytes(now, slot, bytes);
            self.poll_client(client);
        }
    }

    /// The next request of a script's traffic is due.
    fn on_script_request(&mut self) {
        let Some(request) = self.asks.pop_front() else { return };
        if let Some(next) = self.asks.front() {
            self.push(self.now + (next.at_us - request.at_us), Event::Asked);
        }
        self.number += 1;
        let (number, first) = (self.number, self.now);
        self.tries.insert(number, ScriptAttempt { ask: request, first, tries: 0 });
        self.send_script_request(number);
    }

    fn on_refused(&mut self, host: u32, generation: u64, attempt: u64) {
        if self.hosts[host as usize].generation == generation {
            self.report_attempt_result(host, attempt, Outcome::Refused);
            self.poll_host(host);
        }
    }

    fn on_list_failed(&mut self, host: u32, generation: u64) {
        if self.hosts[host as usize].generation == generation && self.hosts[host as usize].up {
            self.hosts[host as usize].following = false;
            let now = self.time(host);
            self.hosts[host as usize].core.handle_endpoint_list(now, ListKind::Failed, 0, 0, &[]);
            self.poll_host(host);
        }
    }

    fn restart_host(&mut self, host: u32) {
        if !self.hosts[host as usize].up {
            self.hosts[host as usize] = self.new_host(host);
            self.record(tackmast_trace::Event::HostUp { host });
            self.poll_host(host);
        }
    }

    /// Ends a host whose drain is over.
    fn end_drained_host(&mut self, host: u32, generation: u64) {
        if self.hosts[host as usize].generation == generation {
            let now = self.time(host);
            self.hosts[host as usize].core.core().into_iter().for_each(|core| core.announce_leave(now));
            self.poll_host(host);
            self.kill_host(host, true);
        }
    }

    /// A client without a protocol aborts its command.
    fn abort_command(&mut self, host_index: u32, generation: u64, command: u32) {
        let host = &mut self.hosts[host_index as usize];
        let is_current = host.generation == generation && host.up;
        if !is_current || host.submitted.remove(&(DIRECT_SESSION, command)).is_none() {
            return;
        }
        self.record(tackmast_trace::Event::Left { host: host_index, session: DIRECT_SESSION, command });
        let now = self.time(host_index);
        let from = CommandRef { session: DIRECT_SESSION, command };
        self.hosts[host_index as usize].core.handle_abort(now, from);
        self.poll_host(host_index);
    }

    /// When the host that an event is for resumes, if it is paused.
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
}
