//! How long a suspicion lasts.

use super::*;

/// More and more members confirm a suspicion. Its time must shrink from three times the minimum to the minimum, and where
/// fewer members are left than could confirm it, fewer must suffice.
#[test]
fn a_suspicion_lasts_shorter_the_more_members_confirm_it() {
    // The logarithm of the number of members, members that suspect, live members, and the expected protocol periods.
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

/// A host whose own probes go unanswered may miss refutations as well, so it waits up to three times as long.
#[test]
fn a_suspicion_lasts_longer_while_this_host_is_in_bad_health() {
    assert_eq!([0, 4, 8].map(local_health_multiplier), [1.0, 2.0, 3.0]);
}
