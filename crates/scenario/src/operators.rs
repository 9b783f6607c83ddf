//! Operators who read and change plans at hosts by chance, each call with its times and what came of it, for the check whether
//! all of it can have happened one after the other.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tackmast_admin::{Answer, Call};
use tackmast_host_core::{
    AdminRequest, AdminResponse, ConsensusRequest, ConsensusResponse, PlanRequest, PlanResponse,
};
use tackmast_invariants::linearizability::{Operation, Outcome};
use tackmast_plans::{Change, Step};

const PATIENCE: Duration = Duration::from_secs(8);
/// Tries of a change of the day's own that operators come before.
const TRIES: u32 = 50;

pub struct Operators {
    ops: Arc<Mutex<Vec<Operation>>>,
    over: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
    began: Instant,
}

struct Operator {
    name: String,
    sockets: Vec<PathBuf>,
    chance: oorandom::Rand64,
    plan: String,
    base: u64,
    began: Instant,
}

fn ask(socket: &Path, ask: PlanRequest) -> Option<PlanResponse> {
    match tackmast_admin::call(socket, &Call::AdminRequest(AdminRequest::Plan(ask)), PATIENCE) {
        Ok(Answer::AdminResponse(r)) => match *r {
            AdminResponse::Plan(p) => Some(p),
            _ => None,
        },
        _ => None,
    }
}

impl Operator {
    /// One call, if it came to something.
    fn call(&mut self) -> Option<Operation> {
        let host = self.chance.rand_range(0..self.sockets.len() as u64) as usize;
        let socket = self.sockets.get(host)?.clone();
        let changes = self.chance.rand_range(0..2) == 0;
        let began = self.began.elapsed().as_secs_f64();
        let outcome = if changes { self.change(&socket)? } else { self.read(&socket)? };
        let ended = self.began.elapsed().as_secs_f64();
        Some(Operation {
            called_at: began,
            returned_at: ended,
            caller: format!("{} at host {host}", self.name),
            outcome,
        })
    }

    fn read(&mut self, socket: &Path) -> Option<Outcome> {
        match ask(socket, PlanRequest::Show)? {
            // One that says it may be old promises nothing.
            PlanResponse::Shown(s) if !s.stale => {
                self.base = s.catalogue.version;
                Some(Outcome::Read { version: s.catalogue.version, digest: s.digest })
            }
            _ => None,
        }
    }

    fn change(&mut self, socket: &Path) -> Option<Outcome> {
        // Its weight alone: no rule hangs on it, so that nothing else is disturbed.
        let shown = match ask(socket, PlanRequest::Show)? {
            PlanResponse::Shown(s) => s,
            _ => return None,
        };
        let mut to = shown.catalogue.plans.get(&self.plan)?.clone();
        to.weight = 1.0 + (self.chance.rand_float() * 1e6).round() / 1e6;
        // Now and then on what it saw before, which may be old.
        let base = if self.chance.rand_range(0..4) == 0 { self.base } else { shown.catalogue.version };
        self.base = shown.catalogue.version;
        let steps = vec![Step::Plan { name: self.plan.clone(), to: Some(to) }];
        let change = Change { base, steps, who: self.name.clone(), why: "an operator of the day".into() };
        Some(match ask(socket, PlanRequest::Apply { change, dry_run: false }) {
            Some(PlanResponse::Applied { version, .. }) => Outcome::Applied { base, version },
            Some(PlanResponse::Refused { why }) if why.contains("moved since then") => {
                Outcome::Conflict { base }
            }
            // Refused before it was put to anybody: nothing of it is to be seen. A base that is not there yet, or waiting asks.
            Some(PlanResponse::Refused { why })
                if why.starts_with("base") || why.contains("wait already") =>
            {
                return None
            }
            _ => Outcome::Unknown { base },
        })
    }
}

/// A change of a plan that the day itself asks for, tried again where an operator was first: its version, and the seconds until
/// all go by it. Each try is told of.
pub fn change(
    socket: &Path,
    name: &str,
    to: &tackmast_plans::Plan,
    began: Instant,
    mut note: impl FnMut(Operation),
) -> Result<(u64, f64), String> {
    let mut last = "nothing was asked".to_owned();
    for _ in 0..TRIES {
        let Some(PlanResponse::Shown(s)) = ask(socket, PlanRequest::Show) else {
            return Err("its plans are not shown".into());
        };
        let base = s.catalogue.version;
        // What operators move stays as they have it.
        let weight = s.catalogue.plans.get(name).map_or(to.weight, |p| p.weight);
        let to = tackmast_plans::Plan { weight, ..to.clone() };
        let steps = vec![Step::Plan { name: name.to_owned(), to: Some(to) }];
        let change = Change { base, steps, who: "the day".into(), why: "its script".into() };
        let asked = began.elapsed().as_secs_f64();
        let reply = ask(socket, PlanRequest::Apply { change, dry_run: false });
        let ended = began.elapsed().as_secs_f64();
        let mut noted = |outcome| {
            note(Operation { called_at: asked, returned_at: ended, caller: "the day".into(), outcome })
        };
        match reply {
            Some(PlanResponse::Applied { version, in_force_s, .. }) => {
                noted(Outcome::Applied { base, version });
                return Ok((version, in_force_s));
            }
            Some(PlanResponse::Refused { why }) if why.contains("moved since then") => {
                noted(Outcome::Conflict { base });
                last = why;
            }
            other => {
                noted(Outcome::Unknown { base });
                return Err(format!("{other:?}"));
            }
        }
    }
    Err(last)
}

/// Asks whoever leads to make a host a voter, or to take it out; again for a while, as a leader may not know of it yet.
pub fn voter(dir: &Path, hosts: u32, host: u32, votes: bool) -> Result<(), String> {
    let mut last = "no host answered".to_owned();
    for _ in 0..TRIES {
        for h in 0..hosts {
            let socket = crate::script::admin_socket(dir, h);
            let call = Call::AdminRequest(AdminRequest::Consensus(ConsensusRequest::Voter { host, votes }));
            match tackmast_admin::call(&socket, &call, Duration::from_millis(500)) {
                Ok(Answer::AdminResponse(r)) => match *r {
                    AdminResponse::Consensus(ConsensusResponse::Taken { .. }) => return Ok(()),
                    AdminResponse::Consensus(ConsensusResponse::Refused { why }) => last = why,
                    other => last = format!("{other:?}"),
                },
                Ok(other) => last = format!("{other:?}"),
                Err(e) => last = e.to_string(),
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err(last)
}

impl Operators {
    /// So many operators, each with a pause between calls of so many seconds in the mean.
    pub fn start(sockets: Vec<PathBuf>, plan: &str, count: u32, pause_s: f64, seed: u64) -> Operators {
        let ops: Arc<Mutex<Vec<Operation>>> = Arc::default();
        let over: Arc<AtomicBool> = Arc::default();
        let began = Instant::now();
        let threads = (0..count).map(|i| {
            let mut o = Operator {
                name: format!("operator {i}"),
                sockets: sockets.clone(),
                chance: oorandom::Rand64::new(u128::from(seed) << 8 | u128::from(i)),
                plan: plan.to_owned(),
                base: 0,
                began,
            };
            let (ops, over) = (ops.clone(), over.clone());
            std::thread::spawn(move || {
                while !over.load(Ordering::Acquire) {
                    if let Some(op) = o.call() {
                        ops.lock().unwrap_or_else(PoisonError::into_inner).push(op);
                    }
                    let pause = pause_s * 2.0 * o.chance.rand_float();
                    std::thread::sleep(Duration::from_secs_f64(pause));
                }
            })
        });
        let threads = threads.collect();
        Operators { ops, over, threads, began }
    }

    /// A call of the day's own.
    pub fn note(&self, op: Operation) {
        self.ops.lock().unwrap_or_else(PoisonError::into_inner).push(op);
    }

    pub fn began(&self) -> Instant {
        self.began
    }

    /// All that was done.
    pub fn end(self) -> Vec<Operation> {
        self.over.store(true, Ordering::Release);
        self.threads.into_iter().for_each(|t| _ = t.join());
        std::mem::take(&mut *self.ops.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
