//! The settings of one host in HCL: how they are written, their defaults and their checks. Nothing is decided here; the
//! values are handed to the decision core part by part.
//!
//! | file | job |
//! | --- | --- |
//! | `document` | an HCL document: its blocks, and the lines that errors name |
//! | `error` | one thing wrong with a file of settings |
//! | `checks` | checks of a block's values against bounds |
//! | `blocks` | one file a settings block: its fields, defaults and checks |
//! | `settings` | all settings of a host: which blocks there are, and in which order they are read and checked |

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
