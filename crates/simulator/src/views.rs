//! Views of fleets under faults, in virtual time: the very `Member` that hosts run, and nothing else of them. Each case
//! ends with a last fault; from there on it is watched until the view has settled, as docs/membership.md defines it, and
//! all the while for what a view may never do.

mod cases;
mod world;

pub use cases::{Case, UnknownCase};

use crate::compare::median_with_interval;
use tackmast_membership::{Extensions, ViewFault};

/// One case of one seed.
#[derive(Clone, Copy, Debug)]
pub struct Trial {
    pub case: Case,
    pub hosts: u32,
    pub seed: u64,
    pub extensions: Extensions,
    pub fault: Option<ViewFault>,
}

/// What it has shown; times are counted in periods.
#[derive(Clone, Debug, Default)]
pub struct Shown {
    /// From the last fault until the view had settled; none: not within the patience.
    pub settled: Option<f64>,
    /// From a death in a bad net until all hold it.
    pub missed: Option<f64>,
    /// Deaths found of hosts that were there all the time, and how many views held such a death, by whoever's word.
    pub false_deaths: u64,
    pub false_views: u64,
    /// Accusations that hosts answered.
    pub accused: u64,
    /// Bytes that a host sent in a period, from the first fault to settled.
    pub bytes: f64,
    /// What a view must never do, and did.
    pub broken: Vec<String>,
}

/// Periods within which any case must have settled; beyond it a fault of the view counts as found.
pub const FOUND_AFTER: f64 = 60.0;

impl Shown {
    /// Whether something is wrong beside the times.
    pub fn is_bad(&self) -> bool {
        !self.broken.is_empty() || self.settled.is_none_or(|s| s > FOUND_AFTER)
    }
}

/// Plays one case of one seed.
pub fn view(trial: &Trial) -> Shown {
    cases::play(trial)
}

/// The first seed of those by which a fault is found, and in which case: by a break, a view that does not settle, or more
/// false deaths than without the fault.
pub fn find(fault: ViewFault, hosts: u32, first: u64, seeds: u64) -> Option<(u64, Case, String)> {
    for seed in first..first + seeds {
        for case in Case::ALL {
            let trial = Trial { case, hosts, seed, extensions: Extensions::all(), fault: Some(fault) };
            let with = view(&trial);
            if let Some(what) = with.broken.first() {
                return Some((seed, case, what.clone()));
            }
            if with.is_bad() {
                return Some((seed, case, format!("not settled: {:?} periods", with.settled)));
            }
            let without = view(&Trial { fault: None, ..trial });
            if with.false_deaths > without.false_deaths + u64::from(hosts) / 2 {
                let (a, b) = (with.false_deaths, without.false_deaths);
                return Some((seed, case, format!("{a} false deaths, {b} without the fault")));
            }
            if with.accused > 2 * without.accused + u64::from(hosts) / 2 {
                let (a, b) = (with.accused, without.accused);
                return Some((seed, case, format!("{a} false accusations, {b} without the fault")));
            }
        }
    }
    None
}

/// Figures over seeds: median and most of the time to settle, those that did not, sums of false deaths, median bytes.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    pub runs: usize,
    pub median: f64,
    pub most: f64,
    pub unsettled: usize,
    pub false_deaths: u64,
    pub false_views: u64,
    pub bytes: f64,
    pub broken: Vec<String>,
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Sums up the results of many seeds.
pub fn summary(all: &[Shown]) -> Summary {
    // One that did not settle counts as later than any that did.
    let times: Vec<f64> = all.iter().map(|s| s.settled.unwrap_or(f64::INFINITY)).collect();
    Summary {
        runs: all.len(),
        median: median(times.clone()),
        most: times.into_iter().fold(0.0, f64::max),
        unsettled: all.iter().filter(|s| s.settled.is_none()).count(),
        false_deaths: all.iter().map(|s| s.false_deaths).sum(),
        false_views: all.iter().map(|s| s.false_views).sum(),
        bytes: median(all.iter().map(|s| s.bytes).collect()),
        broken: all.iter().flat_map(|s| s.broken.clone()).collect(),
    }
}

/// The median difference of pairs by seed, and the interval that holds it with 95%.
pub fn difference(baseline: &[Shown], candidate: &[Shown]) -> (f64, Option<(f64, f64)>) {
    let late = |s: &Shown| s.settled.unwrap_or(cases::SETTLE_TIMEOUT_PERIODS);
    median_with_interval(
        baseline
            .iter()
            .zip(candidate)
            .map(|(baseline, candidate)| late(candidate) - late(baseline))
            .collect(),
    )
}
