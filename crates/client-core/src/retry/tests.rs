//! Tests of the retry decision, the retry budget and the backoff between connects.

use super::*;

/// An ended attempt, the state of its client, and the expected verdict. `None` expects a retry.
struct Case {
    name: &'static str,
    end: AttemptEnd,
    is_write: bool,
    attempts: u32,
    saved_retries: f64,
    secs_left: f64,
    expected: Option<RetryVerdict>,
}

fn secs(secs: f64) -> TimeDelta {
    TimeDelta::from_secs(secs)
}

fn rejected(retry_after_secs: Option<f64>) -> AttemptEnd {
    AttemptEnd::Rejected { retry_after: retry_after_secs.map(secs) }
}

fn reject(retry_after_secs: Option<f64>) -> Option<RetryVerdict> {
    Some(RetryVerdict::Reject(retry_after_secs.map(secs)))
}

/// Covers each end of an attempt for reads and writes, with and without time, attempts and budget left. A call must be retried only
/// where that is safe and the retry is expected to end before the deadline.
#[test]
fn retries_only_what_is_safe_in_time_and_within_the_budget() {
    const FAIL: Option<RetryVerdict> = Some(RetryVerdict::Fail);
    let case = |name, end, is_write, attempts, saved_retries, secs_left, expected| Case {
        name,
        end,
        is_write,
        attempts,
        saved_retries,
        secs_left,
        expected,
    };
    let cases = [
        case("rejected write", rejected(Some(0.1)), true, 1, 5.0, 1.0, None),
        case("rejected read", rejected(None), false, 1, 5.0, 1.0, None),
        case("no time for the pause", rejected(Some(2.0)), true, 1, 5.0, 1.0, reject(Some(2.0))),
        case("no time for the attempt", rejected(None), true, 1, 5.0, 0.2, reject(None)),
        case("rejected without budget", rejected(Some(0.1)), true, 1, 0.5, 1.0, reject(Some(0.1))),
        case("attempts spent", rejected(None), true, 8, 5.0, 1.0, reject(None)),
        case("failed write", AttemptEnd::Failed, true, 1, 5.0, 1.0, FAIL),
        case("failed read", AttemptEnd::Failed, false, 1, 5.0, 1.0, None),
        case("failed read without budget", AttemptEnd::Failed, false, 1, 0.0, 1.0, FAIL),
        case("lost write", AttemptEnd::SessionLost, true, 1, 5.0, 1.0, FAIL),
        case("lost read", AttemptEnd::SessionLost, false, 1, 5.0, 1.0, None),
    ];
    for Case { name, end, is_write, attempts, saved_retries, secs_left, expected } in cases {
        let mut decider = RetryDecider::new(RetryPolicy::default(), 1);
        decider.budget.saved = saved_retries;
        let now = Instant::from_secs(10.0);
        let attempt =
            EndedAttempt { end, is_write, attempts, duration: secs(0.2), deadline: now + secs(secs_left) };
        let verdict = decider.decide(now, &attempt);
        match expected {
            Some(expected) => assert_eq!(verdict, expected, "{name}"),
            None => assert!(matches!(verdict, RetryVerdict::RetryAt(at) if at > now), "{name}: {verdict:?}"),
        }
    }
}

/// Each of 1000 calls is rejected. The client may retry a fifth of them, plus the ten retries that it had saved.
#[test]
fn retries_stay_a_share_of_calls() {
    let mut decider = RetryDecider::new(RetryPolicy::default(), 1);
    let now = Instant::from_secs(0.0);
    let mut retries = 0;
    for _ in 0..1000 {
        decider.record_call();
        let attempt = EndedAttempt {
            end: AttemptEnd::Rejected { retry_after: None },
            is_write: false,
            attempts: 1,
            duration: TimeDelta::ZERO,
            deadline: now + secs(1.0),
        };
        let verdict = decider.decide(now, &attempt);
        retries += u32::from(matches!(verdict, RetryVerdict::RetryAt(_)));
    }
    assert!((200..=211).contains(&retries), "{retries}");
}

/// Connects fail repeatedly. The backoff must grow up to its bound, and must differ between clients with different seeds.
#[test]
fn connect_backoff_grows_to_its_bound_and_differs_between_clients() {
    let mut decider = RetryDecider::new(RetryPolicy::default(), 1);
    let pauses: Vec<f64> = (0..10).map(|failures| decider.connect_backoff(failures).secs()).collect();
    let is_bounded = pauses.iter().all(|pause| *pause <= 2.0);
    assert!(pauses[0] < 0.06 && pauses[9] > 1.2 && is_bounded, "{pauses:?}");
    let pause = |seed| RetryDecider::new(RetryPolicy::default(), seed).connect_backoff(5);
    assert_ne!(pause(2), pause(3));
}
