//! Links between hosts and nodes, and the attempts on them.

use super::*;

impl Sim<'_> {
    pub(super) fn send(&mut self, h: u32, attempt: SendAttempt) {
        self.sends += 1;
        let n = self.node_of(h, attempt.node.0);
        let generation = self.hosts[h as usize].generation;
        let Some(n) = n.filter(|n| self.nodes[*n as usize].up) else {
            // Nobody listens: the host hears so after a round trip.
            let t = self.now + 2 * self.w.delay_us;
            attempt.ticket.withdraw();
            return self.push(t, Event::Refused(h, generation, attempt.attempt.0));
        };
        self.open_link(h, n);
        if let Some(waiting) = self.hosts[h as usize].links.get_mut(&n).and_then(|l| l.waiting.as_mut()) {
            return waiting.push(attempt);
        }
        self.transmit(h, n, &attempt);
    }

    /// An attempt leaves its host, unless it was taken back.
    pub(super) fn transmit(&mut self, h: u32, n: u32, attempt: &SendAttempt) {
        let generation = self.hosts[h as usize].generation;
        let now = self.time(h);
        let left = ((attempt.until - now).secs() * 1e6).max(0.0) as Us;
        match attempt.begin(now) {
            Begin::Now => {}
            Begin::Withdrawn => return,
            Begin::TooLate => return self.push(self.now, Event::Refused(h, generation, attempt.attempt.0)),
        }
        attempt.ticket.written();
        let name =
            AttemptName { host: h, generation, request: attempt.request, attempt: attempt.attempt_number };
        let frame = |attempt_number: u8| {
            Frame::Send(node::SendAttempt {
                attempt: attempt.attempt.0,
                request: attempt.request,
                attempt_number,
                origin: Origin {
                    session: attempt.from.session,
                    command: attempt.from.command,
                    part: attempt.part,
                },
                sent_us: us(now),
                left_us: left as u32,
                mark: attempt.mark,
                key: attempt.key,
                volume: attempt.volume,
                offset: attempt.offset,
                units: attempt.units as f32,
                work: match &attempt.work {
                    AttemptWork::Read { length } => node::Work::Read { length: *length },
                    AttemptWork::Write { data } | AttemptWork::Opaque(OpaqueRequest { body: data, .. }) => {
                        node::Work::Write { data: data.clone() }
                    }
                },
            })
            .to_bytes()
        };
        // An attempt counts from when its host sends it: what the network holds back after that is no fault of its.
        let (write, length) = match &attempt.work {
            AttemptWork::Read { length } => (false, u64::from(*length)),
            AttemptWork::Write { data } | AttemptWork::Opaque(OpaqueRequest { body: data, .. }) => {
                (true, data.len() as u64)
            }
        };
        let address = self.nodes[n as usize].address.clone();
        let seen = |attempt_number: u8| tackmast_trace::Event::Attempt {
            node: address.clone(),
            name: AttemptName { attempt: attempt_number, ..name },
            session: attempt.from.session,
            command: attempt.from.command,
            part: attempt.part,
            volume: attempt.volume,
            write,
            offset: attempt.offset,
            bytes: length,
            units: attempt.units,
            key: attempt.key,
            mark: format!("{:x}", attempt.mark),
            left_us: left,
        };
        let (first, second) = (seen(attempt.attempt_number), seen(attempt.attempt_number + 1));
        let bytes = frame(attempt.attempt_number);
        let twice = (self.mutant == Some(Mutant::HedgeTooEarly) && self.sends.is_multiple_of(100))
            .then(|| frame(attempt.attempt_number + 1));
        self.note(first);
        if twice.is_some() {
            self.note(second);
        }
        if let Some(l) = self.hosts[h as usize].links.get_mut(&n) {
            l.attempts.insert(attempt.attempt.0, name);
        }
        self.pass(h, n, &bytes, true);
        if let Some(again) = twice {
            self.pass(h, n, &again, true);
        }
    }

    /// The core's number of a node to the lab's.
    pub(super) fn node_of(&self, h: u32, number: u32) -> Option<u32> {
        let core = &self.hosts[h as usize].core;
        let address = core.nodes().address(tackmast::interface::NodeId(number))?;
        self.nodes.iter().position(|n| n.address == address).map(|n| n as u32)
    }

    pub(super) fn pass_on(&mut self, h: u32, number: u32, bytes: &Bytes, to_node: bool) {
        if let Some(n) = self.node_of(h, number) {
            if self.hosts[h as usize].links.contains_key(&n) {
                self.pass(h, n, bytes, to_node);
            }
        }
    }

    pub(super) fn open_link(&mut self, h: u32, n: u32) {
        self.number += 1;
        let generation = self.number;
        // As the hello at the start of the link shows it.
        let offset = self.now as i64 - us(self.time(h)) as i64 + self.w.delay_us as i64;
        let new = || Link {
            generation,
            to_node: node::frames(1 << 20),
            to_host: node::frames(1 << 20),
            last: [0; 2],
            offset,
            waiting: Some(Vec::new()),
            attempts: BTreeMap::new(),
        };
        let links = &mut self.hosts[h as usize].links;
        if let std::collections::btree_map::Entry::Vacant(place) = links.entry(n) {
            place.insert(new());
            let (host_generation, started) =
                (self.hosts[h as usize].generation, self.nodes[n as usize].started);
            let held_until = self.partitions.get(&(h, n)).copied().unwrap_or(0);
            let t = self.now.max(held_until) + 2 * self.w.delay_us;
            self.push(t, Event::Hello(h, host_generation, n, started));
        }
    }

    /// Bytes go on their way, cut where it happens; each direction keeps its order.
    pub(super) fn pass(&mut self, h: u32, n: u32, bytes: &Bytes, to_node: bool) {
        let held_until = self.partitions.get(&(h, n)).copied().unwrap_or(0);
        let cut = self.chance.rand_range(0..bytes.len() as u64 + 1) as usize;
        let parts = if self.chance.rand_float() < 0.1 {
            vec![&bytes[..cut], &bytes[cut..]]
        } else {
            vec![&bytes[..]]
        };
        for part in parts.into_iter().filter(|p| !p.is_empty()) {
            let jitter = if self.w.jitter_us > 0 { self.chance.rand_range(0..self.w.jitter_us) } else { 0 };
            let Some(l) = self.hosts[h as usize].links.get_mut(&n) else { return };
            let t =
                (self.now.max(held_until) + self.w.delay_us + jitter).max(l.last[usize::from(to_node)] + 1);
            l.last[usize::from(to_node)] = t;
            let generation = l.generation;
            let bytes = part.to_vec();
            self.push(
                t,
                if to_node {
                    Event::ToNode(h, n, generation, bytes)
                } else {
                    Event::ToHost(h, n, generation, bytes)
                },
            );
        }
    }

    pub(super) fn host_gets(&mut self, h: u32, n: u32, generation: u64, bytes: &[u8]) {
        if !self.hosts[h as usize].up {
            return;
        }
        let Some(l) = self.hosts[h as usize].links.get_mut(&n).filter(|l| l.generation == generation) else {
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
        let now = self.time(h);
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
            self.hosts[h as usize].core.handle_attempt_result(now, back);
        }
        self.pull(h);
    }

    pub(super) fn back(&mut self, h: u32, attempt: u64, outcome: Outcome) {
        let back = AttemptResult {
            attempt: AttemptId(attempt),
            outcome,
            waiting: None,
            elsewhere: None,
            data: Bytes::new(),
        };
        let now = self.time(h);
        self.hosts[h as usize].core.handle_attempt_result(now, back);
    }

    /// A link ends for both sides: its attempts may have run.
    pub(super) fn link_down(&mut self, h: u32, n: u32, generation: u64) {
        let host = &mut self.hosts[h as usize];
        if host.links.get(&n).is_none_or(|l| l.generation != generation) {
            return;
        }
        let Some(l) = host.links.remove(&n) else { return };
        let (node, generation) = (self.nodes[n as usize].address.clone(), host.generation);
        let attempts: Vec<AttemptName> = l.attempts.values().copied().collect();
        self.note(tackmast_trace::Event::LinkDown { node, host: h, generation, attempts });
        for attempt in l.attempts.keys() {
            self.back(h, *attempt, Outcome::Reset);
        }
        for attempt in l.waiting.into_iter().flatten().filter(|attempt| attempt.ticket.withdraw()) {
            self.back(h, attempt.attempt.0, Outcome::Refused);
        }
        self.pull(h);
    }

    pub(super) fn all_links_down(&mut self, n: u32) {
        for h in 0..self.w.hosts {
            if let Some(generation) = self.hosts[h as usize].links.get(&n).map(|l| l.generation) {
                self.link_down(h, n, generation);
            }
        }
    }

    pub(super) fn hello(&mut self, h: u32, generation: u64, n: u32, started: Us) {
        let node = &self.nodes[n as usize];
        let host = &self.hosts[h as usize];
        if host.generation != generation
            || !host.up
            || node.started != started
            || !host.links.contains_key(&n)
        {
            return;
        }
        // One that was up when time began has been so for long.
        let up = if started == 0 { 86_400.0 } else { (self.now - started) as f64 / 1e6 };
        let (now, number) = (self.time(h), host.core.nodes().number(&node.address));
        if let Some((core, number)) = self.hosts[h as usize].core.core().zip(number) {
            core.handle_node_uptime(now, number, TimeDelta::from_secs(up));
        }
        self.pull(h);
        // What the core has not taken back now leaves.
        let waiting = self.hosts[h as usize].links.get_mut(&n).and_then(|l| l.waiting.take());
        waiting.into_iter().flatten().for_each(|attempt| self.transmit(h, n, &attempt));
    }
}
