//! The events that the scheduler reports to operators, each with a fixed message and named fields. docs/on-call.md
//! has a row for each.

use super::{NodeId, TimeDelta};
use std::fmt::{Display, Formatter, Result};

/// A change of state that an operator may need to know about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SchedulerEvent {
    /// Nearly all recent attempts at a node failed: it is ejected and gets only probes.
    NodeUnhealthy {
        /// The node.
        node: NodeId,
        /// The count of successful attempts, in which older ones weigh less.
        successes: f64,
        /// The count of failed attempts, in which older ones weigh less.
        failures: f64,
    },
    /// An ejected node answers with success again and is back in service.
    NodeHealthy {
        /// The node.
        node: NodeId,
        /// The count of successful attempts, in which older ones weigh less.
        successes: f64,
        /// The count of failed attempts, in which older ones weigh less.
        failures: f64,
    },
    /// The endpoint list shows that a node has restarted: slow start begins.
    NodeRestarted {
        /// The node.
        node: NodeId,
        /// How long the node has been up.
        uptime: TimeDelta,
    },
    /// Attempts or their answers are being lost between host and nodes; until that ends, attempts get a timeout.
    AttemptLossBegan {
        /// The count of lost attempts, in which older ones weigh less.
        lost: f64,
        /// The count of answered attempts, in which older ones weigh less.
        answered: f64,
    },
    /// Attempts are no longer being lost.
    AttemptLossEnded {
        /// The count of lost attempts, in which older ones weigh less.
        lost: f64,
        /// The count of answered attempts, in which older ones weigh less.
        answered: f64,
    },
    /// A call for the endpoint list failed, or the subscription to its changes broke.
    EndpointListUnavailable {
        /// The number of failures in a row, including this one.
        failures: u32,
        /// The time until the next call.
        retry_in: TimeDelta,
    },
    /// The endpoint list is available again.
    EndpointListRecovered {
        /// The number of failures in a row before.
        failures: u32,
    },
}

impl SchedulerEvent {
    /// Returns the message, which is the same for all events of a variant.
    pub fn message(&self) -> &'static str {
        match self {
            SchedulerEvent::NodeUnhealthy { .. } => "node unhealthy",
            SchedulerEvent::NodeHealthy { .. } => "node healthy",
            SchedulerEvent::NodeRestarted { .. } => "node restarted: slow start",
            SchedulerEvent::AttemptLossBegan { .. } => "attempts get lost",
            SchedulerEvent::AttemptLossEnded { .. } => "attempts arrive",
            SchedulerEvent::EndpointListUnavailable { .. } => "node list unavailable",
            SchedulerEvent::EndpointListRecovered { .. } => "node list recovered",
        }
    }

    /// Returns the node that the event is about, or `None` for events that concern no single node.
    pub fn node(&self) -> Option<NodeId> {
        match self {
            SchedulerEvent::NodeUnhealthy { node, .. }
            | SchedulerEvent::NodeHealthy { node, .. }
            | SchedulerEvent::NodeRestarted { node, .. } => Some(*node),
            SchedulerEvent::AttemptLossBegan { .. }
            | SchedulerEvent::AttemptLossEnded { .. }
            | SchedulerEvent::EndpointListUnavailable { .. }
            | SchedulerEvent::EndpointListRecovered { .. } => None,
        }
    }
}

/// Writes one line: the message, then `name=value` for each field, with times in seconds.
impl Display for SchedulerEvent {
    fn fmt(&self, out: &mut Formatter<'_>) -> Result {
        out.write_str(self.message())?;
        if let Some(node) = self.node() {
            write!(out, " node={}", node.0)?;
        }
        match self {
            SchedulerEvent::NodeUnhealthy { successes, failures, .. }
            | SchedulerEvent::NodeHealthy { successes, failures, .. } => {
                write!(out, " successes={successes:.1} failures={failures:.1}")
            }
            SchedulerEvent::NodeRestarted { uptime, .. } => write!(out, " uptime_secs={:.1}", uptime.secs()),
            SchedulerEvent::AttemptLossBegan { lost, answered }
            | SchedulerEvent::AttemptLossEnded { lost, answered } => {
                write!(out, " lost={lost:.1} answered={answered:.1}")
            }
            SchedulerEvent::EndpointListUnavailable { failures, retry_in } => {
                write!(out, " failures={failures} retry_in_secs={:.2}", retry_in.secs())
            }
            SchedulerEvent::EndpointListRecovered { failures } => write!(out, " failures={failures}"),
        }
    }
}
