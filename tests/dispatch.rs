//! Dispatch of requests: concurrency limits, priorities, weights, node health, retries, attempt timeouts, placement, and
//! tags.

mod common;
use common::{as_send, secs, TestHost};
use tackmast::histogram::Histogram;
use tackmast::interface::*;

/// Returns a host with `nodes` ready nodes, one for each shard, whose requests are idempotent.
fn host_with_nodes(nodes: u32) -> TestHost {
    let mut host = TestHost::new(1, Effect::Idempotent, false);
    host.list_ready_nodes(nodes);
    host
}

/// Uses up the node's concurrency limit, so that later requests have to wait for an answer. Returns the requests in flight.
fn fill_concurrency_limit(host: &mut TestHost, traffic_class: u32) -> Vec<RequestId> {
    for i in 0..40 {
        host.submit(traffic_class, 2, 90, 1.0, 0, 1000 + i);
    }
    host.poll_sends().into_iter().map(|s| s.0).collect()
}

/// A host with more work than a node can take at once must bound its attempts in flight, and keep fewer if requests are
/// large.
#[test]
fn concurrency_limits_bound_attempts_and_units_in_flight() {
    for (units, min, max) in [(1.0, 4, 8), (4.0, 2, 5), (16.0, 1, 1)] {
        let mut host = host_with_nodes(1);
        (0..50).for_each(|i| _ = host.submit(0, 2, i, units, 0, i));
        let in_flight = host.poll_sends().len();
        assert!((min..=max).contains(&in_flight), "{in_flight} in flight at {units} units each");
    }
}

/// Hosts that share a node must not fill it by keeping one attempt each in flight. The node is fast, slow, or reports a
/// queue.
#[test]
fn concurrency_limits_shrink_when_many_hosts_share_a_node() {
    // Hosts, traffic class, latency of answers in seconds, queue length that the node reports; minimum and maximum of
    // attempts in 10 s of one host under constant load. At a node that reports a queue, a class with a longer latency
    // objective must also leave capacity for classes with a shorter one at other hosts.
    for (hosts, traffic_class, latency, waiting, min, max) in [
        (1, 0, 0.05, 0.0, 400, 4000),
        (4, 0, 0.4, 0.0, 10, 120),
        (250, 0, 0.05, 0.0, 100, 4000),
        (250, 0, 0.4, 0.0, 2, 20),
        (250, 0, 0.05, 20.0, 15, 40),
        (250, 1, 0.05, 20.0, 2, 12),
    ] {
        let mut host = TestHost::new(hosts, Effect::Idempotent, false);
        host.list_ready_nodes(1);
        let (mut in_flight, mut attempts) = (std::collections::VecDeque::new(), 0);
        for step in 0..1000 {
            host.submit(traffic_class, 2, step % 5, 1.0, 0, step);
            let end = host.now + 0.01;
            for (sent_at, id) in host.run_timed_sends(end) {
                in_flight.push_back((sent_at, id));
                attempts += 1;
            }
            while let Some((_, id)) = in_flight.pop_front_if(|attempt| attempt.0 + latency <= end) {
                host.scheduler.load_reported(host.instant(), NodeId(0), waiting);
                host.end_attempt(id, 0, Outcome::Done, latency);
            }
        }
        assert!((min..=max).contains(&attempts), "{hosts} {traffic_class} {latency} {waiting}: {attempts}");
    }
}

/// A node's concurrency limit is used up, and two requests wait for capacity.
#[test]
fn requests_are_sent_by_priority_then_reservation_then_arrival() {
    // Traffic class and plan of each waiting request, in order of arrival; index of the one sent first.
    let table = [
        (vec![(1, 2), (0, 2)], 1, "the shorter latency objective first"),
        (vec![(0, 2), (0, 1)], 1, "inside the reservation first"),
        (vec![(1, 1), (0, 2)], 1, "priority comes before the reservation"),
        (vec![(0, 1), (0, 1)], 0, "order of arrival otherwise"),
    ];
    for (waiting, expected, why) in table {
        let mut host = host_with_nodes(1);
        let in_flight = fill_concurrency_limit(&mut host, 0);
        let ids: Vec<_> = waiting
            .iter()
            .zip(1..)
            .map(|(&(class, plan), volume)| host.submit(class, plan, volume, 1.0, 0, 0))
            .collect();
        // All attempts end, since units beyond the reservation may use only a part of the concurrency limit.
        host.now += 0.05;
        in_flight.iter().for_each(|id| host.end_attempt(*id, 0, Outcome::Done, 0.05));
        let next: Vec<_> = host.poll_sends().into_iter().map(|s| s.0).collect();
        let position = |id: &RequestId| next.iter().position(|sent| sent == id).unwrap_or(usize::MAX);
        assert!(ids.iter().all(|id| position(id) >= position(&ids[expected])), "{why}: {next:?}");
    }
}

/// Two volumes without a reservation that always have requests waiting at one node share it by weight.
#[test]
fn best_effort_units_are_shared_by_weight() {
    // Plans of the two volumes, units of their requests; expected units of the first volume for one of the second.
    for (plans, units, expected) in
        [([2, 3], [1.0, 1.0], 3.0), ([3, 3], [1.0, 4.0], 1.0), ([2, 3], [4.0, 1.0], 3.0)]
    {
        let mut host = host_with_nodes(1);
        let (mut served, mut owner, mut in_flight) = ([0.0; 2], std::collections::HashMap::new(), Vec::new());
        for step in 0..4000 {
            // Both volumes request the same number of units in each step.
            for v in 0..2usize {
                let count = (4.0 / units[v]) as u32;
                (0..count)
                    .for_each(|_| _ = owner.insert(host.submit(0, plans[v], v as u32, units[v], 0, step), v));
            }
            in_flight.extend(host.poll_sends().into_iter().map(|s| s.0));
            host.now += 0.01;
            // At most two answers in each step, so that the concurrency limit remains what holds requests back.
            for id in in_flight.drain(..in_flight.len().min(2)) {
                host.end_attempt(id, 0, Outcome::Done, 0.1);
                served[owner[&id]] += units[owner[&id]];
            }
        }
        let ratio = served[0] / served[1];
        assert!((ratio / expected).ln().abs() < 0.25, "{plans:?} {units:?}: {ratio:.2}");
    }
}

/// A node that fails all attempts for a while must be sent only probes meanwhile, and be back in service soon after.
#[test]
fn a_failing_node_is_probed_and_recovers() {
    for bad in [Outcome::Error, Outcome::Refused, Outcome::Reset] {
        let mut host = host_with_nodes(1);
        let (mut unhealthy, mut healthy) = (0, 0);
        for step in 0..400 {
            host.submit(0, 2, step % 7, 1.0, 0, step);
            let outcome = if step < 200 { bad } else { Outcome::Done };
            let end = host.now + 0.02;
            for (_, decision) in host.run_until(end) {
                let Some((id, _)) = as_send(&decision) else { continue };
                (0..4).for_each(|attempt| host.end_attempt(id, attempt, outcome, 0.01));
                match step {
                    100..=199 => unhealthy += 1,
                    300.. => healthy += 1,
                    _ => {}
                }
            }
        }
        assert!(unhealthy > 0 && unhealthy <= 30, "{bad:?}: probes only, got {unhealthy}");
        assert!(healthy >= 90, "{bad:?}: back in service, got {healthy}");
    }
}

/// A node answers a part of its attempts with an error, quickly or slowly. Enough retries must be allowed that most
/// requests are done in time in spite of quick errors.
#[test]
fn requests_to_a_node_with_random_errors_are_retried_in_time() {
    // How many of ten attempts fail, latency of all attempts in seconds; minimum and maximum of the 100 requests that are
    // done.
    for (failing, latency, min, max) in [(5, 0.005, 85, 100), (7, 0.005, 60, 100), (5, 0.3, 30, 70)] {
        let mut host = host_with_nodes(1);
        let (mut attempts, mut done, mut in_flight) = (0u32, 0, Vec::<(f64, RequestId, u32)>::new());
        let mut next_numbers = std::collections::HashMap::<RequestId, u32>::new();
        for step in 0..2000 {
            if step % 20 == 0 {
                host.submit(0, 2, step % 7, 1.0, 0, step);
            }
            let end = host.now + 0.01;
            for (sent_at, id) in host.run_timed_sends(end) {
                let number = next_numbers.entry(id).or_default();
                in_flight.push((sent_at + latency, id, *number));
                *number += 1;
            }
            while let Some(i) = in_flight.iter().position(|attempt| attempt.0 <= end) {
                let (_, id, number) = in_flight.remove(i);
                // Spreads failures evenly, and out of step with the attempts of one request.
                let fails = attempts * 7 % 10 < failing;
                attempts += 1;
                done += u32::from(!fails);
                host.end_attempt(id, number, if fails { Outcome::Error } else { Outcome::Done }, latency);
            }
        }
        assert!(
            (min..=max).contains(&done),
            "{failing} of ten fail in {latency} s: {done} done, {attempts} attempts"
        );
    }
}

/// An attempt without an answer is lost if other attempts at the same node are answered, and not if all answers are slow.
/// Attempts may have timeouts shorter than the client's only while some get lost.
#[test]
fn attempts_time_out_where_some_get_lost_and_not_where_all_are_slow() {
    // Whether the attempts of every seventh request are lost, latency of answers in seconds; whether timeouts are set in
    // the end.
    for (lossy, latency, expected) in [(true, 0.02, true), (false, 0.02, false), (false, 0.3, false)] {
        let mut host = host_with_nodes(3);
        let (mut silent, mut with_timeout, mut attempts) = (Vec::new(), 0, vec![0; 1200]);
        for step in 0..1200u32 {
            host.submit(0, 2, step % 9, 1.0, (step % 3) as i32, step);
            for decision in host.poll() {
                let Decision::Send { request, timeout, .. } = decision else { continue };
                with_timeout += u32::from(step > 1000 && timeout.is_some());
                attempts[request.0 as usize] += 1;
                let until = host.now + timeout.map_or(2.9, TimeDelta::secs);
                match lossy && request.0 % 7 == 0 {
                    true => silent.push((request, attempts[request.0 as usize] - 1, until)),
                    false => host.end_attempt(request, 0, Outcome::Done, latency),
                }
            }
            let now = host.now;
            for (id, attempt, _) in silent.extract_if(.., |s| s.2 <= now) {
                host.end_attempt(id, attempt, Outcome::TimedOut, 1.0);
            }
            host.now += 0.005;
        }
        assert_eq!(with_timeout > 0, expected, "lossy {lossy}, latency {latency}: {with_timeout}");
    }
}

/// A hundred hosts must not keep filling the queue of an overloaded node that answers nothing, and must not starve a node
/// behind a link that loses one attempt in ten.
#[test]
fn a_silent_node_gets_few_attempts_and_a_lossy_link_does_not() {
    // Seconds that clients wait, how many of ten attempts in a row are not answered in that time; minimum and maximum of
    // attempts in 120 s by one of 100 hosts. A node that is overloaded, or too slow for its clients, appears as one that
    // never answers rather than as a slow one.
    for (left, lost, min, max) in
        [(3.0, 0, 300, 4000), (3.0, 1, 80, 4000), (3.0, 10, 5, 30), (0.08, 10, 5, 80)]
    {
        let mut host = TestHost::new(100, Effect::Idempotent, false);
        host.list_ready_nodes(1);
        host.time_left = left;
        let mut in_flight = std::collections::BTreeMap::<RequestId, (f64, bool)>::new();
        let (mut attempts, mut with_timeout) = (0, 0);
        for step in 0..1200 {
            host.submit(0, 2, step % 5, 1.0, 0, step);
            let end = host.now + 0.1;
            for (t, decision) in host.run_until(end) {
                let Decision::Send { request, timeout, .. } = decision else { continue };
                let silent = attempts % 10 < lost;
                (attempts, with_timeout) =
                    (attempts + 1, with_timeout + u32::from(timeout == Some(secs(0.5))));
                in_flight.insert(
                    request,
                    (t + if silent { timeout.map_or(left, TimeDelta::secs) } else { 0.05 }, silent),
                );
            }
            while let Some((id, silent)) =
                in_flight.iter().find(|attempt| attempt.1 .0 <= end).map(|attempt| (*attempt.0, attempt.1 .1))
            {
                in_flight.remove(&id);
                let outcome = if silent { Outcome::TimedOut } else { Outcome::Done };
                (0..4).for_each(|attempt| {
                    host.end_attempt(id, attempt, outcome, if silent { left } else { 0.05 })
                });
            }
        }
        assert!((min..=max).contains(&attempts), "{left} s, {lost} of 10 lost: {attempts} attempts");
        assert_eq!(
            with_timeout > 5,
            lost == 10 && left > 0.5,
            "timeouts that let the node's queue drain: {with_timeout}"
        );
    }
}

/// A client sends a rejected request again. If it counted as a new one, it would displace requests that can still be in
/// time.
#[test]
fn a_retry_by_the_client_keeps_its_first_latency_objective() {
    // A request on key 1 with 3 s left was rejected. Key and time left of the next request; whether it is sent.
    for (key, left, in_time) in [(1, 2.4, false), (2, 2.4, true), (1, 3.0, true), (2, 0.3, true)] {
        let mut host = TestHost::new(1, Effect::Idempotent, false);
        host.submit(0, 0, 0, 1.0, 0, 1);
        assert!(host
            .run_until(100.6)
            .iter()
            .any(|(_, decision)| matches!(decision, Decision::Reject { .. })));
        host.list_ready_nodes(1);
        host.time_left = left;
        let id = host.submit(0, 0, 0, 1.0, 0, key);
        let sent = host.poll_sends().into_iter().any(|s| s.0 == id);
        assert_eq!(sent, in_time, "key {key} with {left} s left");
    }
}

/// New objects may go to any node. They are spread by the nodes' speed, hosts that start at the same time begin at
/// different nodes, and a draining node gets none.
#[test]
fn new_objects_are_placed_in_rotation_weighted_by_node_speed() {
    // Latency of each of two nodes in seconds; minimum and maximum of the 200 objects that the first gets.
    for (a, b, min, max) in [(0.05, 0.05, 90, 110), (0.02, 0.1, 110, 190), (0.1, 0.02, 10, 90)] {
        let mut host = host_with_nodes(2);
        let mut first = 0;
        for i in 0..300 {
            let id = host.submit(0, 2, i % 9, 1.0, -1, i);
            let to = host.poll_sends().into_iter().find(|s| s.0 == id).map(|s| s.1 .0);
            let latency = if to == Some(0) { a } else { b };
            first += u32::from(to == Some(0) && i >= 100);
            host.now += latency;
            host.end_attempt(id, 0, Outcome::Done, latency);
        }
        assert!((min..=max).contains(&first), "{a} {b}: {first}");
    }
    // Hosts must not all begin at the same node.
    let mut firsts = [0; 5];
    for seed in 0..200 {
        let mut host = TestHost::with_seed(seed, 200, Effect::Idempotent, false);
        host.list_ready_nodes(5);
        host.submit(0, 2, 0, 1.0, -1, 0);
        let to = host.poll_sends().into_iter().next().expect("a node takes it").1;
        firsts[to.0 as usize] += 1;
    }
    assert!(firsts.iter().all(|n| *n < 80), "{firsts:?}");
    // A draining node is skipped.
    let mut host = host_with_nodes(2);
    host.send_list(ListKind::Changes, &[(0, NodeState::Draining, None)]);
    for i in 0..6 {
        host.submit(0, 2, 0, 1.0, -1, i);
    }
    assert!(host.poll_sends().into_iter().all(|s| s.1 .0 == 1));
}

/// Each failed call for the endpoint list must lead to exactly one more call.
#[test]
fn a_failed_node_list_call_is_retried() {
    let mut host = TestHost::new(1, Effect::Idempotent, false);
    host.scheduler.watch_endpoint_list();
    assert_eq!(host.poll(), [Decision::WatchEndpointList]);
    let mut calls = 0;
    for _ in 0..5 {
        host.send_list(ListKind::Failed, &[]);
        calls += host
            .run_until(host.now + 7.0)
            .iter()
            .filter(|(_, decision)| *decision == Decision::WatchEndpointList)
            .count();
    }
    assert_eq!(calls, 5, "once for each failure");
}

/// The list service pushes lists, and is down for a while, into the start of a drain. Hosts count as notified at its return and
/// may send to the draining node for the drain grace only, so each call must follow the last one well within the grace.
/// Calls of many hosts have a cost, and must not all come at the same time.
#[test]
fn a_pushed_list_is_called_for_within_the_drain_grace() {
    for grace in [0.25, 0.5, 1.0] {
        let mut first_calls = Vec::new();
        for seed in 0..50 {
            let mut host = TestHost::with_seed(seed, 200, Effect::Idempotent, false);
            host.scheduler.lists_are_pushed(secs(grace));
            let mut calls = 0;
            let outage_end = host.now + 8.0;
            while host.now < outage_end {
                let failed_at = host.now;
                host.send_list(ListKind::Failed, &[]);
                host.run_until(failed_at);
                let called_at = host.scheduler.poll_timeout().expect("another call").secs();
                let wait = called_at - failed_at;
                assert!(wait <= grace / 2.0 + 1e-6, "grace {grace}, seed {seed}: {wait} s after a failure");
                if calls == 0 {
                    first_calls.push(wait);
                }
                host.now = called_at;
                assert_eq!(host.poll(), [Decision::WatchEndpointList], "grace {grace}, seed {seed}");
                calls += 1;
            }
            let most = 8.0 / (grace / 2.0) * 1.2;
            assert!(f64::from(calls) <= most, "grace {grace}, seed {seed}: {calls} calls in 8 s");
        }
        let early = first_calls.iter().filter(|wait| **wait < grace / 4.0).count();
        assert!((10..=40).contains(&early), "grace {grace}: {early} of 50 hosts call in the first half");
    }
}

/// The same inputs must give the same decisions, so that a failure found with a seed can be reproduced.
#[test]
fn same_inputs_give_same_decisions() {
    let run = || {
        let mut host = host_with_nodes(5);
        let mut all = Vec::new();
        for i in 0..400u32 {
            let id = host.submit(i % 2, i % 3, i % 11, 1.0 + f64::from(i % 4), (i % 6) as i32 - 1, i % 17);
            all.extend(host.run_until(host.now + 0.007));
            let outcome = if i % 5 == 0 { Outcome::Error } else { Outcome::Done };
            host.end_attempt(id, 0, outcome, 0.02);
        }
        format!("{all:?}")
    };
    assert_eq!(run(), run());
}

/// Quantiles of values in one bin, in two bins, and beyond the last bin.
#[test]
fn histogram_gives_quantiles() {
    for (values, quantile, low, high) in [
        (vec![0.1; 9], 0.5, 0.1, 0.16),
        ([vec![0.01; 10], vec![1.0; 10]].concat(), 0.9, 1.0, 1.6),
        (vec![1e9; 100], 0.5, 5.0, 1e3),
    ] {
        let mut h = Histogram::new(0.002, 64.0);
        values.iter().for_each(|v| h.add(*v));
        let got = h.quantile(quantile).unwrap_or(0.0);
        assert!((low..=high).contains(&got), "{quantile} of {values:?}: {got}");
    }
}

/// Sessions share a volume by tags. A request must not overtake an earlier one on the same key by a lower tag.
#[test]
fn tags_order_a_queue_and_never_overtake_an_earlier_request_on_the_key() {
    // Whether keys keep order; tag and key of each request in order of arrival; indices in the order in which they are
    // sent.
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
            "not before an earlier one on the key",
        ),
    ];
    for (in_order, requests, expected, why) in cases {
        let mut host = TestHost::new(1, Effect::Idempotent, *in_order);
        host.list_ready_nodes(1);
        // One request is in flight and uses up the concurrency limit.
        host.scheduler.node_overridden(host.instant(), NodeId(0), 0.1, false);
        host.submit(0, 2, 1, 2.0, 0, 99);
        let mut in_flight: Vec<RequestId> = host.poll_sends().into_iter().map(|s| s.0).collect();
        assert_eq!(in_flight.len(), 1, "{why}");
        let ids: Vec<RequestId> = requests
            .iter()
            .map(|(tag, key)| {
                let id = host.submit(0, 2, 1, 2.0, 0, *key);
                host.scheduler.request_tagged(id, *tag);
                id
            })
            .collect();
        let mut order = Vec::new();
        while let Some(id) = in_flight.pop() {
            host.now += 0.01;
            host.end_attempt(id, 0, Outcome::Done, 0.01);
            in_flight.extend(host.run_sends(host.now + 0.05).into_iter().map(|s| s.0));
            order.extend(in_flight.iter().map(|id| ids.iter().position(|i| i == id).unwrap()));
        }
        assert_eq!(order, *expected, "{why}");
    }
}
