//! Limits (rule 7): all hosts together stay within a volume's limit and its slack. Where the limit changes, the token bucket holds
//! at each moment as much as the limit in force then allows, and fills at its rate.

use super::findings::Findings;
use super::{Rule, ROUNDING_UNITS};
use crate::index::{Attempt, Index, LimitPeriod};
use crate::report::RuleReport;

/// What hosts may go by at a moment.
#[derive(Clone, Copy, Default)]
struct EffectiveLimit {
    /// Units a second; infinite without a limit.
    limit: f64,
    burst: f64,
    slack: f64,
}

/// The largest of the limits that some host may go by at that time.
fn effective_limit(periods: &[LimitPeriod], time_us: u64) -> EffectiveLimit {
    let in_force = periods.iter().filter(|limit| limit.period.contains(time_us));
    in_force.fold(EffectiveLimit::default(), |max, other| {
        let is_limited = other.limit > 0.0;
        let (limit, burst) =
            if is_limited { (other.limit, other.burst) } else { (f64::INFINITY, f64::INFINITY) };
        EffectiveLimit {
            limit: max.limit.max(limit),
            burst: max.burst.max(burst),
            slack: max.slack.max(other.slack),
        }
    })
}

/// The token bucket of a volume, for all hosts together. It goes below zero by as much as they borrow.
struct TokenBucket<'a> {
    limits: &'a [LimitPeriod],
    /// When a limit starts or ends to be in force, in order.
    changes_us: Vec<u64>,
    units: f64,
    filled_until_us: u64,
}

impl<'a> TokenBucket<'a> {
    /// A full bucket.
    fn new(limits: &'a [LimitPeriod], time_us: u64) -> Self {
        let ends = limits.iter().flat_map(|limit| [limit.period.from_us, limit.period.until_us]);
        let mut changes_us: Vec<u64> = ends.collect();
        changes_us.sort_unstable();
        let units = effective_limit(limits, time_us).burst;
        TokenBucket { limits, changes_us, units, filled_until_us: time_us }
    }

    /// Fills the bucket until that time, from one change of the limit to the next.
    fn fill_until(&mut self, time_us: u64) {
        let filled_until_us = self.filled_until_us;
        let changes = self.changes_us.iter().copied();
        let changes: Vec<u64> =
            changes.filter(|change_us| *change_us > filled_until_us && *change_us <= time_us).collect();
        changes.into_iter().for_each(|change_us| self.fill_at_one_rate(change_us));
        self.fill_at_one_rate(time_us);
    }

    fn fill_at_one_rate(&mut self, until_us: u64) {
        let now = effective_limit(self.limits, self.filled_until_us);
        let added = if until_us > self.filled_until_us {
            (until_us - self.filled_until_us) as f64 / 1e6 * now.limit
        } else {
            0.0
        };
        self.units = (self.units + added).min(now.burst);
        self.filled_until_us = until_us;
    }
}

pub(super) fn check(index: &Index) -> RuleReport {
    let mut findings = Findings::new(Rule::VolumeLimit, index);
    for (volume, limits) in &index.limits {
        if limits.iter().any(|limit| limit.limit > 0.0) {
            check_volume(index, *volume, limits, &mut findings);
        }
    }
    findings.into_report()
}

fn check_volume(index: &Index, volume: u32, limits: &[LimitPeriod], findings: &mut Findings) {
    let attempts = first_attempts(index, volume);
    let Some(first) = attempts.first() else { return };
    let mut bucket = TokenBucket::new(limits, first.received_us);
    for attempt in attempts {
        bucket.fill_until(attempt.received_us);
        let now = effective_limit(limits, attempt.received_us);
        if now.limit.is_infinite() {
            continue;
        }
        findings.checked += 1;
        // A host that counts fewer units than the bytes make draws more than it claims.
        bucket.units -= attempt.units.max(attempt.claimed_units);
        let min_units = -(now.slack + now.limit * index.facts.skew_us as f64 / 1e6);
        if bucket.units < min_units - ROUNDING_UNITS {
            let what =
                format!("volume {volume} is {:.1} units past its limit; slack {}", -bucket.units, now.slack);
            findings.violated_by(attempt, what);
        }
    }
}

/// The first attempt of each request of the volume, in order of time. Retries are not charged again.
fn first_attempts(index: &Index, volume: u32) -> Vec<&Attempt> {
    let attempts = index.requests.values().map(|attempts| &index.attempts[attempts[0]]);
    let mut of_volume: Vec<&Attempt> = attempts.filter(|attempt| attempt.volume == volume).collect();
    of_volume.sort_by_key(|attempt| attempt.received_us);
    of_volume
}
