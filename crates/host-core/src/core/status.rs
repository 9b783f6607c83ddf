//! The status of a host, as shown to operators.

use super::Core;
use crate::admin_request::HostStatus;
use tackmast::interface::{Instant, NodeEntry, NodeState};
use tackmast_overrides::Overrides;

impl Core {
    pub(super) fn status(&self, now: Instant) -> HostStatus {
        let overrides = self.override_requests.as_ref().map(|requests| &requests.overrides);
        let node = |(address, listed): (&str, &NodeEntry)| {
            let mut effective = *listed;
            self.apply_overrides(now, &mut effective);
            Some((address.parse().ok()?, state_name(listed.state), state_name(effective.state)))
        };
        HostStatus {
            host: self.number,
            overrides: overrides.map_or(0, Overrides::len),
            version: overrides.map_or(0, Overrides::version),
            returning: overrides.map_or(0, |overrides| overrides.returning().0),
            alive_hosts: self.peers.as_ref().map_or(0, |peers| peers.member.live_count()),
            commands: self.commands.len(),
            attempts: self.attempt_deadlines.len(),
            commands_received: self.counters.commands_received,
            done: self.counters.commands_done,
            rejected: self.counters.commands_rejected,
            failed: self.counters.commands_failed,
            nodes: self.nodes.entries().filter_map(node).collect(),
        }
    }
}

/// Returns the name of a node state, as shown to operators.
fn state_name(state: NodeState) -> String {
    let name = match state {
        NodeState::Ready => "ready",
        NodeState::Draining => "draining",
        NodeState::Gone => "gone",
    };
    name.to_owned()
}
