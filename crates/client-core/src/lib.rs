//! The client library without sockets, threads or clocks. Inputs: calls, bytes, ends of connections, the time; outputs, polled one by
//! one: connect, write, close, answer. Both protocols implement one trait, so that what a caller sees does not depend on the
//! protocol. docs/client.md describes it.

#![warn(missing_docs, unreachable_pub)]

mod core;
mod iscsi;
mod nbd;
mod operation;
mod retry;
mod transport;

pub use crate::core::{Bounds, Core, Output};
pub use iscsi::IscsiClient;
pub use nbd::{NbdClient, ADDITIONS};
pub use operation::{Op, Outcome, Volume, VolumeAddress};
pub use retry::RetryPolicy;
pub use transport::{SessionEvent, Transport, TransportError};
