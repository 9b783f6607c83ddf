//! Tests of quota leases between a few simulated hosts: messages are delayed, lost, duplicated and reordered, hosts restart
//! and leave, and clocks drift apart. At every time the shares in use must sum to no more than the volume's limit.

use std::collections::BTreeSet;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_membership::{
    LeaseFault, LeaseMessage, LeaseSettings, LeaseTransmit, MemberId, PreviousExit, QuotaBalance,
    QuotaLeases, SharedLimit,
};

/// Term of a lease, in seconds.
const TERM: f64 = 1.0;
/// Term of a lease that a leaving host grants, in seconds.
const LEAVE_TERM: f64 = 3.0;
/// Maximum relative difference between the rates of two clocks.
const DRIFT: f64 = 0.02;
/// Demand of clients in units per second: none, low, high, and more than the limit of 100.
const DEMANDS: [f64; 4] = [0.0, 5.0, 40.0, 120.0];
/// Number of messages in flight beyond which the network drops the oldest.
const MAX_IN_FLIGHT: usize = 24;

fn settings() -> LeaseSettings {
    let (term, leave_term) = (TimeDelta::from_secs(TERM), TimeDelta::from_secs(LEAVE_TERM));
    LeaseSettings { term, leave_term, drift: DRIFT, owned: 1.0 }
}

#[derive(Clone)]
struct Host {
    leases: Option<QuotaLeases>,
    generation: u64,
    has_left: bool,
    clock_offset: f64,
    clock_rate: f64,
    /// Units per second that its clients demand.
    demand: f64,
}

#[derive(Clone)]
struct InFlight {
    from: u32,
    generation: u64,
    to: u32,
    message: LeaseMessage,
}

/// Simulated hosts and the network between them.
#[derive(Clone)]
struct Cluster {
    now: f64,
    hosts: Vec<Host>,
    in_flight: Vec<InFlight>,
    generations: u64,
    fault: Option<LeaseFault>,
}

impl Cluster {
    fn new(
        host_count: u32,
        demand: &[f64],
        clock_rate: impl Fn(u32) -> f64,
        fault: Option<LeaseFault>,
    ) -> Cluster {
        let host = |slot: u32| Host {
            leases: None,
            generation: 0,
            has_left: false,
            clock_offset: 100.0 * f64::from(slot),
            clock_rate: clock_rate(slot),
            demand: demand[slot as usize],
        };
        let mut cluster = Cluster {
            now: 10.0,
            hosts: (0..host_count).map(host).collect(),
            in_flight: Vec::new(),
            generations: 0,
            fault,
        };
        (0..host_count as usize).for_each(|host| cluster.start(host));
        cluster
    }

    fn clock(&self, host: usize) -> Instant {
        Instant::from_secs(self.now * self.hosts[host].clock_rate + self.hosts[host].clock_offset)
    }

    /// Starts a host's next generation, which has no state of the previous one except whether it left gracefully.
    fn start(&mut self, host: usize) {
        self.generations += 1;
        let owners = (0..self.hosts.len() as u32).collect();
        let shared_limits = vec![SharedLimit { volume: 1, limit: 100.0, owners }];
        let now = self.clock(host);
        let me = MemberId { slot: host as u32, generation: self.generations };
        let previous_exit =
            if self.hosts[host].has_left { PreviousExit::Graceful } else { PreviousExit::Unclean };
        let mut leases = QuotaLeases::new(now, me, settings(), shared_limits, previous_exit);
        if let Some(fault) = self.fault {
            leases = leases.with_fault(now, fault);
        }
        (self.hosts[host].leases, self.hosts[host].generation) = (Some(leases), self.generations);
    }

    fn advance(&mut self, seconds: f64) {
        self.now += seconds;
        let live: BTreeSet<u32> = (0..self.hosts.len() as u32).collect();
        for host in 0..self.hosts.len() {
            let now = self.clock(host);
            let demand = self.hosts[host].demand;
            if let Some(leases) = &mut self.hosts[host].leases {
                leases.record_demand(now, 1, demand * seconds);
                leases.handle_timeout(now, &live);
            }
            self.send_queued(host);
            // The marker of a leave is kept until no lease of that leave can be in use, over any number of generations.
            let leases = self.hosts[host].leases.as_ref();
            if leases.is_some_and(|leases| leases.have_earlier_leases_ended(now) && !leases.is_leaving()) {
                self.hosts[host].has_left = false;
            }
        }
    }

    fn send_queued(&mut self, host: usize) {
        let generation = self.hosts[host].generation;
        while let Some(LeaseTransmit { to, message }) =
            self.hosts[host].leases.as_mut().and_then(QuotaLeases::poll_transmit)
        {
            if self.in_flight.len() > MAX_IN_FLIGHT {
                self.in_flight.remove(0);
            }
            self.in_flight.push(InFlight { from: host as u32, generation, to, message });
        }
    }

    /// Delivers a message. If `is_duplicated`, a copy of it stays in flight.
    fn deliver(&mut self, index: usize, is_duplicated: bool) {
        let delivered =
            if is_duplicated { self.in_flight[index].clone() } else { self.in_flight.remove(index) };
        let to = delivered.to as usize;
        let now = self.clock(to);
        if let Some(leases) = &mut self.hosts[to].leases {
            let from = MemberId { slot: delivered.from, generation: delivered.generation };
            leases.handle_new_generation(now, from);
            leases.handle_message(now, from, delivered.message);
        }
        self.send_queued(to);
    }

    fn deliver_all(&mut self) {
        while !self.in_flight.is_empty() {
            self.deliver(0, false);
        }
    }

    fn leave(&mut self, host: usize) {
        let now = self.clock(host);
        self.hosts[host].has_left = true;
        if let Some(leases) = &mut self.hosts[host].leases {
            leases.leave(now);
        }
    }

    fn balance(&self, host: usize) -> Option<QuotaBalance> {
        self.hosts[host].leases.as_ref().and_then(|leases| leases.balance(self.clock(host), 1))
    }

    /// Returns the sum of what all hosts may use now, as a fraction of the volume's limit.
    fn share_in_use(&self) -> f64 {
        let owned = 1.0 / self.hosts.len() as f64;
        let share = |host: usize| {
            self.balance(host).map_or(0.0, |balance| (owned - balance.lent).max(0.0) + balance.borrowed)
        };
        (0..self.hosts.len()).map(share).sum()
    }

    fn exceeds_limit(&self) -> bool {
        self.share_in_use() > 1.0 + 1e-9
    }
}

/// Runs random steps of a cluster. Returns the first step at which the limit was exceeded.
fn run_randomly(seed: u64, fault: Option<LeaseFault>) -> Option<usize> {
    let mut random = oorandom::Rand64::new(u128::from(seed));
    let host_count = 2 + (seed % 3) as u32;
    let demand: Vec<f64> = (0..host_count).map(|_| DEMANDS[random.rand_range(0..4) as usize]).collect();
    // Each clock is fast or slow by half the drift, so that two clocks differ by no more than the drift.
    let clock_rates: Vec<f64> =
        (0..host_count).map(|_| 1.0 + DRIFT / 2.0 * (2.0 * random.rand_float() - 1.0).signum()).collect();
    let mut cluster = Cluster::new(host_count, &demand, |slot| clock_rates[slot as usize], fault);
    let step_scale = random.rand_float();
    for step in 0..400 {
        let in_flight = cluster.in_flight.len() as u64;
        match (random.rand_float() * 100.0) as u32 {
            0..35 => cluster.advance(TERM * 0.3 * step_scale * random.rand_float() + 0.001),
            35..82 if in_flight > 0 => cluster.deliver(random.rand_range(0..in_flight) as usize, false),
            82..88 if in_flight > 0 => cluster.deliver(random.rand_range(0..in_flight) as usize, true),
            88..92 if in_flight > 0 => _ = cluster.in_flight.remove(random.rand_range(0..in_flight) as usize),
            92..94 => {
                let host = random.rand_range(0..u64::from(host_count)) as usize;
                cluster.hosts[host].demand = DEMANDS[random.rand_range(0..4) as usize];
            }
            94..96 => cluster.start(random.rand_range(0..u64::from(host_count)) as usize),
            96..97 => cluster.leave(random.rand_range(0..u64::from(host_count)) as usize),
            97..98 => cluster.hosts[random.rand_range(0..u64::from(host_count)) as usize].leases = None,
            98..100 => cluster.advance(TERM * 1.2),
            _ => {}
        }
        if cluster.exceeds_limit() {
            return Some(step);
        }
    }
    None
}

/// Explores all orders of deliveries, duplicates, restarts and time steps up to a depth, and counts the states.
fn explore(cluster: &Cluster, depth: u32, state_count: &mut u64) -> Result<(), String> {
    *state_count += 1;
    if cluster.exceeds_limit() {
        return Err(format!("{:.4} of the limit in use at {:.2}", cluster.share_in_use(), cluster.now));
    }
    if depth == 0 {
        return Ok(());
    }
    let mut explore_after = |step: &dyn Fn(&mut Cluster)| {
        let mut next = cluster.clone();
        step(&mut next);
        explore(&next, depth - 1, state_count)
    };
    explore_after(&|next| next.advance(TERM * 0.45))?;
    // Only the last few messages are tried, as the others are equal to one of them.
    for index in cluster.in_flight.len().saturating_sub(4)..cluster.in_flight.len() {
        explore_after(&|next| next.deliver(index, false))?;
        explore_after(&|next| next.deliver(index, true))?;
    }
    for host in 0..cluster.hosts.len() {
        explore_after(&|next| next.start(host))?;
    }
    Ok(())
}

/// Two hosts, one with a fast clock and one with a slow clock, go through every order of a few steps, from their start and
/// from a state with a lease in use. In no state may they together use more than the volume's limit.
#[test]
fn no_order_of_few_steps_exceeds_the_limit() {
    let mut state_count = 0;
    let clock_rate = |slot: u32| 1.0 + DRIFT / 2.0 * if slot == 0 { -1.0 } else { 1.0 };
    for rounds_before in [0, 9] {
        let mut cluster = Cluster::new(2, &[120.0, 0.0], clock_rate, None);
        for _ in 0..rounds_before {
            cluster.advance(TERM * 0.3);
            cluster.deliver_all();
        }
        let depth = if cfg!(debug_assertions) { 4 } else { 6 };
        explore(&cluster, depth, &mut state_count).unwrap();
    }
    assert!(state_count > 1000, "{state_count}");
}

/// Clusters of two to four hosts go through thousands of random runs with losses, duplicates, restarts and leaves. Such
/// runs have found two faults: a second restart lost the marker of a leave (seed 264), and a lender's generation was
/// discarded at the end of its lease (seed 1686).
#[test]
fn no_random_run_exceeds_the_limit() {
    let run_count = if cfg!(debug_assertions) { 2_000 } else { 40_000 };
    for seed in 0..run_count {
        assert_eq!(run_randomly(seed, None), None, "seed {seed}");
    }
}

/// One of two hosts has all the demand. It must borrow most of the other's share, as leases that keep the limit but move no
/// quota would be useless.
#[test]
fn a_host_with_all_the_demand_borrows_most_of_the_limit() {
    let mut cluster = Cluster::new(2, &[150.0, 0.0], |_| 1.0, None);
    for _ in 0..20 {
        cluster.advance(TERM / 5.0);
        cluster.deliver_all();
    }
    let balance = cluster.balance(0).unwrap();
    assert!(balance.borrowed > 0.4, "{balance:?}");
    assert!(cluster.share_in_use() > 0.95, "{}", cluster.share_in_use());
}

/// The leases run with a deliberate fault. If the random runs did not detect it, their success without a fault would prove
/// nothing.
#[test]
fn random_runs_detect_each_deliberate_fault() {
    // The fault, and the number of seeds within which it must be detected.
    for (fault, seed_count) in [
        (LeaseFault::TermFromReceipt, 300),
        (LeaseFault::IgnoresDrift, 20_000),
        (LeaseFault::StartsWithFullShare, 100),
        (LeaseFault::FreesUnconfirmedLease, 300),
        (LeaseFault::LendsBorrowed, 20_000),
        (LeaseFault::IgnoresGenerations, 20_000),
    ] {
        let detecting_seed = (0..seed_count).find(|seed| run_randomly(*seed, Some(fault)).is_some());
        assert!(detecting_seed.is_some(), "{fault:?}: not detected within {seed_count} runs");
        println!("{fault:?}: seed {}", detecting_seed.unwrap_or(0));
    }
}

/// A host leaves gracefully and lends its share to the others. Its next generation must wait until they have returned
/// it or, if no peer answers, until the longer term of a leave has ended.
#[test]
fn a_host_that_leaves_lends_its_share_and_gets_it_back() {
    let mut cluster = Cluster::new(3, &[150.0, 60.0, 10.0], |_| 1.0, None);
    let run = |cluster: &mut Cluster, seconds: f64| {
        let until = cluster.now + seconds;
        while cluster.now < until {
            cluster.advance(TERM / 5.0);
            cluster.deliver_all();
            assert!(!cluster.exceeds_limit());
        }
    };
    run(&mut cluster, 3.0);
    cluster.leave(2);
    run(&mut cluster, 0.5);
    cluster.hosts[2].leases = None;
    run(&mut cluster, 1.5);
    assert!(cluster.share_in_use() > 0.97, "share in use after the leave: {}", cluster.share_in_use());
    // The next generation has no quota at first, and all of its share once the others have returned their leases.
    cluster.hosts[2].demand = 150.0;
    cluster.start(2);
    let balance = cluster.balance(2).unwrap();
    assert!((balance.lent - 1.0 / 3.0).abs() < 1e-9 && balance.borrowed == 0.0, "{balance:?}");
    run(&mut cluster, 1.0);
    let balance = cluster.balance(2).unwrap();
    assert!(balance.lent < 0.01, "{balance:?}");
    // If no peer answers, the next generation has its share after the longer term.
    cluster.hosts[2].has_left = true;
    cluster.start(2);
    let until = cluster.now + LEAVE_TERM * 1.1;
    while cluster.now < until {
        cluster.advance(0.2);
        cluster.in_flight.clear();
        assert!(!cluster.exceeds_limit());
    }
    let balance = cluster.balance(2).unwrap();
    assert!(balance.lent < 0.01, "{balance:?}");
}

/// Peers send forged requests, grants, recalls and confirmations. They must not make this host borrow more than the shares
/// that the other owners have, or leave unused more than its own share.
#[test]
fn forged_messages_move_no_more_than_the_owned_shares() {
    let owners = vec![0, 1, 2];
    let start = Instant::from_secs(50.0);
    let shared_limits = vec![SharedLimit { volume: 1, limit: 100.0, owners }];
    let mut leases = QuotaLeases::new(
        start,
        MemberId { slot: 0, generation: 9 },
        settings(),
        shared_limits,
        PreviousExit::Unclean,
    );
    let mut random = oorandom::Rand64::new(5);
    let mut seconds = 50.0;
    for _ in 0..20_000 {
        seconds += 0.003;
        let now = Instant::from_secs(seconds);
        leases.record_demand(now, 1, 0.5);
        leases.handle_timeout(now, &BTreeSet::from([1, 2]));
        while leases.poll_transmit().is_some() {}
        let (from, generation) = (random.rand_range(0..5) as u32, random.rand_range(0..3));
        let (request_seq, lease_seq) = (random.rand_range(0..40) as u32, random.rand_range(0..40) as u32);
        let share = random.rand_float() as f32;
        let recipient_generation = if random.rand_float() < 0.8 { 9 } else { 3 };
        let volume = random.rand_range(0..3) as u32;
        let message = match random.rand_range(0..5) {
            0 => LeaseMessage::Request {
                seq: request_seq,
                active_seq: lease_seq,
                lender_generation: recipient_generation,
                volume,
                share,
            },
            1 | 2 => LeaseMessage::Grant {
                request_seq,
                recipient_generation,
                seq: lease_seq,
                volume,
                share,
                term_ms: u32::MAX,
            },
            3 => LeaseMessage::Recall { volume },
            _ => LeaseMessage::Returned { recipient_generation, volume },
        };
        leases.handle_message(now, MemberId { slot: from, generation }, message);
        let balance = leases.balance(now, 1).unwrap();
        // The host borrows at most the shares of the other owners, and nothing of volumes that it does not share.
        assert!(balance.borrowed <= 2.0 / 3.0 + 1e-9 && balance.lent <= 1.0 / 3.0 + 1e-9, "{balance:?}");
        assert!(leases.balance(now, 0).is_none() && leases.balance(now, 2).is_none());
    }
}
