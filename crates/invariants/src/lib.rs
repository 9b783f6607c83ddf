//! The seven rules held against recorded traffic: what clients, nodes and the node list saw on their sockets. It
//! shares no code with the host or the decision module, and takes nothing on their word that the sockets show.

pub mod history;
mod index;
mod rules;
pub mod spread;

pub use index::Index;

use serde::Serialize;
use tackmast_trace::Line;

/// One break of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Break {
    pub rule: u8,
    /// Microseconds of Unix time.
    pub t: u64,
    /// The request, as its host, session and command, or as host, generation and number where no client is known.
    #[serde(rename = "transfer")]
    pub request: String,
    pub node: String,
    pub what: String,
}

/// What was found of one rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RuleReport {
    pub rule: u8,
    pub name: &'static str,
    /// How many cases the traffic held that could have broken it; 0: it was not exercised.
    pub checked: usize,
    /// What these cases are.
    pub cases: &'static str,
    pub breaks: Vec<Break>,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    pub rules: Vec<RuleReport>,
    /// Why the trace proves nothing, where it doesn't.
    pub unfit: Option<String>,
}

impl Report {
    pub fn is_clean(&self) -> bool {
        self.unfit.is_none() && self.rules.iter().all(|r| r.breaks.is_empty())
    }

    pub fn rule(&self, number: u8) -> &RuleReport {
        &self.rules[usize::from(number) - 1]
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        if let Some(why) = &self.unfit {
            writeln!(f, "the trace proves nothing: {why}")?;
        }
        for r in &self.rules {
            let verdict = match (r.breaks.len(), r.checked) {
                (0, 0) => "not exercised".to_owned(),
                (0, n) => format!("kept ({n} {})", r.cases),
                (n, of) => format!("BROKEN {n} times ({of} {})", r.cases),
            };
            writeln!(f, "rule {} {:<18} {verdict}", r.rule, r.name)?;
            for b in r.breaks.iter().take(5) {
                let node = if b.node.is_empty() { String::new() } else { format!(" at node {}", b.node) };
                writeln!(f, "    at {:.6} request {}{node}: {}", b.t as f64 / 1e6, b.request, b.what)?;
            }
            if r.breaks.len() > 5 {
                writeln!(f, "    and {} more", r.breaks.len() - 5)?;
            }
        }
        Ok(())
    }
}

/// Judges a trace, whose lines are in order of time.
pub fn judge(lines: &[Line]) -> Report {
    let index = match Index::new(lines) {
        Ok(i) => i,
        Err(why) => return Report { rules: Vec::new(), unfit: Some(why) },
    };
    let rules = vec![
        rules::answers(&index),
        rules::double_effects(&index),
        rules::drains(&index),
        rules::cold_nodes(&index),
        rules::order(&index),
        rules::budget(&index),
        rules::limits(&index),
    ];
    Report { rules, unfit: index.unfit.clone() }
}
