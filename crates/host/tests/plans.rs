//! Tests of plan changes at run time, on loopback: one host accepts changes, all hosts apply them, and the change log survives restarts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tackmast_admin::{Answer, Call};
use tackmast_config::HostSettings;
use tackmast_host::{Host, StartError};
use tackmast_host_core::{AdminRequest, AdminResponse, PlanRequest, PlanResponse, PlanStatus};
use tackmast_plans::{Change, ChangeLog, Plan, Step};

const HOSTS: u32 = 4;

fn settings(dir: &Path, host: u32, seed: Option<SocketAddr>, limit: u32) -> HostSettings {
    let seeds = seed.map(|address| format!("\"{address}\"")).unwrap_or_default();
    let text = format!(
        r#"
host {{
  number = {host}
  hosts = {HOSTS}
  listen = "127.0.0.1:0"
  node_list = "127.0.0.1:1"
}}
units {{
  bytes = 4096
  most = 8
  mean = 2
}}
plan "basic" {{
  limit = {limit}
  burst = 64
  slack = 8
}}
plan "free" {{ }}
stream "s" {{
  slo_ms = 200
  expiry_ms = 1000
  effect = "repeatable"
}}
volume "v" {{
  lun = 0
  plan = "basic"
  blocks = 1000
  extent_blocks = 64
  shards = [0]
  hosts = {HOSTS}
  through = [0, 1, 2, 3]
  reads = "s"
  writes = "s"
}}
overrides {{
  store = {store:?}
  admin = {admin:?}
}}
plans {{
  home = 0
  settle_s = 1
  node_units = 500
}}
membership {{
  listen = "127.0.0.1:0"
  fleet = "test"
  seeds = [{seeds}]
  admit = ["127.0.0.0/8"]
  period_ms = 100
}}
"#,
        store = dir.join(format!("{host}.redb")),
        admin = admin_socket(dir, host),
    );
    HostSettings::parse("test", &text).unwrap()
}

fn admin_socket(dir: &Path, host: u32) -> PathBuf {
    dir.join(format!("{host}.admin"))
}

fn call(dir: &Path, host: u32, request: PlanRequest) -> PlanResponse {
    match tackmast_admin::call(
        &admin_socket(dir, host),
        &Call::AdminRequest(AdminRequest::Plan(request)),
        Duration::from_secs(5),
    ) {
        Ok(Answer::AdminResponse(response)) => match *response {
            AdminResponse::Plan(response) => response,
            other => panic!("host {host}: {other:?}"),
        },
        other => panic!("host {host}: {other:?}"),
    }
}

fn plan_status(dir: &Path, host: u32) -> PlanStatus {
    match call(dir, host, PlanRequest::Show) {
        PlanResponse::Shown(status) => *status,
        other => panic!("{other:?}"),
    }
}

/// Returns a step that sets the limit of the plan `basic`.
fn basic_limit(limit: f64) -> Step {
    let to = Some(Plan { limit, burst: 64.0, slack: 8.0, reserve: 0.0, weight: 1.0, floor: None });
    Step::Plan { name: "basic".into(), to }
}

fn apply(dir: &Path, host: u32, base: u64, step: Step) -> PlanResponse {
    let change = Change { base, steps: vec![step], who: "ann".into(), why: "a test".into() };
    call(dir, host, PlanRequest::Apply { change, dry_run: false })
}

fn refusal_reason(reply: PlanResponse) -> String {
    match reply {
        PlanResponse::Refused { why } => why,
        other => panic!("{other:?}"),
    }
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !condition() {
        assert!(Instant::now() < deadline, "not within 20 s: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Starts a host on the store of an earlier one. Retries while threads of the earlier host hold the store open.
fn restart(settings: impl Fn() -> HostSettings) -> Host {
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        match Host::start(settings()) {
            Ok(host) => return host,
            Err(error) if Instant::now() > deadline => panic!("{error}"),
            Err(_) => std::thread::sleep(Duration::from_millis(20)),
        }
    }
}

/// Of four hosts, the home accepts plan changes and refuses invalid ones. All hosts must apply the accepted changes and have the same
/// change log, including a host that starts late, one that restarts, and a home that has lost its store.
#[test]
fn changes_accepted_by_one_host_are_applied_by_all_and_survive_restarts() {
    let folder = tempfile::tempdir().unwrap();
    let dir = folder.path();
    let home = Host::start(settings(dir, 0, None, 100)).unwrap();
    let seed = home.peers;
    let mut others: Vec<Host> =
        (1..3).map(|host| Host::start(settings(dir, host, seed, 100)).unwrap()).collect();
    wait_until("no host waits for the newest change", || {
        (0..3).all(|host| {
            !plan_status(dir, host).clients_wait || plan_status(dir, host).reported_changes.len() >= 2
        })
    });

    // An invalid change, or one at a host that is not the home, is refused with a reason and changes nothing.
    assert!(refusal_reason(apply(dir, 1, 0, basic_limit(50.0))).contains("host 0 takes changes"));
    let burst = Some(Plan { limit: 50.0, burst: 8.0, slack: 8.0, reserve: 0.0, weight: 1.0, floor: None });
    let small = Step::Plan { name: "basic".into(), to: burst };
    assert!(refusal_reason(apply(dir, 0, 0, small)).contains("volume v through"));
    let removed = Step::Plan { name: "basic".into(), to: None };
    assert!(
        refusal_reason(apply(dir, 0, 0, removed)).contains("volume v plan"),
        "a plan that a volume uses can't be removed"
    );
    let mut volume = plan_status(dir, 0).catalogue.volumes["v"].clone();
    volume.shards = vec![0, 0];
    let moved = Step::Volume { name: "v".into(), to: Some(volume) };
    assert!(refusal_reason(apply(dir, 0, 0, moved)).contains("differs in more than its plan"));
    assert_eq!(plan_status(dir, 0).number, 0);

    // A change reaches all hosts. Of two changes with the same base version, the second is refused as a conflict.
    assert!(matches!(apply(dir, 0, 0, basic_limit(50.0)), PlanResponse::Applied { number: 1, .. }));
    assert!(refusal_reason(apply(dir, 0, 0, basic_limit(70.0))).contains("plan basic"), "a conflict");
    let limit = |host| plan_status(dir, host).catalogue.plans["basic"].limit;
    wait_until("all hosts apply the change", || (0..3).all(|host| limit(host) == 50.0));

    // A change far larger than a datagram, and one that undoes the first change.
    let many = (0..300).map(|i| Step::Plan {
        name: format!("extra {i}"),
        to: Some(Plan {
            limit: 0.0,
            burst: 0.0,
            slack: 0.0,
            reserve: 0.0,
            weight: 1.0 + f64::from(i),
            floor: None,
        }),
    });
    let change = Change { base: 1, steps: many.collect(), who: "bob".into(), why: "many".into() };
    let reply = call(dir, 0, PlanRequest::Apply { change, dry_run: false });
    assert!(matches!(reply, PlanResponse::Applied { number: 2, .. }), "{reply:?}");
    let undo = PlanRequest::Undo { number: 1, who: "ann".into(), why: "too little".into(), dry_run: false };
    assert!(matches!(call(dir, 0, undo), PlanResponse::Applied { number: 3, .. }));
    wait_until("all hosts have applied three changes", || {
        (0..3).all(|host| plan_status(dir, host).number == 3 && limit(host) == 100.0)
    });

    // A host that starts late learns the changes, and one that restarts still has them.
    others.push(Host::start(settings(dir, 3, seed, 100)).unwrap());
    wait_until("the late host has applied them", || plan_status(dir, 3).number == 3);
    others.remove(0).stop();
    others.push(restart(|| settings(dir, 1, seed, 100)));
    assert_eq!(plan_status(dir, 1).number, 3, "lost at a restart");

    // The change logs of all hosts are the same, byte for byte, and their hashes are valid.
    let logs: Vec<String> = (0..HOSTS)
        .map(|host| match call(dir, host, PlanRequest::Log) {
            PlanResponse::Log { text, fleet } => {
                let change_log = ChangeLog::from_bytes(text.as_bytes(), &fleet).unwrap();
                assert_eq!(change_log.catalogue, plan_status(dir, host).catalogue);
                text
            }
            other => panic!("{other:?}"),
        })
        .collect();
    assert!(logs.iter().all(|log| *log == logs[0]), "change logs differ");

    // A home that has lost its store learns the changes from its peers before it assigns a new number.
    home.stop();
    std::fs::remove_file(dir.join("0.redb")).unwrap();
    let peers = others[0].peers;
    let home = restart(|| settings(dir, 0, peers, 100));
    wait_until("the home has applied them again", || plan_status(dir, 0).number == 3);
    assert!(matches!(apply(dir, 0, 3, basic_limit(60.0)), PlanResponse::Applied { number: 4, .. }));
    wait_until("all hosts apply the next change", || (0..HOSTS).all(|host| limit(host) == 60.0));
    home.stop();
    others.into_iter().for_each(Host::stop);

    // A host does not start if its settings differ from the plans that its change log begins with.
    wait_until("the start fails with its reason", || match Host::start(settings(dir, 0, None, 200)) {
        Err(StartError::Plans(error)) => error.to_string().contains("other plans"),
        Err(_) => false,
        Ok(_) => panic!("it started with other settings"),
    });
}
