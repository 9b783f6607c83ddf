//! Latency at percentiles.

use crate::sim::{Class, Run};

/// Percentiles of a curve between two nines.
const POINTS_PER_NINE: f64 = 10.0;
/// Points of a curve beyond its first: up to the percentile of four nines.
const MAX_POINT: u32 = 40;

/// A class, and for each percentile its number of nines and the latency in milliseconds. The 99th percentile has two nines.
pub type LatencyCurve = (String, Vec<(f64, f64)>);

/// The latency of what was done at percentiles, for each class of a run that had anything done.
pub fn curves(run: &Run) -> Vec<LatencyCurve> {
    let classes = run.classes.iter().filter(|(_, class)| class.done > 0);
    classes.map(|(name, class)| (name.clone(), points(class))).collect()
}

/// A class with few answers has no high percentiles.
fn points(class: &Class) -> Vec<(f64, f64)> {
    let max_nines = (class.done.max(1) as f64).log10();
    let latency_ms = |nines: f64| class.times.value_at_quantile(1.0 - 10f64.powf(-nines)) as f64 / 1e3;
    (0..=MAX_POINT)
        .map(|point| f64::from(point) / POINTS_PER_NINE)
        .take_while(|nines| *nines <= max_nines)
        .map(|nines| (nines, latency_ms(nines)))
        .collect()
}
