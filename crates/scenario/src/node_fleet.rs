//! The emulated nodes of a scenario.

use crate::cluster_network::ClusterNetwork;
use crate::script::{NodesBlock, Script};
use crate::ScenarioError;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tackmast::interface::{DedupScope, Effect};
use tackmast_emulators::list::NodeList;
use tackmast_emulators::node::{Fault, IdempotencyKeys, Node, NodeSettings};
use tackmast_emulators::store::Store;
use tackmast_trace::Recorder;
use tackmast_wire::list::State;

/// Seeds of nodes begin at this multiple of the scenario's seed.
const SEED_FACTOR: u64 = 1000;

/// A node and the block that describes it.
#[derive(Clone)]
pub(crate) struct EmulatedNode {
    pub(crate) block: NodesBlock,
    pub(crate) node: Node,
}

/// Emulated nodes by the name of their block and their shard, such as `a/0`.
pub(crate) struct NodeFleet {
    pub(crate) by_name: BTreeMap<String, EmulatedNode>,
    /// Idempotency keys by the group of nodes that share them.
    idempotency_keys: BTreeMap<u32, Arc<IdempotencyKeys>>,
    /// Bytes by shard: they outlive the nodes.
    stores: BTreeMap<u32, Arc<Mutex<Store>>>,
    dedup: DedupSettings,
    next_seed: u64,
    max_data_bytes: usize,
    recorder: Recorder,
}

/// Which nodes share idempotency keys, and for how long. All traffic classes of a scenario use the widest scope that one names.
struct DedupSettings {
    window_s: f64,
    is_by_zone: bool,
    is_global: bool,
}

impl DedupSettings {
    fn of(script: &Script) -> DedupSettings {
        let keyed = script.settings.traffic_classes.iter().filter_map(|class| match class.effect {
            Effect::IdempotentByKey { scope, window } => Some((scope, window.secs())),
            _ => None,
        });
        let keyed: Vec<(DedupScope, f64)> = keyed.collect();
        DedupSettings {
            window_s: keyed.iter().map(|(_, window_s)| *window_s).fold(0.0, f64::max),
            is_by_zone: keyed.iter().any(|(scope, _)| *scope == DedupScope::Zone),
            is_global: keyed.iter().any(|(scope, _)| *scope == DedupScope::All),
        }
    }

    /// Number of the group that a node belongs to.
    fn group(&self, shard: u32, zone: u32) -> u32 {
        match (self.is_global, self.is_by_zone) {
            (true, _) => 0,
            (_, true) => zone,
            _ => shard,
        }
    }
}

impl NodeFleet {
    /// Starts all nodes of the script.
    pub(crate) fn start(
        script: &Script,
        network: &ClusterNetwork,
        recorder: &Recorder,
    ) -> Result<NodeFleet, ScenarioError> {
        let mut fleet = NodeFleet {
            by_name: BTreeMap::new(),
            idempotency_keys: BTreeMap::new(),
            stores: BTreeMap::new(),
            dedup: DedupSettings::of(script),
            next_seed: script.scenario.seed * SEED_FACTOR,
            max_data_bytes: script.settings.bounds.command_bytes as usize,
            recorder: recorder.clone(),
        };
        for (name, block) in &script.nodes {
            for shard in &block.shards {
                let has_just_started = block.has_just_started;
                let name = format!("{name}/{shard}");
                fleet.start_node(&name, block.clone(), *shard, has_just_started, network)?;
            }
        }
        Ok(fleet)
    }

    fn start_node(
        &mut self,
        name: &str,
        block: NodesBlock,
        shard: u32,
        has_just_started: bool,
        network: &ClusterNetwork,
    ) -> Result<(), ScenarioError> {
        self.next_seed += 1;
        let proxy = network.start_node_proxy()?;
        let group = self.dedup.group(shard, block.zone);
        let settings = NodeSettings {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            shard,
            zone: block.zone,
            behavior: block.node_behavior(),
            seed: self.next_seed,
            max_data: self.max_data_bytes,
            report_every: Duration::from_millis(block.report_interval_ms),
            idempotency_keys: self.idempotency_keys.entry(group).or_default().clone(),
            window_s: self.dedup.window_s,
            has_just_started,
            store: self.stores.entry(shard).or_default().clone(),
            receive_bytes: block.receive_bytes,
            advertised_address: proxy.as_ref().map(|proxy| proxy.address),
            recorder: self.recorder.clone(),
        };
        let node = Node::start(settings);
        let node = node.map_err(|source| ScenarioError::Node { name: name.to_owned(), source })?;
        if let Some(proxy) = proxy {
            proxy.set_target(node.own_address());
        }
        self.by_name.insert(name.to_owned(), EmulatedNode { block, node });
        Ok(())
    }

    /// Full names of the nodes that a script's names stand for: a block, or one node of it.
    pub(crate) fn full_names(&self, names: &[String]) -> Vec<String> {
        let is_meant = |full_name: &&String| {
            names.iter().any(|name| *full_name == name || full_name.starts_with(&format!("{name}/")))
        };
        self.by_name.keys().filter(is_meant).cloned().collect()
    }

    /// The nodes that a script's names stand for.
    pub(crate) fn named(&self, names: &[String]) -> Vec<&Node> {
        self.full_names(names).iter().filter_map(|name| self.node(name)).collect()
    }

    /// A node by its full name.
    pub(crate) fn node(&self, full_name: &str) -> Option<&Node> {
        self.by_name.get(full_name).map(|emulated| &emulated.node)
    }

    /// Injects a fault into these nodes.
    pub(crate) fn inject(&self, names: &[String], fault: &Fault) {
        self.named(names).into_iter().for_each(|node| node.set(fault));
    }

    /// Stops a node for good and starts a new one for its shard.
    pub(crate) fn replace(
        &mut self,
        full_name: &str,
        list: &NodeList,
        network: &ClusterNetwork,
    ) -> Result<(), ScenarioError> {
        let Some(EmulatedNode { block, node: old }) = self.by_name.get(full_name).cloned() else {
            return Ok(());
        };
        let shard = old.shard();
        old.stop();
        list.set_state(&old.address().to_string(), State::Gone);
        self.start_node(full_name, block, shard, true, network)?;
        list.put(self.node(full_name).map(Node::list_entry));
        Ok(())
    }
}
