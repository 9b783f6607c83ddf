//! Detects refactorings and renames that change the scheduler's decisions by mistake. Seeded runs feed some 10,000 inputs
//! of every kind into a `Scheduler`. Every decision and every wake-up time enters a SHA-256 hash, which is compared with
//! a constant. Only numbers are hashed, never `Debug` output, so that renamed types and fields do not change the hash.
//! Events are counted, but not their wording.
//!
//! A change that is meant to alter decisions updates the constants and says why in its commit.

use oorandom::Rand32;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use tackmast::interface::*;
use tackmast::scheduler::Scheduler;

const INPUTS: u32 = 12_000;
const SEEDS: [u64; 4] = [1, 2, 3, 4];
const SHARDS: u32 = 4;
const NODES_PER_SHARD: u32 = 2;
const VOLUMES: u32 = 12;
const KEYS: u32 = 40;
const ZONES: u32 = 2;
const MAX_STEP_US: u32 = 8000;
const NEVER_ENDS_PERMILLE: u32 = 4;
/// Node that answers every attempt with an error from `FAILING_FROM` until `FAILING_UNTIL`.
const FAILING_NODE: NodeId = NodeId(1);
const FAILING_FROM: f64 = 12.0;
const FAILING_UNTIL: f64 = 18.0;

/// Settings that differ between the runs.
struct RunSettings {
    hosts: u32,
    free_retries: f64,
    retries_per_request: f64,
    /// In seconds.
    max_retry_after: f64,
    max_attempts: u32,
}

const FEW_HOSTS: RunSettings = RunSettings {
    hosts: 2,
    free_retries: 20.0,
    retries_per_request: 0.2,
    max_retry_after: 1.0,
    max_attempts: 4,
};
const MANY_HOSTS: RunSettings = RunSettings {
    hosts: 24,
    free_retries: 20.0,
    retries_per_request: 0.2,
    max_retry_after: 1.0,
    max_attempts: 4,
};
const TIGHT_RETRIES: RunSettings = RunSettings {
    hosts: 4,
    free_retries: 2.0,
    retries_per_request: 0.01,
    max_retry_after: 0.0,
    max_attempts: 2,
};

/// Hashes decisions and wake-up times.
#[derive(Default)]
struct DecisionHasher(Sha256);

impl DecisionHasher {
    fn kind(&mut self, kind: u8) {
        self.0.update([kind]);
    }

    fn number(&mut self, number: i64) {
        self.0.update(number.to_le_bytes());
    }

    fn seconds(&mut self, seconds: f64) {
        self.number((seconds * 1e6).round() as i64);
    }

    fn optional_seconds(&mut self, seconds: Option<f64>) {
        self.kind(u8::from(seconds.is_some()));
        self.seconds(seconds.unwrap_or(0.0));
    }

    fn decision(&mut self, decision: &Decision) {
        match decision {
            Decision::Send { request, node, timeout, begin_by } => {
                self.kind(1);
                self.number(i64::from(request.0));
                self.number(i64::from(node.0));
                self.optional_seconds(timeout.map(TimeDelta::secs));
                self.optional_seconds(begin_by.map(Instant::secs));
            }
            Decision::Reject { request, retry_after, reason: _ } => {
                self.kind(2);
                self.number(i64::from(request.0));
                self.optional_seconds(retry_after.map(TimeDelta::secs));
            }
            Decision::Fail { request, reason: _ } => {
                self.kind(3);
                self.number(i64::from(request.0));
            }
            Decision::WatchEndpointList => self.kind(4),
            Decision::Event(_) => self.kind(5),
        }
    }

    fn hex(self) -> String {
        self.0.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

/// How often each thing happened, to detect a run that exercises too little.
#[derive(Debug, Default)]
struct Counts {
    arrivals: u32,
    sends: u32,
    retries: u32,
    rejected: u32,
    rejected_with_retry_after: u32,
    failed: u32,
    timeouts: u32,
    sends_with_timeout: u32,
    sends_with_begin_by: u32,
    list_calls: u32,
    events: u32,
    never_ended: u32,
}

/// An attempt whose end is scheduled.
#[derive(Clone, Copy)]
struct PendingAttempt {
    request: RequestId,
    number: AttemptNumber,
    outcome: Outcome,
    sent_at: Instant,
}

/// One seeded run of a scheduler, with what the inputs depend on.
struct Run {
    scheduler: Scheduler,
    settings: &'static RunSettings,
    random: Rand32,
    now: Instant,
    hasher: DecisionHasher,
    counts: Counts,
    inputs: u32,
    /// Number of requests submitted, which is also the next request's id.
    requests: u32,
    open_requests: BTreeSet<u32>,
    /// Number of attempts of each request.
    attempts: BTreeMap<u32, u32>,
    /// By end time in microseconds, then by order of sending.
    pending: BTreeMap<(i64, u32), PendingAttempt>,
    states: Vec<NodeState>,
    up_since: Vec<Option<Instant>>,
    plan_count: u32,
}

fn seconds(seconds: f64) -> TimeDelta {
    TimeDelta::from_secs(seconds)
}

fn micros(time: Instant) -> i64 {
    (time.secs() * 1e6).round() as i64
}

/// Returns a plan; `limit` and `reserve` are in units a second, `burst` and `slack` in units.
fn plan(limit: f64, burst: f64, slack: f64, reserve: f64, weight: f64) -> Plan {
    Plan { limit, burst, slack, reserve, weight }
}

/// Returns a scheduler with plans, traffic classes and all settings.
fn configured_scheduler(settings: &RunSettings, now: Instant, seed: u64) -> Scheduler {
    let mut scheduler = Scheduler::new(now, seed, settings.hosts, seconds(0.001), 2.0);
    scheduler.add_plan(plan(0.0, 0.0, 0.0, 0.0, 1.0));
    scheduler.add_plan(plan(600.0, 120.0, 16.0, 0.0, 1.0));
    scheduler.add_plan(plan(900.0, 300.0, 30.0, 300.0, 2.0));
    scheduler.add_plan(plan(0.0, 0.0, 0.0, 200.0, 3.0));
    let idempotent_by_key = |scope, window| Effect::IdempotentByKey { scope, window: seconds(window) };
    scheduler.add_traffic_class(seconds(0.1), Effect::Idempotent, false);
    scheduler.add_traffic_class(seconds(0.2), idempotent_by_key(DedupScope::All, 0.3), false);
    scheduler.add_traffic_class(seconds(0.3), idempotent_by_key(DedupScope::Zone, 0.2), true);
    scheduler.add_traffic_class(seconds(0.5), idempotent_by_key(DedupScope::Shard, 0.4), true);
    scheduler.add_traffic_class(seconds(0.2), Effect::NonIdempotent, true);
    scheduler.add_traffic_class(seconds(1.0), Effect::Idempotent, false);
    scheduler.set_attempt_limits(settings.max_attempts, seconds(settings.max_retry_after), seconds(0.15));
    scheduler.set_retry_budget(settings.free_retries, settings.retries_per_request, seconds(1.0));
    scheduler.set_slow_start(SlowStartSettings {
        safe_units: 200.0,
        initial_capacity: 0.2,
        duration: seconds(1.5),
        window: seconds(0.5),
        overload_multiple: 2.0,
    });
    scheduler.set_cache_savings(0.5);
    scheduler.watch_endpoint_list();
    scheduler
}

impl Run {
    /// Creates a run with one service rate restored and a complete list of ready nodes.
    fn new(settings: &'static RunSettings, seed: u64) -> Run {
        let now = Instant::from_secs(10.0);
        let nodes = (SHARDS * NODES_PER_SHARD) as usize;
        let mut run = Run {
            scheduler: configured_scheduler(settings, now, seed),
            settings,
            random: Rand32::new(seed),
            now,
            hasher: DecisionHasher::default(),
            counts: Counts::default(),
            inputs: 0,
            requests: 0,
            open_requests: BTreeSet::new(),
            attempts: BTreeMap::new(),
            pending: BTreeMap::new(),
            states: vec![NodeState::Ready; nodes],
            up_since: vec![None; nodes],
            plan_count: 4,
        };
        run.scheduler.service_rate_restored(now, ShardId(0), 50.0);
        run.poll_decisions();
        run.send_list(ListKind::Complete, 0..SHARDS * NODES_PER_SHARD);
        run.poll_decisions();
        run
    }

    /// Returns a random number from 0 to `bound - 1`.
    fn below(&mut self, bound: u32) -> u32 {
        self.random.rand_range(0..bound)
    }

    /// Returns a random number from 0 to 1, without 1.
    fn fraction(&mut self) -> f64 {
        f64::from(self.random.rand_float())
    }

    /// Runs until `INPUTS` inputs have been given and the pending attempts have ended. Returns the hash and the counts.
    fn finish(mut self) -> (String, Counts) {
        while self.inputs < INPUTS {
            let step = f64::from(self.below(MAX_STEP_US)) * 1e-6;
            self.advance(seconds(step));
            self.give_random_input();
            self.poll_decisions();
        }
        self.advance(seconds(5.0));
        for (shard, rate) in self.scheduler.service_rates(self.now) {
            self.hasher.number(i64::from(shard.0));
            self.hasher.seconds(rate);
        }
        let scheduler = &self.scheduler;
        let table_sizes = [scheduler.node_count(), scheduler.volume_count(), scheduler.key_queue_count()];
        table_sizes.iter().for_each(|count| self.hasher.number(*count as i64));
        (self.hasher.hex(), self.counts)
    }

    /// Advances the time, with the ends of attempts and the wake-ups that are due until then.
    fn advance(&mut self, time: TimeDelta) {
        let until = self.now + time;
        loop {
            let end = self.pending.keys().next().map(|(at, _)| Instant::from_secs(*at as f64 / 1e6));
            let wake = self.scheduler.poll_timeout();
            let Some(next) = end.into_iter().chain(wake).min().filter(|next| *next <= until) else { break };
            self.now = self.now.max(next);
            if end.is_some_and(|end| end <= self.now) {
                self.end_attempt();
            }
            self.poll_decisions();
        }
        self.now = until;
        self.poll_decisions();
    }

    /// Reports the end of the pending attempt that ends first.
    fn end_attempt(&mut self) {
        let Some((_, attempt)) = self.pending.pop_first() else { return };
        let latency = self.now - attempt.sent_at;
        let is_done = attempt.outcome == Outcome::Done;
        let (is_reported, other_units) = (self.below(3) > 0, 4.0 * self.fraction());
        if is_reported {
            self.scheduler.service_reported(self.now, attempt.request, is_done, other_units);
        }
        let is_over = self.below(100) == 0;
        let end = AttemptEnd {
            request: attempt.request,
            number: attempt.number,
            outcome: attempt.outcome,
            latency,
            request_is_over: is_over,
        };
        self.scheduler.attempt_ended(self.now, end);
        if is_done || is_over {
            self.open_requests.remove(&attempt.request.0);
        }
        self.counts.timeouts += u32::from(attempt.outcome == Outcome::TimedOut);
        self.inputs += 1;
    }

    /// Polls and hashes all decisions that are due, and the next wake-up time.
    fn poll_decisions(&mut self) {
        while let Some(decision) = self.scheduler.poll_decision(self.now) {
            self.hasher.decision(&decision);
            self.on_decision(decision);
        }
        let wake = self.scheduler.poll_timeout();
        self.hasher.optional_seconds(wake.map(Instant::secs));
    }

    fn on_decision(&mut self, decision: Decision) {
        match decision {
            Decision::Send { request, node, timeout, begin_by } => {
                self.counts.sends_with_timeout += u32::from(timeout.is_some());
                self.counts.sends_with_begin_by += u32::from(begin_by.is_some());
                self.start_attempt(request, node, timeout);
            }
            Decision::Reject { request, retry_after, reason: _ } => {
                self.open_requests.remove(&request.0);
                self.counts.rejected += 1;
                self.counts.rejected_with_retry_after += u32::from(retry_after.is_some());
            }
            Decision::Fail { request, reason: _ } => {
                self.open_requests.remove(&request.0);
                self.counts.failed += 1;
            }
            Decision::WatchEndpointList => self.counts.list_calls += 1,
            Decision::Event(_) => self.counts.events += 1,
        }
    }

    /// Chooses the outcome and the latency of an attempt, and schedules its end.
    fn start_attempt(&mut self, request: RequestId, node: NodeId, timeout: Option<TimeDelta>) {
        let number = self.attempts.entry(request.0).or_insert(0);
        let attempt_number = AttemptNumber(*number);
        *number += 1;
        self.counts.sends += 1;
        self.counts.retries += u32::from(attempt_number.0 > 0);
        if self.below(1000) < NEVER_ENDS_PERMILLE {
            self.counts.never_ended += 1;
            return;
        }
        let mut outcome = self.random_outcome();
        if node == FAILING_NODE && (FAILING_FROM..FAILING_UNTIL).contains(&self.now.secs()) {
            outcome = Outcome::Error;
        }
        let mut latency = match self.below(40) {
            0 => 0.3 + 1.5 * self.fraction(),
            1..=2 => 0.05 + 0.2 * self.fraction(),
            _ => 0.002 + 0.02 * self.fraction(),
        };
        if let Some(timeout) = timeout.filter(|timeout| timeout.secs() < latency) {
            (outcome, latency) = (Outcome::TimedOut, timeout.secs());
        }
        let end = micros(self.now + seconds(latency));
        let attempt = PendingAttempt { request, number: attempt_number, outcome, sent_at: self.now };
        self.pending.insert((end, self.counts.sends), attempt);
    }

    fn random_outcome(&mut self) -> Outcome {
        match self.below(100) {
            0..=3 => Outcome::Error,
            4 => Outcome::Full,
            5 => Outcome::TimedOut,
            6..=7 => Outcome::Refused,
            8..=9 => Outcome::Reset,
            10..=11 => Outcome::Cancelled,
            12..=13 => Outcome::Skipped,
            _ => Outcome::Done,
        }
    }

    /// Gives the scheduler an input of a random kind.
    fn give_random_input(&mut self) {
        self.inputs += 1;
        match self.below(100) {
            0..=74 => self.submit_request(),
            75..=79 => self.report_load(),
            80..=82 => self.change_node(),
            83..=84 => self.change_quota_leases(),
            85 => self.change_plan(),
            86..=87 => self.change_volume_plan(),
            88..=89 => self.override_node(),
            90 => self.send_random_list(),
            91 => self.restore_service_rate(),
            92 => self.change_alive_hosts(),
            93..=95 => self.start_response(),
            _ => self.cancel_request(),
        }
    }

    fn submit_request(&mut self) {
        let id = RequestId(self.requests);
        self.requests += 1;
        self.counts.arrivals += 1;
        let class = TrafficClassId(self.below(6));
        let volume = self.below(VOLUMES);
        let plan = PlanId(volume % self.plan_count);
        let key = (self.below(4) > 0).then_some(KeyId(self.below(KEYS)));
        let time_left = seconds(if self.below(8) == 0 { 0.05 } else { 0.3 + 1.5 * self.fraction() });
        let units = f64::from(1 + self.below(4));
        let shard = (self.below(10) > 0).then_some(ShardId(self.below(SHARDS)));
        let hosts = self.settings.hosts;
        let volume = VolumeId(volume);
        let request = NewRequest { id, class, plan, key, time_left, volume, units, shard, hosts };
        self.scheduler.request_arrived(self.now, request);
        self.open_requests.insert(id.0);
        if self.below(2) == 0 {
            let tag = f64::from(self.below(20));
            self.scheduler.request_tagged(id, tag);
        }
    }

    fn report_load(&mut self) {
        let node = NodeId(self.below(SHARDS * NODES_PER_SHARD));
        let waiting = f64::from(self.below(8));
        self.scheduler.load_reported(self.now, node, waiting);
    }

    /// Returns the endpoint list's entry of a node.
    fn entry(&self, node: u32) -> NodeEntry {
        NodeEntry {
            node: NodeId(node),
            state: self.states[node as usize],
            zone: ZoneId(node % ZONES),
            shard: ShardId(node / NODES_PER_SHARD),
            up_since: self.up_since[node as usize],
        }
    }

    fn send_list(&mut self, kind: ListKind, nodes: impl Iterator<Item = u32>) {
        let entries: Vec<NodeEntry> = nodes.map(|node| self.entry(node)).collect();
        self.scheduler.nodes_changed(self.now, kind, &entries);
    }

    /// Reports that a node is ready, drains, or is gone, and sometimes that it has restarted.
    fn change_node(&mut self) {
        let node = self.below(SHARDS * NODES_PER_SHARD);
        let state = match self.below(8) {
            0 => NodeState::Draining,
            1 => NodeState::Gone,
            _ => NodeState::Ready,
        };
        self.states[node as usize] = state;
        if self.below(12) == 0 {
            self.up_since[node as usize] = Some(self.now - seconds(2.0 * self.fraction()));
        }
        self.send_list(ListKind::Changes, std::iter::once(node));
    }

    /// Reports a failed call for the list, a saved list, a complete list without one node, or a complete list.
    fn send_random_list(&mut self) {
        let all = 0..SHARDS * NODES_PER_SHARD;
        match self.below(4) {
            0 => self.send_list(ListKind::Failed, 0..0),
            1 => self.send_list(ListKind::Saved, all),
            2 => self.send_list(ListKind::Complete, all.skip(1)),
            _ => self.send_list(ListKind::Complete, all),
        }
    }

    fn change_quota_leases(&mut self) {
        let volume = self.below(VOLUMES);
        let plan = PlanId(volume % self.plan_count);
        let even_share = 1.0 / f64::from(self.settings.hosts);
        let (lent, borrowed) = (even_share * self.fraction() * 0.5, even_share * self.fraction());
        let until = self.now + seconds(self.fraction());
        let hosts = self.settings.hosts;
        let leases = QuotaLeases { lent, borrowed, until };
        let change = LeaseChange { volume: VolumeId(volume), plan, hosts, leases };
        self.scheduler.quota_leases_changed(self.now, change);
    }

    /// Changes a plan other than the first, or adds one.
    fn change_plan(&mut self) {
        let is_new = self.plan_count < 8 && self.below(6) == 0;
        let id = if is_new { self.plan_count } else { 1 + self.below(self.plan_count - 1) };
        self.plan_count += u32::from(is_new);
        let plan = Plan {
            limit: if self.below(4) == 0 { 0.0 } else { 400.0 + 600.0 * self.fraction() },
            burst: 120.0 + 200.0 * self.fraction(),
            slack: 10.0,
            reserve: if self.below(2) == 0 { 0.0 } else { 200.0 },
            weight: 1.0 + self.fraction(),
        };
        self.scheduler.plan_changed(self.now, PlanId(id), plan);
    }

    fn change_volume_plan(&mut self) {
        let (volume, plan) = (VolumeId(self.below(VOLUMES)), PlanId(self.below(self.plan_count)));
        self.scheduler.volume_plan_changed(self.now, volume, plan);
    }

    fn override_node(&mut self) {
        let node = NodeId(self.below(SHARDS * NODES_PER_SHARD));
        let weight = if self.below(2) == 0 { 1.0 } else { self.fraction() };
        let is_pinned = self.below(3) == 0;
        self.scheduler.node_overridden(self.now, node, weight, is_pinned);
    }

    fn restore_service_rate(&mut self) {
        let (shard, rate) = (ShardId(self.below(SHARDS)), 100.0 * self.fraction());
        self.scheduler.service_rate_restored(self.now, shard, rate);
    }

    fn change_alive_hosts(&mut self) {
        let hosts = 1 + self.below(self.settings.hosts);
        self.scheduler.alive_hosts_changed(hosts);
    }

    /// Returns a random request that is not over, if there is one.
    fn random_open_request(&mut self) -> Option<RequestId> {
        let count = self.open_requests.len() as u32;
        let chosen = if count == 0 { return None } else { self.below(count) };
        self.open_requests.iter().nth(chosen as usize).map(|id| RequestId(*id))
    }

    fn start_response(&mut self) {
        if let Some(id) = self.random_open_request() {
            self.scheduler.response_started(self.now, id);
        }
    }

    fn cancel_request(&mut self) {
        if let Some(id) = self.random_open_request() {
            self.scheduler.request_cancelled(self.now, id);
            self.open_requests.remove(&id.0);
        }
    }
}

/// Checks that each thing happened often enough in a run.
fn assert_not_trivial(counts: &Counts) {
    let required = [
        ("arrivals", counts.arrivals, 6000),
        ("sends", counts.sends, 1200),
        ("retries", counts.retries, 75),
        ("rejected", counts.rejected, 2400),
        ("failed", counts.failed, 36),
        ("timeouts", counts.timeouts, 12),
        ("sends with a timeout", counts.sends_with_timeout, 24),
        ("sends with a time to begin by", counts.sends_with_begin_by, 24),
        ("calls for the node list", counts.list_calls, 10),
        ("events", counts.events, 48),
        ("attempts that never end", counts.never_ended, 6),
    ];
    for (what, count, min) in required {
        assert!(count >= min, "{what}: {count}, fewer than {min}: {counts:?}");
    }
}

/// Checks the hash of a run with each of `SEEDS`.
fn check(settings: &'static RunSettings, expected: [&str; SEEDS.len()]) {
    let mut hashes = Vec::new();
    for seed in SEEDS {
        let (hash, counts) = Run::new(settings, seed).finish();
        assert_not_trivial(&counts);
        assert_eq!(counts.rejected_with_retry_after > 0, settings.max_retry_after > 0.0);
        hashes.push(hash);
    }
    assert_eq!(hashes, expected);
}

/// Decisions with a few hosts must not change by mistake.
#[test]
fn few_hosts_decide_as_before() {
    check(
        &FEW_HOSTS,
        [
            "24134009d8d87b35d2078b11dda1f30ad6f6eefb564a6992189eea04376f894d",
            "b4dc73865c62932f33950f2ac35de6d8993bb530bde15009b5b79595c06ff344",
            "b081d1209c6d61d98dbb4b6a299d9f65ee511b3ddd9eeca74812263b978d7517",
            "b46ff5aa7b817bea6ddb6c62f08211f92299c123e7ea57e1bfd48f2dbc614ae4",
        ],
    );
}

/// Decisions with many hosts, where concurrency limits are below one attempt, must not change by mistake.
#[test]
fn many_hosts_decide_as_before() {
    check(
        &MANY_HOSTS,
        [
            "edd6b834bb5d7b05b0be7ecb5135cb29a3309d2b8d953af5b3e84defa7628cc1",
            "46cb04dbba56112d1c28b474c130ab944e2cf17b2137e45c70a72fa11ac242de",
            "005399bb2e1ee7ca1d841e247c9a84ac8a39ed780b68a95a11ee6c4ac7453e48",
            "8239aae904b95cd1195e8ccf50d9b02bff53acc7ce930ef060a2dbb783f383ea",
        ],
    );
}

/// Decisions with hardly any retries must not change by mistake.
#[test]
fn tight_retry_budget_decides_as_before() {
    check(
        &TIGHT_RETRIES,
        [
            "afd5ed6a323e31761a207d0661a820459a8cbfd8742add5c405713afc8f5d966",
            "21c3d309b06a087864d87cdc02fb6f3eb9d39491e39099bbc52a0128a0b3f626",
            "e0966196cfc85ffb88c8b91c5431cc0a319d27e8e137d5457532040dc209f4fa",
            "95b8c017497d132daa2ea566413d9df1bd62a373284f449616de72fa8d624a58",
        ],
    );
}

/// Decisions must depend only on the seed and the inputs, and not, for example, on the order of a hash table.
#[test]
fn the_same_seed_gives_the_same_hash_twice() {
    let hash = |seed| Run::new(&FEW_HOSTS, seed).finish().0;
    assert_eq!(hash(SEEDS[0]), hash(SEEDS[0]));
    assert_ne!(hash(SEEDS[0]), hash(SEEDS[1]));
}
