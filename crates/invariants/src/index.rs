//! The trace sorted for the rules: commands with their answers, requests with their attempts, what each host was notified of,
//! and when hosts could not act.

mod builder;
mod period;
mod records;

pub(crate) use period::Period;
pub(crate) use records::{
    Answer, Attempt, Command, CommandId, LimitPeriod, NodeGeneration, NodeOutcome, Notification, OutOfService,
};

use crate::error::TraceError;
use builder::IndexBuilder;
use period::HostPeriods;
use std::collections::{BTreeMap, HashMap};
use tackmast_trace::{Event, Facts, Line, TrafficClassFacts};

/// A request, by its host, the host's generation, and its number within that generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestId {
    pub(crate) host: u32,
    pub(crate) generation: u64,
    pub(crate) request: u64,
}

/// A node as one host sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct HostAndNode {
    pub(crate) host: u32,
    pub(crate) node: String,
}

/// A trace, sorted.
#[derive(Debug)]
pub(crate) struct Index {
    pub(crate) facts: Facts,
    pub(crate) commands: Vec<Command>,
    /// In the order in which nodes received them.
    pub(crate) attempts: Vec<Attempt>,
    /// Indices of each request's attempts, in the order in which nodes received them. No request is without one.
    pub(crate) requests: BTreeMap<RequestId, Vec<usize>>,
    /// What the endpoint list sent, the oldest first.
    pub(crate) notifications: HashMap<HostAndNode, Vec<Notification>>,
    /// Operators' overrides, the oldest first.
    pub(crate) overrides: HashMap<HostAndNode, Vec<OutOfService>>,
    pub(crate) generations: Vec<NodeGeneration>,
    /// By volume, the oldest first.
    pub(crate) limits: BTreeMap<u32, Vec<LimitPeriod>>,
    /// When a host's process was suspended.
    pub(crate) suspensions: HostPeriods,
    /// When no client reached a host.
    pub(crate) client_cuts: HostPeriods,
    /// Time of the last line.
    pub(crate) end_us: u64,
    /// Why the trace proves nothing, where that is so.
    pub(crate) defect: Option<TraceError>,
}

impl Index {
    pub(crate) fn new(lines: &[Line]) -> Result<Index, TraceError> {
        let facts = lines.iter().find_map(|line| match &line.event {
            Event::Facts(facts) => Some(facts.clone()),
            _ => None,
        });
        let end_us = lines.last().map_or(0, |line| line.t);
        let mut builder = IndexBuilder::new(Index::empty(facts.ok_or(TraceError::NoFacts)?, end_us));
        lines.iter().for_each(|line| builder.on_line(line));
        Ok(builder.finish())
    }

    /// Without any event.
    fn empty(facts: Facts, end_us: u64) -> Index {
        let initial_limit = |volume: &tackmast_trace::VolumeFacts| LimitPeriod {
            period: Period::starting_at(0),
            limit: volume.limit,
            burst: volume.burst,
            slack: volume.slack,
        };
        Index {
            limits: facts.volumes.iter().map(|volume| (volume.volume, vec![initial_limit(volume)])).collect(),
            facts,
            commands: Vec::new(),
            attempts: Vec::new(),
            requests: BTreeMap::new(),
            notifications: HashMap::new(),
            overrides: HashMap::new(),
            generations: Vec::new(),
            suspensions: HostPeriods::default(),
            client_cuts: HostPeriods::default(),
            end_us,
            defect: None,
        }
    }

    /// By when a command's answer is due. A host that is suspended or cut off from its clients can't answer: the answer is due
    /// when it could be sent, within the slack. A host that was suspended reads a command when it resumes, and can't tell how
    /// long the command had waited: the deadline counts from then. An outage that was over in time excuses nothing.
    pub(crate) fn due_us(&self, command: &Command) -> u64 {
        let facts = &self.facts;
        let (host, submitted_us) = (command.id.host, command.submitted_us);
        let suspensions = self.suspensions.of_host(host);
        let unread = suspensions
            .iter()
            .find(|period| period.from_us <= submitted_us + facts.skew_us && submitted_us < period.until_us);
        let read_us = unread.map_or(submitted_us, |period| period.until_us);
        let own_due_us = read_us.saturating_add(command.deadline_us + facts.answer_slack_us);
        let mut outages = [suspensions, self.client_cuts.of_host(host)].concat();
        outages.sort_unstable();
        outages.into_iter().fold(own_due_us, |due_us, outage| {
            if outage.from_us <= due_us && outage.until_us > submitted_us {
                due_us.max(outage.until_us.saturating_add(facts.answer_slack_us))
            } else {
                due_us
            }
        })
    }

    /// From when on a host knows of something that a client did at that time: not while the host is suspended or cut off.
    pub(crate) fn known_to_host_us(&self, host: u32, time_us: u64) -> u64 {
        self.suspensions.end_after(host, time_us).max(self.client_cuts.end_after(host, time_us))
    }

    pub(crate) fn traffic_class(&self, command: &Command) -> Option<&TrafficClassFacts> {
        self.facts.traffic_classes.get(command.traffic_class as usize)
    }

    /// The command that an attempt belongs to.
    pub(crate) fn command_of(&self, attempt: &Attempt) -> Option<&Command> {
        attempt.command.map(|index| &self.commands[index])
    }

    /// The generation of a node at a moment.
    pub(crate) fn node_generation(&self, node: &str, time_us: u64) -> Option<&NodeGeneration> {
        let generations = self.generations.iter().rev();
        generations.into_iter().find(|generation| generation.node == node && generation.started_us <= time_us)
    }

    /// What the host of an attempt was notified of its node.
    pub(crate) fn notifications_for(&self, attempt: &Attempt) -> Option<&[Notification]> {
        self.notifications.get(&HostAndNode::of(attempt)).map(Vec::as_slice)
    }

    /// What a report calls an attempt.
    pub(crate) fn title(&self, attempt: &Attempt) -> String {
        let (part, name) = (attempt.part, attempt.name);
        match self.command_of(attempt).map(|command| command.id) {
            Some(CommandId { host, session, command }) => {
                format!("{host}/{session}/{command} part {part} attempt {}", name.attempt)
            }
            None => {
                let (host, generation, request) = (name.host, name.generation, name.request);
                format!("{host}/{generation:x} number {request} attempt {}", name.attempt)
            }
        }
    }

    /// Requests that a host received within a period, both ends included: of each command as many as it touches extents. Where
    /// the size of extents is not known, one a command and one for each other part that a node received.
    pub(crate) fn max_request_count(&self, host: u32, from_us: u64, to_us: u64, command_count: usize) -> f64 {
        let is_within = |command: &Command| (from_us..=to_us).contains(&command.submitted_us);
        let commands = self.commands.iter().filter(|command| command.id.host == host && is_within(command));
        let by_extents: Option<u64> = commands.map(|command| command.request_count).sum();
        if let Some(request_count) = by_extents {
            return request_count as f64;
        }
        let first_attempts = self.requests.values().map(|attempts| &self.attempts[attempts[0]]);
        let other_parts = first_attempts
            .filter(|attempt| attempt.part > 0 && attempt.name.host == host)
            .filter(|attempt| self.command_of(attempt).is_some_and(is_within));
        (command_count + other_parts.count()) as f64
    }
}

impl HostAndNode {
    pub(crate) fn of(attempt: &Attempt) -> Self {
        HostAndNode { host: attempt.name.host, node: attempt.node.clone() }
    }
}
