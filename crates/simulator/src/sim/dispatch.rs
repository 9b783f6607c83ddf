//! Hands each event to its handler.

use super::event::{Connection, Event, FailedAttempt, HostProcess};
use super::state::ScriptAttempt;
use super::{instant_at, peer_address, Sim, Us, DIRECT_SESSION};
use bytes::Bytes;
use tackmast::interface::ListKind;
use tackmast_host_core::CommandId;

impl Sim<'_> {
    /// Handles one event. Traffic is generated until `last`.
    pub(super) fn handle_event(&mut self, event: Event, last: Us) {
        if let Some(resumes) = self.paused_until(&event) {
            return self.schedule(resumes, event);
        }
        match event {
            Event::FaultChange { fault, on: true } => self.begin_fault(fault),
            Event::FaultChange { fault, on: false } => self.end_fault(fault),
            Event::GeneratedArrival { host } => self.on_generated_arrival(host, last),
            Event::WorkloadArrival => self.on_workload_arrival(),
            Event::ScriptRequest => self.on_script_request(),
            Event::ScriptRetry { number } => self.send_script_request(number),
            Event::BytesToNode { link, bytes } => self.on_node_bytes(link, &bytes),
            Event::LinkDown { link } => self.close_link(link),
            Event::NodeTimer { node } => {
                self.nodes[node as usize].wake = Us::MAX;
                self.process_node_events(node);
            }
            Event::NodeUp { node } => self.start_node(node),
            Event::MassRestartEnded => self.start_all_nodes(),
            Event::OverrideEnded { host, node } => {
                self.record(tackmast_trace::Event::Ordered { host, node, out: false });
            }
            host_event @ (Event::BytesToHost { .. }
            | Event::AttemptsFailed { .. }
            | Event::SessionClosed { .. }
            | Event::NodeHello { .. }
            | Event::HostTimer { .. }
            | Event::HostUp { .. }
            | Event::DrainBegun { .. }
            | Event::DrainEnded { .. }
            | Event::EndpointList { .. }
            | Event::ListFailed { .. }
            | Event::Datagram { .. }) => self.handle_host_event(host_event),
            client_event @ (Event::Connected { .. }
            | Event::Closed { .. }
            | Event::BytesToServer { .. }
            | Event::BytesToClient { .. }
            | Event::ClientTimer { .. }
            | Event::Answer { .. }
            | Event::Abort { .. }) => self.handle_client_event(client_event),
        }
    }

    /// Hands an event to its host now, or when the host resumes if it is paused.
    pub(super) fn notify_host(&mut self, event: Event) {
        match self.paused_until(&event) {
            Some(resumes) => self.schedule(resumes, event),
            None => self.handle_host_event(event),
        }
    }

    fn handle_host_event(&mut self, event: Event) {
        match event {
            Event::BytesToHost { link, bytes } => self.on_host_bytes(link, &bytes),
            Event::AttemptsFailed { process, attempts } => self.on_attempts_failed(process, &attempts),
            Event::SessionClosed { process, session } => self.on_session_closed(process, session),
            Event::NodeHello { link, started } => self.on_node_hello(link, started),
            Event::HostTimer { host } => {
                self.hosts[host as usize].wake = Us::MAX;
                self.poll_host(host);
            }
            Event::HostUp { host } => self.restart_host(host),
            Event::DrainBegun { process } => self.drain_host(process),
            Event::DrainEnded { process } => self.end_drained_host(process),
            Event::EndpointList { process, version, nodes } => self.deliver_list(process, version, &nodes),
            Event::ListFailed { process } => self.on_list_failed(process),
            Event::Datagram { from, to, bytes } => self.on_datagram(from, to, bytes),
            _ => {}
        }
    }

    fn handle_client_event(&mut self, event: Event) {
        match event {
            Event::Connected { connection } => self.on_connected(connection),
            Event::Closed { connection } => self.on_connection_closed(connection),
            Event::BytesToServer { connection, bytes } => self.on_server_bytes(connection, &bytes),
            Event::BytesToClient { connection, bytes } => self.on_client_bytes(connection, &bytes),
            Event::ClientTimer { client } => {
                self.clients[client as usize].wake = Us::MAX;
                self.poll_client(client);
            }
            Event::Answer { process, command, kind, retry_after_us } => {
                self.record_answer(process, command, kind, retry_after_us);
            }
            Event::Abort { process, command } => self.abort_command(process, command),
            _ => {}
        }
    }

    fn on_datagram(&mut self, from: u32, to: u32, bytes: Vec<u8>) {
        let now = self.steady_clock(to);
        let host = &mut self.hosts[to as usize];
        if let Some(core) = host.core.core().filter(|_| host.up) {
            core.handle_datagram(now, peer_address(from), Bytes::from(bytes));
            self.poll_host(to);
        }
    }

    fn on_client_bytes(&mut self, connection: Connection, bytes: &[u8]) {
        let Connection { client, slot, generation } = connection;
        if self.clients[client as usize].slots[slot].generation == generation {
            let now = instant_at(self.now);
            self.clients[client as usize].core.handle_bytes(now, slot, bytes);
            self.poll_client(client);
        }
    }

    /// The next request of a script's traffic is due.
    fn on_script_request(&mut self) {
        let Some(request) = self.script_requests.pop_front() else { return };
        if let Some(next) = self.script_requests.front() {
            self.schedule(self.now + (next.at_us - request.at_us), Event::ScriptRequest);
        }
        let number = self.next_sequence();
        self.script_attempts.insert(number, ScriptAttempt { request, first: self.now, retries: 0 });
        self.send_script_request(number);
    }

    fn on_attempts_failed(&mut self, process: HostProcess, attempts: &[FailedAttempt]) {
        if self.is_current(process) {
            for failed in attempts {
                self.report_attempt_result(process.host, failed.attempt, failed.outcome);
            }
            self.poll_host(process.host);
        }
    }

    /// The host is polled once it has noticed all sessions that ended together: a timer that fires between two of them could
    /// send an attempt for a client that has left.
    fn on_session_closed(&mut self, process: HostProcess, session: u32) {
        if self.is_current(process) {
            let now = self.steady_clock(process.host);
            self.hosts[process.host as usize].core.handle_session_closed(now, session);
        }
    }

    fn on_list_failed(&mut self, process: HostProcess) {
        let host_index = process.host;
        if self.is_current(process) && self.hosts[host_index as usize].up {
            self.hosts[host_index as usize].follows_list = false;
            let now = self.steady_clock(host_index);
            let core = &mut self.hosts[host_index as usize].core;
            core.handle_endpoint_list(now, ListKind::Failed, 0, 0, &[]);
            self.poll_host(host_index);
        }
    }

    /// Starts a host that is down, unless a fault still keeps it down.
    fn restart_host(&mut self, host: u32) {
        if !self.hosts[host as usize].up && !self.active_faults.keep_host_down(host) {
            self.hosts[host as usize] = self.new_host(host);
            self.record(tackmast_trace::Event::HostUp { host });
            self.poll_host(host);
        }
    }

    /// Ends a host whose drain is over. Its next process starts at the end of the fault, or now if that has come already.
    fn end_drained_host(&mut self, process: HostProcess) {
        if self.is_current(process) && self.hosts[process.host as usize].up {
            let now = self.steady_clock(process.host);
            if let Some(core) = self.hosts[process.host as usize].core.core() {
                core.announce_leave(now);
            }
            self.poll_host(process.host);
            self.kill_host(process.host);
            self.schedule(self.now, Event::HostUp { host: process.host });
        }
    }

    /// A client without a protocol aborts its command.
    fn abort_command(&mut self, process: HostProcess, command: u32) {
        let host_index = process.host;
        if !self.is_current(process) || !self.hosts[host_index as usize].up {
            return;
        }
        let host = &mut self.hosts[host_index as usize];
        if host.submitted.remove(&(DIRECT_SESSION, command)).is_none() {
            return;
        }
        self.record(tackmast_trace::Event::Left { host: host_index, session: DIRECT_SESSION, command });
        let now = self.steady_clock(host_index);
        let from = CommandId { session: DIRECT_SESSION, command };
        self.hosts[host_index as usize].core.handle_abort(now, from);
        self.poll_host(host_index);
    }

    /// When the host that an event is for resumes, if it is paused.
    fn paused_until(&self, event: &Event) -> Option<Us> {
        let host_index = match event {
            Event::BytesToHost { link, .. } | Event::NodeHello { link, .. } => link.host,
            Event::HostTimer { host } => *host,
            Event::AttemptsFailed { process, .. }
            | Event::SessionClosed { process, .. }
            | Event::EndpointList { process, .. }
            | Event::ListFailed { process }
            | Event::DrainBegun { process }
            | Event::DrainEnded { process } => process.host,
            Event::Datagram { to, .. } => *to,
            Event::BytesToServer { connection, .. } | Event::Connected { connection } => {
                self.clients[connection.client as usize].host
            }
            _ => return None,
        };
        let host = &self.hosts[host_index as usize];
        (host.up && host.paused_until > self.now).then_some(host.paused_until)
    }
}
