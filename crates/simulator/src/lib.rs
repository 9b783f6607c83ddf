//! The simulator: the host core that `tackmast serve` runs, with the node protocol's codec, on simulated links and nodes in
//! virtual time. One seed gives one run, to the byte. Its figures are of models, not of machines.
//!
//! `world` generates a world from a seed, `sim` plays it, and the invariants judge the trace. `scenario_script` plays a
//! scenario's script instead, and `script_export` writes a world as one. `hunt` looks for worlds that break an invariant and
//! shrinks them, `compare` plays pairs of variants, and `report` draws a page. `consensus`, `views` and `fleet` simulate
//! those parts of a host alone.

#![warn(missing_docs, unreachable_pub)]

mod clients;
mod compare;
mod consensus;
mod fleet;
mod hunt;
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
pub use hunt::{hunt, shrink, shrink_worse, without_orders, worse_than};
pub use reference_model::ReferenceModel;
pub use report::{curves, page, LatencyCurve, ReportError, Series};
pub use scenario_script::{ScenarioScript, ScriptRequest, UnsupportedScript};
pub use sim::{run, settings, Class, Mutant, Run};
pub use tackmast_consensus::ConsensusFault;
pub use tackmast_membership::{Extensions, ViewFault};
pub use views::{difference, find, summary, view, Case, Shown, Summary, Trial, UnknownCase};
pub use world::{FaultKind, InjectedFault, World};

use tackmast_invariants::{judge, Report};

/// What the play of one world has shown.
pub struct Found {
    /// The seed of the world.
    pub seed: u64,
    /// What the invariants say of the trace.
    pub report: Report,
    /// The trace and its totals.
    pub run: Run,
}

impl Found {
    /// Whether an invariant broke, something stayed open, or a call was answered after its deadline.
    pub fn is_bad(&self) -> bool {
        !self.report.is_clean() || self.run.stuck > 0 || self.run.calls_late > 0
    }
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
