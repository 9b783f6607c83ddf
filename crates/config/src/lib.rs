//! The settings of one host in HCL, with their defaults and checks. This package only reads the values; the host passes them
//! to the parts that use them.
//!
//! | file | contents |
//! | --- | --- |
//! | `document` | an HCL document: reads its blocks, and finds the lines that errors name |
//! | `error` | an error in a settings file |
//! | `checks` | checks of a block's values against their bounds |
//! | `blocks` | one file for each settings block: its fields, defaults and checks |
//! | `settings` | all settings of a host: the blocks, and the order in which they are read and checked |

#![warn(missing_docs, unreachable_pub)]

mod blocks;
mod checks;
mod document;
mod error;
mod settings;

pub use blocks::{
    Bounds, ConsensusBlock, Identity, LargeReads, Load, MembershipBlock, OverridesBlock, Plan, PlansBlock,
    RetryBudget, SlowStartBlock, TrafficClass, Units, Volume,
};
pub use document::{read_text, Document, LabelledBlock, Place};
pub use error::ConfigError;
pub use settings::HostSettings;
