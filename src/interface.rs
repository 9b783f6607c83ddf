//! The types that the scheduler takes as input and returns. They hold no scheduling rule.

mod decision;
mod event;
mod ids;
mod inputs;
mod settings;
mod time;

pub use decision::{Decision, FailureReason, HoldReason};
pub use event::SchedulerEvent;
pub use ids::{AttemptNumber, KeyId, NodeId, PlanId, RequestId, ShardId, TrafficClassId, VolumeId, ZoneId};
pub use inputs::{AttemptEnd, LeaseChange, ListKind, NewRequest, NodeEntry, NodeState, Outcome, QuotaLeases};
pub use settings::{DedupScope, Effect, Plan, SlowStartSettings};
pub use time::{Instant, TimeDelta};
