//! Notices of newer node lists between two hosts: who is behind asks, what is removed stays removed, and nobody is asked
//! endlessly.

use std::net::SocketAddr;
use tackmast::interface::Instant;
use tackmast_membership::{NodeListEvent, NodeListNotices, NodeRemoval, Transmit};
use tackmast_wire::peer::{Body, NodeListMessage};

fn removal(n: usize) -> NodeRemoval {
    NodeRemoval { address: format!("10.0.0.{n}:7"), gone: n.is_multiple_of(2) }
}

fn at(s: f64) -> Instant {
    Instant::from_secs(s)
}

fn inner(body: Body) -> NodeListMessage {
    match body {
        Body::NodeList(message) => message,
        other => panic!("{other:?}"),
    }
}

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7))
}

/// Both exchange messages, beginning with `a`'s version, until none is left; the events at `b`.
fn exchange(a: &mut NodeListNotices, b: &mut NodeListNotices, now: Instant) -> Vec<NodeListEvent> {
    b.handle_message(now, address(1), a.version_message());
    for _ in 0..10 {
        while let Some(Transmit { body, .. }) = b.poll_transmit() {
            a.handle_message(now, address(2), inner(body));
        }
        while let Some(Transmit { body, .. }) = a.poll_transmit() {
            b.handle_message(now, address(1), inner(body));
        }
    }
    std::iter::from_fn(|| b.poll_event()).collect()
}

#[test]
fn a_host_that_is_behind_learns_what_a_newer_list_removes() {
    let (mut a, mut b) = (NodeListNotices::default(), NodeListNotices::default());
    assert!(a.handle_list(7, (0..90).map(removal)) && b.handle_list(5, []));
    let events = exchange(&mut a, &mut b, at(1.0));
    assert_eq!(events.first(), Some(&NodeListEvent::Behind { version: 7 }));
    let removed = events.iter().filter(|c| matches!(c, NodeListEvent::Removed { version: 7, .. }));
    assert_eq!(removed.count(), 90, "over several datagrams");
    // It is not asked again at once, and not at all once it is no longer behind.
    assert!(exchange(&mut a, &mut b, at(1.1)).is_empty());
    assert!(!exchange(&mut a, &mut b, at(1.5)).is_empty());
    assert!(b.handle_list(7, []) && exchange(&mut a, &mut b, at(9.0)).is_empty());
    // The one that is ahead takes nothing from the one behind.
    assert!(a.handle_list(8, []) && exchange(&mut b, &mut a, at(10.0)).is_empty());
    // Nothing is sent or taken where no list was held yet.
    let mut c = NodeListNotices::default();
    assert!(exchange(&mut a, &mut c, at(11.0)).is_empty());
}

#[test]
fn services_with_separate_versions_are_not_asked_endlessly() {
    let (mut a, mut b) = (NodeListNotices::default(), NodeListNotices::default());
    a.handle_list(70, []);
    b.handle_list(5, []);
    let mut asked = 0;
    for i in 0..6_000 {
        // A version each tenth of a second, for ten minutes; the service has nothing newer.
        asked += usize::from(!exchange(&mut a, &mut b, at(f64::from(i) * 0.1)).is_empty());
        b.handle_list(5, []);
    }
    assert!((20..40).contains(&asked), "{asked}");
    // Once it has, the next one is asked for at once.
    assert!(b.handle_list(6, []) && !exchange(&mut a, &mut b, at(700.0)).is_empty());
}

#[test]
fn a_service_that_rolls_back_restores_no_node() {
    let mut a = NodeListNotices::default();
    a.handle_list(7, [removal(1), removal(2)]);
    assert!(!a.handle_list(3, []));
    let events: Vec<NodeListEvent> = std::iter::from_fn(|| a.poll_event()).collect();
    assert_eq!(events[0], NodeListEvent::RolledBack { from: 7, to: 3 });
    assert_eq!(events[1..], [1, 2].map(|n| NodeListEvent::Removed { version: 7, removal: removal(n) }));
    // Peers still learn of the newer one.
    assert_eq!(a.version_message(), NodeListMessage::Version { version: 7 });
    assert!(a.handle_list(8, []));
}
