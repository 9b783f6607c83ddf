//! Tests of the duration of a suspicion.

use super::*;

/// As more members confirm a suspicion, its timeout must shrink from three times the minimum to the minimum. If fewer
/// members are left than a full confirmation takes, fewer confirmations must suffice.
#[test]
fn confirmations_shorten_a_suspicion() {
    // Logarithm of the number of members, members that suspect, live members, and expected protocol periods.
    let cases = [
        (10.0, 1, 20, 27.0),
        (10.0, 2, 20, 18.0),
        (10.0, 4, 20, 9.0),
        (10.0, 9, 20, 9.0),
        (1.0, 4, 20, MIN_PERIODS),
        (1.0, 1, 1, MIN_PERIODS),
    ];
    for (log_size, suspecting, live_count, expected) in cases {
        let periods = dynamic_suspicion_periods(&SuspicionInputs { log_size, suspecting, live_count });
        assert!((periods - expected).abs() < 1e-9, "{log_size} {suspecting} {live_count}: {periods}");
    }
}

/// A host whose own probes go unanswered may miss refutations as well, so its suspicions must last up to three times as
/// long.
#[test]
fn bad_local_health_prolongs_a_suspicion() {
    assert_eq!([0, 4, 8].map(local_health_multiplier), [1.0, 2.0, 3.0]);
}
