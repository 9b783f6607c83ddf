//! Why a trace can't be judged.

/// A trace that proves nothing. Lines are numbered from 1.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum TraceError {
    /// The trace does not say what is true of its deployment.
    #[error("no line of facts; expected one at the start of the trace")]
    NoFacts,
    /// The lines are not in order of time.
    #[error("line {line}: time {time_us} after {previous_us}; expected an order of time")]
    OutOfOrder { line: usize, time_us: u64, previous_us: u64 },
    /// The recorder could not keep all events.
    #[error("events were lost when it was recorded")]
    EventsLost,
    /// A client received an answer to a command that no client submitted.
    #[error("line {line}: an answer to no command")]
    UnknownCommand { line: usize },
}
