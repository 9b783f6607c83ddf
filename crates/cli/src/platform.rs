//! `tackmast serve --platform`: a host as the operators' platform runs it, with its configuration file and signals.

mod error;

pub(crate) use error::PlatformError;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::os::unix::net::UnixStream;
use std::process::ExitCode;
use tackmast_platform::Configuration;
use tackmast_platform_host::{Host, ProcessSignal};

/// The environment variable that names the file with the host's configuration.
const CONFIG_VARIABLE: &str = "NODE_CONFIG";

/// The signals that the host handles, and what each asks for.
const SIGNALS: [(i32, ProcessSignal); 3] =
    [(SIGTERM, ProcessSignal::Shutdown), (SIGINT, ProcessSignal::Shutdown), (SIGHUP, ProcessSignal::Reload)];

/// Runs a host on the operators' platform until it receives SIGTERM.
pub(crate) fn serve() -> Result<ExitCode, PlatformError> {
    // Signals come first: one that arrives while the host starts waits in its pipe and must not end the process.
    let pipes = register_signals()?;
    let configuration = read_configuration()?;
    let mut host = Host::start(&configuration)?;
    for (signal, pipe) in pipes {
        host.register_signal(signal, pipe).map_err(PlatformError::Signals)?;
    }
    log_start(&configuration, &host);
    host.run(read_configuration);
    log_end(&host);
    Ok(ExitCode::SUCCESS)
}

/// Makes a pipe for each signal, into which the signal writes when it arrives.
fn register_signals() -> Result<Vec<(ProcessSignal, UnixStream)>, PlatformError> {
    let register = |(number, signal)| -> std::io::Result<_> {
        let (reader, writer) = UnixStream::pair()?;
        signal_hook::low_level::pipe::register(number, writer)?;
        Ok((signal, reader))
    };
    SIGNALS.into_iter().map(register).collect::<std::io::Result<_>>().map_err(PlatformError::Signals)
}

fn read_configuration() -> Result<Configuration, PlatformError> {
    let path = std::env::var(CONFIG_VARIABLE).map_err(|_| PlatformError::NoConfiguration)?;
    let bytes = match std::fs::read(&path) {
        Ok(bytes) => bytes,
        Err(source) => return Err(PlatformError::UnreadableConfiguration { path, source }),
    };
    Configuration::parse(&bytes).map_err(|problem| PlatformError::InvalidConfiguration { path, problem })
}

fn log_start(configuration: &Configuration, host: &Host) {
    tracing::info!(
        name = configuration.name,
        listen = %host.address().unwrap_or(configuration.listen),
        list = %configuration.discovery,
        sockets = configuration.limits.sockets,
        memory_bytes = configuration.limits.memory_bytes,
        "host serves"
    );
}

fn log_end(host: &Host) {
    let status = host.status();
    tracing::info!(
        taken = status.core.commands_received,
        done = status.core.commands_done,
        rejected = status.core.commands_rejected,
        failed = status.core.commands_failed,
        left = status.core.commands_aborted,
        attempts = status.core.attempts,
        retries = status.core.retries,
        timed_out = status.core.timed_out,
        refused = status.refused,
        malformed_answers = status.node_counters.malformed_answers,
        opened = status.node_counters.opened,
        reused = status.node_counters.reused,
        "host has ended"
    );
}
