//! Determines whether recorded loads fit on nodes, by the paper's method at placement time (sections 2.2 to 2.4), which the running
//! host does not use. This package does no I/O and reads no clock. docs/plans.md lists the differences from the paper and what the
//! bound does not cover.
//!
//! | file | job |
//! | --- | --- |
//! | `curve` | rate-burst curves of recorded arrivals |
//! | `load` | loads, nodes, and the order in which latency objectives rank loads |
//! | `latency_bound` | a bound on each load's latency at a node |
//! | `fit` | rates and bursts under which all latency objectives hold, by a linear program |
//! | `placement` | the placement of loads onto nodes |

#![warn(missing_docs, unreachable_pub)]

mod curve;
mod fit;
mod latency_bound;
mod load;
mod placement;

pub use curve::{max_bucket_level, Arrival, Curve, Line, Point};
pub use fit::fit;
pub use latency_bound::latency_bounds;
pub use load::{Load, Node};
pub use placement::{place, place_by_mean_rate, PlacedLoad, Placement};
