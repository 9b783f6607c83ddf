//! The inputs that a host reports: requests, ends of attempts, quota leases and the endpoint list.

use super::{
    AttemptNumber, Instant, KeyId, NodeId, PlanId, RequestId, ShardId, TimeDelta, TrafficClassId, VolumeId,
    ZoneId,
};

/// A request as it arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewRequest {
    /// The id, which no other unfinished request of this host has.
    pub id: RequestId,
    /// The traffic class, which sets latency objective and effect.
    pub class: TrafficClassId,
    /// The plan that applies to the volume.
    pub plan: PlanId,
    /// The piece of data that is read or written; `None`: the request has no key.
    pub key: Option<KeyId>,
    /// The time until the client's deadline.
    pub time_left: TimeDelta,
    /// The volume whose data is read or written.
    pub volume: VolumeId,
    /// The cost, in units.
    pub units: f64,
    /// The shard that holds the data; `None`: a new object, which any shard can take.
    pub shard: Option<ShardId>,
    /// The number of hosts that receive requests for the volume.
    pub hosts: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered with success.
    Done,
    /// Answered with an error.
    Error,
    /// Rejected by the node before it ran.
    Full,
    /// Not answered within its timeout, or by its client's deadline.
    TimedOut,
    /// Not sent: no connection could be made, or no byte of the attempt was written in time. It counts as a failure
    /// of the node.
    Refused,
    /// The connection broke while the attempt was in flight.
    Reset,
    /// Cancelled by this host or its client, or answered by the node as an invalid request.
    Cancelled,
    /// Never run: the request already had its final answer, the host withdrew the attempt or could not send it for
    /// a reason of its own, or the node does not hold the shard. It says nothing about the node's health.
    Skipped,
}

impl Outcome {
    /// Returns whether an attempt with this outcome may have had an effect.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Full | Outcome::Refused | Outcome::Skipped)
    }

    /// Returns whether the node may still be processing an attempt with this outcome.
    pub fn may_be_running(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled)
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt within the request.
    pub number: AttemptNumber,
    /// How it ended.
    pub outcome: Outcome,
    /// The time from sending the attempt to its end.
    pub latency: TimeDelta,
    /// The request has ended as well, whatever the outcome of the attempt.
    pub request_is_over: bool,
}

/// The shares of a volume's limit that this host lends to other hosts and borrows from them, as fractions of the
/// whole limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLeases {
    /// The share lent to other hosts, until the next change.
    pub lent: f64,
    /// The share borrowed from other hosts, until `until`.
    pub borrowed: f64,
    /// The time at which `borrowed` ends.
    pub until: Instant,
}

/// A change of the quota leases of a volume.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseChange {
    /// The volume whose limit is shared.
    pub volume: VolumeId,
    /// The plan that applies to the volume.
    pub plan: PlanId,
    /// The number of hosts that receive requests for the volume.
    pub hosts: u32,
    /// This host's leases from now on, which replace the earlier ones.
    pub leases: QuotaLeases,
}

/// The state of a node in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// Accepts requests.
    Ready,
    /// Finishes the attempts in flight and accepts no new ones.
    Draining,
    /// Has been removed.
    Gone,
}

/// The kind of an endpoint list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// The complete list; nodes that it does not name are gone.
    Complete,
    /// The complete list as last saved by the host, which may be out of date.
    Saved,
    /// No list: a call for it failed, or the subscription to its changes broke.
    Failed,
}

/// One entry of an endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeId,
    /// Whether the node accepts requests.
    pub state: NodeState,
    /// The zone in which the node runs.
    pub zone: ZoneId,
    /// The shard that the node holds.
    pub shard: ShardId,
    /// When the node last started; `None`: not known, or long ago.
    pub up_since: Option<Instant>,
}
