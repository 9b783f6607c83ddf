//! Plans, volumes and traffic classes as data that operators change while hosts run. No I/O, no clock. docs/plans.md has the
//! reasons.
//!
//! | file | job |
//! | --- | --- |
//! | `model` | plans, volumes, traffic classes, and the fleet that has to bear them |
//! | `change` | what an operator changes, and why a change is refused |
//! | `catalogue` | one version of everything, and the next one after a change |
//! | `validation` | whether a version is consistent and the fleet bears it |
//! | `difference` | what two versions differ in, and whether running hosts can go from one to the other |
//! | `entry` | an entry of the change log, its digest and its line |
//! | `change_log` | who changed what, when and why: a hash chain of entries behind a checkpoint |
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
