//! Whether plans fit a recorded load: `tackmast plan check`, `plan suggest`, and the bound beside what the laboratory
//! measures. Loads are files of arrivals; figures of nodes are what they are told to bear.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;
use tackmast_config::HostSettings;
use tackmast_host_core::{Access, Layout};
use tackmast_planner::{
    fit, latency_bounds, max_bucket_level, place, Arrival, Curve, Load, Node, PlacedLoad, Point,
};
use tackmast_simulator::World;

/// The deployment that is planned, and what its nodes bear.
#[derive(clap::Args)]
pub struct Figures {
    /// Settings of a host, in HCL: volumes, traffic classes, shards.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Arrivals, as `tackmast simulator play --load` takes them.
    #[arg(long, value_name = "FILE")]
    load: PathBuf,
    /// Units a second that one node bears.
    #[arg(long)]
    node_units: f64,
    /// Milliseconds that a unit takes at one core.
    #[arg(long, default_value_t = 5.0)]
    unit_ms: f64,
    /// Milliseconds of the way to a node and back.
    #[arg(long, default_value_t = 2.0)]
    way_ms: f64,
    /// Units of looser traffic classes that all hosts together may have out at a node when a tighter one comes.
    #[arg(long, default_value_t = 16.0)]
    ahead: f64,
}

/// What a recorded load asks of one volume, traffic class and shard.
struct Asked {
    volume: usize,
    traffic_class: usize,
    shard: u32,
    load: Load,
}

/// What a load asks, by volume, traffic class and shard.
fn asked(s: &HostSettings, l: &tackmast_workload::Workload, max_rate: f64) -> Vec<Asked> {
    let layout = Layout::new(s);
    let mut arrivals: BTreeMap<(usize, usize, u32), Vec<Arrival>> = BTreeMap::new();
    for a in l.arrivals(s.host.hosts) {
        let Some(volume) = layout.volume_named(&l.flows[a.flow].volume) else { continue };
        let traffic_class = layout.traffic_class(volume, access(a.write), a.blocks);
        for part in layout.parts(volume, traffic_class, a.block, a.blocks) {
            let of = arrivals.entry((volume, traffic_class, part.shard.0)).or_default();
            of.push(Arrival { at_s: a.at_us as f64 / 1e6, units: part.units });
        }
    }
    let one = |((volume, traffic_class, shard), all): ((usize, usize, u32), Vec<Arrival>)| {
        let st = &s.traffic_classes[traffic_class];
        let name = format!("{} {}", s.volumes[volume].name, st.name);
        let largest = all.iter().map(|a| a.units).fold(0.0, f64::max);
        let curve = Curve::from_arrivals(&all, l.seconds, max_rate);
        Asked {
            volume,
            traffic_class,
            shard,
            load: Load {
                name,
                latency_objective_s: st.latency_objective.secs(),
                max_request_units: largest,
                curve,
            },
        }
    };
    arrivals.into_iter().map(one).collect()
}

/// How long a load may wait for its own plan's limit: the longest at any host, each of which has an even part of it and starts
/// with what a host starts with. By volume; none where its plan has no limit.
fn held_by_limit(s: &HostSettings, l: &tackmast_workload::Workload) -> BTreeMap<usize, f64> {
    let layout = Layout::new(s);
    let mut arrivals: BTreeMap<(usize, u32), Vec<Arrival>> = BTreeMap::new();
    for a in l.arrivals(s.host.hosts) {
        let Some(volume) = layout.volume_named(&l.flows[a.flow].volume) else { continue };
        let v = &s.volumes[volume];
        let traffic_class = layout.traffic_class(volume, access(a.write), a.blocks);
        let units: f64 = layout.parts(volume, traffic_class, a.block, a.blocks).iter().map(|p| p.units).sum();
        let host = a.host % v.hosts.max(1);
        arrivals.entry((volume, host)).or_default().push(Arrival { at_s: a.at_us as f64 / 1e6, units });
    }
    let mut waits = BTreeMap::new();
    for ((volume, _), all) in arrivals {
        let v = &s.volumes[volume];
        let p = &s.plans[v.plan as usize];
        if p.limit <= 0.0 {
            continue;
        }
        let parts = f64::from(v.hosts.max(1));
        let (rate, burst) = (p.limit / parts, p.burst / parts);
        let at_first = (p.burst - p.slack / 2.0) / parts;
        let wait = (max_bucket_level(&all, rate, at_first) - burst).max(0.0) / rate;
        let longest = waits.entry(volume).or_insert(0.0f64);
        *longest = longest.max(wait);
    }
    waits
}

fn by_shard(all: &[Asked]) -> BTreeMap<u32, Vec<&Asked>> {
    let mut shards: BTreeMap<u32, Vec<&Asked>> = BTreeMap::new();
    all.iter().for_each(|a| shards.entry(a.shard).or_default().push(a));
    shards
}

/// Rates and bursts of a node's loads under which all latency objectives hold or, where there are none, the least bursts that leave the
/// node some room; and whether they hold.
fn points(node: &Node, all: &[&Load]) -> (bool, Vec<Point>) {
    if let Some(points) = fit(node, all) {
        return (true, points);
    }
    let means: f64 = all.iter().filter_map(|l| l.curve.first()).map(|p| p.rate).sum();
    let times = (0.9 * node.capacity / means.max(1e-9)).max(1.0);
    let at = |l: &&Load| {
        let rate = l.curve.first().map_or(0.0, |p| p.rate) * times;
        Point { rate, burst: l.curve.burst(rate).unwrap_or(l.max_request_units) }
    };
    (false, all.iter().map(at).collect())
}

impl Figures {
    fn read(&self) -> Result<(HostSettings, tackmast_workload::Workload, Node), String> {
        for (name, x) in [("node-units", self.node_units), ("unit-ms", self.unit_ms)] {
            if !(x.is_finite() && x > 0.0) {
                return Err(format!("--{name} {x}; expected a number above 0"));
            }
        }
        for (name, x) in [("way-ms", self.way_ms), ("ahead", self.ahead)] {
            if !(x.is_finite() && x >= 0.0) {
                return Err(format!("--{name} {x}; expected a number of 0 or more"));
            }
        }
        let s = HostSettings::read(&self.config).map_err(|e| e.to_string())?;
        let load = tackmast_workload::Workload::read(&self.load).map_err(|e| e.to_string())?;
        if let Some(f) = load.flows.iter().find(|f| !s.volumes.iter().any(|v| v.name == f.volume)) {
            let at = self.load.display();
            return Err(format!(
                "{at}: flow {}: volume {:?}; expected one of the settings",
                f.name, f.volume
            ));
        }
        let node = Node {
            capacity: self.node_units,
            unit_service_s: self.unit_ms / 1e3,
            in_flight_units: self.ahead,
            round_trip_s: self.way_ms / 1e3,
        };
        Ok((s, load, node))
    }
}

/// By shard: whether all latency objectives can hold, the bound of each load, and reservations beside what the node bears.
pub fn check(f: &Figures) -> Result<ExitCode, String> {
    let (s, load, node) = f.read()?;
    let all = asked(&s, &load, node.capacity);
    let waits = held_by_limit(&s, &load);
    let mut risks = Vec::new();
    for (shard, there) in by_shard(&all) {
        let loads: Vec<&Load> = there.iter().map(|a| &a.load).collect();
        let (holds, points) = points(&node, &loads);
        let rates: f64 = points.iter().map(|p| p.rate).sum();
        let of_shard = s.volumes.iter().filter(|v| v.shards.contains(&shard));
        let reserved: f64 = of_shard.map(|v| s.plans[v.plan as usize].reserve / v.shards.len() as f64).sum();
        let over = if reserved > node.capacity { ", more than it bears" } else { "" };
        println!(
            "shard {shard}: {}, {rates:.0} of {:.0} units a second, {reserved:.0} reserved{over}",
            if holds { "all latency objectives hold" } else { "no rates and bursts hold" },
            node.capacity
        );
        if !over.is_empty() {
            risks.push(format!("reservations at shard {shard}"));
        }
        for ((a, bound), p) in there.iter().zip(latency_bounds(&node, &loads, &points)).zip(&points) {
            let (l, bound) = (&a.load, bound + waits.get(&a.volume).copied().unwrap_or(0.0));
            let risk = bound > l.latency_objective_s;
            println!(
                "  {:<24} {:>8.1} units/s {:>8.1} at once, within {:>8.0} ms of {:.0}{}",
                l.name,
                p.rate,
                p.burst,
                bound * 1e3,
                l.latency_objective_s * 1e3,
                if risk { ", at risk" } else { "" }
            );
            if risk || !holds {
                risks.push(l.name.clone());
            }
        }
    }
    risks.sort();
    risks.dedup();
    match risks.is_empty() {
        true => println!("all latency objectives hold by the bound"),
        false => println!("at risk by the bound: {}", risks.join(", ")),
    }
    Ok(ExitCode::from(u8::from(!risks.is_empty())))
}

/// Limits and bursts of volumes as they lie, and where each load would go if it could be placed anew.
pub fn suggest(f: &Figures, nodes: usize) -> Result<ExitCode, String> {
    let (s, load, node) = f.read()?;
    let all = asked(&s, &load, node.capacity);
    let mut sums: BTreeMap<usize, (f64, f64, bool)> = BTreeMap::new();
    for there in by_shard(&all).into_values() {
        let loads: Vec<&Load> = there.iter().map(|a| &a.load).collect();
        let (holds, points) = points(&node, &loads);
        for (a, p) in there.iter().zip(points) {
            let sum = sums.entry(a.volume).or_insert((0.0, 0.0, true));
            *sum = (sum.0 + p.rate, sum.1 + p.burst, sum.2 && holds);
        }
    }
    println!("# where data lies now");
    for (volume, (rate, burst, holds)) in sums {
        let note = if holds { "" } else { ", and some latency objective is at risk all the same" };
        println!(
            "volume {:<16} limit {rate:.0} units/s, burst {burst:.0} units{note}",
            s.volumes[volume].name
        );
    }
    let loads: Vec<Load> = all.iter().map(|a| a.load.clone()).collect();
    let started = Instant::now();
    let p = place(&node, nodes, &loads);
    println!(
        "# placed anew: {} of {nodes} nodes used, {} loads find none ({:.2} s)",
        p.used_nodes(),
        p.unplaced.len(),
        started.elapsed().as_secs_f64()
    );
    for (n, there) in p.nodes.iter().enumerate().filter(|(_, t)| !t.is_empty()) {
        let name = |PlacedLoad { load, point: p }: &PlacedLoad| {
            let a = &all[*load];
            let (v, st) = (&s.volumes[a.volume].name, &s.traffic_classes[a.traffic_class].name);
            format!("{v} {st} of shard {} ({:.0} units/s, {:.0} at once)", a.shard, p.rate, p.burst)
        };
        println!("node {n}: {}", there.iter().map(name).collect::<Vec<_>>().join("; "));
    }
    p.unplaced.iter().for_each(|l| println!("no node: {} of shard {}", loads[*l].name, all[*l].shard));
    Ok(ExitCode::from(u8::from(!p.unplaced.is_empty())))
}

/// The bound beside what the laboratory then measures, load by load.
pub fn beside_lab(
    files: &[PathBuf],
    hosts: u32,
    nodes: u32,
    seed: u64,
    ahead: f64,
) -> Result<ExitCode, String> {
    println!("models in virtual time; milliseconds. A bound that no rates hold is by the least bursts at nine tenths of the node");
    println!(
        "{:<14} {:<18} {:>6} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9}  holds",
        "load", "class", "objective", "bound", "p50", "p99", "p99.9", "most", "in time"
    );
    for file in files {
        let load = tackmast_workload::Workload::read(file).map_err(|e| e.to_string())?;
        let mut w = World::generate(seed, hosts);
        w.faults.clear();
        (w.nodes, w.clients, w.unit_s, w.cache_savings) = (nodes, [0, 0], 0.004, 0.0);
        (w.wall_off_s, w.drift, w.members) = (0.0, 0.0, None);
        w.seconds = load.seconds + 0.5;
        w.load = Some(std::sync::Arc::new(load.clone()));
        let s = tackmast_simulator::settings(&w, 0, None);
        let way_s = 2.0 * (w.delay_us + w.jitter_us) as f64 / 1e6 + 0.002;
        let node = Node {
            capacity: f64::from(w.cores) / w.unit_s,
            unit_service_s: w.unit_s,
            in_flight_units: ahead,
            round_trip_s: way_s,
        };
        let all = asked(&s, &load, node.capacity);
        let waits = held_by_limit(&s, &load);
        // A class's bound is that of its worst shard: a command of several parts waits for the last of them.
        let mut worst: BTreeMap<String, (f64, f64, bool)> = BTreeMap::new();
        for there in by_shard(&all).into_values() {
            let loads: Vec<&Load> = there.iter().map(|a| &a.load).collect();
            let (holds, points) = points(&node, &loads);
            for (a, bound) in there.iter().zip(latency_bounds(&node, &loads, &points)) {
                let plan = &s.plans[s.volumes[a.volume].plan as usize].name;
                let bound = bound + waits.get(&a.volume).copied().unwrap_or(0.0);
                let class = format!("{plan} {}", s.traffic_classes[a.traffic_class].name);
                let x = worst.entry(class).or_insert((a.load.latency_objective_s, 0.0, true));
                *x = (x.0, x.1.max(bound), x.2 && holds);
            }
        }
        let run = tackmast_simulator::play(&w, None).run;
        for (class, (latency_objective, bound, holds)) in worst {
            let Some(c) = run.classes.get(&class) else { continue };
            let at = |p: f64| c.times.value_at_percentile(p) as f64 / 1e3;
            println!(
                "{:<14} {class:<18} {:>6.0} {:>8.0} {:>8.1} {:>8.1} {:>8.1} {:>8.1} {:>9.4}  {}",
                name(file),
                latency_objective * 1e3,
                bound * 1e3,
                at(50.0),
                at(99.0),
                at(99.9),
                c.times.max() as f64 / 1e3,
                c.in_time as f64 / c.asked.max(1) as f64,
                if holds && bound <= latency_objective { "yes" } else { "no" }
            );
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn name(file: &Path) -> String {
    file.file_stem().map_or_else(String::new, |s| s.to_string_lossy().into_owned())
}

fn access(write: bool) -> Access {
    if write {
        Access::Write
    } else {
        Access::Read
    }
}
