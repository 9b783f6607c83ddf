//! The host's I/O: it moves bytes between client sessions, the host core, node links, peers and the endpoint list, and reads the clock.
//! All decisions are made in the host core. Threads have small stacks, channels are bounded, and the core thread never blocks on a peer.

#![warn(missing_docs, unreachable_pub)]

mod admin;
mod clock;
mod core_thread;
mod error;
mod host;
mod links;
mod list;
mod lock;
mod messages;
mod peers;
mod sessions;
mod startup;
mod store_writer;
mod thread;

pub use admin::AdminSocketError;
pub use clock::Clock;
pub use error::StartError;
pub use host::{DrainOutcome, Host};
pub use messages::Status;
