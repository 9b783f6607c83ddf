//! Handling of events in the core thread.

use super::{CoreThread, SessionHandle};
use crate::list::{node_start, ListCommand};
use crate::messages::{Event, Status};
use crate::peers::Peers;
use std::net::Shutdown;
use std::ops::ControlFlow;
use tackmast::interface::{Instant, ListKind, NodeId, NodeState, TimeDelta};
use tackmast_host_core::{Age, ClientCommand, Core, ListEntry, OpenCounts};

impl CoreThread {
    /// Handles an event. Returns `Break` for [`Event::Stop`].
    pub(super) fn handle_event(&mut self, event: Event) -> ControlFlow<()> {
        let now = self.now;
        match event {
            Event::SessionOpened { session, writer, connection } => {
                self.sessions.insert(session, SessionHandle { writer, connection });
            }
            Event::Submit { from, lun, block, work, received_at, timeout } => {
                let idempotency_key = None;
                let command = ClientCommand { from, lun, block, work, received_at, timeout, idempotency_key };
                self.core.handle_command(now, command);
            }
            Event::Abort { from } => self.core.handle_abort(now, from),
            Event::SessionClosed { session } => {
                self.sessions.remove(&session);
                self.core.handle_session_closed(now, session);
            }
            Event::AttemptResult(result) => self.core.handle_attempt_result(now, result),
            Event::NodeUp { node, uptime, applied } => {
                self.core.handle_node_uptime(now, node, uptime);
                _ = applied.try_send(());
            }
            Event::List { kind, from, to, entries } => {
                self.core.handle_endpoint_list(now, kind, from, to, &entries);
                self.on_list_updated(kind);
            }
            Event::Status { answer_to } => _ = answer_to.try_send(self.status()),
            Event::AdminRequest { request, answer_to } => {
                self.last_admin_request += 1;
                self.admin_callers.insert(self.last_admin_request, answer_to);
                self.core.handle_admin_request(now, self.last_admin_request, request);
            }
            Event::Datagram { from, bytes } => self.core.handle_datagram(now, from, bytes),
            Event::BeginLeave => self.begin_leave(now),
            Event::AnnounceLeave => self.core.announce_leave(now),
            Event::Drain => self.core.drain(),
            Event::CloseOpenCommands => self.core.close_open_commands(now),
            Event::Persisted { request, result } => self.core.handle_persisted(now, request, result),
            Event::Stop => {
                self.close_sessions();
                return ControlFlow::Break(());
            }
        }
        ControlFlow::Continue(())
    }

    /// Marks the leave on disk, then lends the host's quota. If the mark can't be written, nothing is lent: quota lent without the mark
    /// could be used twice, by its borrower and by the next process of this host.
    fn begin_leave(&mut self, now: Instant) {
        self.is_leaving = true;
        if self.peers.as_mut().is_some_and(Peers::mark_leave) {
            self.core.begin_leave(now);
        }
    }

    /// Closes links to nodes that are gone, and saves the list to disk unless the call for it failed.
    fn on_list_updated(&mut self, kind: ListKind) {
        let core = &self.core;
        self.links.close_where(|node| is_gone(core, node));
        if kind != ListKind::Failed && self.settings.host.saved_list.is_some() {
            _ = self.list.try_send(ListCommand::Save(self.list_to_save()));
        }
    }

    fn list_to_save(&self) -> Vec<ListEntry> {
        let nodes = self.core.nodes();
        let present = nodes.entries().filter(|(_, entry)| entry.state != NodeState::Gone);
        let saved = present.map(|(address, entry)| ListEntry {
            id: address.to_owned(),
            address: address.to_owned(),
            state: entry.state,
            zone: entry.zone,
            shard: entry.shard,
            start: node_start(nodes.start_id(entry.node), Age::ByHostClock(TimeDelta::ZERO)),
        });
        saved.collect()
    }

    fn status(&self) -> Status {
        let OpenCounts { commands, requests, attempts } = self.core.open_counts();
        let entries = self.core.nodes().entries();
        Status {
            counters: self.core.counters,
            sessions: self.sessions.len(),
            commands,
            requests,
            attempts,
            nodes: entries.map(|(address, entry)| (address.to_owned(), entry.state)).collect(),
            core_seconds: self.time_in_core.as_secs_f64(),
        }
    }

    fn close_sessions(&self) {
        for session in self.sessions.values() {
            _ = session.connection.shutdown(Shutdown::Both);
        }
    }
}

/// Returns whether a node is gone according to the list and has no attempts in flight.
fn is_gone(core: &Core, node: NodeId) -> bool {
    let entry = core.nodes().entries().find(|(_, entry)| entry.node == node);
    entry.is_some_and(|(_, entry)| entry.state == NodeState::Gone) && !core.has_attempts_at(node)
}
