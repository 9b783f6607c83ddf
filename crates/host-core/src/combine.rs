//! One answer for a command of several parts. Parts are requests of their own to the decision module; their
//! client is owed one final answer, as early as it is certain.

use tackmast::interface::{DedupScope, Effect, TimeDelta};

/// How far one part has come. `ran` tells whether an attempt of it may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PartState {
    Open {
        ran: bool,
    },
    Done,
    Rejected {
        ran: bool,
        retry_after: Option<TimeDelta>,
    },
    /// The module gave it up with an attempt out that may have run. Where the links have proof that none of it ever
    /// left, it is as good as rejected.
    Failed {
        ran: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Combined {
    Done,
    Rejected { retry_after: Option<TimeDelta> },
    Failed,
}

/// Whether running a command again after a part of it ran does no harm. A idempotent by key one is safe in all its nodes
/// only where the client itself carries the mark: marks of this host differ between a client's tries, so its
/// next try would run a second time.
fn is_retry_safe(effect: Effect, client_marks: bool) -> bool {
    match effect {
        Effect::Idempotent => true,
        Effect::IdempotentByKey { scope: DedupScope::All, .. } => client_marks,
        Effect::IdempotentByKey { .. } | Effect::NonIdempotent => false,
    }
}

/// The command's answer, if it is certain by now. An undone part settles it at once: a client that is told
/// early can come back early. Rejected promises that a retry is safe, so one part that may have run makes it
/// failed where the effect does not bear a second run.
pub fn combine(effect: Effect, client_marks: bool, parts: &[PartState]) -> Option<Combined> {
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
        return parts.iter().all(|p| *p == PartState::Done).then_some(Combined::Done);
    }
    let ran = parts.iter().any(|p| match p {
        PartState::Open { ran } | PartState::Rejected { ran, .. } | PartState::Failed { ran } => *ran,
        PartState::Done => true,
    });
    Some(match is_retry_safe(effect, client_marks) || !ran {
        true => Combined::Rejected { retry_after },
        false => Combined::Failed,
    })
}

#[cfg(test)]
mod tests;
