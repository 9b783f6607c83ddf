//! Faults between processes: who is meant, what is done to processes, and the ways that lead between them.

use crate::script::Script;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::str::FromStr;
use tackmast_emulators::network_faults::{
    CallerKind, DatagramProxies, Endpoint, Network, NetworkFault, Proxy,
};
use tackmast_trace::{Event, Recorder, Side};

/// A second process of one number is known to the rig by its number and this.
pub const TWIN: u32 = 1000;

/// Whom a trouble names.
#[derive(Debug, Clone, PartialEq)]
pub enum Who {
    Hosts,
    Host(u32),
    /// One of so many parts of the hosts, each of neighbours, or each of every so many-th.
    Part(u32, u32),
    Every(u32, u32),
    Site(u32),
    List,
    /// All nodes, or those of a block or one of them.
    Nodes(Option<String>),
    Clients,
}

impl FromStr for Who {
    type Err = String;

    fn from_str(s: &str) -> Result<Who, String> {
        let expected = "hosts, host/N, part/I/N, every/I/N, site/N, list, nodes, nodes/NAME or clients";
        let words: Vec<&str> = s.split('/').collect();
        let number = |w: &str| w.parse::<u32>().map_err(|_| format!("{s:?}; expected {expected}"));
        let part = |i: &str, n: &str| match (number(i)?, number(n)?) {
            (i, n) if i < n => Ok((i, n)),
            _ => Err(format!("{s:?}; expected a part below their number")),
        };
        Ok(match words.as_slice() {
            ["hosts"] => Who::Hosts,
            ["host", n] => Who::Host(number(n)?),
            ["part", i, n] => part(i, n).map(|(i, n)| Who::Part(i, n))?,
            ["every", i, n] => part(i, n).map(|(i, n)| Who::Every(i, n))?,
            ["site", n] => Who::Site(number(n)?),
            ["list"] => Who::List,
            ["nodes"] => Who::Nodes(None),
            ["nodes", rest @ ..] => Who::Nodes(Some(rest.join("/"))),
            ["clients"] => Who::Clients,
            _ => return Err(format!("{s:?}; expected {expected}")),
        })
    }
}

impl Who {
    pub fn hosts(&self, hosts: u32, sites: u32) -> Vec<u32> {
        let is = |h: u32| match self {
            Who::Hosts => true,
            Who::Host(n) => h == *n,
            Who::Part(i, n) => h * n / hosts == *i,
            Who::Every(i, n) => h % n == *i,
            Who::Site(s) => site_of(h, hosts, sites) == Some(*s),
            Who::List | Who::Nodes(_) | Who::Clients => false,
        };
        (0..hosts).filter(|h| is(*h)).collect()
    }
}

/// Hosts of a day stand in so many sites, neighbours together; 0: they tell none.
pub fn site_of(host: u32, hosts: u32, sites: u32) -> Option<u32> {
    (sites > 0).then(|| host * sites / hosts)
}

/// What is done to the processes of hosts at a trouble's begin; at its end it is undone, or they are started again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum How {
    /// SIGTERM: it ends in order.
    Term,
    /// SIGSTOP, and SIGCONT at the end.
    Stop,
    /// Started only at the trouble's end.
    Late,
    /// Killed, and started with an empty disk.
    Wipe,
    /// Killed and started again at once; at the end killed again, and started with its disk as it was at the begin.
    OldDisk,
    /// A second process of its number runs, elsewhere.
    Twin,
    /// Killed, and started where others reach it at another address.
    Moved,
    /// Killed, and started with a wall clock that is off, and clocks of another pace.
    Clock { off_s: f64, pace: f64 },
}

/// Where a process reaches others, and is reached.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerPlace {
    pub listen: SocketAddr,
    pub advertise: Option<SocketAddr>,
    pub seeds: Vec<SocketAddr>,
}

/// The ways of one day.
pub struct Rig {
    pub ways: Network,
    datagrams: Option<DatagramProxies>,
    list: Option<Proxy>,
    clients: BTreeMap<u32, Proxy>,
    nodes: Option<()>,
    port: u16,
    recorder: Recorder,
}

/// An address of loopback of this process's own, so that each host knows of the first before that one runs.
fn at(process: u32, high: u32, port: u16) -> SocketAddr {
    SocketAddr::from(([127, high as u8, (1 + process / 200) as u8, (1 + process % 200) as u8], port))
}

impl Rig {
    pub fn new(script: &Script, recorder: &Recorder) -> Result<Rig, String> {
        let ways = Network::default();
        let has = |is: &dyn Fn(&Who) -> bool| script.ways().any(is);
        let list = has(&|w| matches!(w, Who::List));
        let clients = has(&|w| matches!(w, Who::Clients));
        let nodes = has(&|w| matches!(w, Who::Nodes(_)));
        let failed = |e: std::io::Error| format!("ways: {e}");
        let front = |caller, party| Proxy::start(&ways, caller, party, recorder).map_err(failed);
        let datagrams = match script.day.members && script.ways().next().is_some() {
            true => Some(DatagramProxies::start(ways.clone(), script.day.seed).map_err(failed)?),
            false => None,
        };
        let hosts = if clients { 0..script.day.hosts } else { 0..0 };
        Ok(Rig {
            datagrams,
            list: list.then(|| front(CallerKind::HostToList, Some(Endpoint::List))).transpose()?,
            clients: hosts
                .map(|h| Ok((h, front(CallerKind::Clients, Some(Endpoint::Host(h)))?)))
                .collect::<Result<_, String>>()?,
            nodes: nodes.then_some(()),
            port: 20_000 + (std::process::id() % 20_000) as u16,
            recorder: recorder.clone(),
            ways,
        })
    }

    /// Where a process is reached by other hosts, and it them. Those who moved have another port each time.
    pub fn peers(&self, process: u32, moves: u16) -> Result<PeerPlace, String> {
        let port = self.port + moves;
        let seeds = (0..3).map(|h| at(h, 0, self.port)).collect();
        let Some(d) = &self.datagrams else {
            return Ok(PeerPlace { listen: at(process, 0, port), advertise: None, seeds });
        };
        let (front, real) = (at(process, 0, port), at(process, 1, port));
        d.add_host(process, front, real).map_err(|e| format!("way to host {process}: {e}"))?;
        Ok(PeerPlace { listen: real, advertise: Some(front), seeds })
    }

    /// Where hosts reach the list.
    pub fn list(&self, real: SocketAddr) -> SocketAddr {
        self.list.as_ref().map_or(real, |f| {
            f.set_target(real);
            f.address
        })
    }

    /// Where clients reach a host.
    pub fn host(&self, host: u32, real: SocketAddr) -> SocketAddr {
        self.clients.get(&host).map_or(real, |f| {
            f.set_target(real);
            f.address
        })
    }

    /// A front for a node that is to be started, where nodes have them.
    pub fn node(&self) -> Result<Option<Proxy>, String> {
        let one = || Proxy::start(&self.ways, CallerKind::HostToNode, None, &self.recorder);
        self.nodes.map(|()| one()).transpose().map_err(|e| format!("way to a node: {e}"))
    }

    /// Begins it between these, and notes what the rules are to excuse.
    pub fn begin(&self, from: &HashSet<Endpoint>, to: &HashSet<Endpoint>, what: NetworkFault) -> u64 {
        let id = self.ways.inject(from.clone(), to.clone(), what);
        self.note(from, to, what, true);
        id
    }

    pub fn end(&self, id: u64, from: &HashSet<Endpoint>, to: &HashSet<Endpoint>, what: NetworkFault) {
        self.note(from, to, what, false);
        self.ways.clear(id);
    }

    fn note(&self, from: &HashSet<Endpoint>, to: &HashSet<Endpoint>, what: NetworkFault, on: bool) {
        if !matches!(what, NetworkFault::Cut | NetworkFault::Reset) {
            return;
        }
        let hosts = |all: &HashSet<Endpoint>| -> Vec<u32> {
            let host = |p: &Endpoint| match p {
                Endpoint::Host(h) if *h < TWIN => Some(*h),
                _ => None,
            };
            all.iter().filter_map(host).collect()
        };
        let note = |host: u32, side| self.recorder.note(Event::Cut { host, side, on });
        if from.contains(&Endpoint::Clients) {
            hosts(to).into_iter().for_each(|h| note(h, Side::Clients));
        }
        if to.contains(&Endpoint::Clients) {
            hosts(from).into_iter().for_each(|h| note(h, Side::Clients));
        }
        if from.contains(&Endpoint::List) {
            hosts(to).into_iter().for_each(|h| note(h, Side::List));
        }
    }
}
