//! Reasons of final answers: each answer of a request that was not done names its reason, and the guard that last held
//! the request.

mod common;
use common::{plan, secs, TestHost};
use tackmast::interface::*;

/// Longer than any request of these tests waits, in seconds.
const MAX_WAIT: f64 = 5.0;

/// Returns the final answer of a request that is not done, if it comes within `MAX_WAIT`: whether it is a rejection, and
/// its reason.
fn final_answer(host: &mut TestHost, id: RequestId) -> Option<(bool, FailureReason)> {
    let end = host.now + MAX_WAIT;
    host.run_until(end).into_iter().find_map(|(_, decision)| match decision {
        Decision::Reject { request, reason, .. } if request == id => Some((true, reason)),
        Decision::Fail { request, reason } if request == id => Some((false, reason)),
        _ => None,
    })
}

/// Returns the reason of a request's final answer, if it comes within `MAX_WAIT`.
fn reason(host: &mut TestHost, id: RequestId) -> Option<FailureReason> {
    final_answer(host, id).map(|(_, reason)| reason)
}

/// Returns the reason of a request that a guard held until its deadline.
fn held_by(guard: HoldReason) -> Option<FailureReason> {
    Some(FailureReason::DeadlineReached { held_by: Some(guard) })
}

/// Returns a host with one ready node, whose requests are idempotent.
fn host_with_node() -> TestHost {
    let mut host = TestHost::new(1, Effect::Idempotent, false);
    host.list_ready_nodes(1);
    host
}

/// A request whose shard has no node in the list is rejected at the end of its latency objective, since no node can answer
/// it in time any more.
#[test]
fn a_request_without_a_node_is_too_late() {
    let mut host = TestHost::new(1, Effect::Idempotent, false);
    let id = host.submit(0, 2, 0, 1.0, 0, 0);
    assert_eq!(
        final_answer(&mut host, id),
        Some((true, FailureReason::TooLate { held_by: Some(HoldReason::NoReadyNode) }))
    );
}

/// A request that costs more than this host's share of its volume's burst is rejected at once, since no wait would let it
/// pass.
#[test]
fn a_request_that_exceeds_the_burst_is_rejected() {
    let mut host = host_with_node();
    let id = host.submit(0, 0, 0, 21.0, 0, 0);
    assert_eq!(final_answer(&mut host, id), Some((true, FailureReason::ExceedsBurst)));
}

/// A node answers a non-idempotent request with an error. It may have run, so it fails and is not retried.
#[test]
fn a_non_idempotent_request_fails_as_unsafe_to_retry() {
    let mut host = TestHost::new(1, Effect::NonIdempotent, false);
    host.list_ready_nodes(1);
    let id = host.submit(0, 2, 0, 1.0, 0, 0);
    assert_eq!(host.poll_sends().len(), 1);
    host.end_attempt(id, 0, Outcome::Error, 0.01);
    assert_eq!(final_answer(&mut host, id), Some((false, FailureReason::RetryUnsafe)));
}

/// A node answers each attempt with a quick error, until the request has had as many attempts as the settings allow.
#[test]
fn a_request_with_errors_only_exhausts_its_attempts() {
    let mut host = host_with_node();
    let id = host.submit(0, 2, 0, 1.0, 0, 0);
    for attempt in 0..4 {
        let end = host.now + 0.03;
        assert_eq!(host.run_sends(end).len(), 1, "attempt {attempt}");
        host.end_attempt(id, attempt, Outcome::Error, 0.01);
    }
    assert_eq!(reason(&mut host, id), Some(FailureReason::AttemptsExhausted));
}

/// A node answers with an error after the latency objective. A retry would be late in any case, so there is none.
#[test]
fn an_error_after_the_latency_objective_is_not_retried() {
    let mut host = host_with_node();
    let id = host.submit(0, 2, 0, 1.0, 0, 0);
    assert_eq!(host.poll_sends().len(), 1);
    host.now += 0.6;
    host.end_attempt(id, 0, Outcome::Error, 0.6);
    assert_eq!(reason(&mut host, id), Some(FailureReason::RetryTooLate));
}

/// A node never answers, so its concurrency limit stays used up and the waiting requests reach their deadline.
#[test]
fn a_silent_node_holds_requests_by_its_concurrency_limit() {
    let mut host = host_with_node();
    (0..40).for_each(|index| _ = host.submit(0, 2, 0, 1.0, 0, index));
    let in_flight = host.poll_sends().len() as u32;
    assert_eq!(reason(&mut host, RequestId(in_flight)), held_by(HoldReason::ConcurrencyLimit));
}

/// A node that many hosts share was full. This host's limit falls below one attempt, so it pauses between two attempts.
#[test]
fn a_full_node_shared_by_many_hosts_holds_requests_by_a_send_pause() {
    let mut host = TestHost::new(250, Effect::Idempotent, false);
    host.list_ready_nodes(1);
    let first = host.submit(0, 2, 0, 1.0, 0, 0);
    assert_eq!(host.poll_sends().len(), 1);
    host.now += 0.45;
    host.end_attempt(first, 0, Outcome::Full, 0.4);
    host.time_left = 0.2;
    let id = host.submit(0, 2, 0, 1.0, 0, 1);
    assert_eq!(reason(&mut host, id), held_by(HoldReason::SendPause));
}

/// An attempt fails so shortly before the deadline that the backoff before the retry ends after it.
#[test]
fn a_failed_attempt_holds_its_request_by_a_backoff() {
    let mut host = host_with_node();
    host.time_left = 0.03;
    let id = host.submit(0, 2, 0, 1.0, 0, 0);
    assert_eq!(host.poll_sends().len(), 1);
    host.now += 0.015;
    host.end_attempt(id, 0, Outcome::Error, 0.015);
    assert_eq!(reason(&mut host, id), held_by(HoldReason::Backoff));
}

/// A node that refuses every attempt is ejected. A request with little time left arrives between two probes.
#[test]
fn an_ejected_node_holds_requests_between_probes() {
    let mut host = host_with_node();
    for index in 0..8 {
        host.submit(0, 2, 0, 1.0, 0, index);
        let end = host.now + 0.2;
        for (id, _) in host.run_sends(end) {
            host.end_attempt(id, 0, Outcome::Refused, 0.01);
            host.scheduler.request_cancelled(host.instant(), id);
        }
    }
    host.submit(0, 2, 0, 1.0, 0, 100);
    assert_eq!(host.poll_sends().len(), 1, "a probe");
    host.end_attempt(RequestId(8), 0, Outcome::Refused, 0.01);
    host.scheduler.request_cancelled(host.instant(), RequestId(8));
    host.time_left = 0.05;
    let id = host.submit(0, 2, 0, 1.0, 0, 101);
    assert_eq!(reason(&mut host, id), held_by(HoldReason::Ejected));
}

/// A node answers with slow errors only, which earn no retry credit. Two retries are free, the third is not.
#[test]
fn a_node_without_retry_credit_holds_retries() {
    let mut host = host_with_node();
    let id = host.submit(0, 2, 0, 1.0, 0, 0);
    for attempt in 0..3 {
        let end = host.now + 0.03;
        assert_eq!(host.run_sends(end).len(), 1, "attempt {attempt}");
        host.end_attempt(id, attempt, Outcome::Error, 0.3);
    }
    assert_eq!(reason(&mut host, id), held_by(HoldReason::RetryCredit));
}

/// The settings allow no retries at all, so the first failed attempt is not retried although its node has retry credit.
#[test]
fn a_spent_retry_budget_holds_retries() {
    let mut host = host_with_node();
    host.scheduler.set_retry_budget(0.0, 0.0, secs(5.0));
    let id = host.submit(0, 2, 0, 1.0, 0, 0);
    assert_eq!(host.poll_sends().len(), 1);
    host.end_attempt(id, 0, Outcome::Error, 0.01);
    assert_eq!(reason(&mut host, id), held_by(HoldReason::RetryBudget));
}

/// The first of two requests on one key is not answered, so the second is never sent.
#[test]
fn a_request_on_a_busy_key_is_held_by_key_order() {
    let mut host = TestHost::new(1, Effect::Idempotent, true);
    host.list_ready_nodes(1);
    host.submit(0, 2, 0, 1.0, 0, 7);
    host.time_left = 0.3;
    let id = host.submit(0, 2, 0, 1.0, 0, 7);
    assert_eq!(reason(&mut host, id), held_by(HoldReason::KeyOrder));
}

/// A request costs more than its volume's limit allows before the deadline.
#[test]
fn a_volume_over_its_limit_holds_its_requests() {
    let mut host = host_with_node();
    host.time_left = 0.3;
    let id = host.submit(0, 0, 0, 10.0, 0, 0);
    assert_eq!(reason(&mut host, id), held_by(HoldReason::VolumeLimit));
}

/// A node has just started. A host that has used its share of what the node can take holds the next request.
#[test]
fn a_node_that_warms_up_holds_requests_by_slow_start() {
    let mut host = TestHost::new(10, Effect::Idempotent, false);
    host.scheduler.add_plan(plan(0.0, 0.0, 0.0, 0.0, 1.0));
    host.scheduler.set_slow_start(SlowStartSettings {
        safe_units: 12.0,
        initial_capacity: 0.2,
        duration: secs(60.0),
        window: secs(3.0),
        overload_multiple: 2.0,
    });
    host.send_list(ListKind::Complete, &[(0, NodeState::Ready, Some(99.9))]);
    host.time_left = 0.4;
    (0..4).for_each(|index| _ = host.submit(0, 2, 0, 4.0, 0, index));
    let sent = host.poll_sends().len() as u32;
    assert_eq!(reason(&mut host, RequestId(sent)), held_by(HoldReason::SlowStart));
}

/// A client has received the beginning of a streamed answer at its deadline, so no final answer may follow.
#[test]
fn a_streamed_answer_has_no_deadline() {
    let mut host = host_with_node();
    let id = host.submit(0, 2, 0, 1.0, 0, 0);
    assert_eq!(host.poll_sends().len(), 1);
    host.scheduler.response_started(host.instant(), id);
    assert_eq!(final_answer(&mut host, id), None);
}
