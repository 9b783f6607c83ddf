//! Log lines, on standard error.

use tracing_subscriber::EnvFilter;

/// The form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Form {
    Text,
    Json,
}

/// Starts to write log lines.
pub fn start(form: Form, level: &str) -> Result<(), String> {
    let filter = EnvFilter::try_new(level).map_err(|e| format!("--log-level {level:?}: {e}"))?;
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(std::io::IsTerminal::is_terminal(&std::io::stderr()));
    match form {
        Form::Text => lines.with_target(false).init(),
        Form::Json => lines.json().init(),
    }
    Ok(())
}
