//! Measures plan changes on loopback, accepted by a single home or committed by three voters: the latency of sequential changes, and the
//! changes per second of eight concurrent callers that change different plans.
//!
//! Run it with `cargo run --release -p tackmast-host --example changes`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tackmast_admin::{Answer, Call};
use tackmast_config::HostSettings;
use tackmast_host::Host;
use tackmast_host_core::{
    AdminRequest, AdminResponse, ConsensusRequest, ConsensusResponse, PlanRequest, PlanResponse,
};
use tackmast_plans::{Change, Plan, Step};

const HOSTS: u32 = 3;
/// Number of concurrent callers.
const CALLERS: u32 = 8;
/// Number of changes in the measurement of latency.
const SEQUENTIAL_CHANGES: u32 = 200;
/// Duration of the measurement with concurrent callers.
const CONCURRENT_DURATION: Duration = Duration::from_secs(5);

fn admin_socket(dir: &Path, host: u32) -> PathBuf {
    dir.join(format!("{host}.admin"))
}

fn settings(
    dir: &Path,
    host: u32,
    seed: Option<SocketAddr>,
    uses_consensus: bool,
) -> Result<HostSettings, String> {
    let seeds = seed.map(|address| format!("\"{address}\"")).unwrap_or_default();
    let consensus_block = if uses_consensus { "agreement {\n  voters = [0, 1, 2]\n}\n" } else { "" };
    let plans: String = (0..CALLERS).map(|i| format!("plan \"p{i}\" {{ }}\n")).collect();
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
{plans}
stream "s" {{
  slo_ms = 200
  expiry_ms = 1000
  effect = "repeatable"
}}
volume "v" {{
  lun = 0
  plan = "p0"
  blocks = 1000
  extent_blocks = 64
  shards = [0]
  hosts = {HOSTS}
  through = [0, 1, 2]
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
{consensus_block}
membership {{
  listen = "127.0.0.1:0"
  fleet = "measured"
  seeds = [{seeds}]
  admit = ["127.0.0.0/8"]
}}
"#,
        store = dir.join(format!("{host}.redb")),
        admin = admin_socket(dir, host),
    );
    HostSettings::parse("measured", &text).map_err(|e| e.to_string())
}

fn call(dir: &Path, host: u32, request: AdminRequest) -> Result<AdminResponse, String> {
    match tackmast_admin::call(
        &admin_socket(dir, host),
        &Call::AdminRequest(request),
        Duration::from_secs(10),
    )
    .map_err(|e| e.to_string())?
    {
        Answer::AdminResponse(response) => Ok(*response),
        other => Err(format!("{other:?}")),
    }
}

/// Changes the weight of a plan at a host, based on version `base`, and sets `base` to the new version.
fn change(dir: &Path, host: u32, plan: u32, base: &mut u64, index: u32) -> Result<(), String> {
    let weight = 1.0 + f64::from(index % 1_000) / 1_000.0;
    let to = Plan { limit: 0.0, burst: 0.0, slack: 0.0, reserve: 0.0, weight, floor: None };
    let steps = vec![Step::Plan { name: format!("p{plan}"), to: Some(to) }];
    let change = Change { base: *base, steps, who: "measured".into(), why: "measured".into() };
    match call(dir, host, AdminRequest::Plan(PlanRequest::Apply { change, dry_run: false }))? {
        AdminResponse::Plan(PlanResponse::Applied { version, .. }) => {
            *base = version;
            Ok(())
        }
        other => Err(format!("{other:?}")),
    }
}

fn plan_version(dir: &Path, host: u32) -> Result<u64, String> {
    match call(dir, host, AdminRequest::Plan(PlanRequest::Show))? {
        AdminResponse::Plan(PlanResponse::Shown(status)) if !status.clients_wait && !status.stale => {
            Ok(status.catalogue.version)
        }
        other => Err(format!("{other:?}")),
    }
}

fn measure(uses_consensus: bool) -> Result<(), String> {
    let dir = tempfile::tempdir().map_err(|e| e.to_string())?;
    let dir = dir.path();
    let mut hosts: Vec<Host> = Vec::new();
    for host in 0..HOSTS {
        let seed = hosts.first().and_then(|first| first.peers);
        hosts.push(Host::start(settings(dir, host, seed, uses_consensus)?).map_err(|e| e.to_string())?);
    }
    let started_at = Instant::now();
    let leader = loop {
        let leads = (0..HOSTS).find(|host| {
            match call(dir, *host, AdminRequest::Consensus(ConsensusRequest::Status)) {
                Ok(AdminResponse::Consensus(ConsensusResponse::Status(status))) => {
                    status.role == "leads" && status.lease == "holds"
                }
                _ => false,
            }
        });
        match leads {
            Some(leader) => break leader,
            None if !uses_consensus && plan_version(dir, 0).is_ok() => break 0,
            None if started_at.elapsed() > Duration::from_secs(20) => return Err("no leader in 20 s".into()),
            None => std::thread::sleep(Duration::from_millis(50)),
        }
    };
    let other = (leader + 1) % HOSTS;
    let at: Vec<(&str, u32)> =
        if uses_consensus { vec![("leader", leader), ("another", other)] } else { vec![("home", 0)] };
    for (name, host) in at {
        let mut base = plan_version(dir, host)?;
        let mut latencies_ms: Vec<f64> = Vec::new();
        for index in 0..SEQUENTIAL_CHANGES {
            let started = Instant::now();
            change(dir, host, 0, &mut base, index)?;
            latencies_ms.push(started.elapsed().as_secs_f64() * 1e3);
        }
        latencies_ms.sort_by(f64::total_cmp);
        let quantile = |quantile: f64| latencies_ms[((latencies_ms.len() - 1) as f64 * quantile) as usize];
        println!(
            "{:<9} at {name:<8} sequential: median {:.2} ms, p99 {:.2} ms, {:.0} a second",
            if uses_consensus { "consensus" } else { "one home" },
            quantile(0.5),
            quantile(0.99),
            1e3 * latencies_ms.len() as f64 / latencies_ms.iter().sum::<f64>()
        );
    }
    let version = plan_version(dir, leader)?;
    let started_at = Instant::now();
    let done: u32 = std::thread::scope(|scope| {
        let all: Vec<_> = (0..CALLERS)
            .map(|plan| {
                scope.spawn(move || {
                    let (mut base, mut changes) = (version, 0);
                    while started_at.elapsed() < CONCURRENT_DURATION
                        && change(dir, leader, plan, &mut base, changes).is_ok()
                    {
                        changes += 1;
                    }
                    changes
                })
            })
            .collect();
        all.into_iter().map(|caller| caller.join().unwrap_or(0)).sum()
    });
    println!(
        "{:<9} {CALLERS} concurrent callers: {:.0} a second",
        if uses_consensus { "consensus" } else { "one home" },
        f64::from(done) / started_at.elapsed().as_secs_f64()
    );
    hosts.into_iter().for_each(Host::stop);
    Ok(())
}

fn main() -> std::process::ExitCode {
    for uses_consensus in [false, true, false, true] {
        if let Err(e) = measure(uses_consensus) {
            eprintln!("changes: {e}");
            return std::process::ExitCode::FAILURE;
        }
    }
    std::process::ExitCode::SUCCESS
}
