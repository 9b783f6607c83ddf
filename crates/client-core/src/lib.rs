//! The client library without sockets, threads or clocks. Its inputs are calls, received bytes, closed connections and the time; its
//! outputs, polled one by one, are connect, write, close and answer. Both protocols implement one trait, so that a caller sees the
//! same behavior over either. docs/client.md describes it.

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
