//! Tests of the table of request ids alone.

use super::*;

fn at(secs: f64) -> Instant {
    Instant::from_secs(secs)
}

/// Accepts and finishes a request on connection 1, and returns whether the table had capacity for it.
fn finish_request(ids: &mut RequestIds, now: f64, id: &str, reaches_node: bool) -> bool {
    let has_capacity = ids.has_capacity(at(now));
    ids.insert(1, id);
    if reaches_node {
        ids.attempt_sent(1);
    }
    ids.finish(at(now), 1);
    has_capacity
}

/// Guards against a request that runs twice: a client leaves, others send thousands of requests that are rejected, and the id comes again.
#[test]
fn rejected_requests_displace_no_id_that_reached_a_node() {
    let mut ids = RequestIds::default();
    assert!(finish_request(&mut ids, 1.0, "left", true));
    for number in 0..100_000 {
        assert!(finish_request(&mut ids, 1.1, &format!("rejected-{number}"), false));
    }
    assert!(ids.is_in_use("left"));
    assert!(!ids.is_in_use("rejected-7"), "a request that reached no node may be repeated");
    assert_eq!(ids.in_use.len(), 1);
}

/// Guards against a request that runs twice because thousands of others reached nodes meanwhile: no id is forgotten within 5 s, also when
/// the table is full; new requests are rejected instead.
#[test]
fn full_table_rejects_requests_instead_of_forgetting_young_ids() {
    let mut ids = RequestIds::default();
    assert!(finish_request(&mut ids, 1.0, "left", true));
    let accepted = (0..100_000).filter(|number| {
        ids.has_capacity(at(2.0)) && finish_request(&mut ids, 2.0, &format!("sent-{number}"), true)
    });
    assert_eq!(accepted.count(), MAX_SENT_IDS - 1);
    assert!(ids.is_in_use("left"));
    // After 5 s the oldest ones make room.
    assert!(finish_request(&mut ids, 6.1, "next", true));
    assert_eq!(ids.in_use.len(), MAX_SENT_IDS);
    assert!(!ids.is_in_use("left") && ids.is_in_use("next"));
}

/// The table must not grow without bound, and an id may be used again after a minute.
#[test]
fn ids_are_forgotten_after_their_retention() {
    let mut ids = RequestIds::default();
    finish_request(&mut ids, 1.0, "a", true);
    finish_request(&mut ids, 60.9, "b", true);
    assert!(ids.is_in_use("a") && ids.is_in_use("b"));
    finish_request(&mut ids, 61.1, "c", false);
    assert!(!ids.is_in_use("a") && ids.is_in_use("b"));
    assert_eq!(ids.in_use.len(), 1);
}
