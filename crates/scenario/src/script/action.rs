//! The faults and changes of a scenario.

use super::fault_target::FaultTarget;
use tackmast_emulators::list::ListFault;
use tackmast_emulators::network_faults::NetworkFault;
use tackmast_emulators::node::Fault;
use tackmast_overrides::{Kind, Target};

/// A fault with its name and its time.
#[derive(Debug, Clone)]
pub struct ScheduledFault {
    /// Label of the block.
    pub name: String,
    /// Seconds from the scenario's start.
    pub at_s: f64,
    /// Seconds until the fault is undone.
    pub for_s: f64,
    /// What happens.
    pub action: Action,
}

impl ScheduledFault {
    /// Seconds from the scenario's start until the fault is undone.
    pub(crate) fn ends_s(&self) -> f64 {
        self.at_s + self.for_s
    }
}

/// What happens when a fault begins. Most of it is undone when the fault ends.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A fault of emulated nodes.
    Nodes {
        /// Names of nodes or of their blocks.
        nodes: Vec<String>,
        /// The fault.
        fault: Fault,
    },
    /// Nodes get slower step by step, then restart.
    Ageing {
        /// Names of nodes or of their blocks.
        nodes: Vec<String>,
        /// Factor by which they are slower in the end.
        times: f64,
        /// Seconds until they run again, in slow start.
        down_s: f64,
    },
    /// Nodes pause again and again.
    Pauses {
        /// Names of nodes or of their blocks.
        nodes: Vec<String>,
        /// Length of a pause in seconds.
        pause_s: f64,
        /// Seconds from the start of a pause to the start of the next.
        every_s: f64,
    },
    /// A fault of the endpoint list.
    List(ListFault),
    /// Nodes drain while the fault lasts. Then they stop, leave the list, and new nodes replace them.
    Deploy {
        /// Names of nodes or of their blocks.
        nodes: Vec<String>,
    },
    /// Nodes drain while the fault lasts, and are ready again afterwards.
    Drain {
        /// Names of nodes or of their blocks.
        nodes: Vec<String>,
    },
    /// Hosts are killed, and started again at the end.
    KillHosts(Vec<u32>),
    /// A fault of the processes of hosts.
    Hosts {
        /// Numbers of the hosts.
        hosts: Vec<u32>,
        /// The fault.
        fault: ProcessFault,
    },
    /// A fault of the network between processes.
    Network {
        /// Where the affected traffic comes from.
        from: Vec<FaultTarget>,
        /// Where it goes to.
        to: Vec<FaultTarget>,
        /// The fault.
        fault: NetworkFault,
        /// Whether traffic in the opposite direction is unaffected.
        one_way: bool,
    },
    /// The network between these groups is cut.
    Partition(Vec<Vec<FaultTarget>>),
    /// More requests per second.
    Surge {
        /// Names of traffic blocks; empty: all.
        traffic: Vec<String>,
        /// Multiple of the rate.
        times: f64,
    },
    /// Another host becomes the primary of the traffic.
    ChangePrimary {
        /// Names of traffic blocks; empty: all.
        traffic: Vec<String>,
    },
    /// An operator sets an override, which ends with the fault.
    Override {
        /// Hosts that get it; empty: all.
        hosts: Vec<u32>,
        /// What the override does.
        kind: Kind,
        /// A target as operators write it.
        target: Option<Target>,
        /// Further targets: names of nodes or of their blocks.
        nodes: Vec<String>,
        /// Whether the host must refuse it.
        refused: bool,
        /// Whether the override is set despite the host's safety checks.
        force: bool,
    },
    /// Changes limit and burst of a plan; the end of the fault sets them back.
    Plan {
        /// Name of the plan.
        name: String,
        /// Multiple of the limit in the settings.
        limit_times: f64,
        /// Multiple of the burst in the settings.
        burst_times: f64,
        /// Host that gets the change; without it, the plans' home.
        ask: Option<u32>,
    },
    /// Adds a host to the voters of consensus, or removes it.
    Voter {
        /// Number of the host.
        host: u32,
        /// Whether the host becomes a voter.
        votes: bool,
    },
    /// A client at each host breaks the protocol.
    Client {
        /// Numbers of the hosts.
        hosts: Vec<u32>,
        /// How the client breaks the protocol.
        misuse: Misuse,
    },
}

/// A fault of a host's process. At its end the process is started again, or the fault is undone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ProcessFault {
    /// SIGTERM: the host shuts down gracefully.
    Term,
    /// SIGSTOP, and SIGCONT at the end.
    Stop,
    /// The host is not started before the fault's end.
    Late,
    /// Killed, and started with an empty disk.
    Wipe,
    /// Killed and restarted at once. At the end killed again, and started with the disk as it was at the begin.
    OldDisk,
    /// A second process with the same host number runs.
    DuplicateId,
    /// Killed, and started under another address for its peers.
    Moved,
    /// Killed, and started with a wrong clock.
    Clock {
        /// Seconds by which the wall clock is off.
        off_s: f64,
        /// Rate of its clocks, relative to real time.
        rate: f64,
    },
}

/// How a client breaks the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Misuse {
    /// Bytes that are no frame.
    Garbage,
    /// A frame longer than the host accepts.
    OverLong,
    /// A command whose number is past the window.
    PastWindow,
    /// Part of a frame, and nothing more.
    HalfFrame,
    /// Nothing at all.
    Silent,
}
