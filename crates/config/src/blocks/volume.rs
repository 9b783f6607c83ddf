//! Blocks `volume`: size, placement and traffic classes of a volume.

use super::{Identity, Plan, PlansBlock, TrafficClass, Units};
use crate::checks::BlockChecks;
use crate::document::LabelledBlock;
use crate::{ConfigError, Document};
use serde::Deserialize;
use std::collections::BTreeSet;

/// The greatest logical unit number in the flat space addressing of SAM-5.
const MAX_LUN: u32 = 0x3fff;
/// The maximum size of a volume in bytes.
const MAX_VOLUME_BYTES: u64 = 1 << 56;

/// `volume "name" { ... }`: its traffic classes and its plan are indices into those of the settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Volume {
    /// The label of the block.
    pub name: String,
    /// Logical unit number, by which clients address the volume.
    pub lun: u32,
    /// Index of the volume's plan.
    pub plan: u32,
    /// Number of blocks.
    pub blocks: u64,
    /// Number of bytes in a block.
    pub block_bytes: u32,
    /// Number of blocks in an extent.
    pub extent_blocks: u64,
    /// Numbers of the volume's shards. Extent `n` is on the shard at index `n` modulo the length.
    pub shards: Vec<u32>,
    /// Number of hosts that receive requests for the volume.
    pub hosts: u32,
    /// Numbers of these hosts; may be empty. Only hosts that are named grant each other quota leases of the volume's limit.
    pub through: Vec<u32>,
    /// Index of the traffic class of reads.
    pub reads: u32,
    /// Index of the traffic class of writes.
    pub writes: u32,
    /// Traffic class of large reads; `None`: they have the class in `reads`.
    pub large: Option<LargeReads>,
}

/// The reads that have a traffic class of their own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LargeReads {
    /// Number of blocks of the smallest such read.
    pub min_blocks: u32,
    /// Index of the traffic class of such reads.
    pub traffic_class: u32,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct VolumeBlock {
    lun: u32,
    plan: String,
    blocks: u64,
    #[serde(default = "default_block_bytes")]
    block_bytes: u32,
    extent_blocks: u64,
    shards: Vec<u32>,
    hosts: u32,
    #[serde(default)]
    through: Vec<u32>,
    reads: String,
    writes: String,
    large_reads: Option<String>,
    large_from_blocks: Option<u32>,
}

fn default_block_bytes() -> u32 {
    512
}

/// The settings that volumes are checked against.
pub(crate) struct VolumeContext<'a> {
    pub(crate) host: &'a Identity,
    pub(crate) units: &'a Units,
    pub(crate) plans_live: Option<&'a PlansBlock>,
    pub(crate) traffic_classes: &'a [TrafficClass],
    pub(crate) plans: &'a [Plan],
}

impl Volume {
    /// Reads and checks all volumes.
    pub(crate) fn read_all(document: &Document, context: &VolumeContext) -> Result<Vec<Volume>, ConfigError> {
        let mut luns = BTreeSet::new();
        let blocks = document.labelled_blocks::<VolumeBlock>("volume")?;
        blocks
            .into_iter()
            .map(|LabelledBlock { label, value }| {
                let checks = BlockChecks::labelled(document, "volume", &label);
                value.check_lun(&checks, &mut luns)?;
                value.check_size(&checks)?;
                value.volume(&checks, &label, context)
            })
            .collect()
    }
}

impl VolumeBlock {
    fn check_lun(&self, checks: &BlockChecks, luns: &mut BTreeSet<u32>) -> Result<(), ConfigError> {
        if self.lun > MAX_LUN || !luns.insert(self.lun) {
            return Err(checks.error("lun", self.lun, "a number up to 16383 that no other volume has"));
        }
        Ok(())
    }

    fn check_size(&self, checks: &BlockChecks) -> Result<(), ConfigError> {
        if !self.block_bytes.is_power_of_two() || !(512..=65_536).contains(&self.block_bytes) {
            return Err(checks.error("block_bytes", self.block_bytes, "a power of two from 512 to 65536"));
        }
        let bytes = self.blocks.checked_mul(u64::from(self.block_bytes));
        if self.blocks == 0 || bytes.is_none_or(|bytes| bytes > MAX_VOLUME_BYTES) {
            return Err(checks.error("blocks", self.blocks, "1 or more, and at most 2^56 bytes"));
        }
        if self.extent_blocks == 0 {
            return Err(checks.error("extent_blocks", 0, "1 or more"));
        }
        if self.shards.is_empty() {
            return Err(checks.error("shards", "[]", "the numbers of one shard or more"));
        }
        Ok(())
    }

    fn volume(
        self,
        checks: &BlockChecks,
        name: &str,
        context: &VolumeContext,
    ) -> Result<Volume, ConfigError> {
        self.check_host_count(checks, context.host)?;
        let plan = self.plan_index(checks, context.plans)?;
        self.check_through(checks, context)?;
        self.check_burst_share(checks, &context.plans[plan], context.units)?;
        let large = self.large_reads(checks, context.traffic_classes)?;
        let traffic_class = |key, wanted: &str| index_of(checks, key, wanted, context.traffic_classes);
        Ok(Volume {
            name: name.to_owned(),
            lun: self.lun,
            plan: plan as u32,
            blocks: self.blocks,
            block_bytes: self.block_bytes,
            extent_blocks: self.extent_blocks,
            reads: traffic_class("reads", &self.reads)?,
            writes: traffic_class("writes", &self.writes)?,
            shards: self.shards,
            hosts: self.hosts,
            through: self.through,
            large,
        })
    }

    fn check_host_count(&self, checks: &BlockChecks, host: &Identity) -> Result<(), ConfigError> {
        if self.hosts == 0 || self.hosts > host.hosts {
            let expected = format!("1 to {}, the hosts of the pool", host.hosts);
            return Err(checks.error("hosts", self.hosts, &expected));
        }
        Ok(())
    }

    fn plan_index(&self, checks: &BlockChecks, plans: &[Plan]) -> Result<usize, ConfigError> {
        let index = plans.iter().position(|plan| plan.name == self.plan);
        index.ok_or_else(|| checks.error("plan", format!("\"{}\"", self.plan), "the name of a plan block"))
    }

    fn check_through(&self, checks: &BlockChecks, context: &VolumeContext) -> Result<(), ConfigError> {
        if self.through.is_empty() {
            return match context.plans_live {
                Some(_) => {
                    let expected = "the numbers of its hosts, as there is a plans block";
                    Err(checks.error("through", "none", expected))
                }
                None => Ok(()),
            };
        }
        let distinct: BTreeSet<u32> = self.through.iter().copied().collect();
        let are_distinct_and_complete =
            distinct.len() == self.hosts as usize && distinct.len() == self.through.len();
        if !are_distinct_and_complete || distinct.iter().any(|number| *number >= context.host.hosts) {
            let expected = format!("{} different numbers below {}", self.hosts, context.host.hosts);
            return Err(checks.error("through", format!("{:?}", self.through), &expected));
        }
        Ok(())
    }

    /// Checks that the largest request fits into a host's share of the burst. A larger one would never be admitted.
    fn check_burst_share(&self, checks: &BlockChecks, plan: &Plan, units: &Units) -> Result<(), ConfigError> {
        if plan.is_limited() && plan.burst / f64::from(self.hosts) < units.max_per_request {
            let found = format!("{} hosts share a burst of {}", self.hosts, plan.burst);
            let expected = format!("{} units or more for each", units.max_per_request);
            return Err(checks.error("hosts", found, &expected));
        }
        Ok(())
    }

    fn large_reads(
        &self,
        checks: &BlockChecks,
        traffic_classes: &[TrafficClass],
    ) -> Result<Option<LargeReads>, ConfigError> {
        match (&self.large_reads, self.large_from_blocks) {
            (None, None) => Ok(None),
            (Some(name), Some(min_blocks)) => {
                let traffic_class = index_of(checks, "large_reads", name, traffic_classes)?;
                Ok(Some(LargeReads { min_blocks, traffic_class }))
            }
            _ => {
                let expected = "large_reads and large_from_blocks together";
                Err(checks.error("large_reads", "alone", expected))
            }
        }
    }
}

/// Returns the index of the traffic class that an attribute names.
fn index_of(
    checks: &BlockChecks,
    attribute: &str,
    wanted: &str,
    traffic_classes: &[TrafficClass],
) -> Result<u32, ConfigError> {
    let index = traffic_classes.iter().position(|traffic_class| traffic_class.name == wanted);
    index
        .map(|index| index as u32)
        .ok_or_else(|| checks.error(attribute, format!("\"{wanted}\""), "the name of a stream block"))
}
