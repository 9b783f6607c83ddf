//! One host at its desk: a scheduler with a clock, for tests of the module alone.
#![allow(dead_code)] // each test file uses its own part

use tackmast::interface::*;
use tackmast::policy::Scheduler;

pub struct Desk {
    pub s: Scheduler,
    pub now: f64,
    pub left: f64,
    pub told: u32, // hosts of each volume
    next: u32,
}

pub fn secs(s: f64) -> TimeDelta {
    TimeDelta::from_secs(s)
}

/// Rates in units a second, and units.
pub fn plan(limit: f64, burst: f64, slack: f64, reserve: f64, weight: f64) -> Plan {
    Plan { limit, burst, slack, reserve, weight }
}

impl Desk {
    /// Stream 0 is tight, 1 loose; plan 0 has a limit of 10 a second and 40 at once, plan 1 a reservation of
    /// 4 and weight 1, plan 2 nothing and weight 3, plan 3 nothing and weight 1.
    pub fn new(hosts: u32, effect: Effect, in_order: bool) -> Self {
        Desk::of(7, hosts, effect, in_order)
    }

    pub fn of(seed: u64, hosts: u32, effect: Effect, in_order: bool) -> Self {
        let mut s = Scheduler::new(Instant::from_secs(100.0), seed, hosts, secs(0.002), 2.0);
        s.add_traffic_class(secs(0.5), effect, in_order);
        s.add_traffic_class(secs(2.0), effect, in_order);
        s.add_plan(plan(10.0, 40.0, 4.0, 0.0, 1.0));
        s.add_plan(plan(0.0, 0.0, 0.0, 4.0, 1.0));
        s.add_plan(plan(0.0, 0.0, 0.0, 0.0, 3.0));
        s.add_plan(plan(0.0, 0.0, 0.0, 0.0, 1.0));
        s.set_attempt_limits(4, secs(1.0), secs(0.3));
        Desk { s, now: 100.0, left: 3.0, told: 2, next: 0 }
    }

    pub fn at(&self) -> Instant {
        Instant::from_secs(self.now)
    }

    /// One node a shard, under the shard's number.
    pub fn list(&mut self, kind: ListKind, nodes: &[(u32, NodeState, Option<f64>)]) {
        let entry = |&(n, state, up): &(u32, NodeState, Option<f64>)| NodeEntry {
            node: NodeId(n),
            state,
            zone: ZoneId(0),
            shard: ShardId(n % 10),
            up_since: up.map(Instant::from_secs),
        };
        let entries: Vec<_> = nodes.iter().map(entry).collect();
        self.s.nodes_changed(self.at(), kind, &entries);
    }

    pub fn ready(&mut self, nodes: u32) {
        let all: Vec<_> = (0..nodes).map(|n| (n, NodeState::Ready, None)).collect();
        self.list(ListKind::Complete, &all);
    }

    pub fn take(
        &mut self,
        traffic_class: u32,
        plan: u32,
        volume: u32,
        units: f64,
        shard: i32,
        key: u32,
    ) -> RequestId {
        let id = RequestId(self.next);
        self.next += 1;
        let (at, left) = (self.at(), secs(self.left));
        let shard = u32::try_from(shard).ok().map(ShardId);
        let request = NewRequest {
            id,
            class: TrafficClassId(traffic_class),
            plan: PlanId(plan),
            key: Some(KeyId(key)),
            time_left: left,
            volume: VolumeId(volume),
            units,
            shard,
            hosts: self.told,
        };
        self.s.request_arrived(at, request);
        id
    }

    pub fn end(&mut self, id: RequestId, attempt: u32, outcome: Outcome, took: f64) {
        let end = AttemptEnd {
            request: id,
            number: AttemptNumber(attempt),
            outcome,
            latency: secs(took),
            is_over: outcome == Outcome::Done,
        };
        self.s.attempt_ended(self.at(), end);
    }

    /// What is decided now, without log lines.
    pub fn pull(&mut self) -> Vec<Decision> {
        let now = self.at();
        let all = std::iter::from_fn(|| self.s.poll_decision(now));
        all.filter(|d| !matches!(d, Decision::Log(_))).collect()
    }

    /// What is decided until `end`, at the wake times that the module asks for.
    pub fn until(&mut self, end: f64) -> Vec<(f64, Decision)> {
        let mut all = Vec::new();
        loop {
            all.extend(self.pull().into_iter().map(|d| (self.now, d)));
            match self.s.poll_timeout() {
                Some(t) if t.secs() <= end => self.now = self.now.max(t.secs()) + 1e-6,
                _ => break,
            }
        }
        self.now = end;
        all
    }
}

pub fn sent(d: &Decision) -> Option<(RequestId, NodeId)> {
    match d {
        Decision::Send { request, node, .. } => Some((*request, *node)),
        _ => None,
    }
}
