//! Tests of which statuses contradict an acknowledged change.

use super::*;

fn acknowledged(start: Instant) -> Vec<AcknowledgedChange> {
    let change = |version, after_s| AcknowledgedChange {
        version,
        at: start + Duration::from_secs_f64(after_s),
        in_force_s: 1.5,
    };
    vec![change(2, 1.0), change(3, 4.0)]
}

/// A change was acknowledged, and a host with a valid lease still applies the version before it. The watcher must find that, and
/// for how long; a host whose lease has run out, or which is in degraded mode, contradicts nothing.
#[test]
fn host_with_a_valid_lease_is_outdated_from_the_first_acknowledged_change_that_it_lacks() {
    let start = Instant::now();
    let acknowledged = acknowledged(start);
    // Version, lease, degraded, second of the poll; expected: the version that the host lacks, and for how many seconds.
    for (version, lease, degraded, at_s, expected) in [
        (1, "holds", false, 0.5, None),
        (1, "holds", false, 2.0, Some((2, 1.0))),
        (2, "holds", false, 2.0, None),
        (2, "holds", false, 6.0, Some((3, 2.0))),
        (1, "holds", false, 6.0, Some((2, 5.0))),
        (1, "past", true, 6.0, None),
        (1, "holds", true, 6.0, None),
        (1, "never", true, 6.0, None),
    ] {
        let status = ConsensusStatus { version, lease: lease.into(), degraded, ..Default::default() };
        let polled_at = start + Duration::from_secs_f64(at_s);
        let found = outdated_version(&status, polled_at, &acknowledged)
            .map(|outdated| (outdated.acknowledged_version, (outdated.outdated_s * 1e3).round() / 1e3));
        assert_eq!(found, expected, "{version} {lease} {degraded} {at_s}");
    }
}

/// A host applies version 2 while version 3 is acknowledged and must be in force everywhere after 1.5 s. Just before that time
/// this is allowed; just after it the scenario must fail.
#[test]
fn outdated_version_is_a_violation_only_after_the_allowed_time() {
    let start = Instant::now();
    let acknowledged = acknowledged(start);
    let mut observed = Observed { acknowledged, last_statuses: vec![None], ..Observed::default() };
    let status = ConsensusStatus { version: 2, lease: "holds".into(), ..Default::default() };
    observed.record(0, start + Duration::from_secs_f64(5.4), Some(status.clone()));
    assert!(observed.observations.violations.is_empty(), "within what is allowed");
    observed.record(0, start + Duration::from_secs_f64(5.6), Some(status));
    assert_eq!(observed.observations.violations.len(), 1);
}
