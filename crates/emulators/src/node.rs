//! A storage node on loopback: the node protocol in front of the model and the stored bytes, and the faults that only sockets have.
//! It records what it sees.
//!
//! | file | job |
//! | --- | --- |
//! | `settings` | what a node is started with |
//! | `fault` | faults and their commands |
//! | `process` | start, death and restart; the loop that runs the model |
//! | `link` | a connection of a host: reading, and bytes that the node leaves unread |
//! | `frames` | what is done with each frame |
//! | `answers` | effects and answers of attempts that have ended |
//! | `idempotency_keys` | which repeats are discarded |

mod answers;
mod fault;
mod frames;
mod idempotency_keys;
mod link;
mod process;
mod settings;
#[cfg(test)]
mod tests;
mod unread_bytes;

pub use fault::{Fault, InvalidFault};
pub use idempotency_keys::IdempotencyKeys;
pub use settings::NodeSettings;

use process::Process;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tackmast_wire::list::{Entry, State};

/// A running node, until `stop` is called.
#[derive(Clone)]
pub struct Node(Arc<Process>);

impl Node {
    /// Starts a node.
    pub fn start(settings: NodeSettings) -> io::Result<Node> {
        Process::start(settings).map(Node)
    }

    /// The address at which hosts reach the node, which is its name too.
    pub fn address(&self) -> SocketAddr {
        self.0.advertised_address()
    }

    /// The address at which the node itself listens.
    pub fn own_address(&self) -> SocketAddr {
        self.0.address
    }

    /// When the node last started, in microseconds of Unix time; 0: long ago.
    pub fn started_us(&self) -> u64 {
        self.0.started_us()
    }

    /// Whether its process runs.
    pub fn is_up(&self) -> bool {
        self.0.is_up()
    }

    /// Whether the node was overloaded while it warmed up.
    pub fn has_collapsed(&self) -> bool {
        self.0.has_collapsed()
    }

    /// The shard that the node holds.
    pub fn shard(&self) -> u32 {
        self.0.settings.shard
    }

    /// The node's zone.
    pub fn zone(&self) -> u32 {
        self.0.settings.zone
    }

    /// The node's entry in the endpoint list, where it is ready.
    pub fn list_entry(&self) -> Entry {
        Entry {
            address: self.address().to_string(),
            state: State::Ready,
            zone: self.zone(),
            shard: self.shard(),
            started_us: self.started_us(),
        }
    }

    /// Injects a fault.
    pub fn set(&self, fault: &Fault) {
        self.0.set(fault);
    }

    /// Ends the node for good.
    pub fn stop(&self) {
        self.0.stop();
    }
}
