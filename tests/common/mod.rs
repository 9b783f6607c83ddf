//! A host for tests of the scheduler alone: the scheduler, a clock, and helpers that report inputs.
#![allow(dead_code)] // each test file uses only some of the helpers

use tackmast::interface::*;
use tackmast::scheduler::Scheduler;

/// A scheduler, its clock, and the properties that its new requests share.
pub struct TestHost {
    pub scheduler: Scheduler,
    /// The current time, in seconds.
    pub now: f64,
    /// How long the clients of new requests wait, in seconds.
    pub time_left: f64,
    /// Number of hosts through which the requests of each volume come.
    pub volume_hosts: u32,
    next_request: u32,
}

pub fn secs(s: f64) -> TimeDelta {
    TimeDelta::from_secs(s)
}

/// Returns a plan; `limit` and `reserve` are in units a second, `burst` and `slack` in units.
pub fn plan(limit: f64, burst: f64, slack: f64, reserve: f64, weight: f64) -> Plan {
    Plan { limit, burst, slack, reserve, weight }
}

impl TestHost {
    /// Creates a host with two traffic classes: class 0 with a latency objective of 0.5 s, class 1 of 2 s.
    ///
    /// Plan 0 has a limit of 10 units a second with a burst of 40, plan 1 a reservation of 4 units a second. Plans 2 and 3
    /// have neither; plan 2 has weight 3, the others weight 1.
    pub fn new(hosts: u32, effect: Effect, in_order: bool) -> Self {
        TestHost::with_seed(7, hosts, effect, in_order)
    }

    /// Creates the same host with a seed of the caller's choice.
    pub fn with_seed(seed: u64, hosts: u32, effect: Effect, in_order: bool) -> Self {
        let mut scheduler = Scheduler::new(Instant::from_secs(100.0), seed, hosts, secs(0.002), 2.0);
        scheduler.add_traffic_class(secs(0.5), effect, in_order);
        scheduler.add_traffic_class(secs(2.0), effect, in_order);
        scheduler.add_plan(plan(10.0, 40.0, 4.0, 0.0, 1.0));
        scheduler.add_plan(plan(0.0, 0.0, 0.0, 4.0, 1.0));
        scheduler.add_plan(plan(0.0, 0.0, 0.0, 0.0, 3.0));
        scheduler.add_plan(plan(0.0, 0.0, 0.0, 0.0, 1.0));
        scheduler.set_attempt_limits(4, secs(1.0), secs(0.3));
        TestHost { scheduler, now: 100.0, time_left: 3.0, volume_hosts: 2, next_request: 0 }
    }

    /// Returns the current time.
    pub fn instant(&self) -> Instant {
        Instant::from_secs(self.now)
    }

    /// Reports an endpoint list of nodes with their state and start time. A node holds the shard that its number modulo 10
    /// names.
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

    /// Reports a complete list of `nodes` ready nodes that have been up for long.
    pub fn list_ready_nodes(&mut self, nodes: u32) {
        let all: Vec<_> = (0..nodes).map(|n| (n, NodeState::Ready, None)).collect();
        self.send_list(ListKind::Complete, &all);
    }

    /// Submits a request with the host's `time_left`; for a new object if `shard` is negative.
    pub fn submit(
        &mut self,
        traffic_class: u32,
        plan: u32,
        volume: u32,
        units: f64,
        shard: i32,
        key: u32,
    ) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let shard = u32::try_from(shard).ok().map(ShardId);
        let request = NewRequest {
            id,
            class: TrafficClassId(traffic_class),
            plan: PlanId(plan),
            key: Some(KeyId(key)),
            time_left: secs(self.time_left),
            volume: VolumeId(volume),
            units,
            shard,
            hosts: self.volume_hosts,
        };
        self.scheduler.request_arrived(self.instant(), request);
        id
    }

    /// Reports the end of an attempt; its request is over if it was done.
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

    /// Returns the decisions of now, without events.
    pub fn poll(&mut self) -> Vec<Decision> {
        let now = self.instant();
        let all = std::iter::from_fn(|| self.scheduler.poll_decision(now));
        all.filter(|decision| !matches!(decision, Decision::Event(_))).collect()
    }

    /// Returns the attempts that are sent now.
    pub fn poll_sends(&mut self) -> Vec<(RequestId, NodeId)> {
        self.poll().iter().filter_map(as_send).collect()
    }

    /// Returns the attempts that are sent until `end`.
    pub fn run_sends(&mut self, end: f64) -> Vec<(RequestId, NodeId)> {
        self.run_until(end).iter().filter_map(|(_, decision)| as_send(decision)).collect()
    }

    /// Returns the attempts that are sent until `end`, with the times at which they are sent.
    pub fn run_timed_sends(&mut self, end: f64) -> Vec<(f64, RequestId)> {
        let decisions = self.run_until(end).into_iter();
        decisions.filter_map(|(at, decision)| Some((at, as_send(&decision)?.0))).collect()
    }

    /// Returns the decisions until `end` with their times, polling whenever the scheduler asks for it.
    pub fn run_until(&mut self, end: f64) -> Vec<(f64, Decision)> {
        let mut all = Vec::new();
        loop {
            all.extend(self.poll().into_iter().map(|decision| (self.now, decision)));
            match self.scheduler.poll_timeout() {
                Some(t) if t.secs() <= end => self.now = self.now.max(t.secs()) + 1e-6,
                _ => break,
            }
        }
        self.now = end;
        all
    }
}

/// Returns the request and the node of a decision to send; `None` for other decisions.
pub fn as_send(decision: &Decision) -> Option<(RequestId, NodeId)> {
    match decision {
        Decision::Send { request, node, .. } => Some((*request, *node)),
        _ => None,
    }
}
