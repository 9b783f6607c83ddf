use super::*;

/// The parts of a command end in different ways. The client gets one answer, and a rejection promises that a retry of all parts is safe.
#[test]
fn the_answer_of_a_command_follows_from_its_parts() {
    let seconds = TimeDelta::from_secs;
    let idempotent_by_key = |scope| Effect::IdempotentByKey { scope, window: seconds(3.0) };
    let (idempotent, non_idempotent) = (Effect::Idempotent, Effect::NonIdempotent);
    let (open, in_flight) = (PartState::Open { may_have_run: false }, PartState::Open { may_have_run: true });
    let rejected_part = |may_have_run, wait: Option<f64>| PartState::Rejected {
        may_have_run,
        retry_after: wait.map(seconds),
    };
    let rejected = |wait: Option<f64>| Some(Combined::Rejected { retry_after: wait.map(seconds) });
    let (done, failed) = (Some(Combined::Done), Some(Combined::Failed));
    type Case<'a> = (&'a str, Effect, bool, &'a [PartState], Option<Combined>);
    let cases: &[Case] = &[
        ("all done", non_idempotent, false, &[PartState::Done, PartState::Done], done),
        ("one still open", idempotent, false, &[PartState::Done, open], None),
        (
            "one rejected part decides",
            idempotent,
            false,
            &[open, rejected_part(false, Some(0.2))],
            rejected(Some(0.2)),
        ),
        (
            "the longest retry-after counts",
            idempotent,
            false,
            &[rejected_part(true, Some(0.2)), rejected_part(true, Some(0.5))],
            rejected(Some(0.5)),
        ),
        ("no retry-after", idempotent, false, &[rejected_part(true, None)], rejected(None)),
        (
            "failed takes precedence over rejected",
            idempotent,
            false,
            &[rejected_part(false, None), PartState::Failed { may_have_run: true }],
            failed,
        ),
        (
            "idempotent, one part done",
            idempotent,
            false,
            &[PartState::Done, rejected_part(false, None)],
            rejected(None),
        ),
        (
            "non-idempotent, nothing ran",
            non_idempotent,
            false,
            &[open, rejected_part(false, None)],
            rejected(None),
        ),
        (
            "non-idempotent, an attempt may have run",
            non_idempotent,
            false,
            &[in_flight, rejected_part(false, None)],
            failed,
        ),
        (
            "non-idempotent, one part done",
            non_idempotent,
            false,
            &[PartState::Done, rejected_part(false, None)],
            failed,
        ),
        (
            "failed, but no byte was written",
            non_idempotent,
            false,
            &[PartState::Failed { may_have_run: false }],
            rejected(None),
        ),
        (
            "failed, and another part ran",
            non_idempotent,
            false,
            &[PartState::Failed { may_have_run: false }, PartState::Done],
            failed,
        ),
        (
            "by key, of the client",
            idempotent_by_key(DedupScope::All),
            true,
            &[rejected_part(true, None)],
            rejected(None),
        ),
        (
            "by key, of the host",
            idempotent_by_key(DedupScope::All),
            false,
            &[rejected_part(true, None)],
            failed,
        ),
        (
            "by key, of the host, nothing ran",
            idempotent_by_key(DedupScope::All),
            false,
            &[rejected_part(false, None)],
            rejected(None),
        ),
        (
            "by key in a zone",
            idempotent_by_key(DedupScope::Zone),
            true,
            &[PartState::Done, rejected_part(false, None)],
            failed,
        ),
    ];
    for (name, effect, has_client_key, parts, expected) in cases {
        let key_source = if *has_client_key { KeySource::Client } else { KeySource::Host };
        assert_eq!(combine(*effect, key_source, parts), *expected, "{name}");
    }
}
