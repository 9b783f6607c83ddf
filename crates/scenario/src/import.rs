//! A day of the bench as a script for loopback: the same nodes, volumes, plans, traffic classes and kinds of trouble, as
//! far as both sides know them. What is not carried over stands as comments in the script.

use serde::Deserialize;
use std::fmt::Write;

#[derive(Deserialize)]
struct BenchDay {
    length: f64,
    tick: f64,
    drain_grace: f64,
    fall_multiple: f64,
    fall_for: f64,
    budget: Option<Budget>,
    allow: Allow,
    discovery: Discovery,
    clients: Clients,
    classes: Vec<Class>,
    tenants: Vec<Named>,
    tiers: Vec<Tier>,
    servers: Vec<Server>,
    balancers: Vec<serde_json::Value>,
    troubles: Vec<Trouble>,
    fam: Family,
}

#[derive(Deserialize)]
struct Budget {
    share: f64,
    free: f64,
    window: f64,
}
#[derive(Deserialize)]
struct Allow {
    max_attempts: u32,
}
#[derive(Deserialize)]
struct Discovery {
    notice: f64,
}
#[derive(Deserialize)]
struct Clients {
    retries: u32,
    max_retry_after: f64,
}
#[derive(Deserialize)]
struct Named {
    name: String,
}
#[derive(Deserialize)]
struct Class {
    name: String,
    share: f64,
    aim: f64,
    deadline: f64,
    effect: String,
    group: String,
    window: f64,
    write: bool,
}
#[derive(Deserialize)]
struct Tier {
    kinds: Vec<Kind>,
    report_period: f64,
    stated_cold_from: f64,
    stated_cold: f64,
}
#[derive(Deserialize)]
struct Kind {
    cores: u32,
    queue: usize,
    cold_from: f64,
    cold: f64,
    pause_every: f64,
    pause: f64,
    drops_expired: bool,
}
#[derive(Deserialize)]
struct Server {
    kind: usize,
    cell: u32,
    speed: f64,
    up: bool,
}
#[derive(Deserialize)]
struct Trouble {
    kind: String,
    at: f64,
    len: f64,
    size: f64,
    extra: f64,
    on: Vec<usize>,
    which: usize,
    steps: Vec<Step>,
}
#[derive(Deserialize)]
struct Step {
    at: f64,
    stop: Vec<usize>,
}
#[derive(Deserialize)]
struct Family {
    #[serde(rename = "defer")]
    reject: f64,
    flush: f64,
    mean_units: f64,
    #[serde(rename = "most_units")]
    max_units: f64,
    remembers: usize,
    seek: f64,
    shift_s: f64,
    unit_work: f64,
    plans: Vec<Plan>,
    volumes: Vec<Volume>,
}
#[derive(Deserialize)]
struct Plan {
    limit: f64,
    limit_burst: f64,
    slack: f64,
    rate: f64,
    reserve: f64,
    weight: f64,
}
#[derive(Deserialize)]
struct Volume {
    base: f64,
    first: u32,
    high: f64,
    len: f64,
    hosts: u32,
    nodes: Vec<u32>,
    plan: usize,
}

const UNIT_BYTES: f64 = 4096.0;
const BLOCK_BYTES: f64 = 512.0;
/// Mean time between surges of a volume, as the bench's page tells it.
const SURGES_S: f64 = 30.0;

/// The script of a bench day; `cold_safe_units` is what the bench tells its hosts beside the day.
pub fn import(text: &str, seed: u64) -> Result<String, String> {
    let d: BenchDay =
        serde_json::from_str(text).map_err(|e| format!("{e}; expected a bench day of volumes"))?;
    let tier = d.tiers.first().ok_or("tiers: none; expected one")?;
    let hosts = d.balancers.len() as u32;
    let s = |us: f64| us / 1e6;
    let mut out = String::new();
    let o = &mut out;
    let p = |r: std::fmt::Result| r.map_err(|e| e.to_string());
    p(writeln!(
        o,
        "# From a bench day. Not carried over: the spread of work within a size, the zipf of keys, slots beside cores,\n\
         # connection caps, clients' own shares of the hosts. Sizes are even up to a most that gives the same mean.\n"
    ))?;
    p(writeln!(
        o,
        "day {{\n  seconds = {:.1}\n  hosts = {hosts}\n  seed = {seed}\n  drain_grace_ms = {}\n}}\n",
        s(d.length),
        s(d.drain_grace) * 1e3
    ))?;
    p(writeln!(o, "host_extra {{\n  tick_ms = {}\n}}\n", d.tick / 1e3))?;
    p(writeln!(
        o,
        "load {{\n  most_legs = {}\n  longest_wait_s = {}\n  drain_grace_ms = {}\n}}\n",
        d.allow.max_attempts,
        s(d.clients.max_retry_after),
        s(d.drain_grace) * 1e3
    ))?;
    p(writeln!(
        o,
        "units {{\n  bytes = {UNIT_BYTES}\n  most = {}\n  mean = {:.3}\n}}\n",
        d.fam.max_units, d.fam.mean_units
    ))?;
    if let Some(b) = &d.budget {
        p(writeln!(
            o,
            "further_legs {{\n  free = {}\n  share = {}\n  window_s = {}\n}}\n",
            b.free,
            b.share,
            s(b.window)
        ))?;
    }
    // What a cold node surely bears: the multiple of the least that the weakest kind can do when it starts.
    let weakest = d.servers.iter().filter_map(|v| {
        let k = tier.kinds.get(v.kind)?;
        Some(f64::from(k.cores) * v.speed * 1e6 / d.fam.unit_work)
    });
    let safe = weakest.fold(f64::MAX, f64::min) * tier.stated_cold_from * d.fall_multiple * s(d.fall_for);
    p(writeln!(
        o,
        "cold_nodes {{\n  safe_units = {safe:.2}\n  from = {}\n  warm_s = {}\n  window_s = {}\n  multiple = {}\n}}\n",
        tier.stated_cold_from,
        s(tier.stated_cold),
        s(d.fall_for),
        d.fall_multiple
    ))?;
    for (plan, name) in d.fam.plans.iter().zip(&d.tenants) {
        p(writeln!(
            o,
            "plan \"{}\" {{\n  limit = {}\n  burst = {}\n  slack = {}\n  reserve = {}\n  weight = {}\n}}\n",
            name.name, plan.limit, plan.limit_burst, plan.slack, plan.reserve, plan.weight
        ))?;
    }
    for c in &d.classes {
        let effect = match c.effect.as_str() {
            "safe" => "effect = \"repeatable\"".to_owned(),
            "unsafe" => "effect = \"unrepeatable\"".to_owned(),
            _ => {
                let group = if c.group == "cell" { "shard" } else { &c.group };
                format!("effect = \"keyed\"\n  group = \"{group}\"\n  window_s = {}", s(c.window))
            }
        };
        let (latency_objective, deadline) = (c.aim / 1e3, c.deadline / 1e3);
        p(writeln!(
            o,
            "stream \"{}\" {{\n  slo_ms = {latency_objective}\n  expiry_ms = {deadline}\n  {effect}\n}}\n",
            c.name
        ))?;
    }
    let reads: Vec<&Class> = d.classes.iter().filter(|c| !c.write).collect();
    let write = d.classes.iter().find(|c| c.write).ok_or("classes: none writes; expected one")?;
    let read = reads.first().ok_or("classes: none reads; expected one")?;
    let per_unit = UNIT_BYTES / BLOCK_BYTES;
    let max_blocks = ((2.0 * d.fam.mean_units - 1.0) * per_unit + 1.0).round().max(2.0);
    let read_share: f64 = reads.iter().map(|c| c.share).sum();
    let large = reads.get(1).map(|c| (c, (max_blocks * (1.0 - c.share / read_share)).round().max(1.0)));
    for (i, v) in d.fam.volumes.iter().enumerate() {
        let plan = d.tenants.get(v.plan).ok_or_else(|| format!("volume {i}: plan {}", v.plan))?;
        p(writeln!(
            o,
            "volume \"v{i}\" {{\n  lun = {i}\n  plan = \"{}\"\n  blocks = 8192\n  extent_blocks = 64\n  shards = {:?}\n  \
             hosts = {}\n  reads = \"{}\"\n  writes = \"{}\"",
            plan.name,
            v.nodes,
            v.hosts.min(hosts),
            read.name,
            write.name
        ))?;
        if let Some((c, from)) = large {
            p(writeln!(o, "  large_reads = \"{}\"\n  large_from_blocks = {from}", c.name))?;
        }
        p(writeln!(o, "}}\n"))?;
        let set: Vec<u32> = (0..v.hosts.min(hosts)).map(|h| (v.first + h) % hosts).collect();
        let rate = d.fam.plans.get(v.plan).map_or(0.0, |plan| v.base * plan.rate) / d.fam.mean_units;
        p(writeln!(
            o,
            "traffic \"v{i}\" {{\n  volume = \"v{i}\"\n  hosts = {set:?}\n  sessions = 1\n  rate = {rate:.3}\n  reads = {:.3}\n  \
             blocks = [1, {max_blocks}]\n  retries = {}\n  moves_s = {:.1}",
            read_share / d.classes.iter().map(|c| c.share).sum::<f64>(),
            d.clients.retries,
            d.fam.shift_s
        ))?;
        if v.high > 0.0 {
            p(writeln!(o, "  surges = [{:.1}, {:.1}, {SURGES_S}]", v.high, v.len))?;
        }
        p(writeln!(o, "}}\n"))?;
    }
    for server in d.servers.iter().filter(|v| v.up) {
        let k = tier.kinds.get(server.kind).ok_or("servers: a kind that is not among the kinds")?;
        p(writeln!(
            o,
            "nodes \"n{}\" {{\n  shards = [{}]\n  cores = {}\n  speed = {}\n  unit_ms = {:.3}\n  queue = {}\n  cold_from = {:.3}\n  \
             warm_s = {}\n  fall_multiple = {}\n  fall_s = {}\n  put_off = {:.3}\n  flush_s = {:.3}\n  pause_ms = {:.1}\n  \
             pause_every_s = {:.2}\n  saved = {:.3}\n  remembers = {}\n  drops = {}\n  report_ms = {}\n}}\n",
            server.cell,
            server.cell,
            k.cores,
            server.speed,
            d.fam.unit_work / 1e3,
            k.queue,
            k.cold_from,
            s(k.cold),
            d.fall_multiple,
            s(d.fall_for),
            d.fam.reject,
            s(d.fam.flush),
            k.pause / 1e3,
            s(k.pause_every),
            d.fam.seek,
            d.fam.remembers,
            k.drops_expired,
            (tier.report_period / 1e3).round() as u64
        ))?;
    }
    p(writeln!(o, "list {{\n  late_s = {:.2}\n}}\n", s(d.discovery.notice)))?;
    let mut number = 0;
    for t in &d.troubles {
        let nodes = |on: &[usize]| -> Vec<String> {
            on.iter().filter_map(|i| d.servers.get(*i)).map(|v| format!("n{}", v.cell)).collect()
        };
        let plan_traffic = || -> Vec<String> {
            let of = d.fam.volumes.iter().enumerate().filter(|(_, v)| v.plan == t.which);
            of.map(|(i, _)| format!("v{i}")).collect()
        };
        let mut trouble = |name: &str, at: f64, len: f64, body: String| {
            number += 1;
            let (at, len) = (s(at), s(len));
            p(writeln!(
                o,
                "trouble \"{number} {name}\" {{\n  at_s = {at:.2}\n  for_s = {len:.2}\n  {body}\n}}\n"
            ))
        };
        let fault = |text: String| format!("nodes = {:?}\n  fault = \"{text}\"", nodes(&t.on));
        match t.kind.as_str() {
            "slow" => trouble("slow", t.at, t.len, fault(format!("slow {:.2}", t.size)))?,
            "fast_errors" => trouble("errors", t.at, t.len, fault(format!("errors {:.2}", t.size)))?,
            "neighbour" => trouble("neighbour", t.at, t.len, fault(format!("neighbour {:.2}", t.size)))?,
            "ageing" => {
                trouble("ageing", t.at, t.len, fault(format!("ageing {:.1} {:.1}", t.size, t.extra)))?
            }
            "vanish" => {
                trouble("silence", t.at, t.len, fault("silent on".into()))?;
                trouble("back cold", t.at + t.len, 0.0, fault("restart 0.1".into()))?;
            }
            "tenant_burst" | "burst" => {
                let traffic = if t.kind == "burst" { Vec::new() } else { plan_traffic() };
                let body = format!("traffic = {traffic:?}\n  times = {:.2}", t.size);
                trouble("surge", t.at, t.len, body)?;
            }
            "reconnect" => trouble("leads move", t.at, t.len, "moves = true".into())?,
            "discovery_stale" => trouble("list late", t.at, t.len, format!("list = \"late {:.1}\"", t.size))?,
            "deploy" => {
                for step in &t.steps {
                    let body = format!("nodes = {:?}\n  fault = \"deploy\"", nodes(&step.stop));
                    trouble("deploy", step.at, 2e6, body)?;
                }
            }
            other => p(writeln!(o, "# {other} of size {} is not carried over\n", t.size))?,
        }
    }
    Ok(out)
}
