//! Guards the stored format of the endpoint list: a host must load a list that an earlier build saved, and must save the same list as
//! the same bytes.

mod common;

use common::{loopback, settings, TEST_TIMEOUT};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tackmast::interface::NodeState;
use tackmast_config::HostSettings;
use tackmast_emulators::list::NodeList;
use tackmast_host::Host;
use tackmast_trace::Recorder;
use tackmast_wire::list::{Entry, State};

/// A list as earlier builds saved it.
const SAVED: &str = include_str!("fixtures/saved_list.json");
const FIRST: &str = "127.0.0.1:1";
const SECOND: &str = "127.0.0.1:2";

fn settings_with(list: std::net::SocketAddr, saved: &Path) -> HostSettings {
    let mut settings = settings(list);
    settings.host.saved_list = Some(saved.into());
    settings
}

fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(Instant::now() < deadline, "no {what} in {TEST_TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn file_in(folder: &tempfile::TempDir) -> PathBuf {
    folder.path().join("saved_list.json")
}

/// A host starts with a list that an earlier build saved, and the list service does not answer. The host must know the saved nodes, and
/// must leave the file unchanged.
#[test]
fn host_starts_with_the_list_that_an_earlier_build_saved() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(file_in(&folder), SAVED).unwrap();
    // Nothing listens on this address, so the host knows only the nodes of the file.
    let host = Host::start(settings_with("127.0.0.1:1".parse().unwrap(), &file_in(&folder))).unwrap();
    let mut nodes =
        wait_for("nodes", || host.status().map(|status| status.nodes).filter(|nodes| nodes.len() == 2));
    nodes.sort_by(|a, b| a.0.cmp(&b.0));
    host.stop();
    assert_eq!(nodes, [(FIRST.to_owned(), NodeState::Ready), (SECOND.to_owned(), NodeState::Draining)]);
    assert_eq!(
        std::fs::read_to_string(file_in(&folder)).unwrap(),
        SAVED,
        "a failed call must not change the file"
    );
}

/// A host receives a list and saves it. The file must have the same bytes as one that an earlier build saved.
#[test]
fn list_is_saved_in_the_form_of_an_earlier_build() {
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
