//! The records that a trace is sorted into.

use super::period::Period;
use tackmast_trace::{AnswerKind, AttemptEndKind, AttemptName, ListedState};

/// A command, by the numbers that its client and host know it by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct CommandId {
    pub(crate) host: u32,
    pub(crate) session: u32,
    pub(crate) command: u32,
}

/// A final answer as the client received it.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) time_us: u64,
    pub(crate) kind: AnswerKind,
}

/// A command as its client saw it.
#[derive(Debug)]
pub(crate) struct Command {
    pub(crate) id: CommandId,
    pub(crate) submitted_us: u64,
    /// Index of the traffic class.
    pub(crate) traffic_class: u32,
    /// Requests that the command is split into, one for each extent it touches; `None` where the size of extents is not known.
    pub(crate) request_count: Option<u64>,
    /// Time from its submission until nobody waits for the answer.
    pub(crate) deadline_us: u64,
    pub(crate) answers: Vec<Answer>,
    /// When the client gave the command up.
    pub(crate) given_up_us: Option<u64>,
    /// When its connection was reset: no answer can arrive any more.
    pub(crate) connection_lost_us: Option<u64>,
    /// When its host ended, if that was before the answer.
    pub(crate) host_down_us: Option<u64>,
}

/// How an attempt ended at its node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeOutcome {
    pub(crate) time_us: u64,
    pub(crate) kind: AttemptEndKind,
    /// Whether the work had its effect.
    pub(crate) had_effect: bool,
}

/// When an attempt is over for its host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostOutcome {
    pub(crate) time_us: u64,
    /// Whether the node may still be working on the attempt after that.
    pub(crate) may_still_run: bool,
}

/// An attempt as its node saw it.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// When its node received it.
    pub(crate) received_us: u64,
    pub(crate) node: String,
    pub(crate) name: AttemptName,
    /// Part of the command.
    pub(crate) part: u16,
    pub(crate) volume: u32,
    /// Units by its number of bytes.
    pub(crate) units: f64,
    /// Units by its host.
    pub(crate) claimed_units: f64,
    /// Its order key; 0: none.
    pub(crate) key: u64,
    /// Time left until its deadline when the node received it.
    pub(crate) left_us: u64,
    pub(crate) outcome: Option<NodeOutcome>,
    pub(crate) link_down_us: Option<u64>,
    /// Index of its command.
    pub(crate) command: Option<usize>,
}

impl Attempt {
    /// When the attempt is over for its host. A cancel ends nothing: the host waits for the node's answer until the attempt's
    /// deadline.
    pub(crate) fn host_outcome(&self) -> HostOutcome {
        let deadline_us = self.received_us + self.left_us;
        let unknown_us = self.link_down_us.map_or(deadline_us, |link_down_us| link_down_us.min(deadline_us));
        match self.outcome {
            Some(outcome) if outcome.time_us <= unknown_us => {
                HostOutcome { time_us: outcome.time_us, may_still_run: false }
            }
            _ => HostOutcome { time_us: unknown_us, may_still_run: true },
        }
    }

    /// Whether the node reported that the attempt never ran.
    pub(crate) fn never_ran(&self) -> bool {
        self.outcome.is_some_and(|outcome| outcome.kind == AttemptEndKind::NeverRan)
    }
}

/// A start of a node.
#[derive(Debug)]
pub(crate) struct NodeGeneration {
    pub(crate) node: String,
    pub(crate) started_us: u64,
    pub(crate) zone: u32,
    pub(crate) shard: u32,
    /// Units a second at full capacity.
    pub(crate) capacity: f64,
    /// Fraction of its capacity that the node starts with.
    pub(crate) initial_capacity: f64,
    /// How long the node takes to reach its full capacity.
    pub(crate) warm_us: u64,
}

/// What a host knows of a node from a moment on.
#[derive(Clone, Debug)]
pub(crate) struct Notification {
    pub(crate) time_us: u64,
    pub(crate) state: ListedState,
    /// When the node last started; 0: not known.
    pub(crate) node_started_us: u64,
    /// Whether the endpoint list sent it. The others stand for a host that has just started and knows nothing.
    pub(crate) from_list: bool,
}

/// From when on operators hold a node out of service, or no longer.
#[derive(Clone, Debug)]
pub(crate) struct OutOfService {
    pub(crate) time_us: u64,
    pub(crate) out: bool,
}

/// Limit and burst of a volume, from their acknowledgement until the next ones are in force.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitPeriod {
    pub(crate) period: Period,
    /// Units a second; 0: no limit.
    pub(crate) limit: f64,
    /// Units that may be admitted at once.
    pub(crate) burst: f64,
    /// Units by which all hosts together may go beyond both.
    pub(crate) slack: f64,
}
