//! The `tackmast` command: it reads arguments, settings and signals, and hands on.

mod admin_calls;
mod benchmark;
mod consensus;
mod emulators;
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
use std::path::PathBuf;
use std::process::ExitCode;

/// A storage gateway: it schedules a host's reads and writes over a shared pool of storage nodes.
#[derive(Parser)]
#[command(version, arg_required_else_help = true)]
struct Arguments {
    /// How log lines are written, on standard error.
    #[arg(long, global = true, value_enum, default_value_t = log::Form::Text)]
    log: log::Form,
    /// Which lines are written, as for the environment variable RUST_LOG: error, warn, info, debug, or by
    /// module, such as tackmast_host=debug.
    #[arg(long, global = true, default_value = "info")]
    log_level: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a host: clients reach its volumes over iSCSI, and it reaches the nodes.
    ///
    /// Ends on SIGTERM or SIGINT. Prints `listening ADDRESS` on standard output once it serves clients.
    Serve {
        /// Settings of the host, in HCL.
        #[arg(long, value_name = "FILE", required_unless_present = "platform")]
        config: Option<PathBuf>,
        /// Runs on the operators' platform instead: settings are the JSON file that NODE_CONFIG names, clients and nodes
        /// speak HTTP/1.1. SIGHUP reads the file again. docs/operating.md tells more.
        #[arg(long, conflicts_with = "config")]
        platform: bool,
        /// For rehearsals: the wall clock is wrong by so many seconds.
        #[arg(long, default_value_t = 0.0, allow_negative_numbers = true, hide = true)]
        clock_off_s: f64,
        /// For rehearsals: all clocks run at this pace.
        #[arg(long, default_value_t = 1.0, hide = true)]
        clock_pace: f64,
    },
    /// Runs a stand-in for a storage node, on loopback, that keeps its bytes in memory.
    ///
    /// Each line of standard input is a fault to set, such as `slow 5`, `silent on`, `restart 2` or `well`.
    Node(emulators::NodeArguments),
    /// Runs a stand-in for the node list, on loopback.
    ///
    /// Each line of standard input changes the list: `put ADDRESS SHARD ZONE`, `drain ADDRESS`, `gone ADDRESS`,
    /// `late SECONDS`, `fails on|off`, `silent on|off`, `reset`.
    NodeList {
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: std::net::SocketAddr,
    },
    /// Reads, writes, copies, verifies and loads a volume over the client library, by either protocol.
    #[command(subcommand)]
    Io(io::IoCommand),
    /// Orders of operators that end by themselves: a weight, out of service, pinned in service.
    #[command(subcommand)]
    Override(overrides::OverrideCommand),
    /// Plans, and which volume is under which, changed while hosts run; with a trail that can be proved.
    #[command(subcommand)]
    Plan(plans::PlanCommand),
    /// What all hosts go by: who leads and votes, leases, and how each host stands.
    #[command(subcommand)]
    #[command(alias = "agreement")]
    Consensus(consensus::ConsensusCommand),
    /// Shows what hosts are doing, and what each node is given.
    Status {
        #[command(flatten)]
        hosts: admin_calls::Hosts,
    },
    /// Shows which hosts a host thinks are there, by site, and what of limits it has lent and borrowed.
    Members(members::MembersArguments),
    /// Plays a scripted day on loopback: hosts, stand-ins, traffic and troubles.
    ///
    /// Prints the seed, service by plan and traffic class, and each of the seven rules with what was checked. Exits
    /// with 0 only if every rule held, every byte read was right, and the script's own expectations were met.
    #[command(alias = "day")]
    Scenario(scenario::ScenarioArguments),
    /// Writes a day of the bench as a script for loopback, on standard output.
    #[command(alias = "day-import")]
    ScenarioImport {
        /// A day file of the bench, as JSON.
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Judges the seven rules from a recorded trace alone; exits with 1 if one is broken.
    Rules {
        trace: PathBuf,
        /// Prints the findings as JSON.
        #[arg(long)]
        json: bool,
    },
    /// The host core by the hundred in virtual time: plays seeds, and hunts for a broken rule.
    #[command(subcommand)]
    #[command(alias = "lab")]
    Simulator(simulator::SimulatorCommand),
    /// Measures what the host adds, against the same clients straight at the stand-in nodes, in one run.
    #[command(alias = "measure")]
    Benchmark(benchmark::BenchmarkArguments),
    /// Looks at settings without running anything.
    #[command(subcommand)]
    Config(ConfigCommand),
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Checks a host's settings: prints what they hold, or one error with file, line, value and what was expected.
    Check { file: PathBuf },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Err(e) = log::start(arguments.log, &arguments.log_level) {
        eprintln!("tackmast: {e}");
        return ExitCode::from(2);
    }
    let outcome = match arguments.command {
        Command::Serve { config: Some(config), clock_off_s, clock_pace, .. } => {
            serve::serve(&config, serve::ClockError { offset_s: clock_off_s, rate: clock_pace })
                .map_err(|error| error.to_string())
        }
        Command::Serve { config: None, .. } => platform::serve().map_err(|error| error.to_string()),
        Command::Node(a) => emulators::node(&a).map_err(|error| error.to_string()),
        Command::NodeList { listen } => emulators::node_list(listen).map_err(|error| error.to_string()),
        Command::Io(c) => io::run(c).map_err(|error| error.to_string()),
        Command::Override(c) => overrides::run(c).map_err(|error| error.to_string()),
        Command::Plan(c) => plans::run(c).map_err(|error| error.to_string()),
        Command::Consensus(c) => consensus::run(c).map_err(|error| error.to_string()),
        Command::Status { hosts } => status::run(&hosts).map_err(|error| error.to_string()),
        Command::Members(a) => members::run(&a).map_err(|error| error.to_string()),
        Command::Scenario(a) => scenario::run(&a).map_err(|error| error.to_string()),
        Command::ScenarioImport { file, seed } => {
            scenario::import(&file, seed).map_err(|error| error.to_string())
        }
        Command::Rules { trace, json } => {
            scenario::check_trace(&trace, json).map_err(|error| error.to_string())
        }
        Command::Simulator(c) => simulator::run(c).map_err(|error| error.to_string()),
        Command::Benchmark(a) => benchmark::run(&a).map_err(|error| error.to_string()),
        Command::Config(ConfigCommand::Check { file }) => {
            serve::check(&file).map_err(|error| error.to_string())
        }
    };
    match outcome {
        Ok(code) => code,
        Err(e) => {
            eprintln!("tackmast: {e}");
            ExitCode::from(2)
        }
    }
}
