//! Finds rates and bursts with which all latency objectives hold at one node, by a linear program (paper, 2.3, equations 3 and 4).

use crate::curve::{Line, Point};
use crate::load::{rank_by_objective, Load, Node};
use microlp::{ComparisonOp, OptimizationDirection, Problem, SolveOutcome, Variable};

/// The variables of a load in the linear program.
struct PointVariables {
    rate: Variable,
    burst: Variable,
}

/// Returns a rate and burst for each load, on or above its curve, with which every latency objective holds; of all solutions, the one
/// with the lowest sum of rates. Returns `None` if the loads do not fit on the node.
pub fn fit(node: &Node, loads: &[&Load]) -> Option<Vec<Point>> {
    if loads.is_empty() {
        return Some(Vec::new());
    }
    // Values are fractions of the capacity, so that they have the same magnitude for all fleets.
    let scale = node.capacity;
    let mut program = Problem::new(OptimizationDirection::Minimize);
    let variables = add_points(&mut program, loads, scale)?;
    let rates: Vec<_> = variables.iter().map(|point| (point.rate, 1.0)).collect();
    program.add_constraint(rates, ComparisonOp::Le, 1.0);
    add_latency_objectives(&mut program, node, loads, &variables)?;
    let SolveOutcome::Solution(solution) = program.solve().ok()? else { return None };
    let value = |variable: Variable| solution[variable] * scale;
    Some(variables.iter().map(|p| Point { rate: value(p.rate), burst: value(p.burst) }).collect())
}

/// Adds variables for each load and constraints that keep them on or above its curve. Returns `None` if a load has no curve.
fn add_points(program: &mut Problem, loads: &[&Load], scale: f64) -> Option<Vec<PointVariables>> {
    let mut variables = Vec::with_capacity(loads.len());
    for load in loads {
        let (first, last) = (load.curve.first()?, load.curve.last()?);
        let rate = program.add_var(1.0, (first.rate / scale, f64::INFINITY));
        let burst = program.add_var(0.0, (last.burst / scale, f64::INFINITY));
        for Line { slope, intercept } in load.curve.lines() {
            program.add_constraint([(burst, 1.0), (rate, -slope)], ComparisonOp::Ge, intercept / scale);
        }
        variables.push(PointVariables { rate, burst });
    }
    Some(variables)
}

/// Adds a constraint for each rank: its bursts and those of tighter ranks are served within its slack. Returns `None` if a load has no
/// slack.
fn add_latency_objectives(
    program: &mut Problem,
    node: &Node,
    loads: &[&Load],
    variables: &[PointVariables],
) -> Option<()> {
    let ranks = rank_by_objective(loads);
    for (rank, indices) in ranks.iter().enumerate() {
        let slacks = indices.iter().map(|index| node.slack_s(loads[*index], rank, &ranks));
        let slack_s = slacks.fold(f64::INFINITY, f64::min);
        if slack_s <= 0.0 {
            return None;
        }
        let bursts = ranks[..=rank].iter().flatten().map(|index| (variables[*index].burst, 1.0));
        let tighter_rates = ranks[..rank].iter().flatten().map(|index| (variables[*index].rate, slack_s));
        let terms: Vec<_> = bursts.chain(tighter_rates).collect();
        program.add_constraint(terms, ComparisonOp::Le, slack_s);
    }
    Some(())
}
