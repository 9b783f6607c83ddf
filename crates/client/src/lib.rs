//! Client library of the gateway. It opens a volume and reads, writes, flushes and cancels, with the same results over an
//! iSCSI-style or an NBD transport. Each call gets exactly one answer, by its deadline at the latest, and is retried only
//! where that is safe and within a budget. docs/client.md has examples.

#![warn(missing_docs, unreachable_pub)]

mod client;
mod clock;
mod connection;
mod error;
mod event;
mod event_loop;
mod options;
mod thread;

pub use client::{Client, Pending};
pub use error::OpenError;
pub use options::{Options, Protocol, ProtocolLevel};
pub use tackmast_client_core::{Op, Outcome, RetryPolicy, Volume, VolumeAddress};
