//! The host on the operators' platform: one readiness loop that owns the core, the clients' connections, those to nodes,
//! the watch of the node list, and the signals. It moves bytes and reads the clock; nothing is decided here.
//! docs/host.md tells why there are no threads.

mod clients;
pub mod ending;
pub mod keepers;
mod links;
mod poller;
pub mod pool;
mod serve;
mod watch;
mod wire;

pub use clients::ClientCounters;
pub use links::LinkCounters;
pub use serve::{Host, Order, Status};
