//! Measurements: what a host adds to the same load sent straight to emulated nodes, in one run. The nodes do no work, so that only the
//! path to them is measured. Figures are of the machine and of emulators; their ratios are what counts.
//!
//! | file | job |
//! | --- | --- |
//! | `testbed` | emulated nodes, their list, and a host as a process |
//! | `closed_loop` | sessions that each keep some commands open, through the host or straight to the nodes |
//! | `client_load` | the client library: both protocols, and a polite client beside a greedy one |
//! | `core_cost` | a request in the host core and in the scheduler, without I/O |
//! | `timers` | the timing wheel beside a heap |
//! | `simulator_comparison` | one workload in virtual time and on loopback |
//! | `measurement`, `error` | what a load has shown, and why it could not run |

#![warn(missing_docs, unreachable_pub)]

mod client_load;
mod closed_loop;
mod core_cost;
mod error;
mod measurement;
mod simulator_comparison;
mod testbed;
mod timers;
mod xorshift;

pub use client_load::{measure_beside_greedy, measure_sessions};
pub use closed_loop::{ClosedLoop, Route};
pub use core_cost::{core_cost, override_cost, CoreCost, OverrideCost};
pub use error::BenchmarkError;
pub use measurement::Measurement;
pub use simulator_comparison::{compare_with_loopback, FlowComparison, FlowFigures};
pub use testbed::{HostUsage, Testbed};
pub use timers::{timer_costs, Comparison, TimerCosts};
