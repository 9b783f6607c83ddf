//! Nodes, the attempts they hold, and the list of them.

use super::*;

impl Sim<'_> {
    pub(super) fn note_node_up(&mut self, node_index: usize, initial_capacity: f64) {
        let node = &self.nodes[node_index];
        let (address, capacity) = (node.address.clone(), node.model.behavior().capacity());
        let warm_us = if initial_capacity < 1.0 { (node.model.behavior().warm_up_s * 1e6) as Us } else { 0 };
        let (zone, shard) = (node.zone, node.shard);
        self.record(tackmast_trace::Event::NodeUp {
            node: address,
            zone,
            shard,
            capacity,
            initial_capacity,
            warm_us,
        });
    }

    pub(super) fn on_node_bytes(&mut self, host_index: u32, node_index: u32, generation: u64, bytes: &[u8]) {
        let Some(l) =
            self.hosts[host_index as usize].links.get_mut(&node_index).filter(|l| l.generation == generation)
        else {
            return;
        };
        l.to_node.push(bytes);
        let mut frames = Vec::new();
        while let Ok(Some(f)) = node::next(&mut l.to_node) {
            frames.push(f);
        }
        for f in frames {
            match f {
                Frame::Send(attempt) => self.on_attempt(host_index, node_index, generation, attempt),
                Frame::Cancel { attempt } => {
                    let node = &mut self.nodes[node_index as usize];
                    let found = node.held.iter().find(|(_, x)| x.link == generation && x.attempt == attempt);
                    if let Some((id, name)) = found.map(|(id, x)| (*id, x.name)) {
                        let address = node.address.clone();
                        if !node.silent {
                            node.model.cancel(self.now, id);
                        }
                        self.record(tackmast_trace::Event::Cancel { node: address, name });
                        self.process_node_events(node_index);
                    }
                }
                _ => {}
            }
        }
    }

    pub(super) fn on_attempt(
        &mut self,
        host_index: u32,
        node_index: u32,
        link: u64,
        attempt: node::SendAttempt,
    ) {
        let generation = self.hosts[host_index as usize].generation;
        let name = AttemptName {
            host: host_index,
            generation,
            request: attempt.request,
            attempt: attempt.attempt_number,
        };
        let (write, bytes) = match &attempt.work {
            node::Work::Read { length } => (false, u64::from(*length)),
            node::Work::Write { data } => (true, data.len() as u64),
        };
        let now = self.now;
        let node = &mut self.nodes[node_index as usize];
        if !node.up {
            return;
        }
        node.next += 1;
        let id = node.next;
        let read = if write { 0 } else { bytes as u32 };
        let units = f64::from(attempt.units);
        let held = NodeAttempt {
            host: host_index,
            generation,
            link,
            attempt: attempt.attempt,
            name,
            volume: attempt.volume,
            units,
            read,
            idempotency_key: attempt.idempotency_key,
        };
        if !node.silent {
            node.held.insert(id, held);
            let link = self.hosts[host_index as usize].links.get_mut(&node_index);
            let offset = link.map_or(0, |l| {
                l.offset = l.offset.min(now as i64 - attempt.sent_us as i64);
                l.offset
            });
            let until = (attempt.sent_us as i64 + offset).max(0) as Us + u64::from(attempt.left_us);
            let node = &mut self.nodes[node_index as usize];
            // The piece of data, as the stand-in nodes on loopback tell it.
            let key = attempt.key ^ attempt.offset << 8;
            let job = Job { id, units, write, key, is_retry: attempt.attempt_number > 0, deadline_us: until };
            node.model.receive(now, job);
        }
        self.process_node_events(node_index);
    }

    /// Answers of what has ended at a node, and its next time.
    pub(super) fn process_node_events(&mut self, node_index: u32) {
        let now = self.now;
        let node = &mut self.nodes[node_index as usize];
        if !node.up || node.silent {
            return;
        }
        node.model.advance(now);
        let ended = node.model.take_ended();
        for EndedJob { id, outcome: how } in ended {
            let node = &mut self.nodes[node_index as usize];
            let Some(x) = node.held.remove(&id) else { continue };
            let (outcome, kind) = match how {
                JobOutcome::Done => (NodeOutcome::Done, AttemptEndKind::Done),
                JobOutcome::Error => (NodeOutcome::Error, AttemptEndKind::Error),
                JobOutcome::NeverRan => (NodeOutcome::Full, AttemptEndKind::NeverRan),
            };
            let own = node.served.entry((x.volume, x.host)).or_default();
            if how == JobOutcome::Done {
                own.0 += x.units;
                *node.total.entry(x.volume).or_default() += x.units;
            }
            let others = node.total.get(&x.volume).copied().unwrap_or(0.0) - own.0;
            let elsewhere = (others - own.1).max(0.0) as f32;
            own.1 = others;
            let data =
                if how == JobOutcome::Done { Bytes::from(vec![0; x.read as usize]) } else { Bytes::new() };
            if node.reported_load.0 == 0 || now >= node.reported_load.0 + node.report_us {
                node.reported_load = (now, node.model.waiting_count() as u32);
            }
            let (waiting, address, zone) = (node.reported_load.1, node.address.clone(), node.zone);
            let ran = how == JobOutcome::Done && self.first_run(zone, x.idempotency_key);
            self.record(tackmast_trace::Event::AttemptEnd { node: address, name: x.name, kind, ran });
            let answer =
                Frame::Answer(Answer { attempt: x.attempt, outcome, waiting, elsewhere, data }).to_bytes();
            let host = &self.hosts[x.host as usize];
            if host.generation == x.generation
                && host.links.get(&node_index).is_some_and(|l| l.generation == x.link)
            {
                self.send_link_bytes(x.host, node_index, &answer, false);
            }
        }
        let node = &mut self.nodes[node_index as usize];
        if let Some(due) = node.model.poll_timeout().filter(|due| *due < node.wake) {
            node.wake = due.max(now + 1);
            let due = node.wake;
            self.push(due, Event::NodeTime(node_index));
        }
    }

    /// Whether a request with this key runs for the first time within its window; a repeat is dropped.
    pub(super) fn first_run(&mut self, zone: u32, idempotency_key: u128) -> bool {
        if idempotency_key == 0 {
            return true;
        }
        let known = self.seen_keys.insert((zone, idempotency_key), self.now);
        known.is_none_or(|t| t + self.window_us < self.now)
    }

    pub(super) fn watch_endpoint_list(&mut self, host_index: u32) {
        let generation = self.hosts[host_index as usize].generation;
        let due = self.now + 2 * self.world.delay_us;
        if self.list_fails {
            return self.push(due, Event::ListFailed(host_index, generation));
        }
        self.hosts[host_index as usize].following = true;
        let (version, entries) = self.entries();
        self.push(due, Event::List(host_index, generation, version, entries));
    }

    pub(super) fn entries(&self) -> (u64, Vec<(String, u8, u32, u64)>) {
        let entry = |(i, n): (usize, &SimNode)| {
            let state = match n.listed {
                NodeState::Ready => 0,
                NodeState::Draining => 1,
                NodeState::Gone => 2,
            };
            (n.address.clone(), state, i as u32, n.listed_start)
        };
        let listed = self.nodes.iter().enumerate().filter(|(_, n)| n.listed != NodeState::Gone);
        (self.list_version, listed.map(entry).collect())
    }

    /// The list has changed: all that follow hear of it, late.
    pub(super) fn broadcast_list(&mut self) {
        self.list_version += 1;
        if self.list_fails {
            return;
        }
        let (version, entries) = self.entries();
        for h in 0..self.world.hosts {
            if self.hosts[h as usize].following {
                let generation = self.hosts[h as usize].generation;
                let jitter = self.generator.rand_range(0..50_000);
                let due = self.now + self.list_late + jitter;
                self.push(due, Event::List(h, generation, version, entries.clone()));
            }
        }
    }

    /// An endpoint list reaches a host.
    pub(super) fn deliver_list(
        &mut self,
        host_index: u32,
        generation: u64,
        version: u64,
        entries: &[(String, u8, u32, u64)],
    ) {
        if self.hosts[host_index as usize].generation != generation || !self.hosts[host_index as usize].up {
            return;
        }
        let mut list = Vec::new();
        for (address, state, node_index, started_us) in entries {
            let state = [NodeState::Ready, NodeState::Draining, NodeState::Gone][usize::from(*state)];
            self.record_notified(host_index, address, state, *started_us);
            let is_ignored = self.mutant == Some(Mutant::GraceIgnored);
            list.push(ListEntry {
                id: address.clone(),
                address: address.clone(),
                state: if is_ignored { NodeState::Ready } else { state },
                zone: ZoneId(self.nodes[*node_index as usize].zone),
                shard: ShardId(self.nodes[*node_index as usize].shard),
                start: self.listed_start(host_index, *started_us),
            });
        }
        self.record_unlisted(host_index, entries);
        let now = self.time(host_index);
        let core = &mut self.hosts[host_index as usize].core;
        core.handle_endpoint_list(now, ListKind::Complete, 0, version, &list);
        self.poll_host(host_index);
    }

    fn record_notified(&mut self, host: u32, node: &str, state: NodeState, started_us: u64) {
        let state = match state {
            NodeState::Ready => ListedState::Ready,
            NodeState::Draining => ListedState::Draining,
            NodeState::Gone => ListedState::Gone,
        };
        self.record(tackmast_trace::Event::Notified { host, node: node.to_owned(), state, started_us });
    }

    /// The start of a node as a host takes it from the list: its age by the list's clock, or by the host's own wall clock,
    /// which may be wrong.
    fn listed_start(&self, host_index: u32, started_us: u64) -> Option<NodeStart> {
        if started_us == 0 || self.mutant == Some(Mutant::WarmUpIgnored) {
            return None;
        }
        let by_list_clock = self.world.timed_list;
        let shown = if by_list_clock { self.now - self.world.delay_us } else { self.wall(host_index) };
        let age = TimeDelta::from_secs((shown as f64 - started_us as f64) / 1e6);
        let age = if by_list_clock { Age::ByListClock(age) } else { Age::ByHostClock(age) };
        Some(NodeStart { name: started_us, age })
    }

    /// Records that the nodes which a list no longer names are gone.
    fn record_unlisted(&mut self, host_index: u32, entries: &[(String, u8, u32, u64)]) {
        let listed: BTreeSet<&str> = entries.iter().map(|entry| entry.0.as_str()).collect();
        let known = self.hosts[host_index as usize].core.nodes().entries();
        let gone: Vec<String> = known
            .filter(|(address, entry)| entry.state != NodeState::Gone && !listed.contains(&**address))
            .map(|(address, _)| address.to_owned())
            .collect();
        for node in gone {
            self.record_notified(host_index, &node, NodeState::Gone, 0);
        }
    }

    pub(super) fn kill_node(&mut self, node_index: u32) {
        let node = &mut self.nodes[node_index as usize];
        if !node.up {
            return;
        }
        node.up = false;
        node.held.clear();
        let address = node.address.clone();
        self.record(tackmast_trace::Event::NodeDown { node: address });
        self.close_all_links(node_index);
    }

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
        node.total.clear();
        (node.listed, node.listed_start) = (NodeState::Ready, now);
        let from = self.nodes[node_index as usize].model.behavior().initial_capacity;
        self.note_node_up(node_index as usize, from);
        self.broadcast_list();
    }

    pub(super) fn change_node_faults(&mut self, node_index: u32, change: impl Fn(&mut NodeFaults)) {
        let now = self.now;
        let model = &mut self.nodes[node_index as usize].model;
        model.advance(now);
        change(&mut model.faults);
        self.process_node_events(node_index);
    }
}
