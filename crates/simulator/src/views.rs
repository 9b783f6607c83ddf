//! The membership views of fleets under faults, in virtual time. Of a host only its `Member` runs. Each case ends with a last
//! fault; from there on it is measured how long the views take to settle, as docs/membership.md defines it. What a view must
//! never do is checked all the time.

mod cases;
mod world;

pub use cases::{Case, UnknownCase};

use crate::compare::median_with_interval;
use tackmast_membership::{Extensions, ViewFault};

/// One case, played from one seed.
#[derive(Clone, Copy, Debug)]
pub struct Trial {
    /// The case.
    pub case: Case,
    /// Number of hosts.
    pub hosts: u32,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// The extensions of SWIM that the views have.
    pub extensions: Extensions,
    /// A deliberate fault of the views.
    pub fault: Option<ViewFault>,
}

/// What a trial has shown. Times are in protocol periods.
#[derive(Clone, Debug, Default)]
pub struct Shown {
    /// From the last fault until the views had settled; none: not in time.
    pub settled: Option<f64>,
    /// From a death in a lossy network until all views have it; none: not in time, or no such death in this case.
    pub missed: Option<f64>,
    /// Hosts that were declared dead although they were alive.
    pub false_deaths: u64,
    /// Views that took over such a death, whichever host declared it.
    pub false_views: u64,
    /// Accusations that hosts answered.
    pub accused: u64,
    /// Bytes that a host sent in a period, from the first fault until the views had settled.
    pub bytes: f64,
    /// What a view did that it must never do.
    pub broken: Vec<String>,
}

/// Views must have settled within this time, in periods. A fault of the view counts as found if they take longer.
pub(crate) const MAX_SETTLE_PERIODS: f64 = 60.0;

impl Shown {
    /// Whether a view did what it must never do, or the views did not settle in time.
    pub fn is_bad(&self) -> bool {
        !self.broken.is_empty() || self.settled.is_none_or(|periods| periods > MAX_SETTLE_PERIODS)
    }
}

/// Plays one case of one seed.
pub fn view(trial: &Trial) -> Shown {
    cases::play(trial)
}

/// Looks for a deliberate fault of the view, in all cases of each seed. Returns the first seed and case by which it is found,
/// and how.
pub fn find(fault: ViewFault, hosts: u32, first: u64, seeds: u64) -> Option<(u64, Case, String)> {
    let trials = (first..first + seeds).flat_map(|seed| Case::ALL.map(|case| (seed, case)));
    trials.into_iter().find_map(|(seed, case)| {
        let trial = Trial { case, hosts, seed, extensions: Extensions::all(), fault: Some(fault) };
        fault_effect(&trial).map(|effect| (seed, case, effect))
    })
}

/// How a trial shows its fault: a view does what it must never do, the views do not settle in time, or there are more false
/// deaths or accusations than without the fault.
fn fault_effect(trial: &Trial) -> Option<String> {
    let with = view(trial);
    if let Some(broken) = with.broken.first() {
        return Some(broken.clone());
    }
    if with.is_bad() {
        return Some(format!("not settled: {:?} periods", with.settled));
    }
    let without = view(&Trial { fault: None, ..*trial });
    let tolerance = u64::from(trial.hosts) / 2;
    if with.false_deaths > without.false_deaths + tolerance {
        let (deaths, usual) = (with.false_deaths, without.false_deaths);
        return Some(format!("{deaths} false deaths, {usual} without the fault"));
    }
    if with.accused > 2 * without.accused + tolerance {
        let (accusations, usual) = (with.accused, without.accused);
        return Some(format!("{accusations} false accusations, {usual} without the fault"));
    }
    None
}

/// Figures over many seeds. Times are in protocol periods.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Trials.
    pub runs: usize,
    /// The median time to settle.
    pub median: f64,
    /// The longest time to settle.
    pub most: f64,
    /// Trials whose views did not settle in time.
    pub unsettled: usize,
    /// Hosts that were declared dead although they were alive, in all trials.
    pub false_deaths: u64,
    /// Views that took over such a death, in all trials.
    pub false_views: u64,
    /// The median of the bytes that a host sent in a period.
    pub bytes: f64,
    /// What views did that they must never do.
    pub broken: Vec<String>,
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Sums up the results of many seeds.
pub fn summary(all: &[Shown]) -> Summary {
    // A trial that did not settle counts as later than any that did.
    let times: Vec<f64> = all.iter().map(|shown| shown.settled.unwrap_or(f64::INFINITY)).collect();
    Summary {
        runs: all.len(),
        median: median(times.clone()),
        most: times.into_iter().fold(0.0, f64::max),
        unsettled: all.iter().filter(|shown| shown.settled.is_none()).count(),
        false_deaths: all.iter().map(|shown| shown.false_deaths).sum(),
        false_views: all.iter().map(|shown| shown.false_views).sum(),
        bytes: median(all.iter().map(|shown| shown.bytes).collect()),
        broken: all.iter().flat_map(|shown| shown.broken.clone()).collect(),
    }
}

/// The median of the differences in the time to settle, paired by seed, and its 95% interval. Times are in periods.
pub fn difference(baseline: &[Shown], candidate: &[Shown]) -> (f64, Option<(f64, f64)>) {
    let settled = |shown: &Shown| shown.settled.unwrap_or(cases::SETTLE_TIMEOUT_PERIODS);
    let pairs = baseline.iter().zip(candidate);
    let differences = pairs.map(|(baseline, candidate)| settled(candidate) - settled(baseline));
    median_with_interval(differences.collect())
}
