//! Tests of a single view, which they drive: which updates it merges, which members it suspects, when it suspects none
//! because it is cut off or was paused itself, and what it reports on sites.

use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_membership::*;
use tackmast_wire::peer::{Body, ProbeMessage};

fn address(slot: u32) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, slot as u8], 7000))
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

/// Creates the view of host 0, with protocol periods of one second, after a datagram of each of `peer_count` peers.
fn view_with_peers(peer_count: u32, extensions: Extensions) -> View {
    let settings = ViewSettings { protocol_period: TimeDelta::from_secs(1.0), max_hosts: 20, extensions };
    let mut view = View::new(at(0.0), update(0, 50, 0, Health::Alive), vec![], &[], settings, 7);
    for peer in 1..=peer_count {
        view.merge(at(0.0), update(peer, 10, 0, Health::Alive));
        view.handle_received(at(0.0), peer, 10);
    }
    view
}

/// Runs the view from one time to another, both in periods. Peers in `answering` answer pings at once, and a datagram
/// of each peer in `received` arrives in each step of a tenth of a period.
fn run(view: &mut View, from: f64, to: f64, answering: &[u32], received: &[u32]) {
    let mut period = from;
    while period < to {
        let now = at(period);
        view.handle_timeout(now);
        let transmits: Vec<_> = std::iter::from_fn(|| view.poll_transmit()).collect();
        for Transmit { to: receiver, body, .. } in transmits {
            let Some(peer) = answering.iter().copied().find(|peer| address(*peer) == receiver) else {
                continue;
            };
            match body {
                Body::Probe(ProbeMessage::Ping { seq }) => {
                    view.handle_message(now, receiver, peer, &ProbeMessage::Ack { seq })
                }
                Body::Probe(ProbeMessage::PingRequest { seq, slot }) if !answering.contains(&slot) => {
                    view.handle_message(now, receiver, peer, &ProbeMessage::Nack { seq, slot })
                }
                Body::Probe(ProbeMessage::PingRequest { seq, slot }) => {
                    view.handle_message(now, receiver, peer, &ProbeMessage::IndirectAck { seq, slot })
                }
                _ => {}
            }
        }
        received.iter().for_each(|peer| view.handle_received(now, *peer, 10));
        period += 0.1;
    }
}

fn health(view: &View, slot: u32) -> Option<Health> {
    view.snapshot().get(&slot).map(|state| state.health)
}

/// Host 1 stops answering, or this host loses its connection. If the host did not distinguish the two, it would declare a
/// running fleet dead. It must declare members dead only if others confirm that they do not answer, or after a long time
/// without any datagram.
#[test]
fn declares_silent_members_dead_unless_this_host_is_cut_off() {
    use Health::*;
    let no_local_health = Extensions { local_health: false, ..Extensions::all() };
    // Peers that answer, peers whose datagrams are received, extensions, periods, and the health of host 1 after them.
    type Case<'a> = (&'a str, &'a [u32], &'a [u32], Extensions, f64, Health);
    let cases: &[Case] = &[
        ("all answer", &[1, 2, 3, 4, 5], &[1, 2, 3, 4, 5], Extensions::all(), 60.0, Alive),
        ("one fails, and others confirm it", &[2, 3, 4, 5], &[2, 3, 4, 5], Extensions::all(), 60.0, Dead),
        ("one receives nothing, but sends", &[2, 3, 4, 5], &[1, 2, 3, 4, 5], Extensions::all(), 80.0, Dead),
        ("no peer answers, all are received", &[], &[1, 2, 3, 4, 5], Extensions::all(), 60.0, Alive),
        ("the same without local health", &[], &[1, 2, 3, 4, 5], no_local_health, 60.0, Dead),
        ("nothing is received for a while", &[], &[], Extensions::all(), 20.0, Alive),
        ("nothing is received for long", &[], &[], Extensions::all(), 120.0, Dead),
    ];
    for (name, answering, received, extensions, periods, expected) in cases {
        let mut view = view_with_peers(5, *extensions);
        run(&mut view, 0.0, *periods, answering, received);
        assert_eq!(health(&view, 1), Some(*expected), "{name}");
    }
}

/// A host receives no datagrams for a long time, declares all others dead, and is then connected again. If it gossiped
/// these deaths at once, they would spread to the whole fleet. Any peer's update must supersede them, and only a death that
/// no peer contradicts is gossiped later.
#[test]
fn deaths_declared_in_isolation_are_superseded_by_any_update_and_gossiped_later() {
    let mut view = view_with_peers(3, Extensions::all());
    run(&mut view, 0.0, 120.0, &[], &[]);
    assert_eq!([1, 2, 3].map(|slot| health(&view, slot)), [Some(Health::Dead); 3]);
    let gossiped_peers =
        |view: &View| view.all_updates().into_iter().flatten().filter(|update| update.slot > 0).count();
    assert_eq!(gossiped_peers(&view), 0, "a death that was declared in isolation is not gossiped");
    // A datagram of host 1 arrives, with the update that host 2 is alive; there is none on host 3.
    view.merge(at(121.0), update(1, 10, 0, Health::Alive));
    view.handle_received(at(121.0), 1, 10);
    view.merge(at(121.0), update(2, 10, 0, Health::Alive));
    assert_eq!([1, 2].map(|slot| health(&view, slot)), [Some(Health::Alive); 2]);
    run(&mut view, 121.0, 130.0, &[1, 2], &[1, 2]);
    assert_eq!(
        (health(&view, 3), gossiped_peers(&view)),
        (Some(Health::Dead), 3),
        "the death that no peer contradicted is gossiped"
    );
}

/// A host is paused for 30 periods just after it sent a ping, and misses the answer. Without pause detection it
/// suspects the members that it probed. Nor may a member be suspected that restarts while a ping of its earlier
/// generation is pending.
#[test]
fn neither_a_pause_nor_a_probe_of_an_earlier_generation_raises_suspicion() {
    for (extensions, suspects) in [
        (Extensions::all(), false),
        (Extensions { pause_detection: false, local_health: false, ..Extensions::all() }, true),
    ] {
        let mut view = view_with_peers(5, extensions);
        run(&mut view, 0.0, 10.0, &[1, 2, 3, 4, 5], &[1, 2, 3, 4, 5]);
        // A ping is sent, and the host is paused for 30 periods.
        view.handle_timeout(at(11.3));
        view.handle_timeout(at(41.0));
        view.handle_timeout(at(41.5));
        assert_eq!((view.counters.pauses, view.counters.suspected > 0), (1, suspects), "{extensions:?}");
    }
    let mut view = view_with_peers(1, Extensions::all());
    view.handle_timeout(at(1.5));
    view.merge(at(1.6), update(1, 11, 0, Health::Alive));
    view.handle_received(at(1.7), 1, 11);
    for tenth in 17..40 {
        view.handle_timeout(at(f64::from(tenth) / 10.0));
    }
    assert_eq!((health(&view, 1), view.counters.suspected), (Some(Health::Alive), 0));
}

/// A member dies and returns nine times. It must not be chosen as a helper, since it may fail again before it answers, and
/// its changes must not fill the log. It must still be probed, so that its recovery is noticed.
#[test]
fn flapping_member_is_probed_and_listed_but_not_asked_for_help() {
    let mut view = view_with_peers(5, Extensions::all());
    let mut events = Vec::new();
    for generation in 11..20 {
        view.merge(at(generation as f64), update(1, generation, 0, Health::Dead));
        view.merge(at(generation as f64), update(1, generation + 1, 0, Health::Alive));
        events.extend(std::iter::from_fn(|| view.poll_event()));
    }
    assert!(view.is_flapping(at(20.0), 1) && view.live().contains(&1), "{events:?}");
    assert!(!view.stable(at(20.0)).contains(&1));
    let flapping = events.iter().filter(|event| matches!(event, ViewEvent::Flapping { slot: 1 })).count();
    assert!(flapping == 1 && events.len() < 20 && view.counters.damped > 3, "{events:?}");
    let mut pinged = false;
    for tenth in 200..400 {
        view.handle_timeout(at(f64::from(tenth) / 10.0));
        let is_ping_to_flapping_member = |transmit: Transmit| {
            transmit.to == address(1) && matches!(transmit.body, Body::Probe(ProbeMessage::Ping { .. }))
        };
        pinged |= std::iter::from_fn(|| view.poll_transmit()).any(is_ping_to_flapping_member);
    }
    assert!(pinged, "a flapping member is still probed");
    assert!(!view.is_flapping(at(200.0), 1), "a member that stays alive no longer flaps");
}

/// A suspected member sends a datagram. It can refute the suspicion only if it learns of it, so it must be notified at
/// once. When this host is suspected itself, it must gossip its refutation without waiting for a probe.
#[test]
fn suspected_member_is_notified_and_this_host_refutes_at_once() {
    let mut view = view_with_peers(3, Extensions::all());
    view.merge(at(1.0), update(2, 10, 0, Health::Suspect));
    while view.poll_transmit().is_some() {}
    view.handle_received(at(1.5), 2, 10);
    let Transmit { to, body, recipient } = view.poll_transmit().expect("a message to the suspect");
    assert_eq!((to, body, recipient), (address(2), Body::Gossip, Some(2)));
    assert!(view
        .piggyback(Some(2))
        .iter()
        .any(|update| update.slot == 2 && update.health == Health::Suspect));
    // This host is suspected itself, and gossips its refutation to three members.
    view.merge(at(2.0), update(0, 50, 4, Health::Suspect));
    assert_eq!((view.me().incarnation, view.counters.accused), (5, 1));
    assert_eq!(std::iter::from_fn(|| view.poll_transmit()).count(), 3);
}

/// No member can have the greatest incarnation or generation, or a slot beyond the fleet. If updates with them were
/// accepted, no member could refute them, or they would fill the table.
#[test]
fn rejects_updates_that_no_member_could_refute() {
    let mut view = view_with_peers(3, Extensions::all());
    let cases = [
        update(4, 10, u32::MAX, Health::Alive),
        update(4, u64::MAX, 0, Health::Alive),
        update(20, 10, 0, Health::Alive),
        update(0, 50, u32::MAX, Health::Dead),
    ];
    for (index, update) in cases.iter().enumerate() {
        view.merge(at(1.0), *update);
        assert_eq!(
            (view.counters.out_of_range, view.snapshot().len(), view.me().incarnation),
            (index as u64 + 1, 3, 0),
            "{update:?}"
        );
    }
    // The host refutes an incarnation that it never had by a later one.
    view.merge(at(1.0), update(0, 50, 8, Health::Alive));
    assert_eq!(view.me().incarnation, 9);
}

/// The three hosts of a site fail. Operators examine the site if they failed together, and the hosts if they failed over a
/// longer time, so the report must distinguish the two.
#[test]
fn reports_whether_a_sites_hosts_failed_together_or_one_by_one() {
    // Hosts 1 to 9 are in sites 1, 2, 0, 1, 2, 0, ..., and this host is in site 0. The cases list the failures in site 1.
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
            "graceful leaves",
            &[(1, 1.0, Health::Left), (4, 2.0, Health::Left), (7, 3.0, Health::Left)],
            SiteHealth::Left,
        ),
    ];
    for (name, failures, health) in cases {
        let mut view = view_with_peers(9, Extensions::all());
        for (slot, time, member_health) in *failures {
            let failed = MemberUpdate { suspected_by: Some(2), ..update(*slot, 10, 0, *member_health) };
            view.merge(at(*time), failed);
        }
        let site = view.sites().into_iter().find(|site| site.site == Some(1)).unwrap();
        assert_eq!(site.health, *health, "{name}: {site:?}");
        assert_eq!(site.alive + site.suspect + site.dead + site.left, 3, "{name}");
    }
}

/// After its clock was set back, this host has a lower generation than its previous process. Without a check it would be
/// displaced for as long as it runs. If the later generation answers, two processes run, and this one must stay displaced.
#[test]
fn takes_its_slot_back_only_from_a_later_generation_that_is_silent() {
    // Case, address of the later generation, whether it answers, and how this host takes its slot back.
    let other_address: SocketAddr = "10.0.0.99:7000".parse().unwrap();
    let cases = [
        ("at this host's own address", address(0), false, Some(TakeOver::SameAddress)),
        ("at another address, silent", other_address, false, Some(TakeOver::OtherAddress)),
        ("at another address, and it answers", other_address, true, None),
    ];
    for (name, address, answers, expected) in cases {
        let mut view = view_with_peers(3, Extensions::all());
        let later = MemberUpdate { address, ..update(0, 60, 0, Health::Alive) };
        view.merge(at(1.0), later);
        assert!(view.is_displaced(), "{name}");
        let mut take_over = None;
        for tenth in 10..200 {
            let now = at(f64::from(tenth) / 10.0);
            if answers && tenth % 10 == 0 {
                view.handle_duplicate_id(now, later, address);
            }
            (1..4).for_each(|peer| view.handle_received(now, peer, 10));
            view.handle_timeout(now);
            take_over = take_over.or_else(|| view.poll_take_over());
        }
        assert_eq!(take_over, expected, "{name}");
        let generation = if expected.is_some() { 61 } else { 50 };
        assert_eq!((view.me().generation, view.is_displaced()), (generation, expected.is_none()), "{name}");
    }
}

/// Sixteen members are known when a round of probes begins, and two more join during it. If they were not inserted into the
/// round, they would not be probed before the next one.
#[test]
fn members_that_join_during_a_round_are_probed_within_it() {
    let settings = ViewSettings {
        protocol_period: TimeDelta::from_secs(1.0),
        max_hosts: 40,
        extensions: Extensions::all(),
    };
    let (mut pinged, mut seeds) = (0, 0);
    for seed in 0..20 {
        let mut view = View::new(at(0.0), update(0, 50, 0, Health::Alive), vec![], &[], settings, seed);
        (1..=16).for_each(|peer| view.merge(at(0.0), update(peer, 10, 0, Health::Alive)));
        // The round begins, with all sixteen in it.
        run(&mut view, 0.0, 1.5, &[1, 2], &[]);
        (17..=18).for_each(|peer| view.merge(at(1.5), update(peer, 10, 0, Health::Alive)));
        let all: Vec<u32> = (1..=18).collect();
        let mut pinged_peers = std::collections::BTreeSet::new();
        for step in 0..80 {
            let now = at(1.5 + f64::from(step) * 0.1);
            view.handle_timeout(now);
            while let Some(Transmit { to, body, .. }) = view.poll_transmit() {
                if let (Body::Probe(ProbeMessage::Ping { seq }), Some(peer)) =
                    (&body, all.iter().find(|peer| address(**peer) == to))
                {
                    pinged_peers.insert(*peer);
                    view.handle_message(now, to, *peer, &ProbeMessage::Ack { seq: *seq });
                }
            }
            all.iter().for_each(|peer| view.handle_received(now, *peer, 10));
        }
        pinged += [17, 18].iter().filter(|peer| pinged_peers.contains(*peer)).count();
        seeds += 1;
    }
    // In half a round about one of the two is expected to be probed, and none if they wait for the next round.
    assert!(pinged > seeds / 2, "{pinged} of {} probed in half a round", 2 * seeds);
}
