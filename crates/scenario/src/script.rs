//! The script of a scenario: the settings that all hosts share, the emulated nodes, the traffic, and the faults.
//!
//! | file | job |
//! | --- | --- |
//! | `scenario_block`, `nodes_block`, `traffic_block`, `fault_block` | the blocks of a script |
//! | `action`, `fault_target` | what a fault does, and to whom |
//! | `read` | reads a script and checks it whole |
//! | `host_file` | the settings file of one host |

mod action;
mod fault_block;
mod fault_target;
mod host_file;
mod invalid_value;
mod nodes_block;
mod read;
mod scenario_block;
mod traffic_block;

pub use action::{Action, Misuse, ProcessFault, ScheduledFault};
pub use fault_target::FaultTarget;
pub(crate) use host_file::admin_socket;
pub use host_file::HostAddresses;
pub use nodes_block::NodesBlock;
pub use scenario_block::ScenarioBlock;
pub use traffic_block::TrafficBlock;

use tackmast_config::HostSettings;

/// A script that was read and checked.
#[derive(Clone)]
pub struct Script {
    /// What holds for the whole scenario.
    pub scenario: ScenarioBlock,
    /// Emulated nodes by the name of their block.
    pub nodes: Vec<(String, NodesBlock)>,
    /// Seconds by which the endpoint list is late.
    pub list_delay_s: f64,
    /// Traffic by the name of its block.
    pub traffic: Vec<(String, TrafficBlock)>,
    /// Faults in the order of the script.
    pub faults: Vec<ScheduledFault>,
    /// The settings of host 0, for what all hosts share.
    pub settings: HostSettings,
    /// Text of the blocks that all hosts share.
    host_blocks: String,
}

impl Script {
    /// Everything that network faults name as an end of a path.
    pub(crate) fn network_fault_targets(&self) -> impl Iterator<Item = &FaultTarget> {
        self.faults.iter().flat_map(|fault| -> Vec<&FaultTarget> {
            match &fault.action {
                Action::Network { from, to, .. } => from.iter().chain(to).collect(),
                Action::Partition(groups) => groups.iter().flatten().collect(),
                _ => Vec::new(),
            }
        })
    }

    /// Hosts that do not run when the scenario begins.
    pub(crate) fn late_hosts(&self) -> Vec<u32> {
        let late = |fault: &ScheduledFault| match &fault.action {
            Action::Hosts { hosts, fault: ProcessFault::Late } => hosts.clone(),
            _ => Vec::new(),
        };
        self.faults.iter().flat_map(late).collect()
    }
}

/// Whether `wanted` has the form `block/shard` and names a node of this block.
pub fn names_node_of(wanted: &str, block_name: &str, block: &NodesBlock) -> bool {
    wanted
        .strip_prefix(block_name)
        .and_then(|rest| rest.strip_prefix('/'))
        .and_then(|shard| shard.parse::<u32>().ok())
        .is_some_and(|shard| block.shards.contains(&shard))
}
