//! What was observed of the hosts' view of each other.

use super::fault_history::{FaultChange, FaultHistory};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tackmast_host_core::MembersStatus;

/// Protocol periods before a death for which its host must have been available, for the death to be false.
const FALSE_DEATH_GRACE_PERIODS: f64 = 70.0;
/// False deaths that are described in words.
const MAX_DESCRIBED_DEATHS: usize = 20;
/// Keeps divisions by a length of time from failing, in seconds.
const MIN_SECONDS: f64 = 1e-9;

/// How long the view took to settle after a fault began or ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Convergence {
    /// The fault, and whether it began or ended.
    pub fault: String,
    /// Seconds until the view was settled. `None`: not before the next fault, or never.
    pub settled_s: Option<f64>,
}

/// What was observed of the hosts' view of each other.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ViewObservations {
    /// Number of hosts.
    pub hosts: u32,
    /// Protocol period of membership in seconds.
    pub period_s: f64,
    /// Each begin and end of a fault, in order.
    #[serde(rename = "after")]
    pub convergences: Vec<Convergence>,
    /// Deaths that hosts detected themselves.
    pub deaths: usize,
    /// Those of them whose host was available all the time.
    pub false_deaths: usize,
    /// Descriptions of false deaths.
    #[serde(rename = "false_words")]
    pub false_death_descriptions: Vec<String>,
    /// Bytes of the membership protocol per second and host.
    #[serde(rename = "bytes")]
    pub bytes_per_s: f64,
    /// Share of a core that a host used.
    #[serde(rename = "cpu")]
    pub cpu_share: f64,
}

impl ViewObservations {
    /// Protocol periods from the last fault until the view was settled.
    pub fn last_convergence_periods(&self) -> Option<f64> {
        let settled_s = self.convergences.last().and_then(|convergence| convergence.settled_s);
        settled_s.map(|settled_s| settled_s / self.period_s.max(MIN_SECONDS))
    }
}

/// A death, as an observer has found it.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Death {
    observer: u32,
    host: u32,
    generation: u64,
    incarnation: u32,
}

struct DeathDetails {
    at: Instant,
    /// Whether the observer detected it, instead of learning it from another host.
    is_own: bool,
}

/// What was observed so far.
#[derive(Default)]
pub(super) struct Observed {
    /// By the number of the fault's change.
    convergences: BTreeMap<u64, Convergence>,
    deaths: BTreeMap<Death, DeathDetails>,
    /// Bytes sent, by host and generation.
    sent_bytes: BTreeMap<(u32, u64), u64>,
}

impl Observed {
    pub(super) fn record(&mut self, status: &MembersStatus, now: Instant) {
        let Some(observer) = status.host else { return };
        let sent = self.sent_bytes.entry((observer, status.generation)).or_default();
        *sent = (*sent).max(status.sent_bytes);
        for death in &status.deaths {
            let at = now.checked_sub(Duration::from_secs_f64(death.ago_s.max(0.0))).unwrap_or(now);
            let (host, generation, incarnation) = (death.host, death.generation, death.incarnation);
            let key = Death { observer, host, generation, incarnation };
            self.deaths.entry(key).or_insert(DeathDetails { at, is_own: death.declared_here });
        }
    }

    pub(super) fn record_fault(&mut self, change: &FaultChange) {
        let unsettled = || Convergence { fault: change.name.clone(), settled_s: None };
        self.convergences.entry(change.number).or_insert_with(unsettled);
    }

    pub(super) fn record_convergence(&mut self, change_number: u64, duration: Duration) {
        if let Some(convergence) = self.convergences.get_mut(&change_number) {
            convergence.settled_s = Some(duration.as_secs_f64());
        }
    }

    pub(super) fn has_converged_after(&self, change_number: u64) -> bool {
        self.convergences.get(&change_number).is_some_and(|convergence| convergence.settled_s.is_some())
    }

    pub(super) fn summarize(
        &self,
        history: &FaultHistory,
        period: Duration,
        hosts: u32,
        seconds: f64,
        cpu_s: f64,
    ) -> ViewObservations {
        let grace = period.mul_f64(FALSE_DEATH_GRACE_PERIODS);
        let own = self.deaths.iter().filter(|(_, details)| details.is_own);
        let is_false = |(death, details): &(&Death, &DeathDetails)| {
            !history.excuses(death.observer, death.host, details.at, grace)
        };
        let false_deaths = own.clone().filter(is_false);
        let described = false_deaths.clone().take(MAX_DESCRIBED_DEATHS);
        let sent_bytes: u64 = self.sent_bytes.values().sum();
        let host_seconds = seconds.max(MIN_SECONDS) * f64::from(hosts.max(1));
        ViewObservations {
            hosts,
            period_s: period.as_secs_f64(),
            convergences: self.convergences.values().cloned().collect(),
            deaths: own.count(),
            false_deaths: false_deaths.count(),
            false_death_descriptions: described.map(|(death, details)| death.describe(details)).collect(),
            bytes_per_s: sent_bytes as f64 / host_seconds,
            cpu_share: cpu_s / host_seconds,
        }
    }
}

impl Death {
    fn describe(&self, details: &DeathDetails) -> String {
        let ago_s = details.at.elapsed().as_secs_f64();
        let Death { observer, host, generation, incarnation } = self;
        format!(
            "host {observer} held host {host} dead (generation {generation:x}, incarnation {incarnation}), {ago_s:.2} s before the end"
        )
    }
}
