//! Rule 4 over a fleet of schedulers in virtual time: what all of them together send to a node in slow start.

mod common;

use common::*;
use std::collections::{HashMap, VecDeque};
use tackmast::interface::*;

const MEAN_UNITS: f64 = 2.0; // of a request
const INITIAL_CAPACITY: f64 = 0.17; // of the capacity when warm
const WARM_UP_TIME: f64 = 17.0; // seconds
const WINDOW: f64 = 3.0; // seconds
/// Of virtual time, in seconds.
const STEP: f64 = 0.005;
const OVERLOAD_MULTIPLE: f64 = 2.0; // of what the node can do at the moment, that it bears

#[derive(Clone, Copy, Debug, PartialEq)]
enum Node {
    /// Answers in order of arrival, as fast as it can at the time.
    Serves,
    /// Never answers.
    Hangs,
    /// Answers each request with an error at once.
    Errors,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    hosts: u32,
    /// The number of hosts that each host is configured with.
    configured_hosts: u32,
    node: Node,
    /// Every fifth host gets six times the load of the others.
    is_unequal: bool,
    /// Seconds for which the node was warm and busy before it restarted: hosts remember what it did.
    warm_before: f64,
    /// So many of ten hosts restart together with the node, half of these with their service rates restored.
    restarted_hosts: u32,
    /// Units requested, as a multiple of what the warm node can do.
    load: f64,
    /// Units within the window that a node always bears.
    safe_units: f64,
    /// The node's capacity, as a multiple of the lowest for which that is true.
    spare: f64,
}

/// An attempt at the node.
#[derive(Clone, Copy)]
struct InFlight {
    host: usize,
    request: RequestId,
    attempt: u32,
    units: f64,
    /// When its host gives it up.
    gives_up_at: f64,
}

/// A request that was submitted.
struct Submitted {
    attempts: u32,
    units: f64,
}

/// The settings of slow start that all hosts have.
fn slow_start(case: Case) -> SlowStartSettings {
    SlowStartSettings {
        safe_units: case.safe_units,
        initial_capacity: INITIAL_CAPACITY,
        duration: secs(WARM_UP_TIME),
        window: secs(WINDOW),
        overload_multiple: OVERLOAD_MULTIPLE,
    }
}

struct Fleet {
    case: Case,
    hosts: Vec<TestHost>,
    random: oorandom::Rand64,
    /// Units a second that the warm node can do.
    capacity: f64,
    restarted_at: Option<f64>,
    queue: VecDeque<InFlight>,
    /// Units that the node has worked off of the first in its queue.
    worked_off: f64,
    submitted: HashMap<(usize, RequestId), Submitted>,
    /// When attempts were sent since the restart.
    sent_at: Vec<f64>,
    now: f64,
}

impl Fleet {
    fn new(seed: u64, case: Case) -> Fleet {
        let new_host = |i: u32| {
            let seed = seed * 1000 + u64::from(i);
            let mut host = TestHost::of(seed, case.configured_hosts, Effect::Idempotent, false);
            host.scheduler.set_slow_start(slow_start(case));
            host.list_ready_nodes(1);
            host
        };
        Fleet {
            case,
            hosts: (0..case.hosts).map(new_host).collect(),
            random: oorandom::Rand64::new(u128::from(seed)),
            capacity: case.spare * case.safe_units / (OVERLOAD_MULTIPLE * INITIAL_CAPACITY * WINDOW),
            restarted_at: None,
            queue: VecDeque::new(),
            worked_off: 0.0,
            submitted: HashMap::new(),
            sent_at: Vec::new(),
            now: 100.0,
        }
    }

    /// The fraction of its capacity that the node has.
    fn warmth(&self) -> f64 {
        let warmth = |restarted: f64| {
            INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * (self.now - restarted) / WARM_UP_TIME
        };
        self.restarted_at.map_or(1.0, |restarted| warmth(restarted).min(1.0))
    }

    fn step(&mut self) {
        self.now += STEP;
        self.submit_and_send();
        self.give_up();
        let node = if self.restarted_at.is_some() { self.case.node } else { Node::Serves };
        match node {
            Node::Hangs => {}
            Node::Errors => {
                while let Some(attempt) = self.queue.pop_front() {
                    self.end_attempt(attempt, Outcome::Error, 0.002);
                }
            }
            Node::Serves => self.serve(),
        }
    }

    /// Each host gets its load and sends what it may.
    fn submit_and_send(&mut self) {
        let case = self.case;
        let weight = |i: usize| if case.is_unequal && i.is_multiple_of(5) { 6.0 } else { 1.0 };
        let all: f64 = (0..self.hosts.len()).map(weight).sum();
        let load = if self.restarted_at.is_some() { case.load } else { 0.9 };
        for i in 0..self.hosts.len() {
            let host = &mut self.hosts[i];
            host.now = self.now;
            if self.random.rand_float() < load * self.capacity / MEAN_UNITS * STEP * weight(i) / all {
                let units = 1.0 + (self.random.rand_float() * 3.0).floor();
                let key = (self.random.rand_float() * 1e6) as u32;
                let request = host.submit(0, 2, 0, units, 0, key);
                self.submitted.insert((i, request), Submitted { attempts: 0, units });
            }
            for decision in host.poll() {
                let Decision::Send { request, timeout, .. } = decision else { continue };
                let submitted = self.submitted.get_mut(&(i, request)).expect("was submitted");
                let patience = timeout.map_or(host.time_left, |t| t.secs().min(host.time_left));
                self.queue.push_back(InFlight {
                    host: i,
                    request,
                    attempt: submitted.attempts,
                    units: submitted.units,
                    gives_up_at: self.now + patience,
                });
                submitted.attempts += 1;
                self.sent_at.push(self.now);
            }
        }
    }

    /// Attempts whose hosts don't wait any longer.
    fn give_up(&mut self) {
        let now = self.now;
        let is_over = |attempt: &&InFlight| attempt.gives_up_at <= now;
        let late: Vec<InFlight> = self.queue.iter().filter(is_over).copied().collect();
        self.queue.retain(|attempt| !is_over(&attempt));
        late.into_iter().for_each(|attempt| self.end_attempt(attempt, Outcome::TimedOut, 3.0));
    }

    /// The node works for a step.
    fn serve(&mut self) {
        self.worked_off += self.capacity * self.warmth() * STEP;
        while let Some(attempt) = self.queue.pop_front_if(|first| first.units <= self.worked_off) {
            self.worked_off -= attempt.units;
            self.end_attempt(attempt, Outcome::Done, 0.1);
        }
        if self.queue.is_empty() {
            self.worked_off = 0.0;
        }
    }

    fn end_attempt(&mut self, attempt: InFlight, outcome: Outcome, latency: f64) {
        self.hosts[attempt.host].end_attempt(attempt.request, attempt.attempt, outcome, latency);
    }

    /// The node restarts, some hosts with it, and all hosts learn of it.
    fn restart(&mut self) {
        self.restarted_at = Some(self.now);
        for attempt in std::mem::take(&mut self.queue) {
            self.end_attempt(attempt, Outcome::Reset, 0.1);
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

    /// A host that restarts; every other one gets its service rates back.
    fn restart_host(&mut self, i: usize) {
        let case = self.case;
        let rates = self.hosts[i].scheduler.service_rates(self.hosts[i].instant());
        let seed = self.random.rand_u64();
        let mut host = TestHost::of(seed, case.configured_hosts, Effect::Idempotent, false);
        host.scheduler.set_slow_start(slow_start(case));
        host.now = self.now;
        if i.is_multiple_of(2) {
            let now = host.instant();
            rates
                .into_iter()
                .for_each(|(shard, rate)| host.scheduler.service_rate_restored(now, shard, rate));
        }
        self.hosts[i] = host;
    }

    /// The most by which the attempts of any window pass what is put down to chance; below 0: none did.
    fn max_overshoot(&self) -> f64 {
        let restarted = self.restarted_at.unwrap_or(0.0);
        let mut max = f64::MIN;
        for (i, from) in self.sent_at.iter().enumerate() {
            let attempts = self.sent_at[i..].iter().take_while(|at| **at - from <= WINDOW).count() as f64;
            // What the node can do while the window lasts, in the mean.
            let age = from + WINDOW / 2.0 - restarted;
            let warmth = (INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age / WARM_UP_TIME).min(1.0);
            let borne = OVERLOAD_MULTIPLE * self.capacity * warmth * WINDOW;
            let borne = borne.max(self.case.safe_units) / MEAN_UNITS;
            max = max.max(attempts - (borne + 2.0 * borne.sqrt() + 2.0));
        }
        max
    }
}

/// What came of a case.
struct Played {
    /// See `Fleet::max_overshoot`.
    max_overshoot: f64,
    /// Attempts sent while the node warmed up.
    sent: usize,
}

fn play(seed: u64, case: Case) -> Played {
    let mut fleet = Fleet::new(seed, case);
    while fleet.now < 100.0 + case.warm_before {
        fleet.step();
    }
    fleet.restart();
    let end = fleet.now + WARM_UP_TIME;
    while fleet.now < end {
        fleet.step();
    }
    Played { max_overshoot: fleet.max_overshoot(), sent: fleet.sent_at.len() }
}

fn cases() -> Vec<Case> {
    let mut all = Vec::new();
    for hosts in [20, 30] {
        for node in [Node::Serves, Node::Hangs, Node::Errors] {
            for (is_unequal, warm_before, restarted_hosts, load, safe_units, spare) in [
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
                    spare,
                });
            }
        }
    }
    all
}

/// Twenty or thirty hosts, some of them new, send to a node that has just started and serves, hangs, or fails. In no window may they exceed
/// what the operators put down to chance.
#[test]
fn all_hosts_together_send_no_more_than_a_node_in_slow_start_bears() {
    let mut min_sent = usize::MAX;
    for case in cases() {
        for seed in 1..=4 {
            let played = play(seed, case);
            let overshoot = played.max_overshoot;
            assert!(overshoot <= 0.0, "seed {seed}, {case:?}: {overshoot:.1} attempts over");
            if case.node == Node::Serves {
                min_sent = min_sent.min(played.sent);
            }
        }
    }
    // And it warms up with work: the guard does not keep it idle.
    assert!(min_sent >= 5, "{min_sent} attempts in {WARM_UP_TIME} s");
}

/// Shows that the test above would notice hosts that don't share what the node bears.
#[test]
fn hosts_that_each_send_all_that_a_node_bears_overload_it() {
    let all: Vec<Case> = cases().into_iter().map(|case| Case { configured_hosts: 1, ..case }).collect();
    let is_overloaded = |case: &&Case| (1..=4).any(|seed| play(seed, **case).max_overshoot > 0.0);
    let overloaded = all.iter().filter(is_overloaded).count();
    assert!(
        overloaded * 2 > all.len(),
        "{overloaded} of {} cases: the test above would not see it",
        all.len()
    );
}
