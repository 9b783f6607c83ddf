//! What all hosts of a fleet go by: a log of changes that a few voters agree on (Raft: Ongaro and Ousterhout, 2014, with
//! pre-vote and changes of one voter at a time as in Ongaro's thesis, 2014), followed by all other hosts; and a lease that
//! tells each host for how long what it has counts. Never wrong; it may stand still. No I/O, no clock: datagrams, the time
//! and the disk's word in; datagrams, writes and commits out. docs/agreement.md has the promise.

mod fault;
mod lease;
mod log;
mod parcels;
mod seat;
mod voter;

pub use fault::AgreeFault;
pub use lease::{Lease, Standing};
pub use log::{Base, Log};
pub use parcels::{Parcels, ParcelsSettings};
pub use seat::{Seat, SeatOutput, SeatSettings};
pub use tackmast_wire::agree::{Entry, Mark, Origin, Voters, What, Word, MAX_ENTRY, MAX_STATE, MAX_VOTERS};
pub use voter::{Hard, Held, Output, Refusal, Settings, Status, Voter, Write};
