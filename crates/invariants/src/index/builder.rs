//! Sorts the lines of a trace into an index.

mod clients;
mod hosts;
mod nodes;

use super::records::{CommandId, Notification};
use super::Index;
use crate::error::TraceError;
use std::collections::HashMap;
use tackmast_trace::{AttemptName, Event, Line, Side};

/// An index under construction.
pub(super) struct IndexBuilder {
    index: Index,
    /// Number of the line, from 1.
    line_number: usize,
    /// Time of the line.
    now_us: u64,
    /// Index of the last command of each name.
    commands: HashMap<CommandId, usize>,
    /// Index of the last attempt of each name at each node.
    attempts: HashMap<(String, AttemptName), usize>,
    /// Hosts that are down, and since when.
    down_hosts: HashMap<u32, u64>,
    /// Sessions by the local address of their client's connection.
    sessions: HashMap<String, Session>,
    /// Faults that cut a host off now. Its network is whole when the last of them is over.
    cuts: HashMap<(u32, Side), u32>,
    /// What the list sent to a suspended host counts from when the host resumes.
    unread_notifications: HashMap<u32, Vec<UnreadNotification>>,
}

/// A session of a client at a host.
struct Session {
    host: u32,
    session: u32,
}

/// What a suspended host has not read yet.
struct UnreadNotification {
    node: String,
    notification: Notification,
}

impl IndexBuilder {
    pub(super) fn new(index: Index) -> Self {
        IndexBuilder {
            index,
            line_number: 0,
            now_us: 0,
            commands: HashMap::new(),
            attempts: HashMap::new(),
            down_hosts: HashMap::new(),
            sessions: HashMap::new(),
            cuts: HashMap::new(),
            unread_notifications: HashMap::new(),
        }
    }

    pub(super) fn finish(self) -> Index {
        self.index
    }

    pub(super) fn on_line(&mut self, line: &Line) {
        let previous_us = self.now_us;
        self.line_number += 1;
        self.now_us = line.t;
        if line.t < previous_us {
            self.index.defect =
                Some(TraceError::OutOfOrder { line: self.line_number, time_us: line.t, previous_us });
        }
        self.on_event(&line.event);
    }

    fn on_event(&mut self, event: &Event) {
        match event {
            Event::Facts(_) | Event::Fault { .. } | Event::Cancel { .. } => {}
            Event::Truncated => self.index.defect = Some(TraceError::EventsLost),
            Event::Submit { .. } => self.on_submit(event),
            Event::Answer { host, session, command, kind, .. } => {
                self.on_answer(CommandId { host: *host, session: *session, command: *command }, *kind);
            }
            Event::Left { host, session, command } => {
                self.on_given_up(CommandId { host: *host, session: *session, command: *command });
            }
            Event::Session { host, session, client } => self.on_session(*host, *session, client),
            Event::ConnectionLost { client } => self.on_connection_lost(client),
            Event::HostUp { host } => self.on_host_up(*host),
            Event::HostDown { host } => self.on_host_down(*host),
            Event::HostStops { host } => self.on_host_suspended(*host),
            Event::HostGoes { host } => self.on_host_resumed(*host),
            Event::Cut { host, side, on: true } => self.on_cut(*host, *side),
            Event::Cut { host, side, on: false } => self.on_cut_over(*host, *side),
            Event::Notified { .. } => self.on_notified(event),
            Event::Ordered { host, node, out } => self.on_override(*host, node, *out),
            Event::PlanMoved { .. } => self.on_plan_changed(event),
            Event::NodeUp { .. } => self.on_node_up(event),
            Event::NodeDown { node } => self.on_node_down(node),
            Event::Attempt { .. } => self.on_attempt(event),
            Event::AttemptEnd { node, name, kind, ran } => self.on_attempt_end(node, *name, *kind, *ran),
            Event::LinkDown { node, attempts, .. } => self.on_link_down(node, attempts),
        }
    }

    /// Bytes of an extent of the volume, where they are known.
    fn extent_bytes(&self, volume: u32) -> Option<u64> {
        let mut volumes = self.index.facts.volumes.iter();
        volumes.find(|facts| facts.volume == volume && facts.extent_bytes > 0).map(|facts| facts.extent_bytes)
    }
}
