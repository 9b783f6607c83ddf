//! Starts everything that a scenario needs.

use super::overrides::HostOverrides;
use super::{Runner, ANY_LOOPBACK_PORT};
use crate::cluster_network::ClusterNetwork;
use crate::consensus_watcher::ConsensusWatcher;
use crate::facts::facts;
use crate::host_process::{ClockSettings, HostProcess, LaunchSettings, ProcessSettings};
use crate::node_fleet::NodeFleet;
use crate::operators::Operators;
use crate::script::{admin_socket, Script};
use crate::traffic::{SharedSettings, Traffic};
use crate::view_watcher::ViewWatcher;
use crate::ScenarioError;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};
use tackmast_emulators::list::{ListFault, NodeList};
use tackmast_trace::{Event, Recorder};

/// Seeds of traffic begin at this multiple of the scenario's seed.
const TRAFFIC_SEED_FACTOR: u64 = 1000;
/// Shortest mean pause of operators, in seconds.
const MIN_OPERATOR_PAUSE_S: f64 = 0.001;

/// Hosts, and the addresses under which they are reached.
struct StartedHosts {
    processes: Vec<Option<HostProcess>>,
    /// Where each host will listen that starts late.
    late: BTreeMap<u32, SocketAddr>,
    /// Where clients reach each host.
    reached_at: Vec<SocketAddr>,
}

impl<'a> Runner<'a> {
    pub(super) fn start(
        script: &'a Script,
        binary: &'a Path,
        directory: &Path,
        seed: u64,
    ) -> Result<Runner<'a>, ScenarioError> {
        let recorder = Recorder::default();
        record_facts(script, &recorder);
        let network = ClusterNetwork::start(script, &recorder)?;
        let nodes = NodeFleet::start(script, &network, &recorder)?;
        let list = start_list(script, &nodes, &recorder)?;
        let list_address = network.list_address(list.address);
        let launch = LaunchSettings { binary, script, list: list_address, directory, recorder: &recorder };
        let hosts = start_hosts(&launch, &network)?;
        let host_addresses = Arc::new(RwLock::new(hosts.reached_at));
        let scenario = &script.scenario;
        let view_watcher = scenario.members.then(|| ViewWatcher::start(scenario.period_ms / 1e3));
        let consensus_watcher = start_consensus_watcher(script, directory);
        let operators = start_operators(script, directory, seed);
        let traffic = start_traffic(script, seed, &host_addresses, &recorder)?;
        let node_starts = nodes.by_name.iter().map(|(name, node)| (name.clone(), node.node.started_us()));
        let mut runner = Runner {
            script,
            binary,
            directory: directory.to_owned(),
            node_starts: node_starts.collect(),
            recorder,
            nodes,
            list,
            list_address,
            network,
            view_watcher,
            consensus_watcher,
            operators,
            hosts: hosts.processes,
            duplicates: BTreeMap::new(),
            shutting_down: BTreeSet::new(),
            move_counts: BTreeMap::new(),
            late_hosts: hosts.late,
            path_faults: BTreeMap::new(),
            host_addresses,
            traffic,
            overrides: HostOverrides::default(),
            started: Instant::now(),
            failures: Vec::new(),
            misuses: Vec::new(),
        };
        (0..scenario.hosts).for_each(|host| runner.update_view_watcher(host));
        Ok(runner)
    }
}

/// Records what the invariant checker has to know.
fn record_facts(script: &Script, recorder: &Recorder) {
    let scenario = &script.scenario;
    let answer_slack_s = scenario.answer_slack_ms / 1e3;
    let (drain_grace_s, skew_s) = (scenario.drain_grace_ms / 1e3, scenario.skew_ms / 1e3);
    recorder.note(Event::Facts(facts(&script.settings, answer_slack_s, drain_grace_s, skew_s)));
}

fn start_list(script: &Script, nodes: &NodeFleet, recorder: &Recorder) -> Result<NodeList, ScenarioError> {
    let list = NodeList::start(ANY_LOOPBACK_PORT, recorder.clone()).map_err(ScenarioError::EndpointList)?;
    list.set(&ListFault::Late(script.list_delay_s));
    list.put(nodes.by_name.values().map(|node| node.node.list_entry()));
    std::thread::sleep(Duration::from_secs_f64(script.list_delay_s));
    Ok(list)
}

fn start_hosts(launch: &LaunchSettings, network: &ClusterNetwork) -> Result<StartedHosts, ScenarioError> {
    let scenario = &launch.script.scenario;
    let late_hosts = launch.script.late_hosts();
    let mut to_start = Vec::new();
    for number in (0..scenario.hosts).filter(|host| !late_hosts.contains(host)) {
        let peers = if scenario.members { Some(network.peer_addresses(number, 0)?) } else { None };
        let (listen, clock) = (ANY_LOOPBACK_PORT, ClockSettings::default());
        to_start.push(ProcessSettings { number, is_duplicate: false, listen, peers, clock });
    }
    let mut processes: Vec<Option<HostProcess>> = (0..scenario.hosts).map(|_| None).collect();
    for process in HostProcess::start_all(launch, to_start) {
        let process = process?;
        let number = process.settings.number as usize;
        processes[number] = Some(process);
    }
    let (mut late, mut reached_at) = (BTreeMap::new(), Vec::new());
    for (number, process) in (0..).zip(&processes) {
        let address = match process {
            Some(process) => process.address,
            None => free_address()?,
        };
        if late_hosts.contains(&number) {
            late.insert(number, address);
        }
        reached_at.push(network.host_address(number, address));
    }
    Ok(StartedHosts { processes, late, reached_at })
}

/// An address that is unused at the moment, for a host that starts late.
fn free_address() -> Result<SocketAddr, ScenarioError> {
    let bound = std::net::TcpListener::bind(ANY_LOOPBACK_PORT).and_then(|listener| listener.local_addr());
    bound.map_err(ScenarioError::LateHostAddress)
}

fn admin_sockets(script: &Script, directory: &Path) -> Vec<PathBuf> {
    (0..script.scenario.hosts).map(|host| admin_socket(directory, host)).collect()
}

fn start_consensus_watcher(script: &Script, directory: &Path) -> Option<ConsensusWatcher> {
    let is_needed = script.settings.consensus.is_some() && script.scenario.members;
    is_needed.then(|| ConsensusWatcher::start(admin_sockets(script, directory)))
}

fn start_operators(script: &Script, directory: &Path, seed: u64) -> Option<Operators> {
    let scenario = &script.scenario;
    let plan = script.settings.plans.first().map(|plan| plan.name.clone()).unwrap_or_default();
    let pause_s = scenario.operators_pause_s.max(MIN_OPERATOR_PAUSE_S);
    let sockets = admin_sockets(script, directory);
    (scenario.operators > 0).then(|| Operators::start(sockets, &plan, scenario.operators, pause_s, seed))
}

fn start_traffic(
    script: &Script,
    seed: u64,
    host_addresses: &Arc<RwLock<Vec<SocketAddr>>>,
    recorder: &Recorder,
) -> Result<Vec<Arc<Traffic>>, ScenarioError> {
    let shared = SharedSettings {
        settings: Arc::new(script.settings.clone()),
        host_addresses: host_addresses.clone(),
        recorder: recorder.clone(),
    };
    let mut all = Vec::new();
    let mut positions: BTreeMap<&str, u64> = BTreeMap::new();
    for (number, (name, block)) in (1..).zip(&script.traffic) {
        let position = positions.entry(&block.volume).or_default();
        let traffic_seed = seed * TRAFFIC_SEED_FACTOR + number;
        all.push(Traffic::start(name, block, *position, traffic_seed, shared.clone())?);
        *position += 1;
    }
    Ok(all)
}
