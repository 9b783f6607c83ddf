use super::*;

#[test]
fn a_full_table_of_volumes_lets_the_longest_unused_go() {
    let at = |s: u32| Instant::from_secs(f64::from(s));
    let mut v = VolumeNames::new(2);
    // Name, the number in use, and the number that is given.
    let last_request = [(7, 99, Some(0)), (8, 99, Some(1)), (7, 99, Some(0)), (9, 99, Some(2)), (8, 0, None)];
    for (i, (name, used, expected)) in last_request.into_iter().enumerate() {
        assert_eq!(v.number(at(i as u32), name, |n| n == used), expected, "ask {i}");
        assert!(v.len() <= 2);
    }
}
