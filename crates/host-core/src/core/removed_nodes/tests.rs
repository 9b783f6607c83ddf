//! Tests of the bounds on nodes that peers' lists remove, and of when a removal ends.

use super::{MAX_REMOVAL, MAX_REMOVED_NODES};
use crate::core::Core;
use crate::event::{EndpointListEvent, HostEvent};
use crate::nodes::ListEntry;
use crate::output::Output;
use tackmast::interface::{Instant, ListKind, NodeId, NodeState, ShardId, TimeDelta, ZoneId};
use tackmast_config::HostSettings;
use tackmast_membership::{EndpointListNotice, NodeRemoval};

const SETTINGS: &str = r#"
host {
  number = 0
  hosts = 1
  listen = "127.0.0.1:0"
  node_list = "127.0.0.1:1"
}
units {
  bytes = 4096
  most = 8
  mean = 1
}
plan "basic" {}
stream "s" {
  slo_ms = 200
  expiry_ms = 1000
  effect = "repeatable"
}
volume "v" {
  lun = 1
  plan = "basic"
  blocks = 1000
  extent_blocks = 10
  shards = [0]
  hosts = 1
  reads = "s"
  writes = "s"
}
"#;

/// When each test begins.
fn now() -> Instant {
    Instant::from_secs(10.0)
}

/// A peer whose list has that version reports that it removes so many nodes.
fn remove_nodes(core: &mut Core, version: u64, count: usize) {
    for node in 0..count {
        let removal = NodeRemoval { address: format!("v{version} node {node}"), gone: true };
        core.handle_peer_list_notice(now(), EndpointListNotice::Removed { version, removal });
    }
}

/// How often the core has reported since the last call that it accepts no more removals.
fn take_full_reports(core: &mut Core) -> usize {
    let is_full = |output: &Output| {
        matches!(output, Output::Event(HostEvent::EndpointList(EndpointListEvent::PeerRemovalsFull { .. })))
    };
    std::mem::take(&mut core.outputs).iter().filter(|output| is_full(output)).count()
}

/// Peers remove more nodes than the table holds, while this host's own list changes again and again without catching up with theirs. The
/// operator is told once. When the host's own list has caught up, the removals end; if the table fills up again, that is reported again.
#[test]
fn a_full_table_of_removals_is_reported_once_until_some_of_them_end() {
    let settings = HostSettings::parse("test", SETTINGS).unwrap();
    let mut core = Core::new(now(), &settings, 1, 1);
    remove_nodes(&mut core, 2, MAX_REMOVED_NODES + 1);
    assert_eq!(take_full_reports(&mut core), 1);
    for _ in 0..3 {
        core.handle_own_endpoint_list(now());
        remove_nodes(&mut core, 3, 1);
    }
    assert_eq!(take_full_reports(&mut core), 0, "none has ended");
    core.list_version = 2;
    core.handle_own_endpoint_list(now());
    remove_nodes(&mut core, 3, MAX_REMOVED_NODES + 1);
    assert_eq!(take_full_reports(&mut core), 1, "full again");
}

/// The address of the node that is removed in the tests below.
const NODE: &str = "a";

/// A core whose own list, at version 3, has one node, which is ready.
fn core_with_node() -> (Core, NodeId) {
    let settings = HostSettings::parse("test", SETTINGS).unwrap();
    let mut core = Core::new(now(), &settings, 1, 1);
    let entry = ListEntry {
        id: NODE.into(),
        address: NODE.into(),
        state: NodeState::Ready,
        zone: ZoneId(0),
        shard: ShardId(0),
        start: None,
    };
    core.handle_endpoint_list(now(), ListKind::Complete, 0, 3, &[entry]);
    let node = core.nodes().number(NODE).unwrap();
    (core, node)
}

/// A peer whose list has that version reports that it removes the node.
fn remove_node(core: &mut Core, version: u64) {
    let removal = NodeRemoval { address: NODE.into(), gone: false };
    core.handle_peer_list_notice(now(), EndpointListNotice::Removed { version, removal });
}

/// A peer's newer list removes a node while this host's list service is unreachable. No list is applied any more, and the removal must end
/// all the same: a service that began anew counts from a low version, and the node would never be used again.
#[test]
fn removal_ends_in_time_while_the_own_list_fails() {
    let (mut core, node) = core_with_node();
    remove_node(&mut core, 9);
    let end = now() + MAX_REMOVAL;
    let before = end - TimeDelta::from_millis(1);
    core.handle_timeout(before);
    assert!(core.is_unavailable(before, node), "ended too early");
    assert!(core.poll_timeout(before).is_some_and(|timeout| timeout <= end), "no timeout at its end");
    core.handle_timeout(end);
    assert!(!core.is_unavailable(end, node), "the removal outlasts its time");
    assert!(core.removed_nodes.by_address.is_empty(), "kept in the table");
}

/// A peer whose list has version 9 reports that a node drains, then one whose list is still at version 7. This host's own list at version 7
/// or 8 is older than the drain, so the node must stay removed until it is at 9.
#[test]
fn removal_by_an_older_list_does_not_replace_one_by_a_newer_list() {
    let (mut core, node) = core_with_node();
    remove_node(&mut core, 9);
    remove_node(&mut core, 7);
    for (version, is_removed) in [(7, true), (8, true), (9, false)] {
        core.list_version = version;
        core.handle_own_endpoint_list(now());
        assert_eq!(core.is_unavailable(now(), node), is_removed, "own version {version}");
    }
}
