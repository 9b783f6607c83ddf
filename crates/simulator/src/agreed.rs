//! The agreement in virtual time: walks by chance and all orders to a depth, over the very `Seat` that hosts run.
//! `world` has processes, disks, clocks and ways; `walk` draws what happens; what must never be is looked for after each step.

mod explore;
mod fleet;
mod walk;
mod world;

pub use explore::{explore, Explored};
pub use fleet::{agreed_fleet, AgreedFigures, FleetTrial};
pub use walk::{find_fault, walk, Walk, Walked};
