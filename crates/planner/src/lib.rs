//! The paper's idea at placement time (sections 2.2 to 2.4), which the running host leaves out: `curve` makes r-b curves of
//! recorded loads, `fit` bounds latency at a node and finds rates and bursts under which all latency objectives hold, `place` puts
//! loads on nodes. No I/O, no clock. docs/plans.md tells what was changed and what the bound does not cover.

mod curve;
mod fit;
mod place;

pub use curve::{max_held, Curve, Point};
pub use fit::{bounds, fit, Load, Node};
pub use place::{by_mean_rate, place, Placement};
