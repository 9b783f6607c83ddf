//! The simulator beside loopback: the same workload from the same file, once in virtual time and once through real hosts, sockets and
//! emulated nodes of the same behaviour.

mod loopback;
mod virtual_time;

use crate::measurement::latency_histogram;
use crate::BenchmarkError;
use hdrhistogram::Histogram;
use std::sync::Arc;
use tackmast_simulator::World;
use tackmast_workload::Workload;

/// Significant digits of latencies.
const LATENCY_DIGITS: u8 = 2;
/// Seconds after the last request until the simulation ends.
const TAIL_S: f64 = 0.5;

/// What clients saw of one flow. Latencies count from when a request was due.
#[derive(Clone, Debug, Default)]
pub struct FlowFigures {
    /// Requests.
    pub request_count: u64,
    /// Requests that were done.
    pub done: u64,
    /// Requests that did not run.
    pub rejected: u64,
    /// Requests of unknown effect.
    pub failed: u64,
    /// Requests that were done within their latency objective.
    pub in_time: u64,
    /// Median of the latency in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
}

/// One flow in both.
pub struct FlowComparison {
    /// Name of the flow.
    pub flow: String,
    /// In virtual time.
    pub simulator: FlowFigures,
    /// On loopback.
    pub loopback: FlowFigures,
}

/// Plays a workload both ways. `unit_ms` is the work of a unit in milliseconds of one core.
pub fn compare_with_loopback(
    workload: &Workload,
    host_count: u32,
    node_count: u32,
    unit_ms: f64,
) -> Result<Vec<FlowComparison>, BenchmarkError> {
    let world = world(workload, host_count, node_count, unit_ms);
    let simulated = virtual_time::play(&world, workload);
    let real = loopback::play(&world, workload)?;
    let flows = workload.flows.iter().zip(simulated).zip(real);
    let compare = |((flow, simulator), loopback): ((&tackmast_workload::Flow, _), _)| FlowComparison {
        flow: flow.name.clone(),
        simulator,
        loopback,
    };
    Ok(flows.map(compare).collect())
}

/// The world that both play: no faults, and links as short as those of loopback.
fn world(workload: &Workload, host_count: u32, node_count: u32, unit_ms: f64) -> World {
    let mut world = World::draw(1, host_count);
    (world.nodes, world.cores) = (node_count, 2);
    (world.seconds, world.unit_s) = (workload.seconds + TAIL_S, unit_ms / 1e3);
    (world.delay_us, world.jitter_us, world.list_late_us) = (50, 20, 10_000);
    (world.clients, world.wall_off_s, world.drift) = ([0, 2], 0.0, 0.0);
    world.troubles.clear();
    world.load = Some(Arc::new(workload.clone()));
    world
}

/// Figures with the latencies of a histogram.
fn with_latencies(figures: FlowFigures, latencies: &Histogram<u64>) -> FlowFigures {
    let quantile_ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1e3;
    FlowFigures { p50_ms: quantile_ms(0.5), p99_ms: quantile_ms(0.99), ..figures }
}

fn new_histogram() -> Histogram<u64> {
    latency_histogram(LATENCY_DIGITS)
}
