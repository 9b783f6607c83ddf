//! The consensus group in virtual time, with the `Replica` that hosts run.
//!
//! `world` models processes, disks, clocks and messages in flight, and checks the safety properties after each step.
//! `random_walk` draws what happens next from a seed; `explore` tries all orders of steps up to a depth; `fleet` measures a
//! fleet at full size.

mod disk;
mod explore;
mod fleet;
mod random_walk;
mod world;

pub use explore::{explore, Explored};
pub use fleet::{simulate_fleet, ConsensusFigures, FleetTrial};
pub use random_walk::{find_fault, run_random_walk, RandomWalk, WalkResult};
