//! Operators' overrides of nodes: a weight, out of service, or pinned in service, each with an end. This package decides which
//! override applies to a node, which is refused, when each ends, and how nodes come back. It does no I/O and reads no clock.
//! docs/overrides.md has the table of precedence and the reasons.
//!
//! | file | job |
//! | --- | --- |
//! | `record`, `target` | overrides as operators ask for them and as they are stored; the nodes that they name |
//! | `precedence` | which of several overrides of a node applies |
//! | `overrides` | the overrides of one host: proposed, set, cleared, ended, explained |
//! | `refusal`, `audit`, `explanation` | why an override is refused; the audit log; why a node is given what it is given |
//! | `recovery_ramp` | how nodes are given load again |
//! | `timing_wheel` | timers of many overrides |

#![warn(missing_docs, unreachable_pub)]

mod audit;
mod explanation;
mod overrides;
mod precedence;
mod record;
mod recovery_ramp;
mod refusal;
mod target;
/// Timers of many overrides.
pub mod timing_wheel;

pub use audit::{Audit, AuditKind, Ended};
pub use explanation::Explanation;
pub use overrides::{ClockStep, Effective, Overrides, Settings};
pub use precedence::{ApplyingOverrides, NodeFacts, OverrideEffect, Rank, Service, Superseded};
pub use record::{Kind, Origin, Override, OverrideId, OverrideRequest};
pub use refusal::{Preview, Refusal};
pub use target::{Target, TargetError};
