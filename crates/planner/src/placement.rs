//! Places loads onto nodes by first-fit (paper, 2.4): a load goes onto the first node on which all latency objectives still hold.
//! Nodes that are nearly full are skipped.

use crate::curve::Point;
use crate::fit::fit;
use crate::latency_bound::latency_bounds;
use crate::load::{Load, Node};

/// The number of linear programs in a row without a solution after which a node is skipped, as the paper's fast first-fit skips nodes that
/// are nearly full. Otherwise most of the time would be spent on programs that have no solution.
const MAX_FAILURES_IN_A_ROW: usize = 8;

/// A load on a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacedLoad {
    /// The index of the load.
    pub load: usize,
    /// The rate and burst assigned to the load.
    pub point: Point,
}

/// The assignment of loads to nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Placement {
    /// The loads on each node, by index of the node.
    pub nodes: Vec<Vec<PlacedLoad>>,
    /// The indices of loads that fit on no node.
    pub unplaced: Vec<usize>,
    /// The number of linear programs that were run, with or without a solution.
    pub programs_solved: usize,
    /// The number of loads placed without a linear program.
    pub placed_directly: usize,
}

impl Placement {
    fn empty(node_count: usize) -> Placement {
        Placement { nodes: vec![Vec::new(); node_count], ..Placement::default() }
    }

    /// Returns the number of nodes with at least one load.
    pub fn used_nodes(&self) -> usize {
        self.nodes.iter().filter(|placed| !placed.is_empty()).count()
    }
}

/// Places loads by the linear program. No program is run for a node whose loads can keep their points while all latency objectives hold
/// with some point of the new load's curve: then the first such point, which has the lowest rate and the largest burst, is used.
pub fn place(node: &Node, node_count: usize, loads: &[Load]) -> Placement {
    let mut placement = Placement::empty(node_count);
    let mut failures = vec![0; node_count];
    for load in largest_first(loads, 1.0) {
        if !place_on_first(node, &mut placement, &mut failures, loads, load) {
            placement.unplaced.push(load);
        }
    }
    placement
}

/// Returns the indices of loads, largest first: small loads still fit on nodes that are partly full.
fn largest_first(loads: &[Load], factor: f64) -> Vec<usize> {
    let size = |index: &usize| loads[*index].curve.min_rate() * factor;
    let mut order: Vec<usize> = (0..loads.len()).collect();
    order.sort_by(|a, b| size(b).total_cmp(&size(a)));
    order
}

/// Places a load on the first node on which it fits, and returns whether there is one. `failures` counts, for each node, the programs in
/// a row without a solution.
fn place_on_first(
    node: &Node,
    placement: &mut Placement,
    failures: &mut [usize],
    loads: &[Load],
    load: usize,
) -> bool {
    for (index, failures) in failures.iter_mut().enumerate() {
        if *failures >= MAX_FAILURES_IN_A_ROW {
            continue;
        }
        let solved_before = placement.programs_solved;
        if let Some(placed) = place_on(node, placement, index, loads, load) {
            *failures = 0;
            placement.nodes[index] = placed;
            return true;
        }
        *failures += placement.programs_solved - solved_before;
    }
    false
}

/// Returns the loads of a node with the new one, if all latency objectives hold.
fn place_on(
    node: &Node,
    placement: &mut Placement,
    index: usize,
    loads: &[Load],
    new_load: usize,
) -> Option<Vec<PlacedLoad>> {
    let placed = &placement.nodes[index];
    let rates: f64 = placed.iter().map(|placed| placed.point.rate).sum();
    if rates + loads[new_load].curve.first()?.rate > node.capacity {
        return None;
    }
    let indices: Vec<usize> = placed.iter().map(|placed| placed.load).chain([new_load]).collect();
    let together: Vec<&Load> = indices.iter().map(|index| &loads[*index]).collect();
    let present: Vec<Point> = placed.iter().map(|placed| placed.point).collect();
    let points = match find_point_beside(node, &together, &present) {
        Some(points) => {
            placement.placed_directly += 1;
            points
        }
        None => {
            placement.programs_solved += 1;
            fit(node, &together)?
        }
    };
    Some(indices.into_iter().zip(points).map(|(load, point)| PlacedLoad { load, point }).collect())
}

/// Returns the present points and the first point of the last load's curve with which all latency objectives hold.
fn find_point_beside(node: &Node, loads: &[&Load], present: &[Point]) -> Option<Vec<Point>> {
    let candidates = loads.last()?.curve.points.iter().map(|point| [present, &[*point]].concat());
    candidates.into_iter().find(|points| {
        let bounds = latency_bounds(node, loads, points);
        bounds.iter().zip(loads).all(|(bound, load)| *bound <= load.latency_objective_s)
    })
}

/// Places loads by first-fit of `factor` times their mean rate, without regard to bursts and latency objectives. This is the baseline to
/// compare `place` with.
pub fn place_by_mean_rate(node: &Node, node_count: usize, loads: &[Load], factor: f64) -> Placement {
    let mut placement = Placement::empty(node_count);
    let rate_of = |index: usize| loads[index].curve.min_rate() * factor;
    for load in largest_first(loads, factor) {
        let rate = rate_of(load);
        let used = |placed: &Vec<PlacedLoad>| placed.iter().map(|placed| rate_of(placed.load)).sum::<f64>();
        let Some(index) = placement.nodes.iter().position(|placed| used(placed) + rate <= node.capacity)
        else {
            placement.unplaced.push(load);
            continue;
        };
        let burst = loads[load].curve.burst(rate).unwrap_or(loads[load].max_request_units);
        placement.nodes[index].push(PlacedLoad { load, point: Point { rate, burst } });
    }
    placement
}
