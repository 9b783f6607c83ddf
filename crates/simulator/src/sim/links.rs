//! Links between hosts and nodes, and the attempts on them.

use super::*;

/// The frame of an attempt on the wire.
fn attempt_frame(attempt: &SendAttempt, attempt_number: u8, now: Instant, left_us: Us) -> Bytes {
    let work = match &attempt.work {
        AttemptWork::Read { length } => node::Work::Read { length: *length },
        AttemptWork::Write { data } | AttemptWork::Opaque(OpaqueRequest { body: data, .. }) => {
            node::Work::Write { data: data.clone() }
        }
    };
    let (session, command) = (attempt.from.session, attempt.from.command);
    Frame::Send(node::SendAttempt {
        attempt: attempt.attempt.0,
        request: attempt.request,
        attempt_number,
        origin: Origin { session, command, part: attempt.part },
        sent_us: us(now),
        left_us: left_us as u32,
        idempotency_key: attempt.idempotency_key,
        key: attempt.key,
        volume: attempt.volume,
        offset: attempt.offset,
        units: attempt.units as f32,
        work,
    })
    .to_bytes()
}

/// An attempt as the trace has it.
fn attempt_record(
    node: String,
    name: AttemptName,
    attempt: &SendAttempt,
    left_us: Us,
) -> tackmast_trace::Event {
    let (write, bytes) = match &attempt.work {
        AttemptWork::Read { length } => (false, u64::from(*length)),
        AttemptWork::Write { data } | AttemptWork::Opaque(OpaqueRequest { body: data, .. }) => {
            (true, data.len() as u64)
        }
    };
    tackmast_trace::Event::Attempt {
        node,
        name,
        session: attempt.from.session,
        command: attempt.from.command,
        part: attempt.part,
        volume: attempt.volume,
        write,
        offset: attempt.offset,
        bytes,
        units: attempt.units,
        key: attempt.key,
        idempotency_key: format!("{:x}", attempt.idempotency_key),
        left_us,
    }
}

impl Sim<'_> {
    pub(super) fn send(&mut self, host_index: u32, attempt: SendAttempt) {
        self.sends += 1;
        let node_index = self.node_of(host_index, attempt.node.0);
        let generation = self.hosts[host_index as usize].generation;
        let Some(node_index) = node_index.filter(|node_index| self.nodes[*node_index as usize].up) else {
            // Nobody listens: the host hears so after a round trip.
            let due = self.now + 2 * self.world.delay_us;
            attempt.ticket.withdraw();
            return self.push(due, Event::Refused(host_index, generation, attempt.attempt.0));
        };
        self.open_link(host_index, node_index);
        if let Some(waiting) =
            self.hosts[host_index as usize].links.get_mut(&node_index).and_then(|l| l.waiting.as_mut())
        {
            return waiting.push(attempt);
        }
        self.transmit(host_index, node_index, &attempt);
    }

    /// Sends an attempt to its node, unless it was withdrawn or is too late.
    pub(super) fn transmit(&mut self, host_index: u32, node_index: u32, attempt: &SendAttempt) {
        let generation = self.hosts[host_index as usize].generation;
        let now = self.time(host_index);
        let left_us = ((attempt.until - now).secs() * 1e6).max(0.0) as Us;
        match attempt.begin(now) {
            Begin::Now => {}
            Begin::Withdrawn => return,
            Begin::TooLate => {
                return self.push(self.now, Event::Refused(host_index, generation, attempt.attempt.0))
            }
        }
        attempt.ticket.written();
        let number = attempt.attempt_number;
        let name = AttemptName { host: host_index, generation, request: attempt.request, attempt: number };
        let address = self.nodes[node_index as usize].address.clone();
        let is_doubled = self.mutant == Some(Mutant::HedgeTooEarly) && self.sends.is_multiple_of(100);
        // An attempt counts from when its host sends it, whatever the network delays after that.
        self.record(attempt_record(address.clone(), name, attempt, left_us));
        if is_doubled {
            let second = AttemptName { attempt: number + 1, ..name };
            self.record(attempt_record(address, second, attempt, left_us));
        }
        if let Some(link) = self.hosts[host_index as usize].links.get_mut(&node_index) {
            link.attempts.insert(attempt.attempt.0, name);
        }
        let bytes = attempt_frame(attempt, number, now, left_us);
        self.send_link_bytes(host_index, node_index, &bytes, true);
        if is_doubled {
            let bytes = attempt_frame(attempt, number + 1, now, left_us);
            self.send_link_bytes(host_index, node_index, &bytes, true);
        }
    }

    /// The simulator's index of a node, from the core's number.
    pub(super) fn node_of(&self, host_index: u32, number: u32) -> Option<u32> {
        let core = &self.hosts[host_index as usize].core;
        let address = core.nodes().address(tackmast::interface::NodeId(number))?;
        self.nodes.iter().position(|n| n.address == address).map(|n| n as u32)
    }

    pub(super) fn forward_to_node(&mut self, host_index: u32, number: u32, bytes: &Bytes, to_node: bool) {
        if let Some(n) = self.node_of(host_index, number) {
            if self.hosts[host_index as usize].links.contains_key(&n) {
                self.send_link_bytes(host_index, n, bytes, to_node);
            }
        }
    }

    pub(super) fn open_link(&mut self, host_index: u32, node_index: u32) {
        self.number += 1;
        let generation = self.number;
        // As the hello at the start of the link shows it.
        let offset = self.now as i64 - us(self.time(host_index)) as i64 + self.world.delay_us as i64;
        let new = || Link {
            generation,
            to_node: node::frames(1 << 20),
            to_host: node::frames(1 << 20),
            last: [0; 2],
            offset,
            waiting: Some(Vec::new()),
            attempts: BTreeMap::new(),
        };
        let links = &mut self.hosts[host_index as usize].links;
        if let std::collections::btree_map::Entry::Vacant(place) = links.entry(node_index) {
            place.insert(new());
            let (host_generation, started) =
                (self.hosts[host_index as usize].generation, self.nodes[node_index as usize].started);
            let held_until = self.partitions.get(&(host_index, node_index)).copied().unwrap_or(0);
            let due = self.now.max(held_until) + 2 * self.world.delay_us;
            self.push(due, Event::Hello(host_index, host_generation, node_index, started));
        }
    }

    /// Bytes go on their way, cut where it happens; each direction keeps its order.
    pub(super) fn send_link_bytes(&mut self, host_index: u32, node_index: u32, bytes: &Bytes, to_node: bool) {
        let held_until = self.partitions.get(&(host_index, node_index)).copied().unwrap_or(0);
        let cut = self.generator.rand_range(0..bytes.len() as u64 + 1) as usize;
        let parts = if self.generator.rand_float() < 0.1 {
            vec![&bytes[..cut], &bytes[cut..]]
        } else {
            vec![&bytes[..]]
        };
        for part in parts.into_iter().filter(|p| !p.is_empty()) {
            let jitter =
                if self.world.jitter_us > 0 { self.generator.rand_range(0..self.world.jitter_us) } else { 0 };
            let Some(l) = self.hosts[host_index as usize].links.get_mut(&node_index) else { return };
            let due = (self.now.max(held_until) + self.world.delay_us + jitter)
                .max(l.last[usize::from(to_node)] + 1);
            l.last[usize::from(to_node)] = due;
            let generation = l.generation;
            let bytes = part.to_vec();
            self.push(
                due,
                if to_node {
                    Event::ToNode(host_index, node_index, generation, bytes)
                } else {
                    Event::ToHost(host_index, node_index, generation, bytes)
                },
            );
        }
    }

    pub(super) fn on_host_bytes(&mut self, host_index: u32, node_index: u32, generation: u64, bytes: &[u8]) {
        if !self.hosts[host_index as usize].up {
            return;
        }
        let Some(l) =
            self.hosts[host_index as usize].links.get_mut(&node_index).filter(|l| l.generation == generation)
        else {
            return;
        };
        l.to_host.push(bytes);
        let mut backs = Vec::new();
        while let Ok(Some(f)) = node::next(&mut l.to_host) {
            if let Frame::Answer(a) = f {
                if l.attempts.remove(&a.attempt).is_some() {
                    backs.push(a);
                }
            }
        }
        let now = self.time(host_index);
        for a in backs {
            let outcome = match a.outcome {
                NodeOutcome::Done => Outcome::Done,
                NodeOutcome::Error => Outcome::Error,
                NodeOutcome::Full => Outcome::Full,
                NodeOutcome::NotHere => Outcome::Skipped,
            };
            let (waiting, elsewhere) = (Some(a.waiting), Some(f64::from(a.elsewhere)));
            let back =
                AttemptResult { attempt: AttemptId(a.attempt), outcome, waiting, elsewhere, data: a.data };
            self.hosts[host_index as usize].core.handle_attempt_result(now, back);
        }
        self.poll_host(host_index);
    }

    pub(super) fn report_attempt_result(&mut self, host_index: u32, attempt: u64, outcome: Outcome) {
        let back = AttemptResult {
            attempt: AttemptId(attempt),
            outcome,
            waiting: None,
            elsewhere: None,
            data: Bytes::new(),
        };
        let now = self.time(host_index);
        self.hosts[host_index as usize].core.handle_attempt_result(now, back);
    }

    /// A link ends for both sides: its attempts may have run.
    pub(super) fn close_link(&mut self, host_index: u32, node_index: u32, generation: u64) {
        let host = &mut self.hosts[host_index as usize];
        if host.links.get(&node_index).is_none_or(|l| l.generation != generation) {
            return;
        }
        let Some(l) = host.links.remove(&node_index) else { return };
        let (node, generation) = (self.nodes[node_index as usize].address.clone(), host.generation);
        let attempts: Vec<AttemptName> = l.attempts.values().copied().collect();
        self.record(tackmast_trace::Event::LinkDown { node, host: host_index, generation, attempts });
        for attempt in l.attempts.keys() {
            self.report_attempt_result(host_index, *attempt, Outcome::Reset);
        }
        for attempt in l.waiting.into_iter().flatten().filter(|attempt| attempt.ticket.withdraw()) {
            self.report_attempt_result(host_index, attempt.attempt.0, Outcome::Refused);
        }
        self.poll_host(host_index);
    }

    pub(super) fn close_all_links(&mut self, node_index: u32) {
        for h in 0..self.world.hosts {
            if let Some(generation) = self.hosts[h as usize].links.get(&node_index).map(|l| l.generation) {
                self.close_link(h, node_index, generation);
            }
        }
    }

    pub(super) fn on_node_hello(&mut self, host_index: u32, generation: u64, node_index: u32, started: Us) {
        let node = &self.nodes[node_index as usize];
        let host = &self.hosts[host_index as usize];
        if host.generation != generation
            || !host.up
            || node.started != started
            || !host.links.contains_key(&node_index)
        {
            return;
        }
        // One that was up when time began has been so for long.
        let up = if started == 0 { 86_400.0 } else { (self.now - started) as f64 / 1e6 };
        let (now, number) = (self.time(host_index), host.core.nodes().number(&node.address));
        if let Some((core, number)) = self.hosts[host_index as usize].core.core().zip(number) {
            core.handle_node_uptime(now, number, TimeDelta::from_secs(up));
        }
        self.poll_host(host_index);
        // What the core has not taken back now leaves.
        let waiting =
            self.hosts[host_index as usize].links.get_mut(&node_index).and_then(|l| l.waiting.take());
        waiting.into_iter().flatten().for_each(|attempt| self.transmit(host_index, node_index, &attempt));
    }
}
