//! The settings blocks, one in each file, with their fields, defaults and checks. The suffix of a field's name is the unit of
//! its time.

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

/// The default of the fraction by which the rates of two hosts' monotonic clocks may differ.
fn default_clock_drift() -> f64 {
    0.001
}
