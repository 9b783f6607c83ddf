//! Log lines, on standard error.

use clap::builder::Resettable;
use tracing_subscriber::filter::ParseError;
use tracing_subscriber::EnvFilter;

/// The form of log lines. Its values have no help of their own: it would make the help of each command long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum Form {
    /// One line of text for each event.
    #[value(help = Resettable::Reset)]
    Text,
    /// One JSON object for each event.
    #[value(help = Resettable::Reset)]
    Json,
}

/// Why the log could not be started.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LogError {
    /// The level is no filter.
    #[error("--log-level {level:?}: {source}")]
    Level {
        /// The level that was given.
        level: String,
        /// What is wrong with it.
        source: ParseError,
    },
}

/// Starts to write log lines.
pub(crate) fn start(form: Form, level: &str) -> Result<(), LogError> {
    let filter =
        EnvFilter::try_new(level).map_err(|source| LogError::Level { level: level.to_owned(), source })?;
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
