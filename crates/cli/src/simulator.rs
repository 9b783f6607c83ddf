//! `tackmast simulator`: the host core by the hundred, in virtual time.

use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tackmast_simulator::{
    compare, page, play, shrink, shrink_worse, without_orders, worse_than, Change, ReferenceModel, Variant,
    World,
};

#[derive(clap::Subcommand)]
pub enum SimulatorCommand {
    /// Plays the world of one seed and judges the rules; the same seed is the same run, to the byte.
    Play {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 10)]
        hosts: u32,
        /// Seconds of virtual time, in place of those drawn.
        #[arg(long)]
        seconds: Option<f64>,
        #[arg(long)]
        nodes: Option<u32>,
        /// Commands a second at each host, in place of those drawn.
        #[arg(long)]
        rate: Option<f64>,
        /// A page with pictures of the run: service, stores, percentiles, attempts by node.
        #[arg(long)]
        report: Option<std::path::PathBuf>,
        /// The trace, line by line as JSON, for `tackmast rules` and for reading.
        #[arg(long)]
        trace: Option<std::path::PathBuf>,
        /// Arrivals from a file, in place of those drawn.
        #[arg(long)]
        load: Option<std::path::PathBuf>,
        /// The script of a day, as `tackmast scenario` plays it through sockets: its nodes, settings, traffic and troubles.
        #[arg(long, conflicts_with_all = ["hosts", "seconds", "nodes", "rate", "load"])]
        day: Option<std::path::PathBuf>,
        /// Without the troubles drawn.
        #[arg(long)]
        calm: bool,
    },
    /// Holds the planner's bound beside what a load then takes here, for each file.
    Bound {
        #[arg(required = true)]
        loads: Vec<std::path::PathBuf>,
        #[arg(long, default_value_t = 4)]
        hosts: u32,
        #[arg(long, default_value_t = 4)]
        nodes: u32,
        #[arg(long, default_value_t = 5)]
        seed: u64,
        /// Units of looser traffic classes out at a node when a tighter one comes.
        #[arg(long, default_value_t = 16.0)]
        ahead: f64,
    },
    /// Plays a load from a file once here and once through real hosts and stand-in nodes on loopback, side by side.
    Truth {
        file: std::path::PathBuf,
        #[arg(long, default_value_t = 3)]
        hosts: u32,
        #[arg(long, default_value_t = 4)]
        nodes: u32,
        /// Milliseconds of one core's work in a unit.
        #[arg(long, default_value_t = 4.0)]
        unit_ms: f64,
    },
    /// Plays the same seeds under two variants and tells the medians and their differences, each with the interval that
    /// holds the median with 95% by the sign test. A variant is an HCL file: `plain` (fcfs, caps or buckets, in place of the
    /// host core) and a block `change` of values in place of those drawn.
    Compare {
        a: std::path::PathBuf,
        b: std::path::PathBuf,
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        #[arg(long, default_value_t = 1)]
        first: u64,
        #[arg(long, default_value_t = 20)]
        hosts: u32,
        #[arg(long, default_value_t = 4)]
        threads: usize,
    },
    /// Plays one seed after the other on all cores, until a rule breaks or the time is up. A find is made smaller, and
    /// printed with its seed.
    Hunt {
        #[arg(long, default_value_t = 1.0)]
        minutes: f64,
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// Hosts, at most; each seed draws its own number up to that.
        #[arg(long, default_value_t = 20)]
        hosts: u32,
        #[arg(long, default_value_t = 4)]
        threads: usize,
        /// Looks for the worlds in which the core serves worst against a plain host (fcfs, caps or buckets), in place of
        /// broken rules.
        #[arg(long, value_name = "PLAIN")]
        worst: Option<String>,
        /// Writes what is found as day scripts into this folder: as it is, and scaled down for loopback.
        #[arg(long, value_name = "DIR")]
        save: Option<std::path::PathBuf>,
    },
    /// Plays fleets of hosts that know of each other, without requests: time to know and to miss each other, bytes, false
    /// suspicions, and how views and orders meet after a partition.
    Fleet {
        /// Hosts; given several times, a line each.
        #[arg(long, default_values_t = [10, 140, 300])]
        hosts: Vec<u32>,
        /// Part of datagrams that is lost.
        #[arg(long, default_values_t = [0.0, 0.05])]
        loss: Vec<f64>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Plays the views of fleets under faults: time to settle after the last one, false deaths, bytes; beside the former
    /// view or without one addition, in pairs; and deliberate faults of the view that have to be found.
    View(crate::membership_views::ViewArguments),
    /// Walks by chance over the agreement: voters, disks, clocks and ways; what must never be is looked for after each step.
    Agree(crate::consensus_walks::AgreeArguments),
    /// Prints the world of one seed as a day script, for `tackmast scenario` and for `tackmast simulator play --day`.
    Script {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 10)]
        hosts: u32,
        /// Scaled down to so many hosts, each node as busy as before.
        #[arg(long)]
        scaled: Option<u32>,
    },
}

/// Hosts of a find that is scaled down for loopback.
const ON_LOOPBACK: u32 = 4;
/// Part of a difference in service that must stay while a find is made smaller.
const STAYS: f64 = 0.8;

pub fn run(command: SimulatorCommand) -> Result<ExitCode, String> {
    match command {
        SimulatorCommand::Play {
            seed,
            hosts,
            seconds,
            nodes,
            rate,
            report,
            trace,
            load: file,
            day,
            calm,
        } => {
            if !(1..=1000).contains(&hosts) || nodes.is_some_and(|n| !(1..=1000).contains(&n)) {
                return Err(format!("--hosts {hosts}; expected 1 to 1000, and as many nodes at most"));
            }
            let mut world = World::generate(seed, hosts);
            world.seconds = seconds.unwrap_or(world.seconds).clamp(0.1, 600.0);
            world.nodes = nodes.unwrap_or(world.nodes);
            world.rate = rate.unwrap_or(world.rate);
            world.faults.retain(|t| !calm && t.node < world.nodes);
            if let Some(file) = file {
                let load = tackmast_workload::Workload::read(&file).map_err(|e| e.to_string())?;
                world.seconds = seconds.unwrap_or(load.seconds + 0.5);
                world.load = Some(std::sync::Arc::new(load));
            }
            if let Some(path) = day {
                let script = tackmast_scenario::Script::read(&path).map_err(|e| e.to_string())?;
                let (of_script, left_out) = World::of_script(script, seed);
                world = of_script;
                world.faults.retain(|_| !calm);
                left_out.iter().for_each(|l| println!("left out: {l}"));
            }
            let started = Instant::now();
            let found = play(&world, None);
            let text = shown(&world, &found);
            print!("{text}");
            if let Some(path) = trace {
                let file = std::fs::File::create(&path).map_err(|e| format!("{}: {e}", path.display()))?;
                tackmast_trace::write(&found.run.trace, file)
                    .map_err(|e| format!("{}: {e}", path.display()))?;
            }
            if let Some(path) = report {
                std::fs::write(&path, page(&world, &found, &text).map_err(|error| error.to_string())?)
                    .map_err(|e| format!("{}: {e}", path.display()))?;
            }
            println!(
                "{:.2} s of wall time, trace digest {:08x}",
                started.elapsed().as_secs_f64(),
                found.run.digest()
            );
            Ok(ExitCode::from(u8::from(found.is_bad())))
        }
        SimulatorCommand::Truth { file, hosts, nodes, unit_ms } => {
            if !(1..=8).contains(&hosts) || !(1..=60).contains(&nodes) || !(0.1..=100.0).contains(&unit_ms) {
                return Err(format!("--hosts {hosts} --nodes {nodes} --unit-ms {unit_ms}; expected 1 to 8, 1 to 60, 0.1 to 100"));
            }
            let load = tackmast_workload::Workload::read(&file).map_err(|e| e.to_string())?;
            println!("{hosts} hosts, {nodes} nodes; models in virtual time, and stand-ins on loopback");
            println!(
                "{:<12} {:<9} {:>7} {:>8} {:>9} {:>8} {:>9} {:>9}",
                "flow", "where", "asked", "in time", "rejected", "failed", "p50 ms", "p99 ms"
            );
            let compared = tackmast_benchmarks::compare_with_loopback(&load, hosts, nodes, unit_ms);
            for b in compared.map_err(|e| e.to_string())? {
                for (place, f) in [("lab", &b.simulator), ("loopback", &b.loopback)] {
                    let part = |n: u64| n as f64 / f.request_count.max(1) as f64;
                    println!(
                        "{:<12} {place:<9} {:>7} {:>8.3} {:>9.3} {:>8.3} {:>9.1} {:>9.1}",
                        b.flow,
                        f.request_count,
                        part(f.in_time),
                        part(f.rejected),
                        part(f.failed),
                        f.p50_ms,
                        f.p99_ms
                    );
                }
            }
            Ok(ExitCode::SUCCESS)
        }
        SimulatorCommand::Compare { a, b, seeds, first, hosts, threads } => {
            if !(1..=100_000).contains(&seeds) || !(1..=300).contains(&hosts) {
                return Err(format!("--seeds {seeds} --hosts {hosts}; expected 1 to 100000 and 1 to 300"));
            }
            let (va, vb) = (variant(&a)?, variant(&b)?);
            println!(
                "A is {}, B is {}; {seeds} seeds from {first} on; models, not machines",
                a.display(),
                b.display()
            );
            println!("{:<24} {:>10} {:>10} {:>10}  interval of the difference", "median", "A", "B", "B - A");
            for l in compare(&va, &vb, first, seeds, hosts, threads) {
                let interval =
                    l.interval.map_or("too few pairs".into(), |(x, y)| format!("{x:.3} to {y:.3}"));
                println!(
                    "{:<24} {:>10.3} {:>10.3} {:>10.3}  {interval}",
                    l.name, l.baseline, l.candidate, l.difference
                );
            }
            Ok(ExitCode::SUCCESS)
        }
        SimulatorCommand::Hunt { minutes, first, hosts, threads, worst, save } => {
            let plain = worst.as_deref().map(|p| plain_named("--worst", p)).transpose()?;
            let hunt =
                Hunt { minutes, first, hosts: hosts.clamp(1, 300), threads: threads.clamp(1, 64), save };
            match plain {
                Some(plain) => hunt.worst(plain),
                None => hunt.rules(),
            }
        }
        SimulatorCommand::Bound { loads, hosts, nodes, seed, ahead } => {
            if !(1..=300).contains(&hosts) || !(1..=300).contains(&nodes) {
                return Err(format!("--hosts {hosts} --nodes {nodes}; expected 1 to 300"));
            }
            crate::planner::beside_lab(&loads, hosts, nodes, seed, ahead)
        }
        SimulatorCommand::View(a) => crate::membership_views::run(&a),
        SimulatorCommand::Agree(a) => crate::consensus_walks::run(&a),
        SimulatorCommand::Fleet { hosts, loss, seed } => {
            if hosts.iter().any(|h| !(3..=1000).contains(h)) || loss.iter().any(|l| !(0.0..=0.9).contains(l))
            {
                return Err(format!("--hosts {hosts:?} --loss {loss:?}; expected 3 to 1000, and 0 to 0.9"));
            }
            println!("models in virtual time; periods of 0.5 s; seconds, but for bytes and suspicions");
            println!(
                "{:>6} {:>6} {:>10} {:>8} {:>12} {:>12} {:>11} {:>9} {:>8} {:>11} {:>11} {:>12} {:>9} {:>11} {:>11} {:>8} {:>10} {:>9}",
                "hosts",
                "loss",
                "all known",
                "bytes/s",
                "false/h/host",
                "false deaths",
                "first dead",
                "all dead",
                "back",
                "stale seeds",
                "views meet",
                "orders meet",
                "returned",
                "after flaps",
                "flap deaths",
                "plan",
                "large plan",
                "after cut"
            );
            let s = |x: Option<f64>| x.map_or("never".to_owned(), |x| format!("{x:.2}"));
            for (hosts, loss) in hosts.iter().flat_map(|h| loss.iter().map(move |l| (*h, *l))) {
                let f = tackmast_simulator::fleet(hosts, loss, seed);
                println!(
                    "{hosts:>6} {loss:>6.2} {:>10} {:>8.0} {:>12.2} {:>12} {:>11} {:>9} {:>8} {:>11} {:>11} {:>12} {:>9} {:>11} {:>11} {:>8} {:>10} {:>9}",
                    s(f.all_known_s), f.bytes_a_second, f.false_suspicions, f.false_deaths, s(f.first_known_s),
                    s(f.all_dead_s), s(f.back_s),
                    s(f.stale_seeds_s), s(f.views_meet_s), s(f.orders_meet_s), f.returned, s(f.after_flaps_s), f.flap_deaths,
                    s(f.plan_s), s(f.large_plan_s), s(f.plan_after_cut_s));
            }
            Ok(ExitCode::SUCCESS)
        }
        SimulatorCommand::Script { seed, hosts, scaled } => {
            if !(1..=300).contains(&hosts) || scaled.is_some_and(|s| !(1..=hosts).contains(&s)) {
                return Err(format!(
                    "--hosts {hosts} --scaled {scaled:?}; expected 1 to 300, and no more than that"
                ));
            }
            let world = World::generate(seed, hosts);
            print!("{}", world.scaled(scaled.unwrap_or(hosts)).to_script());
            Ok(ExitCode::SUCCESS)
        }
    }
}

#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct VariantFile {
    plain: Option<String>,
    #[serde(default)]
    change: Change,
}

fn variant(path: &std::path::Path) -> Result<Variant, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    let file: VariantFile = hcl::from_str(&text).map_err(|e| format!("{name}: {e}"))?;
    let plain = file.plain.as_deref().map(|p| plain_named(&format!("{name}: plain"), p)).transpose()?;
    Ok(Variant { reference_model: plain, change: file.change })
}

fn plain_named(place: &str, name: &str) -> Result<ReferenceModel, String> {
    match name {
        "fcfs" => Ok(ReferenceModel::Fcfs),
        "caps" => Ok(ReferenceModel::Caps),
        "buckets" => Ok(ReferenceModel::Buckets),
        other => Err(format!("{place}: {other:?}; expected fcfs, caps or buckets")),
    }
}

fn shown(world: &World, found: &tackmast_simulator::Found) -> String {
    use std::fmt::Write;
    let mut out = String::new();
    _ = writeln!(
        out,
        "seed {}: {} hosts, {} nodes, {:.1} s, {:.1} commands a second a host; models, not machines",
        world.seed, world.hosts, world.nodes, world.seconds, world.rate
    );
    _ = writeln!(
        out,
        "  clients {:?}, wall clocks off by up to {:.2} s, drift up to {:.0} ppm, list late by {:.0} ms, cold from {:.2}, multiple {:.2}, warm after {:.1} s",
        world.clients,
        world.wall_off_s,
        world.drift * 1e6,
        world.list_late_us as f64 / 1e3,
        world.initial_capacity,
        world.overload_multiple,
        world.warm_up_s
    );
    for t in &world.faults {
        let host = t.host.map_or(String::new(), |h| format!(", host {h}"));
        let (at, long) = (t.at_us as f64 / 1e6, t.for_us as f64 / 1e6);
        _ = writeln!(out, "  at {at:.2} s for {long:.2} s: {:?}, node {}{host}", t.kind, t.node);
    }
    let r = &found.run;
    _ = writeln!(
        out,
        "{} asked, {:.3} in time, {} done, {} rejected, {} failed; {} events; {} left in tables at the end",
        r.asked,
        r.in_time as f64 / r.asked.max(1) as f64,
        r.done,
        r.rejected,
        r.failed,
        r.events,
        r.stuck
    );
    for (name, c) in &r.firsts {
        _ = writeln!(
            out,
            "first tries of {name:<24} {:>6} asked, {:.3} in time, {} done; p50 {:.1} ms, p99 {:.1} ms",
            c.asked,
            c.in_time as f64 / c.asked.max(1) as f64,
            c.done,
            c.times.value_at_quantile(0.5) as f64 / 1e3,
            c.times.value_at_quantile(0.99) as f64 / 1e3
        );
    }
    if !r.firsts.is_empty() {
        let (asked, in_time) = r.firsts.values().fold((0, 0), |(a, t), c| (a + c.asked, t + c.in_time));
        let part = in_time as f64 / asked.max(1) as f64;
        _ = writeln!(
            out,
            "first tries in all: {asked} asked, {part:.3} in time; {} nodes fell over",
            r.fallen
        );
    }
    _ = writeln!(
        out,
        "{} calls through the libraries, {} done, {} late; {} orders taken, {} refused",
        r.calls, r.calls_done, r.calls_late, r.orders.0, r.orders.1
    );
    _ = writeln!(
        out,
        "most open at one host: {} commands, {} requests, {} attempts",
        r.max_open.0, r.max_open.1, r.max_open.2
    );
    _ = write!(out, "{}", found.report);
    out
}

struct Hunt {
    minutes: f64,
    first: u64,
    hosts: u32,
    threads: usize,
    save: Option<std::path::PathBuf>,
}

impl Hunt {
    /// Plays worlds on all threads until the time is up or `look` is told enough by one; how many were played.
    fn over(&self, look: impl Fn(&World) -> bool + Sync) -> Result<u64, String> {
        if !(self.minutes > 0.0 && self.minutes <= 600.0) {
            return Err(format!("--minutes {}; expected up to 600", self.minutes));
        }
        let until = Instant::now() + Duration::from_secs_f64(self.minutes * 60.0);
        let (next, over) = (AtomicU64::new(self.first), AtomicBool::new(false));
        std::thread::scope(|s| {
            for _ in 0..self.threads {
                s.spawn(|| {
                    while !over.load(Ordering::Relaxed) && Instant::now() < until {
                        let seed = next.fetch_add(1, Ordering::Relaxed);
                        if look(&World::generate(seed, 1 + (seed % u64::from(self.hosts)) as u32)) {
                            over.store(true, Ordering::Relaxed);
                        }
                    }
                });
            }
        });
        Ok(next.load(Ordering::Relaxed) - self.first)
    }

    fn rules(&self) -> Result<ExitCode, String> {
        let find = Mutex::new(None);
        let played = self.over(|world| {
            let bad = play(world, None).is_bad();
            if bad {
                *find.lock().unwrap_or_else(PoisonError::into_inner) = Some(world.clone());
            }
            bad
        })?;
        let find = find.into_inner().unwrap_or_else(PoisonError::into_inner);
        let (first, hosts) = (self.first, self.hosts);
        let Some(world) = find else {
            println!("{played} seeds from {first} on, up to {hosts} hosts: no rule broken, nothing stuck");
            return Ok(ExitCode::SUCCESS);
        };
        println!("seed {} is a find; made smaller:", world.seed);
        let less = shrink(&world, None);
        print!("{}", shown(&less, &play(&less, None)));
        self.keep(&less)?;
        Ok(ExitCode::from(1))
    }

    /// The world in which the core falls furthest behind a plain host.
    fn worst(&self, plain: ReferenceModel) -> Result<ExitCode, String> {
        let all = Mutex::new(Vec::new());
        let played = self.over(|world| {
            let world = without_orders(world);
            let worse = worse_than(&world, plain);
            all.lock().unwrap_or_else(PoisonError::into_inner).push((worse, world));
            false
        })?;
        let mut all = all.into_inner().unwrap_or_else(PoisonError::into_inner);
        all.sort_by(|a, b| b.0.total_cmp(&a.0));
        let behind = all.iter().filter(|(worse, _)| *worse > 0.0).count();
        println!(
            "{played} seeds from {} on, up to {} hosts; the core is behind {plain:?} in {behind}",
            self.first, self.hosts
        );
        for (worse, w) in all.iter().take(5) {
            println!("seed {}, {} hosts: {worse:+.3} of what is asked in time", w.seed, w.hosts);
        }
        let Some((worse, world)) = all.into_iter().next().filter(|(worse, _)| *worse > 0.0) else {
            return Ok(ExitCode::SUCCESS);
        };
        println!("the first of them, made smaller while {STAYS} of the difference stays:");
        let less = shrink_worse(&world, plain, worse * STAYS);
        print!("{}", shown(&less, &play(&less, None)));
        println!("{plain:?} is ahead by {:.3}", worse_than(&less, plain));
        self.keep(&less)?;
        Ok(ExitCode::SUCCESS)
    }

    fn keep(&self, world: &World) -> Result<(), String> {
        let Some(dir) = &self.save else { return Ok(()) };
        std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        let small = world.scaled(ON_LOOPBACK);
        for (name, w) in [("", world), ("-loopback", &small)] {
            let path = dir.join(format!("seed-{}{name}.hcl", world.seed));
            std::fs::write(&path, w.to_script()).map_err(|e| format!("{}: {e}", path.display()))?;
            println!("kept as {}", path.display());
        }
        Ok(())
    }
}
