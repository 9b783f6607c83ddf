//! Clients over both protocols, their connections and the targets at the other end.

use super::*;

impl Sim<'_> {
    pub(super) fn add_clients(&mut self, h: u32) {
        for (i, nbd) in [(0, false), (1, true)] {
            for _ in 0..self.w.clients[i] {
                let lun =
                    u32::from(h < self.w.limited_hosts.min(self.w.hosts) && self.clients.len() % 3 == 1);
                let target = self.settings[h as usize].host.target.clone();
                let name = if lun == 1 { "school" } else { "museum" }.into();
                let c = self.clients.len() as u32;
                let seed = self.w.seed << 16 | u64::from(c);
                self.clients.push(Client::new(
                    at(self.now),
                    h,
                    nbd,
                    VolumeAddress { target, lun, name },
                    seed,
                ));
                self.clients_of[h as usize].push(c);
                self.push(self.now, Event::ClientTime(c));
            }
        }
    }

    pub(super) fn call(&mut self, c: u32, write: bool, block: u64, blocks: u32) {
        let now = self.now;
        let client = &mut self.clients[c as usize];
        client.next += 1;
        let (number, deadline) = (client.next, now + CALL);
        let op = match write {
            true => Op::Write { offset: block * 512, data: data(blocks * 512) },
            false => Op::Read { offset: block * 512, length: blocks * 512 },
        };
        client.calls.insert(number, Call { deadline });
        client.core.submit(at(now), number, op, at(deadline));
        self.run.calls += 1;
        self.client_pull(c);
    }

    pub(super) fn client_pull(&mut self, c: u32) {
        let now = self.now;
        self.clients[c as usize].core.handle_timeout(at(now));
        while let Some(o) = self.clients[c as usize].core.poll_output() {
            match o {
                ClientOutput::Connect { slot } => {
                    self.number += 1;
                    let generation = self.number;
                    self.clients[c as usize].slots[slot].generation = generation;
                    self.push(now + 2 * self.w.delay_us, Event::Connected(c, slot, generation));
                }
                ClientOutput::Write { slot, bytes } => {
                    let generation = self.clients[c as usize].slots[slot].generation;
                    self.carry(c, slot, generation, &bytes, true);
                }
                ClientOutput::Close { slot } => {
                    let generation = std::mem::take(&mut self.clients[c as usize].slots[slot].generation);
                    self.drop_pipe(c, slot, generation);
                }
                ClientOutput::Answer { call, outcome } => {
                    let Some(x) = self.clients[c as usize].calls.remove(&call) else { continue };
                    self.run.calls_done += u64::from(matches!(outcome, CallOutcome::Done(_)));
                    self.run.calls_late += u64::from(now > x.deadline + 1000);
                }
                ClientOutput::Ready(_) | ClientOutput::Refused { .. } => {}
            }
        }
        let client = &mut self.clients[c as usize];
        if let Some(t) = client.core.poll_timeout(at(now)).map(us).filter(|t| *t < client.wake) {
            client.wake = t.max(now + 1);
            let t = client.wake;
            self.push(t, Event::ClientTime(c));
        }
    }

    /// Bytes of a client's connection go on their way, cut where it happens.
    pub(super) fn carry(&mut self, c: u32, slot: usize, generation: u64, bytes: &[u8], up: bool) {
        let cut = self.chance.rand_range(0..bytes.len() as u64 + 1) as usize;
        let parts = [&bytes[..cut], &bytes[cut..]];
        for part in parts.into_iter().filter(|p| !p.is_empty()) {
            let jitter = if self.w.jitter_us > 0 { self.chance.rand_range(0..self.w.jitter_us) } else { 0 };
            let t = self.now + self.w.delay_us + jitter;
            let Some(pipe) = self.clients[c as usize].pipe_of(slot, generation) else { return };
            let last = &mut pipe.last[usize::from(!up)];
            *last = t.max(*last + 1);
            let (t, bytes) = (*last, part.to_vec());
            self.push(
                t,
                if up {
                    Event::ToServer(c, slot, generation, bytes)
                } else {
                    Event::ToClient(c, slot, generation, bytes)
                },
            );
        }
    }

    pub(super) fn connected(&mut self, c: u32, slot: usize, generation: u64) {
        let client = &mut self.clients[c as usize];
        if client.slots[slot].generation != generation {
            return;
        }
        let h = client.host;
        let host = &mut self.hosts[h as usize];
        if !host.up {
            client.slots[slot].generation = 0;
            client.core.handle_closed(at(self.now), slot);
            return self.client_pull(c);
        }
        host.numbers += 1;
        let number = host.numbers;
        host.sessions.insert(u32::from(number), (c, slot, generation));
        let pipe = client.pipe(&self.offer, &self.units, number);
        client.slots[slot].pipe = Some(pipe);
        client.core.handle_connected(slot);
        self.flush(c, slot, generation);
        self.client_pull(c);
    }

    /// The connection is at its end for the client.
    pub(super) fn closed(&mut self, c: u32, slot: usize, generation: u64) {
        if self.clients[c as usize].slots[slot].generation != generation {
            return;
        }
        self.clients[c as usize].slots[slot].generation = 0;
        self.drop_pipe(c, slot, generation);
        self.clients[c as usize].core.handle_closed(at(self.now), slot);
        self.client_pull(c);
    }

    /// The connection is at its end for the host: what it had open has nobody who waits.
    pub(super) fn drop_pipe(&mut self, c: u32, slot: usize, generation: u64) {
        let Some(pipe) = self.clients[c as usize].slots[slot].pipe.take() else { return };
        let h = self.clients[c as usize].host;
        let host = &mut self.hosts[h as usize];
        if host.sessions.get(&pipe.number) != Some(&(c, slot, generation)) {
            return;
        }
        host.sessions.remove(&pipe.number);
        let session = pipe.number;
        let open: Vec<u32> =
            host.submitted.range((session, 0)..(session + 1, 0)).map(|((_, c), _)| *c).collect();
        for command in open {
            self.hosts[h as usize].submitted.remove(&(session, command));
            self.note(tackmast_trace::Event::Left { host: h, session, command });
        }
        let now = self.time(h);
        self.hosts[h as usize].core.handle_session_closed(now, session);
        self.pull(h);
    }

    pub(super) fn server_gets(&mut self, c: u32, slot: usize, generation: u64, bytes: &[u8]) {
        let (h, now) = (self.clients[c as usize].host, self.now);
        let Some(pipe) = self.clients[c as usize].pipe_of(slot, generation) else { return };
        let failed = pipe.session.handle_bytes(bytes).is_err();
        let session = pipe.number;
        let mut events = Vec::new();
        while let Some(e) = pipe.session.poll_event() {
            events.push(e);
        }
        for e in events {
            match e {
                target::Event::Begun { command } => {
                    if let Some(pipe) = self.clients[c as usize].pipe_of(slot, generation) {
                        pipe.began.insert(command, now);
                    }
                }
                target::Event::Submit { command, lun, block, work, deadline_ms } => {
                    let pipe = self.clients[c as usize].pipe_of(slot, generation);
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
                        self.note(tackmast_trace::Event::Left { host: h, session, command });
                    }
                    let at_host = self.time(h);
                    self.hosts[h as usize].core.handle_abort(at_host, CommandRef { session, command });
                }
                target::Event::Close(_) | target::Event::Note(_) => {}
            }
        }
        self.flush(c, slot, generation);
        self.pull(h);
        let over = self.clients[c as usize].pipe_of(slot, generation).is_some_and(|p| p.session.is_over());
        if failed || over {
            self.drop_pipe(c, slot, generation);
            self.push(now + self.w.delay_us, Event::Closed(c, slot, generation));
        }
    }

    /// What a session has to say goes on its way.
    pub(super) fn flush(&mut self, c: u32, slot: usize, generation: u64) {
        let Some(pipe) = self.clients[c as usize].pipe_of(slot, generation) else { return };
        let bytes = pipe.session.poll_transmit();
        if !bytes.is_empty() {
            self.carry(c, slot, generation, &bytes, false);
        }
    }

    /// A part of all connections ends at once, at both sides.
    pub(super) fn hang_up(&mut self, part: f64) {
        for c in 0..self.clients.len() as u32 {
            for slot in 0..self.clients[c as usize].slots.len() {
                let generation = self.clients[c as usize].slots[slot].generation;
                if generation > 0 && self.chance.rand_float() < part {
                    self.closed(c, slot, generation);
                }
            }
        }
    }
}
