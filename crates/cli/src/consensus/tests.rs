//! The text of a status, and the exit code of `tackmast consensus status`.

use super::*;
use crate::exit_code;
use std::io::BufReader;
use std::os::unix::net::UnixListener;
use tackmast_admin::{read_line, write_line, Answer};

/// An operator asks the leader of a group for its status while one host is behind, and a host that is past its lease. The text names
/// the voters, who is behind, and what the host keeps to.
#[test]
fn status_names_voters_laggards_and_lease() {
    let status = ConsensusStatus {
        host: 3,
        role: "leads".into(),
        leader: Some(3),
        voters: vec![0, 1, 3],
        is_voter: true,
        bootstrapped: true,
        commit_index: 9,
        lease: "holds".into(),
        followers: [(1, (9, 0.1)), (2, (4, 2.5))].into(),
        ..ConsensusStatus::default()
    };
    let text = status_text(&status);
    assert!(
        text.contains("voters 0, 1, 3; votes") && text.contains("behind: host 2 at 4, 2.5 s ago"),
        "{text}"
    );
    let past = ConsensusStatus { lease: "past".into(), degraded: true, is_voter: false, ..status };
    assert!(
        status_text(&past).contains("lease expired 0.00 s ago; degraded mode: fallback limits"),
        "{}",
        status_text(&past)
    );
}

/// A host that answers one call with this response.
struct FakeHost {
    folder: tempfile::TempDir,
}

impl FakeHost {
    fn answering(response: ConsensusResponse) -> FakeHost {
        let host = FakeHost { folder: tempfile::tempdir().unwrap() };
        let listener = UnixListener::bind(host.socket()).unwrap();
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            read_line(&mut BufReader::new(stream.try_clone().unwrap())).unwrap();
            let response = AdminResponse::Consensus(response);
            write_line(&mut stream, Answer::AdminResponse(Box::new(response))).unwrap();
        });
        host
    }

    fn with_lease(lease: &str) -> FakeHost {
        let status = ConsensusStatus { lease: lease.into(), ..ConsensusStatus::default() };
        FakeHost::answering(ConsensusResponse::Status(Box::new(status)))
    }

    fn socket(&self) -> PathBuf {
        self.folder.path().join("admin")
    }
}

/// The exit code of `tackmast consensus status` at these hosts.
fn exit_code_of_status(hosts: &[FakeHost], json: bool) -> ExitCode {
    let hosts = Hosts { hosts: hosts.iter().map(FakeHost::socket).collect(), json };
    run(ConsensusCommand::Status { hosts }).unwrap()
}

/// A script asks two hosts for their status by its exit code, with and without JSON. One of them is cut off and its lease has expired:
/// a code of 0 would tell the script that both serve by the newest plans.
#[test]
fn exit_code_of_status_is_0_only_if_all_leases_are_valid() {
    for json in [false, true] {
        let valid = || FakeHost::with_lease(LEASE_VALID);
        assert_eq!(exit_code_of_status(&[valid(), valid()], json), ExitCode::SUCCESS, "json: {json}");
        let expired = [FakeHost::with_lease(LEASE_EXPIRED), valid()];
        assert_eq!(exit_code_of_status(&expired, json), exit_code::of_result(false), "json: {json}");
    }
}

/// One host of a fleet has no consensus in its settings, and another does not run. The error names the host once, and the exit code says
/// that not all statuses were read.
#[test]
fn error_of_a_status_names_its_host_once() {
    let why = "this host has no agreement block in its settings";
    let without_consensus = FakeHost::answering(ConsensusResponse::Refused { why: why.into() });
    let error = print_status(&without_consensus.socket(), false).unwrap_err().to_string();
    assert_eq!(error, format!("host {}: {why}", without_consensus.socket().display()));
    let ended = FakeHost { folder: tempfile::tempdir().unwrap() };
    let error = print_status(&ended.socket(), false).unwrap_err().to_string();
    assert_eq!(error.matches(&ended.socket().display().to_string()).count(), 1, "{error}");
    assert_eq!(exit_code_of_status(&[ended], false), exit_code::of_result(false));
}
