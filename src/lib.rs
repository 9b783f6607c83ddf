//! tackmast: each host decides alone which of its requests goes to which storage node, and when.
//!
//! `policy` holds every decision; `interface` the types it is called with; `histogram` the mechanics of its
//! measurements. Nothing here knows of a wire, a clock or a thread: a host reports what happens and polls for
//! decisions.

#![warn(missing_docs)]

/// Histograms of answer times.
pub mod histogram;
/// Types of inputs and decisions.
pub mod interface;
/// The scheduler and its decisions.
pub mod policy;
mod state;
