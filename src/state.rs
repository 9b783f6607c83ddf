//! Records of what is known, and the mechanics of counting. Nothing is decided and nothing tuned here.

use crate::histogram::Histogram;
use crate::interface::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

/// All that is known of the nodes, volumes and requests; `policy` reads it and decides.
#[derive(Default)]
pub struct Scheduler {
    pub(crate) now: Instant,
    pub(crate) rng: Chance,
    pub(crate) hosts: f64,
    pub(crate) there: f64, // of them, as far as is known; only caps follow it
    pub(crate) margin: TimeDelta,
    pub(crate) plans: Vec<Plan>,
    pub(crate) classes: Vec<TrafficClass>,
    pub(crate) tightest: TimeDelta, // latency objective
    pub(crate) mean_units: f64,
    pub(crate) max_attempts: u32,
    pub(crate) longest_wait: TimeDelta,
    pub(crate) settle: TimeDelta,
    pub(crate) budget: Budget,
    pub(crate) cold: Cold,
    pub(crate) again: f64, // part that counts of units done for a piece that a node may have at hand
    pub(crate) asked: bool,
    pub(crate) list_fails: i32,
    pub(crate) volumes: HashMap<VolumeId, Volume>,
    pub(crate) nodes: BTreeMap<NodeId, Node>,
    pub(crate) shards: BTreeMap<ShardId, Shard>,
    pub(crate) turns: HashMap<KeyId, Turn>,
    pub(crate) requests: HashMap<RequestId, Request>,
    pub(crate) timers: BinaryHeap<Reverse<(Instant, Timer)>>,
    pub(crate) lost: Losses,
    pub(crate) everywhere: Vec<Histogram>, // times at all nodes, for each traffic class
    pub(crate) rejected_requests: RejectedRequests,
    pub(crate) due: BTreeSet<ShardId>,
    pub(crate) homeless: Vec<RequestId>, // new objects for which no node was to be had
    pub(crate) decided: VecDeque<Decision>,
}

impl Scheduler {
    /// Whether the settings named this traffic class and plan.
    pub fn is_configured(&self, class: TrafficClassId, plan: PlanId) -> bool {
        (class.0 as usize) < self.classes.len() && (plan.0 as usize) < self.plans.len()
    }

    /// Order keys that are remembered: those with a request that is not over, or at rest.
    pub fn key_queue_count(&self) -> usize {
        self.turns.len()
    }

    /// Nodes that are remembered.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Volumes that are remembered.
    pub fn volume_count(&self) -> usize {
        self.volumes.len()
    }

    /// The client has left, or the request was ended for us.
    pub fn request_cancelled(&mut self, now: Instant, id: RequestId) {
        self.now = now;
        self.finish(id);
    }

    pub(crate) fn finish(&mut self, id: RequestId) {
        self.due.extend(end(&mut self.requests, &mut self.turns, id, self.now));
    }

    /// When `poll_decision` should be called again, if nothing happens before.
    pub fn poll_timeout(&self) -> Option<Instant> {
        self.timers.peek().map(|Reverse((t, _))| *t)
    }

    pub(crate) fn log(&mut self, line: String) {
        self.decided.push_back(Decision::Log(line));
    }
}

/// The document's alternate bucket: units are added as they are sent, drain at `rate`, and wait for room.
#[derive(Default)]
pub struct Bucket {
    pub level: f64,
    pub at: Instant,
}

impl Bucket {
    pub fn drain(&mut self, now: Instant, rate: f64) {
        self.level = (self.level - rate * (now - self.at).secs()).max(0.0);
        self.at = now;
    }
    /// How long until `units` fit under `burst`; zero when they fit now.
    pub fn wait(&mut self, now: Instant, rate: f64, burst: f64, units: f64) -> TimeDelta {
        self.drain(now, rate);
        let over = self.level + units.min(burst) - burst;
        if over <= 1e-9 {
            TimeDelta::ZERO
        } else {
            TimeDelta::from_secs(over / rate.max(1e-6) + 1e-4)
        }
    }
}

pub struct TrafficClass {
    pub latency_objective: TimeDelta,
    pub rank: usize,
    pub tight: f64, // the tightest latency objective over this one
    pub effect: Effect,
    pub in_order: bool,
}

pub struct Volume {
    pub seen: Instant, // when a request of it last came
    pub plan: PlanId,
    pub hosts: f64,
    pub limit: Bucket,
    pub reserve: Bucket,
    pub split: Split,
    /// Shares of the limit left to other hosts, and by them to this one until then.
    pub moved: (f64, f64, Instant),
}

/// What a request asks for: its client's later try asks for the same.
pub type Ask = (VolumeId, TrafficClassId, Option<KeyId>, Option<ShardId>, u64);

/// A request that was answered without being done.
pub struct RejectedRequest {
    pub objective_at: Instant,
    pub left: TimeDelta, // to its client when it came
    pub keep: Instant,
}

#[derive(Default)]
pub struct RejectedRequests {
    by_ask: HashMap<Ask, VecDeque<RejectedRequest>>,
    order: VecDeque<(Instant, Ask)>,
}

impl RejectedRequests {
    pub fn note(&mut self, ask: Ask, rejected_requests: RejectedRequest) {
        self.order.push_back((rejected_requests.keep, ask));
        self.by_ask.entry(ask).or_default().push_back(rejected_requests);
    }

    /// When the latency objective ends that began with an earlier try, if this is a later one.
    pub fn again(&mut self, now: Instant, ask: Ask, left: TimeDelta) -> Option<Instant> {
        while let Some((_, old)) = self.order.pop_front_if(|o| o.0 <= now) {
            let Some(list) = self.by_ask.get_mut(&old) else { continue };
            list.retain(|u| u.keep > now);
            if list.is_empty() {
                self.by_ask.remove(&old);
            }
        }
        let list = self.by_ask.get_mut(&ask)?;
        let i = list.iter().position(|u| left < u.left)?;
        list.remove(i).map(|u| u.objective_at)
    }
}

/// A volume's service here and through other hosts, and the least share of it that was ours lately.
#[derive(Default)]
pub struct Split {
    told: bool,
    shards: BTreeMap<ShardId, (f64, f64)>,
    answered: Instant,
    period: Instant,
    least: [f64; 2], // in this period and the one before
    last: f64,
}

impl Split {
    pub fn new(now: Instant, hosts: f64) -> Self {
        let even = 1.0 / hosts;
        Split { answered: now, period: now, least: [even, even], last: even, ..Split::default() }
    }

    /// Nothing until a node has told of service at other hosts.
    pub fn share(&self) -> Option<f64> {
        self.told.then(|| self.least[0].min(self.least[1]))
    }

    /// Halves what was counted at each new period; the share falls away after `idle` without an answer.
    pub fn tick(&mut self, now: Instant, period: TimeDelta, idle: TimeDelta) {
        if now - self.answered > idle {
            self.note(0.0);
        }
        if now - self.period >= period {
            self.period = now;
            self.least = [self.last, self.least[0]];
            self.shards.values_mut().for_each(|s| *s = (s.0 / 2.0, s.1 / 2.0));
        }
    }

    fn note(&mut self, share: f64) {
        self.last = share;
        self.least[0] = self.least[0].min(share);
    }

    /// The share is the least over the shards, so that hosts that see different shards can't claim the same
    /// service twice; shards that served less than `few` are taken together.
    pub fn served(&mut self, now: Instant, shard: ShardId, own: f64, others: f64, few: f64) {
        self.answered = now;
        let s = self.shards.entry(shard).or_default();
        *s = (s.0 + own, s.1 + others);
        let (mut rest, mut least) = ((0.0, 0.0), 1.0f64);
        for &(own, others) in self.shards.values() {
            match own + others < few {
                true => rest = (rest.0 + own, rest.1 + others),
                false => least = least.min(own / (own + others)),
            }
        }
        if rest.0 + rest.1 >= few {
            least = least.min(rest.0 / (rest.0 + rest.1));
        }
        if self.told || others > 0.0 {
            self.told = true;
            self.note(least);
        }
    }
}

impl Volume {
    pub fn new(now: Instant, plan: PlanId, hosts: f64, drawn: f64) -> Self {
        let limit = Bucket { level: drawn, at: now };
        Volume {
            seen: now,
            plan,
            hosts,
            limit,
            reserve: Bucket { level: 0.0, at: now },
            split: Split::new(now, hosts),
            moved: (0.0, 0.0, now),
        }
    }
}

pub struct Request {
    pub volume: VolumeId,
    pub plan: PlanId,
    pub class: TrafficClassId,
    pub key: Option<KeyId>,
    pub turn: Option<KeyId>, // its key, where its traffic class keeps order
    pub shard: Option<ShardId>,
    pub any_node: bool,
    pub units: f64,
    pub arrived: Instant,
    pub objective_at: Instant,
    pub deadline: Instant,
    pub hold: Instant, // no attempt before this
    pub tag: f64,      // its place among its volume's others of its traffic class
    pub drew: bool,
    pub repeats: bool, // asks for a piece of data that this host lately sent for at its shard
    pub waiting: bool,
    pub ended: bool,
    pub started: bool,
    pub attempts: u32,
    pub out: Vec<Attempt>,
    pub ran: Option<(u32, Instant, NodeId)>, // the first attempt that may have had an effect
}

impl Request {
    pub fn send(&mut self, now: Instant, node: NodeId, (seen, out): (u64, u64), held: bool) {
        self.ran = self.ran.or(Some((self.attempts, now, node)));
        self.drew = true;
        self.waiting = false;
        self.out.push(Attempt { no: self.attempts, node, passed: seen + out, seen, held });
        self.attempts += 1;
    }

    pub fn new(
        now: Instant,
        (volume, plan, class): (VolumeId, PlanId, TrafficClassId),
        key: Option<KeyId>,
        shard: Option<ShardId>,
        units: f64,
        objective_at: Instant,
        deadline: Instant,
    ) -> Self {
        Request {
            volume,
            plan,
            class,
            key,
            turn: None,
            shard,
            any_node: shard.is_none(),
            units,
            arrived: now,
            objective_at,
            deadline,
            hold: now,
            tag: 0.0,
            drew: false,
            repeats: false,
            waiting: true,
            ended: false,
            started: false,
            attempts: 0,
            out: Vec::new(),
            ran: None,
        }
    }
}

pub struct Attempt {
    pub no: u32,
    pub node: NodeId,
    pub passed: u64, // once the node has answered more than this, later attempts have overtaken it
    pub seen: u64,   // what the node had answered when it went out
    pub held: bool,  // went out while the caps were what held requests back
}

pub struct Node {
    pub state: NodeState,
    pub zone: ZoneId,
    pub shard: ShardId,
    pub up_since: Option<Instant>,
    pub out: usize,
    pub done: u64,
    pub out_units: f64,
    pub out_rank: Vec<usize>,
    pub cap: f64,
    pub least: f64, // of the cap
    pub cut_at: Instant,
    pub waiting: f64, // requests, as it last reported
    pub took: f64,    // seconds, the last answer
    pub credit: f64,
    pub good: f64,
    pub bad: f64,
    pub sick: bool,
    pub suspect: bool, // an attempt timed out and none was answered since
    pub sent_at: Instant,
    pub cold: Bucket,
    pub latency: Vec<Histogram>,
    pub turn: f64,
    pub weight: f64, // by operators' order, as is `pinned`
    pub pinned: bool,
}

/// What waits at a shard waits by volume and traffic class.
pub type Queue = (VolumeId, TrafficClassId);

#[derive(Default)]
pub struct Shard {
    pub queues: BTreeMap<Queue, VecDeque<RequestId>>,
    pub late: VecDeque<RequestId>,
    pub nodes: BTreeSet<NodeId>,
    pub tags: BTreeMap<VolumeId, f64>,
    pub vtime: f64,
    pub pace: Pace,              // of what was done here for this host
    pub pieces: VecDeque<KeyId>, // that this host lately sent for here
}

/// Weighted sharing by start tags: virtual time stands at the last start, so nothing is saved while idle.
impl Shard {
    pub fn start(&self, volume: VolumeId) -> f64 {
        self.tags.get(&volume).copied().unwrap_or(0.0).max(self.vtime)
    }

    /// First of a queue, past those that no longer wait here.
    pub fn head(&mut self, name: Queue, waits: impl Fn(RequestId) -> bool) -> Option<RequestId> {
        let queue = self.queues.get_mut(&name)?;
        while queue.pop_front_if(|id| !waits(*id)).is_some() {}
        let first = queue.front().copied();
        if first.is_none() {
            self.queues.remove(&name);
        }
        first
    }

    /// Notes a piece of data that is sent for, among the last few; whether it is among them already.
    pub fn sent_for(&mut self, piece: KeyId, few: usize) -> bool {
        let known = self.pieces.contains(&piece);
        if !known {
            self.pieces.push_back(piece);
            while self.pieces.len() > few {
                self.pieces.pop_front();
            }
        }
        known
    }

    pub fn charge(&mut self, volume: VolumeId, cost: f64) {
        self.vtime = self.start(volume);
        self.tags.insert(volume, self.vtime + cost);
    }
}

/// Retries, as a free few plus a share of the requests taken, over any window.
#[derive(Default)]
pub struct Budget {
    pub free: f64,
    pub share: f64,
    pub window: Option<TimeDelta>,
    pub taken: VecDeque<Instant>,
    pub further: VecDeque<Instant>,
}

impl Budget {
    /// Drops what no window can reach any more.
    pub fn prune(&mut self, now: Instant, reach: TimeDelta) {
        for times in [&mut self.taken, &mut self.further] {
            while times.front().is_some_and(|t| now - *t > reach) {
                times.pop_front();
            }
        }
    }

    /// Retries sent in the last `window + edge`, and requests taken in the last `window - edge`.
    pub fn count(&self, now: Instant, window: TimeDelta, edge: TimeDelta) -> (f64, f64) {
        let further = self.further.iter().rev().take_while(|t| now - **t <= window + edge).count();
        let taken = self.taken.iter().rev().take_while(|t| now - **t + edge <= window).count();
        (further as f64, taken as f64)
    }
}

/// Rule 5: requests on one key, in the order taken.
#[derive(Default)]
pub struct Turn {
    pub line: VecDeque<RequestId>,
    pub holder: Option<RequestId>,
    pub out: usize,
    pub free_at: Instant,
}

impl Node {
    pub fn attempt_started(&mut self, now: Instant, rank: usize, units: f64) {
        self.out += 1;
        self.out_units += units;
        self.out_rank[rank] += 1;
        self.cold.level += units;
        self.sent_at = now;
    }

    pub fn attempt_finished(&mut self, rank: usize, units: f64) {
        self.out -= 1;
        self.out_units -= units;
        self.out_rank[rank] -= 1;
    }

    /// The mean over traffic classes of the median time, in seconds.
    pub fn mean_time(&self) -> Option<f64> {
        let seen = self.latency.iter().filter_map(|h| h.at(0.5));
        seen.clone().next().map(|_| mean(seen))
    }

    pub fn halve(&mut self, at: f64) {
        if self.good + self.bad >= at {
            self.good /= 2.0;
            self.bad /= 2.0;
        }
    }

    /// Becomes the new one, but for what is still out.
    pub fn restart(&mut self, new: Node) {
        let (out, done, out_units) = (self.out, self.done, self.out_units);
        let out_rank = std::mem::take(&mut self.out_rank);
        let (weight, pinned) = (self.weight, self.pinned);
        *self = Node { out, done, out_units, out_rank, weight, pinned, ..new };
    }

    pub fn new(
        now: Instant,
        e: &NodeEntry,
        ranks: usize,
        seen: Vec<Histogram>,
        (cap, least): (f64, f64),
        credit: f64,
        (turn, cold): (f64, f64),
    ) -> Self {
        Node {
            state: e.state,
            zone: e.zone,
            shard: e.shard,
            up_since: e.up_since,
            out: 0,
            done: 0,
            out_units: 0.0,
            out_rank: vec![0; ranks],
            cap,
            least,
            cut_at: now,
            waiting: 0.0,
            took: 0.0,
            credit,
            good: 0.0,
            bad: 0.0,
            sick: false,
            suspect: false,
            sent_at: now,
            cold: Bucket { level: cold, at: now },
            latency: seen,
            turn,
            weight: 1.0,
            pinned: false,
        }
    }
}

impl Turn {
    pub fn attempt_finished(&mut self, rest_until: Option<Instant>) {
        self.out -= 1;
        self.free_at = self.free_at.max(rest_until.unwrap_or_default());
    }

    /// When the key is free at the earliest, if this request may not leave now.
    pub fn wait(&self, id: RequestId, now: Instant) -> Option<Instant> {
        let free = self.holder == Some(id) || (self.out == 0 && self.free_at <= now);
        (self.line.front() != Some(&id) || !free).then_some(self.free_at)
    }

    pub fn is_idle(&self, now: Instant) -> bool {
        self.line.is_empty() && self.out == 0 && self.free_at <= now
    }

    /// A request is over; gives the next in line.
    pub fn leave(&mut self, id: RequestId) -> Option<RequestId> {
        self.line.retain(|q| *q != id);
        self.holder = self.holder.filter(|h| *h != id);
        self.line.front().copied()
    }
}

/// Rule 4: what a node that has just come up is given by this host.
#[derive(Default)]
pub struct Cold {
    pub safe: f64,
    pub from: f64,
    pub warm: TimeDelta,
    pub window: TimeDelta,
    pub multiple: f64,
}

/// Units a second, the older counting less.
#[derive(Default)]
pub struct Pace {
    units: f64,
    secs: f64,
    at: Option<Instant>,
}

impl Pace {
    pub fn add(&mut self, now: Instant, units: f64, memory: f64) {
        let gone = self.at.map_or(0.0, |t| (now - t).secs());
        let kept = (-gone / memory).exp();
        self.units = self.units * kept + units;
        self.secs = self.secs * kept + gone;
        self.at = Some(now);
    }

    /// As if this rate had been seen for so long.
    pub fn known(&mut self, now: Instant, rate: f64, secs: f64, memory: f64) {
        self.add(now, rate * secs, memory);
        self.secs += secs;
    }

    /// As if at least `least` seconds had been seen.
    pub fn rate(&self, now: Instant, memory: f64, least: f64) -> f64 {
        let gone = self.at.map_or(0.0, |t| (now - t).secs());
        let kept = (-gone / memory).exp();
        self.units * kept / (self.secs * kept + gone).max(least)
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    Deadline(RequestId),
    Look(ShardId),
    Rested(KeyId),
    List,
}

/// Chance, started from the host's seed.
pub struct Chance(pub oorandom::Rand32);

impl Default for Chance {
    fn default() -> Self {
        Chance(oorandom::Rand32::new(0))
    }
}

/// Smooth weighted rotation: each gains its part of the weights; the one that has most takes the turn.
pub fn take_turn<'a>(nodes: impl Iterator<Item = (&'a mut Node, f64)>) -> Option<ShardId> {
    let mut nodes: Vec<_> = nodes.collect();
    let total: f64 = nodes.iter().map(|(_, weight)| weight).sum();
    nodes.iter_mut().for_each(|(n, weight)| n.turn += *weight / total);
    let (n, _) = nodes.into_iter().max_by(|a, b| a.0.turn.total_cmp(&b.0.turn))?;
    n.turn -= 1.0;
    Some(n.shard)
}

/// Zero of nothing.
pub fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |a, v| (a.0 + v, a.1 + 1.0));
    if count > 0.0 {
        sum / count
    } else {
        0.0
    }
}

/// Attempts that got lost, against those answered, halved now and then.
#[derive(Default)]
pub struct Losses {
    pub lost: f64,
    pub kept: f64,
    pub losing: bool,
}

impl Losses {
    /// Gives the new mode where it changes: attempts get lost from `least` on, if they are more than `part`.
    pub fn note(&mut self, lost: bool, kept: bool, halve_at: f64, least: f64, part: f64) -> Option<bool> {
        self.lost += f64::from(u8::from(lost));
        self.kept += f64::from(u8::from(kept));
        if self.lost + self.kept >= halve_at {
            (self.lost, self.kept) = (self.lost / 2.0, self.kept / 2.0);
        }
        let losing = self.lost >= least && self.lost > part * (self.lost + self.kept);
        (losing != std::mem::replace(&mut self.losing, losing)).then_some(losing)
    }
}

/// Ranks traffic classes by latency objective, the tighter first; gives the tightest.
pub fn rank_by_latency_objective(classes: &mut [TrafficClass]) -> TimeDelta {
    let mut latency_objectives: Vec<TimeDelta> = classes.iter().map(|s| s.latency_objective).collect();
    latency_objectives.sort();
    latency_objectives.dedup();
    let tightest = latency_objectives.first().copied().unwrap_or_default();
    for s in classes {
        s.rank = latency_objectives.iter().position(|x| *x == s.latency_objective).unwrap_or(0);
        s.tight = tightest.secs() / s.latency_objective.secs().max(1e-6);
    }
    tightest
}

/// Marks a request as over; gives the shard of the one whose turn on its key comes next.
pub fn end(
    requests: &mut HashMap<RequestId, Request>,
    turns: &mut HashMap<KeyId, Turn>,
    id: RequestId,
    now: Instant,
) -> Option<ShardId> {
    let x = requests.get_mut(&id)?;
    (x.ended, x.waiting) = (true, false);
    let next = x.turn.and_then(|k| turns.get_mut(&k)).and_then(|t| t.leave(id));
    forget(requests, turns, id, now);
    next.and_then(|q| requests.get(&q)).and_then(|x| x.shard)
}

/// Drops a request that is over and has no attempt out, and its key where nothing is left to order.
pub fn forget(
    requests: &mut HashMap<RequestId, Request>,
    turns: &mut HashMap<KeyId, Turn>,
    id: RequestId,
    now: Instant,
) {
    let Some(turn) = requests.get(&id).filter(|x| x.ended && x.out.is_empty()).map(|x| x.turn) else {
        return;
    };
    requests.remove(&id);
    if let Some(k) = turn.filter(|k| turns.get(k).is_some_and(|t| t.is_idle(now))) {
        turns.remove(&k);
    }
}

pub fn same_group(group: DedupScope, a: Option<&Node>, b: Option<&Node>) -> bool {
    match group {
        DedupScope::All => true,
        DedupScope::Zone => a.map(|n| n.zone) == b.map(|n| n.zone),
        DedupScope::Shard => a.map(|n| n.shard) == b.map(|n| n.shard),
    }
}

pub fn unlisted_are_gone(nodes: &mut BTreeMap<NodeId, Node>, entries: &[NodeEntry]) {
    let named: BTreeSet<NodeId> = entries.iter().map(|e| e.node).collect();
    for (_, n) in nodes.iter_mut().filter(|(id, _)| !named.contains(id)) {
        n.state = NodeState::Gone;
    }
}

/// Drops nodes that are gone and were sent nothing since.
pub fn forget_gone(
    nodes: &mut BTreeMap<NodeId, Node>,
    shards: &mut BTreeMap<ShardId, Shard>,
    since: Instant,
) {
    let known = nodes.len();
    nodes.retain(|_, n| n.state != NodeState::Gone || n.out > 0 || n.sent_at >= since);
    // Also from shards that it was once listed for: none may name a node that is not known.
    if nodes.len() < known {
        shards.values_mut().for_each(|s| s.nodes.retain(|id| nodes.contains_key(id)));
    }
}

/// Drops volumes of which nothing came since, and their tags.
pub fn forget_resting(
    volumes: &mut HashMap<VolumeId, Volume>,
    shards: &mut BTreeMap<ShardId, Shard>,
    since: Instant,
) {
    volumes.retain(|_, v| v.seen >= since || v.moved.2 >= since);
    shards.values_mut().for_each(|s| s.tags.retain(|v, _| volumes.contains_key(v)));
}

pub fn waits_at(requests: &HashMap<RequestId, Request>, id: RequestId, shard: ShardId) -> bool {
    requests.get(&id).is_some_and(|x| x.waiting && x.shard == Some(shard))
}
