//! Tests of when overrides end and when they are checked.

use super::{HostOverride, HostOverrides, VISIBILITY_GRACE_US};

const ENDS_US: u64 = 5_000_000;

fn overrides_in_force(ends_us: &[u64]) -> HostOverrides {
    let entry = |(ends_us, id): (&u64, u64)| HostOverride {
        id,
        host: 0,
        ends_us: *ends_us,
        nodes: vec!["127.0.0.1:1".into()],
        is_out_of_service: true,
    };
    HostOverrides { in_force: ends_us.iter().zip(1..).map(entry).collect(), ended: Vec::new() }
}

fn ids<'a>(entries: impl IntoIterator<Item = &'a HostOverride>) -> Vec<u64> {
    entries.into_iter().map(|entry| entry.id).collect()
}

/// An override may be visible for a moment after its end. It is checked at a later pass of the schedule, once, and the
/// schedule does not wait for it.
#[test]
fn ended_override_is_checked_once_after_its_grace() {
    let mut overrides = overrides_in_force(&[ENDS_US]);
    assert!(overrides.end_due(ENDS_US - 1).is_empty());
    assert_eq!(ids(overrides.end_due(ENDS_US)), [1]);
    assert!(overrides.end_due(ENDS_US + 1).is_empty(), "it ends once");
    assert!(overrides.take_invisible(ENDS_US + VISIBILITY_GRACE_US - 1).is_empty());
    assert_eq!(ids(&overrides.take_invisible(ENDS_US + VISIBILITY_GRACE_US)), [1]);
    assert!(overrides.take_invisible(ENDS_US + 2 * VISIBILITY_GRACE_US).is_empty());
}

/// Overrides end at different times. Each counts from its own end.
#[test]
fn each_override_has_its_own_grace() {
    let second_end_us = ENDS_US + VISIBILITY_GRACE_US / 2;
    let mut overrides = overrides_in_force(&[second_end_us, ENDS_US]);
    assert_eq!(ids(overrides.end_due(ENDS_US)), [2]);
    assert_eq!(ids(overrides.end_due(second_end_us)), [1]);
    assert_eq!(ids(&overrides.take_invisible(ENDS_US + VISIBILITY_GRACE_US)), [2]);
    assert_eq!(ids(&overrides.take_invisible(second_end_us + VISIBILITY_GRACE_US)), [1]);
}
