//! The scheduler of a storage gateway: each host decides alone which of its requests goes to which storage node, and when.
//!
//! - `interface`: the types of inputs, decisions and events.
//! - `policy`: every rule and every tuned value, a module for each mechanism.
//! - `scheduler`: gathers what a rule reads, applies what it decides, and keeps the tables.
//! - `state`: bookkeeping without a rule: buckets, queues, timers.
//! - `histogram`: the measurements behind latencies.
//!
//! Nothing here knows of a wire, a clock or a thread: a host reports what happens and polls for decisions.

#![warn(missing_docs)]

/// Histograms of latencies.
pub mod histogram;
/// Types of inputs, decisions and events.
pub mod interface;
/// The rules and the tuned values of the scheduler.
pub mod policy;
/// The scheduler of one host.
pub mod scheduler;
mod state;
