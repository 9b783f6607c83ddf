use super::*;

/// Clients name more volumes than the table holds. A volume with requests in flight must keep its number, and no number may be given
/// to a second volume.
#[test]
fn a_full_table_evicts_the_volume_that_was_unused_longest() {
    let at = |secs: u32| Instant::from_secs(f64::from(secs));
    let mut names = VolumeNames::new(2);
    // Name, the number that is in use, and the number that is given.
    let lookups = [(7, 99, Some(0)), (8, 99, Some(1)), (7, 99, Some(0)), (9, 99, Some(2)), (8, 0, None)];
    for (i, (name, in_use, expected)) in lookups.into_iter().enumerate() {
        let number = names.number(at(i as u32), name, |number| number == in_use);
        assert_eq!(number, expected, "lookup {i}");
        assert!(names.volumes.len() <= 2);
    }
}
