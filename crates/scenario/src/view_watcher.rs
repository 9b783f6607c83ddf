//! Polls the hosts' admin sockets and observes whether their view of each other has settled since the last fault, as
//! docs/membership.md defines it, and which hosts were held dead although they were available.

mod fault_history;
mod observations;
#[cfg(test)]
mod tests;

pub(crate) use fault_history::FaultHistory;
pub use observations::{Convergence, ViewObservations};

use crate::lock::lock;
use fault_history::{FaultChange, ProcessId};
use observations::Observed;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tackmast_admin::{Answer, Call};
use tackmast_host_core::{AdminRequest, AdminResponse, MembersStatus};

/// How often all hosts are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Threads that poll hosts at the same time.
const POLL_THREADS: usize = 6;
/// How long one host may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// A thread that polls the hosts.
pub(crate) struct ViewWatcher {
    history: Arc<Mutex<FaultHistory>>,
    observed: Arc<Mutex<Observed>>,
    is_over: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
    period: Duration,
}

fn poll_host(socket: &Path) -> Option<MembersStatus> {
    match tackmast_admin::call(socket, &Call::AdminRequest(AdminRequest::Members), CALL_TIMEOUT) {
        Ok(Answer::AdminResponse(response)) => match *response {
            AdminResponse::Members(members) => Some(*members),
            _ => None,
        },
        _ => None,
    }
}

/// Whether the view has settled: all hosts that run have the same digest; they hold each other alive, with the generation, address
/// and site that each states; and they hold all others dead or left. A process that was displaced by a later generation of its
/// number does not count.
fn is_settled(statuses: &[MembersStatus]) -> bool {
    let running: Vec<&MembersStatus> = statuses.iter().filter(|status| !status.displaced).collect();
    let Some((first, others)) = running.split_first() else { return false };
    let numbers: BTreeSet<Option<u32>> = running.iter().map(|status| status.host).collect();
    if numbers.len() != running.len() || others.iter().any(|status| status.digest != first.digest) {
        return false;
    }
    let others_are_alive = others.iter().all(|status| {
        let peer = first.peers.iter().find(|peer| Some(peer.host) == status.host);
        peer.is_some_and(|peer| {
            let stated = (status.generation, status.site, &status.address);
            peer.health == "alive" && (peer.generation, peer.site, &peer.address) == stated
        })
    });
    let is_gone = |health: &str| matches!(health, "dead" | "left");
    let mut peers = first.peers.iter();
    others_are_alive && peers.all(|peer| numbers.contains(&Some(peer.host)) || is_gone(&peer.health))
}

impl ViewWatcher {
    /// Starts to poll; `period_s` is the protocol period of membership.
    pub(crate) fn start(period_s: f64) -> ViewWatcher {
        let history: Arc<Mutex<FaultHistory>> = Arc::default();
        let observed: Arc<Mutex<Observed>> = Arc::default();
        let is_over: Arc<AtomicBool> = Arc::default();
        let shared = (history.clone(), observed.clone(), is_over.clone());
        let poll = move || {
            let (history, observed, is_over) = shared;
            while !is_over.load(Ordering::Acquire) {
                let started = Instant::now();
                poll_all(&history, &observed);
                std::thread::sleep(POLL_INTERVAL.saturating_sub(started.elapsed()));
            }
        };
        let thread = std::thread::Builder::new().name("watcher".into()).spawn(poll).ok();
        ViewWatcher { history, observed, is_over, thread, period: Duration::from_secs_f64(period_s) }
    }

    /// What the scenario has done to the hosts; the scenario keeps it up to date.
    pub(crate) fn history(&self) -> MutexGuard<'_, FaultHistory> {
        lock(&self.history)
    }

    /// Whether the view has settled since the last fault began or ended.
    pub(crate) fn is_settled(&self) -> bool {
        let number = self.history().last_change.as_ref().map(|change| change.number);
        number.is_none_or(|number| lock(&self.observed).has_converged_after(number))
    }

    /// Time since the last fault began or ended.
    pub(crate) fn since_last_fault(&self) -> Duration {
        self.history().last_change.as_ref().map_or(Duration::ZERO, |change| change.at.elapsed())
    }

    /// Ends the polling. The scenario had so many hosts, lasted so long, and its hosts used so much CPU time together.
    pub(crate) fn end(mut self, hosts: u32, seconds: f64, cpu_s: f64) -> ViewObservations {
        self.is_over.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
        let (history, observed) = (lock(&self.history), lock(&self.observed));
        observed.summarize(&history, self.period, hosts, seconds, cpu_s)
    }
}

/// What one round of polling starts from.
struct PollRound {
    targets: Vec<PathBuf>,
    last_change: Option<FaultChange>,
    /// Whether no fault keeps hosts from agreeing.
    is_undisturbed: bool,
}

impl PollRound {
    fn of(history: &FaultHistory) -> PollRound {
        let is_running = |(process, _): &(&ProcessId, &PathBuf)| !history.stopped.contains(&process.0);
        PollRound {
            targets: history.admin_sockets.iter().filter(is_running).map(|(_, path)| path.clone()).collect(),
            last_change: history.last_change.clone(),
            is_undisturbed: history.stopped.is_empty() && history.cuts.is_empty(),
        }
    }

    fn poll(&self) -> Vec<Option<MembersStatus>> {
        let chunk_size = self.targets.len().div_ceil(POLL_THREADS).max(1);
        std::thread::scope(|scope| {
            let poll_chunk = |chunk: &[PathBuf]| chunk.iter().map(|path| poll_host(path)).collect::<Vec<_>>();
            let threads: Vec<_> =
                self.targets.chunks(chunk_size).map(|chunk| scope.spawn(move || poll_chunk(chunk))).collect();
            threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
        })
    }
}

/// Polls all processes that run at once.
fn poll_all(history: &Mutex<FaultHistory>, observed: &Mutex<Observed>) {
    let round = PollRound::of(&lock(history));
    let statuses = round.poll();
    let now = Instant::now();
    let mut observed = lock(observed);
    statuses.iter().flatten().for_each(|status| observed.record(status, now));
    let Some(change) = round.last_change else { return };
    observed.record_fault(&change);
    if observed.has_converged_after(change.number)
        || !round.is_undisturbed
        || statuses.iter().any(Option::is_none)
    {
        return;
    }
    let statuses: Vec<MembersStatus> = statuses.into_iter().flatten().collect();
    // A fault that began while the hosts were polled makes these statuses worthless.
    let is_current = lock(history).last_change.as_ref().is_some_and(|last| last.number == change.number);
    if is_current && is_settled(&statuses) {
        observed.record_convergence(change.number, now - change.at);
    }
}
