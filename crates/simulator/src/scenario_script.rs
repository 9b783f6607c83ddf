//! Scenario scripts in virtual time: the script that `tackmast scenario` plays through sockets, with its settings, nodes,
//! traffic and faults. What only sockets have is left out, and listed.

mod fault_translation;
mod traffic;

pub use traffic::ScriptRequest;

use crate::world::World;
use fault_translation::FaultTranslation;
use std::sync::Arc;
use tackmast_scenario::{names_node_of, NodesBlock, Script};

/// Delay of a link, as short as on loopback, in microseconds.
const DELAY_US: u64 = 50;
/// A message takes up to this much longer, drawn for each message, in microseconds.
const JITTER_US: u64 = 20;
/// A world ends this long after the last traffic of its script, in seconds.
const TAIL_S: f64 = 0.5;

/// Why a script can't be played in virtual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnsupportedScript {
    /// Its hosts change plans by consensus.
    #[error("a script with the block agreement; expected one without: consensus is not simulated here, `tackmast scenario` plays it")]
    Consensus,
}

/// A script of `tackmast scenario`, shared by the worlds made of it.
#[derive(Clone)]
pub struct ScenarioScript(Arc<Script>);

impl std::ops::Deref for ScenarioScript {
    type Target = Script;
    fn deref(&self) -> &Script {
        &self.0
    }
}

impl std::fmt::Debug for ScenarioScript {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(formatter, "script of {} hosts", self.0.scenario.hosts)
    }
}

impl PartialEq for ScenarioScript {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

fn to_us(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

impl ScenarioScript {
    /// A node by its index: the block that it is of, and its shard. Each block has one node for each of its shards.
    pub fn node(&self, node_index: u32) -> Option<(&NodesBlock, u32)> {
        self.named_nodes().nth(node_index as usize).map(|(_, block, shard)| (block, shard))
    }

    /// Name and content of each node's block, and its shard, in the order of the script.
    fn named_nodes(&self) -> impl Iterator<Item = (&str, &NodesBlock, u32)> {
        self.0.nodes.iter().flat_map(|(name, block)| {
            let shards = block.shards.iter();
            shards.map(move |shard| (name.as_str(), block, *shard))
        })
    }

    /// Indices of the nodes that a fault names, by `block` or by `block/shard`.
    fn nodes_named(&self, names: &[String]) -> Vec<u32> {
        let is_named = |block_name: &str, block: &NodesBlock, shard: u32| {
            let is_name_of_node = |name: &String| {
                name == block_name
                    || names_node_of(name, block_name, block) && name.ends_with(&format!("/{shard}"))
            };
            names.iter().any(is_name_of_node)
        };
        self.named_nodes()
            .zip(0..)
            .filter(|((block_name, block, shard), _)| is_named(block_name, block, *shard))
            .map(|(_, node_index)| node_index)
            .collect()
    }
}

impl World {
    /// A script as a world, and what of it the simulator does not model. Consensus can't be left out: without it the script's hosts
    /// would refuse their settings.
    pub fn of_script(script: Script, seed: u64) -> Result<(World, Vec<String>), UnsupportedScript> {
        if script.settings.consensus.is_some() {
            return Err(UnsupportedScript::Consensus);
        }
        let script = ScenarioScript(Arc::new(script));
        let mut world = World::generate(seed, script.scenario.hosts);
        world.nodes = script.named_nodes().count() as u32;
        world.seconds = script.scenario.seconds + TAIL_S;
        (world.delay_us, world.jitter_us) = (DELAY_US, JITTER_US);
        world.list_late_us = to_us(script.list_delay_s);
        (world.clients, world.wall_off_s, world.drift, world.timed_list) = ([0, 0], 0.0, 0.0, true);
        world.faults.clear();
        let mut left_out = Vec::new();
        for fault in &script.faults {
            if let Err(what) = FaultTranslation::translate(&script, fault, &mut world.faults) {
                left_out.push(format!("{}: {what}", fault.name));
            }
        }
        for (name, traffic) in &script.traffic {
            let (aborts, leaves) = (traffic.abort_share, traffic.disconnect_share);
            if aborts > 0.0 || leaves > 0.0 {
                left_out.push(format!("traffic {name}: aborts {aborts} and leaves {leaves}"));
            }
        }
        world.members = script.scenario.members.then_some(0.0);
        world.scenario = Some(script);
        Ok((world, left_out))
    }
}
