//! Emulators of the operators' platform on loopback: a node and an endpoint list over HTTP/1.1, each with faults on command, and a
//! client that sends whatever a test gives it. They share nothing with the host but the codec.

mod acceptor;
mod client;
mod endpoint_list;
mod node;
mod reserved_port;

pub use client::{HttpClient, Received};
pub use endpoint_list::{EndpointListFault, HttpEndpointList, ListMember, Poll};
pub use node::{HttpNode, NodeFault, ReceivedRequest};
pub use reserved_port::ReservedPort;

use std::time::Duration;

/// Bytes read from a socket at once.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// How long a thread waits for bytes, or for a change, before it looks at its other conditions again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(2);
