//! A world as the settings of its hosts, and as the facts of its trace.

use super::operators::PLANS_SETTLE_S;
use super::{Mutant, Sim, Us};
use super::{LIMITED_LUN, LIMITED_VOLUME, UNLIMITED_LUN, UNLIMITED_VOLUME};
use crate::world::World;
use std::net::SocketAddr;
use std::path::Path;
use tackmast_config::HostSettings;
use tackmast_trace::Facts;

/// How long a node bears an overload before it collapses, in seconds.
pub(super) const OVERLOAD_WINDOW_S: f64 = 1.0;
/// How long a node that is removed from the list may finish what is in flight, in seconds.
const DRAIN_GRACE_S: f64 = 0.25;
/// By which fraction the clock of a host may be fast or slow, as the invariants allow for it.
const MAX_CLOCK_DRIFT: f64 = 0.001;
/// Limit of the limited volume for each host that it comes through, in units a second.
const LIMIT_PER_HOST: f64 = 30.0;
/// Burst of the limited volume for each host that it comes through, in units.
const BURST_PER_HOST: f64 = 16.0;
/// Burst of the limited volume beside that, in units.
const BASE_BURST: f64 = 20.0;
/// Margin on the delay of a message and its answer, in microseconds.
const SKEW_MARGIN: Us = 2000;
/// The time over which the drift of a clock adds up, in microseconds.
const DRIFT_TIME_US: f64 = 4e7;

/// Settings of every generated world.
const LOAD_BLOCKS: &str = "
load {
  settle_s = 0.3
  longest_wait_s = 1
}
units {
  bytes = 4096
  most = 8
  mean = 2
}
";

/// The budget of retries.
const RETRY_BUDGET_BLOCK: &str = "further_legs {
  free = 3
  share = 0.25
  window_s = 2
}
";

/// The settings of one host of a world.
pub fn settings(world: &World, host: u32, mutant: Option<Mutant>) -> HostSettings {
    if let Some(script) = &world.scenario {
        let unused = SocketAddr::from(([127, 0, 0, 1], 1));
        let addresses = tackmast_scenario::HostAddresses { listen: unused, list: unused, peers: None };
        let text = script.host_file(host, &addresses, Path::new("unused"), "unused");
        return HostSettings::parse("scenario", &text)
            .unwrap_or_else(|error| panic!("the settings of a script: {error}"));
    }
    let text = format!(
        "host {{\n  number = {host}\n  hosts = {}\n  listen = \"127.0.0.1:0\"\n  node_list = \"127.0.0.1:1\"\n  seed = 1\n}}\n{}",
        world.hosts,
        blocks(world, mutant)
    );
    HostSettings::parse("simulator", &text)
        .unwrap_or_else(|error| panic!("the settings of a generated world: {error}"))
}

/// The settings of a generated world without each host's own block.
pub(crate) fn blocks(world: &World, mutant: Option<Mutant>) -> String {
    let retry_budget = if mutant == Some(Mutant::BudgetIgnored) { "" } else { RETRY_BUDGET_BLOCK };
    let warm_up = if mutant == Some(Mutant::WarmUpIgnored) { String::new() } else { warm_up_block(world) };
    let operators = if world.has_plans() { operator_blocks() } else { String::new() };
    let text = [
        format!("{LOAD_BLOCKS}{retry_budget}\n{warm_up}\n{operators}\n"),
        plan_blocks(world),
        traffic_class_blocks(mutant),
        unlimited_volume_block(world),
        limited_volume_block(world, mutant),
    ]
    .concat();
    let lines: Vec<String> = text.lines().map(|line| with_replaced_value(world, line)).collect();
    lines.join("\n") + "\n"
}

/// A line of the settings, with the world's own value where it has one for the line's attribute.
fn with_replaced_value(world: &World, line: &str) -> String {
    let name = line.split('=').next().unwrap_or("").trim();
    match world.set.get(name) {
        Some(value) => format!("  {name} = {value}"),
        None => line.to_owned(),
    }
}

/// What nodes that have just started can bear.
fn warm_up_block(world: &World) -> String {
    let (fraction, multiple) = (world.initial_capacity, world.overload_multiple);
    let capacity = f64::from(world.cores) / world.unit_s;
    format!(
        r#"cold_nodes {{
  safe_units = {safe_units}
  from = {fraction}
  warm_s = {warm_up_s}
  window_s = {OVERLOAD_WINDOW_S}
  multiple = {multiple}
}}
"#,
        safe_units = capacity * fraction * multiple * OVERLOAD_WINDOW_S,
        warm_up_s = world.warm_up_s,
    )
}

/// What hosts need to take changes of plans. The settings require a store, but the simulator persists by itself.
fn operator_blocks() -> String {
    format!(
        r#"overrides {{
  store = "unused"
  admin = "unused"
}}
plans {{
  home = 0
  settle_s = {PLANS_SETTLE_S}
  node_units = 1e9
}}
"#
    )
}

/// Hosts through which the limited volume comes.
fn limited_host_count(world: &World) -> u32 {
    world.limited_hosts.min(world.hosts)
}

fn plan_blocks(world: &World) -> String {
    let host_count = f64::from(limited_host_count(world));
    format!(
        r#"plan "basic" {{
  limit = {limit}
  burst = {burst}
  slack = 8
}}
plan "premium" {{
  reserve = 50
  weight = 3
}}
"#,
        limit = LIMIT_PER_HOST * host_count,
        burst = BURST_PER_HOST * host_count + BASE_BURST,
    )
}

fn traffic_class_blocks(mutant: Option<Mutant>) -> String {
    format!(
        r#"stream "read" {{
  slo_ms = 200
  expiry_ms = 1200
  effect = "repeatable"
}}
stream "log" {{
  slo_ms = 250
  expiry_ms = 1000
  effect = "unrepeatable"
  in_order = {in_order}
}}
stream "save" {{
  slo_ms = 250
  expiry_ms = 1000
  effect = "keyed"
  group = "zone"
  window_s = 2
}}
"#,
        in_order = mutant != Some(Mutant::OrderIgnored),
    )
}

/// The numbers of all shards: each node holds one.
fn shard_list(world: &World) -> String {
    let shards: Vec<String> = (0..world.nodes).map(|shard| shard.to_string()).collect();
    shards.join(", ")
}

fn unlimited_volume_block(world: &World) -> String {
    let all_hosts: Vec<u32> = (0..world.hosts).collect();
    let through = if world.has_plans() { format!("  through = {all_hosts:?}\n") } else { String::new() };
    format!(
        r#"volume "{UNLIMITED_VOLUME}" {{
  lun = {UNLIMITED_LUN}
  plan = "premium"
  blocks = 100000
  extent_blocks = 64
  shards = [{shards}]
  hosts = {hosts}
{through}  reads = "read"
  writes = "log"
}}
"#,
        shards = shard_list(world),
        hosts = world.hosts,
    )
}

fn limited_volume_block(world: &World, mutant: Option<Mutant>) -> String {
    let host_count = limited_host_count(world);
    let configured_count = if mutant == Some(Mutant::LimitAlone) { 1 } else { host_count };
    let through: Vec<u32> =
        if configured_count == host_count { (0..host_count).collect() } else { Vec::new() };
    format!(
        r#"volume "{LIMITED_VOLUME}" {{
  lun = {LIMITED_LUN}
  plan = "basic"
  blocks = 100000
  extent_blocks = 64
  shards = [{shards}]
  hosts = {configured_count}
  through = {through:?}
  reads = "read"
  writes = "save"
}}
"#,
        shards = shard_list(world),
    )
}

impl Sim<'_> {
    /// The facts of the run, which its trace begins with.
    pub(super) fn facts(&self) -> Facts {
        let world = self.world;
        // The delay of a message and its answer, with the jitter of both.
        let delay_us = 2 * (world.delay_us + world.jitter_us) + SKEW_MARGIN;
        let skew_us = delay_us + (world.drift * DRIFT_TIME_US) as Us;
        let grace_s = match &world.scenario {
            Some(script) => script.scenario.drain_grace_ms / 1e3,
            None => DRAIN_GRACE_S,
        };
        tackmast_scenario::facts(&settings(world, 0, None), MAX_CLOCK_DRIFT, grace_s, skew_us as f64 / 1e6)
    }
}
