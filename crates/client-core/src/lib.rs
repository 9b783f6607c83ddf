//! The client library without sockets, threads or clocks. Inputs: calls, bytes, ends of connections, the time; outputs,
//! pulled one by one: connect, write, close, answer. Both transports stand behind one face, so that what a caller sees
//! does not depend on the protocol. docs/client.md describes it.

mod core;
mod iscsi;
mod nbd;
mod op;
mod retry;

pub use crate::core::{Bounds, Core, Output};
pub use iscsi::IscsiClient;
pub use nbd::{NbdClient, ADDITIONS};
pub use op::{Op, Outcome, Place, SessionEvent, Transport, Volume};
pub use retry::{Budget, End, Next, Policy};
