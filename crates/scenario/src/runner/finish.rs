//! Ends everything that runs, and makes the report.

#[cfg(test)]
mod tests;

use super::{Runner, ScenarioRun, CHECK_INTERVAL};
use crate::consensus_watcher::{ConsensusObservations, ConsensusWatcher};
use crate::host_process::HostProcess;
use crate::linux_process::ProcessResources;
use crate::operators::Operators;
use crate::report::{Report, Served};
use crate::traffic::Tally;
use crate::view_watcher::ViewObservations;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tackmast_invariants::linearizability;
use tackmast_trace::Line;

/// Protocol periods after the last fault for which a scenario waits until the view has settled.
const MAX_SETTLING_PERIODS: f64 = 60.0;
/// How long answers may take beyond the longest deadline and the tolerance, in seconds.
const ANSWER_GRACE_S: f64 = 0.2;
/// Time between the last answer that is due and the end of the record.
const RECORD_GRACE: Duration = Duration::from_millis(20);
/// Violations of the dissemination bound that are reported.
const MAX_DISSEMINATION_FAILURES: usize = 10;

/// Tallies by index of the plan and of the traffic class.
type TalliesByClass = BTreeMap<(usize, usize), Tally>;

/// A failure for each rule that the script says this scenario exercises, and that the trace does not show to be exercised.
fn exercise_failures(numbers: &[u8], report: &tackmast_invariants::Report) -> Vec<String> {
    numbers.iter().filter_map(|number| exercise_failure(*number, report)).collect()
}

fn exercise_failure(number: u8, report: &tackmast_invariants::Report) -> Option<String> {
    let rule = report.rules.iter().find(|rule| rule.rule == number);
    match rule.map(|rule| rule.checked) {
        None => {
            Some(format!("rule {number} was not judged; the script says that this scenario exercises it"))
        }
        Some(0) => Some(format!("rule {number} was not exercised; the script says that this scenario does")),
        Some(_) => None,
    }
}

impl Runner<'_> {
    pub(super) fn finish(mut self, seed: u64) -> ScenarioRun {
        self.wait_for_view();
        self.wait_for_answers();
        let host_resources: Vec<ProcessResources> =
            self.hosts.iter().flatten().map(HostProcess::resources).collect();
        std::thread::sleep(RECORD_GRACE);
        self.record_end();
        let trace = self.recorder.take();
        self.traffic.iter().for_each(|traffic| traffic.close());
        self.join_misuses();
        let view = self.end_view_watcher(&host_resources);
        let consensus = self.end_operators_and_consensus_watcher();
        self.stop_processes();
        let rules = tackmast_invariants::judge(&trace);
        self.check_dissemination(&trace);
        self.failures.extend(exercise_failures(&self.script.scenario.exercises, &rules));
        self.failures.extend(consensus.iter().flat_map(|consensus| consensus.violations.clone()));
        let (tallies, blocks_checked) = self.collect_tallies();
        self.check_min_done(&tallies);
        if let Some(view) = &view {
            self.check_view(view);
        }
        let served = self.served(&tallies);
        let failures = std::mem::take(&mut self.failures);
        let report = Report { seed, served, blocks_checked, failures, rules, view, consensus };
        ScenarioRun { report, trace, host_resources }
    }

    fn wait_for_view(&self) {
        let scenario = &self.script.scenario;
        let Some(watcher) = self.view_watcher.as_ref().filter(|_| scenario.settled_within > 0.0) else {
            return;
        };
        let timeout = Duration::from_secs_f64(scenario.period_ms / 1e3 * MAX_SETTLING_PERIODS);
        while !watcher.is_settled() && watcher.since_last_fault() < timeout {
            std::thread::sleep(CHECK_INTERVAL);
        }
    }

    fn wait_for_answers(&mut self) {
        let classes = &self.script.settings.traffic_classes;
        let max_deadline_s = classes.iter().map(|class| class.deadline.secs()).fold(0.0, f64::max);
        let slack_s = self.script.scenario.answer_slack_ms / 1e3;
        let end = Instant::now() + Duration::from_secs_f64(max_deadline_s + slack_s + ANSWER_GRACE_S);
        while Instant::now() < end && self.traffic.iter().any(|traffic| traffic.in_flight() > 0) {
            self.announce_restarted_nodes();
            std::thread::sleep(CHECK_INTERVAL);
        }
    }

    fn join_misuses(&mut self) {
        let results = self.misuses.drain(..).map(|thread| thread.join());
        self.failures.extend(results.filter_map(|result| result.ok().flatten()));
    }

    fn end_view_watcher(&mut self, resources: &[ProcessResources]) -> Option<ViewObservations> {
        let watcher = self.view_watcher.take()?;
        let cpu_s = resources.iter().map(|resources| resources.cpu_s).sum();
        Some(watcher.end(self.script.scenario.hosts, self.started.elapsed().as_secs_f64(), cpu_s))
    }

    fn end_operators_and_consensus_watcher(&mut self) -> Option<ConsensusObservations> {
        let operations = self.operators.take().map(Operators::end);
        let observations = self.consensus_watcher.take().map(ConsensusWatcher::end);
        let operator_call_count = operations.as_ref().map_or(0, Vec::len);
        if let Some(Err(error)) = operations.map(|operations| linearizability::check(&operations)) {
            self.fail(format!("what operators saw can't have happened in any order: {error}"));
        }
        observations.map(|observations| ConsensusObservations { operator_call_count, ..observations })
    }

    fn stop_processes(&mut self) {
        self.network.stop();
        let hosts: Vec<HostProcess> = self.hosts.iter_mut().filter_map(Option::take).collect();
        std::thread::scope(|scope| hosts.into_iter().for_each(|host| _ = scope.spawn(|| host.end())));
        self.duplicates.clear();
        for (name, emulated) in &self.nodes.by_name {
            if emulated.node.has_collapsed() {
                self.failures.push(format!("node {name} collapsed while it warmed up"));
            }
            emulated.node.stop();
        }
        self.list.stop();
    }

    /// Checks how soon all hosts knew of nodes that drained or were gone.
    fn check_dissemination(&mut self, trace: &[Line]) {
        let within_s = self.script.scenario.list_dissemination_s;
        if within_s <= 0.0 {
            return;
        }
        let dissemination = tackmast_invariants::dissemination::check(trace, (within_s * 1e6) as u64);
        self.failures.extend(dissemination.violations.into_iter().take(MAX_DISSEMINATION_FAILURES));
        if dissemination.stop_count == 0 {
            self.fail("no node was taken away while some host did not hear the list");
        }
    }

    /// The tallies of all traffic, and how many blocks were compared.
    fn collect_tallies(&mut self) -> (TalliesByClass, u64) {
        let mut tallies = TalliesByClass::new();
        let mut blocks_checked = 0;
        for traffic in &self.traffic {
            let result = traffic.result();
            blocks_checked += result.blocks_checked;
            self.failures.extend(result.errors);
            let used = result.tallies.iter().enumerate().filter(|(_, tally)| tally.requests > 0);
            for (class, tally) in used {
                tallies.entry((traffic.plan(), class)).or_insert_with(Tally::new).add(tally);
            }
        }
        (tallies, blocks_checked)
    }

    fn check_min_done(&mut self, tallies: &TalliesByClass) {
        let requests: u64 = tallies.values().map(|tally| tally.requests).sum();
        let done: u64 = tallies.values().map(|tally| tally.done).sum();
        let share = done as f64 / requests.max(1) as f64;
        let min_done = self.script.scenario.min_done;
        if share < min_done {
            self.fail(format!("{share:.3} of first tries done; the script expects {min_done}"));
        }
    }

    fn check_view(&mut self, view: &ViewObservations) {
        let scenario = &self.script.scenario;
        if scenario.settled_within <= 0.0 {
            return;
        }
        let periods = view.last_convergence_periods();
        // Without a fault there is nothing after which the view could settle.
        let had_fault = !view.convergences.is_empty();
        if had_fault && periods.is_none_or(|periods| periods > scenario.settled_within) {
            let found = periods.map_or("not at all".into(), |periods| format!("after {periods:.1} periods"));
            let expected = scenario.settled_within;
            self.fail(format!("the view settled {found}; the script expects {expected} from the last fault"));
        }
        if view.false_deaths > scenario.false_deaths {
            let (found, allowed) = (view.false_deaths, scenario.false_deaths);
            self.fail(format!("{found} false deaths; the script takes {allowed}"));
        }
    }

    fn served(&self, tallies: &TalliesByClass) -> Vec<Served> {
        let settings = &self.script.settings;
        let served = tallies.iter().map(|((plan, class), tally)| {
            Served::new(&settings.plans[*plan].name, &settings.traffic_classes[*class].name, tally)
        });
        served.collect()
    }
}
