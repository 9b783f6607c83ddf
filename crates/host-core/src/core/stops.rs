//! Nodes that other hosts' newer node lists take away, while this host's own list is older, or its service has gone back.

use super::*;
use tackmast_membership::{NodeListEvent, NodeRemoval};

/// Nodes that are held so, at most.
const STOPS: usize = 4_096;
/// Seconds for which it holds at most: a service that was begun anew counts from a low version again.
const STANDS_S: f64 = 600.0;

/// By address: the version that takes the node away, and until when that holds.
#[derive(Default)]
pub(super) struct Stops {
    held: BTreeMap<String, (u64, Instant)>,
    full: bool,
}

impl Stops {
    /// Whether it is not to be chosen by a host whose list is at that version.
    pub fn takes(&self, address: &str, version: u64) -> bool {
        self.held.get(address).is_some_and(|(v, _)| *v > version)
    }
}

impl Core {
    /// What other hosts say of the node list. It only ever takes nodes away.
    pub(super) fn list_of_others(&mut self, now: Instant, came: NodeListEvent) {
        match came {
            NodeListEvent::Behind { .. } => self.outputs.push_back(Output::FetchList),
            NodeListEvent::RolledBack { from, to } => self.mode(format!(
                "list: it went back from version {from} to {to}; what drained or was gone by {from} stays so for {STANDS_S} s, or until it is past {from}"
            )),
            NodeListEvent::Removed { version, removal: stop } => self.stop_by_others(now, version, stop),
        }
    }

    fn stop_by_others(&mut self, now: Instant, version: u64, stop: NodeRemoval) {
        if version <= self.list_version {
            return;
        }
        let known = self.stops.held.contains_key(&stop.address);
        if !known && self.stops.held.len() >= STOPS {
            if !std::mem::replace(&mut self.stops.full, true) {
                self.mode(format!(
                    "list: {STOPS} nodes are taken away by other hosts' lists; no more are taken"
                ));
            }
            return;
        }
        let until = now + TimeDelta::from_secs(STANDS_S);
        let before = self.stops.held.insert(stop.address.clone(), (version, until));
        if before.is_none() {
            let word = if stop.gone { "gone" } else { "draining" };
            self.mode(format!("list: node {} is {word} by version {version} of another host", stop.address));
        }
        self.tell_again(now, &[stop.address]);
    }

    /// The module hears of these nodes as they are given now.
    fn tell_again(&mut self, now: Instant, addresses: &[String]) {
        for a in addresses {
            let Some(mut e) = self.nodes.number(a).and_then(|n| self.nodes.entry(n)) else { continue };
            self.given(now, &mut e);
            self.scheduler.nodes_changed(now, ListKind::Changes, &[e]);
        }
        self.stop_nodes(now);
    }

    /// This host's own list has moved: what it is past is its own word again, and others hear where it is.
    pub(super) fn own_list(&mut self, now: Instant) {
        let version = self.list_version;
        let over = |v: &(u64, Instant)| v.0 <= version || v.1 <= now;
        let ended: Vec<String> =
            self.stops.held.iter().filter(|(_, v)| over(v)).map(|(a, _)| a.clone()).collect();
        self.stops.held.retain(|_, v| !over(v));
        self.stops.full &= !ended.is_empty();
        self.tell_again(now, &ended);
        let Some(f) = &mut self.fellows else { return };
        let stopped = self.nodes.entries().filter(|(_, e)| e.state != NodeState::Ready);
        let stops: Vec<NodeRemoval> = stopped
            .map(|(a, e)| NodeRemoval { address: a.to_owned(), gone: e.state == NodeState::Gone })
            .collect();
        f.member.handle_node_list(now, version, stops);
        self.follow_fellows(now);
    }
}
