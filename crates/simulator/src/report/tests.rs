use super::{curves, page, Series};
use crate::{play, World};

/// The report is made from the trace alone. Its sums must be those of the run, and the page of a seed must repeat to the byte.
#[test]
fn report_counts_what_the_run_counted_and_repeats_to_the_byte() {
    let world = World::generate(12, 4);
    let found = play(&world, None);
    let series = Series::of(&found.run);
    let sum = |values: &[f64]| values.iter().sum::<f64>();
    assert_eq!(sum(&series.submitted), found.run.asked as f64);
    assert_eq!(sum(&series.rejected), found.run.rejected as f64);
    assert_eq!(series.in_flight.len(), series.nodes.len());
    assert!(!series.nodes.is_empty() && series.in_flight.iter().flatten().any(|mean| *mean > 0.0));
    // The invariant on limits held, so the level never exceeded its bound by more than one request.
    assert!(series.bucket_level.iter().all(|level| *level < 1.5), "{:?}", series.bucket_level);
    for (name, points) in curves(&found.run) {
        assert!(points.windows(2).all(|pair| pair[0].1 <= pair[1].1), "{name}: {points:?}");
    }
    let first = page(&world, &found, "a < b").unwrap();
    assert!(first.matches("<svg").count() == 4 && first.contains("a &lt; b"));
    assert_eq!(first, page(&world, &play(&world, None), "a < b").unwrap());
}
