//! The settings of one host in HCL: how they are written, what is checked, and what holds where nothing is said.
//! Nothing is decided here; the values are handed to the decision core part by part.

pub mod document;
mod host;

pub use document::{ConfigError, Document, Place};
pub use host::{
    AgreementBlock, Bounds, ColdNodes, HostSettings, Identity, Load, MembershipBlock, OverridesBlock, Plan,
    PlansBlock, RetryBudget, TrafficClass, Units, Volume,
};
