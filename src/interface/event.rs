//! What the scheduler has to say to operators: a fixed message and named fields. docs/on-call.md has a row for each.

use super::{NodeId, TimeDelta};
use std::fmt::{Display, Formatter, Result};

/// A change of mode that an operator may want to know.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SchedulerEvent {
    /// Nearly all of a node's last answers are bad: it is ejected and gets probes only.
    NodeUnhealthy {
        /// Which node.
        node: NodeId,
        /// Good answers among the last ones, the older counting less.
        successes: f64,
        /// Bad answers among the last ones, the older counting less.
        failures: f64,
    },
    /// An ejected node answers again and is back in service.
    NodeHealthy {
        /// Which node.
        node: NodeId,
        /// Good answers among the last ones, the older counting less.
        successes: f64,
        /// Bad answers among the last ones, the older counting less.
        failures: f64,
    },
    /// The endpoint list shows a new start of a node: slow start begins.
    NodeRestarted {
        /// Which node.
        node: NodeId,
        /// For how long it has been up.
        uptime: TimeDelta,
    },
    /// Attempts or their answers get lost on the way; attempts have timeouts meanwhile.
    AttemptLossBegan {
        /// Attempts that were lost, the older counting less.
        lost: f64,
        /// Attempts that were answered, the older counting less.
        answered: f64,
    },
    /// Attempts do not get lost any more.
    AttemptLossEnded {
        /// Attempts that were lost, the older counting less.
        lost: f64,
        /// Attempts that were answered, the older counting less.
        answered: f64,
    },
    /// A call for the endpoint list failed, or following it broke off.
    EndpointListUnavailable {
        /// Failures in a row, with this one.
        failures: u32,
        /// When the next call is made.
        retry_in: TimeDelta,
    },
    /// The endpoint list is followed again.
    EndpointListRecovered {
        /// Failures in a row before.
        failures: u32,
    },
}

impl SchedulerEvent {
    /// The message, the same for every event of its kind.
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

    /// The node that it is about, if it is about one.
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

/// One line: the message, then `name=value` for each field; times in seconds.
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
