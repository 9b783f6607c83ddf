//! Figures of a run, and the statistics of paired differences.

use crate::Found;
use std::collections::BTreeMap;

/// The probability that the median is on one side of its interval, at most.
const ONE_SIDED_ERROR: f64 = 0.025;

/// Figures of one run, by name. Those of service are fractions of the commands that were submitted.
pub fn figures(found: &Found) -> BTreeMap<String, f64> {
    let run = &found.run;
    let submitted = run.asked.max(1) as f64;
    let broken = found.report.rules.iter().filter(|rule| !rule.violations.is_empty()).count();
    let mut figures = BTreeMap::from([
        ("in time".to_owned(), run.in_time as f64 / submitted),
        ("done".to_owned(), run.done as f64 / submitted),
        ("deferred".to_owned(), run.rejected as f64 / submitted),
        ("abandoned".to_owned(), run.failed as f64 / submitted),
        ("rules broken".to_owned(), broken as f64),
        ("work wasted".to_owned(), run.wasted_units / run.sent_units.max(1.0)),
        ("limit used".to_owned(), run.limit_used),
    ]);
    for (name, class) in &run.classes {
        let in_time = class.in_time as f64 / class.asked.max(1) as f64;
        figures.insert(format!("in time, {name}"), in_time);
        figures.insert(format!("p99 ms, {name}"), class.times.value_at_quantile(0.99) as f64 / 1e3);
    }
    figures
}

/// The median of paired differences, and the interval that has the median of all such pairs with a probability of at least
/// 95%: order statistics of the sign test, which assumes nothing about the distribution. Fewer than six pairs have no such
/// interval.
pub fn median_with_interval(mut values: Vec<f64>) -> (f64, Option<(f64, f64)>) {
    values.sort_by(f64::total_cmp);
    let count = values.len();
    if count == 0 {
        return (f64::NAN, None);
    }
    let median = (values[(count - 1) / 2] + values[count / 2]) / 2.0;
    let rank = interval_rank(count);
    (median, (rank > 0).then(|| (values[rank - 1], values[count - rank])))
}

/// The largest rank for which P(Binomial(count, 1/2) < rank) is at most the error on one side.
fn interval_rank(count: usize) -> usize {
    let (mut rank, mut below, mut probability) = (0, 0.0, 0.5f64.powi(count as i32));
    while rank < count && below + probability <= ONE_SIDED_ERROR {
        below += probability;
        probability *= (count - rank) as f64 / (rank + 1) as f64;
        rank += 1;
    }
    rank
}

#[cfg(test)]
mod tests;
