//! The settings blocks, one a file: fields, defaults and checks. Times are in the unit that a field's name ends in.

mod bounds;
mod consensus;
mod identity;
mod load;
mod membership;
mod overrides;
mod plan;
mod plans;
mod retry_budget;
mod slow_start;
mod traffic_class;
mod units;
mod volume;

pub use bounds::Bounds;
pub use consensus::ConsensusBlock;
pub use identity::Identity;
pub use load::Load;
pub use membership::MembershipBlock;
pub use overrides::OverridesBlock;
pub use plan::Plan;
pub use plans::PlansBlock;
pub use retry_budget::RetryBudget;
pub use slow_start::SlowStartBlock;
pub use traffic_class::TrafficClass;
pub use units::Units;
pub use volume::{LargeReads, Volume};

pub(crate) use volume::VolumeContext;

/// Part by which steady clocks of two hosts may run apart, where a block names none.
fn default_clock_drift() -> f64 {
    0.001
}
