//! Plans, volumes and traffic classes as data. `catalogue` holds a version of them and judges a change as a whole before
//! anything moves; `trail` keeps who changed what, when and why, each entry chained to the one before; `agreed` what hosts that agree on
//! changes hold: the trail, and the floors that hosts past their lease go by. No I/O, no clock.

mod agreed;
mod catalogue;
mod trail;

pub use agreed::{Agreed, Command};
pub use catalogue::{Applied, Catalogue, Change, Fleet, Plan, Refusal, Step, TrafficClass, Volume};
pub use trail::{Anchor, Entry, Trail, TrailError};
