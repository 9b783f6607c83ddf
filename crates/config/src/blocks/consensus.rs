//! Block `agreement`: consensus of hosts on changes of plans.

use super::{default_clock_drift, Identity, MembershipBlock, PlansBlock};
use crate::checks::BlockChecks;
use crate::{ConfigError, Document};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

/// The number of voters that a group may have.
const VOTER_COUNT: RangeInclusive<usize> = 1..=7;

/// `agreement { ... }`: changes of plans go through a replicated log on which a few hosts vote. Without the block, the home
/// in the block `plans` accepts them alone.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ConsensusBlock {
    /// Numbers of the initial voters. Later changes of the voters are in the log.
    pub voters: Vec<u32>,
    /// How long a host's catalog is valid after the host last requested the newest. This bounds how long two hosts can use
    /// contradictory changes.
    #[serde(default = "default_lease_s")]
    pub lease_s: f64,
    /// Time between two heartbeats of a leader.
    #[serde(rename = "beat_ms", default = "default_heartbeat_interval_ms")]
    pub heartbeat_interval_ms: f64,
    /// Shortest time without a message of a leader after which a voter starts an election.
    #[serde(rename = "patience_ms", default = "default_election_timeout_ms")]
    pub election_timeout_ms: f64,
    /// Fraction by which the rates of two hosts' monotonic clocks may differ.
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
    /// Reads and checks the block. Returns `None` if it is missing.
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
        for (name, is_present) in [("plans", plans.is_some()), ("membership", membership.is_some())] {
            if !is_present {
                let expected = "one: consensus on changes of plans needs plans and membership";
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
        if VOTER_COUNT.contains(&distinct.len()) && is_distinct && are_hosts {
            return Ok(());
        }
        let expected = format!("1 to 7 different numbers below {}", host.hosts);
        Err(checks.error("voters", format!("{:?}", self.voters), &expected))
    }
}
