//! Links between hosts and nodes, and the attempts on them.

use super::event::{Event, HostProcess, LinkId};
use super::state::Link;
use super::{microseconds, Mutant, Sim, Us};
use bytes::Bytes;
use std::collections::BTreeMap;
use tackmast::interface::{Instant, NodeId, Outcome, TimeDelta};
use tackmast_host_core::{AttemptId, AttemptResult, AttemptWork, Begin, OpaqueRequest, SendAttempt};
use tackmast_trace::AttemptName;
use tackmast_wire::node::{self, Answer, Frame, NodeOutcome, Origin};

/// `Mutant::HedgeTooEarly` sends each attempt of this number twice.
const MUTANT_SEND_INTERVAL: u64 = 100;
/// Fraction of messages that are split in two on their way.
const SPLIT_FRACTION: f64 = 0.1;
/// Bytes that a frame may have.
const MAX_FRAME_LEN: usize = 1 << 20;
/// Uptime that a node reports which started long before the run, in seconds.
const LONG_UPTIME_S: f64 = 86_400.0;

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
        sent_us: microseconds(now),
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

/// The result of an attempt, from the node's answer.
fn attempt_result(answer: Answer) -> AttemptResult {
    let outcome = match answer.outcome {
        NodeOutcome::Done => Outcome::Done,
        NodeOutcome::Error => Outcome::Error,
        NodeOutcome::Full => Outcome::Full,
        NodeOutcome::NotHere => Outcome::Skipped,
    };
    AttemptResult {
        attempt: AttemptId(answer.attempt),
        outcome,
        waiting: Some(answer.waiting),
        elsewhere: Some(f64::from(answer.elsewhere)),
        data: answer.data,
    }
}

impl Sim<'_> {
    /// Sends an attempt, once the node's hello has arrived on the link.
    pub(super) fn send(&mut self, host_index: u32, attempt: SendAttempt) {
        self.send_count += 1;
        let node_index = self.node_of(host_index, attempt.node);
        let Some(node_index) = node_index.filter(|node_index| self.nodes[*node_index as usize].up) else {
            // Nobody listens: the host learns so after a round trip.
            let due = self.now + 2 * self.world.delay_us;
            attempt.ticket.withdraw();
            let process = self.process_of(host_index);
            return self.schedule(due, Event::Refused { process, attempt: attempt.attempt.0 });
        };
        self.open_link(host_index, node_index);
        let link = self.hosts[host_index as usize].links.get_mut(&node_index);
        if let Some(waiting) = link.and_then(|link| link.waiting.as_mut()) {
            return waiting.push(attempt);
        }
        self.transmit(host_index, node_index, &attempt);
    }

    /// Sends an attempt to its node, unless it was withdrawn or is too late.
    fn transmit(&mut self, host_index: u32, node_index: u32, attempt: &SendAttempt) {
        let process = self.process_of(host_index);
        let now = self.steady_clock(host_index);
        let left_us = ((attempt.until - now).secs() * 1e6).max(0.0) as Us;
        match attempt.begin(now) {
            Begin::Now => {}
            Begin::Withdrawn => return,
            Begin::TooLate => {
                let refused = Event::Refused { process, attempt: attempt.attempt.0 };
                return self.schedule(self.now, refused);
            }
        }
        attempt.ticket.written();
        let HostProcess { generation, .. } = process;
        let number = attempt.attempt_number;
        let name = AttemptName { host: host_index, generation, request: attempt.request, attempt: number };
        let address = self.nodes[node_index as usize].address.clone();
        let is_doubled = self.mutant == Some(Mutant::HedgeTooEarly)
            && self.send_count.is_multiple_of(MUTANT_SEND_INTERVAL);
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
        self.send_to_node(host_index, node_index, &bytes);
        if is_doubled {
            let bytes = attempt_frame(attempt, number + 1, now, left_us);
            self.send_to_node(host_index, node_index, &bytes);
        }
    }

    /// The simulator's index of a node, from the number that the host core has for it.
    fn node_of(&self, host_index: u32, node: NodeId) -> Option<u32> {
        let address = self.hosts[host_index as usize].core.nodes().address(node)?;
        let node_index = self.nodes.iter().position(|node| node.address == address)?;
        Some(node_index as u32)
    }

    /// Sends bytes to a node, if there is a link.
    pub(super) fn forward_to_node(&mut self, host_index: u32, node: NodeId, bytes: &Bytes) {
        let Some(node_index) = self.node_of(host_index, node) else { return };
        if self.hosts[host_index as usize].links.contains_key(&node_index) {
            self.send_to_node(host_index, node_index, bytes);
        }
    }

    /// Until when nothing passes between a host and a node.
    fn partitioned_until(&self, host_index: u32, node_index: u32) -> Us {
        self.partitions.get(&(host_index, node_index)).copied().unwrap_or(0)
    }

    fn open_link(&mut self, host_index: u32, node_index: u32) {
        let generation = self.next_sequence();
        if self.hosts[host_index as usize].links.contains_key(&node_index) {
            return;
        }
        // As the hello at the start of the link shows it.
        let host_clock_us = microseconds(self.steady_clock(host_index)) as i64;
        let clock_offset_us = self.now as i64 - host_clock_us + self.world.delay_us as i64;
        let link = Link {
            generation,
            to_node: node::frames(MAX_FRAME_LEN),
            to_host: node::frames(MAX_FRAME_LEN),
            last_arrivals: [0; 2],
            clock_offset_us,
            waiting: Some(Vec::new()),
            attempts: BTreeMap::new(),
        };
        self.hosts[host_index as usize].links.insert(node_index, link);
        let process = self.process_of(host_index);
        let started = self.nodes[node_index as usize].started;
        let due = self.now.max(self.partitioned_until(host_index, node_index)) + 2 * self.world.delay_us;
        self.schedule(due, Event::NodeHello { process, node: node_index, started });
    }

    fn send_to_node(&mut self, host_index: u32, node_index: u32, bytes: &Bytes) {
        self.send_link_bytes(host_index, node_index, bytes, true);
    }

    pub(super) fn send_to_host(&mut self, host_index: u32, node_index: u32, bytes: &Bytes) {
        self.send_link_bytes(host_index, node_index, bytes, false);
    }

    /// Sends bytes over a link, some of them split at a random place. Each direction keeps its order.
    fn send_link_bytes(&mut self, host_index: u32, node_index: u32, bytes: &Bytes, to_node: bool) {
        let departure = self.now.max(self.partitioned_until(host_index, node_index));
        let split = self.generator.rand_range(0..bytes.len() as u64 + 1) as usize;
        let parts = if self.generator.rand_float() < SPLIT_FRACTION {
            vec![&bytes[..split], &bytes[split..]]
        } else {
            vec![&bytes[..]]
        };
        for part in parts.into_iter().filter(|part| !part.is_empty()) {
            let due = departure + self.world.delay_us + self.draw_jitter();
            let Some(link) = self.hosts[host_index as usize].links.get_mut(&node_index) else { return };
            let last_arrival = &mut link.last_arrivals[usize::from(to_node)];
            *last_arrival = due.max(*last_arrival + 1);
            let (due, bytes) = (*last_arrival, part.to_vec());
            let link = LinkId { host: host_index, node: node_index, generation: link.generation };
            let event =
                if to_node { Event::BytesToNode { link, bytes } } else { Event::BytesToHost { link, bytes } };
            self.schedule(due, event);
        }
    }

    /// Bytes of a node reach a host.
    pub(super) fn on_host_bytes(&mut self, link_id: LinkId, bytes: &[u8]) {
        let host = &mut self.hosts[link_id.host as usize];
        if !host.up {
            return;
        }
        let link = host.links.get_mut(&link_id.node).filter(|link| link.generation == link_id.generation);
        let Some(link) = link else { return };
        link.to_host.push(bytes);
        let mut answers = Vec::new();
        while let Ok(Some(frame)) = node::next(&mut link.to_host) {
            let Frame::Answer(answer) = frame else { continue };
            if link.attempts.remove(&answer.attempt).is_some() {
                answers.push(answer);
            }
        }
        let now = self.steady_clock(link_id.host);
        let core = &mut self.hosts[link_id.host as usize].core;
        for answer in answers {
            core.handle_attempt_result(now, attempt_result(answer));
        }
        self.poll_host(link_id.host);
    }

    /// Reports an attempt that ended without an answer of its node.
    pub(super) fn report_attempt_result(&mut self, host_index: u32, attempt: u64, outcome: Outcome) {
        let result = AttemptResult {
            attempt: AttemptId(attempt),
            outcome,
            waiting: None,
            elsewhere: None,
            data: Bytes::new(),
        };
        let now = self.steady_clock(host_index);
        self.hosts[host_index as usize].core.handle_attempt_result(now, result);
    }

    /// A link goes down for both sides: its attempts may have run.
    pub(super) fn close_link(&mut self, link_id: LinkId) {
        let LinkId { host: host_index, node: node_index, generation } = link_id;
        let host = &mut self.hosts[host_index as usize];
        if host.links.get(&node_index).is_none_or(|link| link.generation != generation) {
            return;
        }
        let Some(link) = host.links.remove(&node_index) else { return };
        let (node, generation) = (self.nodes[node_index as usize].address.clone(), host.generation);
        let attempts: Vec<AttemptName> = link.attempts.values().copied().collect();
        self.record(tackmast_trace::Event::LinkDown { node, host: host_index, generation, attempts });
        for attempt in link.attempts.keys() {
            self.report_attempt_result(host_index, *attempt, Outcome::Reset);
        }
        for attempt in link.waiting.into_iter().flatten().filter(|attempt| attempt.ticket.withdraw()) {
            self.report_attempt_result(host_index, attempt.attempt.0, Outcome::Refused);
        }
        self.poll_host(host_index);
    }

    /// The links of a node with all hosts go down.
    pub(super) fn close_all_links(&mut self, node_index: u32) {
        for host_index in 0..self.world.hosts {
            let link = self.hosts[host_index as usize].links.get(&node_index);
            if let Some(generation) = link.map(|link| link.generation) {
                self.close_link(LinkId { host: host_index, node: node_index, generation });
            }
        }
    }

    /// The hello of a node has arrived on a new link: the host learns the node's uptime, and sends what has waited.
    pub(super) fn on_node_hello(&mut self, process: HostProcess, node_index: u32, started: Us) {
        let host_index = process.host;
        let node = &self.nodes[node_index as usize];
        let host = &self.hosts[host_index as usize];
        let is_link_open = host.up && host.links.contains_key(&node_index);
        if !self.is_current(process) || !is_link_open || node.started != started {
            return;
        }
        let uptime_s = if started == 0 { LONG_UPTIME_S } else { (self.now - started) as f64 / 1e6 };
        let (now, number) = (self.steady_clock(host_index), host.core.nodes().number(&node.address));
        if let Some((core, number)) = self.hosts[host_index as usize].core.core().zip(number) {
            core.handle_node_uptime(now, number, TimeDelta::from_secs(uptime_s));
        }
        self.poll_host(host_index);
        // The core may have withdrawn some of what waited.
        let link = self.hosts[host_index as usize].links.get_mut(&node_index);
        let waiting = link.and_then(|link| link.waiting.take());
        for attempt in waiting.into_iter().flatten() {
            self.transmit(host_index, node_index, &attempt);
        }
    }
}
