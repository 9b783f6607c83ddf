//! Whether loads fit together on one node, and with which rates and bursts (paper, 2.3).

use crate::curve::{Curve, Point};
use microlp::{ComparisonOp, OptimizationDirection, Problem, SolveOutcome};

/// What a volume asks of one traffic class at one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    pub name: String,
    pub latency_objective_s: f64,
    /// Units of its largest request.
    pub largest: f64,
    pub curve: Curve,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Node {
    /// Units a second.
    pub capacity: f64,
    /// Seconds that a unit takes at one core: a request's own work is not spread over cores.
    pub unit_s: f64,
    /// Units that may be out at the node of looser loads when a tighter one comes: caps of all hosts together. The paper's
    /// priorities are kept at the queue itself; here a node serves in order of arrival, so these go first.
    pub ahead: f64,
    /// Seconds of the way there and back.
    pub way_s: f64,
}

impl Node {
    /// Seconds that a load may wait behind others, for its latency objective to hold.
    fn slack(&self, l: &Load, looser: bool) -> f64 {
        let ahead = if looser { self.ahead / self.capacity } else { 0.0 };
        l.latency_objective_s - self.way_s - l.largest * self.unit_s - ahead
    }
}

/// Loads by tightness of latency objective: the groups of equal ones, tightest first.
fn groups(loads: &[&Load]) -> Vec<Vec<usize>> {
    let mut order: Vec<usize> = (0..loads.len()).collect();
    order.sort_by(|a, b| loads[*a].latency_objective_s.total_cmp(&loads[*b].latency_objective_s));
    let mut groups: Vec<Vec<usize>> = Vec::new();
    for i in order {
        match groups.last_mut().filter(|g| loads[g[0]].latency_objective_s == loads[i].latency_objective_s) {
            Some(g) => g.push(i),
            None => groups.push(vec![i]),
        }
    }
    groups
}

/// A bound on each load's latency in seconds, by equation 1 with what this node adds; infinite where its node is overloaded.
pub fn bounds(node: &Node, loads: &[&Load], points: &[Point]) -> Vec<f64> {
    let mut all = vec![f64::INFINITY; loads.len()];
    let groups = groups(loads);
    let (mut bursts, mut rates) = (0.0, 0.0);
    let whole: f64 = points.iter().map(|p| p.rate).sum();
    for (g, group) in groups.iter().enumerate() {
        bursts += group.iter().map(|i| points[*i].burst).sum::<f64>();
        let free = node.capacity - rates;
        for i in group {
            if free > 0.0 && whole <= node.capacity {
                let wait = bursts / free;
                all[*i] = loads[*i].latency_objective_s - node.slack(loads[*i], g + 1 < groups.len()) + wait;
            }
        }
        rates += group.iter().map(|i| points[*i].rate).sum::<f64>();
    }
    all
}

/// Rates and bursts on or above each load's curve with which every latency objective holds, the sum of rates being least; none where
/// there are none. Equations 3 and 4 as a linear program.
pub fn fit(node: &Node, loads: &[&Load]) -> Option<Vec<Point>> {
    if loads.iter().any(|l| l.curve.points.is_empty()) || loads.is_empty() {
        return loads.is_empty().then(Vec::new);
    }
    // In parts of the capacity, so that figures of all fleets are of one size.
    let c = node.capacity;
    let mut lp = Problem::new(OptimizationDirection::Minimize);
    let mut vars = Vec::with_capacity(loads.len());
    for l in loads {
        let (first, last) = (l.curve.least()?, l.curve.last()?);
        let rate = lp.add_var(1.0, (first.rate / c, f64::INFINITY));
        let burst = lp.add_var(0.0, (last.burst / c, f64::INFINITY));
        for (slope, at_zero) in l.curve.lines() {
            lp.add_constraint([(burst, 1.0), (rate, -slope)], ComparisonOp::Ge, at_zero / c);
        }
        vars.push((rate, burst));
    }
    lp.add_constraint(vars.iter().map(|v| (v.0, 1.0)).collect::<Vec<_>>(), ComparisonOp::Le, 1.0);
    let groups = groups(loads);
    for (g, group) in groups.iter().enumerate() {
        let looser = g + 1 < groups.len();
        let slack = group.iter().map(|i| node.slack(loads[*i], looser)).fold(f64::INFINITY, f64::min);
        if slack <= 0.0 {
            return None;
        }
        let mut terms: Vec<_> = groups[..=g].iter().flatten().map(|i| (vars[*i].1, 1.0)).collect();
        terms.extend(groups[..g].iter().flatten().map(|i| (vars[*i].0, slack)));
        lp.add_constraint(terms, ComparisonOp::Le, slack);
    }
    let SolveOutcome::Solution(solution) = lp.solve().ok()? else { return None };
    Some(vars.iter().map(|(r, b)| Point { rate: solution[*r] * c, burst: solution[*b] * c }).collect())
}
