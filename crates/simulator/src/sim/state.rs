//! The state of a run: pending events, hosts, links, nodes and the requests of a script.

use super::*;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    FaultChange(usize, bool),
    Arrive(u32),
    /// The next arrival of the file's load, or of the script's traffic.
    Loaded,
    Asked,
    /// A client's next try, by its number.
    Again(u64),
    /// Bytes for a node, or for a host, of a link's generation.
    ToNode(u32, u32, u64, Vec<u8>),
    ToHost(u32, u32, u64, Vec<u8>),
    /// The host learns of a refused connection.
    Refused(u32, u64, u64),
    LinkDown(u32, u32, u64),
    NodeTime(u32),
    HostTime(u32),
    /// A list as it was, told to a host's generation.
    List(u32, u64, u64, Vec<(String, u8, u32, u64)>),
    ListFailed(u32, u64),
    NodeUp(u32),
    HostUp(u32),
    Leave(u32, u64, u32),
    Answer(u32, u64, CommandOrd, AnswerKindOrd, u64),
    /// A client's connection is made, ends, or brings bytes to the host or the client; of a slot's generation.
    Connected(u32, usize, u64),
    Closed(u32, usize, u64),
    ToServer(u32, usize, u64, Vec<u8>),
    ToClient(u32, usize, u64, Vec<u8>),
    ClientTime(u32),
    /// A node may be used again by its host: an override has ended.
    OrderOver(u32, String),
    /// The node's hello has come over a new link: how long it has been up.
    Hello(u32, u64, u32, Us),
    /// A datagram from one host to another.
    Datagram(u32, u32, Vec<u8>),
    /// A host that leaves ends now.
    Gone(u32, u64),
}

/// The answer's kind and a command with an order, as events have one.
pub(super) type AnswerKindOrd = u8;

pub(super) type CommandOrd = (u32, u32);

pub(super) struct Link {
    pub(super) generation: u64,
    pub(super) to_node: Frames,
    pub(super) to_host: Frames,
    /// When the last bytes of each direction arrive: they keep their order.
    pub(super) last: [Us; 2],
    /// The least difference the node has seen between its clock and the host's, in microseconds.
    pub(super) offset: i64,
    /// Attempts that wait for the node's hello; none once it has come.
    pub(super) waiting: Option<Vec<SendAttempt>>,
    pub(super) attempts: BTreeMap<u64, AttemptName>,
}

/// How a host's clocks go wrong: its steady one starts elsewhere and drifts, its wall clock is off.
#[derive(Clone, Copy, Default)]
pub(super) struct Clock {
    pub(super) offset_us: i64,
    pub(super) drift: f64,
    pub(super) wall_off_us: i64,
}

/// What a host keeps over its generations.
#[derive(Default)]
pub(super) struct PersistedHost {
    /// The mark of a leave.
    pub(super) left: bool,
    pub(super) overrides: BTreeMap<OverrideId, Override>,
    pub(super) next: u64,
    /// Changes of plans, by number.
    pub(super) changes: BTreeMap<u64, Vec<u8>>,
    pub(super) members: Vec<tackmast_host_core::KnownPeer>,
}

pub(super) struct Host {
    pub(super) core: HostLogic,
    pub(super) generation: u64,
    pub(super) up: bool,
    pub(super) wake: Us,
    /// Until then it stands still, and what happens meanwhile waits.
    pub(super) paused_until: Us,
    pub(super) links: BTreeMap<u32, Link>,
    pub(super) following: bool,
    pub(super) next: u32,
    pub(super) submitted: BTreeMap<(u32, u32), (Us, Us)>, // session and command: when, latency objective
    pub(super) asked: BTreeMap<(u32, u32), u64>,          // the same, of a script's traffic: its number
    pub(super) sessions: BTreeMap<u32, (u32, usize, u64)>, // client, slot, its generation
    pub(super) numbers: u16,
}

pub(super) struct NodeAttempt {
    pub(super) host: u32,
    pub(super) generation: u64,
    pub(super) link: u64,
    pub(super) attempt: u64,
    pub(super) name: AttemptName,
    pub(super) volume: u32,
    pub(super) units: f64,
    pub(super) read: u32,
    pub(super) idempotency_key: u128,
}

pub(super) struct SimNode {
    pub(super) model: NodeModel,
    pub(super) zone: u32,
    pub(super) shard: u32,
    /// What it last told of the requests that wait there, and when; told anew after so long.
    pub(super) reported_load: (Us, u32),
    pub(super) report_us: Us,
    pub(super) address: String,
    pub(super) up: bool,
    pub(super) silent: bool,
    pub(super) started: Us,
    pub(super) next: u64,
    pub(super) held: BTreeMap<u64, NodeAttempt>,
    pub(super) served: BTreeMap<(u32, u32), (f64, f64)>, // volume, host: own units, told of others
    pub(super) total: BTreeMap<u32, f64>,
    pub(super) wake: Us,
    pub(super) listed: NodeState,
    pub(super) listed_start: Us,
    pub(super) address_generation: u32,
}

/// What a script's traffic asked, and is asked again until it is done or its client has tried enough.
pub(super) struct ScriptAttempt {
    pub(super) ask: ScriptRequest,
    pub(super) first: Us,
    pub(super) tries: u32,
}
