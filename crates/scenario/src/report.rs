//! What a day has shown.

use crate::settled::ViewSeen;
use crate::traffic::Tally;
use serde::Serialize;

/// Service of one plan and traffic class.
#[derive(Clone, Debug, Serialize)]
pub struct Served {
    pub plan: String,
    #[serde(rename = "stream")]
    pub traffic_class: String,
    pub asked: u64,
    pub in_time: f64,
    pub done: u64,
    #[serde(rename = "deferred")]
    pub rejected: u64,
    #[serde(rename = "abandoned")]
    pub failed: u64,
    pub lost: u64,
    pub unreached: u64,
    pub shut: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
}

impl Served {
    pub fn new(plan: &str, traffic_class: &str, t: &Tally) -> Served {
        let at = |q| t.times.value_at_quantile(q) as f64 / 1e3;
        Served {
            plan: plan.to_owned(),
            traffic_class: traffic_class.to_owned(),
            asked: t.asked,
            in_time: t.in_time as f64 / t.asked.max(1) as f64,
            done: t.done,
            rejected: t.rejected,
            failed: t.failed,
            lost: t.lost,
            unreached: t.unreached,
            shut: t.shut,
            p50_ms: at(0.5),
            p99_ms: at(0.99),
        }
    }
}

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub seed: u64,
    pub served: Vec<Served>,
    pub blocks_checked: u64,
    /// What is wrong beside the rules: bytes, answers, troubles that could not be played.
    pub failures: Vec<String>,
    pub rules: tackmast_invariants::Report,
    /// Of hosts that know of each other.
    pub view: Option<ViewSeen>,
    /// Of hosts that agree on changes.
    pub agreed: Option<crate::agreed::AgreedSeen>,
}

impl Report {
    pub fn is_good(&self) -> bool {
        self.failures.is_empty() && self.rules.is_clean()
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        writeln!(f, "seed {}; nodes and clients are stand-ins on loopback", self.seed)?;
        writeln!(
            f,
            "{:<12} {:<14} {:>7} {:>8} {:>7} {:>8} {:>9} {:>5} {:>9} {:>5} {:>9} {:>9}",
            "plan",
            "stream type",
            "asked",
            "in time",
            "done",
            "rejected",
            "failed",
            "lost",
            "unreached",
            "shut",
            "p50 ms",
            "p99 ms"
        )?;
        for s in &self.served {
            writeln!(
                f,
                "{:<12} {:<14} {:>7} {:>8.3} {:>7} {:>8} {:>9} {:>5} {:>9} {:>5} {:>9.2} {:>9.2}",
                s.plan,
                s.traffic_class,
                s.asked,
                s.in_time,
                s.done,
                s.rejected,
                s.failed,
                s.lost,
                s.unreached,
                s.shut,
                s.p50_ms,
                s.p99_ms
            )?;
        }
        writeln!(f, "{} blocks read were checked against what was written", self.blocks_checked)?;
        write!(f, "{}", self.rules)?;
        if let Some(v) = &self.view {
            writeln!(
                f,
                "view of {} hosts: {} deaths found, {} of them false; {:.0} bytes a second and {:.1}% of a core a host",
                v.hosts,
                v.deaths,
                v.false_deaths,
                v.bytes,
                v.cpu * 100.0
            )?;
            for w in v.false_words.iter().take(5) {
                writeln!(f, "    false: {w}")?;
            }
            for a in &v.after {
                match a.settled_s {
                    Some(s) => {
                        writeln!(f, "    settled {s:.2} s after {}: {:.1} periods", a.fault, s / v.period_s)?
                    }
                    None => writeln!(f, "    not settled after {}", a.fault)?,
                }
            }
        }
        if let Some(a) = &self.agreed {
            writeln!(
                f,
                "agreement: {} changes, an older version gone by for {:.3} s at most of {:.3} allowed; no leader for {:.2} s; {} answers; {} calls of operators in an order",
                a.changes, a.longest_s, a.allowed_s, a.leaderless_s, a.asked, a.history
            )?;
        }
        for failure in self.failures.iter().take(10) {
            writeln!(f, "FAILED: {failure}")?;
        }
        if self.failures.len() > 10 {
            writeln!(f, "and {} more failures", self.failures.len() - 10)?;
        }
        Ok(())
    }
}
