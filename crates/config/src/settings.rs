//! All settings of one host: the blocks, and the order in which they are read and checked.

use crate::blocks::{
    Bounds, ConsensusBlock, Identity, Load, MembershipBlock, OverridesBlock, Plan, PlansBlock, RetryBudget,
    SlowStartBlock, TrafficClass, Units, Volume, VolumeContext,
};
use crate::checks::BlockChecks;
use crate::{read_text, ConfigError, Document};
use std::path::Path;

/// The kinds of blocks that a settings file may have.
const BLOCK_KINDS: [&str; 13] = [
    "host",
    "bounds",
    "units",
    "load",
    "further_legs",
    "cold_nodes",
    "overrides",
    "membership",
    "agreement",
    "plans",
    "stream",
    "plan",
    "volume",
];

/// All settings of one host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// The number of this host and the addresses it listens on.
    pub host: Identity,
    /// The bounds of tables, queues and timeouts.
    pub bounds: Bounds,
    /// How the size of a request is counted.
    pub units: Units,
    /// Properties of the nodes and clients of the pool.
    pub load: Load,
    /// The bound of retries and hedged requests; `None`: their number is not bounded.
    pub retry_budget: Option<RetryBudget>,
    /// The slow start of nodes; `None`: nodes have their full capacity when they start.
    pub slow_start: Option<SlowStartBlock>,
    /// Operators' overrides; `None`: the host accepts none.
    pub overrides: Option<OverridesBlock>,
    /// Membership of hosts; `None`: the host knows no other.
    pub membership: Option<MembershipBlock>,
    /// Changes of plans while hosts run; `None`: the plans are always those of these settings.
    pub plans_live: Option<PlansBlock>,
    /// Consensus on changes of plans; `None`: the home of `plans_live` accepts them alone.
    pub consensus: Option<ConsensusBlock>,
    /// The traffic classes, at least one.
    pub traffic_classes: Vec<TrafficClass>,
    /// The plans, at least one.
    pub plans: Vec<Plan>,
    /// The volumes, at least one.
    pub volumes: Vec<Volume>,
}

impl HostSettings {
    /// Reads, parses and checks a settings file.
    pub fn read(path: &Path) -> Result<HostSettings, ConfigError> {
        let text = read_text(path, "a settings file")?;
        HostSettings::parse(&path.display().to_string(), &text)
    }

    /// Parses and checks a text. `file` is its name in errors. If several values are wrong, the error is about the first
    /// that is checked.
    pub fn parse(file: &str, text: &str) -> Result<HostSettings, ConfigError> {
        let document = Document::parse(file, text)?;
        document.require_known_blocks(&BLOCK_KINDS)?;
        let mut settings = HostSettings::read_independent_blocks(&document)?;
        settings.check_independent_blocks(&document)?;
        settings.read_dependent_blocks(&document)?;
        settings.check_attempt_blocks(&document)?;
        settings.read_lists(&document)?;
        settings.check_lists(&document)?;
        Ok(settings)
    }

    /// Reads the blocks without labels that are read without another block. All other settings are left empty.
    fn read_independent_blocks(document: &Document) -> Result<HostSettings, ConfigError> {
        Ok(HostSettings {
            host: document.block("host")?,
            bounds: document.block_or_default("bounds")?,
            units: document.block("units")?,
            load: document.block_or_default("load")?,
            retry_budget: document.optional_block("further_legs")?,
            slow_start: document.optional_block("cold_nodes")?,
            overrides: document.optional_block("overrides")?,
            membership: document.optional_block("membership")?,
            plans_live: None,
            consensus: None,
            traffic_classes: Vec::new(),
            plans: Vec::new(),
            volumes: Vec::new(),
        })
    }

    fn check_independent_blocks(&self, document: &Document) -> Result<(), ConfigError> {
        self.host.check(document)?;
        self.bounds.check(document)?;
        self.units.check(document)?;
        self.load.check(document)?;
        self.overrides.as_ref().map_or(Ok(()), |block| block.check(document))?;
        self.membership.as_ref().map_or(Ok(()), |block| block.check(document))
    }

    /// Reads and checks the blocks that require other blocks.
    fn read_dependent_blocks(&mut self, document: &Document) -> Result<(), ConfigError> {
        self.plans_live = PlansBlock::read(document, &self.host, self.overrides.as_ref())?;
        self.consensus =
            ConsensusBlock::read(document, &self.host, self.plans_live.as_ref(), self.membership.as_ref())?;
        Ok(())
    }

    /// Checks the blocks that limit attempts at nodes.
    fn check_attempt_blocks(&self, document: &Document) -> Result<(), ConfigError> {
        self.retry_budget.as_ref().map_or(Ok(()), |block| block.check(document))?;
        self.slow_start.as_ref().map_or(Ok(()), |block| block.check(document))
    }

    /// Reads and checks the kinds of blocks that can appear several times. Each kind may refer to those read before it.
    fn read_lists(&mut self, document: &Document) -> Result<(), ConfigError> {
        self.traffic_classes = TrafficClass::read_all(document, &self.host)?;
        self.plans = Plan::read_all(document, &self.units)?;
        let context = VolumeContext {
            host: &self.host,
            units: &self.units,
            plans_live: self.plans_live.as_ref(),
            traffic_classes: &self.traffic_classes,
            plans: &self.plans,
        };
        self.volumes = Volume::read_all(document, &context)?;
        Ok(())
    }

    fn check_lists(&self, document: &Document) -> Result<(), ConfigError> {
        for (kind, is_empty) in [
            ("stream", self.traffic_classes.is_empty()),
            ("plan", self.plans.is_empty()),
            ("volume", self.volumes.is_empty()),
        ] {
            if is_empty {
                return Err(BlockChecks::new(document, kind).block_error("none", "one such block or more"));
            }
        }
        Ok(())
    }
}
