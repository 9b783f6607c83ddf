//! One host: a scheduler with a clock, for tests of the decision module alone.
#![allow(dead_code)] // each test file uses its own part

use tackmast::interface::*;
use tackmast::scheduler::Scheduler;

/// A scheduler, its clock, and what its next requests have in common.
pub struct TestHost {
    pub scheduler: Scheduler,
    /// Seconds.
    pub now: f64,
    /// How long clients of new requests wait, in seconds.
    pub time_left: f64,
    /// Hosts through which the requests of each volume come.
    pub volume_hosts: u32,
    next: u32,
}

pub fn secs(s: f64) -> TimeDelta {
    TimeDelta::from_secs(s)
}

/// Rates in units a second, and units.
pub fn plan(limit: f64, burst: f64, slack: f64, reserve: f64, weight: f64) -> Plan {
    Plan { limit, burst, slack, reserve, weight }
}

impl TestHost {
    /// Traffic class 0 is tight, 1 loose; plan 0 has a limit of 10 a second and 40 at once, plan 1 a
    /// reservation of 4 and weight 1, plan 2 nothing and weight 3, plan 3 nothing and weight 1.
    pub fn new(hosts: u32, effect: Effect, in_order: bool) -> Self {
        TestHost::of(7, hosts, effect, in_order)
    }

    pub fn of(seed: u64, hosts: u32, effect: Effect, in_order: bool) -> Self {
        let mut scheduler = Scheduler::new(Instant::from_secs(100.0), seed, hosts, secs(0.002), 2.0);
        scheduler.add_traffic_class(secs(0.5), effect, in_order);
        scheduler.add_traffic_class(secs(2.0), effect, in_order);
        scheduler.add_plan(plan(10.0, 40.0, 4.0, 0.0, 1.0));
        scheduler.add_plan(plan(0.0, 0.0, 0.0, 4.0, 1.0));
        scheduler.add_plan(plan(0.0, 0.0, 0.0, 0.0, 3.0));
        scheduler.add_plan(plan(0.0, 0.0, 0.0, 0.0, 1.0));
        scheduler.set_attempt_limits(4, secs(1.0), secs(0.3));
        TestHost { scheduler, now: 100.0, time_left: 3.0, volume_hosts: 2, next: 0 }
    }

    /// The host's time.
    pub fn instant(&self) -> Instant {
        Instant::from_secs(self.now)
    }

    /// Reports an endpoint list: one node a shard, under the shard's number.
    pub fn send_list(&mut self, kind: ListKind, nodes: &[(u32, NodeState, Option<f64>)]) {
        let entry = |&(n, state, up): &(u32, NodeState, Option<f64>)| NodeEntry {
            node: NodeId(n),
            state,
            zone: ZoneId(0),
            shard: ShardId(n % 10),
            up_since: up.map(Instant::from_secs),
        };
        let entries: Vec<_> = nodes.iter().map(entry).collect();
        self.scheduler.nodes_changed(self.instant(), kind, &entries);
    }

    /// Lists so many nodes.
    pub fn list_ready_nodes(&mut self, nodes: u32) {
        let all: Vec<_> = (0..nodes).map(|n| (n, NodeState::Ready, None)).collect();
        self.send_list(ListKind::Complete, &all);
    }

    /// A request with the host's `time_left`; without a shard where `shard` is negative.
    pub fn submit(
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
        let (at, left) = (self.instant(), secs(self.time_left));
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
            hosts: self.volume_hosts,
        };
        self.scheduler.request_arrived(at, request);
        id
    }

    /// An attempt ends; its request is over if it was done.
    pub fn end_attempt(&mut self, id: RequestId, attempt: u32, outcome: Outcome, latency: f64) {
        let end = AttemptEnd {
            request: id,
            number: AttemptNumber(attempt),
            outcome,
            latency: secs(latency),
            request_is_over: outcome == Outcome::Done,
        };
        self.scheduler.attempt_ended(self.instant(), end);
    }

    /// What is decided now, without log lines.
    pub fn poll(&mut self) -> Vec<Decision> {
        let now = self.instant();
        let all = std::iter::from_fn(|| self.scheduler.poll_decision(now));
        all.filter(|decision| !matches!(decision, Decision::Event(_))).collect()
    }

    /// Attempts that are sent now.
    pub fn poll_sends(&mut self) -> Vec<(RequestId, NodeId)> {
        self.poll().iter().filter_map(as_send).collect()
    }

    /// Attempts that are sent until `end`.
    pub fn run_sends(&mut self, end: f64) -> Vec<(RequestId, NodeId)> {
        self.run_until(end).iter().filter_map(|(_, decision)| as_send(decision)).collect()
    }

    /// When attempts are sent until `end`, and of which request.
    pub fn run_timed_sends(&mut self, end: f64) -> Vec<(f64, RequestId)> {
        let decisions = self.run_until(end).into_iter();
        decisions.filter_map(|(at, decision)| Some((at, as_send(&decision)?.0))).collect()
    }

    /// What is decided until `end`, with polls whenever the scheduler asks for them.
    pub fn run_until(&mut self, end: f64) -> Vec<(f64, Decision)> {
        let mut all = Vec::new();
        loop {
            all.extend(self.poll().into_iter().map(|host| (self.now, host)));
            match self.scheduler.poll_timeout() {
                Some(t) if t.secs() <= end => self.now = self.now.max(t.secs()) + 1e-6,
                _ => break,
            }
        }
        self.now = end;
        all
    }
}

pub fn as_send(host: &Decision) -> Option<(RequestId, NodeId)> {
    match host {
        Decision::Send { request, node, .. } => Some((*request, *node)),
        _ => None,
    }
}
