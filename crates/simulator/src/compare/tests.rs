use super::*;

/// The interval of a median must be the one that tables of the sign test give at 95%.
#[test]
fn interval_is_that_of_the_sign_test() {
    // Pairs, and the places of its ends: from tables of the sign test at 95%.
    for (n, low, high) in
        [(5, None, None), (6, Some(0), Some(5)), (10, Some(1), Some(8)), (20, Some(5), Some(14))]
    {
        let (median, interval) = median_with_interval((0..n).rev().map(f64::from).collect());
        assert_eq!(median, f64::from(n - 1) / 2.0);
        let found = (interval.map(|i| i.0 as i32), interval.map(|i| i.1 as i32));
        assert_eq!(found, (low, high), "{n}");
    }
}
