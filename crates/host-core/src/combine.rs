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
mod tests {
    use super::*;

    #[test]
    fn parts_make_one_answer() {
        let s = TimeDelta::from_secs;
        let idempotent_by_key = |scope| Effect::IdempotentByKey { scope, window: s(3.0) };
        let (re, un) = (Effect::Idempotent, Effect::NonIdempotent);
        let (open, out) = (PartState::Open { ran: false }, PartState::Open { ran: true });
        let late = |ran, wait: Option<f64>| PartState::Rejected { ran, retry_after: wait.map(s) };
        let rejected = |wait: Option<f64>| Some(Combined::Rejected { retry_after: wait.map(s) });
        let (done, failed) = (Some(Combined::Done), Some(Combined::Failed));
        type Case<'a> = (&'a str, Effect, bool, &'a [PartState], Option<Combined>);
        let cases: &[Case] = &[
            ("all done", un, false, &[PartState::Done, PartState::Done], done),
            ("one to come", re, false, &[PartState::Done, open], None),
            ("one rejected settles it", re, false, &[open, late(false, Some(0.2))], rejected(Some(0.2))),
            (
                "the longest wait counts",
                re,
                false,
                &[late(true, Some(0.2)), late(true, Some(0.5))],
                rejected(Some(0.5)),
            ),
            ("no advice", re, false, &[late(true, None)], rejected(None)),
            (
                "failed beats rejected",
                re,
                false,
                &[late(false, None), PartState::Failed { ran: true }],
                failed,
            ),
            ("repeatable, one part done", re, false, &[PartState::Done, late(false, None)], rejected(None)),
            ("unrepeatable, nothing ran", un, false, &[open, late(false, None)], rejected(None)),
            ("unrepeatable, an attempt is out", un, false, &[out, late(false, None)], failed),
            ("unrepeatable, one part done", un, false, &[PartState::Done, late(false, None)], failed),
            (
                "given up, but nothing ever left",
                un,
                false,
                &[PartState::Failed { ran: false }],
                rejected(None),
            ),
            (
                "given up, and another part ran",
                un,
                false,
                &[PartState::Failed { ran: false }, PartState::Done],
                failed,
            ),
            (
                "keyed, the client marks",
                idempotent_by_key(DedupScope::All),
                true,
                &[late(true, None)],
                rejected(None),
            ),
            (
                "keyed, only the host marks",
                idempotent_by_key(DedupScope::All),
                false,
                &[late(true, None)],
                failed,
            ),
            (
                "keyed, only the host marks, unseen",
                idempotent_by_key(DedupScope::All),
                false,
                &[late(false, None)],
                rejected(None),
            ),
            (
                "keyed in a zone",
                idempotent_by_key(DedupScope::Zone),
                true,
                &[PartState::Done, late(false, None)],
                failed,
            ),
        ];
        for (name, effect, marks, parts, expected) in cases {
            assert_eq!(combine(*effect, *marks, parts), *expected, "{name}");
        }
    }
}
