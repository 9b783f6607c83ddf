//! The endpoint list: polling it, applying it, and its move to another address.

use super::*;

impl Host {
    pub(super) fn poll_list(&mut self, now: Instant) {
        // Against a list that answers at once without news: the calls still make one watch, and load it little.
        let due = self.last_poll_at + TimeDelta::from_secs(MIN_POLL_INTERVAL);
        if due > now {
            return self.next_poll_at = Some(due);
        }
        (self.last_poll_at, self.next_poll_at) = (now, None);
        let after = self.has_list.then(|| self.core.list_version());
        let failed = self.watch.poll(now, &self.poller, after).err();
        self.handle_watch_event(now, failed);
    }

    pub(super) fn handle_watch_event(&mut self, now: Instant, handle_watch_event: Option<WatchEvent>) {
        match handle_watch_event {
            None => {}
            Some(WatchEvent::Failed(why)) => {
                tracing::debug!(why, "poll of the endpoint list failed");
                (self.follows_list, self.list_polled) = (false, true);
                self.core.handle_endpoint_list(now, ListKind::Failed, 0, 0, &[]);
            }
            // Older than what is known: an answer that came late, or a list that has lost its memory. It must not give a node
            // back that drains; the whole list decides.
            Some(WatchEvent::List(from, list)) if self.has_list && list.version < from => {
                tracing::info!(
                    from,
                    version = list.version,
                    "endpoint list went back to an older version: polling the complete list"
                );
                (self.list_polled, self.has_list) = (true, false);
                self.follows_list = true;
                self.poll_list(now);
            }
            Some(WatchEvent::List(from, list)) => {
                self.list_polled = true;
                self.apply_list(now, kind(&list), from, &list);
                if self.follows_list {
                    self.poll_list(now);
                }
            }
        }
    }

    pub(super) fn apply_list(&mut self, now: Instant, kind: ListKind, from: u64, list: &List) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        let entries = list.members.iter().map(|m| ListEntry {
            id: m.id.clone(),
            address: m.address.to_string(),
            state: m.state,
            zone: m.zone,
            shard: m.shard,
            // All machines of the platform read the same clock.
            start: m.up_since_ms.map(|ms| {
                let age = Age::ByListClock(TimeDelta::from_secs(wall - ms as f64 / 1e3));
                NodeStart { name: ms, age }
            }),
        });
        let entries: Vec<ListEntry> = entries.collect();
        self.core.handle_endpoint_list(now, kind, from, list.version, &entries);
        self.has_list = true;
        let nodes = self.core.nodes();
        let good = |node, address: SocketAddr| {
            let ready = nodes.entry(node).is_some_and(|e| e.state == NodeState::Ready);
            ready && nodes.address(node) == Some(&address.to_string())
        };
        self.links.close_unused_unless(good, &mut self.attempt_results);
        self.report_attempt_results(now);
    }

    /// The list is to be had at this place from now on: asked at once, also where no call was on its way as the last one had
    /// failed. What counts as notified some seconds from now must not wait for a pause that began before.
    pub(super) fn discovery_moved(&mut self, now: Instant, to: SocketAddr) {
        let moves = if to == self.watch.address() { "discovery unchanged" } else { "discovery moved" };
        tracing::info!(list = %to, "configuration reloaded: {moves}");
        if let Some(WatchEvent::List(from, list)) = self.watch.address_changed(to, &self.settings) {
            self.apply_list(now, kind(&list), from, &list);
        }
        self.follows_list = true;
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
