//! Operators' orders at the module: a weight scales what a node is given, a pin lifts the hold of a sick
//! node, and neither sends anything that the list or the cold guard forbids.

mod common;
use common::{secs, sent, Desk};
use std::collections::{HashMap, VecDeque};
use tackmast::interface::{Effect, ListKind, NodeId, NodeState, Outcome, SlowStart};

/// Attempts in 10 s at one node with plenty waiting, each answered after 50 ms as told.
fn attempts(weight: f64, pinned: bool, answer: Outcome, node: (NodeState, Option<f64>)) -> usize {
    let mut d = Desk::new(1, Effect::Idempotent, false);
    d.s.set_slow_start(SlowStart {
        safe_units: 4.0,
        initial_capacity: 0.2,
        duration: secs(20.0),
        window: secs(1.0),
        overload_multiple: 2.0,
    });
    d.list(ListKind::Complete, &[(0, node.0, node.1)]);
    d.s.node_overridden(d.at(), NodeId(0), weight, pinned);
    let (mut out, mut attempts, mut tries) = (VecDeque::new(), 0, HashMap::new());
    for step in 0..1000 {
        d.take(0, 2, step % 5, 1.0, 0, step);
        let end = d.now + 0.01;
        for (t, x) in d.until(end).into_iter().filter_map(|(t, x)| Some((t, sent(&x)?.0))) {
            let no = tries.entry(x).or_insert(0);
            out.push_back((t, x, *no));
            *no += 1;
            attempts += 1;
        }
        while let Some((_, x, no)) = out.pop_front_if(|o| o.0 + 0.05 <= end) {
            d.end(x, no, answer, 0.05);
        }
    }
    attempts
}

#[test]
fn weights_and_pins_reach_the_node_and_pass_no_guard() {
    let ready = (NodeState::Ready, None);
    let cold = (NodeState::Ready, Some(99.0));
    let all = attempts(1.0, false, Outcome::Done, ready);
    let sick = attempts(1.0, false, Outcome::Error, ready);
    let held = attempts(1.0, false, Outcome::Done, cold);
    // Weight, pinned, answers, node; the least and most attempts.
    for (name, weight, pinned, answer, node, least, most) in [
        ("half", 0.5, false, Outcome::Done, ready, all / 4, all * 3 / 4),
        ("a tenth", 0.1, false, Outcome::Done, ready, 1, all / 3),
        ("drains", 1.0, true, Outcome::Done, (NodeState::Draining, None), 0, 0),
        ("gone", 1.0, true, Outcome::Done, (NodeState::Gone, None), 0, 0),
        ("pinned and well", 1.0, true, Outcome::Done, ready, all, all),
        ("pinned and sick", 1.0, true, Outcome::Error, ready, sick * 2, usize::MAX),
        ("pinned and cold", 1.0, true, Outcome::Done, cold, 1, held),
    ] {
        let found = attempts(weight, pinned, answer, node);
        assert!((least..=most).contains(&found), "{name}: {found} of {all}, sick {sick}, cold {held}");
    }
}

#[test]
fn an_order_outlives_a_restart_of_its_node() {
    let mut d = Desk::new(1, Effect::Idempotent, false);
    d.ready(1);
    d.s.node_overridden(d.at(), NodeId(0), 0.01, false);
    d.now += 1.0;
    d.list(ListKind::Changes, &[(0, NodeState::Ready, Some(100.5))]);
    (0..20).for_each(|i| _ = d.take(0, 2, i, 1.0, 0, i));
    assert_eq!(d.pull().iter().filter_map(sent).count(), 1, "not all that a fresh cap would take");
}
