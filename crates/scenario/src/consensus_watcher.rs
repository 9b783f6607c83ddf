//! Polls the hosts' admin sockets and observes whether a host applies an outdated version of the plans for longer than consensus
//! allows, and for how long there is no leader.

#[cfg(test)]
mod tests;

use crate::lock::lock;
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tackmast_admin::{Answer, Call};
use tackmast_host_core::{AdminRequest, AdminResponse, ConsensusRequest, ConsensusResponse, ConsensusStatus};

/// How often each host is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a host may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Age up to which a status of a leader counts.
const LEADER_STATUS_LIFETIME: Duration = POLL_INTERVAL.saturating_mul(6);
/// Violations that are described in words.
const MAX_VIOLATIONS: usize = 20;

/// What was observed of consensus.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ConsensusObservations {
    /// Changes that were acknowledged to the scenario.
    pub changes: usize,
    /// Longest time in seconds after a change's acknowledgement for which a host with a lease applied an older version.
    #[serde(rename = "longest_s")]
    pub max_outdated_s: f64,
    /// Seconds for which a host may do so.
    pub allowed_s: f64,
    /// Seconds without a leader, after the first was elected.
    pub leaderless_s: f64,
    /// Statuses that were received.
    #[serde(rename = "asked")]
    pub status_count: usize,
    /// Calls of operators that were checked for linearizability.
    #[serde(rename = "history")]
    pub operator_call_count: usize,
    /// Descriptions of hosts that applied an older version for too long.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// A change that was acknowledged.
#[derive(Clone)]
struct AcknowledgedChange {
    version: u64,
    at: Instant,
    /// Seconds until no host may apply an older version.
    in_force_s: f64,
}

/// A host that applies an older version than one that was acknowledged.
#[derive(Debug, PartialEq)]
struct OutdatedVersion {
    acknowledged_version: u64,
    outdated_s: f64,
    allowed_s: f64,
}

#[derive(Clone)]
struct HostStatus {
    polled_at: Instant,
    status: ConsensusStatus,
}

#[derive(Default)]
struct Observed {
    acknowledged: Vec<AcknowledgedChange>,
    /// By host, the last status.
    last_statuses: Vec<Option<HostStatus>>,
    observations: ConsensusObservations,
    had_leader: bool,
}

/// Compares a status with the acknowledged changes. Only a host with a valid lease promises anything.
fn outdated_version(
    status: &ConsensusStatus,
    polled_at: Instant,
    acknowledged: &[AcknowledgedChange],
) -> Option<OutdatedVersion> {
    if status.lease != "holds" || status.degraded {
        return None;
    }
    // The host took its status at some moment after it was polled, so a change acknowledged before the poll must be in it.
    let is_missed = |change: &&AcknowledgedChange| change.version > status.version && change.at < polled_at;
    let change = acknowledged.iter().find(is_missed)?;
    Some(OutdatedVersion {
        acknowledged_version: change.version,
        outdated_s: (polled_at - change.at).as_secs_f64(),
        allowed_s: change.in_force_s,
    })
}

fn poll_host(socket: &Path) -> Option<ConsensusStatus> {
    let call = Call::AdminRequest(AdminRequest::Consensus(ConsensusRequest::Status));
    match tackmast_admin::call(socket, &call, CALL_TIMEOUT) {
        Ok(Answer::AdminResponse(response)) => match *response {
            AdminResponse::Consensus(ConsensusResponse::Status(status)) => Some(*status),
            _ => None,
        },
        _ => None,
    }
}

/// Threads that poll the hosts.
pub(crate) struct ConsensusWatcher {
    observed: Arc<Mutex<Observed>>,
    is_over: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl ConsensusWatcher {
    /// Starts a thread for each host, so that a suspended host delays only its own status, and one that looks for a leader.
    pub(crate) fn start(sockets: Vec<PathBuf>) -> ConsensusWatcher {
        let observed: Arc<Mutex<Observed>> = Arc::default();
        let is_over: Arc<AtomicBool> = Arc::default();
        lock(&observed).last_statuses = vec![None; sockets.len()];
        let mut threads = Vec::new();
        for (host, socket) in sockets.into_iter().enumerate() {
            let (observed, is_over) = (observed.clone(), is_over.clone());
            threads.push(std::thread::spawn(move || {
                while !is_over.load(Ordering::Acquire) {
                    let polled_at = Instant::now();
                    let status = poll_host(&socket);
                    lock(&observed).record(host, polled_at, status);
                    std::thread::sleep(POLL_INTERVAL.saturating_sub(polled_at.elapsed()));
                }
            }));
        }
        let shared = (observed.clone(), is_over.clone());
        threads.push(std::thread::spawn(move || {
            let (observed, is_over) = shared;
            while !is_over.load(Ordering::Acquire) {
                std::thread::sleep(POLL_INTERVAL);
                lock(&observed).check_leader();
            }
        }));
        ConsensusWatcher { observed, is_over, threads }
    }

    /// The scenario got the acknowledgement of a change; all hosts apply it after `in_force_s` seconds.
    pub(crate) fn change_acknowledged(&self, version: u64, in_force_s: f64) {
        let mut observed = lock(&self.observed);
        observed.acknowledged.push(AcknowledgedChange { version, at: Instant::now(), in_force_s });
        let observations = &mut observed.observations;
        observations.changes += 1;
        observations.allowed_s = observations.allowed_s.max(in_force_s);
    }

    /// Ends the polling.
    pub(crate) fn end(self) -> ConsensusObservations {
        self.is_over.store(true, Ordering::Release);
        self.threads.into_iter().for_each(|thread| _ = thread.join());
        std::mem::take(&mut lock(&self.observed).observations)
    }
}

impl Observed {
    fn record(&mut self, host: usize, polled_at: Instant, status: Option<ConsensusStatus>) {
        let Some(status) = status else { return };
        let observations = &mut self.observations;
        observations.status_count += 1;
        if let Some(outdated) = outdated_version(&status, polled_at, &self.acknowledged) {
            let OutdatedVersion { acknowledged_version, outdated_s, allowed_s } = outdated;
            observations.max_outdated_s = observations.max_outdated_s.max(outdated_s);
            if outdated_s > allowed_s && observations.violations.len() < MAX_VIOLATIONS {
                observations.violations.push(format!(
                    "host {host} applies version {} {outdated_s:.3} s after {acknowledged_version} was acknowledged; allowed are {allowed_s:.3} s",
                    status.version
                ));
            }
        }
        if let Some(last_status) = self.last_statuses.get_mut(host) {
            *last_status = Some(HostStatus { polled_at, status });
        }
    }

    fn check_leader(&mut self) {
        let is_leader = |host: &HostStatus| {
            host.polled_at.elapsed() < LEADER_STATUS_LIFETIME && host.status.role == "leads"
        };
        match self.last_statuses.iter().flatten().any(is_leader) {
            true => self.had_leader = true,
            false if self.had_leader => self.observations.leaderless_s += POLL_INTERVAL.as_secs_f64(),
            false => {}
        }
    }
}
