//! `tackmast node` and `tackmast node-list`: emulators as processes of their own.

use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tackmast_emulators::list::{ListFault, NodeList};
use tackmast_emulators::model::NodeBehavior;
use tackmast_emulators::node::{Fault, IdempotencyKeys, Node, NodeSettings};
use tackmast_trace::Recorder;
use tackmast_wire::list::{Entry, State};

/// Arguments of `tackmast node`.
#[derive(clap::Args)]
pub struct NodeArguments {
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[arg(long, default_value_t = 0)]
    shard: u32,
    #[arg(long, default_value_t = 0)]
    zone: u32,
    /// Cores that serve at the same time, and their speed.
    #[arg(long, default_value_t = 2)]
    cores: u32,
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Milliseconds of one core's work in a unit, at speed 1.
    #[arg(long, default_value_t = 1.0)]
    unit_ms: f64,
    /// Requests that may wait.
    #[arg(long, default_value_t = 256)]
    queue: usize,
    /// Starts cold: at a fifth of its capacity, warm after five seconds.
    #[arg(long)]
    cold: bool,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Refuses an address that is not on loopback.
pub fn loopback_only(address: SocketAddr) -> Result<(), String> {
    match address.ip().is_loopback() {
        true => Ok(()),
        false => Err(format!("--listen {address}; expected a loopback address: stand-ins serve no other")),
    }
}

/// Runs a node, and injects a fault for each line of standard input until it ends.
pub fn node(arguments: &NodeArguments) -> Result<ExitCode, String> {
    loopback_only(arguments.listen)?;
    let behavior = NodeBehavior {
        cores: arguments.cores.max(1),
        speed: arguments.speed,
        unit_s: arguments.unit_ms / 1e3,
        queue: arguments.queue,
        ..NodeBehavior::default()
    };
    let node = Node::start(NodeSettings {
        address: arguments.listen,
        shard: arguments.shard,
        zone: arguments.zone,
        behavior,
        seed: arguments.seed,
        max_data: 8 << 20,
        report_every: Duration::from_millis(100),
        idempotency_keys: Arc::new(IdempotencyKeys::default()),
        window_s: 5.0,
        has_just_started: arguments.cold,
        store: Arc::default(),
        receive_bytes: 0,
        advertised_address: None,
        recorder: Recorder::default(),
    })
    .map_err(|error| format!("--listen {}: {error}", arguments.listen))?;
    println!("listening {}", node.address());
    _ = std::io::stdout().flush();
    for line in std::io::stdin().lock().lines().map_while(Result::ok).filter(|line| !line.trim().is_empty()) {
        match line.parse::<Fault>() {
            Ok(fault) => node.set(&fault),
            Err(error) => eprintln!("{error}"),
        }
    }
    node.stop();
    Ok(ExitCode::SUCCESS)
}

/// Runs an endpoint list, and changes it by each line of standard input until it ends.
pub fn node_list(listen: SocketAddr) -> Result<ExitCode, String> {
    loopback_only(listen)?;
    let list = NodeList::start(listen, Recorder::default()).map_err(|e| format!("--listen {listen}: {e}"))?;
    println!("listening {}", list.address);
    _ = std::io::stdout().flush();
    for line in std::io::stdin().lock().lines().map_while(Result::ok).filter(|l| !l.trim().is_empty()) {
        if let Err(e) = apply_list_command(&list, &line) {
            eprintln!("{e}");
        }
    }
    list.stop();
    Ok(ExitCode::SUCCESS)
}

/// Changes the list by one command.
fn apply_list_command(list: &NodeList, line: &str) -> Result<(), String> {
    let parts: Vec<&str> = line.split_whitespace().collect();
    let wrong = || {
        format!(
            "{line:?}; expected put ADDRESS SHARD ZONE, drain ADDRESS, gone ADDRESS, late SECONDS, \
             fails on|off, silent on|off or reset"
        )
    };
    let number =
        |position: usize| parts.get(position).and_then(|part| part.parse::<u32>().ok()).ok_or_else(wrong);
    let switch = || match parts.get(1) {
        Some(&"on") => Ok(true),
        Some(&"off") => Ok(false),
        _ => Err(wrong()),
    };
    match parts.as_slice() {
        ["put", address, ..] => list.put([Entry {
            address: (*address).to_owned(),
            state: State::Ready,
            shard: number(2)?,
            zone: number(3)?,
            started_us: 0,
        }]),
        ["drain", address] => list.set_state(address, State::Draining),
        ["gone", address] => list.set_state(address, State::Gone),
        ["late", seconds] => {
            let seconds = seconds.parse::<f64>().ok();
            let seconds = seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0);
            list.set(&ListFault::Late(seconds.ok_or_else(wrong)?));
        }
        ["fails", _] => list.set(&ListFault::Fails(switch()?)),
        ["silent", _] => list.set(&ListFault::Silent(switch()?)),
        ["reset"] => list.set(&ListFault::Reset),
        _ => return Err(wrong()),
    }
    Ok(())
}
