//! Tests curves against a search of all windows, latency bounds against a simulated queue, and placements.

use tackmast_planner::*;

const NODE: Node = Node { capacity: 200.0, unit_service_s: 0.005, in_flight_units: 0.0, round_trip_s: 0.0 };

/// Returns arrivals with periodic surges.
fn arrivals(seed: u64, rate: f64, surge: f64, seconds: f64) -> Vec<Arrival> {
    let mut c = oorandom::Rand64::new(u128::from(seed));
    let (mut t, mut all) = (0.0, Vec::new());
    loop {
        let times = if (t / 2.0 + seed as f64) % 5.0 < 0.5 { surge } else { 1.0 };
        t += -(1.0 - c.rand_float()).ln() / (rate * times);
        if t >= seconds {
            return all;
        }
        all.push(Arrival { at_s: t, units: 1.0 + c.rand_range(0..4) as f64 });
    }
}

fn load(seed: u64, rate: f64, surge: f64, latency_objective_s: f64) -> (Load, Vec<Arrival>) {
    let a = arrivals(seed, rate, surge, 60.0);
    let curve = Curve::from_arrivals(&a, 60.0, NODE.capacity);
    (Load { name: format!("load {seed}"), latency_objective_s, max_request_units: 4.0, curve }, a)
}

/// If a curve understated a burst, the planner would accept a plan that the load exceeds.
#[test]
fn a_curve_is_the_smallest_burst_of_all_windows_and_convex() {
    let (l, a) = load(3, 10.0, 6.0, 1.0);
    for p in &l.curve.points {
        let mut most = 0.0f64;
        for i in 0..a.len() {
            let mut sum = 0.0;
            for Arrival { at_s, units } in &a[i..] {
                sum += units;
                most = most.max(sum - p.rate * (at_s - a[i].at_s));
            }
        }
        assert!((most - p.burst).abs() < 1e-6, "{p:?}: {most} by all windows");
    }
    for Line { slope, intercept } in l.curve.lines() {
        let under = l.curve.points.iter().all(|p| p.burst >= slope * p.rate + intercept - 1e-6);
        assert!(under && slope <= 0.0, "slope {slope}");
    }
    let (first, last) = (l.curve.first().unwrap(), l.curve.last().unwrap());
    assert_eq!(l.curve.burst(first.rate * 0.9), None);
    assert_eq!(l.curve.burst(last.rate * 9.0), Some(last.burst));
}

/// The planner finds that loads fit on a node. In a simulation of the node, no request may take longer than its latency objective.
#[test]
fn loads_that_fit_meet_their_latency_objectives_in_a_simulated_queue() {
    // The paper's server: a queue with priorities by latency objective that serves one request at a time. Each set gives the number of
    // loads, their rate and their surge factor.
    let mut held = 0;
    let sets = [
        (3, 4.0, 2.0),
        (6, 2.0, 2.0),
        (10, 1.0, 2.0),
        (8, 1.0, 3.0),
        (4, 3.0, 1.0),
        (2, 8.0, 2.0),
        (12, 5.0, 8.0),
    ];
    for (n, rate, surge) in sets {
        let both: Vec<_> = (0..n).map(|i| load(i, rate, surge, [0.4, 1.0, 2.5][i as usize % 3])).collect();
        let loads: Vec<&Load> = both.iter().map(|b| &b.0).collect();
        let Some(points) = fit(&NODE, &loads) else { continue };
        held += 1;
        for (b, l) in latency_bounds(&NODE, &loads, &points).iter().zip(&loads) {
            assert!(*b <= l.latency_objective_s + 1e-6, "{b} of {}", l.latency_objective_s);
        }
        for (p, l) in points.iter().zip(&loads) {
            assert!(p.burst >= l.curve.burst(p.rate).unwrap() - 1e-6, "{p:?} is under its curve");
        }
        let mut all: Vec<(f64, f64, usize)> = both
            .iter()
            .enumerate()
            .flat_map(|(i, b)| b.1.iter().map(move |a| (a.at_s, a.units, i)))
            .collect();
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut now, mut next, mut waiting) = (0.0f64, 0, Vec::<(f64, f64, usize)>::new());
        while next < all.len() || !waiting.is_empty() {
            if waiting.is_empty() {
                now = now.max(all[next].0);
            }
            while next < all.len() && all[next].0 <= now {
                waiting.push(all[next]);
                next += 1;
            }
            let key = |w: &(f64, f64, usize)| (loads[w.2].latency_objective_s, w.0);
            let best =
                (0..waiting.len()).min_by(|a, b| key(&waiting[*a]).partial_cmp(&key(&waiting[*b])).unwrap());
            let (t, units, i) = waiting.swap_remove(best.unwrap());
            now += units / NODE.capacity;
            // A request that is in service is completed first when a tighter one arrives; so the largest request is added.
            let most = loads[i].latency_objective_s + 4.0 / NODE.capacity;
            assert!(now - t <= most, "{n} loads of {rate}: {} took {} of {most}", loads[i].name, now - t);
        }
    }
    assert!(held >= 4 && held < sets.len(), "{held} sets of loads fit");
}

/// There are more loads than the nodes can serve. All latency objectives must hold at each node, and the other loads must be reported.
#[test]
fn placements_meet_objectives_at_each_node_and_report_loads_without_a_node() {
    let loads: Vec<Load> = (0..40).map(|i| load(i, 3.0, 6.0, [0.5, 1.0, 2.0][i as usize % 3]).0).collect();
    for nodes in [1, 4, 20] {
        let p = place(&NODE, nodes, &loads);
        let placed: usize = p.nodes.iter().map(Vec::len).sum();
        assert_eq!(placed + p.unplaced.len(), loads.len());
        assert_eq!(p.unplaced.is_empty(), nodes == 20, "{nodes} nodes: {} left", p.unplaced.len());
        for placed in &p.nodes {
            let all: Vec<&Load> = placed.iter().map(|placed| &loads[placed.load]).collect();
            let points: Vec<Point> = placed.iter().map(|placed| placed.point).collect();
            let held = latency_bounds(&NODE, &all, &points)
                .iter()
                .zip(&all)
                .all(|(b, l)| *b <= l.latency_objective_s + 1e-6);
            assert!(held, "{placed:?}");
        }
    }
    // Placement by the mean rate alone puts more loads onto a node than their latency objectives allow.
    let plain = place_by_mean_rate(&NODE, 20, &loads, 1.5);
    let fits = |placed: &Vec<PlacedLoad>| {
        let all: Vec<&Load> = placed.iter().map(|placed| &loads[placed.load]).collect();
        fit(&NODE, &all).is_some()
    };
    assert!(
        plain.unplaced.is_empty() && plain.nodes.iter().any(|n| !fits(n)),
        "expected a node of the baseline whose loads do not fit"
    );
}
