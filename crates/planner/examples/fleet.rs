//! Places 2,000 random loads on 60 nodes, by the linear program and by the mean rate, and prints the time taken and the number of nodes
//! where the latency objectives hold.

use std::time::Instant;
use tackmast_planner::*;

fn main() {
    let node = Node { capacity: 4000.0, unit_service_s: 0.002, in_flight_units: 24.0, round_trip_s: 0.002 };
    let mut c = oorandom::Rand64::new(1);
    let loads: Vec<Load> = (0..2000)
        .map(|i| {
            let (rate, surge) = (0.5 + 4.0 * c.rand_float(), 1.0 + 6.0 * c.rand_float());
            let (mut t, mut a) = (0.0, Vec::new());
            loop {
                let on = (t / 6.0 + c.rand_float() * 0.01 + f64::from(i) * 0.37) % 1.0 < 0.15;
                t += -(1.0 - c.rand_float()).ln() / (rate * if on { surge } else { 1.0 });
                if t >= 60.0 {
                    break;
                }
                a.push(Arrival { at_s: t, units: 1.0 + c.rand_range(0..8) as f64 });
            }
            let latency_objective_s = [0.1, 0.25, 0.8][i as usize % 3];
            let curve = Curve::from_arrivals(&a, 60.0, node.capacity / 4.0);
            Load { name: format!("volume {i}"), latency_objective_s, max_request_units: 8.0, curve }
        })
        .collect();
    let means: f64 = loads.iter().filter_map(|l| l.curve.first()).map(|p| p.rate).sum();
    println!(
        "2000 loads on 60 nodes; their mean rates are {:.2} of the capacity",
        means / 60.0 / node.capacity
    );
    let started = Instant::now();
    let p = place(&node, 60, &loads);
    println!(
        "linear program: {:.2} s, {} nodes used, {} loads left, {} programs solved, {} placed without",
        started.elapsed().as_secs_f64(),
        p.used_nodes(),
        p.unplaced.len(),
        p.programs_solved,
        p.placed_directly
    );
    for times in [1.0, 1.5, 2.0] {
        let started = Instant::now();
        let p = place_by_mean_rate(&node, 60, &loads, times);
        let holds = |placed: &&Vec<PlacedLoad>| {
            let all: Vec<&Load> = placed.iter().map(|placed| &loads[placed.load]).collect();
            fit(&node, &all).is_some()
        };
        let taken = started.elapsed().as_secs_f64();
        println!(
            "{times} of the mean: {taken:.3} s, {} nodes used, {} loads left; latency objectives hold by the bound at {} of them",
            p.used_nodes(),
            p.unplaced.len(),
            p.nodes.iter().filter(|n| !n.is_empty()).filter(holds).count()
        );
    }
}
