use super::*;
use crate::play;

/// The report is made from the trace alone. Its sums must be those of the run, and the page of a seed must repeat to the byte.
#[test]
fn report_counts_what_the_run_counted_and_repeats_to_the_byte() {
    let w = World::generate(12, 4);
    let found = play(&w, None);
    let s = Series::of(&found.run);
    let sum = |v: &[f64]| v.iter().sum::<f64>();
    assert_eq!(sum(&s.asked), found.run.asked as f64);
    assert_eq!(sum(&s.rejected), found.run.rejected as f64);
    assert_eq!(s.out.len(), s.nodes.len());
    assert!(!s.nodes.is_empty() && s.out.iter().flatten().any(|x| *x > 0.0));
    // The limit's rule held, so the store never passed its brim by more than one request.
    assert!(s.store.iter().all(|x| *x < 1.5), "{:?}", s.store);
    for (name, points) in curves(&found.run) {
        assert!(points.windows(2).all(|p| p[0].1 <= p[1].1), "{name}: {points:?}");
    }
    let one = page(&w, &found, "a < b").unwrap();
    assert!(one.matches("<svg").count() == 4 && one.contains("a &lt; b"));
    assert_eq!(one, page(&w, &play(&w, None), "a < b").unwrap());
}
