//! Block `membership`: how hosts know of each other.

use super::default_clock_drift;
use crate::checks::{BlockChecks, DAY_S};
use crate::{ConfigError, Document};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Bytes of the longest name of a fleet.
const MAX_FLEET_LEN: usize = 32;

/// `membership { ... }`: hosts that know of each other. Without the block the host knows of none.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MembershipBlock {
    /// Where peers' datagrams are received.
    pub listen: SocketAddr,
    /// Where peers reach this host, if that is not `listen`: behind a translation of addresses.
    pub advertise: Option<SocketAddr>,
    /// Name of the fleet; datagrams of any other are dropped.
    pub fleet: String,
    /// Hosts that are asked first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Prefixes of peers, one or more.
    pub admit: Vec<ipnet::IpNet>,
    /// Protocol period: time between two probes of peers.
    #[serde(default = "default_period_ms")]
    pub period_ms: f64,
    /// For how long a part of a limit is lent. Hosts of a fleet have the same.
    #[serde(default = "default_term_s")]
    pub term_s: f64,
    /// For how long a part of a limit is lent when a host leaves in order. Hosts of a fleet have the same.
    #[serde(default = "default_leave_s")]
    pub leave_s: f64,
    /// Part by which steady clocks may run apart.
    #[serde(default = "default_clock_drift")]
    pub drift: f64,
    /// File that marks a leave for the next generation; without it nothing is lent when the host leaves.
    pub left_file: Option<PathBuf>,
}

fn default_period_ms() -> f64 {
    500.0
}

fn default_term_s() -> f64 {
    2.0
}

fn default_leave_s() -> f64 {
    60.0
}

impl MembershipBlock {
    pub(crate) fn check(&self, document: &Document) -> Result<(), ConfigError> {
        let checks = BlockChecks::new(document, "membership");
        checks.number("period_ms", self.period_ms, 20.0..=60_000.0)?;
        checks.number("term_s", self.term_s, 0.2..=60.0)?;
        checks.number("leave_s", self.leave_s, self.term_s..=DAY_S)?;
        checks.number("drift", self.drift, 0.0..=0.1)?;
        self.check_peers(&checks)
    }

    fn check_peers(&self, checks: &BlockChecks) -> Result<(), ConfigError> {
        let unreachable = |address: &SocketAddr| address.port() == 0 || address.ip().is_unspecified();
        if let Some(address) = self.advertise.filter(unreachable) {
            let expected = "an address and port at which peers reach this host";
            return Err(checks.error("advertise", address, expected));
        }
        if self.admit.is_empty() {
            return Err(checks.error("admit", "[]", "one prefix of peers or more"));
        }
        if self.fleet.is_empty() || self.fleet.len() > MAX_FLEET_LEN {
            return Err(checks.error("fleet", format!("{:?}", self.fleet), "a name of 1 to 32 bytes"));
        }
        Ok(())
    }
}
