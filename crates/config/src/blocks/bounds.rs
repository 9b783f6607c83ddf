//! Block `bounds`: the bounds of tables, queues and timeouts.

use crate::checks::BlockChecks;
use crate::{ConfigError, Document};
use serde::Deserialize;

/// `bounds { ... }`: the bounds of tables, queues and timeouts. What exceeds a bound is rejected.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Maximum number of client sessions.
    pub sessions: usize,
    /// Maximum number of open commands in one session.
    pub window: u32,
    /// Maximum number of requests open at the host.
    #[serde(rename = "transfers")]
    pub requests: usize,
    /// Maximum total size of the requests open at the host, in bytes.
    pub bytes: usize,
    /// Maximum size of one command, in bytes.
    pub command_bytes: u32,
    /// Maximum size of immediate data, in bytes.
    pub first_burst: u32,
    /// Maximum size of one data segment, in bytes.
    pub segment: u32,
    /// Maximum size of one solicited data sequence, in bytes.
    pub burst: u32,
    /// Maximum number of parts of a command that covers several extents.
    pub parts: usize,
    /// Maximum number of nodes in the node list.
    pub nodes: usize,
    /// Number of connections to each node.
    pub links: usize,
    /// Maximum number of attempts that wait to be written to one connection to a node.
    pub link_queue: usize,
    /// Maximum number of bytes in flight on one connection to a node. They are bounded because bytes that were sent can't be
    /// withdrawn.
    pub link_bytes: u32,
    /// Time within which a connection to a node must be established.
    pub connect_ms: u64,
    /// Time after which a client that accepts no byte is disconnected.
    pub client_stall_ms: u64,
    /// Time after which a silent connection to a node is closed.
    pub link_silence_ms: u64,
    /// Time within which a client must log in.
    pub login_ms: u64,
    /// Time that open requests have to finish when the host shuts down.
    pub drain_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            sessions: 4096,
            window: 128,
            requests: 65_536,
            bytes: 1 << 30,
            command_bytes: 1 << 20,
            first_burst: 65_536,
            segment: 262_144,
            burst: 262_144,
            parts: 16,
            nodes: 4096,
            links: 2,
            link_queue: 256,
            link_bytes: 65_536,
            connect_ms: 250,
            client_stall_ms: 10_000,
            link_silence_ms: 5_000,
            login_ms: 5_000,
            drain_ms: 5_000,
        }
    }
}

impl Bounds {
    pub(crate) fn check(&self, document: &Document) -> Result<(), ConfigError> {
        let checks = BlockChecks::new(document, "bounds");
        for (name, value, range) in [
            ("sessions", self.sessions as u64, 1..=60_000),
            ("window", u64::from(self.window), 1..=65_536),
            ("transfers", self.requests as u64, 1..=1 << 24),
            ("bytes", self.bytes as u64, 1 << 16..=1 << 40),
            ("command_bytes", u64::from(self.command_bytes), 512..=8 << 20),
            ("first_burst", u64::from(self.first_burst), 512..=8 << 20),
            ("segment", u64::from(self.segment), 512..=8 << 20),
            ("burst", u64::from(self.burst), 512..=8 << 20),
            ("parts", self.parts as u64, 1..=1024),
            ("nodes", self.nodes as u64, 1..=1 << 20),
            ("links", self.links as u64, 1..=64),
            ("link_queue", self.link_queue as u64, 1..=65_536),
            ("link_bytes", u64::from(self.link_bytes), 4096..=16 << 20),
            ("connect_ms", self.connect_ms, 1..=60_000),
            ("client_stall_ms", self.client_stall_ms, 10..=3_600_000),
            ("link_silence_ms", self.link_silence_ms, 10..=3_600_000),
            ("login_ms", self.login_ms, 10..=600_000),
            ("drain_ms", self.drain_ms, 0..=600_000),
        ] {
            checks.whole_number(name, value, range)?;
        }
        if self.first_burst > self.burst {
            let expected = format!("at most burst, {}", self.burst);
            return Err(checks.error("first_burst", self.first_burst, &expected));
        }
        Ok(())
    }
}
