//! What a request costs in the host core, and in the scheduler alone, on one thread without any I/O.

mod host_core;
mod scheduler;

use crate::{testbed, BenchmarkError};
use std::net::{Ipv4Addr, SocketAddr};
use tackmast::interface::Instant;
use tackmast_config::HostSettings;
use tackmast_overrides::{Kind, Override, OverrideId, Overrides, Target};

/// Nodes that requests are sent to.
const NODE_COUNT: u32 = 4;
/// Requests that are open at the same time.
const OPEN_REQUESTS: u64 = 64;
/// Port of the first node.
const FIRST_PORT: u16 = 1000;

/// Microseconds of a request, on one thread.
#[derive(Clone, Copy, Debug)]
pub struct CoreCost {
    /// In the host core, the scheduler included.
    pub core_us: f64,
    /// In the scheduler alone.
    pub scheduler_us: f64,
}

/// Microseconds of a request in the host core, on one thread.
#[derive(Clone, Copy, Debug)]
pub struct OverrideCost {
    /// Without any override.
    pub without_us: f64,
    /// With overrides of its nodes.
    pub with_us: f64,
}

/// Measures so many requests that are sent and answered at once.
pub fn core_cost(request_count: u64) -> Result<CoreCost, BenchmarkError> {
    let settings = host_settings()?;
    Ok(CoreCost {
        core_us: host_core::microseconds_each(&settings, request_count, None),
        scheduler_us: scheduler::microseconds_each(&settings, request_count),
    })
}

/// Measures so many requests in the host core without overrides, and with so many.
pub fn override_cost(request_count: u64, override_count: u32) -> Result<OverrideCost, BenchmarkError> {
    let settings = host_settings()?;
    // Each is measured twice and the better counts: the first run warms the machine for the second.
    let best_us = |override_count: u32| {
        let run = |_| host_core::microseconds_each(&settings, request_count, Some(overrides(override_count)));
        (0..2).map(run).fold(f64::MAX, f64::min)
    };
    Ok(OverrideCost { without_us: best_us(0), with_us: best_us(override_count) })
}

fn host_settings() -> Result<HostSettings, BenchmarkError> {
    let nowhere = testbed::loopback();
    let text = testbed::settings(NODE_COUNT as usize, nowhere, nowhere);
    Ok(HostSettings::parse("measure", &text)?)
}

fn node_address(node: u32) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + node as u16))
}

/// Overrides of the nodes that change nothing, pins and full weights by turns.
fn overrides(count: u32) -> Overrides {
    let limits = tackmast_overrides::Settings { max_overrides: 1 << 20, max_zone_fraction: 1.0 };
    let record = |index: u32| Override {
        id: OverrideId(u64::from(index) + 1),
        target: Target::Node(node_address(index % NODE_COUNT)),
        kind: if index.is_multiple_of(2) { Kind::Pinned } else { Kind::Weight(1.0) },
        reason: "measured".into(),
        who: "nobody".into(),
        set_us: 0,
        ends_us: 1_000_000_000 + u64::from(index),
        origin: None,
    };
    Overrides::new(time_of(0), 0, limits, (0..count).map(record).collect(), 1).0
}

/// The time at which so many requests are done: 10 microseconds a request.
fn time_of(done: u64) -> Instant {
    Instant::from_secs(100.0 + done as f64 * 1e-5)
}
