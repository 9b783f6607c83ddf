//! Plans that change while hosts run, on loopback: one host takes changes, all go by them, clients see the new limit, and
//! the trail outlives restarts.

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
    let seeds = seed.map(|s| format!("\"{s}\"")).unwrap_or_default();
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
        admin = admin(dir, host),
    );
    HostSettings::parse("test", &text).unwrap()
}

fn admin(dir: &Path, host: u32) -> PathBuf {
    dir.join(format!("{host}.admin"))
}

fn ask(dir: &Path, host: u32, ask: PlanRequest) -> PlanResponse {
    match tackmast_admin::call(
        &admin(dir, host),
        &Call::AdminRequest(AdminRequest::Plan(ask)),
        Duration::from_secs(5),
    ) {
        Ok(Answer::AdminResponse(r)) => match *r {
            AdminResponse::Plan(p) => p,
            other => panic!("host {host}: {other:?}"),
        },
        other => panic!("host {host}: {other:?}"),
    }
}

fn shown(dir: &Path, host: u32) -> PlanStatus {
    match ask(dir, host, PlanRequest::Show) {
        PlanResponse::Shown(s) => *s,
        other => panic!("{other:?}"),
    }
}

fn basic(limit: f64) -> Step {
    let to = Some(Plan { limit, burst: 64.0, slack: 8.0, reserve: 0.0, weight: 1.0, floor: None });
    Step::Plan { name: "basic".into(), to }
}

fn apply(dir: &Path, host: u32, base: u64, step: Step) -> PlanResponse {
    let change = Change { base, steps: vec![step], who: "ann".into(), why: "a test".into() };
    ask(dir, host, PlanRequest::Apply { change, dry_run: false })
}

fn refusal(reply: PlanResponse) -> String {
    match reply {
        PlanResponse::Refused { why } => why,
        other => panic!("{other:?}"),
    }
}

fn until(what: &str, is: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !is() {
        assert!(Instant::now() < end, "not within 20 s: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A host on what an earlier generation left, whose threads may still be ending.
fn again(settings: impl Fn() -> HostSettings) -> Host {
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        match Host::start(settings()) {
            Ok(h) => return h,
            Err(e) if Instant::now() > end => panic!("{e}"),
            Err(_) => std::thread::sleep(Duration::from_millis(20)),
        }
    }
}

#[test]
fn one_host_takes_changes_and_all_go_by_them() {
    let folder = tempfile::tempdir().unwrap();
    let dir = folder.path();
    let home = Host::start(settings(dir, 0, None, 100)).unwrap();
    let seed = home.peers;
    let mut others: Vec<Host> = (1..3).map(|h| Host::start(settings(dir, h, seed, 100)).unwrap()).collect();
    until("none waits for word", || {
        (0..3).all(|h| !shown(dir, h).clients_wait || shown(dir, h).at.len() >= 2)
    });

    // Wrong changes move nothing and say why; nor does one at a host that does not take them.
    assert!(refusal(apply(dir, 1, 0, basic(50.0))).contains("host 0 takes changes"));
    let burst = Some(Plan { limit: 50.0, burst: 8.0, slack: 8.0, reserve: 0.0, weight: 1.0, floor: None });
    let small = Step::Plan { name: "basic".into(), to: burst };
    assert!(refusal(apply(dir, 0, 0, small)).contains("volume v through"));
    let gone = Step::Plan { name: "basic".into(), to: None };
    assert!(refusal(apply(dir, 0, 0, gone)).contains("volume v plan"), "a plan with a volume under it stays");
    let mut v = shown(dir, 0).catalogue.volumes["v"].clone();
    v.shards = vec![0, 0];
    let moved = Step::Volume { name: "v".into(), to: Some(v) };
    assert!(refusal(apply(dir, 0, 0, moved)).contains("moved in more than its plan"));
    assert_eq!(shown(dir, 0).number, 0);

    // One change reaches all; of two made on the same version the second is told what moved.
    assert!(matches!(apply(dir, 0, 0, basic(50.0)), PlanResponse::Applied { number: 1, .. }));
    assert!(refusal(apply(dir, 0, 0, basic(70.0))).contains("plan basic"), "a conflict");
    let limit = |h| shown(dir, h).catalogue.plans["basic"].limit;
    until("all go by it", || (0..3).all(|h| limit(h) == 50.0));

    // A change far larger than a datagram, and one that takes the first back.
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
    let reply = ask(dir, 0, PlanRequest::Apply { change, dry_run: false });
    assert!(matches!(reply, PlanResponse::Applied { number: 2, .. }), "{reply:?}");
    let undo = PlanRequest::Undo { number: 1, who: "ann".into(), why: "too little".into(), dry_run: false };
    assert!(matches!(ask(dir, 0, undo), PlanResponse::Applied { number: 3, .. }));
    until("all have all three", || (0..3).all(|h| shown(dir, h).number == 3 && limit(h) == 100.0));

    // A host that starts late has them before its clients are served, and one that starts again still has them.
    others.push(Host::start(settings(dir, 3, seed, 100)).unwrap());
    until("the late one has them", || shown(dir, 3).number == 3);
    others.remove(0).stop();
    others.push(again(|| settings(dir, 1, seed, 100)));
    assert_eq!(shown(dir, 1).number, 3, "kept over a restart");

    // The same trail at all, byte for byte, and it proves itself.
    let logs: Vec<String> = (0..HOSTS)
        .map(|h| match ask(dir, h, PlanRequest::Log) {
            PlanResponse::Log { text, fleet } => {
                let trail = ChangeLog::from_bytes(text.as_bytes(), &fleet).unwrap();
                assert_eq!(trail.catalogue, shown(dir, h).catalogue);
                text
            }
            other => panic!("{other:?}"),
        })
        .collect();
    assert!(logs.iter().all(|l| *l == logs[0]), "one trail");

    // A home that has lost its store takes back what the others go by, before it takes a change of the same number.
    home.stop();
    std::fs::remove_file(dir.join("0.redb")).unwrap();
    let peers = others[0].peers;
    let home = again(|| settings(dir, 0, peers, 100));
    until("the home has them again", || shown(dir, 0).number == 3);
    assert!(matches!(apply(dir, 0, 3, basic(60.0)), PlanResponse::Applied { number: 4, .. }));
    until("and goes on", || (0..HOSTS).all(|h| limit(h) == 60.0));
    home.stop();
    others.into_iter().for_each(Host::stop);

    // Settings that the trail does not begin with are an error that says so.
    until("it says so", || match Host::start(settings(dir, 0, None, 200)) {
        Err(StartError::Plans(e)) => e.to_string().contains("other plans"),
        Err(_) => false,
        Ok(_) => panic!("it starts with other settings"),
    });
}
