//! The loop that begins, continues and ends the faults of a script.

use super::{Runner, CHECK_INTERVAL};
use crate::script::{Action, ScheduledFault, Script};
use crate::ScenarioError;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use tackmast_trace::Event;

/// Shortest length of a fault by which its progress is divided, in seconds.
const MIN_FAULT_LENGTH_S: f64 = 1e-3;

/// What has become of the faults so far, by their index.
#[derive(Default)]
struct Progress {
    begun: BTreeSet<usize>,
    ended: BTreeSet<usize>,
    /// Steps that a lasting fault has taken.
    steps: BTreeMap<usize, u32>,
}

/// When the last fault of processes and of the network is undone, in seconds. The scenario lasts at least so long, however many
/// hosts a fault affects one after the other.
fn last_undo_s(script: &Script) -> f64 {
    let is_always_reverted = |fault: &&ScheduledFault| {
        matches!(fault.action, Action::Hosts { .. } | Action::Network { .. } | Action::Partition(_))
    };
    script.faults.iter().filter(is_always_reverted).map(ScheduledFault::ends_s).fold(0.0, f64::max)
}

impl Runner<'_> {
    /// Runs traffic and faults for the scenario's length.
    pub(super) fn run_schedule(&mut self) -> Result<(), ScenarioError> {
        let length = Duration::from_secs_f64(self.script.scenario.seconds);
        let mut arrivals = Vec::new();
        for traffic in &self.traffic {
            arrivals.push(traffic.begin_arrivals(length)?);
        }
        let start = Instant::now();
        let mut progress = Progress::default();
        let last_undo = Duration::from_secs_f64(last_undo_s(self.script)) + CHECK_INTERVAL;
        let end = length.max(last_undo);
        while start.elapsed() < end {
            let elapsed_s = start.elapsed().as_secs_f64();
            let script = self.script;
            for (index, fault) in script.faults.iter().enumerate() {
                self.advance_fault(index, fault, elapsed_s, &mut progress);
            }
            self.announce_restarted_nodes();
            self.record_ended_overrides();
            self.check_ended_overrides();
            self.check_shutdowns();
            std::thread::sleep(CHECK_INTERVAL);
        }
        self.traffic.iter().for_each(|traffic| traffic.stop());
        arrivals.into_iter().for_each(|thread| _ = thread.join());
        self.check_last_overrides();
        Ok(())
    }

    /// Begins, continues or ends a fault.
    fn advance_fault(
        &mut self,
        index: usize,
        fault: &ScheduledFault,
        elapsed_s: f64,
        progress: &mut Progress,
    ) {
        if elapsed_s >= fault.at_s && progress.begun.insert(index) {
            self.recorder.note(Event::Fault { what: fault.name.clone(), on: true });
            self.begin_fault(index, fault);
        }
        if !progress.begun.contains(&index) || progress.ended.contains(&index) {
            return;
        }
        let fault_elapsed_s = elapsed_s - fault.at_s;
        let share = (fault_elapsed_s / fault.for_s.max(MIN_FAULT_LENGTH_S)).min(1.0);
        let step = progress.steps.entry(index).or_default();
        self.continue_fault(&fault.action, share, fault_elapsed_s, step);
        if elapsed_s < fault.ends_s() {
            return;
        }
        progress.ended.insert(index);
        self.recorder.note(Event::Fault { what: fault.name.clone(), on: false });
        self.end_fault(index, fault);
    }
}
