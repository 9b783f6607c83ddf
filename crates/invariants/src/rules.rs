//! The seven rules, a file each. Two ends of a socket may see the same event apart by as much as the skew of the facts, which
//! each rule leaves to the host.

mod double_effect;
mod drain;
mod findings;
mod key_order;
mod one_answer;
mod retry_budget;
mod slow_start;
mod volume_limit;

use crate::index::Index;
use crate::report::RuleReport;

/// How many rules there are. They are numbered from 1.
pub const RULE_COUNT: u8 = 7;
/// Units by which a sum of many floats may be off.
const ROUNDING_UNITS: f64 = 1e-6;

/// A rule, by what it demands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// Each command gets exactly one final answer, in time, and nothing is sent for it afterwards (rule 1).
    OneAnswer,
    /// No request takes effect twice, and no two attempts of a request are in flight at once (rule 2).
    NoDoubleEffect,
    /// A node that drains or is gone gets nothing new after the grace (rule 3).
    Drain,
    /// All hosts together never overload a node in slow start (rule 4).
    SlowStart,
    /// Requests of one order key run one at a time, in the order in which their host received them (rule 5).
    KeyOrder,
    /// Retries stay within the retry budget over any window (rule 6).
    RetryBudget,
    /// All hosts together stay within a volume's limit and its slack (rule 7).
    VolumeLimit,
}

impl Rule {
    const ALL: [Rule; RULE_COUNT as usize] = [
        Rule::OneAnswer,
        Rule::NoDoubleEffect,
        Rule::Drain,
        Rule::SlowStart,
        Rule::KeyOrder,
        Rule::RetryBudget,
        Rule::VolumeLimit,
    ];

    /// The number by which operators know the rule.
    fn number(self) -> u8 {
        match self {
            Rule::OneAnswer => 1,
            Rule::NoDoubleEffect => 2,
            Rule::Drain => 3,
            Rule::SlowStart => 4,
            Rule::KeyOrder => 5,
            Rule::RetryBudget => 6,
            Rule::VolumeLimit => 7,
        }
    }

    /// The rule's name in reports, which scripts read.
    fn name(self) -> &'static str {
        match self {
            Rule::OneAnswer => "one answer",
            Rule::NoDoubleEffect => "no double effect",
            Rule::Drain => "drains",
            Rule::SlowStart => "cold nodes",
            Rule::KeyOrder => "order",
            Rule::RetryBudget => "budget",
            Rule::VolumeLimit => "limits",
        }
    }

    /// What a report calls the cases that could have violated the rule.
    fn cases(self) -> &'static str {
        match self {
            Rule::OneAnswer => "answers due",
            Rule::NoDoubleEffect => "retries and rejections",
            Rule::Drain => "times a host was told to stop",
            Rule::SlowStart => "attempts to cold nodes",
            Rule::KeyOrder => "attempts behind another of their key",
            Rule::RetryBudget => "retries",
            Rule::VolumeLimit => "first attempts under a limit",
        }
    }

    fn check(self, index: &Index) -> RuleReport {
        match self {
            Rule::OneAnswer => one_answer::check(index),
            Rule::NoDoubleEffect => double_effect::check(index),
            Rule::Drain => drain::check(index),
            Rule::SlowStart => slow_start::check(index),
            Rule::KeyOrder => key_order::check(index),
            Rule::RetryBudget => retry_budget::check(index),
            Rule::VolumeLimit => volume_limit::check(index),
        }
    }
}

/// Checks all rules, in the order of their numbers.
pub(crate) fn check_all(index: &Index) -> Vec<RuleReport> {
    Rule::ALL.iter().map(|rule| rule.check(index)).collect()
}

/// Milliseconds, for messages.
fn milliseconds(us: u64) -> f64 {
    us as f64 / 1e3
}
