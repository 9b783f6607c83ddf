//! Tests of the limit on nodes removed by peers' lists, and of when a removal ends.

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

/// The time at which each test begins.
fn test_start() -> Instant {
    Instant::from_secs(10.0)
}

/// Handles reports of a peer whose list, at that version, removes `count` nodes.
fn remove_nodes(core: &mut Core, version: u64, count: usize) {
    for node in 0..count {
        let removal = NodeRemoval { address: format!("v{version} node {node}"), gone: true };
        core.handle_peer_list_notice(test_start(), EndpointListNotice::Removed { version, removal });
    }
}

/// Returns how often the core has reported since the last call that it accepts no more removals.
fn count_new_full_reports(core: &mut Core) -> usize {
    let is_full = |output: &Output| {
        matches!(output, Output::Event(HostEvent::EndpointList(EndpointListEvent::PeerRemovalsFull { .. })))
    };
    std::mem::take(&mut core.outputs).iter().filter(|output| is_full(output)).count()
}

/// Peers remove more nodes than the table holds, and this host's own list changes repeatedly without reaching the version of theirs. The
/// full table must be reported once. After the own list has reached that version and the removals have ended, a table that is full again
/// must be reported again.
#[test]
fn a_full_table_of_removals_is_reported_once_until_some_of_them_end() {
    let settings = HostSettings::parse("test", SETTINGS).unwrap();
    let mut core = Core::new(test_start(), &settings, 1, 1);
    remove_nodes(&mut core, 2, MAX_REMOVED_NODES + 1);
    assert_eq!(count_new_full_reports(&mut core), 1);
    for _ in 0..3 {
        core.handle_own_endpoint_list(test_start());
        remove_nodes(&mut core, 3, 1);
    }
    assert_eq!(count_new_full_reports(&mut core), 0, "none has ended");
    core.list_version = 2;
    core.handle_own_endpoint_list(test_start());
    remove_nodes(&mut core, 3, MAX_REMOVED_NODES + 1);
    assert_eq!(count_new_full_reports(&mut core), 1, "full again");
}

/// The address of the node that the tests below remove.
const NODE: &str = "a";

/// Creates a core whose own list, at version 3, has one node, which is ready.
fn core_with_node() -> (Core, NodeId) {
    let settings = HostSettings::parse("test", SETTINGS).unwrap();
    let mut core = Core::new(test_start(), &settings, 1, 1);
    let entry = ListEntry {
        id: NODE.into(),
        address: NODE.into(),
        state: NodeState::Ready,
        zone: ZoneId(0),
        shard: ShardId(0),
        start: None,
    };
    core.handle_endpoint_list(test_start(), ListKind::Complete, 0, 3, &[entry]);
    let node = core.nodes().number(NODE).unwrap();
    (core, node)
}

/// Handles a report of a peer whose list, at that version, removes the node.
fn remove_node(core: &mut Core, version: u64) {
    let removal = NodeRemoval { address: NODE.into(), gone: false };
    core.handle_peer_list_notice(test_start(), EndpointListNotice::Removed { version, removal });
}

/// A peer's newer list removes a node, and this host receives no list any more. The removal must still end: a list service that was reset
/// counts versions from a low number again, and the node would otherwise never be used again.
#[test]
fn removal_ends_after_its_maximum_duration_without_a_list() {
    let (mut core, node) = core_with_node();
    remove_node(&mut core, 9);
    let end = test_start() + MAX_REMOVAL;
    let before = end - TimeDelta::from_millis(1);
    core.handle_timeout(before);
    assert!(core.is_unavailable(before, node), "ended too early");
    assert!(core.poll_timeout(before).is_some_and(|timeout| timeout <= end), "no timeout at its end");
    core.handle_timeout(end);
    assert!(!core.is_unavailable(end, node), "the removal outlasts its time");
    assert!(core.removed_nodes.by_address.is_empty(), "kept in the table");
}

/// A peer with list version 9 reports that a node drains, and then a peer with list version 7 reports it. At versions 7 and 8 this host's
/// own list is older than the drain, so the node must stay removed until version 9.
#[test]
fn removal_by_an_older_list_does_not_replace_one_by_a_newer_list() {
    let (mut core, node) = core_with_node();
    remove_node(&mut core, 9);
    remove_node(&mut core, 7);
    for (version, is_removed) in [(7, true), (8, true), (9, false)] {
        core.list_version = version;
        core.handle_own_endpoint_list(test_start());
        assert_eq!(core.is_unavailable(test_start(), node), is_removed, "own version {version}");
    }
}
