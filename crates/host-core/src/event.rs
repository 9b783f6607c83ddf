//! Events of a host for operators. Each has a fixed message and named fields; docs/on-call.md has a row for each message.
//!
//! The core only creates events. `log` is the one place that turns them into events of `tracing`.

mod endpoint_list;
pub(crate) mod log;
mod overrides;
mod plans;

pub use self::endpoint_list::EndpointListEvent;
pub use self::overrides::OverrideEvent;
pub use self::plans::PlanEvent;

use crate::error::PersistError;
use std::fmt::{Display, Formatter, Result};
use tackmast::interface::{NodeId, SchedulerEvent};
use tackmast_consensus::ConsensusEvent;
use tackmast_membership::MembershipEvent;

/// An event for operators, by the part of the host that reports it.
#[derive(Clone, Debug, PartialEq)]
pub enum HostEvent {
    /// An event of the scheduler.
    Scheduler(SchedulerEvent),
    /// An event of this host's replica.
    Consensus(ConsensusEvent),
    /// The store could not write a batch of the replicated log.
    ConsensusWriteFailed {
        /// The error of the store.
        error: PersistError,
    },
    /// An event of the membership of hosts.
    Membership(MembershipEvent),
    /// An event of the endpoint list.
    EndpointList(EndpointListEvent),
    /// An event of the overrides that operators set.
    Override(OverrideEvent),
    /// An event of plans that change while the host runs.
    Plan(PlanEvent),
}

impl HostEvent {
    /// Returns the message, which is the same for every event of its kind.
    pub fn message(&self) -> &'static str {
        match self {
            HostEvent::Scheduler(event) => event.message(),
            HostEvent::Consensus(event) => event.message(),
            HostEvent::ConsensusWriteFailed { .. } => "consensus: write failed",
            HostEvent::Membership(event) => event.message(),
            HostEvent::EndpointList(event) => event.message(),
            HostEvent::Override(event) => event.message(),
            HostEvent::Plan(event) => event.message(),
        }
    }

    /// Returns the node that the event is about; `None` if it is about no node that the scheduler knows.
    pub fn node(&self) -> Option<NodeId> {
        match self {
            HostEvent::Scheduler(event) => event.node(),
            HostEvent::Consensus(_)
            | HostEvent::ConsensusWriteFailed { .. }
            | HostEvent::Membership(_)
            | HostEvent::EndpointList(_)
            | HostEvent::Override(_)
            | HostEvent::Plan(_) => None,
        }
    }
}

/// Formats the event as one line: the message, then `name=value` for each field. Times are in seconds.
impl Display for HostEvent {
    fn fmt(&self, out: &mut Formatter<'_>) -> Result {
        match self {
            HostEvent::Scheduler(event) => event.fmt(out),
            HostEvent::Consensus(event) => event.fmt(out),
            HostEvent::ConsensusWriteFailed { error } => {
                write!(out, "{} error={:?}", self.message(), error.to_string())
            }
            HostEvent::Membership(event) => event.fmt(out),
            HostEvent::EndpointList(event) => event.fmt(out),
            HostEvent::Override(event) => event.fmt(out),
            HostEvent::Plan(event) => event.fmt(out),
        }
    }
}

impl From<EndpointListEvent> for HostEvent {
    fn from(event: EndpointListEvent) -> Self {
        HostEvent::EndpointList(event)
    }
}

impl From<OverrideEvent> for HostEvent {
    fn from(event: OverrideEvent) -> Self {
        HostEvent::Override(event)
    }
}

impl From<PlanEvent> for HostEvent {
    fn from(event: PlanEvent) -> Self {
        HostEvent::Plan(event)
    }
}

#[cfg(test)]
mod tests;
