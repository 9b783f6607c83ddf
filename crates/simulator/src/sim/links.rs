//! Links between hosts and nodes: opened, closed, and the bytes on them.

#[cfg(test)]
mod tests;

use super::attempts::attempt_result;
use super::event::{Event, LinkId};
use super::state::Link;
use super::{microseconds, Sim, Us};
use bytes::Bytes;
use std::collections::BTreeMap;
use tackmast::interface::{NodeId, Outcome, TimeDelta};
use tackmast_trace::AttemptName;
use tackmast_wire::node::{self, Frame};

/// Fraction of messages that are split in two on their way.
const SPLIT_FRACTION: f64 = 0.1;
/// Bytes that a frame may have.
const MAX_FRAME_LEN: usize = 1 << 20;
/// Uptime that a node reports which started long before the run, in seconds.
const LONG_UPTIME_S: f64 = 86_400.0;

impl Sim<'_> {
    /// The simulator's index of a node, from the number that the host core has for it.
    pub(super) fn node_of(&self, host_index: u32, node: NodeId) -> Option<u32> {
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

    pub(super) fn open_link(&mut self, host_index: u32, node_index: u32) {
        if self.hosts[host_index as usize].links.contains_key(&node_index) {
            return;
        }
        let generation = self.next_sequence();
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
        let link = LinkId { host: host_index, node: node_index, generation };
        let started = self.nodes[node_index as usize].started;
        let due = self.now.max(self.partitioned_until(host_index, node_index)) + 2 * self.world.delay_us;
        self.schedule(due, Event::NodeHello { link, started });
    }

    pub(super) fn send_to_node(&mut self, host_index: u32, node_index: u32, bytes: &Bytes) {
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
    pub(super) fn on_node_hello(&mut self, link_id: LinkId, started: Us) {
        let LinkId { host: host_index, node: node_index, generation } = link_id;
        let node = &self.nodes[node_index as usize];
        let host = &self.hosts[host_index as usize];
        let is_link_open = host.links.get(&node_index).is_some_and(|link| link.generation == generation);
        if !host.up || !is_link_open || node.started != started {
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
