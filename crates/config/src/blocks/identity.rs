//! Block `host`: the number of this host and the addresses it listens on.

use crate::checks::BlockChecks;
use crate::{ConfigError, Document};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// `host { ... }`: the number of this host, the addresses it listens on, and its clock.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// The number of this host, from 0 to `hosts` - 1.
    pub number: u32,
    /// The number of hosts that share the pool.
    pub hosts: u32,
    /// Address to which clients connect with iSCSI.
    pub listen: SocketAddr,
    /// Address to which clients connect with NBD; `None`: the host does not serve NBD.
    pub listen_nbd: Option<SocketAddr>,
    /// Address of the service that provides the node list.
    pub node_list: SocketAddr,
    /// Name of the iSCSI target.
    #[serde(default = "default_target")]
    pub target: String,
    /// Assumed resolution of the host's clock.
    #[serde(rename = "tick_ms", default = "default_clock_resolution_ms")]
    pub clock_resolution_ms: f64,
    /// Time reserved for the transmission of an answer to its client: the answer leaves the host this long before the
    /// deadline.
    #[serde(default = "default_answer_lead_ms")]
    pub answer_lead_ms: f64,
    /// Seed of random numbers; `None`: it is chosen at random when the host starts.
    pub seed: Option<u64>,
    /// File in which the last received node list is saved for the next start.
    pub saved_list: Option<PathBuf>,
    /// Number of the site that this host is in. The host sends it to its peers.
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
