//! The faults of a bench day as blocks of a script.

use super::bench_day::{BenchDay, BenchFault};
use super::seconds;

/// How long a node drains in a deployment, in microseconds.
const DRAIN_LENGTH_US: f64 = 2e6;

/// One block `trouble`. Times are in microseconds.
struct FaultBlock {
    name: &'static str,
    at_us: f64,
    length_us: f64,
    attributes: String,
}

/// The blocks of all faults; a comment for each that is not carried over.
pub(super) fn fault_blocks(day: &BenchDay) -> String {
    let mut text = String::new();
    let mut number = 0;
    for fault in &day.faults {
        let Some(blocks) = blocks_of(day, fault) else {
            text += &format!("# {} of size {} is not carried over\n\n", fault.kind, fault.size);
            continue;
        };
        for block in blocks {
            number += 1;
            text += &format!(
                "trouble \"{number} {}\" {{\n  at_s = {:.2}\n  for_s = {:.2}\n  {}\n}}\n\n",
                block.name,
                seconds(block.at_us),
                seconds(block.length_us),
                block.attributes
            );
        }
    }
    text
}

/// Names of the nodes blocks of these servers.
fn node_names(day: &BenchDay, servers: &[usize]) -> Vec<String> {
    let servers = servers.iter().filter_map(|index| day.servers.get(*index));
    servers.map(|server| format!("n{}", server.cell)).collect()
}

/// Names of the traffic blocks of a plan's volumes.
fn traffic_of_plan(day: &BenchDay, plan: usize) -> Vec<String> {
    let volumes = day.family.volumes.iter().enumerate().filter(|(_, volume)| volume.plan == plan);
    volumes.map(|(index, _)| format!("v{index}")).collect()
}

/// The blocks for one fault of the bench. `None`: it is not carried over.
fn blocks_of(day: &BenchDay, fault: &BenchFault) -> Option<Vec<FaultBlock>> {
    let (at_us, length_us, size) = (fault.at, fault.length, fault.size);
    let node_fault =
        |text: &str| format!("nodes = {:?}\n  fault = \"{text}\"", node_names(day, &fault.servers));
    let block = |name, attributes| FaultBlock { name, at_us, length_us, attributes };
    Some(match fault.kind.as_str() {
        "slow" => vec![block("slow", node_fault(&format!("slow {size:.2}")))],
        "fast_errors" => vec![block("errors", node_fault(&format!("errors {size:.2}")))],
        "neighbour" => vec![block("neighbour", node_fault(&format!("neighbour {size:.2}")))],
        "ageing" => vec![block("ageing", node_fault(&format!("ageing {size:.1} {:.1}", fault.extra)))],
        "vanish" => {
            let restart = block("back cold", node_fault("restart 0.1"));
            let restart = FaultBlock { at_us: at_us + length_us, length_us: 0.0, ..restart };
            vec![block("silence", node_fault("silent on")), restart]
        }
        "tenant_burst" => {
            let traffic = traffic_of_plan(day, fault.plan);
            vec![block("surge", format!("traffic = {traffic:?}\n  times = {size:.2}"))]
        }
        "burst" => vec![block("surge", format!("traffic = []\n  times = {size:.2}"))],
        "reconnect" => vec![block("leads move", "moves = true".into())],
        "discovery_stale" => vec![block("list late", format!("list = \"late {size:.1}\""))],
        "deploy" => {
            let deployments = fault.steps.iter().map(|step| FaultBlock {
                name: "deploy",
                at_us: step.at,
                length_us: DRAIN_LENGTH_US,
                attributes: format!("nodes = {:?}\n  fault = \"deploy\"", node_names(day, &step.servers)),
            });
            deployments.collect()
        }
        _ => return None,
    })
}
