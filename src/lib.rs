//! The scheduler of a storage gateway. Each host decides on its own which of its requests goes to which storage
//! node, and when.
//!
//! - `interface`: the types of inputs, decisions and events.
//! - `policy`: every rule and every tuned value, with one module per mechanism.
//! - `scheduler`: collects the inputs of each rule, applies its decision, and keeps the tables.
//! - `state`: data structures that hold no rule: buckets, queues, timers.
//! - `histogram`: the histogram that records latencies.
//!
//! The package performs no I/O, reads no clock and starts no thread: a host reports what happens and polls for
//! decisions.

#![warn(missing_docs)]

/// A coarse histogram, used for latencies.
pub mod histogram;
/// The types of inputs, decisions and events.
pub mod interface;
/// The rules and the tuned values of the scheduler.
pub mod policy;
/// The scheduler of one host.
pub mod scheduler;
mod state;
