//! The types the decision module is called with and answers in. No decision is made here.

use std::ops::{Add, Sub};

/// A point in time, in microseconds from a start that the host chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Instant(i64);

/// A length of time, in microseconds. Kept apart from `Instant`, so the two can't be mixed up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct TimeDelta(i64);

impl Instant {
    pub fn from_secs(s: f64) -> Self {
        Instant((s * 1e6).round() as i64)
    }
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl TimeDelta {
    pub const ZERO: TimeDelta = TimeDelta(0);

    pub fn from_secs(s: f64) -> Self {
        TimeDelta((s * 1e6).round() as i64)
    }
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
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u32);
    )*};
}

ids! {
    /// One client request; a client's next try is a new one.
    RequestId,
    NodeId,
    VolumeId,
    PlanId,
    TrafficClassId,
    /// A piece of data that is read or written.
    KeyId,
    /// The part of the data that one node holds.
    ShardId,
    ZoneId,
    /// The number of an attempt within its request, from 0.
    AttemptNumber,
}

/// Which nodes discard repeats of an idempotent-by-key request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Shard,
}

/// What running a request again may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    IdempotentByKey { scope: DedupScope, window: TimeDelta },
    NonIdempotent,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done,
    Error,
    /// Turned away unseen.
    Full,
    TimedOut,
    /// No connection was made.
    Refused,
    Reset,
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    Ready,
    Draining,
    Gone,
}

/// Units a second, and units; a `limit` of 0 is none. Of `slack`, all hosts may go past the limit together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    pub limit: f64,
    pub burst: f64,
    pub slack: f64,
    pub reserve: f64,
    pub weight: f64,
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
    pub node: NodeId,
    pub state: NodeState,
    pub zone: ZoneId,
    pub shard: ShardId,
    /// When the node last started, where that is known and recent.
    pub up_since: Option<Instant>,
}

/// What the host is to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send an attempt; no time-out means until the client gives up. One whose first byte has not left at
    /// `begin_by` must not leave any more: the nodes may have forgotten the first that ran.
    Send {
        request: RequestId,
        node: NodeId,
        timeout: Option<TimeDelta>,
        begin_by: Option<Instant>,
    },
    /// Final answer: not done, and a retry is safe; come back after the span, where one is given.
    Reject {
        request: RequestId,
        retry_after: Option<TimeDelta>,
    },
    /// Final answer: not done, and no promise about its effect.
    Fail {
        request: RequestId,
    },
    /// Subscribe to changes of the node list.
    FollowList,
    Log(String),
}
