//! The node list: asked for, told on, and moved.

use super::*;

impl Host {
    pub(super) fn ask(&mut self, now: Instant) {
        // Against a list that answers at once without news: the calls still make one watch, and load it little.
        let due = self.asked + TimeDelta::from_secs(CALLS_APART);
        if due > now {
            return self.ask_at = Some(due);
        }
        (self.asked, self.ask_at) = (now, None);
        let after = self.listed.then(|| self.core.list_version());
        let failed = self.watch.ask(now, &self.poller, after).err();
        self.news(now, failed);
    }

    pub(super) fn news(&mut self, now: Instant, news: Option<News>) {
        match news {
            None => {}
            Some(News::Failed(why)) => {
                tracing::debug!(why, "a call for the node list failed");
                (self.follows, self.heard) = (false, true);
                self.core.list_came(now, ListKind::Failed, 0, 0, &[]);
            }
            // Older than what is known: an answer that came late, or a list that has lost its memory. It must not give a node
            // back that drains; the whole list decides.
            Some(News::List(from, list)) if self.listed && list.version < from => {
                tracing::info!(from, version = list.version, "the node list goes back: asked for the whole");
                (self.heard, self.listed) = (true, false);
                self.follows = true;
                self.ask(now);
            }
            Some(News::List(from, list)) => {
                self.heard = true;
                self.list(now, kind(&list), from, &list);
                if self.follows {
                    self.ask(now);
                }
            }
        }
    }

    pub(super) fn list(&mut self, now: Instant, kind: ListKind, from: u64, list: &List) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        let entries = list.members.iter().map(|m| ListEntry {
            id: m.id.clone(),
            address: m.address.to_string(),
            state: m.state,
            zone: m.zone,
            shard: m.shard,
            // All machines of the platform read the same clock.
            start: m.up_since_ms.map(|ms| {
                let age = Age::Told(TimeDelta::from_secs(wall - ms as f64 / 1e3));
                Start { name: ms, age }
            }),
        });
        let entries: Vec<ListEntry> = entries.collect();
        self.core.list_came(now, kind, from, list.version, &entries);
        self.listed = true;
        let nodes = self.core.nodes();
        let good = |node, address: SocketAddr| {
            let ready = nodes.entry(node).is_some_and(|e| e.state == NodeState::Ready);
            ready && nodes.address(node) == Some(&address.to_string())
        };
        self.links.keep_where(good, &mut self.back);
        self.take_back(now);
    }

    /// The list is to be had at this place from now on: asked at once, also where no call was on its way as the last one had
    /// failed. What counts as told some seconds from now must not wait for a pause that began before.
    pub(super) fn list_moves(&mut self, now: Instant, to: SocketAddr) {
        let moves = if to == self.watch.address() { "nothing moves" } else { "the node list moves" };
        tracing::info!(list = %to, "configuration read: {moves}");
        if let Some(News::List(from, list)) = self.watch.moved(to, &self.settings) {
            self.list(now, kind(&list), from, &list);
        }
        self.follows = true;
        self.ask(now);
    }
}

fn kind(list: &List) -> ListKind {
    if list.complete {
        ListKind::Complete
    } else {
        ListKind::Changes
    }
}
