//! A world: all that a run depends on. It is generated from a seed, as in swarm testing: each has a random subset of the
//! faults, of random strength.

mod generator;

use crate::ScenarioScript;
use std::collections::BTreeMap;
use std::sync::Arc;
use tackmast_overrides::Kind as OverrideKind;
use tackmast_workload::Workload;

/// A kind of fault, and how strong it is. Fractions are from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// A node takes this many times as long for its work.
    Slow(f64),
    /// A node fails this fraction of its attempts.
    Errors(f64),
    /// Another user takes this fraction of a node.
    Neighbour(f64),
    /// At a node this fraction of attempts takes this many times as long.
    Heavy(f64, f64),
    /// The process of a node is paused.
    Pause,
    /// A node receives attempts and does not answer; at the end it restarts.
    Silent,
    /// A node is killed, and starts again at the end.
    Restart,
    /// A node drains; at the end it is killed and replaced by one at another address.
    Deploy,
    /// A node drains, and is ready again at the end.
    Drain,
    /// All nodes are killed, and start again after half of the time.
    MassRestart,
    /// Changes of the endpoint list reach the hosts after this many seconds.
    ListLate(f64),
    /// The endpoint list fails.
    ListFails,
    /// A host is killed, and starts again at the end.
    HostKill,
    /// Nothing passes between a host and a node.
    Partition,
    /// The links of a node with all hosts are reset.
    Resets,
    /// The rate of generated commands is multiplied by this.
    Surge(f64),
    /// Clients abort this fraction of their commands.
    Leave(f64),
    /// An operator overrides the state of a node until the end; at all hosts if the flag is set, else at one.
    Order(OverrideKind, bool),
    /// This fraction of all clients' connections is closed at once.
    Hangup(f64),
    /// This fraction of generated commands is for one object.
    Hot(f64),
    /// Hosts below this fraction of all are partitioned from the other hosts.
    Split(f64),
    /// A host leaves its peers and ends; its next process starts at the end, or after the drain if that takes longer.
    HostLeaves,
    /// The process of a host is paused, and resumes at the end with the state that it had.
    HostStands,
    /// This fraction of the limited volume's commands comes through this one of its hosts.
    Busiest(f64, u32),
    /// The limit and the burst of the limited volume's plan are multiplied by these; at the end both are reset.
    Plan(f64, f64),
}

impl FaultKind {
    /// Whether faults of this kind differ in a strength, of which one is in effect at a time.
    pub(crate) fn has_strength(&self) -> bool {
        matches!(
            self,
            FaultKind::Slow(_)
                | FaultKind::Errors(_)
                | FaultKind::Neighbour(_)
                | FaultKind::Heavy(..)
                | FaultKind::ListLate(_)
                | FaultKind::Surge(_)
                | FaultKind::Leave(_)
                | FaultKind::Hot(_)
                | FaultKind::Split(_)
                | FaultKind::Busiest(..)
                | FaultKind::Plan(..)
        )
    }
}

/// A fault with its time and place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InjectedFault {
    /// When it begins, in microseconds from the start of the run.
    pub at_us: u64,
    /// How long it takes, in microseconds.
    pub for_us: u64,
    /// What happens.
    pub kind: FaultKind,
    /// The node that it is at, where its kind is one of nodes.
    pub node: u32,
    /// The host that it is at, where its kind is one of hosts.
    pub host: Option<u32>,
}

/// All that a run depends on: sizes, rates, the behaviour of nodes and networks, and the faults.
#[derive(Clone, Debug, PartialEq)]
pub struct World {
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Number of hosts.
    pub hosts: u32,
    /// Number of nodes.
    pub nodes: u32,
    /// For how long traffic is sent, in seconds.
    pub seconds: f64,
    /// Generated commands at each host, in commands a second.
    pub rate: f64,
    /// The shortest delay of a message, in microseconds.
    pub delay_us: u64,
    /// A message takes up to this much longer, in microseconds.
    pub jitter_us: u64,
    /// Delay of the endpoint list's changes, in microseconds.
    pub list_late_us: u64,
    /// How long a core of a node takes for a unit, in seconds.
    pub unit_s: f64,
    /// Cores of a node.
    pub cores: u32,
    /// Clients of each host that use a protocol: iSCSI, and NBD.
    pub clients: [u32; 2],
    /// Wall clocks of hosts are wrong by up to this, in seconds.
    pub wall_off_s: f64,
    /// Steady clocks of hosts are too fast or too slow by up to this fraction.
    pub drift: f64,
    /// Fraction of its full capacity that a node starts with.
    pub initial_capacity: f64,
    /// A node collapses under this multiple of its present capacity.
    pub overload_multiple: f64,
    /// How long a node takes to reach its full capacity, in seconds.
    pub warm_up_s: f64,
    /// Fraction of its work that a node saves for an object in its cache.
    pub cache_savings: f64,
    /// Objects in the cache of a node.
    pub cached_keys: usize,
    /// Fraction of a write's work that a node does later.
    pub write_back_fraction: f64,
    /// How often a node does that work, in seconds.
    pub flush_interval_s: f64,
    /// The endpoint list says when it was sent; else hosts read its times by their own wall clocks.
    pub timed_list: bool,
    /// Arrivals of a workload file, in place of generated ones.
    pub load: Option<Arc<Workload>>,
    /// Hosts have peers: the fraction of their datagrams that is lost.
    pub members: Option<f64>,
    /// Hosts through which the limited volume's commands come: the first ones.
    pub limited_hosts: u32,
    /// Values of attributes of the generated settings, by name, in place of their own.
    pub set: BTreeMap<String, f64>,
    /// The nodes, settings and traffic of a script, in place of generated ones.
    pub scenario: Option<ScenarioScript>,
    /// Faults that are injected.
    pub faults: Vec<InjectedFault>,
}

impl World {
    /// A world with that number of hosts. The number of nodes follows from it.
    pub fn generate(seed: u64, hosts: u32) -> World {
        generator::generate(seed, hosts)
    }

    /// Whether operators change plans.
    pub fn has_plans(&self) -> bool {
        self.faults.iter().any(|fault| matches!(fault.kind, FaultKind::Plan(..)))
    }

    /// Whether operators set overrides.
    pub fn has_orders(&self) -> bool {
        self.faults.iter().any(|fault| matches!(fault.kind, FaultKind::Order(..)))
    }
}
