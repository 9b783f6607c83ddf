//! Tests of the bound on nodes that peers' lists remove.

use super::MAX_REMOVED_NODES;
use crate::core::Core;
use crate::event::{EndpointListEvent, HostEvent};
use crate::output::Output;
use tackmast::interface::Instant;
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

/// The test takes no time.
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
