//! `tackmast benchmark`.

use std::process::ExitCode;
use tackmast_benchmarks::{
    beside_greedy, core_cost, core_cost_with_orders, through_library, timers, Bench, Load, Route,
};
use tackmast_client::{Options, Protocol};

#[derive(clap::Args)]
pub struct BenchmarkArguments {
    /// Seconds of each of the loads.
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    #[arg(long, default_value_t = 4)]
    nodes: usize,
    #[arg(long, default_value_t = 8)]
    sessions: usize,
    /// Commands open in each session.
    #[arg(long, default_value_t = 32)]
    depth: usize,
    /// Blocks of 512 bytes in a read.
    #[arg(long, default_value_t = 8)]
    blocks: u32,
    /// Measures what overrides cost instead.
    #[arg(long)]
    overrides: bool,
    /// Measures both protocols through the client libraries instead, and a polite client beside a greedy one.
    #[arg(long)]
    service: bool,
}

fn service(bench: &Bench, seconds: f64) -> Result<(), String> {
    let options = |protocol, address| Options::new(protocol, address, "v", 0);
    let (iscsi, nbd) = (options(Protocol::Iscsi, bench.host), options(Protocol::Nbd, bench.nbd));
    println!("{:<28} {:>10} {:>8} {:>8} {:>9}", "load and route", "done/s", "p50 us", "p99 us", "not done");
    let row = |name: String, s: &tackmast_benchmarks::Shown| {
        println!("{name:<28} {:>10.0} {:>8} {:>8} {:>9}", s.per_s, s.p50_us, s.p99_us, s.other);
    };
    for sessions in [1, 64, 2000] {
        let straight = Route::Nodes(bench.nodes.iter().map(|n| n.address()).collect());
        let load = Load { sessions: sessions.min(64), depth: 1, blocks: 8, seconds, think_us: 0 };
        let direct = load.run(&straight)?;
        row(format!("{} straight", load.sessions), &direct);
        for (name, o) in [("iSCSI", &iscsi), ("NBD", &nbd)] {
            let s = through_library(o, sessions, seconds)?;
            row(format!("{sessions} sessions, {name}"), &s);
            println!("    ratio to straight {:.2}", s.per_s / direct.per_s);
        }
        if let Some((_, memory, threads)) = bench.host_use() {
            println!("    host: {memory:.0} MiB, {threads} threads");
        }
    }
    for (name, o) in [("iSCSI", &iscsi), ("NBD", &nbd)] {
        let alone = beside_greedy(o, 0, seconds)?;
        let beside = beside_greedy(o, 2000, seconds)?;
        row(format!("polite alone, {name}"), &alone);
        row(format!("beside 2000 open, {name}"), &beside);
        let (p50, p99) =
            (beside.p50_us as f64 / alone.p50_us as f64, beside.p99_us as f64 / alone.p99_us as f64);
        println!("    median {p50:.1} times, p99 {p99:.1} times");
    }
    Ok(())
}

fn overrides() -> Result<ExitCode, String> {
    println!("{:<10} {:>12} {:>12} {:>7}", "timers", "wheel ns", "heap ns", "ratio");
    let t = timers(100_000);
    for (name, (wheel, heap)) in [("put", t.put), ("remove", t.remove), ("come out", t.come_out)] {
        println!("{name:<10} {wheel:>12.0} {heap:>12.0} {:>7.2}", wheel / heap);
    }
    let (none, many) = core_cost_with_orders(200_000, 10_000)?;
    println!(
        "host core: {none:.2} us a request with no overrides, {many:.2} us with 10,000 ({:.2})",
        many / none
    );
    Ok(ExitCode::SUCCESS)
}

pub fn measure(a: &BenchmarkArguments) -> Result<ExitCode, String> {
    if a.overrides {
        return overrides();
    }
    if !(0.1..=60.0).contains(&a.seconds) {
        return Err(format!("--seconds {}; expected 0.1 to 60", a.seconds));
    }
    let dir = std::env::temp_dir().join(format!("tackmast-measure-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
    let binary = std::env::current_exe().map_err(|e| e.to_string())?;
    let bench = Bench::start(&binary, &dir, a.nodes)?;
    if a.service {
        let shown = service(&bench, a.seconds);
        drop(bench);
        _ = std::fs::remove_dir_all(&dir);
        return shown.map(|()| ExitCode::SUCCESS);
    }
    let straight = Route::Nodes(bench.nodes.iter().map(|n| n.address()).collect());
    let host = Route::Host(bench.host);
    let full =
        Load { sessions: a.sessions, depth: a.depth, blocks: a.blocks, seconds: a.seconds, think_us: 0 };
    println!("nodes are stand-ins that do no work; {} of them, {} blocks a read", a.nodes, a.blocks);
    println!(
        "{:<34} {:>10} {:>8} {:>8} {:>12}",
        "load and route", "done/s", "p50 us", "p99 us", "host us/xfer"
    );
    let row = |name: &str, route: &Route, load: &Load| {
        let before = bench.host_use();
        let shown = load.run(route)?;
        let cpu = match (before, bench.host_use()) {
            (Some(b), Some(e)) => (e.0 - b.0) * 1e6 / shown.done.max(1) as f64,
            _ => 0.0,
        };
        println!("{name:<34} {:>10.0} {:>8} {:>8} {cpu:>12.1}", shown.per_s, shown.p50_us, shown.p99_us);
        if shown.other > 0 {
            println!("    {} were not done", shown.other);
        }
        Ok::<_, String>(shown)
    };
    let sessions = format!("{} sessions x {}", a.sessions, a.depth);
    let direct = row(&format!("{sessions}, straight"), &straight, &full)?;
    let through = row(&format!("{sessions}, host"), &host, &full)?;
    println!("ratio of done/s {:.2}, of p50 {:.2}", through.per_s / direct.per_s, {
        through.p50_us as f64 / direct.p50_us.max(1) as f64
    });
    let one = Load { sessions: 1, depth: 1, ..full };
    let direct = row("1 session x 1, straight", &straight, &one)?;
    let through = row("1 session x 1, host", &host, &one)?;
    println!("added at the median {} us", through.p50_us as i64 - direct.p50_us as i64);
    // Half of what the host was seen to do: each slot waits as long as it took.
    let half = Load {
        think_us: (a.sessions as f64 * 1e6 / (through.per_s.max(1.0) * 4.0)) as u64,
        depth: 1,
        ..full
    };
    let direct = row(&format!("{} sessions x 1, at half, straight", a.sessions), &straight, &half)?;
    let through = row(&format!("{} sessions x 1, at half, host", a.sessions), &host, &half)?;
    println!(
        "added at the median {} us, at p99 {} us",
        through.p50_us as i64 - direct.p50_us as i64,
        through.p99_us as i64 - direct.p99_us as i64
    );
    if let Some((_, memory, threads)) = bench.host_use() {
        println!("host: {memory:.0} MiB resident, {threads} threads");
    }
    drop(bench);
    _ = std::fs::remove_dir_all(&dir);
    let cost = core_cost(200_000)?;
    println!(
        "without I/O, one thread: host core {:.2} us a request, of which the module {:.2} us ({:.0}%)",
        cost.core_us,
        cost.module_us,
        100.0 * cost.module_us / cost.core_us
    );
    Ok(ExitCode::SUCCESS)
}
