//! `tackmast node` and `tackmast node-list`: emulators as processes of their own.

mod error;
mod list_command;
#[cfg(test)]
mod tests;

pub(crate) use error::EmulatorError;

use list_command::ListCommand;
use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tackmast_emulators::list::NodeList;
use tackmast_emulators::model::NodeBehavior;
use tackmast_emulators::node::{Fault, IdempotencyKeys, Node, NodeSettings};
use tackmast_trace::Recorder;

/// Largest data of one command, in bytes.
const MAX_DATA_BYTES: usize = 8 << 20;
/// How often a node reports its load.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// How long a node remembers idempotency keys, in seconds.
const IDEMPOTENCY_WINDOW_S: f64 = 5.0;

/// Arguments of `tackmast node`.
#[derive(clap::Args)]
pub(crate) struct NodeArguments {
    /// Loopback address on which the node listens; port 0 takes any free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// The shard that the node serves.
    #[arg(long, default_value_t = 0)]
    shard: u32,
    /// The zone that the node is in.
    #[arg(long, default_value_t = 0)]
    zone: u32,
    /// Cores that serve requests at the same time.
    #[arg(long, default_value_t = 2)]
    cores: u32,
    /// Speed of a core; 1 is normal.
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Milliseconds that one core works on a unit, at speed 1.
    #[arg(long, default_value_t = 1.0)]
    unit_ms: f64,
    /// Requests that may wait.
    #[arg(long, default_value_t = 256)]
    queue: usize,
    /// Starts the node as if it had just restarted: at a fifth of its capacity, with all of it after five seconds.
    #[arg(long = "cold")]
    has_just_started: bool,
    /// Seed of the node's random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl NodeArguments {
    fn settings(&self) -> NodeSettings {
        NodeSettings {
            address: self.listen,
            shard: self.shard,
            zone: self.zone,
            behavior: NodeBehavior {
                cores: self.cores.max(1),
                speed: self.speed,
                unit_s: self.unit_ms / 1e3,
                queue: self.queue,
                ..NodeBehavior::default()
            },
            seed: self.seed,
            max_data: MAX_DATA_BYTES,
            report_every: REPORT_INTERVAL,
            idempotency_keys: Arc::new(IdempotencyKeys::default()),
            window_s: IDEMPOTENCY_WINDOW_S,
            has_just_started: self.has_just_started,
            store: Arc::default(),
            receive_bytes: 0,
            advertised_address: None,
            recorder: Recorder::default(),
        }
    }
}

/// Runs a node, and injects a fault for each line of standard input until the input ends.
pub(crate) fn node(arguments: &NodeArguments) -> Result<ExitCode, EmulatorError> {
    require_loopback(arguments.listen)?;
    let node = Node::start(arguments.settings())
        .map_err(|source| EmulatorError::Listen { address: arguments.listen, source })?;
    print_address(node.address());
    for_each_line(|line| match line.parse::<Fault>() {
        Ok(fault) => node.set(&fault),
        Err(error) => eprintln!("{error}"),
    });
    node.stop();
    Ok(ExitCode::SUCCESS)
}

/// Runs an endpoint list, and changes it by each line of standard input until the input ends.
pub(crate) fn node_list(listen: SocketAddr) -> Result<ExitCode, EmulatorError> {
    require_loopback(listen)?;
    let list = NodeList::start(listen, Recorder::default())
        .map_err(|source| EmulatorError::Listen { address: listen, source })?;
    print_address(list.address);
    for_each_line(|line| match line.parse::<ListCommand>() {
        Ok(command) => command.apply(&list),
        Err(error) => eprintln!("{error}"),
    });
    list.stop();
    Ok(ExitCode::SUCCESS)
}

/// Refuses an address that is not on loopback.
fn require_loopback(address: SocketAddr) -> Result<(), EmulatorError> {
    match address.ip().is_loopback() {
        true => Ok(()),
        false => Err(EmulatorError::NotLoopback { address }),
    }
}

/// Prints the address for whoever started the emulator, which may not read it.
fn print_address(address: SocketAddr) {
    println!("listening {address}");
    _ = std::io::stdout().flush();
}

/// Hands on each line of standard input that is not blank, until the input ends.
fn for_each_line(mut handle: impl FnMut(&str)) {
    let lines = std::io::stdin().lock().lines().map_while(Result::ok);
    lines.filter(|line| !line.trim().is_empty()).for_each(|line| handle(&line));
}
