//! The endpoint list: polls, applying the answers, and changes of the list's address.

use super::Host;
use crate::list_watch::WatchEvent;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};
use tackmast::interface::{Instant, ListKind, NodeState, TimeDelta};
use tackmast_host_core::{Age, ListEntry, NodeStart};
use tackmast_platform::List;

/// Minimum time between polls of the endpoint list; well below the time after which a poll counts as a new watch.
pub(super) const MIN_POLL_INTERVAL: TimeDelta = TimeDelta::from_millis(50);

impl Host {
    /// Starts a poll of the list, or schedules it if [`MIN_POLL_INTERVAL`] has not passed since the last one.
    pub(super) fn poll_list(&mut self, now: Instant) {
        // Without the minimum interval, a list that answers at once without changes would be polled in a tight loop and overloaded.
        let due = self.last_poll_at + MIN_POLL_INTERVAL;
        if due > now {
            return self.next_poll_at = Some(due);
        }
        (self.last_poll_at, self.next_poll_at) = (now, None);
        let after = self.has_complete_list.then(|| self.core.list_version());
        let failed = self.watch.poll(now, &self.poller, after).err();
        self.handle_watch_event(now, failed);
    }

    /// Polls the complete list, at once or after the open poll, because changes are missing from the known list.
    pub(super) fn fetch_complete_list(&mut self, now: Instant) {
        self.has_complete_list = false;
        self.watch_list(now);
    }

    /// Starts to poll the list continuously.
    pub(super) fn watch_list(&mut self, now: Instant) {
        self.watches_list = true;
        if !self.watch.is_polling() {
            self.poll_list(now);
        }
    }

    /// Handles the result of a poll, if there is one.
    pub(super) fn handle_watch_event(&mut self, now: Instant, event: Option<WatchEvent>) {
        match event {
            None => {}
            Some(WatchEvent::Failed(why)) => {
                tracing::debug!(why, "poll of the endpoint list failed");
                self.watches_list = false;
                self.core.handle_endpoint_list(now, ListKind::Failed, 0, 0, &[]);
            }
            Some(WatchEvent::List { after, list }) => {
                self.handle_list_answer(now, after, &list);
                if self.watches_list {
                    self.poll_list(now);
                }
            }
        }
    }

    /// Applies the answer to a poll for changes after a version, unless the answer has an older version. Such an answer was delayed, or the
    /// list service has lost its state; applying it could make a draining node ready again. The complete list is polled next and is
    /// applied whatever its version.
    fn handle_list_answer(&mut self, now: Instant, after: u64, list: &List) {
        if list.version < after {
            tracing::info!(
                from = after,
                version = list.version,
                "endpoint list went back to an older version: polling the complete list"
            );
            (self.has_complete_list, self.watches_list) = (false, true);
            return;
        }
        self.apply_list(now, kind(list), after, list);
        // Changes alone confirm the list only if none before them are missing: one of those may be a drain.
        self.is_list_confirmed |= self.has_complete_list;
    }

    /// Passes a list to the core, and closes the unused connections to nodes that are no longer ready at their address.
    pub(super) fn apply_list(&mut self, now: Instant, kind: ListKind, from: u64, list: &List) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        let entries = list.members.iter().map(|member| ListEntry {
            id: member.id.clone(),
            address: member.address.to_string(),
            state: member.state,
            zone: member.zone,
            shard: member.shard,
            // All machines of the platform read the same wall clock.
            start: member.up_since_ms.map(|ms| {
                let age = Age::ByListClock(TimeDelta::from_secs(wall - ms as f64 / 1e3));
                NodeStart { id: ms, age }
            }),
        });
        let entries: Vec<ListEntry> = entries.collect();
        self.core.handle_endpoint_list(now, kind, from, list.version, &entries);
        // Changes do not include earlier changes that are missing, and the list of the configuration may consist of changes only.
        self.has_complete_list |= list.complete;
        let nodes = self.core.nodes();
        let is_current = |node, address: SocketAddr| {
            let is_ready = nodes.entry(node).is_some_and(|entry| entry.state == NodeState::Ready);
            is_ready && nodes.address(node) == Some(&address.to_string())
        };
        self.node_connections.close_unused_unless(is_current, &mut self.attempt_results);
        self.report_attempt_results(now);
    }

    /// Moves the watch to another address and polls it at once, even during a backoff. The host counts as notified of changes at the new
    /// address within seconds, so they must not wait for a backoff that was caused by the old address.
    pub(super) fn change_list_address(&mut self, now: Instant, to: SocketAddr) {
        if to == self.watch.address() {
            tracing::info!(list = %to, "configuration reloaded: discovery unchanged");
        } else {
            tracing::info!(list = %to, "configuration reloaded: discovery moved");
        }
        if let Some(WatchEvent::List { after, list }) = self.watch.address_changed(to, &self.settings) {
            self.handle_list_answer(now, after, &list);
        }
        self.watches_list = true;
        self.poll_list(now);
    }
}

fn kind(list: &List) -> ListKind {
    if list.complete {
        ListKind::Complete
    } else {
        ListKind::Changes
    }
}
