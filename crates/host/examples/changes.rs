//! Changes of plans: by one home, and agreed on by three voters, in one run on loopback. Latency of one change after the other, and
//! changes a second with eight askers at once, each with a plan of its own. `cargo run --release -p tackmast-host --example changes`

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
const ASKERS: u32 = 8;
const ONE_BY_ONE: u32 = 200;
const AT_ONCE: Duration = Duration::from_secs(5);

fn admin(dir: &Path, host: u32) -> PathBuf {
    dir.join(format!("{host}.admin"))
}

fn settings(dir: &Path, host: u32, seed: Option<SocketAddr>, agrees: bool) -> Result<HostSettings, String> {
    let seeds = seed.map(|s| format!("\"{s}\"")).unwrap_or_default();
    let agreement = if agrees { "agreement {\n  voters = [0, 1, 2]\n}\n" } else { "" };
    let plans: String = (0..ASKERS).map(|i| format!("plan \"p{i}\" {{ }}\n")).collect();
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
{agreement}
membership {{
  listen = "127.0.0.1:0"
  fleet = "measured"
  seeds = [{seeds}]
  admit = ["127.0.0.0/8"]
}}
"#,
        store = dir.join(format!("{host}.redb")),
        admin = admin(dir, host),
    );
    HostSettings::parse("measured", &text).map_err(|e| e.to_string())
}

fn ask(dir: &Path, host: u32, ask: AdminRequest) -> Result<AdminResponse, String> {
    match tackmast_admin::call(&admin(dir, host), &Call::AdminRequest(ask), Duration::from_secs(10))
        .map_err(|e| e.to_string())?
    {
        Answer::AdminResponse(r) => Ok(*r),
        other => Err(format!("{other:?}")),
    }
}

/// One change of a plan's weight at a host, on the version that it shows.
fn change(dir: &Path, host: u32, plan: u32, base: &mut u64, n: u32) -> Result<(), String> {
    let weight = 1.0 + f64::from(n % 1_000) / 1_000.0;
    let to = Plan { limit: 0.0, burst: 0.0, slack: 0.0, reserve: 0.0, weight, floor: None };
    let steps = vec![Step::Plan { name: format!("p{plan}"), to: Some(to) }];
    let change = Change { base: *base, steps, who: "measured".into(), why: "measured".into() };
    match ask(dir, host, AdminRequest::Plan(PlanRequest::Apply { change, dry_run: false }))? {
        AdminResponse::Plan(PlanResponse::Applied { version, .. }) => {
            *base = version;
            Ok(())
        }
        other => Err(format!("{other:?}")),
    }
}

fn shown(dir: &Path, host: u32) -> Result<u64, String> {
    match ask(dir, host, AdminRequest::Plan(PlanRequest::Show))? {
        AdminResponse::Plan(PlanResponse::Shown(s)) if !s.clients_wait && !s.stale => Ok(s.catalogue.version),
        other => Err(format!("{other:?}")),
    }
}

fn measure(agrees: bool) -> Result<(), String> {
    let dir = tempfile::tempdir().map_err(|e| e.to_string())?;
    let dir = dir.path();
    let mut hosts: Vec<Host> = Vec::new();
    for h in 0..HOSTS {
        let seed = hosts.first().and_then(|h| h.peers);
        hosts.push(Host::start(settings(dir, h, seed, agrees)?).map_err(|e| e.to_string())?);
    }
    let began = Instant::now();
    let leader = loop {
        let leads =
            (0..HOSTS).find(|h| match ask(dir, *h, AdminRequest::Consensus(ConsensusRequest::Status)) {
                Ok(AdminResponse::Consensus(ConsensusResponse::Status(s))) => {
                    s.role == "leads" && s.lease == "holds"
                }
                _ => false,
            });
        match leads {
            Some(l) => break l,
            None if !agrees && shown(dir, 0).is_ok() => break 0,
            None if began.elapsed() > Duration::from_secs(20) => return Err("no leader in 20 s".into()),
            None => std::thread::sleep(Duration::from_millis(50)),
        }
    };
    let other = (leader + 1) % HOSTS;
    let at: Vec<(&str, u32)> =
        if agrees { vec![("leader", leader), ("another", other)] } else { vec![("home", 0)] };
    for (name, host) in at {
        let mut base = shown(dir, host)?;
        let mut took: Vec<f64> = Vec::new();
        for n in 0..ONE_BY_ONE {
            let t = Instant::now();
            change(dir, host, 0, &mut base, n)?;
            took.push(t.elapsed().as_secs_f64() * 1e3);
        }
        took.sort_by(f64::total_cmp);
        let part = |p: f64| took[((took.len() - 1) as f64 * p) as usize];
        println!(
            "{:<9} at {name:<8} one by one: median {:.2} ms, p99 {:.2} ms, {:.0} a second",
            if agrees { "agreed" } else { "one home" },
            part(0.5),
            part(0.99),
            1e3 * took.len() as f64 / took.iter().sum::<f64>()
        );
    }
    let version = shown(dir, leader)?;
    let began = Instant::now();
    let done: u32 = std::thread::scope(|s| {
        let all: Vec<_> = (0..ASKERS)
            .map(|plan| {
                s.spawn(move || {
                    let (mut base, mut n) = (version, 0);
                    while began.elapsed() < AT_ONCE && change(dir, leader, plan, &mut base, n).is_ok() {
                        n += 1;
                    }
                    n
                })
            })
            .collect();
        all.into_iter().map(|t| t.join().unwrap_or(0)).sum()
    });
    println!(
        "{:<9} {ASKERS} askers at once: {:.0} a second",
        if agrees { "agreed" } else { "one home" },
        f64::from(done) / began.elapsed().as_secs_f64()
    );
    hosts.into_iter().for_each(Host::stop);
    Ok(())
}

fn main() -> std::process::ExitCode {
    for agrees in [false, true, false, true] {
        if let Err(e) = measure(agrees) {
            eprintln!("changes: {e}");
            return std::process::ExitCode::FAILURE;
        }
    }
    std::process::ExitCode::SUCCESS
}
