//! The host on the operators' platform: a single-threaded event loop that owns the host core, the connections of clients and to
//! nodes, the watch of the endpoint list, and the signals of the process. This package performs I/O and reads the clock. The
//! scheduler in the core decides which request is sent to which node, and when. docs/host.md explains why there are no threads.

#![warn(missing_docs, unreachable_pub)]

mod client_connection;
mod client_connections;
mod close_reason;
mod eviction;
mod host;
mod idle_connections;
mod list_watch;
mod node_connection;
mod node_connections;
mod poller;
mod request_ids;
mod resource_budget;
mod service_rate_replication;
mod shutdown_schedule;
mod sockets;

pub use client_connections::ClientCounters;
pub use host::{Host, OpenCounts, ProcessSignal, StartError, Status};
pub use node_connection::NodeConnectionCounters;
