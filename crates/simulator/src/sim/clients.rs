//! Clients over both protocols, their connections, and the sessions of their hosts.

use super::commands::{BlockAccess, Submission};
use super::event::{Connection, Event};
use super::{instant_at, microseconds, Sim, Us, BLOCK_BYTES};
use super::{LIMITED_LUN, LIMITED_VOLUME, UNLIMITED_LUN, UNLIMITED_VOLUME};
use crate::clients::{data, Call, Client, Protocol};
use tackmast_client_core::{Op, Outcome, Output, VolumeAddress};
use tackmast_host_core::{CommandId, Work};
use tackmast_target as target;

/// Deadline of a client's call, in microseconds.
const CALL_TIMEOUT: Us = 900_000;
/// A call that is answered up to this much after its deadline is not late, in microseconds.
const CALL_TIMEOUT_TOLERANCE: Us = 1000;

/// A way that bytes of a connection take.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Direction {
    ToServer,
    ToClient,
}

impl Sim<'_> {
    /// Adds the clients of a host. Every third client of a host with the limited volume uses that volume.
    pub(super) fn add_clients(&mut self, host_index: u32) {
        for (protocol, count) in [Protocol::Iscsi, Protocol::Nbd].into_iter().zip(self.world.clients) {
            for _ in 0..count {
                let is_limited = host_index < self.limited_host_count() && self.clients.len() % 3 == 1;
                let target = self.settings[host_index as usize].host.target.clone();
                let name = if is_limited { LIMITED_VOLUME } else { UNLIMITED_VOLUME }.into();
                let volume =
                    VolumeAddress { target, lun: if is_limited { LIMITED_LUN } else { UNLIMITED_LUN }, name };
                let client_index = self.clients.len() as u32;
                let seed = self.world.seed << 16 | u64::from(client_index);
                let client = Client::new(instant_at(self.now), host_index, protocol, volume, seed);
                self.clients.push(client);
                self.clients_by_host[host_index as usize].push(client_index);
                self.schedule(self.now, Event::ClientTimer { client: client_index });
            }
        }
    }

    /// A client starts a call.
    pub(super) fn start_call(&mut self, client_index: u32, access: BlockAccess) {
        let now = self.now;
        let client = &mut self.clients[client_index as usize];
        client.call_count += 1;
        let (number, deadline) = (client.call_count, now + CALL_TIMEOUT);
        let (offset, length) = (access.block * u64::from(BLOCK_BYTES), access.blocks * BLOCK_BYTES);
        let op = match access.write {
            true => Op::Write { offset, data: data(length) },
            false => Op::Read { offset, length },
        };
        client.calls.insert(number, Call { deadline });
        client.core.submit(instant_at(now), number, op, instant_at(deadline));
        self.run.calls += 1;
        self.poll_client(client_index);
    }

    /// Fires the timers of a client that are due, and executes what its core asks for.
    pub(super) fn poll_client(&mut self, client_index: u32) {
        let now = instant_at(self.now);
        self.clients[client_index as usize].core.handle_timeout(now);
        while let Some(output) = self.clients[client_index as usize].core.poll_output() {
            self.execute_client_output(client_index, output);
        }
        let client = &mut self.clients[client_index as usize];
        let due = client.core.poll_timeout(now).map(microseconds);
        if let Some(due) = due.filter(|due| *due < client.wake) {
            let due = due.max(self.now + 1);
            client.wake = due;
            self.schedule(due, Event::ClientTimer { client: client_index });
        }
    }

    fn execute_client_output(&mut self, client_index: u32, output: Output) {
        match output {
            Output::Connect { slot } => {
                let generation = self.next_sequence();
                self.clients[client_index as usize].slots[slot].generation = generation;
                let connection = Connection { client: client_index, slot, generation };
                let due = self.now + 2 * self.world.delay_us;
                self.schedule(due, Event::Connected { connection });
            }
            Output::Write { slot, bytes } => {
                let generation = self.clients[client_index as usize].slots[slot].generation;
                let connection = Connection { client: client_index, slot, generation };
                self.send_client_bytes(connection, &bytes, Direction::ToServer);
            }
            Output::Close { slot } => {
                let slot_state = &mut self.clients[client_index as usize].slots[slot];
                let generation = std::mem::take(&mut slot_state.generation);
                self.close_session(Connection { client: client_index, slot, generation });
            }
            Output::Answer { call, outcome } => {
                let Some(call) = self.clients[client_index as usize].calls.remove(&call) else { return };
                self.run.calls_done += u64::from(matches!(outcome, Outcome::Done(_)));
                self.run.calls_late += u64::from(self.now > call.deadline + CALL_TIMEOUT_TOLERANCE);
            }
            Output::Ready(_) | Output::Refused { .. } => {}
        }
    }

    /// Sends bytes over a connection, split at a random place. Each direction keeps its order.
    pub(super) fn send_client_bytes(&mut self, connection: Connection, bytes: &[u8], direction: Direction) {
        let split = self.generator.rand_range(0..bytes.len() as u64 + 1) as usize;
        let parts = [&bytes[..split], &bytes[split..]];
        for part in parts.into_iter().filter(|part| !part.is_empty()) {
            let due = self.now + self.world.delay_us + self.draw_jitter();
            let Connection { client, slot, generation } = connection;
            let Some(pipe) = self.clients[client as usize].pipe_of(slot, generation) else { return };
            let last_arrival = match direction {
                Direction::ToServer => &mut pipe.last_arrivals[0],
                Direction::ToClient => &mut pipe.last_arrivals[1],
            };
            *last_arrival = due.max(*last_arrival + 1);
            let (due, bytes) = (*last_arrival, part.to_vec());
            let event = match direction {
                Direction::ToServer => Event::BytesToServer { connection, bytes },
                Direction::ToClient => Event::BytesToClient { connection, bytes },
            };
            self.schedule(due, event);
        }
    }

    /// The delay of a message beyond the shortest, in microseconds.
    pub(super) fn draw_jitter(&mut self) -> Us {
        match self.world.jitter_us {
            0 => 0,
            jitter_us => self.generator.rand_range(0..jitter_us),
        }
    }

    pub(super) fn on_connected(&mut self, connection: Connection) {
        let Connection { client: client_index, slot, generation } = connection;
        let client = &mut self.clients[client_index as usize];
        if client.slots[slot].generation != generation {
            return;
        }
        let host = &mut self.hosts[client.host as usize];
        if !host.up {
            client.slots[slot].generation = 0;
            client.core.handle_closed(instant_at(self.now), slot);
            return self.poll_client(client_index);
        }
        host.session_count += 1;
        let session = host.session_count;
        host.sessions.insert(u32::from(session), connection);
        let pipe = client.open_pipe(&self.offer, &self.units, session);
        client.slots[slot].pipe = Some(pipe);
        client.core.handle_connected(slot);
        self.flush(connection);
        self.poll_client(client_index);
    }

    /// The connection has ended for the client.
    pub(super) fn on_connection_closed(&mut self, connection: Connection) {
        let Connection { client: client_index, slot, generation } = connection;
        if self.clients[client_index as usize].slots[slot].generation != generation {
            return;
        }
        self.clients[client_index as usize].slots[slot].generation = 0;
        self.close_session(connection);
        self.clients[client_index as usize].core.handle_closed(instant_at(self.now), slot);
        self.poll_client(client_index);
    }

    /// The connection has ended, which a host that is paused notices when it resumes: nobody waits for the commands that were open.
    pub(super) fn close_session(&mut self, connection: Connection) {
        let client = &mut self.clients[connection.client as usize];
        let Some(pipe) = client.slots[connection.slot].pipe.take() else { return };
        let (host_index, session) = (client.host, pipe.session_number);
        let host = &mut self.hosts[host_index as usize];
        if host.sessions.get(&session) != Some(&connection) {
            return;
        }
        host.sessions.remove(&session);
        let open = host.submitted.range((session, 0)..(session + 1, 0));
        let open: Vec<u32> = open.map(|((_, command), _)| *command).collect();
        for command in open {
            self.hosts[host_index as usize].submitted.remove(&(session, command));
            self.record(tackmast_trace::Event::Left { host: host_index, session, command });
        }
        let process = self.process_of(host_index);
        self.notify_host(Event::SessionClosed { process, session });
        self.poll_host(host_index);
    }

    /// Bytes of a client reach the session of its host.
    pub(super) fn on_server_bytes(&mut self, connection: Connection, bytes: &[u8]) {
        let Connection { client: client_index, slot, generation } = connection;
        let host_index = self.clients[client_index as usize].host;
        let Some(pipe) = self.clients[client_index as usize].pipe_of(slot, generation) else { return };
        let has_failed = pipe.session.handle_bytes(bytes).is_err();
        let session = pipe.session_number;
        let mut events = Vec::new();
        while let Some(event) = pipe.session.poll_event() {
            events.push(event);
        }
        for event in events {
            self.on_session_event(connection, host_index, session, event);
        }
        self.flush(connection);
        self.poll_host(host_index);
        let pipe = self.clients[client_index as usize].pipe_of(slot, generation);
        if has_failed || pipe.is_some_and(|pipe| pipe.session.is_over()) {
            self.close_session(connection);
            self.schedule(self.now + self.world.delay_us, Event::Closed { connection });
        }
    }

    fn on_session_event(
        &mut self,
        connection: Connection,
        host_index: u32,
        session: u32,
        event: target::Event,
    ) {
        let Connection { client, slot, generation } = connection;
        match event {
            target::Event::Begun { command } => {
                let now = self.now;
                if let Some(pipe) = self.clients[client as usize].pipe_of(slot, generation) {
                    pipe.began.insert(command, now);
                }
            }
            target::Event::Submit { command, lun, block, work, deadline_ms } => {
                let pipe = self.clients[client as usize].pipe_of(slot, generation);
                let began = pipe.and_then(|pipe| pipe.began.remove(&command)).unwrap_or(self.now);
                let work = match work {
                    target::Work::Read { blocks } => Work::Read { blocks },
                    target::Work::Write { data } => Work::Write { data },
                };
                let from = CommandId { session, command };
                let timeout_us = deadline_ms.map(|ms| u64::from(ms) * 1000);
                self.submit(host_index, Submission { from, lun, block, work, began, timeout_us });
            }
            target::Event::Abort { command } => {
                let host = &mut self.hosts[host_index as usize];
                if host.submitted.remove(&(session, command)).is_some() {
                    self.record(tackmast_trace::Event::Left { host: host_index, session, command });
                }
                let now = self.steady_clock(host_index);
                let from = CommandId { session, command };
                self.hosts[host_index as usize].core.handle_abort(now, from);
            }
            target::Event::Close(_) | target::Event::Note(_) => {}
        }
    }

    /// Sends what a session has to transmit.
    pub(super) fn flush(&mut self, connection: Connection) {
        let Connection { client, slot, generation } = connection;
        let Some(pipe) = self.clients[client as usize].pipe_of(slot, generation) else { return };
        let bytes = pipe.session.poll_transmit();
        if !bytes.is_empty() {
            self.send_client_bytes(connection, &bytes, Direction::ToClient);
        }
    }

    /// Closes a fraction of all connections at once, at both ends.
    pub(super) fn close_connections(&mut self, fraction: f64) {
        for client in 0..self.clients.len() as u32 {
            for slot in 0..self.clients[client as usize].slots.len() {
                let generation = self.clients[client as usize].slots[slot].generation;
                if generation > 0 && self.generator.rand_float() < fraction {
                    self.on_connection_closed(Connection { client, slot, generation });
                }
            }
        }
    }
}
