//! The platform's protocol, without I/O: parses the configuration of a host, the endpoint list, requests of clients and answers of
//! nodes, and formats the heads of attempts and answers. docs/protocols/platform.md describes the protocol. Scheduling decisions are
//! made elsewhere.

#![warn(missing_docs, unreachable_pub)]

mod call;
mod configuration;
mod list;
mod outcome;
mod settings;
/// Typed access to JSON values, for this package and `tackmast-benchlink`.
pub mod values;

pub use call::{Call, Refusal};
pub use configuration::{Configuration, Limits, PeerAddresses};
pub use list::{List, Member};
pub use outcome::{answer_head, attempt_head, AttemptReport, Reports};
pub use settings::{Plan, Settings, TrafficClass};
pub use values::FieldError;
