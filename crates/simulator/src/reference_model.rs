//! Reference hosts to compare the host core with. They take the same inputs and give the same outputs, but have none of its
//! defences, and break invariants that the host core keeps. Only the simulator has them.

mod host_logic;
mod token_bucket;

pub(crate) use host_logic::HostLogic;

use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use tackmast::interface::{Effect, Instant, ListKind, NodeId, NodeState, Outcome, ShardId, TimeDelta};
use tackmast_config::HostSettings;
use tackmast_host_core::{
    Access, AttemptId, AttemptResult, AttemptWork, ClientCommand, CommandId, Layout, ListEntry, Nodes,
    OpenCounts, Output, Part, SendAttempt, Ticket, Verdict, Work,
};
use token_bucket::TokenBucket;

/// Bound on attempts in flight at a node under `Caps`.
const MAX_ATTEMPTS_PER_NODE: usize = 8;
/// How often token buckets are looked at again while requests wait, in seconds.
const TOKEN_CHECK_INTERVAL_S: f64 = 0.005;

/// How a reference host decides when to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReferenceModel {
    /// First come, first served: every request is sent at once.
    Fcfs,
    /// The same, with a fixed limit on the attempts in flight at a node.
    Caps,
    /// First come, first served, with a token bucket for each volume, at this host's even share of the limit.
    Buckets,
}

/// A host without the defences of the host core.
pub(crate) struct ReferenceHost {
    model: ReferenceModel,
    layout: Layout,
    settings: HostSettings,
    nodes: Nodes,
    /// The node that is ready for each shard.
    serving: BTreeMap<ShardId, NodeId>,
    /// Requests that wait, by shard.
    queues: BTreeMap<ShardId, VecDeque<u64>>,
    in_flight: BTreeMap<ShardId, usize>,
    buckets: HashMap<usize, TokenBucket>,
    /// The requests of each open command, in the order in which the commands of a closed session end.
    commands: BTreeMap<CommandId, Vec<u64>>,
    requests: HashMap<u64, PendingRequest>,
    deadlines: BTreeSet<(Instant, u64)>,
    /// The number of the newest request.
    request_count: u64,
    outputs: VecDeque<Output>,
    list_version: u64,
    has_list: bool,
}

/// A part of a command that is not answered yet.
struct PendingRequest {
    from: CommandId,
    part: u16,
    spec: Part,
    volume: usize,
    traffic_class: usize,
    /// What it writes.
    data: Option<Bytes>,
    deadline: Instant,
    /// The node that it was sent to.
    node: Option<NodeId>,
    /// What it has read, once it is done.
    done: Option<Bytes>,
}

impl ReferenceHost {
    /// A host that has no endpoint list yet.
    pub(crate) fn new(model: ReferenceModel, settings: &HostSettings) -> Self {
        ReferenceHost {
            model,
            layout: Layout::new(settings),
            settings: settings.clone(),
            nodes: Nodes::new(settings.bounds.nodes),
            serving: BTreeMap::new(),
            queues: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            buckets: HashMap::new(),
            commands: BTreeMap::new(),
            requests: HashMap::new(),
            deadlines: BTreeSet::new(),
            request_count: 0,
            outputs: VecDeque::new(),
            list_version: 0,
            has_list: false,
        }
    }

    fn open_counts(&self) -> OpenCounts {
        OpenCounts {
            commands: self.commands.len(),
            requests: self.requests.len(),
            attempts: self.in_flight.values().sum(),
        }
    }

    fn handle_command(&mut self, now: Instant, command: &ClientCommand) {
        let ClientCommand { from, lun, block, ref work, timeout, .. } = *command;
        let Some(volume) = self.layout.volume_by_lun(lun) else { return };
        let block_bytes = self.layout.volume(volume).block_bytes as usize;
        let (access, blocks) = match work {
            Work::Read { blocks } => (Access::Read, *blocks),
            Work::Write { data } => (Access::Write, (data.len() / block_bytes) as u32),
        };
        let traffic_class = self.layout.traffic_class(volume, access, blocks);
        let deadline = now + timeout.unwrap_or(self.settings.traffic_classes[traffic_class].deadline);
        let mut ids = Vec::new();
        let mut offset = 0;
        for (spec, part) in self.layout.parts(volume, traffic_class, block, blocks).into_iter().zip(0..) {
            let end = offset + spec.blocks as usize * block_bytes;
            let data = match work {
                Work::Write { data } => Some(data.slice(offset..end)),
                Work::Read { .. } => None,
            };
            offset = end;
            let (node, done) = (None, None);
            ids.push(self.enqueue(PendingRequest {
                from,
                part,
                spec,
                volume,
                traffic_class,
                data,
                deadline,
                node,
                done,
            }));
        }
        match ids.is_empty() {
            true => self.answer(from, Verdict::Rejected { retry_after: None }),
            false => _ = self.commands.insert(from, ids),
        }
    }

    /// Queues a request, and returns its number.
    fn enqueue(&mut self, request: PendingRequest) -> u64 {
        self.request_count += 1;
        let id = self.request_count;
        self.queues.entry(request.spec.shard).or_default().push_back(id);
        self.deadlines.insert((request.deadline, id));
        self.requests.insert(id, request);
        id
    }

    fn answer(&mut self, to: CommandId, verdict: Verdict) {
        self.outputs.push_back(Output::Answer { to, verdict });
    }

    /// Removes the requests of a command, and cancels their attempts.
    fn close_command(&mut self, command: CommandId) -> Vec<PendingRequest> {
        let mut closed = Vec::new();
        for id in self.commands.remove(&command).unwrap_or_default() {
            let Some(request) = self.requests.remove(&id) else { continue };
            self.deadlines.remove(&(request.deadline, id));
            if let Some(node) = request.node.filter(|_| request.done.is_none()) {
                *self.in_flight.entry(request.spec.shard).or_default() -= 1;
                self.outputs.push_back(Output::Cancel { node, attempt: AttemptId::new(id, 0) });
            }
            closed.push(request);
        }
        closed
    }

    fn handle_session_closed(&mut self, session: u32) {
        let open = self.commands.keys().filter(|command| command.session == session);
        let open: Vec<CommandId> = open.copied().collect();
        for command in open {
            self.close_command(command);
        }
    }

    fn handle_attempt_result(&mut self, result: AttemptResult) {
        let id = result.attempt.request();
        let request = self.requests.get_mut(&id);
        let in_flight = request.filter(|request| request.node.is_some() && request.done.is_none());
        let Some(request) = in_flight else { return };
        let (from, traffic_class) = (request.from, request.traffic_class);
        if result.outcome != Outcome::Done {
            return self.end_failed_command(from, traffic_class, result.outcome);
        }
        request.done = Some(result.data);
        let shard = request.spec.shard;
        *self.in_flight.entry(shard).or_default() -= 1;
        let is_done = |id: &u64| self.requests[id].done.is_some();
        if self.commands.get(&from).is_some_and(|ids| ids.iter().all(is_done)) {
            let mut data = BytesMut::new();
            for part in self.close_command(from).into_iter().filter_map(|request| request.done) {
                data.extend_from_slice(&part);
            }
            self.answer(from, Verdict::Done { data: data.freeze() });
        }
    }

    /// A reference host does not retry: the client gets the answer that the outcome of the attempt allows.
    fn end_failed_command(&mut self, command: CommandId, traffic_class: usize, outcome: Outcome) {
        let is_single = self.commands.get(&command).is_some_and(|ids| ids.len() == 1);
        let has_not_run = !outcome.may_have_run() && is_single;
        let is_idempotent = self.settings.traffic_classes[traffic_class].effect == Effect::Idempotent;
        self.close_command(command);
        let verdict = match has_not_run || is_idempotent {
            true => Verdict::Rejected { retry_after: None },
            false => Verdict::Failed,
        };
        self.answer(command, verdict);
    }

    fn handle_endpoint_list(&mut self, now: Instant, kind: ListKind, version: u64, entries: &[ListEntry]) {
        if kind == ListKind::Failed {
            self.has_list = false;
            return;
        }
        (self.list_version, self.has_list) = (version, true);
        let known: Vec<_> = entries.iter().filter_map(|entry| self.nodes.upsert(now, entry)).collect();
        if kind != ListKind::Changes {
            self.nodes.retain_listed(&known);
            self.serving.clear();
        }
        for entry in known.iter().filter(|entry| entry.state == NodeState::Ready) {
            self.serving.insert(entry.shard, entry.node);
        }
    }

    /// Answers the commands whose deadline has passed.
    fn handle_timeout(&mut self, now: Instant) {
        while let Some((_, id)) = self.deadlines.first().copied().filter(|(deadline, _)| *deadline <= now) {
            self.deadlines.pop_first();
            let Some(from) = self.requests.get(&id).map(|request| request.from) else { continue };
            let was_sent = self.close_command(from).iter().any(|request| request.node.is_some());
            let verdict = if was_sent { Verdict::Failed } else { Verdict::Rejected { retry_after: None } };
            self.answer(from, verdict);
        }
    }

    /// Takes a request's units from the volume's token bucket. False: the bucket has too few.
    fn take_tokens(&mut self, now: Instant, volume: usize, units: f64) -> bool {
        let volume_layout = self.layout.volume(volume);
        let plan = &self.settings.plans[volume_layout.plan as usize];
        if self.model != ReferenceModel::Buckets || plan.limit <= 0.0 {
            return true;
        }
        let host_count = f64::from(volume_layout.hosts);
        let (rate, burst) = (plan.limit / host_count, plan.burst / host_count);
        let bucket = self.buckets.entry(volume).or_insert_with(|| TokenBucket::full(now, rate, burst));
        bucket.take(now, units)
    }

    fn poll_output(&mut self, now: Instant) -> Option<Output> {
        if let Some(output) = self.outputs.pop_front() {
            return Some(output);
        }
        if !self.has_list && self.list_version == 0 {
            self.list_version = 1;
            return Some(Output::WatchEndpointList { since: 0 });
        }
        let shards: Vec<ShardId> = self.queues.keys().copied().collect();
        shards.into_iter().find_map(|shard| self.send_next(now, shard))
    }

    /// Sends the next request of a shard, if the model allows it.
    fn send_next(&mut self, now: Instant, shard: ShardId) -> Option<Output> {
        let node = self.serving.get(&shard).copied()?;
        let in_flight = self.in_flight.get(&shard).copied().unwrap_or(0);
        if self.model == ReferenceModel::Caps && in_flight >= MAX_ATTEMPTS_PER_NODE {
            return None;
        }
        while let Some(id) = self.queues.get(&shard).and_then(|queue| queue.front().copied()) {
            let request = self.requests.get(&id).map(|request| (request.volume, request.spec.units));
            let Some((volume, units)) = request else {
                self.queues.entry(shard).or_default().pop_front();
                continue;
            };
            if !self.take_tokens(now, volume, units) {
                break;
            }
            self.queues.entry(shard).or_default().pop_front();
            return self.send(id, shard, node);
        }
        if self.queues.get(&shard).is_some_and(VecDeque::is_empty) {
            self.queues.remove(&shard);
        }
        None
    }

    fn send(&mut self, id: u64, shard: ShardId, node: NodeId) -> Option<Output> {
        let request = self.requests.get_mut(&id)?;
        request.node = Some(node);
        *self.in_flight.entry(shard).or_default() += 1;
        let volume_layout = self.layout.volume(request.volume);
        let work = match &request.data {
            Some(data) => AttemptWork::Write { data: data.clone() },
            None => AttemptWork::Read { length: request.spec.blocks * volume_layout.block_bytes },
        };
        let in_order = self.settings.traffic_classes[request.traffic_class].in_order;
        Some(Output::Send(Box::new(SendAttempt {
            node,
            attempt: AttemptId::new(id, 0),
            request: id,
            attempt_number: 0,
            from: request.from,
            part: request.part,
            deadline: request.deadline,
            begin_by: None,
            idempotency_key: 0,
            key: if in_order { request.spec.key } else { 0 },
            volume: volume_layout.lun,
            offset: request.spec.block * u64::from(volume_layout.block_bytes),
            units: request.spec.units,
            work,
            ticket: Ticket::default(),
        })))
    }

    fn poll_timeout(&self, now: Instant) -> Option<Instant> {
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        let is_waiting_for_tokens = self.model == ReferenceModel::Buckets && !self.queues.is_empty();
        let tokens = is_waiting_for_tokens.then(|| now + TimeDelta::from_secs(TOKEN_CHECK_INTERVAL_S));
        [deadline, tokens].into_iter().flatten().min()
    }
}
