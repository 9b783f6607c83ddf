//! Combines the results of a command's parts into one answer. The scheduler handles each part as a separate request, and the client gets
//! one final answer as soon as it is certain.

use tackmast::interface::{DedupScope, Effect, TimeDelta};

/// The state of one part of a command.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PartState {
    /// The part has not ended.
    Open {
        /// Whether an attempt may have had an effect.
        may_have_run: bool,
    },
    /// The part is done.
    Done,
    /// The scheduler rejected the part.
    Rejected {
        /// Whether an attempt may have had an effect.
        may_have_run: bool,
        /// How long the client should wait before a retry, if the scheduler advised it.
        retry_after: Option<TimeDelta>,
    },
    /// The scheduler failed the part, because an attempt in flight may have run. If no byte of any attempt
    /// was written, the part counts as rejected.
    Failed {
        /// Whether an attempt may have had an effect.
        may_have_run: bool,
    },
}

/// The answer that all parts together give.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Combined {
    /// All parts are done.
    Done,
    /// The command was not done, and a retry is safe.
    Rejected {
        /// The longest retry-after of the rejected parts, or `None` if none has one.
        retry_after: Option<TimeDelta>,
    },
    /// Some part may have run, and a retry is not safe.
    Failed,
}

/// Who chose the idempotency key by which nodes recognise a retry of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeySource {
    /// The client: the key is the same at each of its retries.
    Client,
    /// This host: the key differs between the client's retries.
    Host,
}

/// Returns whether a retry is safe after a part of the command has run.
///
/// A command that is idempotent by key at all nodes is safe only with a key of its client. This host would give the client's retry another
/// key, and it would run a second time.
fn is_retry_safe(effect: Effect, key_source: KeySource) -> bool {
    match effect {
        Effect::Idempotent => true,
        Effect::IdempotentByKey { scope: DedupScope::All, .. } => key_source == KeySource::Client,
        Effect::IdempotentByKey { .. } | Effect::NonIdempotent => false,
    }
}

/// Returns the answer of a command, or `None` while it is not certain.
///
/// A rejected part decides the answer at once, so that the client can retry early. A rejection promises that a retry is safe; if any part
/// may have run and a retry is not safe, the command has failed.
pub(crate) fn combine(effect: Effect, key_source: KeySource, parts: &[PartState]) -> Option<Combined> {
    let mut rejected = false;
    let mut retry_after: Option<TimeDelta> = None;
    for part in parts {
        match part {
            PartState::Failed { may_have_run: true } => return Some(Combined::Failed),
            PartState::Failed { may_have_run: false } => rejected = true,
            PartState::Rejected { retry_after: wait, .. } => {
                rejected = true;
                retry_after = retry_after.max(*wait);
            }
            PartState::Open { .. } | PartState::Done => {}
        }
    }
    if !rejected {
        return parts.iter().all(|part| *part == PartState::Done).then_some(Combined::Done);
    }
    let may_have_run = parts.iter().any(|part| match part {
        PartState::Open { may_have_run }
        | PartState::Rejected { may_have_run, .. }
        | PartState::Failed { may_have_run } => *may_have_run,
        PartState::Done => true,
    });
    Some(match is_retry_safe(effect, key_source) || !may_have_run {
        true => Combined::Rejected { retry_after },
        false => Combined::Failed,
    })
}

#[cfg(test)]
mod tests;
