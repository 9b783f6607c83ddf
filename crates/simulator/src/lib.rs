//! The laboratory: the very host core that `tackmast serve` runs, with the node protocol's codec, on simulated links and
//! nodes, in virtual time. One seed gives one run, to the byte. Figures are of models.

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
pub use report::{curves, page, Series};
pub use scenario_script::ScenarioScript;
pub use sim::{run, settings, Class, Mutant, Run};
pub use tackmast_consensus::ConsensusFault;
pub use tackmast_membership::{Extensions, ViewFault};
pub use views::{difference, find, summary, view, Case, Shown, Summary, Trial};
pub use world::{FaultKind, InjectedFault, World};

use tackmast_invariants::{judge, Report};

/// What one seed has shown.
pub struct Found {
    pub seed: u64,
    pub report: Report,
    pub run: Run,
}

pub fn play(world: &World, mutant: Option<Mutant>) -> Found {
    play_with(world, mutant, None)
}

/// With a plain host in the core's place, where one is given.
pub fn play_with(world: &World, mutant: Option<Mutant>, reference_model: Option<ReferenceModel>) -> Found {
    let run = run(world, mutant, reference_model);
    Found { seed: world.seed, report: judge(&run.trace), run }
}

/// Plays seeds one after the other until one breaks a rule, leaves a request stuck, or the count is reached.
pub fn hunt(first: u64, count: u64, hosts: u32, mutant: Option<Mutant>) -> Option<Found> {
    (first..first + count).map(|seed| play(&World::generate(seed, hosts), mutant)).find(Found::is_bad)
}

impl Found {
    pub fn is_bad(&self) -> bool {
        !self.report.is_clean() || self.run.stuck > 0 || self.run.calls_late > 0
    }
}

/// Takes troubles away one by one, and hosts, for as long as the find stays one.
pub fn shrink(world: &World, mutant: Option<Mutant>) -> World {
    shrink_while(world, &|w| play(w, mutant).is_bad())
}

/// How much more of what is asked a plain host answers in time than the core does, in this world.
pub fn worse_than(world: &World, reference_model: ReferenceModel) -> f64 {
    let in_time = |p| {
        let run = play_with(world, None, p).run;
        run.in_time as f64 / run.asked.max(1) as f64
    };
    in_time(Some(reference_model)) - in_time(None)
}

/// The same world without orders of operators, which plain hosts do not obey: what they forbid is no lack of service.
pub fn without_orders(world: &World) -> World {
    let mut changed = world.clone();
    changed.faults.retain(|t| !matches!(t.kind, FaultKind::Order(..)));
    changed
}

/// The same, for as long as so much of the difference stays.
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
    // A script's hosts are as it says.
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
