use super::median_with_interval;

/// The interval of a median must be the one that tables of the sign test give at 95%.
#[test]
fn interval_is_that_of_the_sign_test() {
    // The number of pairs, and the ranks of the ends from tables of the sign test at 95%.
    for (count, low, high) in
        [(5, None, None), (6, Some(0), Some(5)), (10, Some(1), Some(8)), (20, Some(5), Some(14))]
    {
        let (median, interval) = median_with_interval((0..count).rev().map(f64::from).collect());
        assert_eq!(median, f64::from(count - 1) / 2.0);
        let found = (interval.map(|ends| ends.0 as i32), interval.map(|ends| ends.1 as i32));
        assert_eq!(found, (low, high), "{count}");
    }
}
