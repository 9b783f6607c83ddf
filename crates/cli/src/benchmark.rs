//! `tackmast benchmark`: what a host adds to the same load sent straight to emulated nodes.

mod error;

pub(crate) use error::BenchmarkCommandError;

use crate::temporary_folder::TemporaryFolder;
use std::process::ExitCode;
use tackmast_benchmarks::{
    core_cost, measure_beside_greedy, measure_sessions, override_cost, timer_costs, BenchmarkError,
    ClosedLoop, Measurement, Route, Testbed,
};
use tackmast_client::{Options, Protocol};

/// Requests in each measurement without I/O.
const CORE_REQUESTS: u64 = 200_000;
/// Timers in the measurement of the timing wheel.
const TIMER_COUNT: usize = 100_000;
/// Overrides in the measurement of their cost.
const OVERRIDE_COUNT: u32 = 10_000;
/// Calls that the greedy client keeps open.
const GREEDY_CALLS: usize = 2000;

/// Shortest and longest load, in seconds.
const SECONDS_RANGE: std::ops::RangeInclusive<f64> = 0.1..=60.0;
/// Name of the volume that the testbed serves.
const VOLUME: &str = "v";
/// Numbers of client sessions that `--service` measures.
const SERVICE_SESSIONS: [usize; 3] = [1, 64, 2000];
/// Largest number of sessions straight to the nodes.
const MAX_DIRECT_SESSIONS: usize = 64;

/// Arguments of `tackmast benchmark`.
#[derive(clap::Args)]
pub(crate) struct BenchmarkArguments {
    /// Seconds for which each load runs.
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    /// Number of emulated nodes.
    #[arg(long, default_value_t = 4)]
    nodes: usize,
    /// Number of client sessions.
    #[arg(long, default_value_t = 8)]
    sessions: usize,
    /// Commands open at the same time in each session.
    #[arg(long, default_value_t = 32)]
    depth: usize,
    /// Blocks of 512 bytes in each read.
    #[arg(long, default_value_t = 8)]
    blocks: u32,
    /// Measures instead what overrides cost.
    #[arg(long)]
    overrides: bool,
    /// Measures instead both protocols through the client libraries, and a moderate client beside a greedy one.
    #[arg(long)]
    service: bool,
}

/// Runs the measurement that the arguments select, and prints it.
pub(crate) fn run(arguments: &BenchmarkArguments) -> Result<ExitCode, BenchmarkCommandError> {
    if arguments.overrides {
        print_overrides()?;
        return Ok(ExitCode::SUCCESS);
    }
    if !SECONDS_RANGE.contains(&arguments.seconds) {
        return Err(BenchmarkCommandError::Seconds(arguments.seconds));
    }
    let folder = TemporaryFolder::create("measure").map_err(BenchmarkCommandError::TemporaryFolder)?;
    let binary = std::env::current_exe().map_err(BenchmarkCommandError::OwnProgram)?;
    let testbed = Testbed::start(&binary, folder.path(), arguments.nodes)?;
    if arguments.service {
        print_service(&testbed, arguments.seconds)?;
    } else {
        print_routes(&testbed, arguments)?;
        drop(testbed);
        print_core()?;
    }
    Ok(ExitCode::SUCCESS)
}

fn print_service(testbed: &Testbed, seconds: f64) -> Result<(), BenchmarkError> {
    let options = |protocol, address| Options::new(protocol, address, VOLUME, 0);
    let protocols =
        [("iSCSI", options(Protocol::Iscsi, testbed.host)), ("NBD", options(Protocol::Nbd, testbed.nbd))];
    println!("{:<28} {:>10} {:>8} {:>8} {:>9}", "load and route", "done/s", "p50 us", "p99 us", "not done");
    for sessions in SERVICE_SESSIONS {
        print_service_sessions(testbed, &protocols, sessions, seconds)?;
    }
    for (name, options) in &protocols {
        print_beside_greedy(name, options, seconds)?;
    }
    Ok(())
}

/// Measures so many sessions straight to the nodes and over each protocol.
fn print_service_sessions(
    testbed: &Testbed,
    protocols: &[(&str, Options)],
    sessions: usize,
    seconds: f64,
) -> Result<(), BenchmarkError> {
    let direct_sessions = sessions.min(MAX_DIRECT_SESSIONS);
    let load = ClosedLoop { sessions: direct_sessions, depth: 1, blocks: 8, seconds, think_us: 0 };
    let direct = load.run(&direct_route(testbed))?;
    print_service_row(&format!("{direct_sessions} straight"), &direct);
    for (name, options) in protocols {
        let measured = measure_sessions(options, sessions, seconds)?;
        print_service_row(&format!("{sessions} sessions, {name}"), &measured);
        println!("    ratio to straight {:.2}", measured.per_s / direct.per_s);
    }
    if let Some(usage) = testbed.host_usage() {
        println!("    host: {:.0} MiB, {} threads", usage.memory_mib, usage.threads);
    }
    Ok(())
}

/// Measures a moderate client alone and beside a greedy one.
fn print_beside_greedy(name: &str, options: &Options, seconds: f64) -> Result<(), BenchmarkError> {
    let alone = measure_beside_greedy(options, 0, seconds)?;
    let beside = measure_beside_greedy(options, GREEDY_CALLS, seconds)?;
    print_service_row(&format!("moderate alone, {name}"), &alone);
    print_service_row(&format!("beside {GREEDY_CALLS} open, {name}"), &beside);
    let p50 = beside.p50_us as f64 / alone.p50_us as f64;
    let p99 = beside.p99_us as f64 / alone.p99_us as f64;
    println!("    median {p50:.1} times, p99 {p99:.1} times");
    Ok(())
}

fn print_service_row(name: &str, measured: &Measurement) {
    let Measurement { per_s, p50_us, p99_us, not_done, .. } = measured;
    println!("{name:<28} {per_s:>10.0} {p50_us:>8} {p99_us:>8} {not_done:>9}");
}

fn print_overrides() -> Result<(), BenchmarkError> {
    println!("{:<10} {:>12} {:>12} {:>7}", "timers", "wheel ns", "heap ns", "ratio");
    let costs = timer_costs(TIMER_COUNT);
    for (name, cost) in [("insert", costs.insert), ("remove", costs.remove), ("expire", costs.expire)] {
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

/// Measures the same loads straight to the nodes and through the host: as many commands as possible, one at a time, and half of that.
fn print_routes(testbed: &Testbed, arguments: &BenchmarkArguments) -> Result<(), BenchmarkError> {
    let &BenchmarkArguments { seconds, nodes, sessions, depth, blocks, .. } = arguments;
    let (direct, host) = (direct_route(testbed), Route::Host(testbed.host));
    let full = ClosedLoop { sessions, depth, blocks, seconds, think_us: 0 };
    println!("nodes are emulators that do no work; {nodes} of them, {blocks} blocks a read");
    println!(
        "{:<34} {:>10} {:>8} {:>8} {:>12}",
        "load and route", "done/s", "p50 us", "p99 us", "host us/req"
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
        "without I/O, one thread: host core {:.2} us a request, of which the scheduler {:.2} us ({:.0}%)",
        cost.core_us,
        cost.scheduler_us,
        100.0 * cost.scheduler_us / cost.core_us
    );
    Ok(())
}
