//! `tackmast serve --platform`.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::os::unix::net::UnixStream;
use std::process::ExitCode;
use tackmast_platform::Configuration;
use tackmast_platform_host::{Host, ProcessSignal};

/// Where the platform says which file holds a host's configuration.
const CONFIG: &str = "NODE_CONFIG";

fn read() -> Result<Configuration, String> {
    let path =
        std::env::var(CONFIG).map_err(|_| format!("{CONFIG}: not set; expected the path of a file"))?;
    let bytes = std::fs::read(&path).map_err(|e| format!("{path}: {e}; expected a file that can be read"))?;
    Configuration::parse(&bytes).map_err(|e| format!("{path}: {e}"))
}

/// Runs a host on the operators' platform until it gets SIGTERM.
pub fn serve() -> Result<ExitCode, String> {
    // Before anything else: an order that comes while the host starts waits in its pipe, and must not end the process.
    let mut orders = Vec::new();
    for (signal, order) in [
        (SIGTERM, ProcessSignal::Shutdown),
        (SIGINT, ProcessSignal::Shutdown),
        (SIGHUP, ProcessSignal::Reload),
    ] {
        let failed = |e: std::io::Error| format!("signals: {e}");
        let (ours, theirs) = UnixStream::pair().map_err(failed)?;
        signal_hook::low_level::pipe::register(signal, theirs).map_err(failed)?;
        orders.push((order, ours));
    }
    let c = read()?;
    let mut host = Host::start(&c).map_err(|e| e.to_string())?;
    for (order, from) in orders {
        host.register_signal(order, from).map_err(|e| format!("signals: {e}"))?;
    }
    let limits = c.limits;
    tracing::info!(
        name = c.name,
        listen = %host.address().unwrap_or(c.listen),
        list = %c.discovery,
        sockets = limits.sockets,
        memory_bytes = limits.memory_bytes,
        "host serves"
    );
    host.run(read);
    let s = host.status();
    tracing::info!(
        taken = s.core.commands_received,
        done = s.core.commands_done,
        rejected = s.core.commands_rejected,
        failed = s.core.commands_failed,
        left = s.core.commands_aborted,
        attempts = s.core.attempts,
        retries = s.core.retries,
        timed_out = s.core.timed_out,
        refused = s.refused,
        malformed_answers = s.node_counters.malformed_answers,
        opened = s.node_counters.opened,
        reused = s.node_counters.reused,
        "host has ended"
    );
    Ok(ExitCode::SUCCESS)
}
