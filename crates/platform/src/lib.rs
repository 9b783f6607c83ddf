//! The operators' platform, without I/O: the configuration of a host, the endpoint list, and the headers of requests and
//! answers, to values and back. docs/protocols/platform.md has the protocol. Nothing is decided here.

#![warn(missing_docs, unreachable_pub)]

mod call;
mod configuration;
mod list;
mod outcome;
mod settings;
/// Values of JSON documents, for this package and the bench's adapter.
pub mod values;

pub use call::{Call, Refusal};
pub use configuration::{Configuration, Limits, PeerAddresses};
pub use list::{List, Member};
pub use outcome::{answer_head, attempt_head, AttemptReport, Reports};
pub use settings::{Plan, Settings, TrafficClass};
pub use values::FieldError;
