//! What the check of a rule has found so far.

use super::Rule;
use crate::index::{Attempt, Index};
use crate::report::{RuleReport, Violation};

/// The findings of one rule.
pub(super) struct Findings<'a> {
    rule: Rule,
    index: &'a Index,
    /// Cases that could have violated the rule.
    pub(super) checked: usize,
    violations: Vec<Violation>,
}

impl<'a> Findings<'a> {
    pub(super) fn new(rule: Rule, index: &'a Index) -> Self {
        Findings { rule, index, checked: 0, violations: Vec::new() }
    }

    /// An attempt violates the rule when its node receives it.
    pub(super) fn violated_by(&mut self, attempt: &Attempt, what: String) {
        self.violated_by_at(attempt, attempt.received_us, what);
    }

    /// An attempt violates the rule at a moment.
    pub(super) fn violated_by_at(&mut self, attempt: &Attempt, time_us: u64, what: String) {
        self.violations.push(Violation {
            rule: self.rule.number(),
            time_us,
            request: self.index.title(attempt),
            node: attempt.node.clone(),
            what,
        });
    }

    /// The rule is violated without a node.
    pub(super) fn violated_by_host(&mut self, time_us: u64, request: String, what: String) {
        let node = String::new();
        self.violations.push(Violation { rule: self.rule.number(), time_us, request, node, what });
    }

    pub(super) fn into_report(self) -> RuleReport {
        RuleReport {
            rule: self.rule.number(),
            name: self.rule.name(),
            checked: self.checked,
            cases: self.rule.cases(),
            violations: self.violations,
        }
    }
}
