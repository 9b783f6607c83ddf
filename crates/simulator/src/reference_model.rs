//! Simple reference hosts to compare with: they take the same inputs and give the same outputs as the host core, and know none of
//! its defences. They live here and nowhere in the product, and break rules that the product keeps.

mod host_logic;

pub use host_logic::HostLogic;

use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use tackmast::interface::{Instant, ListKind, NodeId, NodeState, Outcome, ShardId, TimeDelta};
use tackmast_config::HostSettings;
use tackmast_host_core::{
    Access, AttemptId, AttemptResult, AttemptWork, CommandRef, Layout, ListEntry, Nodes, Output, Part,
    SendAttempt, Ticket, Verdict, Work,
};

/// Bound on attempts in flight at a node under `Caps`.
const MAX_ATTEMPTS_PER_NODE: usize = 8;

/// How a reference host decides when to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReferenceModel {
    /// First come, first served: all that is asked leaves at once.
    Fcfs,
    /// The same, and no more than a fixed number is out at a node.
    Caps,
    /// The same as the first, and each volume is held to its limit by a token bucket for this host's even part.
    Buckets,
}

/// A host without the defences of the host core.
pub struct ReferenceHost {
    how: ReferenceModel,
    layout: Layout,
    settings: HostSettings,
    nodes: Nodes,
    serving: BTreeMap<ShardId, NodeId>,
    queues: BTreeMap<ShardId, VecDeque<u64>>,
    out: BTreeMap<ShardId, usize>,
    /// Tokens of each volume, and when they were counted.
    tokens: HashMap<usize, (f64, Instant)>,
    commands: HashMap<CommandRef, Vec<u64>>,
    requests: HashMap<u64, PendingRequest>,
    until: BTreeSet<(Instant, u64)>,
    serial: u64,
    outputs: VecDeque<Output>,
    version: u64,
    listed: bool,
}

struct PendingRequest {
    from: CommandRef,
    part: u16,
    spec: Part,
    volume: usize,
    traffic_class: usize,
    data: Option<Bytes>,
    deadline: Instant,
    node: Option<NodeId>,
    done: Option<Bytes>,
}

impl ReferenceHost {
    /// A host that has no endpoint list yet.
    pub fn new(how: ReferenceModel, settings: &HostSettings) -> Self {
        ReferenceHost {
            how,
            layout: Layout::new(settings),
            settings: settings.clone(),
            nodes: Nodes::new(settings.bounds.nodes),
            serving: BTreeMap::new(),
            queues: BTreeMap::new(),
            out: BTreeMap::new(),
            tokens: HashMap::new(),
            commands: HashMap::new(),
            requests: HashMap::new(),
            until: BTreeSet::new(),
            serial: 0,
            outputs: VecDeque::new(),
            version: 0,
            listed: false,
        }
    }

    fn handle_command(
        &mut self,
        now: Instant,
        from: CommandRef,
        lun: u32,
        block: u64,
        work: &Work,
        asked: Option<TimeDelta>,
    ) {
        let Some(volume) = self.layout.volume_of(lun) else { return };
        let size = self.layout.volume(volume).block_bytes as usize;
        let (write, blocks) = match work {
            Work::Read { blocks } => (false, *blocks),
            Work::Write { data } => (true, (data.len() / size) as u32),
        };
        let traffic_class =
            self.layout.traffic_class(volume, if write { Access::Write } else { Access::Read }, blocks);
        let deadline = now + asked.unwrap_or(self.settings.traffic_classes[traffic_class].deadline);
        let mut ids = Vec::new();
        let mut taken = 0;
        for (i, spec) in self.layout.parts(volume, traffic_class, block, blocks).into_iter().enumerate() {
            self.serial += 1;
            let bytes = spec.blocks as usize * size;
            let data = match work {
                Work::Write { data } => Some(data.slice(taken..taken + bytes)),
                Work::Read { .. } => None,
            };
            taken += bytes;
            let (part, node, done) = (i as u16, None, None);
            self.queues.entry(spec.shard).or_default().push_back(self.serial);
            self.until.insert((deadline, self.serial));
            self.requests.insert(
                self.serial,
                PendingRequest { from, part, spec, volume, traffic_class, data, deadline, node, done },
            );
            ids.push(self.serial);
        }
        match ids.is_empty() {
            true => self.answer(from, Verdict::Rejected { retry_after: None }),
            false => _ = self.commands.insert(from, ids),
        }
    }

    fn answer(&mut self, to: CommandRef, verdict: Verdict) {
        self.outputs.push_back(Output::Answer { to, verdict });
    }

    fn forget(&mut self, from: CommandRef) -> Vec<PendingRequest> {
        let mut gone = Vec::new();
        for id in self.commands.remove(&from).unwrap_or_default() {
            let Some(x) = self.requests.remove(&id) else { continue };
            self.until.remove(&(x.deadline, id));
            if let Some(node) = x.node.filter(|_| x.done.is_none()) {
                *self.out.entry(x.spec.shard).or_default() -= 1;
                self.outputs.push_back(Output::Cancel { node, attempt: AttemptId(id << 8) });
            }
            gone.push(x);
        }
        gone
    }

    fn back(&mut self, result: AttemptResult) {
        let id = result.attempt.0 >> 8;
        let Some(x) = self.requests.get_mut(&id).filter(|x| x.node.is_some() && x.done.is_none()) else {
            return;
        };
        let from = x.from;
        if result.outcome != Outcome::Done {
            // A reference model does not retry: the client gets the answer that the outcome allows.
            let never = !result.outcome.may_have_run();
            let alone = self.commands.get(&from).is_some_and(|ids| ids.len() == 1);
            let safe = never && alone
                || self.settings.traffic_classes[x.traffic_class].effect
                    == tackmast::interface::Effect::Idempotent;
            self.forget(from);
            return self
                .answer(from, if safe { Verdict::Rejected { retry_after: None } } else { Verdict::Failed });
        }
        x.done = Some(result.data);
        let shard = x.spec.shard;
        *self.out.entry(shard).or_default() -= 1;
        let all =
            self.commands.get(&from).is_some_and(|ids| ids.iter().all(|i| self.requests[i].done.is_some()));
        if all {
            let mut data = BytesMut::new();
            self.forget(from).into_iter().filter_map(|x| x.done).for_each(|d| data.extend_from_slice(&d));
            self.answer(from, Verdict::Done { data: data.freeze() });
        }
    }

    fn list(&mut self, now: Instant, kind: ListKind, to: u64, entries: &[ListEntry]) {
        if kind == ListKind::Failed {
            self.listed = false;
            return;
        }
        (self.version, self.listed) = (to, true);
        let known: Vec<_> = entries.iter().filter_map(|e| self.nodes.upsert(now, e)).collect();
        if kind != ListKind::Changes {
            self.nodes.retain_listed(&known);
            self.serving.clear();
        }
        for e in known.iter().filter(|e| e.state == NodeState::Ready) {
            self.serving.insert(e.shard, e.node);
        }
    }

    fn handle_timeout(&mut self, now: Instant) {
        while let Some((_, id)) = self.until.first().copied().filter(|(t, _)| *t <= now) {
            self.until.pop_first();
            let Some(from) = self.requests.get(&id).map(|x| x.from) else { continue };
            let ran = self.forget(from).iter().any(|x| x.node.is_some());
            self.answer(from, if ran { Verdict::Failed } else { Verdict::Rejected { retry_after: None } });
        }
    }

    /// Tokens for the request are there, and taken.
    fn draws(&mut self, now: Instant, volume: usize, units: f64) -> bool {
        let volume_layout = self.layout.volume(volume);
        let plan = &self.settings.plans[volume_layout.plan as usize];
        if self.how != ReferenceModel::Buckets || plan.limit <= 0.0 {
            return true;
        }
        let (rate, burst) =
            (plan.limit / f64::from(volume_layout.hosts), plan.burst / f64::from(volume_layout.hosts));
        let (tokens, at) = self.tokens.entry(volume).or_insert((burst, now));
        *tokens = (*tokens + rate * (now - *at).secs()).min(burst);
        *at = now;
        let fits = *tokens >= units;
        *tokens -= if fits { units } else { 0.0 };
        fits
    }

    fn next(&mut self, now: Instant) -> Option<Output> {
        if let Some(o) = self.outputs.pop_front() {
            return Some(o);
        }
        if !self.listed && self.version == 0 {
            self.version = 1;
            return Some(Output::WatchEndpointList { since: 0 });
        }
        let shards: Vec<ShardId> = self.queues.keys().copied().collect();
        for shard in shards {
            let Some(node) = self.serving.get(&shard).copied() else { continue };
            if self.how == ReferenceModel::Caps
                && self.out.get(&shard).copied().unwrap_or(0) >= MAX_ATTEMPTS_PER_NODE
            {
                continue;
            }
            while let Some(id) = self.queues.get(&shard).and_then(|q| q.front().copied()) {
                let Some((volume, units)) = self.requests.get(&id).map(|x| (x.volume, x.spec.units)) else {
                    self.queues.entry(shard).or_default().pop_front();
                    continue;
                };
                if !self.draws(now, volume, units) {
                    break;
                }
                self.queues.entry(shard).or_default().pop_front();
                return self.send(id, shard, node);
            }
            if self.queues.get(&shard).is_some_and(VecDeque::is_empty) {
                self.queues.remove(&shard);
            }
        }
        None
    }

    fn send(&mut self, id: u64, shard: ShardId, node: NodeId) -> Option<Output> {
        let request = self.requests.get_mut(&id)?;
        request.node = Some(node);
        *self.out.entry(shard).or_default() += 1;
        let volume_layout = self.layout.volume(request.volume);
        let work = match &request.data {
            Some(data) => AttemptWork::Write { data: data.clone() },
            None => AttemptWork::Read { length: request.spec.blocks * volume_layout.block_bytes },
        };
        Some(Output::Send(Box::new(SendAttempt {
            node,
            attempt: AttemptId(id << 8),
            request: id,
            attempt_number: 0,
            from: request.from,
            part: request.part,
            until: request.deadline,
            begin_by: None,
            idempotency_key: 0,
            key: if self.settings.traffic_classes[request.traffic_class].in_order {
                request.spec.key
            } else {
                0
            },
            volume: volume_layout.lun,
            offset: request.spec.block * u64::from(volume_layout.block_bytes),
            units: request.spec.units,
            work,
            ticket: Ticket::default(),
        })))
    }

    fn wake(&self, now: Instant) -> Option<Instant> {
        let deadline = self.until.first().map(|(t, _)| *t);
        // Tokens come with time.
        let tokens = (self.how == ReferenceModel::Buckets && !self.queues.is_empty())
            .then(|| now + TimeDelta::from_secs(0.005));
        [deadline, tokens].into_iter().flatten().min()
    }
}
