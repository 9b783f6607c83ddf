//! Operators that read and change plans at random hosts while a scenario runs. Each call is recorded with its times and its result,
//! for the check that all calls are linearizable.

mod requests;

pub(crate) use requests::{change_plan, change_voter};

use crate::lock::lock;
use requests::{call_plans, refusal_of, Refusal};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tackmast_host_core::{PlanRequest, PlanResponse};
use tackmast_invariants::linearizability::{Operation, Outcome};
use tackmast_plans::{Change, Step};

/// One in so many changes is based on the version that the operator has seen before, which may be outdated.
const OUTDATED_BASE_INTERVAL: u64 = 4;
/// Weights are rounded to this part of 1.
const WEIGHT_RESOLUTION: f64 = 1e6;

/// Threads that act as operators.
pub(crate) struct Operators {
    operations: Arc<Mutex<Vec<Operation>>>,
    is_over: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
    started: Instant,
}

struct Operator {
    name: String,
    sockets: Vec<PathBuf>,
    random: oorandom::Rand64,
    plan: String,
    /// The version that the operator has seen last.
    seen_version: u64,
    started: Instant,
}

impl Operator {
    /// One call. `None`: it had no result that promises anything.
    fn call(&mut self) -> Option<Operation> {
        let host = self.random.rand_range(0..self.sockets.len() as u64) as usize;
        let socket = self.sockets.get(host)?.clone();
        let is_change = self.random.rand_range(0..2) == 0;
        let called_at = self.started.elapsed().as_secs_f64();
        let outcome = if is_change { self.change(&socket)? } else { self.read(&socket)? };
        let returned_at = self.started.elapsed().as_secs_f64();
        Some(Operation { called_at, returned_at, caller: format!("{} at host {host}", self.name), outcome })
    }

    fn read(&mut self, socket: &Path) -> Option<Outcome> {
        match call_plans(socket, PlanRequest::Show)? {
            // A host that marks its answer as stale promises nothing.
            PlanResponse::Shown(shown) if !shown.stale => {
                self.seen_version = shown.catalogue.version;
                Some(Outcome::Read { version: shown.catalogue.version, digest: shown.digest })
            }
            _ => None,
        }
    }

    /// Changes the weight of the plan. No invariant depends on it, so the rest of the scenario is undisturbed.
    fn change(&mut self, socket: &Path) -> Option<Outcome> {
        let PlanResponse::Shown(shown) = call_plans(socket, PlanRequest::Show)? else { return None };
        let mut plan = shown.catalogue.plans.get(&self.plan)?.clone();
        plan.weight = 1.0 + (self.random.rand_float() * WEIGHT_RESOLUTION).round() / WEIGHT_RESOLUTION;
        let version = shown.catalogue.version;
        let is_outdated = self.random.rand_range(0..OUTDATED_BASE_INTERVAL) == 0;
        let base = if is_outdated { self.seen_version } else { version };
        self.seen_version = version;
        let steps = vec![Step::Plan { name: self.plan.clone(), to: Some(plan) }];
        let change = Change { base, steps, who: self.name.clone(), why: "an operator of the day".into() };
        match call_plans(socket, PlanRequest::Apply { change, dry_run: false }) {
            Some(PlanResponse::Applied { version, .. }) => Some(Outcome::Applied { base, version }),
            Some(PlanResponse::Refused { why }) => match refusal_of(&why) {
                Refusal::Conflict => Some(Outcome::Conflict { base }),
                Refusal::NotProposed => None,
                Refusal::Other => Some(Outcome::Unknown { base }),
            },
            _ => Some(Outcome::Unknown { base }),
        }
    }

    fn run(mut self, pause_s: f64, operations: &Mutex<Vec<Operation>>, is_over: &AtomicBool) {
        while !is_over.load(Ordering::Acquire) {
            if let Some(operation) = self.call() {
                lock(operations).push(operation);
            }
            let pause_s = pause_s * 2.0 * self.random.rand_float();
            std::thread::sleep(Duration::from_secs_f64(pause_s));
        }
    }
}

impl Operators {
    /// Starts so many operators, each with a mean pause of `pause_s` seconds between its calls.
    pub(crate) fn start(sockets: Vec<PathBuf>, plan: &str, count: u32, pause_s: f64, seed: u64) -> Operators {
        let operations: Arc<Mutex<Vec<Operation>>> = Arc::default();
        let is_over: Arc<AtomicBool> = Arc::default();
        let started = Instant::now();
        let start_operator = |index: u32| {
            let operator = Operator {
                name: format!("operator {index}"),
                sockets: sockets.clone(),
                random: oorandom::Rand64::new(u128::from(seed) << 8 | u128::from(index)),
                plan: plan.to_owned(),
                seen_version: 0,
                started,
            };
            let (operations, is_over) = (operations.clone(), is_over.clone());
            std::thread::spawn(move || operator.run(pause_s, &operations, &is_over))
        };
        let threads = (0..count).map(start_operator).collect();
        Operators { operations, is_over, threads, started }
    }

    /// Records a call of the scenario itself.
    pub(crate) fn record(&self, operation: Operation) {
        lock(&self.operations).push(operation);
    }

    /// The time from which calls are counted.
    pub(crate) fn started(&self) -> Instant {
        self.started
    }

    /// Ends the operators; returns all calls.
    pub(crate) fn end(self) -> Vec<Operation> {
        self.is_over.store(true, Ordering::Release);
        self.threads.into_iter().for_each(|thread| _ = thread.join());
        std::mem::take(&mut *lock(&self.operations))
    }
}
