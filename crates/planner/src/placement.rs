//! Loads onto nodes (paper, 2.4): the first node on which all still hold; nodes that are nearly full are passed over.

use crate::curve::Point;
use crate::fit::fit;
use crate::latency_bound::latency_bounds;
use crate::load::{Load, Node};

/// A node for which so many programs in a row had no solution is passed over from then on, as the paper's fast first-fit
/// passes over nodes that are nearly full: most of the time would go into finding that out again.
const MAX_FAILURES_IN_A_ROW: usize = 8;

/// A load on a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacedLoad {
    /// Index of the load.
    pub load: usize,
    /// The rate and burst that it is given.
    pub point: Point,
}

/// Which loads go onto which nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Placement {
    /// By node: the loads there.
    pub nodes: Vec<Vec<PlacedLoad>>,
    /// Indices of loads that found no node.
    pub unplaced: Vec<usize>,
    /// Linear programs solved.
    pub programs_solved: usize,
    /// Loads placed without a linear program.
    pub placed_directly: usize,
}

impl Placement {
    fn empty(node_count: usize) -> Placement {
        Placement { nodes: vec![Vec::new(); node_count], ..Placement::default() }
    }

    /// Number of nodes with at least one load.
    pub fn used_nodes(&self) -> usize {
        self.nodes.iter().filter(|placed| !placed.is_empty()).count()
    }
}

/// Places loads by the linear program. Where the loads of a node can stay as they are, and some point of the new one's curve holds
/// beside them, nothing is solved: the most bursty such point with the lowest rate is taken.
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

/// Indices of loads, largest first: what is left fits in beside them.
fn largest_first(loads: &[Load], factor: f64) -> Vec<usize> {
    let size = |index: &usize| loads[*index].curve.min_rate() * factor;
    let mut order: Vec<usize> = (0..loads.len()).collect();
    order.sort_by(|a, b| size(b).total_cmp(&size(a)));
    order
}

/// Whether a node was found; `failures` counts, by node, programs in a row that had no solution.
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

/// The loads of the node with the new one, if all hold.
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

/// The present points with the first one of the last load's curve under which all latency objectives hold.
fn find_point_beside(node: &Node, loads: &[&Load], present: &[Point]) -> Option<Vec<Point>> {
    let candidates = loads.last()?.curve.points.iter().map(|point| [present, &[*point]].concat());
    candidates.into_iter().find(|points| {
        let bounds = latency_bounds(node, loads, points);
        bounds.iter().zip(loads).all(|(bound, load)| *bound <= load.latency_objective_s)
    })
}

/// The plain method to compare with: first-fit by `factor` times the mean rate, with regard to nothing else.
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
