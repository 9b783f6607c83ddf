//! `tackmast benchmark`.

use std::path::PathBuf;
use std::process::ExitCode;
use tackmast_benchmarks::{
    core_cost, measure_beside_greedy, measure_sessions, override_cost, timer_costs, BenchmarkError,
    ClosedLoop, Measurement, Route, Testbed,
};
use tackmast_client::{Options, Protocol};

/// Requests of each measurement without I/O.
const CORE_REQUESTS: u64 = 200_000;
/// Timers of the measurement of the timing wheel.
const TIMER_COUNT: usize = 100_000;
/// Overrides of the measurement of what they cost.
const OVERRIDE_COUNT: u32 = 10_000;
/// Calls that the greedy client keeps open.
const GREEDY_CALLS: usize = 2000;

/// Arguments of `tackmast benchmark`.
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

/// Runs the measurement that the arguments ask for, and prints it.
pub fn measure(arguments: &BenchmarkArguments) -> Result<ExitCode, String> {
    if arguments.overrides {
        print_overrides().map_err(|error| error.to_string())?;
        return Ok(ExitCode::SUCCESS);
    }
    if !(0.1..=60.0).contains(&arguments.seconds) {
        return Err(format!("--seconds {}; expected 0.1 to 60", arguments.seconds));
    }
    let folder = TemporaryFolder::create().map_err(|error| error.to_string())?;
    let binary = std::env::current_exe().map_err(|error| error.to_string())?;
    let testbed = Testbed::start(&binary, &folder.0, arguments.nodes).map_err(|error| error.to_string())?;
    let printed = if arguments.service {
        print_service(&testbed, arguments.seconds)
    } else {
        print_routes(&testbed, arguments).and_then(|()| {
            drop(testbed);
            print_core()
        })
    };
    printed.map_err(|error| error.to_string())?;
    Ok(ExitCode::SUCCESS)
}

/// The folder of the host's settings, removed in the end.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn create() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("tackmast-measure-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(TemporaryFolder(path))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

fn print_service(testbed: &Testbed, seconds: f64) -> Result<(), BenchmarkError> {
    let options = |protocol, address| Options::new(protocol, address, "v", 0);
    let protocols =
        [("iSCSI", options(Protocol::Iscsi, testbed.host)), ("NBD", options(Protocol::Nbd, testbed.nbd))];
    println!("{:<28} {:>10} {:>8} {:>8} {:>9}", "load and route", "done/s", "p50 us", "p99 us", "not done");
    for sessions in [1, 64, 2000] {
        let load = ClosedLoop { sessions: sessions.min(64), depth: 1, blocks: 8, seconds, think_us: 0 };
        let direct = load.run(&direct_route(testbed))?;
        print_service_row(&format!("{} straight", load.sessions), &direct);
        for (name, options) in &protocols {
            let measured = measure_sessions(options, sessions, seconds)?;
            print_service_row(&format!("{sessions} sessions, {name}"), &measured);
            println!("    ratio to straight {:.2}", measured.per_s / direct.per_s);
        }
        if let Some(usage) = testbed.host_usage() {
            println!("    host: {:.0} MiB, {} threads", usage.memory_mib, usage.threads);
        }
    }
    for (name, options) in &protocols {
        let alone = measure_beside_greedy(options, 0, seconds)?;
        let beside = measure_beside_greedy(options, GREEDY_CALLS, seconds)?;
        print_service_row(&format!("polite alone, {name}"), &alone);
        print_service_row(&format!("beside {GREEDY_CALLS} open, {name}"), &beside);
        let p50 = beside.p50_us as f64 / alone.p50_us as f64;
        let p99 = beside.p99_us as f64 / alone.p99_us as f64;
        println!("    median {p50:.1} times, p99 {p99:.1} times");
    }
    Ok(())
}

fn print_service_row(name: &str, measured: &Measurement) {
    let Measurement { per_s, p50_us, p99_us, not_done, .. } = measured;
    println!("{name:<28} {per_s:>10.0} {p50_us:>8} {p99_us:>8} {not_done:>9}");
}

fn print_overrides() -> Result<(), BenchmarkError> {
    println!("{:<10} {:>12} {:>12} {:>7}", "timers", "wheel ns", "heap ns", "ratio");
    let costs = timer_costs(TIMER_COUNT);
    for (name, cost) in [("put", costs.insert), ("remove", costs.remove), ("come out", costs.expire)] {
        let ratio = cost.wheel_ns / cost.heap_ns;
        println!("{name:<10} {:>12.0} {:>12.0} {ratio:>7.2}", cost.wheel_ns, cost.heap_ns);
    }
    let cost = override_cost(CORE_REQUESTS, OVERRIDE_COUNT)?;
    println!(
        "host core: {:.2} us a request with no overrides, {:.2} us with 10,000 ({:.2})",
        cost.without_us,
        cost.with_us,
        cost.with_us / cost.without_us
    );
    Ok(())
}

fn direct_route(testbed: &Testbed) -> Route {
    Route::Nodes(testbed.nodes.iter().map(|node| node.address()).collect())
}

/// Measures the same loads straight to the nodes and through the host: as much as it does, one command at a time, and half.
fn print_routes(testbed: &Testbed, arguments: &BenchmarkArguments) -> Result<(), BenchmarkError> {
    let &BenchmarkArguments { seconds, nodes, sessions, depth, blocks, .. } = arguments;
    let (direct, host) = (direct_route(testbed), Route::Host(testbed.host));
    let full = ClosedLoop { sessions, depth, blocks, seconds, think_us: 0 };
    println!("nodes are stand-ins that do no work; {nodes} of them, {blocks} blocks a read");
    println!(
        "{:<34} {:>10} {:>8} {:>8} {:>12}",
        "load and route", "done/s", "p50 us", "p99 us", "host us/xfer"
    );
    let run = |name: &str, route: &Route, load: &ClosedLoop| measure_route(testbed, name, route, load);
    let straight = run(&format!("{sessions} sessions x {depth}, straight"), &direct, &full)?;
    let through = run(&format!("{sessions} sessions x {depth}, host"), &host, &full)?;
    let p50_ratio = through.p50_us as f64 / straight.p50_us.max(1) as f64;
    println!("ratio of done/s {:.2}, of p50 {p50_ratio:.2}", through.per_s / straight.per_s);
    let one = ClosedLoop { sessions: 1, depth: 1, ..full };
    let straight = run("1 session x 1, straight", &direct, &one)?;
    let through_one = run("1 session x 1, host", &host, &one)?;
    println!("added at the median {} us", added_us(through_one.p50_us, straight.p50_us));
    // Half of what the host did with one command at a time: each session waits as long as its answer took.
    let think_us = (sessions as f64 * 1e6 / (through_one.per_s.max(1.0) * 4.0)) as u64;
    let half = ClosedLoop { think_us, depth: 1, ..full };
    let straight = run(&format!("{sessions} sessions x 1, at half, straight"), &direct, &half)?;
    let through = run(&format!("{sessions} sessions x 1, at half, host"), &host, &half)?;
    println!(
        "added at the median {} us, at p99 {} us",
        added_us(through.p50_us, straight.p50_us),
        added_us(through.p99_us, straight.p99_us)
    );
    if let Some(usage) = testbed.host_usage() {
        println!("host: {:.0} MiB resident, {} threads", usage.memory_mib, usage.threads);
    }
    Ok(())
}

fn added_us(through_us: u64, straight_us: u64) -> i64 {
    through_us as i64 - straight_us as i64
}

/// Measures one load and prints its row, with the CPU time of the host for each request.
fn measure_route(
    testbed: &Testbed,
    name: &str,
    route: &Route,
    load: &ClosedLoop,
) -> Result<Measurement, BenchmarkError> {
    let before = testbed.host_usage();
    let measured = load.run(route)?;
    let cpu_us = match (before, testbed.host_usage()) {
        (Some(before), Some(after)) => (after.cpu_s - before.cpu_s) * 1e6 / measured.done.max(1) as f64,
        _ => 0.0,
    };
    let Measurement { per_s, p50_us, p99_us, not_done, .. } = measured;
    println!("{name:<34} {per_s:>10.0} {p50_us:>8} {p99_us:>8} {cpu_us:>12.1}");
    if not_done > 0 {
        println!("    {not_done} were not done");
    }
    Ok(measured)
}

fn print_core() -> Result<(), BenchmarkError> {
    let cost = core_cost(CORE_REQUESTS)?;
    println!(
        "without I/O, one thread: host core {:.2} us a request, of which the module {:.2} us ({:.0}%)",
        cost.core_us,
        cost.scheduler_us,
        100.0 * cost.scheduler_us / cost.core_us
    );
    Ok(())
}
