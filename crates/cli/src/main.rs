//! The `tackmast` command: it parses arguments, runs the command they name and prints why it failed.
//!
//! | modules | contents |
//! | --- | --- |
//! | `serve`, `platform` | running a host, with settings of its own or on the operators' platform |
//! | `admin_calls`, `overrides`, `plans`, `consensus`, `members`, `status` | operators' commands, sent to running hosts over admin sockets |
//! | `planner` | whether plans fit a recorded workload |
//! | `io` | reads, writes and load over the client library |
//! | `emulators`, `scenario`, `simulator`, `benchmark` | tests and measurements |
//! | `error`, `exit_code` | what each command's errors become here, and the exit codes |
//! | `log`, `parallel`, `temporary_folder`, `time_format` | log lines, work on several threads, files of one run, times as text |
//!
//! `missing_docs` sees nothing of a program's modules but their names; Clippy's lint covers the items that are visible in
//! the whole program, as `clippy.toml` says.
#![warn(missing_docs, unreachable_pub, clippy::missing_docs_in_private_items)]

mod admin_calls;
mod benchmark;
mod consensus;
mod emulators;
mod error;
mod exit_code;
mod io;
mod log;
mod members;
mod overrides;
mod parallel;
mod planner;
mod plans;
mod platform;
mod scenario;
mod serve;
mod simulator;
mod status;
mod temporary_folder;
mod time_format;

use clap::{Parser, Subcommand};
use error::CommandError;
use std::path::PathBuf;
use std::process::ExitCode;

/// A storage gateway: schedules a host's reads and writes over a shared pool of storage nodes.
#[derive(Parser)]
#[command(version, arg_required_else_help = true)]
struct Arguments {
    /// Form of the log lines on standard error.
    #[arg(long, global = true, value_enum, default_value_t = log::Form::Text)]
    log: log::Form,
    /// Which log lines are written, as in the environment variable RUST_LOG: error, warn, info, debug, or by
    /// module, such as tackmast_host=debug.
    #[arg(long, global = true, default_value = "info")]
    log_level: String,
    /// The command to run.
    #[command(subcommand)]
    command: Command,
}

/// The commands.
#[derive(Subcommand)]
enum Command {
    /// Runs a host: clients reach its volumes over iSCSI, and the host reaches the nodes.
    ///
    /// Ends on SIGTERM or SIGINT. Prints `listening ADDRESS` on standard output once it serves clients.
    Serve {
        /// Settings of the host, in HCL.
        #[arg(long, value_name = "FILE", required_unless_present = "platform")]
        config: Option<PathBuf>,
        /// Runs the host on the operators' platform instead: settings are in the JSON file that NODE_CONFIG names, and clients
        /// and nodes speak HTTP/1.1. SIGHUP reloads the file. See docs/operating.md.
        #[arg(long, conflicts_with = "config")]
        platform: bool,
        /// For tests: seconds by which the wall clock is wrong.
        #[arg(long = "clock-off-s", default_value_t = 0.0, allow_negative_numbers = true, hide = true)]
        clock_offset_s: f64,
        /// For tests: rate at which all clocks run.
        #[arg(long = "clock-pace", default_value_t = 1.0, hide = true)]
        clock_rate: f64,
    },
    /// Runs an emulated storage node on loopback, which keeps its data in memory.
    ///
    /// Each line of standard input is a fault to inject, such as `slow 5`, `silent on`, `restart 2` or `well`.
    Node(emulators::NodeArguments),
    /// Runs an emulated endpoint list on loopback.
    ///
    /// Each line of standard input changes the list: `put ADDRESS SHARD ZONE`, `drain ADDRESS`, `gone ADDRESS`,
    /// `late SECONDS`, `fails on|off`, `silent on|off`, `reset`.
    NodeList {
        /// Loopback address on which the list listens; port 0 takes any free port.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: std::net::SocketAddr,
    },
    /// Reads, writes, copies, verifies and loads a volume over the client library, with either protocol.
    #[command(subcommand)]
    Io(io::IoCommand),
    /// Operators' overrides of nodes, which end by themselves: a weight, out of service, pinned in service.
    #[command(subcommand)]
    Override(overrides::OverrideCommand),
    /// Plans and the volumes under them, changed while hosts run, with a change log that can be verified.
    #[command(subcommand)]
    Plan(plans::PlanCommand),
    /// The consensus group of the hosts: leader, voters, leases, and the state of each host.
    #[command(subcommand)]
    #[command(alias = "agreement")]
    Consensus(consensus::ConsensusCommand),
    /// Shows what hosts are doing, and the load that each node receives.
    Status {
        /// The hosts that are called.
        #[command(flatten)]
        hosts: admin_calls::Hosts,
    },
    /// Shows which peers a host holds alive, by site, and its quota leases.
    Members(members::MembersArguments),
    /// Runs a scenario on loopback: hosts, emulators, traffic and faults, as a script says.
    ///
    /// Prints the seed, the service by plan and traffic class, and each of the seven invariants with what was checked. Exits
    /// with 0 only if every invariant held, every byte read was right, and the script's own expectations were met.
    #[command(alias = "day")]
    Scenario(scenario::ScenarioArguments),
    /// Prints a day of the bench as a scenario script.
    #[command(alias = "day-import")]
    ScenarioImport {
        /// A day file of the bench, as JSON.
        file: PathBuf,
        /// Seed of the scenario.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Checks the seven invariants on a recorded trace alone; exits with 1 if one is violated.
    Rules {
        /// The trace, as `scenario --out` and `simulator play --trace` write it.
        trace: PathBuf,
        /// Prints the findings as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Runs many hosts in virtual time: single seeds, comparisons, and searches for a violated invariant.
    #[command(subcommand)]
    #[command(alias = "lab")]
    Simulator(simulator::SimulatorCommand),
    /// Measures what the host adds to the same load sent straight to emulated nodes, in one run.
    #[command(alias = "measure")]
    Benchmark(benchmark::BenchmarkArguments),
    /// Checks settings without running anything.
    #[command(subcommand)]
    Config(ConfigCommand),
}

/// Arguments of `tackmast config`.
#[derive(Subcommand)]
enum ConfigCommand {
    /// Checks a host's settings: prints what they hold, or one error with file, line, value and what was expected.
    Check {
        /// Settings of the host, in HCL.
        file: PathBuf,
    },
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("tackmast: {error}");
            exit_code::of_error()
        }
    }
}

/// Starts the log and runs the command.
fn run(arguments: Arguments) -> Result<ExitCode, CommandError> {
    log::start(arguments.log, &arguments.log_level)?;
    Ok(match arguments.command {
        Command::Serve { config: Some(config), clock_offset_s: offset_s, clock_rate: rate, .. } => {
            serve::serve(&config, serve::ClockError { offset_s, rate })?
        }
        Command::Serve { config: None, .. } => platform::serve()?,
        Command::Node(arguments) => emulators::node(&arguments)?,
        Command::NodeList { listen } => emulators::node_list(listen)?,
        Command::Io(command) => io::run(command)?,
        Command::Override(command) => overrides::run(command),
        Command::Plan(command) => plans::run(command)?,
        Command::Consensus(command) => consensus::run(command)?,
        Command::Status { hosts } => status::run(&hosts),
        Command::Members(arguments) => members::run(&arguments),
        Command::Scenario(arguments) => scenario::run(&arguments)?,
        Command::ScenarioImport { file, seed } => scenario::import(&file, seed)?,
        Command::Rules { trace, json } => scenario::check_trace(&trace, json)?,
        Command::Simulator(command) => simulator::run(command)?,
        Command::Benchmark(arguments) => benchmark::run(&arguments)?,
        Command::Config(ConfigCommand::Check { file }) => serve::check(&file)?,
    })
}
