//! The bench's words and the field's term for each. No other module of this package spells them.

use crate::LinkError;
use serde_json::{json, Value};
use tackmast::interface::{ListKind, NodeState, Outcome, TimeDelta};

/// An event that is of use to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventKind {
    /// A host starts.
    HostStarted,
    /// A host ends.
    HostEnded,
    /// An endpoint list was received, or a call for it failed.
    NodeList,
    /// A client has sent a request.
    RequestArrived,
    /// A streamed answer has begun.
    ResponseStarted,
    /// An attempt has ended.
    AttemptEnded,
    /// A client has left.
    ClientLeft,
    /// A timer that the host asked for has expired.
    TimerExpired,
}

impl EventKind {
    /// The event that the bench calls by this name; none: the name is not known.
    pub(crate) fn parse(name: &str) -> Option<Self> {
        Some(match name {
            "Provision" => EventKind::HostStarted,
            "Detach" => EventKind::HostEnded,
            "Fleet" => EventKind::NodeList,
            "Req" => EventKind::RequestArrived,
            "UnderWay" => EventKind::ResponseStarted,
            "Completed" => EventKind::AttemptEnded,
            "Vanished" => EventKind::ClientLeft,
            "Alarm" => EventKind::TimerExpired,
            _ => return None,
        })
    }
}

/// Whether an event answers what a host never asks for: probes and messages between hosts.
pub(crate) fn is_ignored_event(name: &str) -> bool {
    matches!(name, "Echo" | "Message")
}

/// Names of fields, as errors quote them.
pub(crate) mod field {
    /// The time of a batch.
    pub(crate) const TIME: &str = "wall";
    /// The events of a batch.
    pub(crate) const EVENTS: &str = "events";
    /// The decisions of a reply.
    pub(crate) const DECISIONS: &str = "orders";
    /// The seed of a host's random numbers.
    pub(crate) const SEED: &str = "init_seed";
    /// The settings of a host.
    pub(crate) const SETTINGS: &str = "env";
    /// The id of a request.
    pub(crate) const REQUEST: &str = "tid";
    /// The number of a traffic class.
    pub(crate) const TRAFFIC_CLASS: &str = "service";
    /// The number of a plan.
    pub(crate) const PLAN: &str = "qos_class";
    /// The time that a client still waits.
    pub(crate) const TIME_LEFT: &str = "budget";
    /// The name of a volume.
    pub(crate) const VOLUME: &str = "store_user";
    /// The cost of a request.
    pub(crate) const UNITS: &str = "weight";
    /// The shard that holds a piece of data.
    pub(crate) const SHARD_OF_REQUEST: &str = "lies_in";
    /// How many hosts share a volume.
    pub(crate) const HOSTS: &str = "hosts";
    /// The number of an attempt within its request.
    pub(crate) const ATTEMPT: &str = "try";
    /// The address of a node.
    pub(crate) const NODE: &str = "brick";
    /// How an attempt ended, or a list came.
    pub(crate) const HOW: &str = "how";
    /// How long an attempt took.
    pub(crate) const LATENCY: &str = "elapsed";
    /// Whether the request is over as well.
    pub(crate) const IS_OVER: &str = "ended";
    /// The entries of an endpoint list.
    pub(crate) const ENTRIES: &str = "elements";
    /// The state of a node.
    pub(crate) const NODE_STATE: &str = "status";
    /// The zone of a node.
    pub(crate) const ZONE: &str = "hall";
    /// The shard of a node.
    pub(crate) const SHARD_OF_NODE: &str = "cell";
    /// The number of a timer.
    pub(crate) const TIMER: &str = "token";
}

/// How an attempt ended.
pub(crate) fn outcome(name: &str) -> Result<Outcome, LinkError> {
    Ok(match name {
        "done" => Outcome::Done,
        "err" => Outcome::Error,
        "busy" => Outcome::Full,
        "etimedout" => Outcome::TimedOut,
        "econnrefused" => Outcome::Refused,
        "econnreset" => Outcome::Reset,
        "ecanceled" => Outcome::Cancelled,
        "skipped" => Outcome::Skipped,
        _ => return Err(unknown("outcome", name, "one of the wire's eight")),
    })
}

/// How an endpoint list came.
pub(crate) fn list_kind(name: &str) -> Result<ListKind, LinkError> {
    Ok(match name {
        "INCREMENTAL" => ListKind::Changes,
        "FULL" => ListKind::Complete,
        "SAVED" => ListKind::Saved,
        "FAILED" => ListKind::Failed,
        _ => return Err(unknown("list kind", name, "INCREMENTAL, FULL, SAVED or FAILED")),
    })
}

/// The state of a node.
pub(crate) fn node_state(name: &str) -> Result<NodeState, LinkError> {
    Ok(match name {
        "ready" => NodeState::Ready,
        "draining" => NodeState::Draining,
        "gone" => NodeState::Gone,
        _ => return Err(unknown(field::NODE_STATE, name, "ready, draining or gone")),
    })
}

fn unknown(field: &'static str, found: &str, expected: &'static str) -> LinkError {
    LinkError::UnknownValue { field, found: found.to_owned(), expected }
}

/// A decision of one host, as the bench reads it. Times are in seconds; 0 stands for none.
pub(crate) struct DecisionWriter {
    /// The number of the host.
    pub(crate) host: i64,
}

impl DecisionWriter {
    /// Send an attempt of a request to a node.
    pub(crate) fn send(&self, request: &str, node: &str, timeout: Option<TimeDelta>) -> Value {
        json!(["Transmit", self.host, request, node, timeout.map_or(0.0, TimeDelta::secs)])
    }

    /// A request is rejected.
    pub(crate) fn reject(&self, request: &str, retry_after: Option<TimeDelta>) -> Value {
        json!(["TurnAway", self.host, request, retry_after.map_or(0.0, TimeDelta::secs)])
    }

    /// A request has failed.
    pub(crate) fn fail(&self, request: &str) -> Value {
        json!(["ReportFailure", self.host, request])
    }

    /// Watch the endpoint list.
    pub(crate) fn watch_endpoint_list(&self) -> Value {
        json!(["Follow", self.host, true])
    }

    /// Write a line to the log.
    pub(crate) fn log(&self, line: &str) -> Value {
        json!(["SayLog", self.host, line])
    }

    /// Set a timer.
    pub(crate) fn set_timer(&self, after: TimeDelta, number: u64) -> Value {
        json!(["NotifyMe", self.host, after.secs().max(0.0), number])
    }
}
