//! Operators' overrides of nodes: an override sets a node's weight, takes it out of service or pins it in service, for a limited
//! time. This package decides which override applies to a node, which one is refused, when each ends, and how a node gets its
//! load again. It does no I/O and reads no clock. docs/overrides.md has the table of precedence and the reasons.
//!
//! | file | job |
//! | --- | --- |
//! | `record`, `target` | overrides as requested and as stored; the nodes that they name |
//! | `precedence` | which of several overrides of a node applies |
//! | `overrides` | all overrides of one host: checks, sets, clears, ends and explains them |
//! | `refusal`, `audit`, `explanation` | why an override is refused; the audit log; why a node has its state and weight |
//! | `recovery_ramp` | the stepwise return of load to nodes whose override has ended |
//! | `timing_wheel` | the timers that end overrides |

#![warn(missing_docs, unreachable_pub)]

mod audit;
mod explanation;
mod overrides;
mod precedence;
mod record;
mod recovery_ramp;
mod refusal;
mod target;
/// The timers that end overrides.
pub mod timing_wheel;

pub use audit::{Audit, AuditKind, Ended};
pub use explanation::Explanation;
pub use overrides::{ClockStep, Effective, Overrides, Settings};
pub use precedence::{ApplyingOverrides, NodeFacts, OverrideEffect, Rank, Service, Superseded};
pub use record::{Kind, Origin, Override, OverrideId, OverrideRequest};
pub use refusal::{Preview, Refusal};
pub use target::{Target, TargetError};
