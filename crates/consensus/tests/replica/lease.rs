//! Tests of the lease of one replica.

use super::*;

/// A grant arrives late, covers entries that the replica does not have yet, or is longer than the replica's setting.
/// The lease must end before other replicas stop waiting for it, and must not start before the replica has its entries.
#[test]
fn a_lease_counts_from_its_request_minus_drift_once_its_entries_are_committed() {
    let duration = TimeDelta::from_secs(1.0);
    let granted = |sequence, index| LeaseGrant { sequence, index, duration };
    let mut lease = Lease::new(at(0.0), TimeDelta::from_secs(1.0), 0.01);
    let sequence = lease.poll_request(at(0.0)).expect("a request is due at once");
    assert_eq!(lease.state(at(0.0)), LeaseState::Never);
    // The grant arrives late, so the lease counts from the request.
    lease.on_granted(at(0.6), granted(sequence, 5));
    assert!(!lease.state(at(0.6)).is_valid(), "its entries are not committed here");
    lease.on_committed(4);
    assert!(!lease.state(at(0.6)).is_valid());
    lease.on_committed(5);
    assert_eq!(lease.state(at(0.6)), LeaseState::Valid { until: at(0.98) });
    assert_eq!(lease.state(at(0.99)), LeaseState::Expired { since: at(0.98) });
    // A grant without a request, and one that is longer than the replica's own setting.
    lease.on_granted(at(1.0), granted(sequence + 50, 5));
    assert!(!lease.state(at(1.0)).is_valid());
    let sequence = lease.poll_request(at(1.0)).expect("a request is due");
    lease.on_granted(at(1.0), LeaseGrant { sequence, index: 5, duration: TimeDelta::from_secs(900.0) });
    lease.on_committed(5);
    assert_eq!(lease.state(at(1.0)), LeaseState::Valid { until: at(1.98) });
    assert!(lease.read_index(sequence) == Some(5) && lease.read_index(sequence + 1).is_none());
}
