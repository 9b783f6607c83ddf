//! Nodes, and the attempts that they have received.

use super::event::{Event, LinkId};
use super::state::{LoadReport, NodeAttempt};
use super::{Sim, Us};
use bytes::Bytes;
use tackmast::interface::NodeState;
use tackmast_emulators::model::{EndedJob, Job, JobOutcome, NodeFaults, NodeModel};
use tackmast_trace::{AttemptEndKind, AttemptName};
use tackmast_wire::node::{self, Answer, Frame, NodeOutcome};

impl Sim<'_> {
    /// Records that a node has started. `initial_capacity` is a fraction of its full capacity.
    pub(super) fn record_node_up(&mut self, node_index: u32, initial_capacity: f64) {
        let node = &self.nodes[node_index as usize];
        let behavior = node.model.behavior();
        let warm_us = if initial_capacity < 1.0 { (behavior.warm_up_s * 1e6) as Us } else { 0 };
        self.record(tackmast_trace::Event::NodeUp {
            node: node.address.clone(),
            zone: node.zone,
            shard: node.shard,
            capacity: behavior.capacity(),
            initial_capacity,
            warm_us,
        });
    }

    /// Bytes of a host reach a node.
    pub(super) fn on_node_bytes(&mut self, link_id: LinkId, bytes: &[u8]) {
        let links = &mut self.hosts[link_id.host as usize].links;
        let link = links.get_mut(&link_id.node).filter(|link| link.generation == link_id.generation);
        let Some(link) = link else { return };
        link.to_node.push(bytes);
        let mut frames = Vec::new();
        while let Ok(Some(frame)) = node::next(&mut link.to_node) {
            frames.push(frame);
        }
        for frame in frames {
            match frame {
                Frame::Send(attempt) => self.on_attempt(link_id, &attempt),
                Frame::Cancel { attempt } => self.on_cancel(link_id, attempt),
                _ => {}
            }
        }
    }

    fn on_cancel(&mut self, link_id: LinkId, attempt: u64) {
        let node = &mut self.nodes[link_id.node as usize];
        let is_cancelled =
            |held: &NodeAttempt| held.link_generation == link_id.generation && held.attempt == attempt;
        let Some((job, held)) = node.attempts.iter().find(|(_, held)| is_cancelled(held)) else { return };
        let (job, name, address) = (*job, held.name, node.address.clone());
        if !node.silent {
            node.model.cancel(self.now, job);
        }
        self.record(tackmast_trace::Event::Cancel { node: address, name });
        self.process_node_events(link_id.node);
    }

    /// A node receives an attempt. A silent node takes it and does nothing.
    fn on_attempt(&mut self, link_id: LinkId, attempt: &node::SendAttempt) {
        let node = &mut self.nodes[link_id.node as usize];
        if !node.up {
            return;
        }
        node.job_count += 1;
        if !node.silent {
            self.start_job(link_id, attempt);
        }
        self.process_node_events(link_id.node);
    }

    /// Starts the newest job of a node.
    fn start_job(&mut self, link_id: LinkId, attempt: &node::SendAttempt) {
        let held = self.node_attempt(link_id, attempt);
        let deadline_us = self.deadline_at_node(link_id, attempt);
        let node = &mut self.nodes[link_id.node as usize];
        let job = Job {
            id: node.job_count,
            units: held.units,
            write: matches!(attempt.work, node::Work::Write { .. }),
            // Identifies the object, as the emulated nodes on loopback do.
            key: attempt.key ^ attempt.offset << 8,
            is_retry: attempt.attempt_number > 0,
            deadline_us,
        };
        node.attempts.insert(job.id, held);
        node.model.receive(self.now, job);
    }

    fn node_attempt(&self, link_id: LinkId, attempt: &node::SendAttempt) -> NodeAttempt {
        let host_generation = self.hosts[link_id.host as usize].generation;
        let read_bytes = match &attempt.work {
            node::Work::Read { length } => *length,
            node::Work::Write { .. } => 0,
        };
        let name = AttemptName {
            host: link_id.host,
            generation: host_generation,
            request: attempt.request,
            attempt: attempt.attempt_number,
        };
        NodeAttempt {
            host: link_id.host,
            host_generation,
            link_generation: link_id.generation,
            attempt: attempt.attempt,
            name,
            volume: attempt.volume,
            units: f64::from(attempt.units),
            read_bytes,
            idempotency_key: attempt.idempotency_key,
        }
    }

    /// The deadline of an attempt by the node's clock, from the smallest difference of the two clocks that it has seen.
    fn deadline_at_node(&mut self, link_id: LinkId, attempt: &node::SendAttempt) -> Us {
        let observed_us = self.now as i64 - attempt.sent_us as i64;
        let link = self.hosts[link_id.host as usize].links.get_mut(&link_id.node);
        let clock_offset_us = link.map_or(0, |link| {
            link.clock_offset_us = link.clock_offset_us.min(observed_us);
            link.clock_offset_us
        });
        (attempt.sent_us as i64 + clock_offset_us).max(0) as Us + u64::from(attempt.left_us)
    }

    /// Advances a node to now, answers what has ended there, and schedules its next event.
    pub(super) fn process_node_events(&mut self, node_index: u32) {
        let now = self.now;
        let node = &mut self.nodes[node_index as usize];
        if !node.up || node.silent {
            return;
        }
        node.model.advance(now);
        for ended in node.model.take_ended() {
            self.answer_job(node_index, ended);
        }
        let node = &mut self.nodes[node_index as usize];
        if let Some(due) = node.model.poll_timeout().filter(|due| *due < node.wake) {
            let due = due.max(now + 1);
            node.wake = due;
            self.schedule(due, Event::NodeTimer { node: node_index });
        }
    }

    /// Records that an attempt has ended at its node, and sends the answer if the link is still up.
    fn answer_job(&mut self, node_index: u32, ended: EndedJob) {
        let now = self.now;
        let node = &mut self.nodes[node_index as usize];
        let Some(attempt) = node.attempts.remove(&ended.id) else { return };
        let is_done = ended.outcome == JobOutcome::Done;
        let (outcome, kind) = match ended.outcome {
            JobOutcome::Done => (NodeOutcome::Done, AttemptEndKind::Done),
            JobOutcome::Error => (NodeOutcome::Error, AttemptEndKind::Error),
            JobOutcome::NeverRan => (NodeOutcome::Full, AttemptEndKind::NeverRan),
        };
        let served = node.served.entry((attempt.volume, attempt.host)).or_default();
        if is_done {
            served.own += attempt.units;
            *node.served_units.entry(attempt.volume).or_default() += attempt.units;
        }
        let elsewhere = node.served_units.get(&attempt.volume).copied().unwrap_or(0.0) - served.own;
        let new_elsewhere = (elsewhere - served.reported_elsewhere).max(0.0) as f32;
        served.reported_elsewhere = elsewhere;
        let last_report = node.load_report.at;
        if last_report == 0 || now >= last_report + node.report_interval_us {
            node.load_report = LoadReport { at: now, waiting: node.model.waiting_count() as u32 };
        }
        let (waiting, address, zone) = (node.load_report.waiting, node.address.clone(), node.zone);
        let ran = is_done && self.is_first_run(zone, attempt.idempotency_key);
        self.record(tackmast_trace::Event::AttemptEnd { node: address, name: attempt.name, kind, ran });
        let data = if is_done { Bytes::from(vec![0; attempt.read_bytes as usize]) } else { Bytes::new() };
        let answer = Answer { attempt: attempt.attempt, outcome, waiting, elsewhere: new_elsewhere, data };
        let host = &self.hosts[attempt.host as usize];
        let link = host.links.get(&node_index);
        let is_link_up = link.is_some_and(|link| link.generation == attempt.link_generation);
        if host.generation == attempt.host_generation && is_link_up {
            self.send_to_host(attempt.host, node_index, &Frame::Answer(answer).to_bytes());
        }
    }

    /// Whether an idempotency key runs for the first time within its window; a repeat is discarded.
    fn is_first_run(&mut self, zone: u32, idempotency_key: u128) -> bool {
        if idempotency_key == 0 {
            return true;
        }
        let earlier = self.idempotency_keys.insert((zone, idempotency_key), self.now);
        earlier.is_none_or(|time| time + self.idempotency_window < self.now)
    }

    /// Kills a node.
    pub(super) fn kill_node(&mut self, node_index: u32) {
        let node = &mut self.nodes[node_index as usize];
        if !node.up {
            return;
        }
        node.up = false;
        node.attempts.clear();
        let address = node.address.clone();
        self.record(tackmast_trace::Event::NodeDown { node: address });
        self.close_all_links(node_index);
    }

    /// Starts all nodes that are down, unless another restart of all keeps them down for longer.
    pub(super) fn start_all_nodes(&mut self) {
        if self.now >= self.mass_restart_until {
            (0..self.world.nodes).for_each(|node| self.start_node(node));
        }
    }

    /// Starts a node that is down. It begins with its initial capacity, and the faults that it had go on.
    pub(super) fn start_node(&mut self, node_index: u32) {
        let now = self.now;
        let node = &mut self.nodes[node_index as usize];
        if node.up {
            return;
        }
        let faults = node.model.faults.clone();
        node.model = NodeModel::new(now, node.model.behavior().clone(), self.world.seed ^ now, true);
        node.model.faults = faults;
        (node.up, node.silent, node.started, node.wake) = (true, false, now, Us::MAX);
        node.served.clear();
        node.served_units.clear();
        (node.listed, node.listed_start) = (NodeState::Ready, now);
        let initial_capacity = node.model.behavior().initial_capacity;
        self.record_node_up(node_index, initial_capacity);
        self.broadcast_list();
    }

    /// Begins or ends faults of a node.
    pub(super) fn change_node_faults(&mut self, node_index: u32, change: impl Fn(&mut NodeFaults)) {
        let model = &mut self.nodes[node_index as usize].model;
        model.advance(self.now);
        change(&mut model.faults);
        self.process_node_events(node_index);
    }
}
