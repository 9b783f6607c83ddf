//! Data structures that hold neither a scheduling rule nor a tuned value.

mod bucket;
mod key_queue;
mod random;
mod timers;

pub use bucket::Bucket;
pub use key_queue::KeyQueue;
pub use random::Random;
pub use timers::{Timer, Timers};
