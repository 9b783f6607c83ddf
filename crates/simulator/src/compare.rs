//! Paired runs: the same seeds under two variants, and the medians of the differences with their intervals.

mod statistics;
mod variant;

pub use statistics::{figures, median_with_interval};
pub use variant::{Change, Variant};

use crate::play_with;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// The largest number of threads that a comparison uses.
const MAX_THREADS: usize = 64;

/// One metric under two variants.
pub struct MetricComparison {
    /// The name of the metric.
    pub name: String,
    /// The median under the first variant.
    pub baseline: f64,
    /// The median under the second variant.
    pub candidate: f64,
    /// The median of the paired differences, second less first.
    pub difference: f64,
    /// The 95% interval of that median; none if there are too few pairs.
    pub interval: Option<(f64, f64)>,
}

/// The figures of one seed under both variants.
type FiguresPair = (BTreeMap<String, f64>, BTreeMap<String, f64>);

/// Plays `seeds` seeds from `first` on under both variants, on several threads.
pub fn compare(
    baseline: &Variant,
    candidate: &Variant,
    first: u64,
    seeds: u64,
    hosts: u32,
    threads: usize,
) -> Vec<MetricComparison> {
    let next = AtomicU64::new(first);
    let pairs = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, MAX_THREADS) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= first + seeds {
                    return;
                }
                let pair = (play_variant(baseline, seed, hosts), play_variant(candidate, seed, hosts));
                pairs.lock().unwrap_or_else(PoisonError::into_inner).insert(seed, pair);
            });
        }
    });
    let pairs = pairs.into_inner().unwrap_or_else(PoisonError::into_inner);
    let pairs: Vec<FiguresPair> = pairs.into_values().collect();
    let names: BTreeSet<&String> = pairs.iter().flat_map(|(baseline, _)| baseline.keys()).collect();
    names.into_iter().map(|name| compare_metric(name, &pairs)).collect()
}

fn play_variant(variant: &Variant, seed: u64, hosts: u32) -> BTreeMap<String, f64> {
    figures(&play_with(&variant.change.of(seed, hosts), None, variant.reference_model))
}

/// Compares a metric over the seeds that have it under both variants.
fn compare_metric(name: &str, pairs: &[FiguresPair]) -> MetricComparison {
    let values: Vec<(f64, f64)> = pairs
        .iter()
        .filter_map(|(baseline, candidate)| Some((*baseline.get(name)?, *candidate.get(name)?)))
        .collect();
    let (baseline, _) = median_with_interval(values.iter().map(|(baseline, _)| *baseline).collect());
    let (candidate, _) = median_with_interval(values.iter().map(|(_, candidate)| *candidate).collect());
    let differences = values.iter().map(|(baseline, candidate)| candidate - baseline);
    let (difference, interval) = median_with_interval(differences.collect());
    MetricComparison { name: name.to_owned(), baseline, candidate, difference, interval }
}
