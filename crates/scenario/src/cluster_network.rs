//! The network between the processes of a scenario: proxies, so that faults can be injected between any two processes.

use crate::peer_addresses::PeerAddresses;
use crate::script::{FaultTarget, Script};
use crate::ScenarioError;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use tackmast_emulators::network_faults::{
    CallerKind, DatagramProxies, Endpoint, Network, NetworkFault, Proxy,
};
use tackmast_trace::{Event, Recorder, Side};

/// A second process of a host is known to the network by the host's number and this offset.
pub(crate) const DUPLICATE_OFFSET: u32 = 1000;
/// Peer ports are in the range that begins here; the process id of the scenario selects one, so that scenarios can run at once.
const FIRST_PEER_PORT: u16 = 20_000;
/// Number of ports in that range.
const PEER_PORT_COUNT: u32 = 20_000;
/// Hosts that each host contacts first.
const SEED_HOSTS: u32 = 3;
/// Host processes per /24 network of loopback.
const PROCESSES_PER_NETWORK: u32 = 200;
/// Second byte of the loopback addresses that peers use.
const PUBLIC_NETWORK: u8 = 0;
/// Second byte of the loopback addresses behind a proxy.
const PROXIED_NETWORK: u8 = 1;

/// The processes on one side of a network fault.
pub(crate) type Endpoints = HashSet<Endpoint>;

/// A fault between two sets of processes.
#[derive(Clone)]
pub(crate) struct PathFault {
    pub(crate) from: Endpoints,
    pub(crate) to: Endpoints,
    pub(crate) fault: NetworkFault,
}

/// The network of one scenario. Only processes that faults name get a proxy.
pub(crate) struct ClusterNetwork {
    network: Network,
    datagrams: Option<DatagramProxies>,
    list: Option<Proxy>,
    /// Proxies between clients and each host.
    clients: BTreeMap<u32, Proxy>,
    has_node_proxies: bool,
    peer_port: u16,
    recorder: Recorder,
}

/// A loopback address that is known before its process runs, so that each host can be told where the first ones will be.
fn loopback_address(process: u32, network: u8, port: u16) -> SocketAddr {
    let (third, fourth) = (1 + process / PROCESSES_PER_NETWORK, 1 + process % PROCESSES_PER_NETWORK);
    SocketAddr::from(([127, network, third as u8, fourth as u8], port))
}

impl ClusterNetwork {
    /// Starts the proxies that the faults of the script need.
    pub(crate) fn start(script: &Script, recorder: &Recorder) -> Result<ClusterNetwork, ScenarioError> {
        let network = Network::default();
        let is_named = |is_meant: fn(&FaultTarget) -> bool| script.network_fault_targets().any(is_meant);
        let start_proxy = |caller, endpoint| {
            Proxy::start(&network, caller, endpoint, recorder).map_err(ScenarioError::Network)
        };
        let mut datagrams = None;
        if script.scenario.members && script.network_fault_targets().next().is_some() {
            let started = DatagramProxies::start(network.clone(), script.scenario.seed);
            datagrams = Some(started.map_err(ScenarioError::Network)?);
        }
        let mut list = None;
        if is_named(|target| matches!(target, FaultTarget::List)) {
            list = Some(start_proxy(CallerKind::HostToList, Some(Endpoint::List))?);
        }
        let mut clients = BTreeMap::new();
        if is_named(|target| matches!(target, FaultTarget::Clients)) {
            for host in 0..script.scenario.hosts {
                clients.insert(host, start_proxy(CallerKind::Clients, Some(Endpoint::Host(host)))?);
            }
        }
        Ok(ClusterNetwork {
            datagrams,
            list,
            clients,
            has_node_proxies: is_named(|target| matches!(target, FaultTarget::Nodes(_))),
            peer_port: FIRST_PEER_PORT + (std::process::id() % PEER_PORT_COUNT) as u16,
            recorder: recorder.clone(),
            network,
        })
    }

    /// The addresses of a process in the membership protocol. `move_count` selects another port each time a host moves.
    pub(crate) fn peer_addresses(
        &self,
        process: u32,
        move_count: u16,
    ) -> Result<PeerAddresses, ScenarioError> {
        let port = self.peer_port + move_count;
        let seed = |host| loopback_address(host, PUBLIC_NETWORK, self.peer_port);
        let seeds = (0..SEED_HOSTS).map(seed).collect();
        let public = loopback_address(process, PUBLIC_NETWORK, port);
        let Some(proxies) = &self.datagrams else {
            return Ok(PeerAddresses { listen: public, advertise: None, seeds });
        };
        let listen = loopback_address(process, PROXIED_NETWORK, port);
        let added = proxies.add_host(process, public, listen);
        added.map_err(|source| ScenarioError::HostProxy { process, source })?;
        Ok(PeerAddresses { listen, advertise: Some(public), seeds })
    }

    /// Where hosts reach the endpoint list, which listens at `listen`.
    pub(crate) fn list_address(&self, listen: SocketAddr) -> SocketAddr {
        proxied_address(self.list.as_ref(), listen)
    }

    /// Where clients reach a host that listens at `listen`.
    pub(crate) fn host_address(&self, host: u32, listen: SocketAddr) -> SocketAddr {
        proxied_address(self.clients.get(&host), listen)
    }

    /// Starts a proxy for a node that is about to start, if faults affect the paths to nodes.
    pub(crate) fn start_node_proxy(&self) -> Result<Option<Proxy>, ScenarioError> {
        if !self.has_node_proxies {
            return Ok(None);
        }
        let proxy = Proxy::start(&self.network, CallerKind::HostToNode, None, &self.recorder);
        proxy.map(Some).map_err(ScenarioError::NodeProxy)
    }

    /// Begins a fault and records it for the invariant checker. Returns the number by which it is cleared.
    pub(crate) fn inject(&self, path: &PathFault) -> u64 {
        let id = self.network.inject(path.from.clone(), path.to.clone(), path.fault);
        self.record(path, true);
        id
    }

    /// Ends a fault.
    pub(crate) fn clear(&self, id: u64, path: &PathFault) {
        self.record(path, false);
        self.network.clear(id);
    }

    /// Stops all proxies.
    pub(crate) fn stop(&self) {
        self.network.stop();
    }

    fn record(&self, path: &PathFault, on: bool) {
        if !matches!(path.fault, NetworkFault::Cut | NetworkFault::Reset) {
            return;
        }
        let record = |hosts: Vec<u32>, side: Side| {
            hosts.into_iter().for_each(|host| self.recorder.note(Event::Cut { host, side, on }));
        };
        if path.from.contains(&Endpoint::Clients) {
            record(hosts_without_duplicates(&path.to), Side::Clients);
        }
        if path.to.contains(&Endpoint::Clients) {
            record(hosts_without_duplicates(&path.from), Side::Clients);
        }
        if path.from.contains(&Endpoint::List) {
            record(hosts_without_duplicates(&path.to), Side::List);
        }
    }
}

fn proxied_address(proxy: Option<&Proxy>, listen: SocketAddr) -> SocketAddr {
    proxy.map_or(listen, |proxy| {
        proxy.set_target(listen);
        proxy.address
    })
}

fn hosts_without_duplicates(endpoints: &Endpoints) -> Vec<u32> {
    let number = |endpoint: &Endpoint| match endpoint {
        Endpoint::Host(host) if *host < DUPLICATE_OFFSET => Some(*host),
        _ => None,
    };
    endpoints.iter().filter_map(number).collect()
}
