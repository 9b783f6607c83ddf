//! The hard cases as scenarios: each must keep every invariant, return the right bytes, and exercise the invariants that it names.
//! They run one at a time, so that a busy machine does not become a fault of its own.

use std::path::Path;
use std::process::Command;
use std::sync::{Mutex, PoisonError};

/// Held by the scenario that runs.
static RUNNING: Mutex<()> = Mutex::new(());

fn assert_scenario_passes(name: &str) {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let output = Command::new(env!("CARGO_BIN_EXE_tackmast"))
        .current_dir(root)
        .args(["scenario", &format!("scenarios/{name}.hcl")])
        .output()
        .expect("the command runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{name}:\n{text}\n{errors}");
}

macro_rules! scenarios {
    ($($name:ident = $file:literal),* $(,)?) => {$(
        /// Plays the scenario in this file; the comment at its top describes the failure.
        #[test]
        fn $name() {
            assert_scenario_passes($file);
        }
    )*};
}

scenarios! {
    two_hosts_serve_through_a_drain_and_failing_attempts = "quickstart",
    drain_with_requests_queued_and_in_flight = "drain",
    retries_never_overlap_nor_repeat_an_effect = "retries",
    hosts_crash_and_restart_under_load = "host-crash",
    all_nodes_restart_while_the_endpoint_list_is_stale = "mass-restart",
    clients_abort_and_violate_the_protocol = "misbehaving-clients",
    per_key_ordering_survives_timeouts = "per-key-ordering",
    malformed_frames_and_stalled_sockets = "socket-faults",
    overrides_end_through_restarts_and_surges = "overrides",
    hosts_with_quota_leases_keep_the_limit = "quota-leases",
    limits_change_under_load = "plan-changes",
    hosts_isolated_from_clients_endpoint_list_and_nodes = "membership/network-isolation",
    third_of_the_hosts_crashes_at_once = "membership/mass-crash",
    half_of_the_hosts_joins_at_once = "membership/mass-join",
    two_way_partition_heals = "membership/partition",
    three_way_partition_heals = "membership/three-way-partition",
    datagrams_are_lost_in_one_direction = "membership/asymmetric-partition",
    paused_hosts_resume = "membership/process-pauses",
    all_hosts_restart_at_other_addresses = "membership/full-restart",
    two_processes_have_the_same_host_number = "membership/duplicate-id",
    datagrams_are_lost_delayed_and_duplicated = "membership/packet-loss",
    clocks_and_disks_are_rolled_back = "membership/clock-and-disk-rollback",
    minority_partition_keeps_a_lowered_limit = "consensus/minority-partition",
    hosts_paused_past_their_lease = "consensus/paused-past-lease",
    voters_crash_one_by_one_and_all_at_once = "consensus/voter-crashes",
    concurrent_changes_are_linearizable = "consensus/concurrent-changes",
}

/// A script or a settings file is wrong. The command ends with one line that names the place.
#[test]
fn wrong_files_are_refused_with_one_line() {
    let dir = tempfile::tempdir().unwrap();
    let case = |name: &str, text: &str, args: &[&str]| {
        let file = dir.path().join(name);
        std::fs::write(&file, text).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_tackmast")).args(args).arg(&file).output().unwrap();
        assert_eq!(output.status.code(), Some(2), "{name}");
        String::from_utf8_lossy(&output.stderr).trim().replace(&format!("{}", file.display()), name)
    };
    let scenario = |text: &str| case("d.hcl", text, &["day"]);
    let config = |text: &str| case("c.hcl", text, &["config", "check"]);
    assert_eq!(
        scenario("day {\n  seconds = 0\n  hosts = 1\n}"),
        "tackmast: d.hcl:2: day seconds: 0; expected a number from 0.1 to 3600"
    );
    assert_eq!(
        config("units {\n  bytes = 4096\n  most = \"many\"\n  mean = 1\n}\nhost {\n  number = 0\n  hosts = 1\n  listen = \"127.0.0.1:0\"\n  node_list = \"127.0.0.1:1\"\n}"),
        "tackmast: c.hcl:3: units most: invalid type: string \"many\", expected f64"
    );
    let found = config("host {");
    assert!(
        found.starts_with("tackmast: c.hcl:1: HCL: ") && found.ends_with("expected an HCL document"),
        "{found}"
    );
    assert_eq!(
        config("hots {}").split(';').next_back(),
        Some(" expected one of host, bounds, units, load, further_legs, cold_nodes, overrides, membership, agreement, plans, stream, plan, volume")
    );
}

/// Whoever started a host stops reading its output and closes the pipe. The host must continue to serve.
#[test]
fn host_serves_when_nobody_reads_its_output() {
    use std::io::Write;
    use std::time::Duration;
    // Found by a scenario of twelve hosts: its runner read only the first line, and the hosts ended when they wrote the next.
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("host.hcl");
    let mut settings = std::fs::File::create(&file).unwrap();
    settings.write_all(
        b"host {\n number = 0\n hosts = 1\n listen = \"127.0.0.1:0\"\n listen_nbd = \"127.0.0.1:0\"\n node_list = \"127.0.0.1:1\"\n}\nunits {\n bytes = 4096\n most = 8\n mean = 2\n}\nplan \"p\" {}\nstream \"s\" {\n slo_ms = 100\n expiry_ms = 1000\n effect = \"repeatable\"\n}\nvolume \"v\" {\n lun = 0\n plan = \"p\"\n blocks = 64\n extent_blocks = 64\n shards = [0]\n hosts = 1\n reads = \"s\"\n writes = \"s\"\n}\n",
    )
    .unwrap();
    let mut host = Command::new(env!("CARGO_BIN_EXE_tackmast"))
        .args(["serve", "--config"])
        .arg(&file)
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::null())
        .spawn()
        .unwrap();
    drop(host.stdout.take());
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(host.try_wait().unwrap(), None, "the host has ended");
    host.kill().unwrap();
    host.wait().unwrap();
}
