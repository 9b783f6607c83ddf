//! tackmast: each host decides alone which of its requests goes to which storage node, and when.
//!
//! `policy` holds every decision; `interface` the types it is called with; `histogram` the mechanics of its
//! measurements. Nothing here knows of a wire, a clock or a thread: a host reports what happens and polls for
//! decisions.

#![warn(missing_docs)]

pub mod histogram;
pub mod interface;
pub mod policy;
mod state;
