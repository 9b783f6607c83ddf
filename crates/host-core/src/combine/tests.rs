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
        ("failed beats rejected", re, false, &[late(false, None), PartState::Failed { ran: true }], failed),
        ("repeatable, one part done", re, false, &[PartState::Done, late(false, None)], rejected(None)),
        ("unrepeatable, nothing ran", un, false, &[open, late(false, None)], rejected(None)),
        ("unrepeatable, an attempt is out", un, false, &[out, late(false, None)], failed),
        ("unrepeatable, one part done", un, false, &[PartState::Done, late(false, None)], failed),
        ("given up, but nothing ever left", un, false, &[PartState::Failed { ran: false }], rejected(None)),
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
        let key_source = if *marks { KeySource::Client } else { KeySource::Host };
        assert_eq!(combine(*effect, key_source, parts), *expected, "{name}");
    }
}
