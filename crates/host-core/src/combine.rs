//! One answer for a command of several parts. Each part is a request of its own to the scheduler; the client gets one final answer, as
//! soon as that is certain.

use tackmast::interface::{DedupScope, Effect, TimeDelta};

/// How far one part has come. `ran` tells whether an attempt of it may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PartState {
    /// It has no end yet.
    Open {
        /// Whether an attempt may have had an effect.
        ran: bool,
    },
    /// It is done.
    Done,
    /// The scheduler rejected it.
    Rejected {
        /// Whether an attempt may have had an effect.
        ran: bool,
        /// After how long a retry may succeed.
        retry_after: Option<TimeDelta>,
    },
    /// The scheduler failed it, since an attempt in flight may have run. If no byte of any attempt was written, it counts as rejected.
    Failed {
        /// Whether an attempt may have had an effect.
        ran: bool,
    },
}

/// The one answer of all parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Combined {
    /// All parts are done.
    Done,
    /// A retry is safe, after this wait where one is advised.
    Rejected {
        /// The longest wait that any part advised.
        retry_after: Option<TimeDelta>,
    },
    /// Some part may have run, and the command does not bear a retry.
    Failed,
}

/// Who chose the idempotency key by which nodes recognise a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeySource {
    /// The client: the key is the same at each of its retries.
    Client,
    /// This host: the key differs between the client's retries.
    Host,
}

/// Whether running a command again after a part of it ran does no harm. A command that is idempotent by key at all nodes is safe only with
/// a key of its client: this host gives the client's retry another key, so it would run a second time.
fn is_retry_safe(effect: Effect, key_source: KeySource) -> bool {
    match effect {
        Effect::Idempotent => true,
        Effect::IdempotentByKey { scope: DedupScope::All, .. } => key_source == KeySource::Client,
        Effect::IdempotentByKey { .. } | Effect::NonIdempotent => false,
    }
}

/// The command's answer, if it is certain by now. A rejected part decides it at once: a client that is answered early can retry early.
/// A rejection promises that a retry is safe, so if any part may have run and a second run could do harm, the command has failed.
pub(crate) fn combine(effect: Effect, key_source: KeySource, parts: &[PartState]) -> Option<Combined> {
    let mut rejected = false;
    let mut retry_after: Option<TimeDelta> = None;
    for part in parts {
        match part {
            PartState::Failed { ran: true } => return Some(Combined::Failed),
            PartState::Failed { ran: false } => rejected = true,
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
    let ran = parts.iter().any(|part| match part {
        PartState::Open { ran } | PartState::Rejected { ran, .. } | PartState::Failed { ran } => *ran,
        PartState::Done => true,
    });
    Some(match is_retry_safe(effect, key_source) || !ran {
        true => Combined::Rejected { retry_after },
        false => Combined::Failed,
    })
}

#[cfg(test)]
mod tests;
