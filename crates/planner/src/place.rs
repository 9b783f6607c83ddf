//! Loads onto nodes (paper, 2.4): the first node on which all still hold; nodes that are nearly full are passed over.

use crate::curve::Point;
use crate::fit::{bounds, fit, Load, Node};

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Placement {
    /// By node: the loads there, and their rates and bursts.
    pub nodes: Vec<Vec<(usize, Point)>>,
    /// Loads that found no node.
    pub left: Vec<usize>,
    /// Linear programs solved, and placements that needed none.
    pub solved: usize,
    pub at_once: usize,
}

impl Placement {
    pub fn used(&self) -> usize {
        self.nodes.iter().filter(|n| !n.is_empty()).count()
    }
}

/// A node for which so many programs in a row had no solution is passed over from then on, as the paper's fast first-fit
/// passes over nodes that are nearly full: most of the time would go into finding that out again.
const TIRED: usize = 8;

/// By the linear program. Where the loads that are there can stay as they are, and some point of the new one's curve holds
/// beside them, nothing is solved: the most bursty such point with the least rate is taken.
pub fn place(node: &Node, nodes: usize, loads: &[Load]) -> Placement {
    let mut p = Placement { nodes: vec![Vec::new(); nodes], ..Placement::default() };
    let mut failed = vec![0; nodes];
    // The largest first: what is left finds room beside them.
    let mut order: Vec<usize> = (0..loads.len()).collect();
    let size = |i: &usize| loads[*i].curve.least().map_or(0.0, |p| p.rate);
    order.sort_by(|a, b| size(b).total_cmp(&size(a)));
    for i in order {
        let mut found = None;
        for (n, failed) in failed.iter_mut().enumerate().filter(|(_, f)| **f < TIRED) {
            let solved = p.solved;
            found = onto(node, &mut p, n, loads, i).map(|there| (n, there));
            if found.is_some() {
                *failed = 0;
                break;
            }
            *failed += p.solved - solved;
        }
        match found {
            Some((n, there)) => p.nodes[n] = there,
            None => p.left.push(i),
        }
    }
    p
}

fn onto(node: &Node, p: &mut Placement, n: usize, loads: &[Load], i: usize) -> Option<Vec<(usize, Point)>> {
    let there = &p.nodes[n];
    let rates: f64 = there.iter().map(|(_, p)| p.rate).sum();
    if rates + loads[i].curve.least()?.rate > node.capacity {
        return None;
    }
    let mut names: Vec<usize> = there.iter().map(|(l, _)| *l).collect();
    names.push(i);
    let all: Vec<&Load> = names.iter().map(|l| &loads[*l]).collect();
    let mut points: Vec<Point> = there.iter().map(|(_, p)| *p).collect();
    points.push(Point { rate: 0.0, burst: 0.0 });
    for point in &loads[i].curve.points {
        if let Some(last) = points.last_mut() {
            *last = *point;
        }
        if bounds(node, &all, &points).iter().zip(&all).all(|(b, l)| *b <= l.latency_objective_s) {
            p.at_once += 1;
            return Some(names.into_iter().zip(points).collect());
        }
    }
    p.solved += 1;
    let points = fit(node, &all)?;
    Some(names.into_iter().zip(points).collect())
}

/// The plain way to compare with: first-fit by `times` the mean rate, with regard to nothing else.
pub fn by_mean_rate(node: &Node, nodes: usize, loads: &[Load], times: f64) -> Placement {
    let mut p = Placement { nodes: vec![Vec::new(); nodes], ..Placement::default() };
    let mut order: Vec<usize> = (0..loads.len()).collect();
    let size = |i: &usize| loads[*i].curve.least().map_or(0.0, |p| p.rate) * times;
    order.sort_by(|a, b| size(b).total_cmp(&size(a)));
    for i in order {
        let taken = |n: &Vec<(usize, Point)>| n.iter().map(|(l, _)| size(l)).sum::<f64>();
        match p.nodes.iter().position(|n| taken(n) + size(&i) <= node.capacity) {
            Some(n) => {
                let rate = size(&i);
                let burst = loads[i].curve.burst(rate).unwrap_or(loads[i].largest);
                p.nodes[n].push((i, Point { rate, burst }));
            }
            None => p.left.push(i),
        }
    }
    p
}
