//! The events of a run, and their order in the queue.

use super::Us;
use std::cmp::Ordering;
use tackmast::interface::NodeState;
use tackmast_trace::AnswerKind;

/// An event and its time. Events of the same time happen in the order in which they were scheduled.
pub(super) struct ScheduledEvent {
    pub(super) due: Us,
    /// Numbers the events in the order in which they were scheduled.
    pub(super) sequence: u64,
    pub(super) event: Event,
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.due, self.sequence).cmp(&(other.due, other.sequence))
    }
}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

/// A connection of a client to its host. The generation tells it from earlier connections of the slot.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct Connection {
    pub(super) client: u32,
    pub(super) slot: usize,
    pub(super) generation: u64,
}

/// A link between a host and a node. The generation tells it from earlier links of the two.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct LinkId {
    pub(super) host: u32,
    pub(super) node: u32,
    pub(super) generation: u64,
}

/// A process of a host. The generation tells it from earlier processes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct HostProcess {
    pub(super) host: u32,
    pub(super) generation: u64,
}

/// A session of a host and the command within it.
pub(super) type CommandKey = (u32, u32);

/// A node as the endpoint list has it.
#[derive(Clone)]
pub(super) struct ListedNode {
    pub(super) address: String,
    pub(super) state: NodeState,
    pub(super) node: u32,
    /// When the node started; 0: long before the run.
    pub(super) started_us: Us,
}

/// What happens at a time. Hosts, nodes and clients are named by their index.
pub(super) enum Event {
    /// A fault of the world, by its index, begins or ends.
    FaultChange { fault: usize, on: bool },
    /// The next generated command of a host is due.
    GeneratedArrival { host: u32 },
    /// The next arrival of the workload file is due.
    WorkloadArrival,
    /// The next request of the script's traffic is due.
    ScriptRequest,
    /// A request of the script's traffic is tried again, by its number.
    ScriptRetry { number: u64 },
    /// Bytes reach a node.
    BytesToNode { link: LinkId, bytes: Vec<u8> },
    /// Bytes of a node reach a host.
    BytesToHost { link: LinkId, bytes: Vec<u8> },
    /// A host learns that a node refused the connection for an attempt.
    Refused { process: HostProcess, attempt: u64 },
    /// A host notices that a link is down.
    LinkDown { link: LinkId },
    /// The hello of a node that started at that time reaches a host.
    NodeHello { link: LinkId, started: Us },
    /// The timer of a node fires.
    NodeTimer { node: u32 },
    /// The timer of a host fires.
    HostTimer { host: u32 },
    /// An endpoint list reaches a host.
    EndpointList { process: HostProcess, version: u64, nodes: Vec<ListedNode> },
    /// A host learns that the endpoint list failed.
    ListFailed { process: HostProcess },
    /// A node starts.
    NodeUp { node: u32 },
    /// The nodes start that a restart of all has killed.
    MassRestartEnded,
    /// A host starts.
    HostUp { host: u32 },
    /// A client without a protocol aborts its command.
    Abort { process: HostProcess, command: u32 },
    /// A delayed answer reaches its client.
    Answer { process: HostProcess, command: CommandKey, kind: AnswerKind, retry_after_us: u64 },
    /// A client's connection is open.
    Connected { connection: Connection },
    /// A client's connection is closed.
    Closed { connection: Connection },
    /// Bytes of a client reach its host.
    BytesToServer { connection: Connection, bytes: Vec<u8> },
    /// Bytes of a host reach its client.
    BytesToClient { connection: Connection, bytes: Vec<u8> },
    /// The timer of a client fires.
    ClientTimer { client: u32 },
    /// An override has ended: a host may use the node of that address again.
    OverrideEnded { host: u32, node: String },
    /// A datagram from one host to another.
    Datagram { from: u32, to: u32, bytes: Vec<u8> },
    /// A host that drains ends.
    DrainEnded { process: HostProcess },
}
