//! iSCSI-style and NBD target sessions as state machines without sockets, threads or clocks. A session takes the bytes
//! that its client sent and the host core's final answers, and returns events for the host core and bytes to write to the
//! client. The iSCSI side implements a subset of RFC 7143, which docs/protocols/iscsi.md lists.

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
