//! Plans, volumes and stream types as data. `catalogue` holds a version of them and judges a change as a whole before
//! anything moves; `trail` keeps who changed what, when and why, each entry chained to the one before. No I/O, no clock.

mod catalogue;
mod trail;

pub use catalogue::{Applied, Catalogue, Change, Fleet, Plan, Refusal, Step, StreamType, Volume};
pub use trail::{Anchor, Entry, Trail, TrailError};
