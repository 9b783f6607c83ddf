//! Quota leases explored: small worlds in which messages are late, lost, duplicated and out of order, hosts restart and
//! leave, and clocks run apart. At every moment the shares in use must sum to no more than the whole.

use std::collections::BTreeSet;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_membership::{
    LeaseFault, LeaseMessage, LeaseSettings, LeaseTransmit, MemberId, PreviousExit, QuotaLeases, SharedLimit,
};

const TERM: f64 = 1.0;
const LEAVE: f64 = 3.0;
const DRIFT: f64 = 0.02;

fn settings() -> LeaseSettings {
    let (term, leave_term) = (TimeDelta::from_secs(TERM), TimeDelta::from_secs(LEAVE));
    LeaseSettings { term, leave_term, drift: DRIFT, owned: 1.0 }
}

#[derive(Clone)]
struct Host {
    leases: Option<QuotaLeases>,
    generation: u64,
    has_left: bool,
    clock_offset: f64,
    clock_rate: f64,
    /// Units a second that its clients demand.
    demand: f64,
}

#[derive(Clone)]
struct InFlight {
    from: u32,
    generation: u64,
    to: u32,
    message: LeaseMessage,
}

#[derive(Clone)]
struct World {
    now: f64,
    hosts: Vec<Host>,
    in_flight: Vec<InFlight>,
    generations: u64,
    fault: Option<LeaseFault>,
}

impl World {
    fn new(n: u32, demand: &[f64], clock_rate: impl Fn(u32) -> f64, fault: Option<LeaseFault>) -> World {
        let host = |i: u32| Host {
            leases: None,
            generation: 0,
            has_left: false,
            clock_offset: 100.0 * f64::from(i),
            clock_rate: clock_rate(i),
            demand: demand[i as usize],
        };
        let mut w = World {
            now: 10.0,
            hosts: (0..n).map(host).collect(),
            in_flight: Vec::new(),
            generations: 0,
            fault,
        };
        (0..n as usize).for_each(|h| w.start(h));
        w
    }

    fn clock(&self, h: usize) -> Instant {
        Instant::from_secs(self.now * self.hosts[h].clock_rate + self.hosts[h].clock_offset)
    }

    fn start(&mut self, h: usize) {
        self.generations += 1;
        let owners = (0..self.hosts.len() as u32).collect();
        let shared_limits = vec![SharedLimit { volume: 1, limit: 100.0, owners }];
        let at = self.clock(h);
        let me = MemberId { slot: h as u32, generation: self.generations };
        let previous_exit =
            if self.hosts[h].has_left { PreviousExit::Graceful } else { PreviousExit::Unclean };
        let mut leases = QuotaLeases::new(at, me, settings(), shared_limits, previous_exit);
        if let Some(f) = self.fault {
            leases = leases.with_fault(at, f);
        }
        (self.hosts[h].leases, self.hosts[h].generation) = (Some(leases), self.generations);
    }

    fn advance(&mut self, seconds: f64) {
        self.now += seconds;
        for h in 0..self.hosts.len() {
            let (at, live) = (self.clock(h), (0..self.hosts.len() as u32).collect::<BTreeSet<_>>());
            let demand = self.hosts[h].demand;
            if let Some(l) = &mut self.hosts[h].leases {
                l.record_demand(at, 1, demand * seconds);
                l.handle_timeout(at, &live);
            }
            self.drain(h);
            // The marker of a leave stays until no lease of it can be in use, over any number of generations.
            if self.hosts[h]
                .leases
                .as_ref()
                .is_some_and(|l| l.have_earlier_leases_ended(at) && !l.is_leaving())
            {
                self.hosts[h].has_left = false;
            }
        }
    }

    fn drain(&mut self, h: usize) {
        let generation = self.hosts[h].generation;
        while let Some(LeaseTransmit { to, message }) =
            self.hosts[h].leases.as_mut().and_then(QuotaLeases::poll_transmit)
        {
            // A full network drops the oldest message.
            if self.in_flight.len() > 24 {
                self.in_flight.remove(0);
            }
            self.in_flight.push(InFlight { from: h as u32, generation, to, message });
        }
    }

    fn deliver(&mut self, i: usize, again: bool) {
        let l = if again { self.in_flight[i].clone() } else { self.in_flight.remove(i) };
        let to = l.to as usize;
        let at = self.clock(to);
        if let Some(leases) = &mut self.hosts[to].leases {
            let from = MemberId { slot: l.from, generation: l.generation };
            leases.handle_new_generation(at, from);
            leases.handle_message(at, from, l.message);
        }
        self.drain(to);
    }

    fn leave(&mut self, h: usize) {
        let at = self.clock(h);
        self.hosts[h].has_left = true;
        if let Some(l) = &mut self.hosts[h].leases {
            l.leave(at);
        }
    }

    /// What all hosts may use at this moment, as a share of the whole.
    fn in_use(&self) -> f64 {
        let own = 1.0 / self.hosts.len() as f64;
        let part = |(h, host): (usize, &Host)| {
            let m = host.leases.as_ref().and_then(|l| l.balance(self.clock(h), 1));
            m.map_or(0.0, |m| (own - m.lent).max(0.0) + m.borrowed)
        };
        self.hosts.iter().enumerate().map(part).sum()
    }

    fn is_broken(&self) -> bool {
        self.in_use() > 1.0 + 1e-9
    }
}

/// One random walk; the step at which the sum was exceeded.
fn walk(seed: u64, fault: Option<LeaseFault>) -> Option<usize> {
    let mut c = oorandom::Rand64::new(u128::from(seed));
    let n = 2 + (seed % 3) as u32;
    let demand: Vec<f64> = (0..n).map(|_| [0.0, 5.0, 40.0, 120.0][c.rand_range(0..4) as usize]).collect();
    // Each clock within the drift of true time.
    let clock_rates: Vec<f64> =
        (0..n).map(|_| 1.0 + DRIFT / 2.0 * (2.0 * c.rand_float() - 1.0).signum()).collect();
    let mut w = World::new(n, &demand, |i| clock_rates[i as usize], fault);
    let quick = c.rand_float();
    for step in 0..400 {
        let in_flight = w.in_flight.len() as u64;
        match (c.rand_float() * 100.0) as u32 {
            0..35 => w.advance(TERM * 0.3 * quick * c.rand_float() + 0.001),
            35..82 if in_flight > 0 => w.deliver(c.rand_range(0..in_flight) as usize, false),
            82..88 if in_flight > 0 => w.deliver(c.rand_range(0..in_flight) as usize, true),
            88..92 if in_flight > 0 => _ = w.in_flight.remove(c.rand_range(0..in_flight) as usize),
            92..94 => {
                let h = c.rand_range(0..u64::from(n)) as usize;
                w.hosts[h].demand = [0.0, 5.0, 40.0, 120.0][c.rand_range(0..4) as usize];
            }
            94..96 => w.start(c.rand_range(0..u64::from(n)) as usize),
            96..97 => w.leave(c.rand_range(0..u64::from(n)) as usize),
            97..98 => w.hosts[c.rand_range(0..u64::from(n)) as usize].leases = None,
            98..100 => w.advance(TERM * 1.2),
            _ => {}
        }
        if w.is_broken() {
            return Some(step);
        }
    }
    None
}

/// All orders of deliveries, losses, restarts and steps of time, to that depth; how many worlds were looked at.
fn explore(w: &World, depth: u32, seen: &mut u64) -> Result<(), String> {
    *seen += 1;
    if w.is_broken() {
        return Err(format!("{:.4} of the whole in use at {:.2}", w.in_use(), w.now));
    }
    if depth == 0 {
        return Ok(());
    }
    let go = |f: &dyn Fn(&mut World), seen: &mut u64| {
        let mut next = w.clone();
        f(&mut next);
        explore(&next, depth - 1, seen)
    };
    go(&|w| w.advance(TERM * 0.45), seen)?;
    // Of many messages only the last few are tried: equal ones to one host differ in nothing that matters.
    for i in w.in_flight.len().saturating_sub(4)..w.in_flight.len() {
        go(&|w| w.deliver(i, false), seen)?;
        go(&|w| w.deliver(i, true), seen)?;
    }
    for h in 0..w.hosts.len() {
        go(&|w| w.start(h), seen)?;
    }
    Ok(())
}

#[test]
fn all_small_worlds_keep_the_sum_of_shares() {
    let mut seen = 0;
    // From the start, and from where a lease runs; one clock fast, one slow.
    for depth_before in [0, 9] {
        let mut w =
            World::new(2, &[120.0, 0.0], |i| 1.0 + DRIFT / 2.0 * if i == 0 { -1.0 } else { 1.0 }, None);
        for _ in 0..depth_before {
            w.advance(TERM * 0.3);
            while !w.in_flight.is_empty() {
                w.deliver(0, false);
            }
        }
        let depth = if cfg!(debug_assertions) { 4 } else { 6 };
        explore(&w, depth, &mut seen).unwrap();
    }
    assert!(seen > 1000, "{seen}");
}

#[test]
fn random_walks_keep_the_sum_of_shares_and_leases_are_granted() {
    let walks = if cfg!(debug_assertions) { 2_000 } else { 40_000 };
    // Found by walks once, and fixed: the marker of a leave that a second restart lost (seed 264), and a lender's
    // generation that was forgotten with the end of its lease (seed 1686).
    for seed in 0..walks {
        assert_eq!(walk(seed, None), None, "seed {seed}");
    }
    // And leases are granted: two hosts, one of which demands all.
    let mut w = World::new(2, &[150.0, 0.0], |_| 1.0, None);
    for _ in 0..20 {
        w.advance(TERM / 5.0);
        while !w.in_flight.is_empty() {
            w.deliver(0, false);
        }
    }
    let m = w.hosts[0].leases.as_ref().unwrap().balance(w.clock(0), 1).unwrap();
    assert!(m.borrowed > 0.4, "{m:?}");
    assert!(w.in_use() > 0.95, "{}", w.in_use());
}

#[test]
fn each_lease_fault_is_found() {
    // The fault, and the seeds of walks within which it must be found.
    for (fault, within) in [
        (LeaseFault::TermFromReceipt, 300),
        (LeaseFault::IgnoresDrift, 20_000),
        (LeaseFault::StartsWithFullShare, 100),
        (LeaseFault::FreesUnconfirmedLease, 300),
        (LeaseFault::LendsBorrowed, 20_000),
        (LeaseFault::IgnoresGenerations, 20_000),
    ] {
        let found = (0..within).find(|seed| walk(*seed, Some(fault)).is_some());
        assert!(found.is_some(), "{fault:?}: not within {within} walks");
        println!("{fault:?}: walk {}", found.unwrap_or(0));
    }
}

#[test]
fn a_host_that_leaves_lends_its_share_and_gets_it_back() {
    let mut w = World::new(3, &[150.0, 60.0, 10.0], |_| 1.0, None);
    let settle = |w: &mut World, seconds: f64| {
        let until = w.now + seconds;
        while w.now < until {
            w.advance(TERM / 5.0);
            while !w.in_flight.is_empty() {
                w.deliver(0, false);
            }
            assert!(!w.is_broken());
        }
    };
    settle(&mut w, 3.0);
    w.leave(2);
    settle(&mut w, 0.5);
    w.hosts[2].leases = None;
    settle(&mut w, 1.5);
    assert!(w.in_use() > 0.97, "its share is used by others: {}", w.in_use());
    // Its next generation has nothing at first, and all of it once the others have answered that they hold none.
    w.hosts[2].demand = 150.0;
    w.start(2);
    let m = w.hosts[2].leases.as_ref().unwrap().balance(w.clock(2), 1).unwrap();
    assert!((m.lent - 1.0 / 3.0).abs() < 1e-9 && m.borrowed == 0.0, "{m:?}");
    settle(&mut w, 1.0);
    let m = w.hosts[2].leases.as_ref().unwrap().balance(w.clock(2), 1).unwrap();
    assert!(m.lent < 0.01, "{m:?}");
    // One that is never answered has it after the longer term.
    w.hosts[2].has_left = true;
    w.start(2);
    let nobody = w.now + LEAVE * 1.1;
    while w.now < nobody {
        w.advance(0.2);
        w.in_flight.clear();
        assert!(!w.is_broken());
    }
    let m = w.hosts[2].leases.as_ref().unwrap().balance(w.clock(2), 1).unwrap();
    assert!(m.lent < 0.01, "{m:?}");
}

#[test]
fn false_messages_of_peers_move_only_their_own_shares() {
    let owners = vec![0, 1, 2];
    let at = Instant::from_secs(50.0);
    let shared_limits = vec![SharedLimit { volume: 1, limit: 100.0, owners }];
    let mut l = QuotaLeases::new(
        at,
        MemberId { slot: 0, generation: 9 },
        settings(),
        shared_limits,
        PreviousExit::Unclean,
    );
    let mut c = oorandom::Rand64::new(5);
    let mut now = 50.0;
    for _ in 0..20_000 {
        now += 0.003;
        let t = Instant::from_secs(now);
        l.record_demand(t, 1, 0.5);
        l.handle_timeout(t, &BTreeSet::from([1, 2]));
        while l.poll_transmit().is_some() {}
        let (from, generation) = (c.rand_range(0..5) as u32, c.rand_range(0..3));
        let (x, y) = (c.rand_range(0..40) as u32, c.rand_range(0..40) as u32);
        let share = c.rand_float() as f32;
        let recipient_generation = if c.rand_float() < 0.8 { 9 } else { 3 };
        let volume = c.rand_range(0..3) as u32;
        let message = match c.rand_range(0..5) {
            0 => LeaseMessage::Request {
                seq: x,
                active_seq: y,
                lender_generation: recipient_generation,
                volume,
                share,
            },
            1 | 2 => LeaseMessage::Grant {
                request_seq: x,
                recipient_generation,
                seq: y,
                volume,
                share,
                term_ms: u32::MAX,
            },
            3 => LeaseMessage::Recall { volume },
            _ => LeaseMessage::Returned { recipient_generation, volume },
        };
        l.handle_message(t, MemberId { slot: from, generation }, message);
        let m = l.balance(t, 1).unwrap();
        // At most each other owner's own share, and never for a host that owns none.
        assert!(m.borrowed <= 2.0 / 3.0 + 1e-9 && m.lent <= 1.0 / 3.0 + 1e-9, "{m:?}");
        assert!(l.balance(t, 0).is_none() && l.balance(t, 2).is_none());
    }
}
