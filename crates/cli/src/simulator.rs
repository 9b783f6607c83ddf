//! `tackmast simulator`: the host core by the hundred, in virtual time.
//!
//! | modules | contents |
//! | --- | --- |
//! | `play`, `run_text` | one world, and its figures as text |
//! | `variant_comparison`, `reference_model` | the same worlds under two variants |
//! | `hunt` | searches for a run that fails, or for worlds that are served badly |
//! | `loopback_comparison` | a workload in virtual time and on loopback |
//! | `gossip_fleet`, `membership_views` | membership without requests |
//! | `consensus_walks` | random walks over the states of consensus, and fleets of replicas |
//! | `script_export` | a world as a scenario script |

mod consensus_walks;
mod error;
mod gossip_fleet;
mod hunt;
mod loopback_comparison;
mod membership_views;
mod play;
mod reference_model;
mod run_text;
mod script_export;
mod variant_comparison;

pub(crate) use consensus_walks::ConsensusArguments;
pub(crate) use error::SimulatorError;
pub(crate) use gossip_fleet::FleetArguments;
pub(crate) use hunt::HuntArguments;
pub(crate) use loopback_comparison::LoopbackArguments;
pub(crate) use membership_views::ViewArguments;
pub(crate) use play::PlayArguments;
pub(crate) use script_export::ScriptArguments;
pub(crate) use variant_comparison::CompareArguments;

use crate::planner::{self, BoundArguments};
use std::ops::RangeInclusive;
use std::process::ExitCode;

/// Numbers of hosts and of nodes of a world whose latencies are compared with the planner's bound.
const BOUND_SIZES: RangeInclusive<u32> = 1..=300;

/// Arguments of `tackmast simulator`.
#[derive(clap::Subcommand)]
pub(crate) enum SimulatorCommand {
    /// Plays the world of one seed and checks the invariants. The same seed gives the same run, to the byte.
    Play(PlayArguments),
    /// Prints the planner's latency bound beside the latencies that the simulator measures, for each workload.
    Bound(BoundArguments),
    /// Plays a workload in virtual time, and through real hosts and emulated nodes on loopback, side by side.
    Truth(LoopbackArguments),
    /// Plays the same seeds under two variants and prints the medians and their differences.
    ///
    /// Each difference has the interval that holds the median with 95% by the sign test. A variant is an HCL file: `plain`
    /// (fcfs, caps or buckets, a reference model in place of the host core) and a block `change` of values in place of those
    /// generated.
    Compare(CompareArguments),
    /// Plays one seed after the other on several threads, until a run fails or the time is up.
    ///
    /// A run fails if an invariant is violated, something is left in a table, or a call is answered late. Prints what has
    /// failed, the command that replays the world, and the world reduced to what the failure needs.
    Hunt(HuntArguments),
    /// Plays fleets of hosts with membership but without requests.
    ///
    /// Prints the times until hosts know and miss each other, bytes, false suspicions, and how views and overrides converge
    /// after a partition.
    Fleet(FleetArguments),
    /// Plays the membership views of fleets under faults.
    ///
    /// Prints the time to settle after the last fault, false deaths and bytes, compared in pairs with the former view or with
    /// one without an extension; or searches for deliberate faults of the view.
    View(ViewArguments),
    /// Walks at random over the states of consensus (voters, disks, clocks and links) and checks its invariants after each step.
    #[command(name = "agree")]
    Consensus(ConsensusArguments),
    /// Prints the world of one seed as a scenario script, for `tackmast scenario` and for `tackmast simulator play --day`.
    Script(ScriptArguments),
}

/// Runs the command.
pub(crate) fn run(command: SimulatorCommand) -> Result<ExitCode, SimulatorError> {
    match command {
        SimulatorCommand::Play(arguments) => play::run(&arguments),
        SimulatorCommand::Bound(arguments) => compare_bound(&arguments),
        SimulatorCommand::Truth(arguments) => loopback_comparison::run(&arguments),
        SimulatorCommand::Compare(arguments) => variant_comparison::run(&arguments),
        SimulatorCommand::Hunt(arguments) => hunt::run(&arguments),
        SimulatorCommand::Fleet(arguments) => gossip_fleet::run(&arguments),
        SimulatorCommand::View(arguments) => membership_views::run(&arguments),
        SimulatorCommand::Consensus(arguments) => consensus_walks::run(&arguments),
        SimulatorCommand::Script(arguments) => script_export::run(&arguments),
    }
}

fn compare_bound(arguments: &BoundArguments) -> Result<ExitCode, SimulatorError> {
    let BoundArguments { hosts, nodes, .. } = arguments;
    SimulatorError::require_bounds(
        BOUND_SIZES.contains(hosts) && BOUND_SIZES.contains(nodes),
        || format!("--hosts {hosts} --nodes {nodes}"),
        "1 to 300",
    )?;
    Ok(planner::compare_bound(arguments)?)
}
