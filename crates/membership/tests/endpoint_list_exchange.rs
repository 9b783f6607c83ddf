//! Tests of the exchange of endpoint list versions between two hosts: a host that is behind asks for the removals, removed
//! nodes stay removed, and the interval of requests grows.

use std::net::SocketAddr;
use tackmast::interface::Instant;
use tackmast_membership::{EndpointListExchange, EndpointListNotice, NodeRemoval, Transmit};
use tackmast_wire::peer::{Body, EndpointListMessage};

fn removal(node: usize) -> NodeRemoval {
    NodeRemoval { address: format!("10.0.0.{node}:7"), gone: node.is_multiple_of(2) }
}

fn at(seconds: f64) -> Instant {
    Instant::from_secs(seconds)
}

fn endpoint_list_message(body: Body) -> EndpointListMessage {
    match body {
        Body::EndpointList(message) => message,
        other => panic!("{other:?}"),
    }
}

fn address(slot: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, slot], 7))
}

/// Exchanges messages between two hosts, beginning with the sender's version, until none is left. Returns the notices
/// at the receiver.
fn exchange(
    sender: &mut EndpointListExchange,
    receiver: &mut EndpointListExchange,
    now: Instant,
) -> Vec<EndpointListNotice> {
    receiver.handle_message(now, address(1), sender.version_message());
    for _ in 0..10 {
        while let Some(Transmit { body, .. }) = receiver.poll_transmit() {
            sender.handle_message(now, address(2), endpoint_list_message(body));
        }
        while let Some(Transmit { body, .. }) = sender.poll_transmit() {
            receiver.handle_message(now, address(1), endpoint_list_message(body));
        }
    }
    std::iter::from_fn(|| receiver.poll_event()).collect()
}

/// A host's watch of the endpoint list receives nothing, and a peer has a newer version that removes ninety nodes. The host
/// must learn of all of them, from several datagrams, and must not ask again at once.
#[test]
fn a_host_that_is_behind_learns_what_a_newer_list_removes() {
    let (mut newer, mut older) = (EndpointListExchange::default(), EndpointListExchange::default());
    assert!(newer.handle_list(7, (0..90).map(removal)) && older.handle_list(5, []));
    let notices = exchange(&mut newer, &mut older, at(1.0));
    assert_eq!(notices.first(), Some(&EndpointListNotice::Behind { version: 7 }));
    let removed =
        notices.iter().filter(|notice| matches!(notice, EndpointListNotice::Removed { version: 7, .. }));
    assert_eq!(removed.count(), 90, "removals from several datagrams");
    // The host does not ask again at once, and does not ask at all once it is no longer behind.
    assert!(exchange(&mut newer, &mut older, at(1.1)).is_empty());
    assert!(!exchange(&mut newer, &mut older, at(1.5)).is_empty());
    assert!(older.handle_list(7, []) && exchange(&mut newer, &mut older, at(9.0)).is_empty());
    // A host that is ahead ignores the version of one that is behind.
    assert!(newer.handle_list(8, []) && exchange(&mut older, &mut newer, at(10.0)).is_empty());
    // A host without a list ignores all messages.
    let mut without_list = EndpointListExchange::default();
    assert!(exchange(&mut newer, &mut without_list, at(11.0)).is_empty());
}

/// Two list services number their versions independently, so that a host stays behind its peer forever. If the interval of
/// its requests did not grow, it would ask the peer and its service several times a second.
#[test]
fn asks_less_often_with_each_request_that_brings_no_newer_list() {
    let (mut newer, mut older) = (EndpointListExchange::default(), EndpointListExchange::default());
    newer.handle_list(70, []);
    older.handle_list(5, []);
    let mut request_count = 0;
    for tenth in 0..6_000 {
        // The peer announces its version ten times a second for ten minutes, and the service has no newer list.
        let notices = exchange(&mut newer, &mut older, at(f64::from(tenth) * 0.1));
        request_count += usize::from(!notices.is_empty());
        older.handle_list(5, []);
    }
    assert!((20..40).contains(&request_count), "{request_count}");
    // Once the service has a newer list, the host asks at once for one that is newer still.
    assert!(older.handle_list(6, []) && !exchange(&mut newer, &mut older, at(700.0)).is_empty());
}

/// A list service restarts from an old copy and serves an older version. Nodes that the newer version removed may be shut
/// down already, so they stay removed, and peers still learn the newer version.
#[test]
fn a_rollback_of_the_service_restores_no_node() {
    let mut exchange = EndpointListExchange::default();
    exchange.handle_list(7, [removal(1), removal(2)]);
    assert!(!exchange.handle_list(3, []));
    let notices: Vec<EndpointListNotice> = std::iter::from_fn(|| exchange.poll_event()).collect();
    assert_eq!(notices[0], EndpointListNotice::RolledBack { from: 7, to: 3 });
    assert_eq!(
        notices[1..],
        [1, 2].map(|node| EndpointListNotice::Removed { version: 7, removal: removal(node) })
    );
    // Peers still learn of the newer version.
    assert_eq!(exchange.version_message(), EndpointListMessage::Version { version: 7 });
    assert!(exchange.handle_list(8, []));
}
