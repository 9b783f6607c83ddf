use super::*;

/// Clients name more volumes than the table holds. A volume with requests in flight must keep its number, and no number may be given
/// to a second volume.
#[test]
fn a_full_table_evicts_the_volume_that_was_unused_longest() {
    let at = |secs: u32| Instant::from_secs(f64::from(secs));
    let mut names = VolumeNames::new(2);
    // Name, the number that is in use, and the number that is given.
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

/// One request of the volume that was used longest ago stays open for long, while clients name new volumes. Only its own volume must be
/// kept for it: a volume that is unused can make room, and the new ones must not be rejected.
#[test]
fn a_full_table_keeps_the_oldest_volume_in_use_and_evicts_the_next() {
    let at = |secs: u32| Instant::from_secs(f64::from(secs));
    let mut names = VolumeNames::new(3);
    // Name, and the number that is given; number 0 is in use throughout.
    let lookups = [(7, 0), (8, 1), (9, 2), (10, 3), (11, 4), (7, 0), (11, 4)];
    for (i, (name, expected)) in lookups.into_iter().enumerate() {
        let number = names.number(at(i as u32), name, |number| number == 0);
        assert_eq!(number, Some(expected), "lookup {i}");
        assert!(names.volumes.len() <= 3);
    }
    assert_eq!(names.number(at(8), 12, |_| true), None, "all volumes are in use");
}
