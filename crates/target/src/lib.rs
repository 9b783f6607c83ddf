//! An iSCSI-style target session without sockets, threads or clocks: bytes in, events for the host core out,
//! answers of the host core in, bytes out. A named subset of RFC 7143: docs/protocols/iscsi.md lists it.

mod any;
mod nbd;
mod negotiate;
mod session;

pub use any::AnySession;
pub use nbd::{NbdSession, ADDITIONS};
pub use negotiate::{units, Agreed, Offer, COMMAND_KEY, DEADLINE_KEY, DELAY_KEY};
pub use session::{Ending, Event, Session, SessionError, Verdict, Work};
