//! Tests of how the end of an attempt changes the limit of its node and the pause between two attempts.

use super::*;

const HOST_COUNT: f64 = 1000.0;
const OBJECTIVE: TimeDelta = TimeDelta::from_millis(500);
/// The latency of the node while it is slow.
const SLOW: TimeDelta = TimeDelta::from_millis(400);
/// The duration of an attempt that ended early.
const BRIEF: TimeDelta = TimeDelta::from_millis(1);
const START: f64 = 100.0;

fn at(secs: f64) -> Instant {
    Instant::from_secs(START + secs)
}

fn sample(outcome: Outcome, latency: TimeDelta) -> LimitSample {
    LimitSample {
        outcome,
        latency,
        objective: OBJECTIVE,
        adjusts_limit: true,
        was_at_limit: false,
        request_was_over: false,
        node_was_silent: false,
    }
}

/// Returns the limiter of a host among so many that its initial limit is below one.
fn limiter_below_one() -> ConcurrencyLimiter {
    let limiter = ConcurrencyLimiter::new(at(0.0), HOST_COUNT);
    assert!(limiter.is_below_one());
    limiter
}

/// Returns whether an attempt may be sent at `now` if the last one was sent at `last_sent_at` and none is in flight.
fn may_send(limiter: &ConcurrencyLimiter, last_sent_at: Instant, now: Instant) -> bool {
    let request = CapacityRequest {
        priority: Priority { rank: 0, tightness: 1.0, is_reserved: true },
        in_flight: &InFlight::new(1),
        last_sent_at,
        weight: 1.0,
        is_ejected: false,
        mean_units: 1.0,
    };
    limiter.check(now, &request).is_ok()
}

/// Guards against overloading a slow node. The host pauses between attempts, and one attempt ends early for a reason
/// other than the node's speed: it is withdrawn, cancelled, rejected or answered with an error, or its connection
/// breaks. If the pause shrank to almost nothing, all hosts together would send far more than the node can take.
#[test]
fn an_attempt_that_ends_early_does_not_shorten_the_pause() {
    for outcome in [
        Outcome::Skipped,
        Outcome::Refused,
        Outcome::Cancelled,
        Outcome::Reset,
        Outcome::Full,
        Outcome::Error,
    ] {
        let mut limiter = limiter_below_one();
        limiter.record(at(1.0), &sample(Outcome::Done, SLOW));
        limiter.record(at(2.0), &sample(outcome, BRIEF));
        assert!(!may_send(&limiter, at(2.0), at(2.1)), "{outcome:?}: sent 100 ms after the last");
    }
}

/// A node that has not answered with success yet rejects every attempt as full, or answers it with an error. Without a
/// pause, each host would send its next attempt at once.
#[test]
fn a_node_that_only_rejects_is_paused_by_how_long_that_takes() {
    for outcome in [Outcome::Full, Outcome::Error] {
        let mut limiter = limiter_below_one();
        limiter.record(at(1.0), &sample(outcome, SLOW));
        assert!(!may_send(&limiter, at(1.0), at(1.1)), "{outcome:?}: sent 100 ms after the last");
    }
}

/// A node that was slow answers quickly again. If the pause did not shrink, the host would never use the node's full
/// capacity.
#[test]
fn a_good_answer_shortens_the_pause() {
    let mut limiter = limiter_below_one();
    limiter.record(at(1.0), &sample(Outcome::Done, SLOW));
    assert!(!may_send(&limiter, at(1.0), at(1.1)));
    limiter.record(at(2.0), &sample(Outcome::Done, BRIEF));
    assert!(may_send(&limiter, at(2.0), at(2.1)));
}

/// Attempts that were in flight together while the node was slow end one after another, and one of them is withdrawn in
/// between. Only the first may decrease the limit; an attempt sent after that may decrease it again.
#[test]
fn attempts_in_flight_together_decrease_the_limit_once() {
    let mut limiter = ConcurrencyLimiter::new(at(0.0), 1.0);
    let initial = limiter.limit();
    limiter.record(at(1.0), &sample(Outcome::Full, SLOW));
    let after_decrease = limiter.limit();
    assert!(after_decrease < initial);
    limiter.record(at(1.1), &sample(Outcome::Skipped, BRIEF));
    limiter.record(at(1.2), &sample(Outcome::Full, SLOW));
    assert_eq!(limiter.limit(), after_decrease, "an attempt that was in flight at the decrease");
    limiter.record(at(1.5), &sample(Outcome::Full, SLOW));
    assert!(limiter.limit() < after_decrease, "an attempt that was sent after the decrease");
}
