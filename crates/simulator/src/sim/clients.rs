//! Clients over both protocols, their connections and the targets at the other end.

use super::*;

impl Sim<'_> {
    pub(super) fn add_clients(&mut self, host_index: u32) {
        for (i, nbd) in [(0, false), (1, true)] {
            for _ in 0..self.world.clients[i] {
                let lun = u32::from(
                    host_index < self.world.limited_hosts.min(self.world.hosts)
                        && self.clients.len() % 3 == 1,
                );
                let target = self.settings[host_index as usize].host.target.clone();
                let name = if lun == 1 { "school" } else { "museum" }.into();
                let client_index = self.clients.len() as u32;
                let seed = self.world.seed << 16 | u64::from(client_index);
                self.clients.push(Client::new(
                    at(self.now),
                    host_index,
                    nbd,
                    VolumeAddress { target, lun, name },
                    seed,
                ));
                self.clients_of[host_index as usize].push(client_index);
                self.push(self.now, Event::ClientTime(client_index));
            }
        }
    }

    pub(super) fn start_call(&mut self, client_index: u32, write: bool, block: u64, blocks: u32) {
        let now = self.now;
        let client = &mut self.clients[client_index as usize];
        client.next += 1;
        let (number, deadline) = (client.next, now + CALL_TIMEOUT);
        let op = match write {
            true => Op::Write { offset: block * 512, data: data(blocks * 512) },
            false => Op::Read { offset: block * 512, length: blocks * 512 },
        };
        client.calls.insert(number, Call { deadline });
        client.core.submit(at(now), number, op, at(deadline));
        self.run.calls += 1;
        self.poll_client(client_index);
    }

    pub(super) fn poll_client(&mut self, client_index: u32) {
        let now = self.now;
        self.clients[client_index as usize].core.handle_timeout(at(now));
        while let Some(o) = self.clients[client_index as usize].core.poll_output() {
            match o {
                ClientOutput::Connect { slot } => {
                    self.number += 1;
                    let generation = self.number;
                    self.clients[client_index as usize].slots[slot].generation = generation;
                    self.push(
                        now + 2 * self.world.delay_us,
                        Event::Connected(client_index, slot, generation),
                    );
                }
                ClientOutput::Write { slot, bytes } => {
                    let generation = self.clients[client_index as usize].slots[slot].generation;
                    self.send_client_bytes(client_index, slot, generation, &bytes, true);
                }
                ClientOutput::Close { slot } => {
                    let generation =
                        std::mem::take(&mut self.clients[client_index as usize].slots[slot].generation);
                    self.close_session(client_index, slot, generation);
                }
                ClientOutput::Answer { call, outcome } => {
                    let Some(x) = self.clients[client_index as usize].calls.remove(&call) else { continue };
                    self.run.calls_done += u64::from(matches!(outcome, CallOutcome::Done(_)));
                    self.run.calls_late += u64::from(now > x.deadline + 1000);
                }
                ClientOutput::Ready(_) | ClientOutput::Refused { .. } => {}
            }
        }
        let client = &mut self.clients[client_index as usize];
        if let Some(due) = client.core.poll_timeout(at(now)).map(us).filter(|due| *due < client.wake) {
            client.wake = due.max(now + 1);
            let due = client.wake;
            self.push(due, Event::ClientTime(client_index));
        }
    }

    /// Bytes of a client's connection go on their way, cut where it happens.
    pub(super) fn send_client_bytes(
        &mut self,
        client_index: u32,
        slot: usize,
        generation: u64,
        bytes: &[u8],
        up: bool,
    ) {
        let cut = self.generator.rand_range(0..bytes.len() as u64 + 1) as usize;
        let parts = [&bytes[..cut], &bytes[cut..]];
        for part in parts.into_iter().filter(|p| !p.is_empty()) {
            let jitter =
                if self.world.jitter_us > 0 { self.generator.rand_range(0..self.world.jitter_us) } else { 0 };
            let due = self.now + self.world.delay_us + jitter;
            let Some(pipe) = self.clients[client_index as usize].pipe_of(slot, generation) else { return };
            let last = &mut pipe.last[usize::from(!up)];
            *last = due.max(*last + 1);
            let (due, bytes) = (*last, part.to_vec());
            self.push(
                due,
                if up {
                    Event::ToServer(client_index, slot, generation, bytes)
                } else {
                    Event::ToClient(client_index, slot, generation, bytes)
                },
            );
        }
    }

    pub(super) fn on_connected(&mut self, client_index: u32, slot: usize, generation: u64) {
        let client = &mut self.clients[client_index as usize];
        if client.slots[slot].generation != generation {
            return;
        }
        let host_index = client.host;
        let host = &mut self.hosts[host_index as usize];
        if !host.up {
            client.slots[slot].generation = 0;
            client.core.handle_closed(at(self.now), slot);
            return self.poll_client(client_index);
        }
        host.numbers += 1;
        let number = host.numbers;
        host.sessions.insert(u32::from(number), (client_index, slot, generation));
        let pipe = client.pipe(&self.offer, &self.units, number);
        client.slots[slot].pipe = Some(pipe);
        client.core.handle_connected(slot);
        self.flush(client_index, slot, generation);
        self.poll_client(client_index);
    }

    /// The connection is at its end for the client.
    pub(super) fn on_connection_closed(&mut self, client_index: u32, slot: usize, generation: u64) {
        if self.clients[client_index as usize].slots[slot].generation != generation {
            return;
        }
        self.clients[client_index as usize].slots[slot].generation = 0;
        self.close_session(client_index, slot, generation);
        self.clients[client_index as usize].core.handle_closed(at(self.now), slot);
        self.poll_client(client_index);
    }

    /// The connection is at its end for the host: what it had open has nobody who waits.
    pub(super) fn close_session(&mut self, client_index: u32, slot: usize, generation: u64) {
        let Some(pipe) = self.clients[client_index as usize].slots[slot].pipe.take() else { return };
        let host_index = self.clients[client_index as usize].host;
        let host = &mut self.hosts[host_index as usize];
        if host.sessions.get(&pipe.number) != Some(&(client_index, slot, generation)) {
            return;
        }
        host.sessions.remove(&pipe.number);
        let session = pipe.number;
        let open: Vec<u32> = host
            .submitted
            .range((session, 0)..(session + 1, 0))
            .map(|((_, client_index), _)| *client_index)
            .collect();
        for command in open {
            self.hosts[host_index as usize].submitted.remove(&(session, command));
            self.record(tackmast_trace::Event::Left { host: host_index, session, command });
        }
        let now = self.time(host_index);
        self.hosts[host_index as usize].core.handle_session_closed(now, session);
        self.poll_host(host_index);
    }

    pub(super) fn on_server_bytes(&mut self, client_index: u32, slot: usize, generation: u64, bytes: &[u8]) {
        let (h, now) = (self.clients[client_index as usize].host, self.now);
        let Some(pipe) = self.clients[client_index as usize].pipe_of(slot, generation) else { return };
        let failed = pipe.session.handle_bytes(bytes).is_err();
        let session = pipe.number;
        let mut events = Vec::new();
        while let Some(e) = pipe.session.poll_event() {
            events.push(e);
        }
        for e in events {
            match e {
                target::Event::Begun { command } => {
                    if let Some(pipe) = self.clients[client_index as usize].pipe_of(slot, generation) {
                        pipe.began.insert(command, now);
                    }
                }
                target::Event::Submit { command, lun, block, work, deadline_ms } => {
                    let pipe = self.clients[client_index as usize].pipe_of(slot, generation);
                    let began = pipe.and_then(|p| p.began.remove(&command)).unwrap_or(now);
                    let work = match work {
                        target::Work::Read { blocks } => Work::Read { blocks },
                        target::Work::Write { data } => Work::Write { data },
                    };
                    let asked = deadline_ms.map(|ms| u64::from(ms) * 1000);
                    self.submit(h, CommandRef { session, command }, lun, block, work, began, asked);
                }
                target::Event::Abort { command } => {
                    if self.hosts[h as usize].submitted.remove(&(session, command)).is_some() {
                        self.record(tackmast_trace::Event::Left { host: h, session, command });
                    }
                    let at_host = self.time(h);
                    self.hosts[h as usize].core.handle_abort(at_host, CommandRef { session, command });
                }
                target::Event::Close(_) | target::Event::Note(_) => {}
            }
        }
        self.flush(client_index, slot, generation);
        self.poll_host(h);
        let over = self.clients[client_index as usize]
            .pipe_of(slot, generation)
            .is_some_and(|p| p.session.is_over());
        if failed || over {
            self.close_session(client_index, slot, generation);
            self.push(now + self.world.delay_us, Event::Closed(client_index, slot, generation));
        }
    }

    /// Sends what a session has to transmit.
    pub(super) fn flush(&mut self, client_index: u32, slot: usize, generation: u64) {
        let Some(pipe) = self.clients[client_index as usize].pipe_of(slot, generation) else { return };
        let bytes = pipe.session.poll_transmit();
        if !bytes.is_empty() {
            self.send_client_bytes(client_index, slot, generation, &bytes, false);
        }
    }

    /// A part of all connections ends at once, at both sides.
    pub(super) fn close_connections(&mut self, part: f64) {
        for c in 0..self.clients.len() as u32 {
            for slot in 0..self.clients[c as usize].slots.len() {
                let generation = self.clients[c as usize].slots[slot].generation;
                if generation > 0 && self.generator.rand_float() < part {
                    self.on_connection_closed(c, slot, generation);
                }
            }
        }
    }
}
