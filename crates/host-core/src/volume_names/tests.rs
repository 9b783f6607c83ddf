use super::*;

/// Clients name more volumes than the table holds. If a volume with requests in flight lost its number, or two volumes got the same one,
/// the scheduler would mix their state.
#[test]
fn a_full_table_evicts_the_least_recently_used_volume() {
    let at = |secs: u32| Instant::from_secs(f64::from(secs));
    let mut names = VolumeNames::new(2);
    // The volume's name, the number in use, and the expected number.
    let lookups = [
        (7, 99, Some(0)),
        (8, 99, Some(1)),
        (7, 99, Some(0)),
        (9, 99, Some(2)),
        (8, 0, Some(3)),
        (7, 99, Some(0)),
    ];
    for (i, (name, in_use, expected)) in lookups.into_iter().enumerate() {
        let number = names.number(at(i as u32), name, |number| number == in_use);
        assert_eq!(number, expected, "lookup {i}");
        assert!(names.volumes.len() <= 2);
    }
}

/// A request of the least recently used volume stays open while clients name new volumes. If the eviction gave up at that volume, the
/// requests of new volumes would be rejected although an unused volume can be evicted.
#[test]
fn a_full_table_skips_a_volume_in_use_and_evicts_the_next() {
    let at = |secs: u32| Instant::from_secs(f64::from(secs));
    let mut names = VolumeNames::new(3);
    // The volume's name and the expected number; number 0 is in use throughout.
    let lookups = [(7, 0), (8, 1), (9, 2), (10, 3), (11, 4), (7, 0), (11, 4)];
    for (i, (name, expected)) in lookups.into_iter().enumerate() {
        let number = names.number(at(i as u32), name, |number| number == 0);
        assert_eq!(number, Some(expected), "lookup {i}");
        assert!(names.volumes.len() <= 3);
    }
    assert_eq!(names.number(at(8), 12, |_| true), None, "all volumes are in use");
}
