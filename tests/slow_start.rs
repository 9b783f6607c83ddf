//! Rule 4 for a fleet of schedulers in virtual time: the number of attempts that all of them together send to a node in
//! slow start.

mod common;

use common::*;
use std::collections::{HashMap, VecDeque};
use tackmast::interface::*;

/// Mean cost of a request, in units.
const MEAN_UNITS: f64 = 2.0;
/// Fraction of its warm capacity that the node starts with.
const INITIAL_CAPACITY: f64 = 0.17;
/// Seconds that the node takes to warm up.
const WARM_UP_TIME: f64 = 17.0;
/// Window in which attempts are counted, in seconds.
const WINDOW: f64 = 3.0;
/// Step of virtual time, in seconds.
const STEP: f64 = 0.005;
/// The highest load that the node can take, as a multiple of its current capacity.
const OVERLOAD_MULTIPLE: f64 = 2.0;
/// Latency reported with an attempt that timed out, in seconds.
const TIMEOUT_LATENCY: f64 = 3.0;
/// Latency reported with a successful answer, in seconds.
const ANSWER_LATENCY: f64 = 0.1;
/// Latency reported with an error, in seconds.
const ERROR_LATENCY: f64 = 0.002;
/// Latency reported with an attempt that the node's restart ended, in seconds.
const RESET_LATENCY: f64 = 0.1;

/// How the node behaves after its restart.
#[derive(Clone, Copy, Debug, PartialEq)]
enum NodeBehavior {
    /// Answers in order of arrival, as fast as its current capacity allows.
    Serves,
    /// Never answers.
    Hangs,
    /// Answers each request with an error at once.
    Errors,
}

/// A combination of load, restarts and node behavior.
#[derive(Clone, Copy, Debug)]
struct Case {
    hosts: u32,
    /// Number of hosts that the settings of each host name.
    configured_hosts: u32,
    node: NodeBehavior,
    /// Every fifth host gets six times the load of the others.
    is_unequal: bool,
    /// Seconds for which the node was warm and busy before its restart, so that hosts have a service rate for it.
    warm_before: f64,
    /// How many of each ten hosts restart together with the node. Half of these get their service rates restored.
    restarted_hosts: u32,
    /// Units requested, as a multiple of the warm node's capacity.
    load: f64,
    /// Units within the window that the node can always take.
    safe_units: f64,
    /// The node's warm capacity. At 1, the restarted node can just take `safe_units` in a window; other values are
    /// multiples of that capacity.
    capacity_multiple: f64,
}

/// An attempt in flight at the node.
#[derive(Clone, Copy)]
struct InFlight {
    host: usize,
    request: RequestId,
    attempt: u32,
    units: f64,
    /// When the host gives the attempt up.
    gives_up_at: f64,
}

/// A request that was submitted.
struct Submitted {
    attempts: u32,
    units: f64,
}

/// Returns the slow start settings that all hosts use.
fn slow_start_settings(case: Case) -> SlowStartSettings {
    SlowStartSettings {
        safe_units: case.safe_units,
        initial_capacity: INITIAL_CAPACITY,
        duration: secs(WARM_UP_TIME),
        window: secs(WINDOW),
        overload_multiple: OVERLOAD_MULTIPLE,
    }
}

/// The hosts and the node that they share.
struct Fleet {
    case: Case,
    hosts: Vec<TestHost>,
    random: oorandom::Rand64,
    /// Capacity of the warm node, in units a second.
    capacity: f64,
    restarted_at: Option<f64>,
    queue: VecDeque<InFlight>,
    /// Units of work that the node has done on the first attempt in its queue.
    work_on_first_attempt: f64,
    submitted: HashMap<(usize, RequestId), Submitted>,
    /// Times at which attempts were sent since the restart.
    sent_at: Vec<f64>,
    now: f64,
}

impl Fleet {
    fn new(seed: u64, case: Case) -> Fleet {
        let new_host = |i: u32| {
            let seed = seed * 1000 + u64::from(i);
            let mut host = TestHost::with_seed(seed, case.configured_hosts, Effect::Idempotent, false);
            host.scheduler.set_slow_start(slow_start_settings(case));
            host.list_ready_nodes(1);
            host
        };
        Fleet {
            case,
            hosts: (0..case.hosts).map(new_host).collect(),
            random: oorandom::Rand64::new(u128::from(seed)),
            capacity: case.capacity_multiple * case.safe_units
                / (OVERLOAD_MULTIPLE * INITIAL_CAPACITY * WINDOW),
            restarted_at: None,
            queue: VecDeque::new(),
            work_on_first_attempt: 0.0,
            submitted: HashMap::new(),
            sent_at: Vec::new(),
            now: 100.0,
        }
    }

    /// Returns the fraction of its warm capacity that the node has now.
    fn capacity_fraction(&self) -> f64 {
        let fraction_after = |restarted: f64| {
            INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * (self.now - restarted) / WARM_UP_TIME
        };
        self.restarted_at.map_or(1.0, |restarted| fraction_after(restarted).min(1.0))
    }

    /// Advances virtual time by one step.
    fn step(&mut self) {
        self.now += STEP;
        self.submit_and_send();
        self.time_out_attempts();
        let node = if self.restarted_at.is_some() { self.case.node } else { NodeBehavior::Serves };
        match node {
            NodeBehavior::Hangs => {}
            NodeBehavior::Errors => {
                while let Some(attempt) = self.queue.pop_front() {
                    self.end_attempt(attempt, Outcome::Error, ERROR_LATENCY);
                }
            }
            NodeBehavior::Serves => self.serve(),
        }
    }

    /// Submits each host's load and sends the attempts that the hosts decide on.
    fn submit_and_send(&mut self) {
        let case = self.case;
        let weight = |i: usize| if case.is_unequal && i.is_multiple_of(5) { 6.0 } else { 1.0 };
        let total_weight: f64 = (0..self.hosts.len()).map(weight).sum();
        let load = if self.restarted_at.is_some() { case.load } else { 0.9 };
        for i in 0..self.hosts.len() {
            let host = &mut self.hosts[i];
            host.now = self.now;
            if self.random.rand_float() < load * self.capacity / MEAN_UNITS * STEP * weight(i) / total_weight
            {
                let units = 1.0 + (self.random.rand_float() * 3.0).floor();
                let key = (self.random.rand_float() * 1e6) as u32;
                let request = host.submit(0, 2, 0, units, 0, key);
                self.submitted.insert((i, request), Submitted { attempts: 0, units });
            }
            for decision in host.poll() {
                let Decision::Send { request, timeout, .. } = decision else { continue };
                let submitted = self.submitted.get_mut(&(i, request)).expect("was submitted");
                let timeout = timeout.map_or(host.time_left, |t| t.secs().min(host.time_left));
                self.queue.push_back(InFlight {
                    host: i,
                    request,
                    attempt: submitted.attempts,
                    units: submitted.units,
                    gives_up_at: self.now + timeout,
                });
                submitted.attempts += 1;
                self.sent_at.push(self.now);
            }
        }
    }

    /// Ends the attempts that their hosts give up.
    fn time_out_attempts(&mut self) {
        let now = self.now;
        let is_timed_out = |attempt: &&InFlight| attempt.gives_up_at <= now;
        let timed_out: Vec<InFlight> = self.queue.iter().filter(is_timed_out).copied().collect();
        self.queue.retain(|attempt| !is_timed_out(&attempt));
        timed_out
            .into_iter()
            .for_each(|attempt| self.end_attempt(attempt, Outcome::TimedOut, TIMEOUT_LATENCY));
    }

    /// Lets the node work for one step.
    fn serve(&mut self) {
        self.work_on_first_attempt += self.capacity * self.capacity_fraction() * STEP;
        while let Some(attempt) = self.queue.pop_front_if(|first| first.units <= self.work_on_first_attempt) {
            self.work_on_first_attempt -= attempt.units;
            self.end_attempt(attempt, Outcome::Done, ANSWER_LATENCY);
        }
        if self.queue.is_empty() {
            self.work_on_first_attempt = 0.0;
        }
    }

    /// Reports the end of an attempt to its host.
    fn end_attempt(&mut self, attempt: InFlight, outcome: Outcome, latency: f64) {
        self.hosts[attempt.host].end_attempt(attempt.request, attempt.attempt, outcome, latency);
    }

    /// Restarts the node and some of the hosts, and reports the node's restart to all hosts.
    fn restart(&mut self) {
        self.restarted_at = Some(self.now);
        for attempt in std::mem::take(&mut self.queue) {
            self.end_attempt(attempt, Outcome::Reset, RESET_LATENCY);
        }
        self.sent_at.clear();
        for i in 0..self.hosts.len() {
            if (i as u32) % 10 < self.case.restarted_hosts {
                self.restart_host(i);
            }
            let list = [(0, NodeState::Ready, Some(self.now))];
            self.hosts[i].send_list(ListKind::Complete, &list);
        }
    }

    /// Restarts a host. Every other one gets its service rates restored.
    fn restart_host(&mut self, i: usize) {
        let case = self.case;
        let rates = self.hosts[i].scheduler.service_rates(self.hosts[i].instant());
        let seed = self.random.rand_u64();
        let mut host = TestHost::with_seed(seed, case.configured_hosts, Effect::Idempotent, false);
        host.scheduler.set_slow_start(slow_start_settings(case));
        host.now = self.now;
        if i.is_multiple_of(2) {
            let now = host.instant();
            rates
                .into_iter()
                .for_each(|(shard, rate)| host.scheduler.service_rate_restored(now, shard, rate));
        }
        self.hosts[i] = host;
    }

    /// Returns the largest number of attempts by which any window exceeds the allowed number N + 2 sqrt(N) + 2, where the
    /// node can take N. If it is zero or negative, no window exceeds the allowed number.
    fn max_overshoot(&self) -> f64 {
        let restarted = self.restarted_at.unwrap_or(0.0);
        let mut max = f64::MIN;
        for (i, from) in self.sent_at.iter().enumerate() {
            let attempts = self.sent_at[i..].iter().take_while(|at| **at - from <= WINDOW).count() as f64;
            // While the node warms up, its capacity at the middle of the window is also its mean over the window.
            let age = from + WINDOW / 2.0 - restarted;
            let capacity_fraction =
                (INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age / WARM_UP_TIME).min(1.0);
            let max_units = OVERLOAD_MULTIPLE * self.capacity * capacity_fraction * WINDOW;
            let max_requests = max_units.max(self.case.safe_units) / MEAN_UNITS;
            max = max.max(attempts - (max_requests + 2.0 * max_requests.sqrt() + 2.0));
        }
        max
    }
}

/// The result of a case.
struct CaseResult {
    /// See `Fleet::max_overshoot`.
    max_overshoot: f64,
    /// Number of attempts sent while the node warmed up.
    sent: usize,
}

fn run_case(seed: u64, case: Case) -> CaseResult {
    let mut fleet = Fleet::new(seed, case);
    while fleet.now < 100.0 + case.warm_before {
        fleet.step();
    }
    fleet.restart();
    let end = fleet.now + WARM_UP_TIME;
    while fleet.now < end {
        fleet.step();
    }
    CaseResult { max_overshoot: fleet.max_overshoot(), sent: fleet.sent_at.len() }
}

fn cases() -> Vec<Case> {
    let mut all = Vec::new();
    for hosts in [20, 30] {
        for node in [NodeBehavior::Serves, NodeBehavior::Hangs, NodeBehavior::Errors] {
            for (is_unequal, warm_before, restarted_hosts, load, safe_units, capacity_multiple) in [
                (false, 0.0, 0, 1.5, 10.0, 1.0),
                (true, 0.0, 0, 1.5, 10.0, 1.0),
                (false, 35.0, 0, 1.2, 10.0, 1.0),
                (true, 35.0, 0, 1.2, 10.0, 1.0),
                (false, 35.0, 7, 1.2, 10.0, 1.0),
                (true, 35.0, 7, 3.0, 10.0, 1.0),
                (false, 35.0, 0, 2.0, 60.0, 1.0),
                (true, 35.0, 0, 2.0, 60.0, 1.0),
                (true, 35.0, 7, 2.0, 10.0, 4.0),
                (false, 35.0, 0, 2.0, 60.0, 3.0),
            ] {
                all.push(Case {
                    hosts,
                    configured_hosts: hosts,
                    node,
                    is_unequal,
                    warm_before,
                    restarted_hosts,
                    load,
                    safe_units,
                    capacity_multiple,
                });
            }
        }
    }
    all
}

/// Twenty or thirty hosts, some of them restarted, send to a node that has just started and then serves, hangs, or fails.
/// In no window may they send more than the node can take plus an allowance for chance.
#[test]
fn all_hosts_together_send_no_more_than_a_node_in_slow_start_bears() {
    let mut min_sent = usize::MAX;
    for case in cases() {
        for seed in 1..=4 {
            let result = run_case(seed, case);
            let overshoot = result.max_overshoot;
            assert!(overshoot <= 0.0, "seed {seed}, {case:?}: {overshoot:.1} attempts over");
            if case.node == NodeBehavior::Serves {
                min_sent = min_sent.min(result.sent);
            }
        }
    }
    // The guard must not keep the node idle either.
    assert!(min_sent >= 5, "{min_sent} attempts in {WARM_UP_TIME} s");
}

/// The test above must notice hosts that do not divide the node's capacity among them.
#[test]
fn hosts_that_each_send_all_that_a_node_can_take_overload_it() {
    let all: Vec<Case> = cases().into_iter().map(|case| Case { configured_hosts: 1, ..case }).collect();
    let is_overloaded = |case: &&Case| (1..=4).any(|seed| run_case(seed, **case).max_overshoot > 0.0);
    let overloaded = all.iter().filter(is_overloaded).count();
    assert!(
        overloaded * 2 > all.len(),
        "{overloaded} of {} cases: the test above would not notice it",
        all.len()
    );
}
