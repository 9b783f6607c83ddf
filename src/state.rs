//! Bookkeeping without a rule and without a tuned value.

mod bucket;
mod key_queue;
mod random;
mod timers;

pub use bucket::Bucket;
pub use key_queue::KeyQueue;
pub use random::Random;
pub use timers::{Timer, Timers};
