//! What was found in a trace, as text and as JSON.

use serde::Serialize;

/// How many violations of a rule the text of a report shows.
const MAX_VIOLATIONS_SHOWN: usize = 5;

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Number of the rule.
    pub rule: u8,
    /// Microseconds of Unix time.
    #[serde(rename = "t")]
    pub time_us: u64,
    /// The request, as its host, session and command, or as host, generation and number where no client is known.
    #[serde(rename = "transfer")]
    pub request: String,
    /// The node's address; empty where no node is involved.
    pub node: String,
    /// What happened.
    pub what: String,
}

/// What was found of one rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RuleReport {
    /// Number of the rule.
    pub rule: u8,
    /// Name of the rule.
    pub name: &'static str,
    /// How many cases the traffic held that could have violated the rule; 0: it was not exercised.
    pub checked: usize,
    /// What these cases are.
    pub cases: &'static str,
    /// The violations, as they were found.
    #[serde(rename = "breaks")]
    pub violations: Vec<Violation>,
}

/// What was found in a trace.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The rules by their numbers; empty where the trace could not be read at all.
    pub rules: Vec<RuleReport>,
    /// Why the trace proves nothing, where that is so.
    pub unfit: Option<String>,
}

impl Report {
    /// Whether the trace can be judged and violates no rule.
    pub fn is_clean(&self) -> bool {
        self.unfit.is_none() && self.rules.iter().all(|rule| rule.violations.is_empty())
    }

    /// What was found of the rule with this number, from 1.
    pub fn rule(&self, number: u8) -> &RuleReport {
        &self.rules[usize::from(number) - 1]
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        if let Some(why) = &self.unfit {
            writeln!(f, "the trace proves nothing: {why}")?;
        }
        self.rules.iter().try_for_each(|rule| write!(f, "{rule}"))
    }
}

impl std::fmt::Display for RuleReport {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let violation_count = self.violations.len();
        let verdict = match (violation_count, self.checked) {
            (0, 0) => "not exercised".to_owned(),
            (0, checked) => format!("kept ({checked} {})", self.cases),
            (count, checked) => format!("BROKEN {count} times ({checked} {})", self.cases),
        };
        writeln!(f, "rule {} {:<18} {verdict}", self.rule, self.name)?;
        for violation in self.violations.iter().take(MAX_VIOLATIONS_SHOWN) {
            writeln!(f, "{violation}")?;
        }
        if violation_count > MAX_VIOLATIONS_SHOWN {
            writeln!(f, "    and {} more", violation_count - MAX_VIOLATIONS_SHOWN)?;
        }
        Ok(())
    }
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let seconds = self.time_us as f64 / 1e6;
        write!(f, "    at {seconds:.6} request {}", self.request)?;
        if !self.node.is_empty() {
            write!(f, " at node {}", self.node)?;
        }
        write!(f, ": {}", self.what)
    }
}
