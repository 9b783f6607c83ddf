//! Block `membership`: how hosts detect each other and their failures.

use super::default_clock_drift;
use crate::checks::{BlockChecks, DAY_S};
use crate::{ConfigError, Document};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Maximum length of the name of a fleet, in bytes.
const MAX_FLEET_LEN: usize = 32;

/// `membership { ... }`: how hosts detect each other and their failures. Without the block, the host knows no other.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MembershipBlock {
    /// Address on which the host receives datagrams of its peers.
    pub listen: SocketAddr,
    /// Address to which peers send, if it differs from `listen`, as behind network address translation.
    pub advertise: Option<SocketAddr>,
    /// Name of the fleet. Datagrams of other fleets are dropped.
    pub fleet: String,
    /// Addresses of hosts that are contacted first when the host starts.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address prefixes from which peers are accepted, at least one.
    pub admit: Vec<ipnet::IpNet>,
    /// Protocol period: the time between two probes of peers.
    #[serde(default = "default_period_ms")]
    pub period_ms: f64,
    /// Term of a quota lease. All hosts of a fleet must have the same value.
    #[serde(default = "default_term_s")]
    pub term_s: f64,
    /// Term of the quota leases that a host grants when it leaves gracefully. All hosts of a fleet must have the same value.
    #[serde(default = "default_leave_s")]
    pub leave_s: f64,
    /// Fraction by which the rates of two hosts' monotonic clocks may differ.
    #[serde(default = "default_clock_drift")]
    pub drift: f64,
    /// File that records a leave for the next generation. Without it, a leaving host grants no quota leases.
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
