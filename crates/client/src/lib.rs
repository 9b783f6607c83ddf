//! Client library of the gateway: open a volume, read, write, flush and cancel, over an iSCSI-style or an NBD transport
//! with the same results. A call has one answer, by its deadline at the latest; it is retried only where that is safe
//! and within a budget. docs/client.md has examples.

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
