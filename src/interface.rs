//! The types the decision module is called with and answers in. No decision is made here.

use std::ops::{Add, Sub};

/// A point in time, in microseconds from a start that the host chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Instant(i64);

/// A length of time, in microseconds. Kept apart from `Instant`, so the two can't be mixed up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct TimeDelta(i64);

impl Instant {
    /// Rounded to microseconds.
    pub fn from_secs(s: f64) -> Self {
        Instant((s * 1e6).round() as i64)
    }
    /// Seconds since the start.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl TimeDelta {
    /// No time.
    pub const ZERO: TimeDelta = TimeDelta(0);

    /// Rounded to microseconds.
    pub fn from_secs(s: f64) -> Self {
        TimeDelta((s * 1e6).round() as i64)
    }
    /// In seconds; may be negative.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Sub for Instant {
    type Output = TimeDelta;
    fn sub(self, earlier: Instant) -> TimeDelta {
        TimeDelta(self.0.saturating_sub(earlier.0))
    }
}

impl Add<TimeDelta> for Instant {
    type Output = Instant;
    fn add(self, s: TimeDelta) -> Instant {
        Instant(self.0.saturating_add(s.0))
    }
}

impl Sub<TimeDelta> for Instant {
    type Output = Instant;
    fn sub(self, s: TimeDelta) -> Instant {
        Instant(self.0.saturating_sub(s.0))
    }
}

impl Add for TimeDelta {
    type Output = TimeDelta;
    fn add(self, s: TimeDelta) -> TimeDelta {
        TimeDelta(self.0.saturating_add(s.0))
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        /// A small number that the host gives.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(
            /// The number itself.
            pub u32,
        );
    )*};
}

ids! {
    /// One client request; a client's next try is a new one.
    RequestId,
    /// A storage node.
    NodeId,
    /// Data of one owner, whose requests share a plan's limit.
    VolumeId,
    /// The number of a plan, in the order in which plans were added.
    PlanId,
    /// The number of a traffic class, in the order in which classes were added.
    TrafficClassId,
    /// A piece of data that is read or written.
    KeyId,
    /// The part of the data that one node holds.
    ShardId,
    /// Nodes that may fail together.
    ZoneId,
    /// The number of an attempt within its request, from 0.
    AttemptNumber,
}

/// Which nodes discard repeats of an idempotent-by-key request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All nodes know each other's requests.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one shard.
    Shard,
}

/// What running a request again may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing beyond what running it once does.
    Idempotent,
    /// Nothing where nodes know its idempotency key: those in `scope`, for `window` after the first run.
    IdempotentByKey {
        /// Nodes that know the key.
        scope: DedupScope,
        /// For how long.
        window: TimeDelta,
    },
    /// A second effect: it is never run again once it may have run.
    NonIdempotent,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered well.
    Done,
    /// Answered with an error.
    Error,
    /// Turned away unseen.
    Full,
    /// Not answered within its time-out, or by its client's deadline.
    TimedOut,
    /// No connection was made.
    Refused,
    /// The connection broke off.
    Reset,
    /// Given up by this host or its client.
    Cancelled,
    /// Never sent: the request was over, or the node does not hold its shard.
    Skipped,
}

impl Outcome {
    /// Whether this outcome leaves it possible that the attempt had an effect.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Full | Outcome::Refused | Outcome::Skipped)
    }
    /// Whether the work may go on at the node after this outcome.
    pub fn may_be_running(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled)
    }
}

/// The state of a node in the node list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// Takes requests.
    Ready,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Is no more.
    Gone,
}

/// What a volume may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// Units a second that must not be passed; 0: there is no limit.
    pub limit: f64,
    /// Units that the limit's bucket holds.
    pub burst: f64,
    /// Units by which all hosts together may pass the limit.
    pub slack: f64,
    /// Units a second that are served before those of others.
    pub reserve: f64,
    /// Share of what is left beyond the reservations.
    pub weight: f64,
}

/// A request as it arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewRequest {
    /// Not used by any request that is not over.
    pub id: RequestId,
    /// Its traffic class.
    pub class: TrafficClassId,
    /// The plan that its volume is under.
    pub plan: PlanId,
    /// The piece of data that it asks for.
    pub key: Option<KeyId>,
    /// How long its client will wait.
    pub time_left: TimeDelta,
    /// Whose data it asks for.
    pub volume: VolumeId,
    /// Its cost.
    pub units: f64,
    /// Where its data is; none: a new object, which any node can take.
    pub shard: Option<ShardId>,
    /// Hosts through which the volume's requests come.
    pub hosts: u32,
}

/// What a node bears that has just started.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStart {
    /// Units within `window` from all hosts that never hurt a node.
    pub safe_units: f64,
    /// Fraction of its capacity that a node starts with.
    pub initial_capacity: f64,
    /// How long a node takes to warm up.
    pub duration: TimeDelta,
    /// The time over which `safe_units` are counted.
    pub window: TimeDelta,
    /// A node always bears this many times what it can do at the moment.
    pub overload_multiple: f64,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request that it was of.
    pub request: RequestId,
    /// Which attempt of the request.
    pub number: AttemptNumber,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub latency: TimeDelta,
    /// The request is over as well, whatever the outcome.
    pub is_over: bool,
}

/// What changed of the quota leases of a volume.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseChange {
    /// Whose limit is shared.
    pub volume: VolumeId,
    /// The plan that it is under.
    pub plan: PlanId,
    /// Hosts through which its requests come.
    pub hosts: u32,
    /// All of this host's leases from now on.
    pub leases: QuotaLeases,
}

/// Shares of a volume's limit that hosts lend each other, as fractions of the whole limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLeases {
    /// Left to other hosts until the next change.
    pub lent: f64,
    /// Left to this host, until then.
    pub borrowed: f64,
    /// When `borrowed` ends.
    pub until: Instant,
}

/// How a node list came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// The complete list; what it does not name is gone.
    Complete,
    /// The complete list as last held, perhaps out of date.
    Saved,
    /// A call for the list failed, or following it broke off; nothing came.
    Failed,
}

/// One line of a node list.
#[derive(Clone, Copy, Debug)]
pub struct NodeEntry {
    /// Which node.
    pub node: NodeId,
    /// Whether it takes requests.
    pub state: NodeState,
    /// Where it runs.
    pub zone: ZoneId,
    /// What it holds.
    pub shard: ShardId,
    /// When the node last started, where that is known and recent.
    pub up_since: Option<Instant>,
}

/// What the host is to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send an attempt.
    Send {
        /// Of this request.
        request: RequestId,
        /// To this node.
        node: NodeId,
        /// Give up after this time; none: when the client gives up.
        timeout: Option<TimeDelta>,
        /// An attempt whose first byte has not left by then must not leave any more: the nodes may have
        /// forgotten the first one that ran.
        begin_by: Option<Instant>,
    },
    /// Final answer: not done, and a retry is safe.
    Reject {
        /// The request that is over.
        request: RequestId,
        /// The client should come back after this time, where one is given.
        retry_after: Option<TimeDelta>,
    },
    /// Final answer: not done, and no promise about its effect.
    Fail {
        /// The request that is over.
        request: RequestId,
    },
    /// Subscribe to changes of the node list.
    FollowList,
    /// Write a line to the log.
    Log(String),
}
