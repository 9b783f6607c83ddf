//! Reads a script and checks it whole.

use super::action::{Action, ScheduledFault};
use super::fault_block::FaultBlock;
use super::host_file::{host_text, placeholder_membership_block};
use super::invalid_value::InvalidValue;
use super::nodes_block::NodesBlock;
use super::scenario_block::ScenarioBlock;
use super::traffic_block::TrafficBlock;
use super::{names_node_of, Script};
use serde::Deserialize;
use std::path::Path;
use tackmast_config::{read_text, ConfigError, Document, HostSettings};

/// Blocks of a script that go into the settings of each host.
const HOST_BLOCKS: [&str; 10] = [
    "agreement",
    "bounds",
    "units",
    "load",
    "further_legs",
    "cold_nodes",
    "plans",
    "stream",
    "plan",
    "volume",
];
/// All blocks that a script may have.
const KNOWN_BLOCKS: [&str; 16] = [
    "agreement",
    "plans",
    "bounds",
    "units",
    "load",
    "further_legs",
    "cold_nodes",
    "stream",
    "plan",
    "volume",
    "day",
    "nodes",
    "list",
    "traffic",
    "trouble",
    "host_extra",
];
/// Stands for each host's own block `overrides` where settings are only checked.
const PLACEHOLDER_OVERRIDES_BLOCK: &str = "\noverrides {\n  store = \"\"\n  admin = \"\"\n}\n";

/// `list { ... }`
#[derive(Debug, Clone, Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct ListBlock {
    #[serde(rename = "late_s")]
    delay_s: f64,
}

/// `host_extra { ... }`: attributes that go into each host's own block.
#[derive(Debug, Clone, Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct HostExtraBlock {
    answer_lead_ms: Option<f64>,
    #[serde(rename = "tick_ms")]
    clock_resolution_ms: Option<f64>,
}

impl HostExtraBlock {
    fn attributes(&self) -> String {
        let values = [("answer_lead_ms", self.answer_lead_ms), ("tick_ms", self.clock_resolution_ms)];
        let line = |(name, value): (&str, Option<f64>)| value.map(|value| format!("  {name} = {value}\n"));
        values.into_iter().filter_map(line).collect()
    }
}

impl Script {
    /// Reads a script and the base file that it names.
    pub fn read(path: &Path) -> Result<Script, ConfigError> {
        Script::read_sized(path, None)
    }

    /// Reads a script; `hosts` replaces its number of hosts.
    pub fn read_sized(path: &Path, hosts: Option<u32>) -> Result<Script, ConfigError> {
        let file = path.display().to_string();
        let text = read_text(path, "the script of a day")?;
        let document = Document::parse(&file, &text)?;
        let scenario: ScenarioBlock = document.block("day")?;
        match scenario.base {
            None => Script::parse_sized(&file, &text, hosts),
            Some(base) => Script::parse_with_base(&file, &text, &document, &path.with_file_name(base), hosts),
        }
    }

    /// Appends the blocks of the base file of which the script has none.
    fn parse_with_base(
        file: &str,
        text: &str,
        document: &Document,
        base: &Path,
        hosts: Option<u32>,
    ) -> Result<Script, ConfigError> {
        let base_file = base.display().to_string();
        let base_text = std::fs::read_to_string(base).map_err(|error| {
            let found = format!("{base_file}: {error}");
            InvalidValue::new("base", found, "a file of blocks").in_block(document, "day", "")
        })?;
        let base_document = Document::parse(&base_file, &base_text)?;
        base_document.require_known_blocks(&KNOWN_BLOCKS)?;
        let missing: Vec<&str> = KNOWN_BLOCKS.into_iter().filter(|kind| !document.has_block(kind)).collect();
        // Lines after the script's own belong to the base file, so that an error can name the right file.
        let own_lines = text.lines().count();
        let whole = format!("{}\n{}", text.trim_end_matches('\n'), base_document.text_of_blocks(&missing));
        Script::parse_sized(file, &whole, hosts).map_err(|error| match error.line > own_lines {
            true => ConfigError { file: base_file, line: error.line - own_lines, ..error },
            false => error,
        })
    }

    /// Parses the text of a script; `file` is named in errors.
    pub fn parse(file: &str, text: &str) -> Result<Script, ConfigError> {
        Script::parse_sized(file, text, None)
    }

    fn parse_sized(file: &str, text: &str, hosts: Option<u32>) -> Result<Script, ConfigError> {
        let document = Document::parse(file, text)?;
        document.require_known_blocks(&KNOWN_BLOCKS)?;
        let mut scenario: ScenarioBlock = document.block("day")?;
        scenario.hosts = hosts.unwrap_or(scenario.hosts);
        scenario.check().map_err(|invalid| invalid.in_block(&document, "day", ""))?;
        let host_extra: HostExtraBlock = document.block_or_default("host_extra")?;
        let list: ListBlock = document.block_or_default("list")?;
        let host_blocks = document.text_of_blocks(&HOST_BLOCKS);
        let settings = shared_settings(file, &document, &host_blocks, &host_extra.attributes(), &scenario)?;
        let nodes = read_nodes(&document)?;
        let traffic = read_traffic(&document, &settings, &scenario)?;
        let mut script = Script {
            scenario,
            nodes,
            list_delay_s: list.delay_s,
            traffic,
            faults: Vec::new(),
            settings,
            host_blocks,
        };
        for block in document.labelled_blocks::<FaultBlock>("trouble")? {
            let faults = script.schedule(&block.label, &block.value);
            script.faults.extend(faults.map_err(|e| e.in_block(&document, "trouble", &block.label))?);
        }
        Ok(script)
    }

    /// The faults of one block: several where hosts are affected one after the other.
    fn schedule(&self, name: &str, block: &FaultBlock) -> Result<Vec<ScheduledFault>, InvalidValue> {
        let action = block.action(&self.scenario)?;
        self.check_names(block, &action)?;
        let (at_s, for_s) = (block.at_s.max(0.0), block.for_s.max(0.0));
        let (hosts, fault, step_s) = match (action, block.step_s) {
            (Action::Hosts { hosts, fault }, Some(step_s)) => (hosts, fault, step_s.max(0.0)),
            (action, _) => return Ok(vec![ScheduledFault { name: name.to_owned(), at_s, for_s, action }]),
        };
        let one = |(index, host): (usize, u32)| ScheduledFault {
            name: format!("{name}, host {host}"),
            at_s: at_s + step_s * index as f64,
            for_s,
            action: Action::Hosts { hosts: vec![host], fault },
        };
        Ok(hosts.into_iter().enumerate().map(one).collect())
    }

    /// Checks that the script has everything that a fault names.
    fn check_names(&self, block: &FaultBlock, action: &Action) -> Result<(), InvalidValue> {
        let is_node = |wanted: &&String| {
            self.nodes.iter().any(|(name, nodes)| *wanted == name || names_node_of(wanted, name, nodes))
        };
        if let Some(unknown) = block.nodes.iter().chain(&block.drain).find(|name| !is_node(name)) {
            let expected = "a nodes block, or its name with a shard: name/3";
            return Err(InvalidValue::new("nodes", unknown, expected));
        }
        if let Action::Plan { name, .. } = action {
            let is_known = self.settings.plans.iter().any(|plan| plan.name == *name);
            if self.settings.plans_live.is_none() || !is_known {
                let expected = "the name of a plan block, and a plans block beside it";
                return Err(InvalidValue::new("plan", name, expected));
            }
        }
        let is_traffic = |wanted: &&String| self.traffic.iter().any(|(name, _)| *wanted == name);
        if let Some(unknown) = block.traffic.iter().find(|name| !is_traffic(name)) {
            return Err(InvalidValue::new("traffic", unknown, "the name of a traffic block"));
        }
        if let Some(unknown) = block.hosts.iter().find(|host| **host >= self.scenario.hosts) {
            let expected = format!("numbers below {}, the day's hosts", self.scenario.hosts);
            return Err(InvalidValue::new("hosts", unknown.to_string(), expected));
        }
        Ok(())
    }
}

/// The settings of host 0, which are checked as a host checks its file. Errors name the lines of the script.
fn shared_settings(
    file: &str,
    document: &Document,
    host_blocks: &str,
    extra: &str,
    scenario: &ScenarioBlock,
) -> Result<HostSettings, ConfigError> {
    let mut text = host_text(host_blocks, extra, 0, scenario, None, None);
    let lines_before = text.lines().count() - host_blocks.lines().count();
    if document.has_block("plans") {
        text += PLACEHOLDER_OVERRIDES_BLOCK;
    }
    if document.has_block("agreement") {
        text += &placeholder_membership_block(scenario.period_ms);
    }
    HostSettings::parse(file, &text)
        .map_err(|error| ConfigError { line: error.line.saturating_sub(lines_before), ..error })
}

fn read_nodes(document: &Document) -> Result<Vec<(String, NodesBlock)>, ConfigError> {
    let blocks = document.labelled_blocks::<NodesBlock>("nodes")?;
    if let Some(empty) = blocks.iter().find(|block| block.value.shards.is_empty()) {
        let invalid = InvalidValue::new("shards", "[]", "the shards they hold");
        return Err(invalid.in_block(document, "nodes", &empty.label));
    }
    Ok(blocks.into_iter().map(|block| (block.label, block.value)).collect())
}

fn read_traffic(
    document: &Document,
    settings: &HostSettings,
    scenario: &ScenarioBlock,
) -> Result<Vec<(String, TrafficBlock)>, ConfigError> {
    let blocks = document.labelled_blocks::<TrafficBlock>("traffic")?;
    for block in &blocks {
        let checked = block.value.check(settings, scenario.hosts);
        checked.map_err(|invalid| invalid.in_block(document, "traffic", &block.label))?;
    }
    Ok(blocks.into_iter().map(|block| (block.label, block.value)).collect())
}
