//! Operators' overrides of nodes: a weight scales what a node is sent, a pin keeps an unhealthy node in service, and
//! neither sends anything that the endpoint list or slow start forbids.

mod common;
use common::{secs, TestHost};
use std::collections::{HashMap, VecDeque};
use tackmast::interface::{Effect, ListKind, NodeId, NodeState, Outcome, SlowStartSettings};

/// Returns the number of attempts sent in 10 s to one node under constant load, each ending after 50 ms with `outcome`.
fn count_attempts(weight: f64, is_pinned: bool, outcome: Outcome, node: (NodeState, Option<f64>)) -> usize {
    let mut host = TestHost::new(1, Effect::Idempotent, false);
    host.scheduler.set_slow_start(SlowStartSettings {
        safe_units: 4.0,
        initial_capacity: 0.2,
        duration: secs(20.0),
        window: secs(1.0),
        overload_multiple: 2.0,
    });
    host.send_list(ListKind::Complete, &[(0, node.0, node.1)]);
    host.scheduler.node_overridden(host.instant(), NodeId(0), weight, is_pinned);
    let (mut in_flight, mut attempts, mut next_numbers) = (VecDeque::new(), 0, HashMap::new());
    for step in 0..1000 {
        host.submit(0, 2, step % 5, 1.0, 0, step);
        let end = host.now + 0.01;
        for (sent_at, id) in host.run_timed_sends(end) {
            let number = next_numbers.entry(id).or_insert(0);
            in_flight.push_back((sent_at, id, *number));
            *number += 1;
            attempts += 1;
        }
        while let Some((_, id, number)) = in_flight.pop_front_if(|attempt| attempt.0 + 0.05 <= end) {
            host.end_attempt(id, number, outcome, 0.05);
        }
    }
    attempts
}

/// A weight must scale the attempts at a node, and a pin must keep an unhealthy node in service. Neither may send anything
/// that the endpoint list or slow start forbids.
#[test]
fn weights_and_pins_change_the_attempts_at_a_node_and_bypass_no_guard() {
    let ready = (NodeState::Ready, None);
    let restarted = (NodeState::Ready, Some(99.0));
    let all = count_attempts(1.0, false, Outcome::Done, ready);
    let unhealthy = count_attempts(1.0, false, Outcome::Error, ready);
    let in_slow_start = count_attempts(1.0, false, Outcome::Done, restarted);
    // Case, weight, whether pinned, outcome of each attempt, node; minimum and maximum of attempts.
    for (name, weight, is_pinned, outcome, node, min, max) in [
        ("half", 0.5, false, Outcome::Done, ready, all / 4, all * 3 / 4),
        ("a tenth", 0.1, false, Outcome::Done, ready, 1, all / 3),
        ("draining", 1.0, true, Outcome::Done, (NodeState::Draining, None), 0, 0),
        ("gone", 1.0, true, Outcome::Done, (NodeState::Gone, None), 0, 0),
        ("pinned and healthy", 1.0, true, Outcome::Done, ready, all, all),
        ("pinned and unhealthy", 1.0, true, Outcome::Error, ready, unhealthy * 2, usize::MAX),
        ("pinned and in slow start", 1.0, true, Outcome::Done, restarted, 1, in_slow_start),
    ] {
        let found = count_attempts(weight, is_pinned, outcome, node);
        assert!(
            (min..=max).contains(&found),
            "{name}: {found} of {all}, unhealthy {unhealthy}, slow start {in_slow_start}"
        );
    }
}

/// A restart of a node discards what was observed of it. The operator's override must stay.
#[test]
fn an_override_survives_a_restart_of_its_node() {
    let mut host = TestHost::new(1, Effect::Idempotent, false);
    host.list_ready_nodes(1);
    host.scheduler.node_overridden(host.instant(), NodeId(0), 0.01, false);
    host.now += 1.0;
    host.send_list(ListKind::Changes, &[(0, NodeState::Ready, Some(100.5))]);
    (0..20).for_each(|i| _ = host.submit(0, 2, i, 1.0, 0, i));
    assert_eq!(host.poll_sends().len(), 1, "the weight still bounds attempts after the restart");
}
