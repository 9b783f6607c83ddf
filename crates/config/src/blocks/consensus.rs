//! Block `agreement`: consensus of hosts on changes of plans.

use super::{default_clock_drift, Identity, MembershipBlock, PlansBlock};
use crate::checks::BlockChecks;
use crate::{ConfigError, Document};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

/// How many hosts may vote.
const VOTERS: RangeInclusive<usize> = 1..=7;

/// `agreement { ... }`: changes of plans go through a replicated log that a few hosts vote on. Without the block the home
/// of the block `plans` takes them alone.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ConsensusBlock {
    /// Numbers of the initial voters; later the log itself has the configuration.
    pub voters: Vec<u32>,
    /// For how long a host's catalog is valid after it last asked: the longest for which two hosts go by changes that
    /// contradict each other.
    #[serde(default = "default_lease_s")]
    pub lease_s: f64,
    /// Time between two messages of a leader.
    #[serde(rename = "beat_ms", default = "default_heartbeat_interval_ms")]
    pub heartbeat_interval_ms: f64,
    /// Shortest time without a message of a leader after which there is an election.
    #[serde(rename = "patience_ms", default = "default_election_timeout_ms")]
    pub election_timeout_ms: f64,
    /// Part by which steady clocks may run apart.
    #[serde(default = "default_clock_drift")]
    pub drift: f64,
}

fn default_lease_s() -> f64 {
    5.0
}

fn default_heartbeat_interval_ms() -> f64 {
    100.0
}

fn default_election_timeout_ms() -> f64 {
    1000.0
}

impl ConsensusBlock {
    /// Reads and checks the block, if it is there.
    pub(crate) fn read(
        document: &Document,
        host: &Identity,
        plans: Option<&PlansBlock>,
        membership: Option<&MembershipBlock>,
    ) -> Result<Option<ConsensusBlock>, ConfigError> {
        let Some(block) = document.optional_block::<ConsensusBlock>("agreement")? else { return Ok(None) };
        let checks = BlockChecks::new(document, "agreement");
        block.check_times(&checks)?;
        block.check_voters(&checks, host)?;
        for (name, is_there) in [("plans", plans.is_some()), ("membership", membership.is_some())] {
            if !is_there {
                let expected = "one: hosts agree on plans, over its way";
                return Err(checks.block_error(format!("no {name} block"), expected));
            }
        }
        Ok(Some(block))
    }

    fn check_times(&self, checks: &BlockChecks) -> Result<(), ConfigError> {
        let min_election_timeout_ms = 2.0 * self.heartbeat_interval_ms;
        checks.number("lease_s", self.lease_s, 0.2..=600.0)?;
        checks.number("beat_ms", self.heartbeat_interval_ms, 5.0..=10_000.0)?;
        checks.number("patience_ms", self.election_timeout_ms, min_election_timeout_ms..=60_000.0)?;
        checks.number("drift", self.drift, 0.0..=0.1)
    }

    fn check_voters(&self, checks: &BlockChecks, host: &Identity) -> Result<(), ConfigError> {
        let distinct: BTreeSet<u32> = self.voters.iter().copied().collect();
        let is_distinct = distinct.len() == self.voters.len();
        let are_hosts = distinct.iter().all(|voter| *voter < host.hosts);
        if VOTERS.contains(&distinct.len()) && is_distinct && are_hosts {
            return Ok(());
        }
        let expected = format!("1 to 7 different numbers below {}", host.hosts);
        Err(checks.error("voters", format!("{:?}", self.voters), &expected))
    }
}
