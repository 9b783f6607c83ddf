//! `tackmast serve` and `tackmast config check`.

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use tackmast_config::HostSettings;
use tackmast_host::Host;

/// Runs a host until it gets SIGTERM or SIGINT.
pub fn serve(config: &Path, (clock_off_s, clock_pace): (f64, f64)) -> Result<ExitCode, String> {
    if !(-1e9..=1e9).contains(&clock_off_s) || !(0.5..=2.0).contains(&clock_pace) {
        return Err(format!(
            "--clock-off-s {clock_off_s} --clock-pace {clock_pace}; expected seconds, and 0.5 to 2"
        ));
    }
    if (clock_off_s, clock_pace) != (0.0, 1.0) {
        tackmast_host::Clock::simulate_error(clock_off_s, clock_pace);
    }
    let settings = HostSettings::read(config).map_err(|e| e.to_string())?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|e| format!("signals: {e}"))?;
    let patience = Duration::from_millis(settings.bounds.drain_ms);
    let host = Host::start(settings).map_err(|e| e.to_string())?;
    // Whoever started this reads the addresses here, as port 0 takes any that is free. It may stop reading after the first
    // line: a host must not end for that.
    let mut text = format!("listening {}\n", host.address);
    for (name, address) in [("nbd", host.nbd), ("peers", host.peers)] {
        text += &address.map_or(String::new(), |a| format!("listening-{name} {a}\n"));
    }
    let mut out = std::io::stdout();
    _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    let signal = signals.forever().next();
    // A second signal ends the host at once, whatever is open.
    std::thread::spawn(move || {
        signals.forever().next();
        tracing::warn!("second signal: the host ends at once");
        std::process::exit(1);
    });
    tracing::info!(signal, "host drains");
    if let Some(s) = host.status() {
        let c = s.counters;
        tracing::info!(
            signal,
            taken = c.commands_received,
            done = c.commands_done,
            rejected = c.commands_rejected,
            failed = c.commands_failed,
            attempts = c.attempts,
            retries = c.retries,
            core_seconds = s.core_seconds,
            "host ends"
        );
    }
    let all = host.drain(patience);
    tracing::info!(all, "host has ended");
    Ok(ExitCode::SUCCESS)
}

/// Checks the settings of a host, and prints what they hold.
pub fn check(file: &Path) -> Result<ExitCode, String> {
    let s = HostSettings::read(file).map_err(|e| e.to_string())?;
    println!(
        "{}: host {} of {}, listening on {}",
        file.display(),
        s.host.number,
        s.host.hosts,
        s.host.listen
    );
    for p in &s.plans {
        let limit =
            if p.limit > 0.0 { format!("limit {} burst {}", p.limit, p.burst) } else { "no limit".into() };
        println!("plan {}: {limit}, reserve {}, weight {}", p.name, p.reserve, p.weight);
    }
    for st in &s.traffic_classes {
        let (latency_objective, deadline) = (st.latency_objective.secs() * 1e3, st.deadline.secs() * 1e3);
        println!(
            "traffic class {}: latency objective {latency_objective} ms, deadline {deadline} ms, {:?}",
            st.name, st.effect
        );
    }
    for v in &s.volumes {
        let plan = &s.plans[v.plan as usize].name;
        println!(
            "volume {}: LUN {}, plan {plan}, {} blocks on shards {:?}",
            v.name, v.lun, v.blocks, v.shards
        );
    }
    Ok(ExitCode::SUCCESS)
}
