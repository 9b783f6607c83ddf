//! `tackmast serve` and `tackmast config check`.

mod error;

pub(crate) use error::ServeError;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use tackmast_config::HostSettings;
use tackmast_host::{DrainOutcome, Host, Status};

/// A simulated error of the clocks, for tests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ClockError {
    /// Seconds by which the wall clock is wrong.
    pub offset_s: f64,
    /// Rate at which all clocks run.
    pub rate: f64,
}

impl ClockError {
    /// Clocks that are right.
    const NONE: ClockError = ClockError { offset_s: 0.0, rate: 1.0 };

    /// Makes the clocks of this process wrong.
    fn simulate(self) -> Result<(), ServeError> {
        let ClockError { offset_s, rate } = self;
        if !(-1e9..=1e9).contains(&offset_s) || !(0.5..=2.0).contains(&rate) {
            return Err(ServeError::Clock { offset_s, rate });
        }
        if self != ClockError::NONE {
            tackmast_host::Clock::simulate_error(offset_s, rate);
        }
        Ok(())
    }
}

/// Runs a host until it receives SIGTERM or SIGINT.
pub(crate) fn serve(config: &Path, clock_error: ClockError) -> Result<ExitCode, ServeError> {
    clock_error.simulate()?;
    let settings = HostSettings::read(config)?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(ServeError::Signals)?;
    let drain_timeout = Duration::from_millis(settings.bounds.drain_ms);
    let host = Host::start(settings)?;
    print_addresses(&host);
    let signal = signals.forever().next();
    exit_on_second_signal(signals);
    tracing::info!(signal, "host drains");
    let DrainOutcome { all_answered, status } = host.drain(drain_timeout);
    if let Some(status) = status {
        log_totals(signal, &status);
    }
    tracing::info!(all = all_answered, "host has ended");
    Ok(ExitCode::SUCCESS)
}

/// Prints the addresses for whoever started the host, as port 0 takes any that is free. That process may stop reading after
/// the first line, and the host must not end for that.
fn print_addresses(host: &Host) {
    let mut text = format!("listening {}\n", host.address);
    for (name, address) in [("nbd", host.nbd), ("peers", host.peers)] {
        text += &address.map_or(String::new(), |address| format!("listening-{name} {address}\n"));
    }
    let mut output = std::io::stdout();
    _ = output.write_all(text.as_bytes()).and_then(|()| output.flush());
}

/// Ends the host at once on the next signal, whatever is open.
fn exit_on_second_signal(mut signals: Signals) {
    std::thread::spawn(move || {
        signals.forever().next();
        tracing::warn!("second signal: the host ends at once");
        std::process::exit(1);
    });
}

fn log_totals(signal: Option<i32>, status: &Status) {
    let counters = status.counters;
    tracing::info!(
        signal,
        taken = counters.commands_received,
        done = counters.commands_done,
        rejected = counters.commands_rejected,
        failed = counters.commands_failed,
        attempts = counters.attempts,
        retries = counters.retries,
        core_seconds = status.core_seconds,
        "host ends"
    );
}

/// Checks the settings of a host, and prints what they hold.
pub(crate) fn check(file: &Path) -> Result<ExitCode, ServeError> {
    let settings = HostSettings::read(file)?;
    let host = &settings.host;
    println!("{}: host {} of {}, listening on {}", file.display(), host.number, host.hosts, host.listen);
    for plan in &settings.plans {
        let limit = match plan.limit > 0.0 {
            true => format!("limit {} burst {}", plan.limit, plan.burst),
            false => "no limit".to_owned(),
        };
        println!("plan {}: {limit}, reserve {}, weight {}", plan.name, plan.reserve, plan.weight);
    }
    for class in &settings.traffic_classes {
        println!(
            "traffic class {}: latency objective {} ms, deadline {} ms, {:?}",
            class.name,
            class.latency_objective.secs() * 1e3,
            class.deadline.secs() * 1e3,
            class.effect
        );
    }
    for volume in &settings.volumes {
        let plan = &settings.plans[volume.plan as usize].name;
        println!(
            "volume {}: LUN {}, plan {plan}, {} blocks on shards {:?}",
            volume.name, volume.lun, volume.blocks, volume.shards
        );
    }
    Ok(ExitCode::SUCCESS)
}
