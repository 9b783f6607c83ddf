//! iSCSI-style and NBD target sessions without sockets, threads or clocks: bytes of the client in, events for the host core out, answers
//! of the host core in, bytes for the client out. The iSCSI side is a named subset of RFC 7143: docs/protocols/iscsi.md lists it.

#![warn(missing_docs, unreachable_pub)]

mod any_session;
mod error;
mod event;
mod iscsi;
mod nbd;
mod offer;

pub use any_session::AnySession;
pub use error::SessionError;
pub use event::{Ending, Event, Note, Verdict, Work};
pub use iscsi::IscsiSession;
pub use nbd::NbdSession;
pub use offer::{units, Offer};
