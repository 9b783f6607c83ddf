//! Block `host`: which host this is and where it listens.

use crate::checks::BlockChecks;
use crate::{ConfigError, Document};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// `host { ... }`
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// This host's number, from 0.
    pub number: u32,
    /// How many hosts share the pool.
    pub hosts: u32,
    /// Where clients connect with iSCSI.
    pub listen: SocketAddr,
    /// Where clients connect with NBD, where that is wanted.
    pub listen_nbd: Option<SocketAddr>,
    /// Where the node list answers.
    pub node_list: SocketAddr,
    /// Name of the iSCSI target.
    #[serde(default = "default_target")]
    pub target: String,
    /// How coarse the host's clock is taken to be.
    #[serde(rename = "tick_ms", default = "default_clock_resolution_ms")]
    pub clock_resolution_ms: f64,
    /// Time kept for an answer's way back to its client: it leaves the host that much before the deadline.
    #[serde(default = "default_answer_lead_ms")]
    pub answer_lead_ms: f64,
    /// Seed of random numbers; without one it is drawn at the start.
    pub seed: Option<u64>,
    /// File that keeps the node list as last received, for the next start.
    pub saved_list: Option<PathBuf>,
    /// Number of the site that this host is in; the other hosts are notified of it.
    pub site: Option<u32>,
}

fn default_target() -> String {
    "iqn.2026-12.org.tackmast:pool".to_owned()
}

fn default_clock_resolution_ms() -> f64 {
    2.0
}

fn default_answer_lead_ms() -> f64 {
    20.0
}

impl Identity {
    pub(crate) fn check(&self, document: &Document) -> Result<(), ConfigError> {
        let checks = BlockChecks::new(document, "host");
        checks.whole_number("hosts", u64::from(self.hosts), 1..=100_000)?;
        checks.whole_number("number", u64::from(self.number), 0..=u64::from(self.hosts) - 1)?;
        checks.whole_number("site", u64::from(self.site.unwrap_or(0)), 0..=100_000)?;
        checks.number("tick_ms", self.clock_resolution_ms, 0.1..=1000.0)?;
        checks.number("answer_lead_ms", self.answer_lead_ms, 0.0..=60_000.0)
    }
}
