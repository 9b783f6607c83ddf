//! The workload in the simulator.

use super::{new_histogram, with_latencies, FlowFigures};
use tackmast_simulator::World;
use tackmast_workload::{Flow, Workload};

pub(super) fn play(world: &World, workload: &Workload) -> Vec<FlowFigures> {
    let played = tackmast_simulator::play(world, None);
    let figures_of = |flow: &Flow| {
        // A flow is known by its plan here: each volume of a workload that is compared has one flow.
        let plan = if flow.volume == "school" { "basic" } else { "premium" };
        let mut figures = FlowFigures::default();
        let mut latencies = new_histogram();
        for (_, class) in played.run.classes.iter().filter(|(name, _)| name.starts_with(plan)) {
            figures.request_count += class.asked;
            figures.done += class.done;
            figures.in_time += class.in_time;
            figures.rejected += class.rejected;
            figures.failed += class.failed;
            _ = latencies.add(&class.times);
        }
        with_latencies(figures, &latencies)
    };
    workload.flows.iter().map(figures_of).collect()
}
