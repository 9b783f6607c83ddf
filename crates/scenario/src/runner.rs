//! Runs a scenario: starts everything, injects the faults at their times, ends everything, and reports.
//!
//! | file | job |
//! | --- | --- |
//! | `start` | starts nodes, list, hosts, watchers and traffic |
//! | `schedule` | the loop that begins, continues and ends faults |
//! | `actions` | faults of nodes, list, traffic and clients |
//! | `process_faults`, `network_faults` | faults of host processes and of the network between processes |
//! | `overrides`, `plan_changes` | operators' requests on behalf of the script |
//! | `misuse` | clients that break the protocol |
//! | `finish` | ends everything and makes the report |

mod actions;
mod finish;
mod misuse;
mod network_faults;
mod overrides;
mod plan_changes;
mod process_faults;
mod schedule;
mod start;

use crate::cluster_network::{ClusterNetwork, PathFault};
use crate::consensus_watcher::ConsensusWatcher;
use crate::host_process::{HostProcess, LaunchSettings};
use crate::linux_process::ProcessResources;
use crate::node_fleet::NodeFleet;
use crate::operators::Operators;
use crate::report::Report;
use crate::script::Script;
use crate::traffic::Traffic;
use crate::view_watcher::ViewWatcher;
use crate::ScenarioError;
use overrides::HostOverrides;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};
use tackmast_emulators::list::NodeList;
use tackmast_trace::{Line, Recorder};

/// How often the schedule and the state of the processes are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Steps in which an ageing node gets slower.
pub const DEGRADATION_STEPS: u32 = 20;
/// An address of loopback with a port that the system selects.
const ANY_LOOPBACK_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// What a run of a scenario has yielded.
pub struct ScenarioRun {
    /// The report.
    pub report: Report,
    /// The record of the traffic at the sockets.
    pub trace: Vec<Line>,
    /// Resources that each host used, at the end of the scenario.
    pub host_resources: Vec<ProcessResources>,
}

/// A network fault in effect.
struct ActivePathFault {
    id: u64,
    path: PathFault,
}

/// Everything that runs.
struct Runner<'a> {
    script: &'a Script,
    binary: &'a Path,
    directory: PathBuf,
    recorder: Recorder,
    nodes: NodeFleet,
    list: NodeList,
    /// Where hosts reach the endpoint list.
    list_address: SocketAddr,
    network: ClusterNetwork,
    view_watcher: Option<ViewWatcher>,
    consensus_watcher: Option<ConsensusWatcher>,
    operators: Option<Operators>,
    hosts: Vec<Option<HostProcess>>,
    /// Second processes by their host number.
    duplicates: BTreeMap<u32, HostProcess>,
    /// Hosts that shut down gracefully and have not ended yet.
    shutting_down: BTreeSet<u32>,
    /// How often each host has moved to another address.
    move_counts: BTreeMap<u32, u16>,
    /// Hosts that start late, and where they will listen.
    late_hosts: BTreeMap<u32, SocketAddr>,
    /// Network faults in effect, by the index of the scheduled fault.
    path_faults: BTreeMap<usize, Vec<ActivePathFault>>,
    /// Where clients reach each host.
    host_addresses: Arc<RwLock<Vec<SocketAddr>>>,
    traffic: Vec<Arc<Traffic>>,
    /// Start times of nodes, as the endpoint list has them.
    node_starts: BTreeMap<String, u64>,
    overrides: HostOverrides,
    started: Instant,
    failures: Vec<String>,
    misuses: Vec<std::thread::JoinHandle<Option<String>>>,
}

/// Runs the script with hosts of this binary; their settings and logs go to `directory`.
pub fn run(
    script: &Script,
    binary: &Path,
    directory: &Path,
    seed: u64,
) -> Result<ScenarioRun, ScenarioError> {
    let mut runner = Runner::start(script, binary, directory, seed)?;
    runner.run_schedule()?;
    Ok(runner.finish(seed))
}

impl Runner<'_> {
    fn launch_settings(&self) -> LaunchSettings<'_> {
        LaunchSettings {
            binary: self.binary,
            script: self.script,
            list: self.list_address,
            directory: &self.directory,
            recorder: &self.recorder,
        }
    }

    fn fail(&mut self, failure: impl std::fmt::Display) {
        self.failures.push(failure.to_string());
    }

    /// The process of a host, if it runs.
    fn running_host(&mut self, host: u32) -> Option<&mut HostProcess> {
        self.hosts.get_mut(host as usize)?.as_mut().filter(|process| process.is_up)
    }
}
