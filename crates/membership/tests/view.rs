//! One view alone, fed by hand: which updates it merges, whom it suspects, when it holds back, and how it sees sites.

use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_membership::*;
use tackmast_wire::peer::{Body, ProbeMessage};

fn address(h: u32) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, h as u8], 7000))
}

fn update(slot: u32, generation: u64, incarnation: u32, health: Health) -> MemberUpdate {
    MemberUpdate {
        slot,
        generation,
        incarnation,
        health,
        address: address(slot),
        site: Some(slot % 3),
        suspected_by: None,
    }
}

fn at(periods: f64) -> Instant {
    Instant::from_secs(100.0 + periods)
}

/// The view of host 0, with protocol periods of a second; it has received datagrams of hosts 1 to n.
fn view(n: u32, extensions: Extensions) -> View {
    let settings = ViewSettings { protocol_period: TimeDelta::from_secs(1.0), max_hosts: 20, extensions };
    let mut v = View::new(at(0.0), update(0, 50, 0, Health::Alive), vec![], &[], settings, 7);
    for h in 1..=n {
        v.merge(at(0.0), update(h, 10, 0, Health::Alive));
        v.handle_received(at(0.0), h, 10);
    }
    v
}

/// Runs from one time to another: hosts in `answers` answer pings at once, and datagrams of those in `received` arrive all
/// the while.
fn run(v: &mut View, from: f64, to: f64, answers: &[u32], received: &[u32]) {
    let mut t = from;
    while t < to {
        v.handle_timeout(at(t));
        let sends: Vec<_> = std::iter::from_fn(|| v.poll_transmit()).collect();
        for Transmit { to: a, body, .. } in sends {
            let Some(h) = answers.iter().copied().find(|h| address(*h) == a) else { continue };
            match body {
                Body::Probe(ProbeMessage::Ping { seq }) => {
                    v.handle_message(at(t), a, h, &ProbeMessage::Ack { seq })
                }
                Body::Probe(ProbeMessage::PingRequest { seq, slot }) if !answers.contains(&slot) => {
                    v.handle_message(at(t), a, h, &ProbeMessage::Nack { seq, slot })
                }
                Body::Probe(ProbeMessage::PingRequest { seq, slot }) => {
                    v.handle_message(at(t), a, h, &ProbeMessage::IndirectAck { seq, slot })
                }
                _ => {}
            }
        }
        received.iter().for_each(|h| v.handle_received(at(t), *h, 10));
        t += 0.1;
    }
}

fn health(v: &View, h: u32) -> Option<Health> {
    v.snapshot().get(&h).map(|s| s.health)
}

#[test]
fn members_are_declared_dead_unless_this_host_is_unwell() {
    use Health::*;
    let no_local_health = Extensions { local_health: false, ..Extensions::all() };
    // Who answers, whose datagrams are received, the extensions, and the health of host 1 after so many periods.
    type Case<'a> = (&'a str, &'a [u32], &'a [u32], Extensions, f64, Health);
    let cases: &[Case] = &[
        ("all answer", &[1, 2, 3, 4, 5], &[1, 2, 3, 4, 5], Extensions::all(), 60.0, Alive),
        ("one fails, and others confirm it", &[2, 3, 4, 5], &[2, 3, 4, 5], Extensions::all(), 60.0, Dead),
        ("one receives nothing, but sends", &[2, 3, 4, 5], &[1, 2, 3, 4, 5], Extensions::all(), 80.0, Dead),
        ("nobody answers, all are received", &[], &[1, 2, 3, 4, 5], Extensions::all(), 60.0, Alive),
        ("the same without local health", &[], &[1, 2, 3, 4, 5], no_local_health, 60.0, Dead),
        ("nothing is received for a while", &[], &[], Extensions::all(), 20.0, Alive),
        ("nothing is received for long", &[], &[], Extensions::all(), 120.0, Dead),
    ];
    for (name, answers, received, extensions, periods, expected) in cases {
        let mut v = view(5, *extensions);
        run(&mut v, 0.0, *periods, answers, received);
        assert_eq!(health(&v, 1), Some(*expected), "{name}");
    }
}

#[test]
fn deaths_declared_in_isolation_yield_to_any_update_and_are_gossiped_later() {
    let mut v = view(3, Extensions::all());
    run(&mut v, 0.0, 120.0, &[], &[]);
    assert_eq!([1, 2, 3].map(|h| health(&v, h)), [Some(Health::Dead); 3]);
    let told = |v: &View| v.all_updates().into_iter().flatten().filter(|n| n.slot > 0).count();
    assert_eq!(told(&v), 0, "a death that was declared in isolation is not gossiped");
    // Host 1 is received, and tells that 2 is alive; nobody tells of 3.
    v.merge(at(121.0), update(1, 10, 0, Health::Alive));
    v.handle_received(at(121.0), 1, 10);
    v.merge(at(121.0), update(2, 10, 0, Health::Alive));
    assert_eq!([1, 2].map(|h| health(&v, h)), [Some(Health::Alive); 2]);
    run(&mut v, 121.0, 130.0, &[1, 2], &[1, 2]);
    assert_eq!((health(&v, 3), told(&v)), (Some(Health::Dead), 3), "it confirms what nobody contradicted");
}

#[test]
fn neither_a_pause_nor_a_probe_of_an_earlier_generation_raises_suspicion() {
    for (extensions, accuses) in [
        (Extensions::all(), false),
        (Extensions { pause_detection: false, local_health: false, ..Extensions::all() }, true),
    ] {
        let mut v = view(5, extensions);
        run(&mut v, 0.0, 10.0, &[1, 2, 3, 4, 5], &[1, 2, 3, 4, 5]);
        // A ping is sent, and the host is paused for 30 periods.
        v.handle_timeout(at(11.3));
        v.handle_timeout(at(41.0));
        v.handle_timeout(at(41.5));
        assert_eq!((v.counters.pauses, v.counters.suspected > 0), (1, accuses), "{extensions:?}");
    }
    let mut v = view(1, Extensions::all());
    v.handle_timeout(at(1.5));
    v.merge(at(1.6), update(1, 11, 0, Health::Alive));
    v.handle_received(at(1.7), 1, 11);
    for t in 17..40 {
        v.handle_timeout(at(f64::from(t) / 10.0));
    }
    assert_eq!((health(&v, 1), v.counters.suspected), (Some(Health::Alive), 0));
}

#[test]
fn a_flapping_member_is_probed_and_listed_but_not_asked_for_help() {
    let mut v = view(5, Extensions::all());
    let mut lines = Vec::new();
    for generation in 11..20 {
        v.merge(at(generation as f64), update(1, generation, 0, Health::Dead));
        v.merge(at(generation as f64), update(1, generation + 1, 0, Health::Alive));
        lines.extend(std::iter::from_fn(|| v.poll_event()));
    }
    assert!(v.is_flapping(at(20.0), 1) && v.live().contains(&1), "{lines:?}");
    assert!(!v.stable(at(20.0)).contains(&1));
    let single = lines.iter().filter(|c| matches!(c, ViewEvent::Flapping { slot: 1 })).count();
    assert!(single == 1 && lines.len() < 20 && v.counters.damped > 3, "{lines:?}");
    let mut pinged = false;
    for t in 200..400 {
        v.handle_timeout(at(f64::from(t) / 10.0));
        let to_it =
            |t: Transmit| t.to == address(1) && matches!(t.body, Body::Probe(ProbeMessage::Ping { .. }));
        pinged |= std::iter::from_fn(|| v.poll_transmit()).any(to_it);
    }
    assert!(pinged, "never shut out");
    assert!(!v.is_flapping(at(200.0), 1), "it ends once it stays");
}

#[test]
fn a_suspect_is_told_so_and_refutes_at_once() {
    let mut v = view(3, Extensions::all());
    v.merge(at(1.0), update(2, 10, 0, Health::Suspect));
    while v.poll_transmit().is_some() {}
    v.handle_received(at(1.5), 2, 10);
    let Transmit { to, body, recipient } = v.poll_transmit().expect("a message to the suspect");
    assert_eq!((to, body, recipient), (address(2), Body::Gossip, Some(2)));
    assert!(v.piggyback(Some(2)).iter().any(|n| n.slot == 2 && n.health == Health::Suspect));
    // This host is suspected itself: it tells its refutation to a few at once.
    v.merge(at(2.0), update(0, 50, 4, Health::Suspect));
    assert_eq!((v.me().incarnation, v.counters.accused), (5, 1));
    assert_eq!(std::iter::from_fn(|| v.poll_transmit()).count(), 3);
}

#[test]
fn updates_that_no_member_could_refute_are_refused() {
    let mut v = view(3, Extensions::all());
    let cases = [
        update(4, 10, u32::MAX, Health::Alive),
        update(4, u64::MAX, 0, Health::Alive),
        update(20, 10, 0, Health::Alive),
        update(0, 50, u32::MAX, Health::Dead),
    ];
    for (i, n) in cases.iter().enumerate() {
        v.merge(at(1.0), *n);
        assert_eq!(
            (v.counters.out_of_range, v.snapshot().len(), v.me().incarnation),
            (i as u64 + 1, 3, 0),
            "{n:?}"
        );
    }
    // An incarnation under this host's name that it never had is refuted by a later one.
    v.merge(at(1.0), update(0, 50, 8, Health::Alive));
    assert_eq!(v.me().incarnation, 9);
}

#[test]
fn sites_fail_together_or_one_by_one() {
    // Hosts 1 to 9, of sites 1, 2, 0, 1, 2, 0, ...; this host stands in site 0. When each host of site 1 fails.
    type Case<'a> = (&'a str, &'a [(u32, f64, Health)], SiteHealth);
    let cases: &[Case] = &[
        (
            "together",
            &[(1, 1.0, Health::Dead), (4, 2.0, Health::Suspect), (7, 4.0, Health::Dead)],
            SiteHealth::FailedTogether { hosts: 3 },
        ),
        (
            "one by one",
            &[(1, 1.0, Health::Dead), (4, 20.0, Health::Dead), (7, 40.0, Health::Dead)],
            SiteHealth::FailedOneByOne { hosts: 3 },
        ),
        ("one is left", &[(1, 1.0, Health::Dead), (4, 2.0, Health::Dead)], SiteHealth::Reachable),
        (
            "in order",
            &[(1, 1.0, Health::Left), (4, 2.0, Health::Left), (7, 3.0, Health::Left)],
            SiteHealth::Left,
        ),
    ];
    for (name, falls, health) in cases {
        let mut v = view(9, Extensions::all());
        for (h, t, member_health) in *falls {
            v.merge(at(*t), MemberUpdate { suspected_by: Some(2), ..update(*h, 10, 0, *member_health) });
        }
        let site = v.sites().into_iter().find(|s| s.site == Some(1)).unwrap();
        assert_eq!(site.health, *health, "{name}: {site:?}");
        assert_eq!(site.alive + site.suspect + site.dead + site.left, 3, "{name}");
    }
}

#[test]
fn a_later_generation_of_the_own_slot_counts_only_while_it_is_received() {
    // Where the later generation is known, whether it answers, and whether this host takes its number back.
    let elsewhere: SocketAddr = "10.0.0.99:7000".parse().unwrap();
    let cases = [
        ("at this host's own address", address(0), false, Some(TakeOver::SameAddress)),
        ("elsewhere, silent", elsewhere, false, Some(TakeOver::OtherAddress)),
        ("elsewhere, and it speaks", elsewhere, true, None),
    ];
    for (name, a, speaks, expected) in cases {
        let mut v = view(3, Extensions::all());
        let later = MemberUpdate { address: a, ..update(0, 60, 0, Health::Alive) };
        v.merge(at(1.0), later);
        assert!(v.is_displaced(), "{name}");
        let mut taken = None;
        for t in 10..200 {
            let now = at(f64::from(t) / 10.0);
            if speaks && t % 10 == 0 {
                v.handle_duplicate_id(now, later, a);
            }
            (1..4).for_each(|h| v.handle_received(now, h, 10));
            v.handle_timeout(now);
            taken = taken.or_else(|| v.poll_take_over());
        }
        assert_eq!(taken, expected, "{name}");
        let generation = if expected.is_some() { 61 } else { 50 };
        assert_eq!((v.me().generation, v.is_displaced()), (generation, expected.is_none()), "{name}");
    }
}

#[test]
fn members_that_join_during_a_round_are_probed_within_it() {
    // Sixteen are known when a round of probes begins; two more join while it runs. Without a place in it they would wait for
    // the next round.
    let settings = ViewSettings {
        protocol_period: TimeDelta::from_secs(1.0),
        max_hosts: 40,
        extensions: Extensions::all(),
    };
    let (mut pinged, mut seeds) = (0, 0);
    for seed in 0..20 {
        let mut v = View::new(at(0.0), update(0, 50, 0, Health::Alive), vec![], &[], settings, seed);
        (1..=16).for_each(|h| v.merge(at(0.0), update(h, 10, 0, Health::Alive)));
        // The round begins, with all sixteen in it.
        run(&mut v, 0.0, 1.5, &[1, 2], &[]);
        (17..=18).for_each(|h| v.merge(at(1.5), update(h, 10, 0, Health::Alive)));
        let all: Vec<u32> = (1..=18).collect();
        let mut seen = std::collections::BTreeSet::new();
        for i in 0..80 {
            let t = 1.5 + f64::from(i) * 0.1;
            v.handle_timeout(at(t));
            while let Some(Transmit { to: a, body, .. }) = v.poll_transmit() {
                if let (Body::Probe(ProbeMessage::Ping { seq }), Some(h)) =
                    (&body, all.iter().find(|h| address(**h) == a))
                {
                    seen.insert(*h);
                    v.handle_message(at(t), a, *h, &ProbeMessage::Ack { seq: *seq });
                }
            }
            all.iter().for_each(|h| v.handle_received(at(t), *h, 10));
        }
        pinged += [17, 18].iter().filter(|h| seen.contains(*h)).count();
        seeds += 1;
    }
    // Half of a round has gone by: about half of the two is expected, none if they wait for the next.
    assert!(pinged > seeds / 2, "{pinged} of {} in half a round", 2 * seeds);
}
