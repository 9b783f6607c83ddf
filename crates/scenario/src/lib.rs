//! Plays a scripted day on loopback: hosts as processes of their own, stand-in nodes, list and clients, troubles by
//! the clock; records what the sockets show, holds the rules against it, and checks every byte that is read.

mod agreed;
mod fleet;
mod hunt;
mod import;
mod operators;
mod play;
mod registers;
mod report;
mod rig;
mod script;
mod settled;
mod traffic;

pub use agreed::AgreedSeen;
pub use hunt::{draw, smaller, troubles_text};
pub use import::import;
pub use play::{facts, play, Played, AGEING_STEPS};
pub use registers::Registers;
pub use report::{Report, Served};
pub use rig::{How, Who};
pub use script::{is_one_of, Action, NodesBlock, Script, TrafficBlock, Trouble};
pub use settled::{After, ViewSeen};
