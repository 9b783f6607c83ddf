//! Block `bounds`: what each table and queue may hold, and how long peers may be silent.

use crate::checks::BlockChecks;
use crate::{ConfigError, Document};
use serde::Deserialize;

/// `bounds { ... }`: what each table and queue may hold. What is over a bound is rejected.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Sessions of clients.
    pub sessions: usize,
    /// Commands open in one session.
    pub window: u32,
    /// Requests open at the host.
    #[serde(rename = "transfers")]
    pub requests: usize,
    /// Bytes of the requests open at the host.
    pub bytes: usize,
    /// Bytes of one command.
    pub command_bytes: u32,
    /// Bytes of immediate data.
    pub first_burst: u32,
    /// Bytes of one data unit.
    pub segment: u32,
    /// Bytes of one solicited sequence.
    pub burst: u32,
    /// Parts of one command, where it touches several extents.
    pub parts: usize,
    /// Nodes of the node list.
    pub nodes: usize,
    /// Connections to one node.
    pub links: usize,
    /// Attempts waiting to be written on each connection to a node.
    pub link_queue: usize,
    /// Bytes in flight on one connection to a node: what was sent can't be taken back.
    pub link_bytes: u32,
    /// Time in which a connection to a node must be open.
    pub connect_ms: u64,
    /// Time after which a client that takes no byte is disconnected.
    pub client_stall_ms: u64,
    /// Time after which a silent connection to a node is closed.
    pub link_silence_ms: u64,
    /// Time a client may take to log in.
    pub login_ms: u64,
    /// Time that open requests have when the host is asked to end.
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
