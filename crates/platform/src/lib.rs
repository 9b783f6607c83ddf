//! The operators' platform, without I/O: what a host is told at its start, the node list, and the headers of requests and
//! answers, to values and back. docs/protocols/platform.md tells the protocol as met. Nothing is decided here.

mod call;
mod configuration;
mod list;
mod outcome;
mod settings;
pub mod values;

pub use call::{Call, Refusal};
pub use configuration::{Configuration, Limits};
pub use list::{List, Member};
pub use outcome::{answer_head, attempt_head, Came, Reports};
pub use settings::{Plan, Settings, TrafficClass};
