//! Plans, volumes and traffic classes as data that operators change while hosts run. This package does no I/O and reads no clock.
//! docs/plans.md has the reasons.
//!
//! | file | job |
//! | --- | --- |
//! | `model` | plans, volumes, traffic classes, and the fleet that they are checked against |
//! | `change` | a change that an operator makes, and why a change is refused |
//! | `catalogue` | one version of all plans, volumes and traffic classes, and the next one after a change |
//! | `validation` | checks that a version is consistent and within the fleet's capacity |
//! | `difference` | the differences of two versions, and whether running hosts can change from one to the other |
//! | `entry` | an entry of the change log, its digest and its stored line |
//! | `change_log` | who changed what, when and why: a hash chain of entries after a checkpoint |
//! | `replicated_plans` | the state machine that hosts replicate: the change log and fallback limits |

#![warn(missing_docs, unreachable_pub)]

mod catalogue;
mod change;
mod change_log;
mod difference;
mod entry;
mod model;
mod replicated_plans;
mod validation;

pub use catalogue::{Applied, Catalogue};
pub use change::{Change, Refusal, Step};
pub use change_log::{ChangeLog, ChangeLogError, Checkpoint, LogHead, Proposal};
pub use entry::Entry;
pub use model::{Fleet, Plan, TrafficClass, Volume};
pub use replicated_plans::{Command, ReplicatedPlans};
