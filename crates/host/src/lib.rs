//! The host's I/O: it moves bytes between client sessions, the host core, node links, peers and the node list, and reads the clock. It
//! holds no rule. Threads have small stacks, channels have bounds, and the core's thread never waits for a peer.

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
