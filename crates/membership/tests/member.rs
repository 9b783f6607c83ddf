//! One member alone: hostile and malformed datagrams, precedence of updates, another generation of its own slot, overrides
//! that have ended, and catalog updates that nobody has.

use bytes::Bytes;
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_membership::*;
use tackmast_wire::peer::{Body, CatalogMessage, LeaseMessage, ProbeMessage};

fn address(h: u32) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, h as u8], 7000))
}

fn member(generation: u64) -> Member {
    Member::new(Instant::from_secs(10.0), settings(generation))
}

fn with_persisted(persisted: Vec<KnownPeer>) -> Member {
    Member::new(Instant::from_secs(10.0), MemberSettings { persisted, ..settings(5) })
}

fn peer(slot: u32, generation: u64) -> KnownPeer {
    KnownPeer { slot, generation, address: address(slot) }
}

fn settings(generation: u64) -> MemberSettings {
    let secs = TimeDelta::from_secs;
    MemberSettings {
        fleet: "f".into(),
        slot: 0,
        generation,
        address: address(0),
        site: Some(0),
        seeds: vec![],
        persisted: vec![],
        allowed_networks: vec!["10.0.0.0/16".parse().unwrap()],
        view: ViewSettings { protocol_period: secs(0.5), max_hosts: 5, extensions: Extensions::all() },
        leases: LeaseSettings { term: secs(1.0), leave_term: secs(10.0), drift: 0.001, owned: 0.9 },
        shared_limits: vec![SharedLimit { volume: 1, limit: 100.0, owners: vec![0, 1, 2] }],
        previous_exit: PreviousExit::Unclean,
        seed: 3,
    }
}

fn datagram(slot: u32, generation: u64, body: Body, updates: Vec<MemberUpdate>) -> Bytes {
    Datagram { fleet: "f".into(), sender: update(slot, generation, 0, Health::Alive), body, updates }
        .to_bytes()
}

fn update(slot: u32, generation: u64, incarnation: u32, health: Health) -> MemberUpdate {
    MemberUpdate {
        slot,
        generation,
        incarnation,
        health,
        address: address(slot),
        site: Some(slot % 2),
        suspected_by: None,
    }
}

#[test]
fn persisted_peers_beyond_the_fleet_size_are_dropped() {
    // The fleet has five hosts; the store is of a larger one.
    let mut m = with_persisted(vec![peer(1, 9), peer(4, 9), peer(7, 9)]);
    let mut called = std::collections::BTreeSet::new();
    let mut written = Vec::new();
    for t in 0..200 {
        m.handle_timeout(Instant::from_secs(10.0 + f64::from(t) * 0.1));
        while let Some(o) = m.poll_output() {
            match o {
                Output::Send { to, .. } => _ = called.insert(to),
                Output::Persist(r) => written.extend(r.peers),
                _ => {}
            }
        }
    }
    assert_eq!(called.into_iter().collect::<Vec<_>>(), [address(1), address(4)]);
    assert!(written.iter().all(|peer| peer.slot < 5), "{written:?}");
}

#[test]
fn precedence_of_two_updates_on_a_member() {
    use Health::*;
    // Updates on host 1 one after the other, as generation, incarnation and health; and what holds then.
    type State = (u64, u32, Health);
    let cases: &[(&[State], State)] = &[
        (&[(1, 0, Alive), (1, 0, Suspect)], (1, 0, Suspect)),
        (&[(1, 0, Suspect), (1, 0, Alive)], (1, 0, Suspect)),
        (&[(1, 0, Suspect), (1, 1, Alive)], (1, 1, Alive)),
        (&[(1, 0, Dead), (1, 1, Alive)], (1, 1, Alive)),
        (&[(1, 5, Alive), (2, 0, Alive)], (2, 0, Alive)),
        (&[(2, 0, Alive), (1, 9, Dead)], (2, 0, Alive)),
        (&[(1, 0, Left), (1, 0, Alive)], (1, 0, Left)),
    ];
    for (received, held) in cases {
        let mut m = member(5);
        for (generation, incarnation, health) in *received {
            m.view.merge(Instant::from_secs(11.0), update(1, *generation, *incarnation, *health));
        }
        let s = m.snapshot().get(&1).cloned().unwrap();
        assert_eq!((s.generation, s.incarnation, s.health), *held, "{received:?}");
    }
}

#[test]
fn false_updates_on_this_host_are_refuted_and_a_later_generation_displaces_it() {
    let mut m = member(5);
    let now = Instant::from_secs(11.0);
    m.handle_datagram(now, address(1), datagram(1, 9, Body::Gossip, vec![update(0, 5, 3, Health::Dead)]));
    assert_eq!((m.view.me().incarnation, m.view.is_displaced()), (4, false));
    assert_eq!(m.quota_balance(Instant::from_secs(20.0), 1).unwrap().lent, 0.0);
    m.handle_datagram(now, address(1), datagram(1, 9, Body::Gossip, vec![update(0, 6, 0, Health::Alive)]));
    assert!(m.view.is_displaced());
    let quota_balance = m.quota_balance(Instant::from_secs(20.0), 1).unwrap();
    assert!((quota_balance.lent - 0.3).abs() < 1e-9 && quota_balance.borrowed == 0.0, "{quota_balance:?}");
}

#[test]
fn hostile_datagrams_stay_within_all_limits() {
    let mut m = member(5);
    let mut c = oorandom::Rand64::new(4);
    let mut now = 11.0;
    for i in 0..30_000u64 {
        now += 0.001;
        let t = Instant::from_secs(now);
        let (slot, generation) = (c.rand_range(0..12) as u32, c.rand_range(0..9));
        let share = c.rand_float() as f32;
        let x = c.rand_range(0..60) as u32;
        let body = match c.rand_range(0..9) {
            0 => Body::Probe(ProbeMessage::Ping { seq: x }),
            1 => Body::Probe(ProbeMessage::PingRequest { seq: x, slot: x % 8 }),
            2 => Body::Probe(ProbeMessage::Ack { seq: x }),
            3 => Body::Digest { members: x, overrides: x },
            4 => Body::Lease(LeaseMessage::Request {
                seq: x,
                active_seq: x,
                lender_generation: 5,
                volume: 1,
                share,
            }),
            5 => Body::Lease(LeaseMessage::Grant {
                request_seq: x,
                recipient_generation: 5,
                seq: x,
                volume: 1,
                share,
                term_ms: u32::MAX,
            }),
            6 => Body::Lease(LeaseMessage::Offer { volume: 1 }),
            7 => Body::Lease(LeaseMessage::Recall { volume: 1 }),
            _ => Body::Lease(LeaseMessage::Returned { recipient_generation: 5, volume: 1 }),
        };
        let updates = vec![update(c.rand_range(0..40) as u32, generation, x, Health::Alive)];
        let mut bytes = datagram(slot, generation, body, updates).to_vec();
        if i % 5 == 0 {
            let at = c.rand_range(0..bytes.len() as u64) as usize;
            bytes[at] ^= 1 << c.rand_range(0..8);
        }
        // From hosts' own addresses, from others', and outside the allowed networks.
        let from =
            if i % 7 == 0 { "192.168.0.1:9".parse().unwrap() } else { address(c.rand_range(1..9) as u32) };
        m.record_demand(t, 1, 0.2);
        m.handle_datagram(t, from, Bytes::from(bytes));
        m.handle_timeout(t);
        let quota_balance = m.quota_balance(t, 1).unwrap();
        assert!(
            quota_balance.borrowed <= 0.6 + 1e-9 && quota_balance.lent <= 0.3 + 1e-9,
            "{quota_balance:?}"
        );
        assert!(m.snapshot().len() <= 5, "the table is full");
        if i % 100 == 0 {
            while m.poll_output().is_some() {}
        }
    }
    let n = m.counters;
    assert!(n.rejected > 3000 && n.malformed > 100 && n.wrong_address > 100, "{n:?}");
}

#[test]
fn an_override_that_was_cleared_or_has_ended_never_comes_back() {
    let record = |remaining_ms, cleared| OverrideRecord {
        slot: 1,
        generation: 1,
        number: 7,
        kind: OverrideKind::Out,
        target: "zone:1".into(),
        reason: "r".into(),
        who: "w".into(),
        remaining_ms,
        total_ms: 60_000,
        cleared,
    };
    // What is merged and when; how often the host is told to set it, and to clear it.
    type Step = (f64, u64, bool);
    let cases: &[(&str, &[Step], (usize, usize))] = &[
        ("once", &[(10.0, 60_000, false), (11.0, 59_000, false)], (1, 0)),
        ("cleared", &[(10.0, 60_000, false), (20.0, 50_000, true), (21.0, 49_000, false)], (1, 1)),
        ("cleared before it was learned", &[(10.0, 50_000, true), (11.0, 60_000, false)], (0, 0)),
        ("ended", &[(10.0, 1_000, false), (12.0, 30_000, false)], (1, 0)),
        ("ended elsewhere", &[(10.0, 0, false)], (0, 0)),
    ];
    for (name, steps, expected) in cases {
        let mut s = OverrideGossip::default();
        let (mut held, mut let_go) = (0, 0);
        for (at, left, cleared) in *steps {
            let t = Instant::from_secs(*at);
            s.handle_timeout(t);
            s.merge(t, record(*left, *cleared));
            while let Some(d) = s.poll_event() {
                match d {
                    OverrideEvent::Set { .. } => held += 1,
                    OverrideEvent::Clear { .. } => let_go += 1,
                }
            }
        }
        assert_eq!((held, let_go), *expected, "{name}");
    }
}

#[test]
fn a_flood_drops_datagrams_and_never_an_override() {
    let mut m = member(5);
    let t = Instant::from_secs(11.0);
    let (target, reason, who) = ("zone:1".into(), "r".into(), "w".into());
    let (kind, remaining_ms, total_ms) = (OverrideKind::Out, 60_000, 60_000);
    let record = OverrideRecord {
        slot: 1,
        generation: 1,
        number: 7,
        kind,
        target,
        reason,
        who,
        remaining_ms,
        total_ms,
        cleared: false,
    };
    m.handle_datagram(t, address(1), datagram(1, 1, Body::Overrides(vec![record]), vec![]));
    for seq in 0..6_000 {
        m.handle_datagram(t, address(1), datagram(1, 1, Body::Probe(ProbeMessage::Ping { seq }), vec![]));
    }
    let all: Vec<Output> = std::iter::from_fn(|| m.poll_output()).collect();
    assert!(
        all.iter().any(|o| matches!(o, Output::Override(OverrideEvent::Set { .. }))),
        "it is reported once, and not dropped"
    );
    assert!(all.len() <= 4_100 && m.counters.dropped > 1_000, "{} and {:?}", all.len(), m.counters);
}

#[test]
fn an_update_that_nobody_has_blocks_nothing_and_only_requested_chunks_count() {
    let mut m = member(5);
    m.catalog.enable(CatalogVersion::default(), []);
    let at = |s: f64| Instant::from_secs(10.0 + s);
    let version =
        |number| Body::Catalog(CatalogMessage::Version { number, mark: number, remaining_ms: 5000 });
    m.handle_datagram(at(0.0), address(1), datagram(1, 1, version(u64::MAX), vec![]));
    assert_eq!((m.catalog.missing(), m.catalog.is_up_to_date()), (Some(u64::MAX), false));
    (1..40).for_each(|i| m.handle_timeout(at(f64::from(i) * 0.1)));
    assert_eq!((m.catalog.missing(), m.catalog.is_up_to_date()), (None, true), "nobody has it");

    // A real one, of three chunks; between them arrive chunks that were not requested, of other peers, and duplicates.
    let text: Vec<u8> = (0..3000u32).map(|i| i as u8).collect();
    let piece = |i: u16| {
        Body::Catalog(CatalogMessage::Chunk {
            number: 1,
            piece: i,
            pieces: 3,
            bytes: Bytes::copy_from_slice(
                &text[usize::from(i) * 1200..text.len().min(usize::from(i + 1) * 1200)],
            ),
        })
    };
    m.handle_datagram(at(5.0), address(1), datagram(1, 1, version(1), vec![]));
    for (from, i) in [(1, 2), (2, 0), (1, 0), (1, 0), (2, 1), (1, 1), (1, 1), (1, 2), (1, 2)] {
        m.handle_datagram(at(5.01), address(from), datagram(from, 1, piece(i), vec![]));
    }
    let received = std::iter::from_fn(|| m.poll_output()).filter_map(|o| match o {
        Output::CatalogUpdate(p) => Some(p),
        _ => None,
    });
    let received: Vec<CatalogUpdate> = received.collect();
    assert_eq!(received, [CatalogUpdate { number: 1, text: Bytes::from(text) }]);
    m.handle_catalog_applied(
        at(5.1),
        CatalogVersion { number: 1, mark: 1 },
        received[0].text.clone(),
        at(9.0),
    );
    assert_eq!((m.catalog.missing(), m.catalog.is_up_to_date(), m.catalog.newest()), (None, true, 1));

    // Endless chunks end at the greatest length of an update.
    m.handle_datagram(at(6.0), address(1), datagram(1, 1, version(2), vec![]));
    for i in 0..1000u16 {
        let bytes = Bytes::from(vec![0; 1200]);
        let body = Body::Catalog(CatalogMessage::Chunk { number: 2, piece: i, pieces: u16::MAX, bytes });
        m.handle_datagram(at(6.0), address(1), datagram(1, 1, body, vec![]));
    }
    assert_eq!(m.catalog.rejected, 1);
}
