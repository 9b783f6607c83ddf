//! The ordinary path: buckets, order, shares, caps, the pick, and sameness.

mod common;
use common::{secs, sent, Desk};
use tackmast::histogram::Histogram;
use tackmast::interface::*;

fn desk(nodes: u32) -> Desk {
    let mut d = Desk::new(1, Effect::Idempotent, false);
    d.ready(nodes);
    d
}

/// Fills the node's caps, so that what is taken next has to wait for an answer.
fn fill(d: &mut Desk, traffic_class: u32) -> Vec<RequestId> {
    for i in 0..40 {
        d.take(traffic_class, 2, 90, 1.0, 0, 1000 + i);
    }
    d.pull().iter().filter_map(sent).map(|s| s.0).collect()
}

#[test]
fn caps_bound_what_is_out_by_count_and_units() {
    for (units, least, most) in [(1.0, 4, 8), (4.0, 2, 5), (16.0, 1, 1)] {
        let mut d = desk(1);
        (0..50).for_each(|i| _ = d.take(0, 2, i, units, 0, i));
        let out = d.pull().iter().filter_map(sent).count();
        assert!((least..=most).contains(&out), "{out} out at {units} units each");
    }
}

#[test]
fn caps_shrink_the_more_hosts_share_the_node() {
    // Hosts, traffic class, how long answers take, what the node says waits there; the least and most
    // attempts of one host with plenty waiting in 10 s. Many must not fill a node where each keeps only one
    // out, and looser streams must leave it to the tight ones of hosts they don't see.
    for (hosts, traffic_class, took, waiting, least, most) in [
        (1, 0, 0.05, 0.0, 400, 4000),
        (4, 0, 0.4, 0.0, 10, 120),
        (250, 0, 0.05, 0.0, 100, 4000),
        (250, 0, 0.4, 0.0, 2, 20),
        (250, 0, 0.05, 20.0, 15, 40),
        (250, 1, 0.05, 20.0, 2, 12),
    ] {
        let mut d = Desk::new(hosts, Effect::Idempotent, false);
        d.ready(1);
        let (mut out, mut attempts) = (std::collections::VecDeque::new(), 0);
        for step in 0..1000 {
            d.take(traffic_class, 2, step % 5, 1.0, 0, step);
            let end = d.now + 0.01;
            for (t, x) in d.until(end).into_iter().filter_map(|(t, x)| Some((t, sent(&x)?.0))) {
                out.push_back((t, x));
                attempts += 1;
            }
            while let Some((_, x)) = out.pop_front_if(|o| o.0 + took <= end) {
                d.s.load_reported(d.at(), NodeId(0), waiting);
                d.end(x, 0, Outcome::Done, took);
            }
        }
        assert!((least..=most).contains(&attempts), "{hosts} {traffic_class} {took} {waiting}: {attempts}");
    }
}

#[test]
fn who_leaves_first_when_a_place_is_free() {
    // What waits (stream, plan) in order of arrival; which one leaves.
    let table = [
        (vec![(1, 2), (0, 2)], 1, "the tighter latency objective"),
        (vec![(0, 2), (0, 1)], 1, "inside the reservation first"),
        (vec![(1, 1), (0, 2)], 1, "priority comes before the reservation"),
        (vec![(0, 1), (0, 1)], 0, "order of arrival else"),
    ];
    for (waiting, expected, why) in table {
        let mut d = desk(1);
        let out = fill(&mut d, 0);
        let ids: Vec<_> = waiting.iter().zip(1..).map(|(&(s, p), v)| d.take(s, p, v, 1.0, 0, 0)).collect();
        // Two places, since units past the reservation may use only part of the cap.
        d.now += 0.05;
        out.iter().for_each(|x| d.end(*x, 0, Outcome::Done, 0.05));
        let next: Vec<_> = d.pull().iter().filter_map(sent).map(|s| s.0).collect();
        let place = |id: &RequestId| next.iter().position(|n| n == id).unwrap_or(usize::MAX);
        assert!(ids.iter().all(|i| place(i) >= place(&ids[expected])), "{why}: {next:?}");
    }
}

#[test]
fn excess_units_follow_the_weights() {
    // Plans and units of two volumes that always have work waiting; what the first gets for one of the other.
    for (plans, units, expected) in
        [([2, 3], [1.0, 1.0], 3.0), ([3, 3], [1.0, 4.0], 1.0), ([2, 3], [4.0, 1.0], 3.0)]
    {
        let mut d = desk(1);
        let (mut served, mut owner, mut out) = ([0.0; 2], std::collections::HashMap::new(), Vec::new());
        for step in 0..4000 {
            // The second volume's requests come as often in units as the first one's.
            for v in 0..2usize {
                let each = (4.0 / units[v]) as u32;
                (0..each).for_each(|_| _ = owner.insert(d.take(0, plans[v], v as u32, units[v], 0, step), v));
            }
            out.extend(d.pull().iter().filter_map(sent).map(|s| s.0));
            d.now += 0.01;
            // Some answers a step keep the node under pressure.
            for x in out.drain(..out.len().min(2)) {
                d.end(x, 0, Outcome::Done, 0.1);
                served[owner[&x]] += units[owner[&x]];
            }
        }
        let ratio = served[0] / served[1];
        assert!((ratio / expected).ln().abs() < 0.25, "{plans:?} {units:?}: {ratio:.2}");
    }
}

#[test]
fn a_failing_node_gets_a_trickle_and_recovers() {
    for bad in [Outcome::Error, Outcome::Refused, Outcome::Reset] {
        let mut d = desk(1);
        let (mut sick, mut well) = (0, 0);
        for step in 0..400 {
            d.take(0, 2, step % 7, 1.0, 0, step);
            let o = if step < 200 { bad } else { Outcome::Done };
            let end = d.now + 0.02;
            for (_, x) in d.until(end) {
                let Some((x, _)) = sent(&x) else { continue };
                (0..4).for_each(|attempt| d.end(x, attempt, o, 0.01));
                match step {
                    100..=199 => sick += 1,
                    300.. => well += 1,
                    _ => {}
                }
            }
        }
        assert!(sick > 0 && sick <= 30, "{bad:?}: a trickle only, got {sick}");
        assert!(well >= 90, "{bad:?}: back in service, got {well}");
    }
}

#[test]
fn nodes_that_are_gone_are_forgotten_wherever_they_were_listed() {
    // Nodes under new ids without end; each is listed for one shard, then for another, then gone.
    let mut d = desk(1);
    for round in 1..200u32 {
        let entry = |node: u32, shard: u32, state| NodeEntry {
            node: NodeId(node),
            state,
            zone: ZoneId(0),
            shard: ShardId(shard),
            up_since: None,
        };
        let (at, id) = (d.at(), round);
        d.s.nodes_changed(at, ListKind::Changes, &[entry(id, 1, NodeState::Ready)]);
        d.s.nodes_changed(at, ListKind::Changes, &[entry(id, 2, NodeState::Ready)]);
        for shard in 0..3 {
            d.take(0, 2, round, 1.0, shard, round);
        }
        for (x, _) in d.pull().iter().filter_map(sent) {
            d.end(x, 0, Outcome::Done, 0.01);
        }
        d.s.nodes_changed(at, ListKind::Changes, &[entry(id, 2, NodeState::Gone)]);
        let end = d.now + 10.0;
        d.until(end);
    }
    let (nodes, volumes) = (d.s.node_count(), d.s.volume_count());
    assert!(nodes <= 8, "{nodes} nodes known");
    // Volumes: the table fills before those at rest are forgotten.
    for volume in 0..3000u32 {
        d.take(0, 0, 1000 + volume, 1.0, 0, 0);
        let end = d.now + 0.1;
        for (_, x) in d.until(end) {
            if let Some((x, _)) = sent(&x) {
                d.end(x, 0, Outcome::Done, 0.01);
            }
        }
    }
    let known = d.s.volume_count();
    assert!(known <= 512 + volumes.min(1), "{known} volumes known");
}

#[test]
fn a_node_that_fails_by_chance_is_asked_again_in_time() {
    // How many of ten attempts fail, and how long that takes; requests of 100 done within the latency
    // objective, at least and most.
    for (failing, took, least, most) in [(5, 0.005, 85, 100), (7, 0.005, 60, 100), (5, 0.3, 30, 70)] {
        let mut d = desk(1);
        let (mut attempts, mut done, mut out) = (0u32, 0, Vec::<(f64, RequestId, u32)>::new());
        let mut tries = std::collections::HashMap::<RequestId, u32>::new();
        for step in 0..2000 {
            if step % 20 == 0 {
                d.take(0, 2, step % 7, 1.0, 0, step);
            }
            let end = d.now + 0.01;
            for (t, x) in d.until(end).into_iter().filter_map(|(t, x)| Some((t, sent(&x)?.0))) {
                let no = tries.entry(x).or_default();
                out.push((t + took, x, *no));
                *no += 1;
            }
            while let Some(i) = out.iter().position(|o| o.0 <= end) {
                let (_, x, no) = out.remove(i);
                // Spread evenly, and in no step with the attempts of a request.
                let fails = attempts * 7 % 10 < failing;
                attempts += 1;
                done += u32::from(!fails);
                d.end(x, no, if fails { Outcome::Error } else { Outcome::Done }, took);
            }
        }
        assert!(
            (least..=most).contains(&done),
            "{failing} of ten fail in {took} s: {done} done, {attempts} attempts"
        );
    }
}

#[test]
fn lost_attempts_are_sent_again_in_time_and_slow_ones_are_not() {
    // Whether every seventh attempt is lost, or all come back slowly; whether time-outs are set in the end.
    for (lossy, took, expected) in [(true, 0.02, true), (false, 0.02, false), (false, 0.3, false)] {
        let mut d = desk(3);
        let (mut silent, mut timed, mut attempts) = (Vec::new(), 0, vec![0; 1200]);
        for step in 0..1200u32 {
            d.take(0, 2, step % 9, 1.0, (step % 3) as i32, step);
            for x in d.pull() {
                let Decision::Send { request, timeout, .. } = x else { continue };
                timed += u32::from(step > 1000 && timeout.is_some());
                attempts[request.0 as usize] += 1;
                let until = d.now + timeout.map_or(2.9, TimeDelta::secs);
                match lossy && request.0 % 7 == 0 {
                    true => silent.push((request, attempts[request.0 as usize] - 1, until)),
                    false => d.end(request, 0, Outcome::Done, took),
                }
            }
            let now = d.now;
            for (x, attempt, _) in silent.extract_if(.., |s| s.2 <= now) {
                d.end(x, attempt, Outcome::TimedOut, 1.0);
            }
            d.now += 0.005;
        }
        assert_eq!(timed > 0, expected, "lossy {lossy} took {took}: {timed}");
    }
}

#[test]
fn a_node_that_serves_nothing_gets_less_and_a_lossy_link_does_not() {
    // How long clients wait, how many of ten attempts in a row are not answered in that time; the least and
    // most attempts in 120 s at 100 hosts. A drowned node, or one too slow for hurried clients, never answers
    // slowly.
    for (left, lost, least, most) in
        [(3.0, 0, 300, 4000), (3.0, 1, 80, 4000), (3.0, 10, 5, 30), (0.08, 10, 5, 80)]
    {
        let mut d = Desk::new(100, Effect::Idempotent, false);
        d.ready(1);
        d.left = left;
        let mut out = std::collections::BTreeMap::<RequestId, (f64, bool)>::new();
        let (mut attempts, mut timed) = (0, 0);
        for step in 0..1200 {
            d.take(0, 2, step % 5, 1.0, 0, step);
            let end = d.now + 0.1;
            for (t, x) in d.until(end) {
                let Decision::Send { request, timeout, .. } = x else { continue };
                let silent = attempts % 10 < lost;
                (attempts, timed) = (attempts + 1, timed + u32::from(timeout == Some(secs(0.5))));
                out.insert(
                    request,
                    (t + if silent { timeout.map_or(left, TimeDelta::secs) } else { 0.05 }, silent),
                );
            }
            while let Some((x, silent)) = out.iter().find(|o| o.1 .0 <= end).map(|o| (*o.0, o.1 .1)) {
                out.remove(&x);
                let o = if silent { Outcome::TimedOut } else { Outcome::Done };
                (0..4).for_each(|attempt| d.end(x, attempt, o, if silent { left } else { 0.05 }));
            }
        }
        assert!((least..=most).contains(&attempts), "{left} s, {lost} of 10 lost: {attempts} attempts");
        assert_eq!(timed > 5, lost == 10 && left > 0.5, "time-outs that let a queue drop: {timed}");
    }
}

#[test]
fn a_retry_by_the_client_keeps_its_first_latency_objective() {
    // Key and time left of what comes after one on key 1 with 3 s left was rejected; whether it is in time.
    for (key, left, in_time) in [(1, 2.4, false), (2, 2.4, true), (1, 3.0, true), (2, 0.3, true)] {
        let mut d = Desk::new(1, Effect::Idempotent, false);
        d.take(0, 0, 0, 1.0, 0, 1);
        assert!(d.until(100.6).iter().any(|(_, x)| matches!(x, Decision::Reject { .. })));
        d.ready(1);
        d.left = left;
        let x = d.take(0, 0, 0, 1.0, 0, key);
        let sent = d.pull().iter().filter_map(sent).any(|s| s.0 == x);
        assert_eq!(sent, in_time, "key {key} with {left} s left");
    }
}

#[test]
fn new_objects_take_turns_by_what_nodes_manage() {
    // How long each of two nodes takes for an answer; the least and most that the first gets of 200.
    for (a, b, least, most) in [(0.05, 0.05, 90, 110), (0.02, 0.1, 110, 190), (0.1, 0.02, 10, 90)] {
        let mut d = desk(2);
        let mut first = 0;
        for i in 0..300 {
            let x = d.take(0, 2, i % 9, 1.0, -1, i);
            let to = d.pull().iter().filter_map(sent).find(|s| s.0 == x).map(|s| s.1 .0);
            let took = if to == Some(0) { a } else { b };
            first += u32::from(to == Some(0) && i >= 100);
            d.now += took;
            d.end(x, 0, Outcome::Done, took);
        }
        assert!((least..=most).contains(&first), "{a} {b}: {first}");
    }
    // Hosts don't all begin at the same node.
    let mut firsts = [0; 5];
    for seed in 0..200 {
        let mut d = Desk::of(seed, 200, Effect::Idempotent, false);
        d.ready(5);
        d.take(0, 2, 0, 1.0, -1, 0);
        let to = d.pull().iter().filter_map(sent).next().expect("a node takes it").1;
        firsts[to.0 as usize] += 1;
    }
    assert!(firsts.iter().all(|n| *n < 80), "{firsts:?}");
    // A node that drains is passed over, and what was meant for it goes elsewhere.
    let mut d = desk(2);
    d.list(ListKind::Changes, &[(0, NodeState::Draining, None)]);
    for i in 0..6 {
        d.take(0, 2, 0, 1.0, -1, i);
    }
    assert!(d.pull().iter().filter_map(sent).all(|s| s.1 .0 == 1));
}

#[test]
fn a_lost_list_is_asked_for_again() {
    let mut d = Desk::new(1, Effect::Idempotent, false);
    d.s.subscribe_to_node_list();
    assert_eq!(d.pull(), [Decision::FollowList]);
    let mut asked = 0;
    for _ in 0..5 {
        d.list(ListKind::Failed, &[]);
        asked += d.until(d.now + 7.0).iter().filter(|(_, x)| *x == Decision::FollowList).count();
    }
    assert_eq!(asked, 5, "once for each failure");
}

#[test]
fn same_events_same_decisions() {
    let run = || {
        let mut d = desk(5);
        let mut all = Vec::new();
        for i in 0..400u32 {
            let x = d.take(i % 2, i % 3, i % 11, 1.0 + f64::from(i % 4), (i % 6) as i32 - 1, i % 17);
            all.extend(d.until(d.now + 0.007));
            let o = if i % 5 == 0 { Outcome::Error } else { Outcome::Done };
            d.end(x, 0, o, 0.02);
        }
        format!("{all:?}")
    };
    assert_eq!(run(), run());
}

#[test]
fn histogram_gives_its_parts() {
    for (values, part, low, high) in [
        (vec![0.1; 9], 0.5, 0.1, 0.16),
        ([vec![0.01; 10], vec![1.0; 10]].concat(), 0.9, 1.0, 1.6),
        (vec![1e9; 100], 0.5, 5.0, 1e3),
    ] {
        let mut h = Histogram::new(0.002, 64.0);
        values.iter().for_each(|v| h.add(*v));
        let got = h.at(part).unwrap_or(0.0);
        assert!((low..=high).contains(&got), "{part} of {values:?}: {got}");
    }
}

#[test]
fn tags_order_what_waits_in_one_line_and_never_pass_an_earlier_one_of_the_key() {
    // Kept in order by key; tag and key of each in order of arrival; the order in which they leave.
    type Case = (bool, &'static [(f64, u32)], &'static [usize], &'static str);
    let cases: &[Case] = &[
        (false, &[(0.0, 1), (0.0, 2), (0.0, 3)], &[0, 1, 2], "no tags: order of arrival"),
        (
            false,
            &[(0.0, 1), (1.0, 2), (2.0, 3), (0.0, 4), (1.0, 5)],
            &[0, 3, 1, 4, 2],
            "by tag, then by arrival",
        ),
        (
            true,
            &[(0.0, 1), (5.0, 7), (6.0, 2), (0.0, 7), (0.0, 3)],
            &[0, 4, 1, 3, 2],
            "not before its key's earlier",
        ),
    ];
    for (in_order, asks, expected, why) in cases {
        let mut d = Desk::new(1, Effect::Idempotent, *in_order);
        d.ready(1);
        // One is out and holds the node's only place.
        d.s.node_overridden(d.at(), NodeId(0), 0.1, false);
        d.take(0, 2, 1, 2.0, 0, 99);
        let mut out: Vec<RequestId> = d.pull().iter().filter_map(sent).map(|s| s.0).collect();
        assert_eq!(out.len(), 1, "{why}");
        let ids: Vec<RequestId> = asks
            .iter()
            .map(|(tag, key)| {
                let id = d.take(0, 2, 1, 2.0, 0, *key);
                d.s.request_tagged(id, *tag);
                id
            })
            .collect();
        let mut order = Vec::new();
        while let Some(x) = out.pop() {
            d.now += 0.01;
            d.end(x, 0, Outcome::Done, 0.01);
            out.extend(d.until(d.now + 0.05).iter().filter_map(|(_, x)| sent(x)).map(|s| s.0));
            order.extend(out.iter().map(|x| ids.iter().position(|i| i == x).unwrap()));
        }
        assert_eq!(order, *expected, "{why}");
    }
}
