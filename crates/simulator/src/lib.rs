//! The simulator: the very host core that `tackmast serve` runs, with the node protocol's codec, on simulated links and
//! nodes in virtual time. One seed gives one run, to the byte. Its figures are of models, not of machines.
//!
//! `world` generates a world from a seed, `sim` plays it, and the invariants judge the trace. `scenario_script` plays a
//! scenario's script instead, and `script_export` writes a world as one. `compare` plays pairs of variants, `report` draws a
//! page. `consensus`, `views` and `fleet` simulate those parts of a host alone.

mod clients;
mod compare;
mod consensus;
mod fleet;
mod reference_model;
mod report;
mod scenario_script;
mod script_export;
mod sim;
mod views;
mod world;

pub use compare::{compare, figures, median_with_interval, Change, MetricComparison, Variant};
pub use consensus::{explore, find_fault, run_random_walk, Explored, RandomWalk, WalkResult};
pub use consensus::{simulate_fleet, ConsensusFigures, FleetTrial};
pub use fleet::{fleet, FleetFigures};
pub use reference_model::ReferenceModel;
pub use report::{curves, page, ReportError, Series};
pub use scenario_script::ScenarioScript;
pub use sim::{run, settings, Class, Mutant, Run};
pub use tackmast_consensus::ConsensusFault;
pub use tackmast_membership::{Extensions, ViewFault};
pub use views::{difference, find, summary, view, Case, Shown, Summary, Trial, UnknownCase};
pub use world::{FaultKind, InjectedFault, World};

use tackmast_invariants::{judge, Report};

/// What one seed has shown.
pub struct Found {
    pub seed: u64,
    pub report: Report,
    pub run: Run,
}

/// Plays a world, and judges its trace by the invariants.
pub fn play(world: &World, mutant: Option<Mutant>) -> Found {
    play_with(world, mutant, None)
}

/// Plays a world with a reference model in the place of the host core, where one is given.
pub fn play_with(world: &World, mutant: Option<Mutant>, reference_model: Option<ReferenceModel>) -> Found {
    let run = run(world, mutant, reference_model);
    Found { seed: world.seed, report: judge(&run.trace), run }
}

/// Plays up to `count` seeds one after the other until one is a find (`Found::is_bad`).
pub fn hunt(first: u64, count: u64, hosts: u32, mutant: Option<Mutant>) -> Option<Found> {
    (first..first + count).map(|seed| play(&World::generate(seed, hosts), mutant)).find(Found::is_bad)
}

impl Found {
    /// Whether an invariant broke, something stayed open, or a call was answered after its deadline.
    pub fn is_bad(&self) -> bool {
        !self.report.is_clean() || self.run.stuck > 0 || self.run.calls_late > 0
    }
}

/// Removes faults one by one, and then hosts, for as long as the world still shows what was found.
pub fn shrink(world: &World, mutant: Option<Mutant>) -> World {
    shrink_while(world, &|w| play(w, mutant).is_bad())
}

/// The fraction of requests in time under a reference model, less that under the host core, in this world.
pub fn worse_than(world: &World, reference_model: ReferenceModel) -> f64 {
    let in_time = |p| {
        let run = play_with(world, None, p).run;
        run.in_time as f64 / run.asked.max(1) as f64
    };
    in_time(Some(reference_model)) - in_time(None)
}

/// The same world without operators' overrides. Reference models ignore overrides, so that the two would not be comparable.
pub fn without_orders(world: &World) -> World {
    let mut changed = world.clone();
    changed.faults.retain(|t| !matches!(t.kind, FaultKind::Order(..)));
    changed
}

/// Shrinks a world for as long as the difference to a reference model stays at least `least`.
pub fn shrink_worse(world: &World, reference_model: ReferenceModel, least: f64) -> World {
    shrink_while(world, &|w| worse_than(w, reference_model) >= least)
}

fn shrink_while(world: &World, is_find: &dyn Fn(&World) -> bool) -> World {
    let mut best = world.clone();
    let mut fault_index = 0;
    while fault_index < best.faults.len() {
        let mut less = best.clone();
        less.faults.remove(fault_index);
        if is_find(&less) {
            best = less;
        } else {
            fault_index += 1;
        }
    }
    // The number of hosts of a script is fixed.
    while best.hosts > 1 && best.scenario.is_none() {
        let mut less = best.clone();
        less.hosts -= (less.hosts / 2).max(1);
        less.faults.retain(|t| t.host.is_none_or(|h| h < less.hosts));
        if !is_find(&less) {
            break;
        }
        best = less;
    }
    best
}
