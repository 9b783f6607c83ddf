//! Tests of a single member, which they drive: hostile and malformed datagrams, precedence of updates, another generation
//! of its own slot, overrides that have ended, and catalog updates that no peer has.

use bytes::Bytes;
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_membership::*;
use tackmast_wire::peer::{Body, CatalogMessage, LeaseMessage, ProbeMessage};

fn address(slot: u32) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, slot as u8], 7000))
}

fn new_member(generation: u64) -> Member {
    Member::new(Instant::from_secs(10.0), settings(generation))
}

fn member_with_persisted(persisted: Vec<KnownPeer>) -> Member {
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

/// A host of a fleet of five starts from the store of a larger fleet. Peers with greater slots must be neither
/// contacted nor persisted again, as this would repeat forever.
#[test]
fn drops_persisted_peers_beyond_the_fleet_size() {
    let mut member = member_with_persisted(vec![peer(1, 9), peer(4, 9), peer(7, 9)]);
    let mut contacted = std::collections::BTreeSet::new();
    let mut persisted = Vec::new();
    for tenth in 0..200 {
        member.handle_timeout(Instant::from_secs(10.0 + f64::from(tenth) * 0.1));
        while let Some(output) = member.poll_output() {
            match output {
                Output::Send { to, .. } => _ = contacted.insert(to),
                Output::Persist(members) => persisted.extend(members.peers),
                _ => {}
            }
        }
    }
    assert_eq!(contacted.into_iter().collect::<Vec<_>>(), [address(1), address(4)]);
    assert!(persisted.iter().all(|peer| peer.slot < 5), "{persisted:?}");
}

/// Two updates on a member arrive one after the other. Views converge only if all hosts keep the same one: that with the
/// later generation, then the later incarnation, then the worse health.
#[test]
fn later_generation_then_incarnation_then_worse_health_takes_precedence() {
    use Health::*;
    // Updates on host 1 in order, as generation, incarnation and health, and the state after them.
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
    for (received, expected) in cases {
        let mut member = new_member(5);
        for (generation, incarnation, health) in *received {
            member.view.merge(Instant::from_secs(11.0), update(1, *generation, *incarnation, *health));
        }
        let state = member.snapshot().get(&1).cloned().unwrap();
        assert_eq!((state.generation, state.incarnation, state.health), *expected, "{received:?}");
    }
}

/// A peer reports this host dead, which it refutes. Then the host learns of a later generation of its slot. The two
/// processes must not both use the slot's quota, so the earlier one must use none.
#[test]
fn refutes_false_updates_on_itself_and_yields_its_quota_to_a_later_generation() {
    let mut member = new_member(5);
    let now = Instant::from_secs(11.0);
    member.handle_datagram(
        now,
        address(1),
        datagram(1, 9, Body::Gossip, vec![update(0, 5, 3, Health::Dead)]),
    );
    assert_eq!((member.view.me().incarnation, member.view.is_displaced()), (4, false));
    assert_eq!(member.quota_balance(Instant::from_secs(20.0), 1).unwrap().lent, 0.0);
    member.handle_datagram(
        now,
        address(1),
        datagram(1, 9, Body::Gossip, vec![update(0, 6, 0, Health::Alive)]),
    );
    assert!(member.view.is_displaced());
    let quota_balance = member.quota_balance(Instant::from_secs(20.0), 1).unwrap();
    assert!((quota_balance.lent - 0.3).abs() < 1e-9 && quota_balance.borrowed == 0.0, "{quota_balance:?}");
}

/// Peers send random, damaged and forged datagrams of all kinds. The size of the table, the quota lent and the quota
/// borrowed must stay within their bounds at every step.
#[test]
fn hostile_datagrams_exceed_no_bound() {
    let mut member = new_member(5);
    let mut random = oorandom::Rand64::new(4);
    let mut seconds = 11.0;
    for step in 0..30_000u64 {
        seconds += 0.001;
        let now = Instant::from_secs(seconds);
        let (slot, generation) = (random.rand_range(0..12) as u32, random.rand_range(0..9));
        let share = random.rand_float() as f32;
        let number = random.rand_range(0..60) as u32;
        let body = match random.rand_range(0..9) {
            0 => Body::Probe(ProbeMessage::Ping { seq: number }),
            1 => Body::Probe(ProbeMessage::PingRequest { seq: number, slot: number % 8 }),
            2 => Body::Probe(ProbeMessage::Ack { seq: number }),
            3 => Body::Digest { members: number, overrides: number },
            4 => Body::Lease(LeaseMessage::Request {
                seq: number,
                active_seq: number,
                lender_generation: 5,
                volume: 1,
                share,
            }),
            5 => Body::Lease(LeaseMessage::Grant {
                request_seq: number,
                recipient_generation: 5,
                seq: number,
                volume: 1,
                share,
                term_ms: u32::MAX,
            }),
            6 => Body::Lease(LeaseMessage::Offer { volume: 1 }),
            7 => Body::Lease(LeaseMessage::Recall { volume: 1 }),
            _ => Body::Lease(LeaseMessage::Returned { recipient_generation: 5, volume: 1 }),
        };
        let updates = vec![update(random.rand_range(0..40) as u32, generation, number, Health::Alive)];
        let mut bytes = datagram(slot, generation, body, updates).to_vec();
        if step % 5 == 0 {
            let damaged_index = random.rand_range(0..bytes.len() as u64) as usize;
            bytes[damaged_index] ^= 1 << random.rand_range(0..8);
        }
        // Datagrams come from the hosts' own addresses, from other ones, and from outside the allowed networks.
        let from = if step % 7 == 0 {
            "192.168.0.1:9".parse().unwrap()
        } else {
            address(random.rand_range(1..9) as u32)
        };
        member.record_demand(now, 1, 0.2);
        member.handle_datagram(now, from, Bytes::from(bytes));
        member.handle_timeout(now);
        let quota_balance = member.quota_balance(now, 1).unwrap();
        assert!(
            quota_balance.borrowed <= 0.6 + 1e-9 && quota_balance.lent <= 0.3 + 1e-9,
            "{quota_balance:?}"
        );
        assert!(member.snapshot().len() <= 5, "the table has more members than the fleet");
        if step % 100 == 0 {
            while member.poll_output().is_some() {}
        }
    }
    let counters = member.counters;
    assert!(
        counters.rejected > 3000 && counters.malformed > 100 && counters.wrong_address > 100,
        "{counters:?}"
    );
}

/// An override is cleared or ends, and a peer that was cut off still has it as set. The peer's gossip must not set it
/// again.
#[test]
fn an_override_that_was_cleared_or_has_ended_is_not_set_again() {
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
    // Case; when each record is merged, its remaining milliseconds, and whether it is cleared; expected number of events to
    // set and to clear the override.
    type Step = (f64, u64, bool);
    let cases: &[(&str, &[Step], (usize, usize))] = &[
        ("once", &[(10.0, 60_000, false), (11.0, 59_000, false)], (1, 0)),
        ("cleared", &[(10.0, 60_000, false), (20.0, 50_000, true), (21.0, 49_000, false)], (1, 1)),
        ("cleared before it was learned", &[(10.0, 50_000, true), (11.0, 60_000, false)], (0, 0)),
        ("ended", &[(10.0, 1_000, false), (12.0, 30_000, false)], (1, 0)),
        ("ended at a peer", &[(10.0, 0, false)], (0, 0)),
    ];
    for (name, steps, expected) in cases {
        let mut overrides = OverrideGossip::default();
        let (mut set_count, mut clear_count) = (0, 0);
        for (seconds, remaining_ms, cleared) in *steps {
            let now = Instant::from_secs(*seconds);
            overrides.handle_timeout(now);
            overrides.merge(now, record(*remaining_ms, *cleared));
            while let Some(event) = overrides.poll_event() {
                match event {
                    OverrideEvent::Set { .. } => set_count += 1,
                    OverrideEvent::Clear { .. } => clear_count += 1,
                }
            }
        }
        assert_eq!((set_count, clear_count), *expected, "{name}");
    }
}

/// A peer's override waits to be polled while thousands of pings arrive. The answers to the pings may be dropped, but the
/// override may not, as it is reported only once.
#[test]
fn flood_of_datagrams_drops_answers_but_no_override() {
    let mut member = new_member(5);
    let now = Instant::from_secs(11.0);
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
    member.handle_datagram(now, address(1), datagram(1, 1, Body::Overrides(vec![record]), vec![]));
    for seq in 0..6_000 {
        member.handle_datagram(
            now,
            address(1),
            datagram(1, 1, Body::Probe(ProbeMessage::Ping { seq }), vec![]),
        );
    }
    let outputs: Vec<Output> = std::iter::from_fn(|| member.poll_output()).collect();
    assert!(
        outputs.iter().any(|output| matches!(output, Output::Override(OverrideEvent::Set { .. }))),
        "the override was dropped"
    );
    assert!(
        outputs.len() <= 4_100 && member.counters.dropped > 1_000,
        "{} and {:?}",
        outputs.len(),
        member.counters
    );
}

/// A peer announces a catalog update that it can't send, and peers send chunks that were not requested, or an unlimited
/// number of chunks. These must not block later updates, become part of an update, or fill the memory.
#[test]
fn fetch_without_chunks_is_given_up_and_only_requested_chunks_are_accepted() {
    let mut member = new_member(5);
    member.catalog.enable(CatalogVersion::default(), []);
    let at = |seconds: f64| Instant::from_secs(10.0 + seconds);
    let version =
        |number| Body::Catalog(CatalogMessage::Version { number, digest_prefix: number, remaining_ms: 5000 });
    member.handle_datagram(at(0.0), address(1), datagram(1, 1, version(u64::MAX), vec![]));
    assert_eq!((member.catalog.missing(), member.catalog.is_up_to_date()), (Some(u64::MAX), false));
    (1..40).for_each(|tenth| member.handle_timeout(at(f64::from(tenth) * 0.1)));
    assert_eq!(
        (member.catalog.missing(), member.catalog.is_up_to_date()),
        (None, true),
        "the fetch is given up"
    );

    // An update has three chunks. Between them arrive chunks that were not requested, chunks of other peers, and
    // duplicates.
    let text: Vec<u8> = (0..3000u32).map(|byte| byte as u8).collect();
    let chunk = |piece: u16| {
        Body::Catalog(CatalogMessage::Chunk {
            number: 1,
            piece,
            pieces: 3,
            bytes: Bytes::copy_from_slice(
                &text[usize::from(piece) * 1200..text.len().min(usize::from(piece + 1) * 1200)],
            ),
        })
    };
    member.handle_datagram(at(5.0), address(1), datagram(1, 1, version(1), vec![]));
    for (from, piece) in [(1, 2), (2, 0), (1, 0), (1, 0), (2, 1), (1, 1), (1, 1), (1, 2), (1, 2)] {
        member.handle_datagram(at(5.01), address(from), datagram(from, 1, chunk(piece), vec![]));
    }
    let received = std::iter::from_fn(|| member.poll_output()).filter_map(|output| match output {
        Output::CatalogUpdate(update) => Some(update),
        _ => None,
    });
    let received: Vec<CatalogUpdate> = received.collect();
    assert_eq!(received, [CatalogUpdate { number: 1, text: Bytes::from(text) }]);
    member.handle_catalog_applied(
        at(5.1),
        CatalogVersion { number: 1, digest_prefix: 1 },
        received[0].text.clone(),
        at(9.0),
    );
    assert_eq!(
        (member.catalog.missing(), member.catalog.is_up_to_date(), member.catalog.newest()),
        (None, true, 1)
    );

    // A fetch with an unlimited number of chunks stops at the maximum length of an update.
    member.handle_datagram(at(6.0), address(1), datagram(1, 1, version(2), vec![]));
    for piece in 0..1000u16 {
        let bytes = Bytes::from(vec![0; 1200]);
        let body = Body::Catalog(CatalogMessage::Chunk { number: 2, piece, pieces: u16::MAX, bytes });
        member.handle_datagram(at(6.0), address(1), datagram(1, 1, body, vec![]));
    }
    assert_eq!(member.catalog.rejected, 1);
}
