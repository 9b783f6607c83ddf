//! The figures of a run, as text.

use std::fmt::Write;
use tackmast_simulator::{Class, Found, Run, World};

/// The world, its faults, the figures of the run and the findings of the invariants.
pub(super) fn run_text(world: &World, found: &Found) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    _ = write_world(&mut text, world);
    _ = write_requests(&mut text, &found.run);
    _ = write_first_attempts(&mut text, &found.run);
    _ = write_clients(&mut text, &found.run);
    _ = write!(text, "{}", found.report);
    text
}

fn write_world(text: &mut String, world: &World) -> std::fmt::Result {
    writeln!(
        text,
        "seed {}: {} hosts, {} nodes, {:.1} s, {:.1} commands a second at each host; models, not machines",
        world.seed, world.hosts, world.nodes, world.seconds, world.rate
    )?;
    writeln!(
        text,
        "  clients {:?}, wall clocks off by up to {:.2} s, drift up to {:.0} ppm, list late by {:.0} ms, slow start from {:.2} of the capacity, overload multiple {:.2}, warm after {:.1} s",
        world.clients,
        world.wall_off_s,
        world.drift * 1e6,
        world.list_late_us as f64 / 1e3,
        world.initial_capacity,
        world.overload_multiple,
        world.warm_up_s
    )?;
    for fault in &world.faults {
        let host = fault.host.map_or(String::new(), |host| format!(", host {host}"));
        let (at_s, for_s) = (fault.at_us as f64 / 1e6, fault.for_us as f64 / 1e6);
        writeln!(text, "  at {at_s:.2} s for {for_s:.2} s: {:?}, node {}{host}", fault.kind, fault.node)?;
    }
    Ok(())
}

fn write_requests(text: &mut String, run: &Run) -> std::fmt::Result {
    let in_time = fraction(run.in_time, run.asked);
    writeln!(
        text,
        "{} requests, {in_time:.3} in time, {} done, {} rejected, {} failed; {} events; {} left in tables at the end",
        run.asked, run.done, run.rejected, run.failed, run.events, run.stuck
    )
}

/// The figures of requests that are no client's retry, by plan and traffic class, and their sums.
fn write_first_attempts(text: &mut String, run: &Run) -> std::fmt::Result {
    for (name, class) in &run.firsts {
        writeln!(
            text,
            "first requests of {name:<24} {:>6}, {:.3} in time, {} done; p50 {:.1} ms, p99 {:.1} ms",
            class.asked,
            fraction(class.in_time, class.asked),
            class.done,
            latency_ms(class, 0.5),
            latency_ms(class, 0.99)
        )?;
    }
    if run.firsts.is_empty() {
        return Ok(());
    }
    let requests: u64 = run.firsts.values().map(|class| class.asked).sum();
    let in_time: u64 = run.firsts.values().map(|class| class.in_time).sum();
    writeln!(
        text,
        "first requests in all: {requests}, {:.3} in time; {} nodes overloaded during slow start",
        fraction(in_time, requests),
        run.fallen
    )
}

fn write_clients(text: &mut String, run: &Run) -> std::fmt::Result {
    let (overrides_set, overrides_refused) = run.orders;
    writeln!(
        text,
        "{} calls through the client libraries, {} done, {} late; {overrides_set} overrides set, {overrides_refused} refused",
        run.calls, run.calls_done, run.calls_late
    )?;
    let (commands, requests, attempts) = run.max_open;
    writeln!(text, "max open at one host: {commands} commands, {requests} requests, {attempts} attempts")
}

fn fraction(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

fn latency_ms(class: &Class, quantile: f64) -> f64 {
    class.times.value_at_quantile(quantile) as f64 / 1e3
}
