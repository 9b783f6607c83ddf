//! Whether hosts contradict each other for longer than their agreement allows, watched from outside over their admin sockets:
//! each is asked again and again by which version it goes, and whether its lease holds.

use serde::Serialize;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tackmast_admin::{Answer, Call};
use tackmast_host_core::{AdminRequest, AdminResponse, ConsensusRequest, ConsensusResponse, ConsensusStatus};

const EVERY: Duration = Duration::from_millis(50);
const PATIENCE: Duration = Duration::from_millis(1_000);
/// Words on broken promises that are kept.
const TOLD: usize = 20;

/// What was seen of the agreement.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct AgreedSeen {
    /// Changes that were acknowledged to the day.
    pub changes: usize,
    /// The longest time after a change's acknowledgement for which a host with a lease was seen to go by an older version,
    /// and for how long it may.
    pub longest_s: f64,
    pub allowed_s: f64,
    /// Time for which no host said that it leads, after the first that did.
    pub leaderless_s: f64,
    pub asked: usize,
    /// Calls of operators whose order was judged.
    pub history: usize,
    /// Promises that were broken, in words.
    pub broken: Vec<String>,
}

#[derive(Default)]
struct Shared {
    /// Changes as they were acknowledged: version, when, and until when some host may go by what was before.
    acked: Vec<(u64, Instant, f64)>,
    /// By host, the last answer and when it was asked for.
    last: Vec<Option<(Instant, ConsensusStatus)>>,
    seen: AgreedSeen,
    led: bool,
}

/// One answer held against what was acknowledged: for how long an older version was gone by, and for how long it may.
fn older(s: &ConsensusStatus, asked: Instant, acked: &[(u64, Instant, f64)]) -> Option<(u64, f64, f64)> {
    if s.lease != "holds" || s.degraded {
        return None;
    }
    // It said so at some moment after it was asked.
    let newer = acked.iter().find(|(v, at, _)| *v > s.version && *at < asked)?;
    Some((newer.0, (asked - newer.1).as_secs_f64(), newer.2))
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn ask(socket: &Path) -> Option<ConsensusStatus> {
    match tackmast_admin::call(
        socket,
        &Call::AdminRequest(AdminRequest::Consensus(ConsensusRequest::Status)),
        PATIENCE,
    ) {
        Ok(Answer::AdminResponse(r)) => match *r {
            AdminResponse::Consensus(ConsensusResponse::Status(s)) => Some(*s),
            _ => None,
        },
        _ => None,
    }
}

pub struct AgreedWatcher {
    shared: Arc<Mutex<Shared>>,
    over: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl AgreedWatcher {
    pub fn start(sockets: Vec<PathBuf>) -> AgreedWatcher {
        let shared: Arc<Mutex<Shared>> = Arc::default();
        let over: Arc<AtomicBool> = Arc::default();
        lock(&shared).last = vec![None; sockets.len()];
        let mut threads = Vec::new();
        for (host, socket) in sockets.into_iter().enumerate() {
            let (shared, over) = (shared.clone(), over.clone());
            // One for each: a host that stands still keeps only its own waiting.
            threads.push(std::thread::spawn(move || {
                while !over.load(Ordering::Acquire) {
                    let asked = Instant::now();
                    let status = ask(&socket);
                    lock(&shared).take(host, asked, status);
                    std::thread::sleep(EVERY.saturating_sub(asked.elapsed()));
                }
            }));
        }
        let (s, o) = (shared.clone(), over.clone());
        threads.push(std::thread::spawn(move || {
            while !o.load(Ordering::Acquire) {
                std::thread::sleep(EVERY);
                lock(&s).look_for_leader();
            }
        }));
        AgreedWatcher { shared, over, threads }
    }

    /// The day was told that a change holds; `in_force_s` until all hosts go by it.
    pub fn acknowledged(&self, version: u64, in_force_s: f64) {
        let mut s = lock(&self.shared);
        s.acked.push((version, Instant::now(), in_force_s));
        s.seen.changes += 1;
        s.seen.allowed_s = s.seen.allowed_s.max(in_force_s);
    }

    pub fn end(self) -> AgreedSeen {
        self.over.store(true, Ordering::Release);
        self.threads.into_iter().for_each(|t| _ = t.join());
        std::mem::take(&mut lock(&self.shared).seen)
    }
}

impl Shared {
    fn take(&mut self, host: usize, asked: Instant, status: Option<ConsensusStatus>) {
        let Some(s) = status else { return };
        self.seen.asked += 1;
        if let Some((version, long, allowed)) = older(&s, asked, &self.acked) {
            self.seen.longest_s = self.seen.longest_s.max(long);
            if long > allowed && self.seen.broken.len() < TOLD {
                self.seen.broken.push(format!(
                    "host {host} goes by version {} {long:.3} s after {version} was acknowledged; it may for {allowed:.3} s",
                    s.version
                ));
            }
        }
        if let Some(last) = self.last.get_mut(host) {
            *last = Some((asked, s));
        }
    }

    fn look_for_leader(&mut self) {
        let fresh = |l: &Option<(Instant, ConsensusStatus)>| {
            l.as_ref().is_some_and(|(at, s)| at.elapsed() < EVERY * 6 && s.role == "leads")
        };
        match self.last.iter().any(fresh) {
            true => self.led = true,
            false if self.led => self.seen.leaderless_s += EVERY.as_secs_f64(),
            false => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn which_answers_contradict_what_was_acknowledged() {
        let t = Instant::now();
        let s = Duration::from_secs_f64;
        let acked = [(2, t + s(1.0), 1.5), (3, t + s(4.0), 1.5)];
        // Version, lease, posture, when asked, and by which newer one and for how long it is older.
        for (version, lease, posture, at, expected) in [
            (1, "holds", false, 0.5, None),
            (1, "holds", false, 2.0, Some((2, 1.0))),
            (2, "holds", false, 2.0, None),
            (2, "holds", false, 6.0, Some((3, 2.0))),
            (1, "holds", false, 6.0, Some((2, 5.0))),
            (1, "past", true, 6.0, None),
            (1, "holds", true, 6.0, None),
            (1, "never", true, 6.0, None),
        ] {
            let status =
                ConsensusStatus { version, lease: lease.into(), degraded: posture, ..Default::default() };
            let found = older(&status, t + s(at), &acked).map(|(v, long, _)| (v, (long * 1e3).round() / 1e3));
            assert_eq!(found, expected, "{version} {lease} {posture} {at}");
        }
        let mut shared = Shared { acked: acked.to_vec(), last: vec![None], ..Shared::default() };
        let status = ConsensusStatus { version: 2, lease: "holds".into(), ..Default::default() };
        shared.take(0, t + s(5.4), Some(status.clone()));
        assert!(shared.seen.broken.is_empty(), "within what is allowed");
        shared.take(0, t + s(5.6), Some(status));
        assert_eq!(shared.seen.broken.len(), 1);
    }
}
