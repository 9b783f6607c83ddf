//! Guards the stored form of the node list: a host starts with a list that an earlier build saved, and saves today's list
//! as the same bytes.

mod common;

use common::{loopback, settings, PATIENCE};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tackmast::interface::NodeState;
use tackmast_config::HostSettings;
use tackmast_emulators::list::NodeList;
use tackmast_host::Host;
use tackmast_trace::Recorder;
use tackmast_wire::list::{Entry, State};

/// The form in which hosts have it on their disks.
const SAVED: &str = include_str!("fixtures/saved_list.json");
const FIRST: &str = "127.0.0.1:1";
const SECOND: &str = "127.0.0.1:2";

fn settings_with(list: std::net::SocketAddr, saved: &Path) -> HostSettings {
    let mut settings = settings(list, "");
    settings.host.saved_list = Some(saved.into());
    settings
}

fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(Instant::now() < end, "no {what} in {PATIENCE:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn file_in(folder: &tempfile::TempDir) -> PathBuf {
    folder.path().join("saved_list.json")
}

#[test]
fn a_list_of_an_earlier_build_is_what_a_host_starts_with() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(file_in(&folder), SAVED).unwrap();
    // Nothing answers there, so all that the host knows is from the file.
    let host = Host::start(settings_with("127.0.0.1:1".parse().unwrap(), &file_in(&folder))).unwrap();
    let mut nodes = wait_for("nodes", || host.status().map(|s| s.nodes).filter(|n| n.len() == 2));
    nodes.sort_by(|a, b| a.0.cmp(&b.0));
    host.stop();
    assert_eq!(nodes, [(FIRST.to_owned(), NodeState::Ready), (SECOND.to_owned(), NodeState::Draining)]);
    assert_eq!(
        std::fs::read_to_string(file_in(&folder)).unwrap(),
        SAVED,
        "a list that fails changes nothing"
    );
}

#[test]
fn a_list_is_saved_as_an_earlier_build_did() {
    let folder = tempfile::tempdir().unwrap();
    let list = NodeList::start(loopback(), Recorder::default()).unwrap();
    let node = |address: &str, state, zone, shard, started_us| Entry {
        address: address.into(),
        state,
        zone,
        shard,
        started_us,
    };
    let entries =
        [node(FIRST, State::Ready, 2, 0, 1_700_000_000_000_000), node(SECOND, State::Draining, 3, 1, 0)];
    list.put(entries);
    let host = Host::start(settings_with(list.address, &file_in(&folder))).unwrap();
    let saved = wait_for("saved list", || std::fs::read_to_string(file_in(&folder)).ok());
    host.stop();
    list.stop();
    assert_eq!(saved, SAVED);
}
