//! The events of a trace: what clients, nodes, the endpoint list and operators saw.

use crate::Facts;
use serde::{Deserialize, Serialize};

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerKind {
    /// The request was done.
    Done,
    /// The request did not run; a retry is safe.
    #[serde(rename = "deferred")]
    Rejected,
    /// No promise about its effect.
    #[serde(rename = "abandoned")]
    Failed,
    /// The command itself was wrong; the host never took it.
    #[serde(rename = "rejected")]
    InvalidRequest,
}

/// State of a node in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The node takes requests.
    Ready,
    /// The node finishes what is in flight and takes nothing new.
    Draining,
    /// The node has left the list.
    Gone,
}

/// How an attempt ended at its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEndKind {
    /// The work was done.
    Done,
    /// The node answered with an error; the work may have run.
    Error,
    /// The node reported that it never ran: the queue was full, or it was cancelled or out of time before it began.
    NeverRan,
}

/// Whom a host is cut off from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    /// Its clients.
    Clients,
    /// The endpoint list.
    List,
}

/// An attempt as its node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptName {
    /// The host's number.
    pub host: u32,
    /// Generation of the host.
    #[serde(rename = "life")]
    pub generation: u64,
    /// The request within that generation.
    #[serde(rename = "xfer")]
    pub request: u64,
    /// Number of the attempt within the request.
    #[serde(rename = "leg")]
    pub attempt: u8,
}

/// Something that one side of a socket saw.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "e", rename_all = "snake_case")]
pub enum Event {
    /// What is true of the deployment.
    Facts(Facts),
    /// Client side: the first byte of a command is sent.
    Submit {
        /// The host's number.
        host: u32,
        /// Number of the session at the host.
        session: u32,
        /// Number of the command within the session.
        command: u32,
        /// The volume's number.
        volume: u32,
        /// Index of the traffic class.
        #[serde(rename = "stream")]
        traffic_class: u32,
        /// Whether it writes.
        write: bool,
        /// Bytes from the volume's start.
        offset: u64,
        /// Its length in bytes.
        bytes: u64,
        /// Time until nobody waits for the answer.
        #[serde(rename = "expiry_us")]
        deadline_us: u64,
    },
    /// Client side: the answer of a command.
    Answer {
        /// The host's number.
        host: u32,
        /// Number of the session at the host.
        session: u32,
        /// Number of the command within the session.
        command: u32,
        /// How it ended.
        kind: AnswerKind,
        /// When the client should come back; 0: not given.
        #[serde(rename = "come_back_us")]
        retry_after_us: u64,
    },
    /// Client side: the client gave this command up, or its session ended from its side.
    Left {
        /// The host's number.
        host: u32,
        /// Number of the session at the host.
        session: u32,
        /// Number of the command within the session.
        command: u32,
    },
    /// A host's process starts.
    HostUp {
        /// The host's number.
        host: u32,
    },
    /// A host's process ends; clients get no answer to the commands that it had received.
    HostDown {
        /// The host's number.
        host: u32,
    },
    /// A host's process is suspended.
    HostStops {
        /// The host's number.
        host: u32,
    },
    /// A host's process resumes.
    HostGoes {
        /// The host's number.
        host: u32,
    },
    /// The network emulator cuts a host off from its clients or from the endpoint list, or the cut ends.
    Cut {
        /// The host's number.
        host: u32,
        /// Whom it is cut off from.
        side: Side,
        /// Whether it begins; else it ends.
        on: bool,
    },
    /// Client side: a session is open over the connection of that local address.
    Session {
        /// The host's number.
        host: u32,
        /// Number of the session at the host.
        session: u32,
        /// Local address of the client's connection.
        client: String,
    },
    /// The connection of that local address was reset.
    ConnectionLost {
        /// Local address of the client's connection.
        client: String,
    },
    /// Node side: the node has started.
    NodeUp {
        /// The node's address.
        node: String,
        /// The node's zone.
        zone: u32,
        /// The shard that the node holds.
        shard: u32,
        /// Units a second at full capacity.
        capacity: f64,
        /// Fraction of its capacity that the node starts with.
        #[serde(rename = "cold_from")]
        initial_capacity: f64,
        /// How long it takes to reach its full capacity.
        warm_us: u64,
    },
    /// Node side: the node is ended.
    NodeDown {
        /// The node's address.
        node: String,
    },
    /// Node side: an attempt was received.
    #[serde(rename = "leg")]
    Attempt {
        /// The node's address.
        node: String,
        /// The attempt.
        name: AttemptName,
        /// Number of the session at the host.
        session: u32,
        /// Number of the command within the session.
        command: u32,
        /// Part of the command.
        part: u16,
        /// The volume's number.
        volume: u32,
        /// Whether it writes.
        write: bool,
        /// Bytes from the volume's start.
        offset: u64,
        /// Its length in bytes.
        bytes: u64,
        /// Its size in units.
        units: f64,
        /// Its order key.
        key: u64,
        /// Its idempotency key.
        #[serde(rename = "mark")]
        idempotency_key: String,
        /// Time left until its deadline.
        left_us: u64,
    },
    /// Node side: an attempt ended.
    #[serde(rename = "leg_end")]
    AttemptEnd {
        /// The node's address.
        node: String,
        /// The attempt.
        name: AttemptName,
        /// How it ended.
        kind: AttemptEndKind,
        /// Whether the work had its effect.
        ran: bool,
    },
    /// Node side: the host cancelled the attempt.
    Cancel {
        /// The node's address.
        node: String,
        /// The attempt.
        name: AttemptName,
    },
    /// Node side: a connection of the host ended; its attempts get no answer.
    LinkDown {
        /// The node's address.
        node: String,
        /// The host's number.
        host: u32,
        /// Generation of the host.
        #[serde(rename = "life")]
        generation: u64,
        /// The attempts that were in flight on it.
        #[serde(rename = "legs")]
        attempts: Vec<AttemptName>,
    },
    /// List side: the host was sent this line.
    #[serde(rename = "told")]
    Notified {
        /// The host's number.
        host: u32,
        /// The node's address.
        node: String,
        /// State of the node.
        state: ListedState,
        /// When the node last started.
        started_us: u64,
    },
    /// Operator side: the host has acknowledged an override that holds the node out of service, or its end.
    Ordered {
        /// The host's number.
        host: u32,
        /// The node's address.
        node: String,
        /// Whether it is held out of service.
        out: bool,
    },
    /// Operator side: a change of a volume's plan was acknowledged. Until it is in force, hosts may apply the plan before it.
    PlanMoved {
        /// The volume's number.
        volume: u32,
        /// Units a second from then on.
        limit: f64,
        /// Units that may be admitted at once from then on.
        burst: f64,
        /// Units beyond both from then on.
        slack: f64,
        /// When all hosts apply it.
        in_force_us: u64,
    },
    /// A fault of the script begins or ends.
    #[serde(rename = "trouble")]
    Fault {
        /// Its name.
        what: String,
        /// Whether it begins; else it ends.
        on: bool,
    },
    /// Events were lost from here on.
    Truncated,
}
