//! Every decision of tackmast. How it is called: the host makes one `Scheduler`, tells it the settings part
//! by part, and then reports what happens through the inputs (`request_arrived`, `attempt_ended`,
//! `nodes_changed`, ...), which only update what is known. After each report it pulls `poll_decision(now)`
//! until there is none and asks `poll_timeout` when to come back. The types are in `src/interface.rs`.
//!
//! The ordinary path of a request: it waits at its shard; its volume's limit bucket must have room; within
//! a priority, units inside the reservation leave first, the rest by plan weight; the node's caps bound what
//! is out. docs/design.md says where this comes from and what was added.

use crate::histogram::Histogram;
use crate::interface::*;
pub use crate::state::Scheduler;
use crate::state::*;
use std::cmp::Reverse;

const CAP_START: f64 = 8.0; // requests out at one node, and mean sizes out
const FEW: f64 = 4.0; // hosts: up to these each may keep a request out at a node, beyond them they share
const MAX_CAP: f64 = 24.0;
const CAP_RISE: f64 = 0.5; // by this much for each window of good answers
const MAX_REST: f64 = 2.0; // seconds, at few hosts
const CAP_CUT: f64 = 0.5; // at most to this part at once, the more the slower the answer
const MIN_CAP_CUT: f64 = 0.9;
const CAP_TARGET: f64 = 0.5; // answers slower than this part of the latency objective shrink the cap
const EXCESS_PART: f64 = 0.7; // of the cap, for units past the reservation
const LOWER_PART: f64 = 0.5; // of the cap, for lower priorities while a higher one is out, and for late ones
const WAITING: f64 = 8.0; // requests a node may report to wait before they divide the cap
const WAITING_EXCESS: f64 = 2.0; // and before they divide it for units past the reservation
const TIGHT: f64 = 2.0; // streams within this multiple of the tightest latency objective judge the node
const SLACK_AT_START: f64 = 0.5; // of the limit's slack, given by all hosts together when they start
pub const SPLIT_FLOOR: f64 = 0.9; // of the even slice, whatever the share
const SPLIT_RISE: f64 = 4.0; // seconds for which the least share seen holds, at least
const SPLIT_IDLE: f64 = 1.5; // seconds without an answer after which the share falls away
const MIN_SPLIT: f64 = 4.0; // mean sizes served at a node before it is looked at alone
const REJECTED_MEMORY: f64 = 10.0; // seconds for which a later try is known by its first
const AT_REST: f64 = 30.0; // seconds, longer than any request waits, after which what is unused is forgotten
const VOLUMES_KEPT: usize = 512;
const RESERVE_BURST: f64 = 1.0; // seconds of the reservation that its bucket holds
const CREDIT_START: f64 = 2.0;
const MAX_CREDIT: f64 = 8.0;
const CREDIT_ERROR: f64 = 1.0; // for an error that came well within the latency objective
const HEALTH_HALVE: f64 = 16.0;
const SICK_AFTER: f64 = 6.0; // bad answers
const SICK_BELOW: f64 = 0.05; // part of answers that are good
const TRICKLE: f64 = 0.1; // seconds between attempts to a sick node
const MIN_LOST: f64 = 2.0;
const LOST_PART: f64 = 0.02;
const LOST_HALVE: f64 = 128.0;
const TIMEOUT_AT: f64 = 0.9; // part of the answers seen that are faster
const TIMEOUT_TIMES: f64 = 3.0;
const MIN_TIMEOUT: f64 = 0.4; // of the latency objective
const TIMEOUT_SEEN: f64 = 8.0; // answers
const PAUSE: f64 = 0.02; // seconds before a retry
const BLOCKED_CHECK: f64 = 0.05; // seconds until a request that a guard holds is looked at again
const COLD_CHANCE: f64 = 0.8; // of what goes for chance where all hosts together send to a cold node
const COLD_OUT: f64 = 0.3; // of the sum that they may send: of the always-safe units, those out at once,
const COLD_DRAIN: f64 = 0.1; // those that time alone frees each window, and
const COLD_PART: f64 = 0.6; // of the multiple that a cold node bears
const COLD_MEMORY: f64 = 30.0; // seconds
const COLD_PIECES: usize = 16; // of a shard, that are known again
const MIN_COLD_SEEN: f64 = 5.0; // seconds, before what was seen of a shard counts in full
const LIST_RETRY: f64 = 0.2; // seconds, doubled at each failure
const MAX_LIST_RETRY: f64 = 1.0; // so that two more that fail still leave time for one that tells in 6 s
const SAFE_EDGE: f64 = 0.02; // seconds kept from the edge of any stated window
const LATENCY_FIRST: f64 = 0.002; // seconds, the lowest bin of answer times
const LATENCY_HALVE: f64 = 64.0;
const QUEUE_LOOK: usize = 16; // waiting requests searched for one that no guard of its own holds

/// Settings, part by part.
impl Scheduler {
    /// `hosts` is how many hosts share the pool; `tick` how coarse the host's clock is.
    pub fn new(now: Instant, seed: u64, hosts: u32, tick: TimeDelta, mean_units: f64) -> Self {
        Scheduler {
            now,
            rng: Chance(oorandom::Rand32::new(seed)),
            hosts: f64::from(hosts.max(1)),
            there: f64::from(hosts.max(1)),
            margin: tick + tick + TimeDelta::from_secs(0.001),
            mean_units: mean_units.max(1e-6),
            max_attempts: u32::MAX,
            again: 1.0,
            ..Scheduler::default()
        }
    }

    /// Plans are numbered in the order given; a `limit` of 0 is none.
    pub fn add_plan(&mut self, limit: f64, burst: f64, slack: f64, reserve: f64, weight: f64) {
        self.plans.push(Plan { limit, burst, slack, reserve, weight: weight.max(1e-6) });
    }

    /// Traffic classes are numbered in the order given.
    pub fn add_traffic_class(&mut self, latency_objective: TimeDelta, effect: Effect, in_order: bool) {
        self.classes.push(TrafficClass { latency_objective, rank: 0, tight: 1.0, effect, in_order });
        self.tightest = rank_by_latency_objective(&mut self.classes);
        self.everywhere.push(Histogram::new(LATENCY_FIRST, LATENCY_HALVE));
    }

    /// `longest_wait` is the longest that a client can be asked to stay away; zero: it can't be asked.
    /// `settle` is how long a key rests after an attempt that may still be running.
    pub fn set_attempt_limits(&mut self, max_attempts: u32, longest_wait: TimeDelta, settle: TimeDelta) {
        (self.max_attempts, self.longest_wait, self.settle) = (max_attempts, longest_wait, settle);
    }

    pub fn set_retry_budget(&mut self, free: f64, share: f64, window: TimeDelta) {
        self.budget = Budget { free, share, window: Some(window), ..Budget::default() };
    }

    /// `safe` units within `window` from all hosts never hurt a node that starts at part `from` of its
    /// capacity and is warm after `warm`; nor does `multiple` times what it can do at the moment.
    pub fn set_slow_start(
        &mut self,
        safe: f64,
        from: f64,
        warm: TimeDelta,
        window: TimeDelta,
        multiple: f64,
    ) {
        let n = (safe / self.mean_units).max(1.0);
        let sum = 1.0 - 1.0 / multiple.max(1.0) + COLD_CHANCE * (2.0 * n.sqrt() + 2.0) / n;
        let (safe, multiple, from) = (safe * sum, multiple * sum, from.clamp(0.01, 1.0));
        self.cold = Cold { safe, from, warm, window, multiple };
    }

    /// Nodes may save up to this part of the work for a piece of data that they have at hand; 0 until told.
    pub fn set_cache_savings(&mut self, part: f64) {
        self.again = 1.0 - part.clamp(0.0, 1.0);
    }

    pub fn subscribe_to_node_list(&mut self) {
        self.timers.push(Reverse((self.now, Timer::List)));
    }
}

/// Inputs: they only update what is known.
impl Scheduler {
    #[allow(clippy::too_many_arguments)] // one decoded field, one argument
    pub fn request_arrived(
        &mut self,
        now: Instant,
        id: RequestId,
        class: TrafficClassId,
        plan: PlanId,
        key: Option<KeyId>,
        left: TimeDelta,
        volume: VolumeId,
        units: f64,
        shard: Option<ShardId>,
        hosts: u32,
    ) {
        self.now = now;
        self.volume_plan_changed(now, volume, plan);
        let st = &self.classes[class.0 as usize];
        let (p, told) = (&self.plans[plan.0 as usize], f64::from(hosts.max(1)));
        // A new generation of a host can't know what an earlier one drew: its limit bucket starts full, but
        // for part of what the rule lets pass. A restart must not hand itself a second burst.
        let full = (p.burst - p.slack * SLACK_AT_START) / told;
        // Against a table that fills under new names. What was drawn long ago is back; new ones start drawn.
        if self.volumes.len() >= VOLUMES_KEPT && !self.volumes.contains_key(&volume) {
            forget_resting(&mut self.volumes, &mut self.shards, now - TimeDelta::from_secs(AT_REST));
        }
        let v = self.volumes.entry(volume).or_insert_with(|| Volume::new(now, plan, told, full));
        (v.hosts, v.seen) = (v.hosts.max(told), now);
        // A client's later try began its latency objective with its first: it asks for the same as one
        // answered undone, with less time left. Little time left alone proves nothing: some clients are in a
        // hurry.
        let ask = (volume, class, key, shard, units.to_bits());
        let objective_at = self.rejected_requests.again(now, ask, left).unwrap_or(now + st.latency_objective);
        let deadline = now + left - self.margin;
        let mut x = Request::new(now, (volume, plan, class), key, shard, units, objective_at, deadline);
        x.turn = key.filter(|_| st.in_order);
        if let Some(k) = x.turn {
            self.turns.entry(k).or_default().line.push_back(id);
        }
        self.timers.push(Reverse((x.deadline, Timer::Deadline(id))));
        self.requests.insert(id, x);
        if let Some(window) = self.budget.window {
            self.budget.prune(now, window + window);
            self.budget.taken.push_back(now);
        }
        self.enqueue(id, false);
    }

    /// The place of the request that arrived last among those of its volume, traffic class and shard: before
    /// all of later tags. So a host's sessions share a volume; without tags the order of arrival holds.
    pub fn request_tagged(&mut self, id: RequestId, tag: f64) {
        let Some(x) = self.requests.get(&id).filter(|x| x.waiting) else { return };
        // Not before an earlier one of its key: it would wait for one far behind, and others for it.
        let line = x.turn.and_then(|k| self.turns.get(&k)).map(|t| &t.line);
        let earlier =
            line.and_then(|l| l.iter().rev().find(|o| **o != id)).and_then(|o| self.requests.get(o));
        let tag = earlier.map_or(tag, |e| tag.max(e.tag));
        let sh = x.shard.and_then(|s| self.shards.get_mut(&s));
        if let Some(queue) = sh.and_then(|sh| sh.queues.get_mut(&(x.volume, x.class))) {
            if queue.pop_back_if(|last| *last == id).is_some() {
                let before = |q: &RequestId| self.requests.get(q).is_none_or(|x| x.tag <= tag);
                queue.insert(queue.partition_point(before), id);
            }
        }
        self.requests.entry(id).and_modify(|x| x.tag = tag);
    }

    /// A streamed answer has begun: its client has it, and nothing is owed by a set time any more.
    pub fn response_started(&mut self, now: Instant, id: RequestId) {
        self.now = now;
        self.requests.entry(id).and_modify(|x| x.started = true);
    }

    /// What an answer told of the volume's service at this node: units for this host, and those through other
    /// hosts since the node's last answer to this one. `known` is false where nodes don't tell.
    pub fn service_reported(&mut self, now: Instant, id: RequestId, done: bool, known: bool, elsewhere: f64) {
        let Some((x, shard)) = self.requests.get(&id).and_then(|x| Some((x, x.shard?))) else { return };
        let Some(v) = self.volumes.get_mut(&x.volume).filter(|_| known) else { return };
        let own = if done { x.units } else { 0.0 };
        v.split.tick(now, TimeDelta::from_secs(SPLIT_RISE), TimeDelta::from_secs(SPLIT_IDLE));
        v.split.served(now, shard, own, elsewhere, MIN_SPLIT * self.mean_units);
    }

    /// What an earlier generation of this host saw a shard do for it, units a second.
    pub fn service_rate_restored(&mut self, now: Instant, shard: ShardId, rate: f64) {
        self.now = now;
        let s = self.shards.entry(shard).or_default();
        s.pace.known(now, rate, MIN_COLD_SEEN, COLD_MEMORY);
        self.due.insert(shard);
    }

    /// The same of each shard in this generation, for the next one.
    pub fn service_rates(&self, now: Instant) -> Vec<(ShardId, f64)> {
        let rate = |s: &Shard| s.pace.rate(now, COLD_MEMORY, MIN_COLD_SEEN);
        self.shards.iter().map(|(id, s)| (*id, rate(s))).collect()
    }

    /// How many requests a node says wait there; reports lag.
    pub fn load_reported(&mut self, now: Instant, node: NodeId, waiting: f64) {
        self.now = now;
        self.nodes.entry(node).and_modify(|n| n.waiting = waiting);
    }

    /// Operators' word on a node: the part of what it would be given otherwise, and whether it stays in
    /// service whatever its health. Off at 1 and false. The list, the guards and the rules come first.
    pub fn node_overridden(&mut self, now: Instant, node: NodeId, weight: f64, pinned: bool) {
        self.now = now;
        if let Some(n) = self.nodes.get_mut(&node) {
            (n.weight, n.pinned) = (weight.clamp(0.01, 1.0), pinned);
            self.due.insert(n.shard);
        }
    }

    /// Hosts lend each other parts of a volume's limit: `lent` of the whole is left to others from now on,
    /// `borrowed` is left to this host until then. Whoever tells this sees to it that all parts sum to no
    /// more than the whole.
    #[allow(clippy::too_many_arguments)]
    pub fn quota_leases_changed(
        &mut self,
        now: Instant,
        volume: VolumeId,
        plan: PlanId,
        hosts: u32,
        lent: f64,
        borrowed: f64,
        until: Instant,
    ) {
        self.now = now;
        let (p, told) = (&self.plans[plan.0 as usize], f64::from(hosts.max(1)));
        let full = (p.burst - p.slack * SLACK_AT_START) / told;
        let v = self.volumes.entry(volume).or_insert_with(|| Volume::new(now, plan, told, full));
        // What has drained by now did so at the old rate: a higher one must not reach back.
        let before = Self::part(v, now);
        v.limit.drain(now, p.limit * before);
        v.moved = (lent, borrowed, until);
        if Self::part(v, now) > before {
            let waits = |s: &Shard| s.queues.keys().any(|q| q.0 == volume);
            self.due.extend(self.shards.iter().filter(|(_, s)| waits(s)).map(|(id, _)| *id));
        }
    }

    /// A plan's figures from now on, while its volumes are busy; the next number is a new plan.
    pub fn plan_changed(&mut self, now: Instant, plan: PlanId, new: Plan) {
        self.now = now;
        if let Some(p) = self.plans.get_mut(plan.0 as usize) {
            let of_it = self.volumes.values_mut().filter(|v| v.plan == plan);
            of_it.for_each(|v| Self::refigure(v, now, p, &new));
            *p = new;
            self.due.extend(self.shards.keys());
        } else if plan.0 as usize == self.plans.len() {
            self.plans.push(new);
        }
    }

    /// A volume is under this plan from now on, with all that waits of it.
    pub fn volume_plan_changed(&mut self, now: Instant, volume: VolumeId, plan: PlanId) {
        self.now = now;
        let Some(v) = self.volumes.get_mut(&volume).filter(|v| v.plan != plan) else { return };
        let old = std::mem::replace(&mut v.plan, plan);
        Self::refigure(v, now, &self.plans[old.0 as usize], &self.plans[plan.0 as usize]);
        let of_it = self.requests.values_mut().filter(|x| x.volume == volume);
        of_it.for_each(|x| x.plan = plan);
        self.due.extend(self.shards.keys());
    }

    /// How many hosts are thought to be there. Caps follow it, whose sum no rule bounds; the guards keep to
    /// the told number, whatever is thought.
    pub fn alive_hosts_changed(&mut self, there: u32) {
        self.there = f64::from(there.max(1)).min(self.hosts);
        let least = (FEW / self.there).min(1.0);
        self.nodes.values_mut().for_each(|n| (n.least, n.cap) = (least, n.cap.max(least)));
    }

    pub fn attempt_ended(
        &mut self,
        now: Instant,
        id: RequestId,
        attempt: AttemptNumber,
        o: Outcome,
        took: TimeDelta,
        ended: bool,
    ) {
        self.now = now;
        let Some(x) = self.requests.get_mut(&id) else { return };
        let Some(i) = x.out.iter().position(|l| l.no == attempt.0) else { return };
        let Attempt { no, node, passed, seen, held } = x.out.remove(i);
        if x.ran.is_some_and(|r| r.0 == no) && !o.may_have_run() {
            x.ran = None;
        }
        let (units, class, turn, hurried) = (x.units, x.class, x.turn, x.ended);
        // Against nodes that are quick with what they have at hand: it is no sign of what they can do, and a
        // cold one would be given several times what it bears. Hurts where most asks for few pieces.
        let able = if x.repeats { self.again * units } else { units };
        let st = &self.classes[class.0 as usize];
        if let Some(t) = turn.and_then(|k| self.turns.get_mut(&k)) {
            t.attempt_finished(o.may_be_running().then_some(now + self.settle));
            // Against a memory of keys that grows with each unknown end: a rested key is looked at once more.
            if let Some(k) = turn.filter(|_| o.may_be_running()) {
                self.timers.push(Reverse((now + self.settle, Timer::Rested(k))));
            }
        }
        let (done, mut lost) = (o == Outcome::Done, false);
        if let Some(n) = self.nodes.get_mut(&node) {
            n.attempt_finished(st.rank, units);
            self.due.insert(n.shard);
            // A timed-out attempt got lost if a later one was answered meanwhile, or else if the next is
            // fast.
            let (out, fast) =
                (o == Outcome::TimedOut, took.secs() < CAP_TARGET * st.latency_objective.secs());
            lost = if out { n.done > passed } else { done && fast && n.suspect };
            n.suspect = if out { n.done <= passed } else { n.suspect && !done };
            let judges = st.latency_objective.secs() <= TIGHT * self.tightest.secs();
            n.answered(
                now,
                o,
                took.secs(),
                st.latency_objective.secs(),
                judges,
                [held, hurried, n.done == seen],
            );
            if done {
                n.done += 1;
                n.latency[class.0 as usize].add(took.secs());
                self.everywhere[class.0 as usize].add(took.secs());
                n.cold.level = (n.cold.level - able).max(0.0);
                let shard = self.shards.entry(n.shard).or_default();
                shard.pace.add(now, able, COLD_MEMORY);
            }
            let sick = n.bad >= SICK_AFTER && n.good < SICK_BELOW * (n.good + n.bad);
            if sick != std::mem::replace(&mut n.sick, sick) {
                let mode = if sick { "sick" } else { "well" };
                let line = format!("node {} {mode}: good {:.1} bad {:.1}", node.0, n.good, n.bad);
                self.log(line);
            }
        }
        self.loss(lost, done);
        if ended || done {
            self.finish(id);
        } else if self.requests.get(&id).is_some_and(|x| !x.ended && x.out.is_empty()) {
            self.go_on(id);
        }
        forget(&mut self.requests, &mut self.turns, id, self.now);
    }

    /// Whether attempts get lost, by how many were against those answered.
    fn loss(&mut self, lost: bool, done: bool) {
        if let Some(losing) = self.lost.note(lost, done, LOST_HALVE, MIN_LOST, LOST_PART) {
            let (l, mode) = (&self.lost, if losing { "get lost" } else { "arrive" });
            self.log(format!("attempts {mode}: {:.1} lost {:.1} answered", l.lost, l.kept));
        }
    }

    pub fn nodes_changed(&mut self, now: Instant, kind: ListKind, entries: &[NodeEntry]) {
        self.now = now;
        if kind == ListKind::Failed {
            let wait = (LIST_RETRY * 2f64.powi(self.list_fails)).min(MAX_LIST_RETRY);
            self.list_fails += 1;
            self.asked = false;
            let wait = TimeDelta::from_secs(wait * (0.5 + f64::from(self.rng.0.rand_float())));
            self.timers.push(Reverse((now + wait, Timer::List)));
            return self.log(format!("list lost: failure {} retry in {:.2}s", self.list_fails, wait.secs()));
        }
        if kind != ListKind::Saved && self.list_fails > 0 {
            self.log(format!("list back: after {} failures", self.list_fails));
            self.list_fails = 0;
        }
        if kind != ListKind::Changes {
            unlisted_are_gone(&mut self.nodes, entries);
        }
        let ranks = self.classes.iter().map(|s| s.rank + 1).max().unwrap_or(1);
        let fresh = vec![Histogram::new(LATENCY_FIRST, LATENCY_HALVE); self.classes.len()];
        let few = (FEW / self.there).min(1.0);
        let caps = (CAP_START * few.sqrt(), few);
        for e in entries {
            // By chance: else all hosts begin the rotation at one node, and all send at once to a cold one.
            let chance = f64::from(self.rng.0.rand_float());
            let first =
                (chance, (chance * self.mean_units - COLD_OUT * self.cold.safe / self.hosts).max(0.0));
            let new = || Node::new(now, e, ranks, fresh.clone(), caps, CREDIT_START, first);
            let n = self.nodes.entry(e.node).or_insert_with(new);
            n.state = e.state;
            if e.up_since > n.up_since {
                // What was learned of its earlier generation no longer holds; what is out still is.
                n.restart(new());
                let age = e.up_since.map_or(0.0, |u| (now - u).secs());
                self.log(format!("node {} cold: up for {age:.1}s", e.node.0));
            }
            self.shards.entry(e.shard).or_default().nodes.insert(e.node);
        }
        forget_gone(&mut self.nodes, &mut self.shards, now - TimeDelta::from_secs(AT_REST));
        for id in std::mem::take(&mut self.homeless) {
            self.enqueue(id, true);
        }
        self.due.extend(self.shards.keys());
    }
}

impl Node {
    /// Cap, credit and health follow each answer. The cap rises while answers come well within the latency
    /// objective and is cut when they don't: against any slowness (queue, pauses, costly work), whatever its
    /// cause.
    fn answered(
        &mut self,
        now: Instant,
        o: Outcome,
        took: f64,
        latency_objective: f64,
        judges: bool,
        attempt: [bool; 3],
    ) {
        let [held, hurried, silent] = attempt;
        self.took = took;
        match o {
            Outcome::Done => {
                self.good += 1.0;
                self.credit = (self.credit + 1.0).min(MAX_CREDIT);
                let fast = took < CAP_TARGET * latency_objective;
                if judges && fast && held {
                    self.cap = (self.cap + CAP_RISE * self.cap.min(1.0 / self.cap)).min(MAX_CAP);
                } else if judges && !fast {
                    self.cut(now, took, CAP_TARGET * latency_objective / took);
                }
            }
            Outcome::TimedOut => {
                self.bad += 1.0;
                // Its client's time was up before the latency objective, or nothing at all was answered
                // meanwhile: too slow, or drowned. Against hurried clients, and against many hosts that each
                // send one attempt a time-out and so keep a full queue full. Else it may have got lost, and
                // others arrive.
                let too_slow = if took < latency_objective { hurried } else { silent };
                if too_slow {
                    self.cut(now, took, CAP_CUT);
                }
            }
            Outcome::Error | Outcome::Refused | Outcome::Reset => {
                self.bad += 1.0;
                // A quick error shows that the node has room for another try, as an answer does: against
                // nodes that fail by chance. Hurts where errors are quick because a node is overrun.
                if o == Outcome::Error && took < CAP_TARGET * latency_objective {
                    self.credit = (self.credit + CREDIT_ERROR).min(MAX_CREDIT);
                }
            }
            Outcome::Full => self.cut(now, took, CAP_CUT),
            Outcome::Cancelled | Outcome::Skipped => {}
        }
        self.halve(HEALTH_HALVE);
    }

    /// At most one cut for what was out at once.
    fn cut(&mut self, now: Instant, took: f64, to: f64) {
        if (now - self.cut_at).secs() > took {
            self.cap = (self.cap * to.clamp(CAP_CUT, MIN_CAP_CUT)).max(self.least);
            self.cut_at = now;
        }
    }

    /// Whether a place is free for this; if not, when, unless only an answer can free one. Hosts that each
    /// keep one out can still fill a node: a cap below one rests between requests.
    fn room(
        &self,
        now: Instant,
        (rank, tight): (usize, f64),
        conforming: bool,
        mean_units: f64,
    ) -> Result<(), Option<Instant>> {
        let cap = self.cap * self.weight * if conforming { 1.0 } else { EXCESS_PART };
        // What a node reports is common to all hosts; what each has out there is not, once they are many.
        let cap = cap / (self.waiting / if conforming { WAITING } else { WAITING_EXCESS }).max(1.0);
        let cap = if self.held_sick() { cap.min(1.0) } else { cap };
        // Ranking holds within a host; where nodes are shared by many, looser streams rest longer at each.
        let cap = if cap < 1.0 { cap * tight } else { cap };
        let above: usize = self.out_rank[..rank].iter().sum();
        let at_or_below = self.out - above;
        let free = self.out == 0
            || (self.out as f64) < cap.floor()
                && self.out_units < cap * mean_units
                && (above == 0 || (at_or_below as f64) < (cap * LOWER_PART).max(1.0));
        let rest = if cap < 1.0 { (self.took / cap).min(MAX_REST / self.least.sqrt()) } else { 0.0 };
        let rested = self.sent_at + TimeDelta::from_secs(rest);
        (free && rested <= now).then_some(()).ok_or(free.then_some(rested))
    }

    fn held_sick(&self) -> bool {
        self.sick && !self.pinned
    }

    fn usual(&self, class: TrafficClassId) -> TimeDelta {
        TimeDelta::from_secs(self.latency[class.0 as usize].at(0.5).unwrap_or(0.0).min(self.took))
    }
}

/// Decisions.
impl Scheduler {
    pub fn poll_decision(&mut self, now: Instant) -> Option<Decision> {
        self.now = now;
        while self.timers.peek().is_some_and(|Reverse((t, _))| *t <= now) {
            let Some(Reverse((_, timer))) = self.timers.pop() else { break };
            match timer {
                Timer::Deadline(id) if self.requests.get(&id).is_some_and(|x| !x.started) => {
                    self.answer(id, None)
                }
                Timer::Look(s) => _ = self.due.insert(s),
                Timer::Rested(k) if self.turns.get(&k).is_some_and(|t| t.is_idle(now)) => {
                    self.turns.remove(&k);
                }
                Timer::List if !self.asked => {
                    self.asked = true;
                    self.decided.push_back(Decision::FollowList);
                }
                Timer::Deadline(_) | Timer::Rested(_) | Timer::List => {}
            }
        }
        loop {
            if let Some(d) = self.decided.pop_front() {
                return Some(d);
            }
            let shard = *self.due.first()?;
            match self.pick(shard) {
                Some((id, node, conforming)) => return Some(self.send(shard, id, node, conforming)),
                None => _ = self.due.remove(&shard),
            }
        }
    }

    /// The request that leaves next for this shard, if any may leave now.
    fn pick(&mut self, shard: ShardId) -> Option<(RequestId, NodeId, bool)> {
        let now = self.now;
        let sh = self.shards.get(&shard)?;
        let node = sh.nodes.iter().rev().find(|n| self.nodes[n].state == NodeState::Ready).copied();
        let mut look: Option<Instant> = None;
        let mut best: Option<((usize, bool, f64), RequestId, bool)> = None;
        let names: Vec<Queue> = sh.queues.keys().copied().collect();
        for name in names {
            let Some(head) = self.first_in_time(shard, name, node) else { continue };
            let Some(node) = node else { continue };
            let x = &self.requests[&head];
            let plan = &self.plans[x.plan.0 as usize];
            let conforming = self.volumes.get_mut(&x.volume).is_some_and(|v| {
                let part = plan.reserve * Self::part(v, now);
                plan.reserve > 0.0
                    && v.reserve.wait(now, part, part * RESERVE_BURST + x.units, x.units) == TimeDelta::ZERO
            });
            // A conforming request whose latency objective draws near is by then as tight as the tightest.
            let urgent = conforming && x.objective_at - now <= self.tightest;
            let st = &self.classes[x.class.0 as usize];
            let (rank, tight) = if urgent { (0, 1.0) } else { (st.rank, st.tight) };
            let volume = x.volume;
            let room = self.nodes[&node].room(now, (rank, tight), conforming, self.mean_units);
            if let Err(t) = room.and_then(|()| self.may_leave(head, node).map_err(Some)) {
                look = look.into_iter().chain(t).min();
                continue;
            }
            let score = (rank, !conforming, self.shards[&shard].start(volume));
            if best.is_none_or(|b| score < b.0) {
                best = Some((score, head, conforming));
            }
        }
        if best.is_none() {
            best = self.late_one(shard, node).map(|id| ((0, true, 0.0), id, false));
        }
        if let Some(t) = look.filter(|_| best.is_none()) {
            self.timers.push(Reverse((t.max(now + TimeDelta::from_secs(1e-3)), Timer::Look(shard))));
        }
        best.and_then(|(_, id, conforming)| node.map(|n| (id, n, conforming)))
    }

    /// First of a queue that can still be in time; those that can't are set aside on the way.
    fn first_in_time(&mut self, shard: ShardId, name: Queue, node: Option<NodeId>) -> Option<RequestId> {
        loop {
            let id = self.shards.get_mut(&shard)?.head(name, |id| waits_at(&self.requests, id, shard))?;
            let x = &self.requests[&id];
            let never = !self.is_retry_safe(x, None) || self.is_over_part(x);
            let queue = self.shards.get_mut(&shard)?.queues.get_mut(&name)?;
            // A new object that waits for a node which can't take it finds another.
            if node.is_none() && x.any_node && x.ran.is_none() && self.now < x.objective_at {
                queue.pop_front();
                self.enqueue(id, true);
                continue;
            }
            let nd = node.and_then(|n| self.nodes.get(&n));
            let usual = nd.map_or(TimeDelta::ZERO, |n| n.usual(name.1));
            if self.now + usual < x.objective_at.min(x.deadline) && !never {
                // What a guard of its own holds (a pause, its key's turn) must not hold those behind it.
                let queue = self.shards.get(&shard)?.queues.get(&name)?;
                let open = |q: &&RequestId| {
                    let x = self.requests.get(q).filter(|x| x.waiting && x.hold <= self.now);
                    x.is_some_and(|x| self.turn_wait(**q, x).is_none())
                };
                let best = queue.iter().take(QUEUE_LOOK).find(open);
                return Some(best.copied().unwrap_or(id));
            }
            queue.pop_front();
            let limited = self.plans[x.plan.0 as usize].limit > 0.0;
            let late = &mut self.shards.get_mut(&shard)?.late;
            let cap = nd.map_or(0.0, |n| n.cap);
            if never {
                // Against one that can't leave any more, held till it is late with all behind it.
                self.answer(id, Some(self.longest_wait));
            } else if limited || (late.len() as f64) >= cap {
                self.answer(id, Some(usual + usual));
            } else {
                late.push_back(id);
            }
        }
    }

    /// A late request earns little: it leaves only when nothing in time can.
    fn late_one(&mut self, shard: ShardId, node: Option<NodeId>) -> Option<RequestId> {
        let n = node?;
        let sh = self.shards.get_mut(&shard)?;
        while sh.late.pop_front_if(|id| !waits_at(&self.requests, *id, shard)).is_some() {}
        let id = *sh.late.front()?;
        let none_in_time = sh.queues.is_empty();
        let rank = self.classes[self.requests[&id].class.0 as usize].rank;
        let room = self.nodes[&n].room(self.now, (rank, LOWER_PART), false, self.mean_units);
        let idle = none_in_time && room.is_ok();
        Some(id).filter(|_| idle && self.may_leave(id, n).is_ok())
    }

    /// Whether the guards let this request leave for this node now; if not, when to look again.
    fn may_leave(&mut self, id: RequestId, node: NodeId) -> Result<(), Instant> {
        let now = self.now;
        let later = now + TimeDelta::from_secs(BLOCKED_CHECK);
        let (x, n) = (&self.requests[&id], &self.nodes[&node]);
        if x.hold > now {
            return Err(x.hold);
        }
        // Rule 2: an idempotent-by-key request that may have run stays in its group and window.
        if !self.is_retry_safe(x, Some(node)) {
            return Err(x.deadline);
        }
        // A sick node (errors, silence, refusals alike) gets a trickle, which finds its recovery.
        let trickle = n.sent_at + TimeDelta::from_secs(TRICKLE);
        if n.held_sick() && trickle > now {
            return Err(trickle);
        }
        // Rule 6, and the house's credit: retries must be earned by the node's answers.
        if x.attempts > 0 && (n.credit < 1.0 || !self.budget_allows(now)) {
            return Err(later);
        }
        if let Some(t) = self.turn_wait(id, x) {
            return Err(t.max(later));
        }
        if self.is_over_part(x) {
            return Err(x.deadline);
        }
        let plan = &self.plans[x.plan.0 as usize];
        if plan.limit > 0.0 && !x.drew {
            if let Some(v) = self.volumes.get_mut(&x.volume) {
                let (rate, burst) = (plan.limit * Self::part(v, now), plan.burst / v.hosts);
                let wait = v.limit.wait(now, rate, burst, x.units);
                if wait > TimeDelta::ZERO {
                    return Err(now + wait);
                }
            }
        }
        self.cold_room(node, self.requests[&id].units)
    }

    /// Rule 7: this host's part of a volume's rates. An even slice until answers tell of the volume's service
    /// at other hosts, then a floor and the rest by share. The share falls at once and when idle, and rises
    /// only after longer than the others need to have fallen, so the parts never sum past the whole.
    fn part(v: &mut Volume, now: Instant) -> f64 {
        v.split.tick(now, TimeDelta::from_secs(SPLIT_RISE), TimeDelta::from_secs(SPLIT_IDLE));
        let even = 1.0 / v.hosts;
        let base = v.split.share().map_or(even, |share| SPLIT_FLOOR / v.hosts + (1.0 - SPLIT_FLOOR) * share);
        let (lent, borrowed, until) = v.moved;
        (base - lent).max(0.0) + if now < until { borrowed } else { 0.0 }
    }

    /// More than its host's part of the burst must not pass: every host would overdraw the one store.
    fn is_over_part(&self, x: &Request) -> bool {
        let (p, v) = (&self.plans[x.plan.0 as usize], self.volumes.get(&x.volume));
        p.limit > 0.0 && !x.drew && v.is_some_and(|v| x.units > p.burst / v.hosts)
    }

    /// Rule 7 for a limit that moves. What has drained did so at the old rate, and no change adds to what may
    /// leave at once: against bursts handed out anew by going down and up, and against a volume that is
    /// silenced until an old burst is paid back. What had no limit starts with nothing saved.
    fn refigure(v: &mut Volume, now: Instant, old: &Plan, new: &Plan) {
        let part = Self::part(v, now);
        v.limit.drain(now, old.limit * part);
        v.reserve.drain(now, old.reserve * part);
        let level = v.limit.level + (new.burst - old.burst) / v.hosts;
        let most = new.burst / v.hosts;
        v.limit.level = if old.limit > 0.0 { level.clamp(0.0, most) } else { most };
    }

    /// Rule 5: until when, at least, another request or an unknown outcome keeps the key from this one.
    fn turn_wait(&self, id: RequestId, x: &Request) -> Option<Instant> {
        self.turns.get(&x.turn?)?.wait(id, self.now)
    }

    /// Rule 6. The window is read narrower for what was taken and wider for what was sent.
    fn budget_allows(&self, now: Instant) -> bool {
        let Some(window) = self.budget.window else { return true };
        let (further, taken) = self.budget.count(now, window, TimeDelta::from_secs(SAFE_EDGE));
        further + 1.0 <= self.budget.free + self.budget.share * taken
    }

    /// Rule 4. Units not answered stay under this host's part of the always-safe figure, or one request.
    /// Time frees them at a rate that rises with the slowest warming. What hosts saw a shard do for them sums
    /// to no more than its node can do, so the same part of it at each host needs no agreement.
    fn cold_room(&mut self, node: NodeId, units: f64) -> Result<(), Instant> {
        let (c, now) = (&self.cold, self.now);
        let Some(n) = self.nodes.get_mut(&node) else { return Ok(()) };
        let age = n.up_since.map_or(c.warm, |u| now - u);
        if age >= c.warm {
            return Ok(());
        }
        let warmth = c.from + (1.0 - c.from) * (age.secs() / c.warm.secs()).max(0.0);
        let safe = c.safe / self.hosts * warmth / c.from;
        let seen = self.shards.get(&n.shard).map_or(0.0, |s| s.pace.rate(now, COLD_MEMORY, MIN_COLD_SEEN));
        let rate = COLD_DRAIN * safe / c.window.secs().max(1e-3) + COLD_PART * c.multiple * warmth * seen;
        match n.cold.wait(now, rate, COLD_OUT * safe, units) {
            TimeDelta::ZERO => Ok(()),
            wait => Err(now + wait.min(TimeDelta::from_secs(BLOCKED_CHECK))),
        }
    }

    fn send(&mut self, shard: ShardId, id: RequestId, node: NodeId, conforming: bool) -> Decision {
        let now = self.now;
        let begin_by = self.requests.get(&id).and_then(|x| self.known_until(x));
        let (Some(x), Some(n)) = (self.requests.get_mut(&id), self.nodes.get_mut(&node)) else {
            return Decision::Fail { request: id };
        };
        let st = &self.classes[x.class.0 as usize];
        if let Some(v) = self.volumes.get_mut(&x.volume) {
            if !x.drew {
                v.limit.level += x.units;
            }
            if conforming {
                v.reserve.level += x.units;
            }
        }
        if !conforming {
            let cost = x.units / self.plans[x.plan.0 as usize].weight;
            self.shards.entry(shard).or_default().charge(x.volume, cost);
        }
        if x.attempts > 0 {
            n.credit -= 1.0;
            self.budget.further.push_back(now);
        }
        if let Some(piece) = x.key {
            x.repeats = self.shards.entry(shard).or_default().sent_for(piece, COLD_PIECES);
        }
        let held = (n.out + 1) as f64 >= n.cap * EXCESS_PART;
        x.send(now, node, (n.done, n.out as u64), held);
        n.attempt_started(now, st.rank, x.units);
        if let Some(t) = x.turn.and_then(|k| self.turns.get_mut(&k)) {
            t.holder = Some(id);
            t.out += 1;
        }
        // Where attempts get lost, one out far longer than usual is given up: it must not fill the caps.
        // Against bad links; hurts where cheap requests overtake costly ones. At a crowded node one is given
        // up at its latency objective, so the queue can drop what is late: against drowned nodes; costs what
        // late ones earn.
        let here = &n.latency[x.class.0 as usize];
        let seen = if here.count() >= TIMEOUT_SEEN { here } else { &self.everywhere[x.class.0 as usize] };
        let far = TimeDelta::from_secs(seen.at(TIMEOUT_AT).unwrap_or(0.0) * TIMEOUT_TIMES);
        let again = self.lost.losing && x.attempts < self.max_attempts && seen.count() >= TIMEOUT_SEEN;
        let crowded = (n.cap < 1.0).then_some(st.latency_objective);
        let timeout = if again {
            Some(far.max(TimeDelta::from_secs(st.latency_objective.secs() * MIN_TIMEOUT)))
        } else {
            crowded
        };
        let timeout = timeout.filter(|t| st.effect != Effect::NonIdempotent && now + *t < x.deadline);
        Decision::Send { request: id, node, timeout, begin_by }
    }

    /// Until when a repeat of this idempotent by key request is known for one: its attempt must have begun by
    /// then.
    fn known_until(&self, x: &Request) -> Option<Instant> {
        match self.classes[x.class.0 as usize].effect {
            Effect::IdempotentByKey { window, .. } => {
                Some(x.ran?.1 + window - TimeDelta::from_secs(SAFE_EDGE))
            }
            _ => None,
        }
    }

    /// Whether a retry at `node` (or at any, if none is named) can do no harm.
    fn is_retry_safe(&self, x: &Request, node: Option<NodeId>) -> bool {
        let Some((_, _, first)) = x.ran else { return true };
        match self.classes[x.class.0 as usize].effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::IdempotentByKey { scope, .. } => {
                let same = |n| same_group(scope, self.nodes.get(&n), self.nodes.get(&first));
                node.is_none_or(same) && self.known_until(x).is_some_and(|t| self.now < t)
            }
        }
    }

    /// An attempt ended without success: another where the rules and time allow, else the final answer at
    /// once.
    fn go_on(&mut self, id: RequestId) {
        let Some(x) = self.requests.get(&id) else { return };
        if x.attempts >= self.max_attempts || x.objective_at <= self.now || !self.is_retry_safe(x, None) {
            return self.answer(id, Some(TimeDelta::from_secs(PAUSE)));
        }
        if let Some(x) = self.requests.get_mut(&id) {
            x.hold = self.now + TimeDelta::from_secs(PAUSE);
            x.waiting = true;
        }
        self.enqueue(id, true);
    }

    /// The final answer: rejected where a retry is safe, failed otherwise.
    fn answer(&mut self, id: RequestId, retry_after: Option<TimeDelta>) {
        let Some(x) = self.requests.get(&id).filter(|x| !x.ended) else { return };
        let safe = match self.classes[x.class.0 as usize].effect {
            Effect::Idempotent | Effect::IdempotentByKey { scope: DedupScope::All, .. } => true,
            _ => x.ran.is_none(),
        };
        let wait = retry_after.map(|w| w.min(self.longest_wait)).filter(|w| *w > TimeDelta::ZERO);
        self.decided.push_back(match safe {
            true => Decision::Reject { request: id, retry_after: wait },
            false => Decision::Fail { request: id },
        });
        let ask = (x.volume, x.class, x.key, x.shard.filter(|_| !x.any_node), x.units.to_bits());
        let keep = self.now + TimeDelta::from_secs(REJECTED_MEMORY);
        self.rejected_requests.note(
            ask,
            RejectedRequest {
                objective_at: x.objective_at,
                left: x.deadline + self.margin - x.arrived,
                keep,
            },
        );
        self.finish(id);
    }

    fn enqueue(&mut self, id: RequestId, first: bool) {
        let Some(x) = self.requests.get(&id).filter(|x| x.waiting) else { return };
        let bound = if x.any_node && x.ran.is_none() { None } else { x.shard };
        let Some(shard) = bound.or_else(|| self.rotate()) else { return self.homeless.push(id) };
        let Some(x) = self.requests.get_mut(&id) else { return };
        x.shard = Some(shard);
        self.timers.push(Reverse((x.objective_at.max(self.now), Timer::Look(shard))));
        let queue = self.shards.entry(shard).or_default().queues.entry((x.volume, x.class)).or_default();
        match first {
            true => {
                let ahead = queue.front().and_then(|f| self.requests.get(f)).map_or(f64::MAX, |f| f.tag);
                self.requests.entry(id).and_modify(|x| x.tag = x.tag.min(ahead));
                queue.push_front(id);
            }
            false => queue.push_back(id),
        }
        self.due.insert(shard);
    }

    /// New objects: nodes take turns, weighted by what each was seen to manage (cap over usual time); one not
    /// yet heard from counts like the mean of the others.
    fn rotate(&mut self) -> Option<ShardId> {
        let (now, mean_units) = (self.now, self.mean_units);
        let able = |n: &Node| n.state == NodeState::Ready && !n.held_sick();
        let room = |n: &Node| able(n) && n.room(now, (0, 1.0), false, mean_units).is_ok();
        let any = self.nodes.values().any(room);
        let usual = mean(self.nodes.values().filter(|n| able(n)).filter_map(Node::mean_time));
        let able = self.nodes.values_mut().filter(|n| if any { room(n) } else { able(n) });
        take_turn(able.map(|n| {
            let fresh = n.up_since.is_some_and(|u| now - u < self.cold.warm);
            let managed = if fresh { self.cold.from } else { 1.0 } * n.cap;
            let weight = n.weight * managed / n.mean_time().unwrap_or(usual).max(1e-3);
            (n, weight)
        }))
    }
}
