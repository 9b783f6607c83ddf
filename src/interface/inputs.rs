//! What a host reports: requests, ends of attempts, quota leases, the endpoint list.

use super::{
    AttemptNumber, Instant, KeyId, NodeId, PlanId, RequestId, ShardId, TimeDelta, TrafficClassId, VolumeId,
    ZoneId,
};

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
    /// Its cost, in units.
    pub units: f64,
    /// Where its data is; none: a new object, which any node can take.
    pub shard: Option<ShardId>,
    /// Hosts through which the volume's requests come.
    pub hosts: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered well.
    Done,
    /// Answered with an error.
    Error,
    /// Rejected by the node before it ran.
    Full,
    /// Not answered within its timeout, or by its client's deadline.
    TimedOut,
    /// No connection was made, or no byte of the attempt was written in time. It counts as a failure of the node.
    Refused,
    /// The connection broke off.
    Reset,
    /// Given up by this host or its client, or answered as a request that the node can't use.
    Cancelled,
    /// Never sent: the request was over, the host withdrew the attempt or could not send it for a reason of its own, or the node does not
    /// hold its shard. It says nothing of the node's health.
    Skipped,
}

impl Outcome {
    /// Whether this outcome leaves it possible that the attempt had an effect.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Full | Outcome::Refused | Outcome::Skipped)
    }

    /// Whether the node may still be working on the attempt after this outcome.
    pub fn may_be_running(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled)
    }
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
    pub request_is_over: bool,
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

/// The state of a node in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// Takes requests.
    Ready,
    /// Finishes what is in flight and takes nothing new.
    Draining,
    /// Is no more.
    Gone,
}

/// How an endpoint list came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// The complete list; what it does not name is gone.
    Complete,
    /// The complete list as last cached, perhaps out of date.
    Saved,
    /// A call for the list failed, or following it broke off; nothing came.
    Failed,
}

/// One entry of an endpoint list.
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
