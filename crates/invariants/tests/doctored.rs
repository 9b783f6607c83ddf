//! Clean traces pass; in a trace with one violation just its rule is reported. A small deployment of three nodes and two hosts has one
//! doctored piece of traffic a case, and traffic that only looks similar must pass.

mod common;

use common::{assert_verdicts, name, up, Script};
use tackmast_invariants::judge;
use tackmast_trace::{AnswerKind, AttemptEndKind, Event, ListedState};

/// A client gets no answer, two, or a late one; or its request goes on after its answer, or after it left. A host that is dead
/// owes none.
#[test]
fn violation_of_rule_1_answers_is_reported_alone() {
    use AnswerKind::{Done, Failed};
    assert_verdicts(&[
        ("served", 0, |s| _ = s.serve(100, "a", 1, 0)),
        ("answered late", 1, |s| _ = s.submit(100, 1, 0).attempt(101, "a", 1, 0).answer(1200, 1, Done)),
        ("never answered", 1, |s| _ = s.submit(100, 1, 0)),
        ("answered twice", 1, |s| _ = s.serve(100, "a", 1, 0).answer(200, 1, Failed)),
        ("attempt after the answer", 1, |s| _ = s.serve(100, "a", 1, 0).attempt(200, "a", 1, 1)),
        ("attempt after its client left", 1, |s| {
            s.submit(100, 1, 0)
                .at(150, Event::Left { host: 0, session: 1, command: 1 })
                .attempt(200, "a", 1, 0);
        }),
        ("its client left", 0, |s| {
            s.submit(100, 1, 0)
                .attempt(101, "a", 1, 0)
                .at(150, Event::Left { host: 0, session: 1, command: 1 });
        }),
        ("its host died", 0, |s| _ = s.submit(100, 1, 0).at(150, Event::HostDown { host: 0 })),
        ("its host was dead before", 0, |s| _ = s.at(50, Event::HostDown { host: 0 }).submit(100, 1, 0)),
        ("its host was back", 1, |s| {
            s.at(50, Event::HostDown { host: 0 }).at(60, Event::HostUp { host: 0 }).submit(100, 1, 0);
        }),
    ]);
}

/// A request has two attempts at once, or is repeated where its effect forbids it. A repeat is allowed where the first attempt
/// surely did not run, or where its nodes share the idempotency key.
#[test]
fn violation_of_rule_2_attempts_is_reported_alone() {
    use AnswerKind::{Done, Failed, Rejected};
    use AttemptEndKind::{Error, NeverRan};
    assert_verdicts(&[
        ("two attempts at once", 2, |s| {
            s.submit(100, 1, 0).attempt(101, "a", 1, 0).attempt(150, "a", 1, 1);
            s.end(200, "a", 1, 1, AttemptEndKind::Done).answer(201, 1, Done);
        }),
        ("a second attempt after an error", 0, |s| {
            s.submit(100, 1, 0).attempt(101, "a", 1, 0).end(110, "a", 1, 0, Error).attempt(150, "a", 1, 1);
            s.end(200, "a", 1, 1, AttemptEndKind::Done).answer(201, 1, Done);
        }),
        ("non-idempotent, again after an error", 2, |s| {
            s.submit(100, 1, 1).attempt(101, "a", 1, 0).end(110, "a", 1, 0, Error).attempt(150, "a", 1, 1);
            s.end(200, "a", 1, 1, AttemptEndKind::Done).answer(201, 1, Done);
        }),
        ("non-idempotent, again after a full queue", 0, |s| {
            s.submit(100, 1, 1).attempt(101, "a", 1, 0).end(110, "a", 1, 0, NeverRan).attempt(150, "a", 1, 1);
            s.end(200, "a", 1, 1, AttemptEndKind::Done).answer(201, 1, Done);
        }),
        ("non-idempotent, rejected after an error", 2, |s| {
            s.submit(100, 1, 1).attempt(101, "a", 1, 0).end(110, "a", 1, 0, Error).answer(111, 1, Rejected);
        }),
        ("non-idempotent, failed after an error", 0, |s| {
            s.submit(100, 1, 1).attempt(101, "a", 1, 0).end(110, "a", 1, 0, Error).answer(111, 1, Failed);
        }),
        ("idempotent by key, rejected after an error", 2, |s| {
            s.submit(100, 1, 4).attempt(101, "a", 1, 0).end(110, "a", 1, 0, Error).answer(111, 1, Rejected);
        }),
        ("idempotent by key in a zone, to another", 2, |s| {
            s.submit(100, 1, 2).attempt(101, "a", 1, 0).end(110, "a", 1, 0, Error).attempt(150, "b", 1, 1);
            s.end(200, "b", 1, 1, AttemptEndKind::Done).answer(201, 1, Done);
        }),
        ("idempotent by key in a zone, within it", 0, |s| {
            s.submit(100, 1, 2).attempt(101, "a", 1, 0).end(110, "a", 1, 0, Error).attempt(150, "c", 1, 1);
            s.end(200, "c", 1, 1, AttemptEndKind::Done).answer(201, 1, Done);
        }),
        ("keyed in a shard, to another", 2, |s| {
            s.submit(100, 1, 3).attempt(101, "a", 1, 0).end(110, "a", 1, 0, Error).attempt(150, "c", 1, 1);
            s.end(200, "c", 1, 1, AttemptEndKind::Done).answer(201, 1, Done);
        }),
    ]);
}

/// A host sends attempts to a node although it knows that the node drains, is gone, or is overridden out of service.
#[test]
fn violation_of_rule_3_nodes_out_of_service_is_reported_alone() {
    use ListedState::{Draining, Gone, Ready};
    assert_verdicts(&[
        ("notified to drain", 3, |s| {
            _ = s.serve(50, "a", 1, 0).notified(100, 0, "a", Draining, 0).serve(400, "a", 2, 0)
        }),
        ("notified as gone after draining", 3, |s| {
            s.serve(50, "a", 1, 0)
                .notified(100, 0, "a", Draining, 0)
                .notified(300, 0, "a", Gone, 0)
                .serve(400, "a", 2, 0);
        }),
        ("within the grace", 0, |s| {
            _ = s.serve(50, "a", 1, 0).notified(100, 0, "a", Draining, 0).serve(300, "a", 2, 0)
        }),
        ("ready again", 0, |s| {
            s.serve(50, "a", 1, 0)
                .notified(100, 0, "a", Draining, 0)
                .notified(390, 0, "a", Ready, 0)
                .serve(400, "a", 2, 0);
        }),
        ("overridden out of service", 3, |s| {
            s.serve(50, "a", 1, 0).at(100, Event::Ordered { host: 0, node: "a".into(), out: true });
            s.serve(400, "a", 2, 0);
        }),
        ("its override has ended", 0, |s| {
            s.serve(50, "a", 1, 0).at(100, Event::Ordered { host: 0, node: "a".into(), out: true });
            s.at(390, Event::Ordered { host: 0, node: "a".into(), out: false }).serve(400, "a", 2, 0);
        }),
    ]);
}

/// A node that has just started receives more than it can take yet. Hosts that do not know of the start are not to blame.
#[test]
fn violation_of_rule_4_warming_nodes_is_reported_alone() {
    use AnswerKind::Done;
    use ListedState::Ready;
    assert_verdicts(&[
        ("a warming node is overloaded", 4, |s| {
            s.at(1000, up("a", 0, 0, 0.2)).notified(1001, 0, "a", Ready, 1000);
            (1..12).for_each(|i| _ = s.serve(1010 + u64::from(i) * 10, "a", i, 0));
        }),
        ("a warming node, large requests", 4, |s| {
            s.at(1000, up("a", 0, 0, 0.2)).notified(1001, 0, "a", Ready, 1000).submit(1010, 1, 0);
            s.attempt_of(1011, "a", 1, 0, 2, 4096 * 8, 0).answer(1030, 1, Done);
        }),
        ("no host was notified that it is warming up", 0, |s| {
            s.at(1000, up("a", 0, 0, 0.2));
            (1..12).for_each(|i| _ = s.serve(1010 + u64::from(i) * 10, "a", i, 0));
        }),
        ("a warming node within its capacity", 0, |s| {
            s.at(1000, up("a", 0, 0, 0.2)).notified(1001, 0, "a", Ready, 1000);
            (1..5).for_each(|i| _ = s.serve(1010 + u64::from(i) * 10, "a", i, 0));
        }),
    ]);
}

/// Requests of one key run at once, without the pause after a failure, or in another order than they were received in.
#[test]
fn violation_of_rule_5_order_of_a_key_is_reported_alone() {
    use AnswerKind::{Done, Failed};
    assert_verdicts(&[
        ("two of a key at once", 5, |s| {
            s.submit(100, 1, 1)
                .submit(100, 2, 1)
                .attempt_of(101, "a", 1, 0, 2, 1, 9)
                .attempt_of(150, "a", 2, 0, 2, 1, 9);
            s.end(200, "a", 1, 0, AttemptEndKind::Done).answer(201, 1, Done);
            s.end(210, "a", 2, 0, AttemptEndKind::Done).answer(211, 2, Done);
        }),
        ("no pause after a time-out", 5, |s| {
            s.submit(100, 1, 1).submit(100, 2, 1).attempt_of(101, "a", 1, 0, 2, 1, 9);
            s.answer(201, 1, Failed).submit(1000, 3, 0).answer(1010, 3, Done);
            s.attempt_of(900, "a", 2, 0, 2, 1, 9)
                .end(910, "a", 2, 0, AttemptEndKind::Done)
                .answer(911, 2, Done);
        }),
        ("no pause after a lost link", 5, |s| {
            s.submit(100, 1, 1).submit(100, 2, 1).attempt_of(101, "a", 1, 0, 2, 1, 9).answer(201, 1, Failed);
            s.at(
                200,
                Event::LinkDown { node: "a".into(), host: 0, generation: 77, attempts: vec![name(1, 0)] },
            );
            s.attempt_of(600, "a", 2, 0, 2, 1, 9)
                .end(610, "a", 2, 0, AttemptEndKind::Done)
                .answer(611, 2, Done);
        }),
        ("no pause after its node died", 5, |s| {
            s.submit(100, 1, 1).submit(100, 2, 1).attempt_of(101, "a", 1, 0, 2, 1, 9).answer(201, 1, Failed);
            s.at(200, Event::NodeDown { node: "a".into() });
            s.attempt_of(600, "a", 2, 0, 2, 1, 9)
                .end(610, "a", 2, 0, AttemptEndKind::Done)
                .answer(611, 2, Done);
        }),
        ("overtaken", 5, |s| {
            s.submit(100, 1, 1).submit(100, 2, 1).attempt_of(101, "a", 2, 0, 2, 1, 9);
            s.end(110, "a", 2, 0, AttemptEndKind::Done).answer(111, 2, Done);
            s.attempt_of(150, "a", 1, 0, 2, 1, 9)
                .end(200, "a", 1, 0, AttemptEndKind::Done)
                .answer(201, 1, Done);
        }),
        ("one after the other, after the pause", 0, |s| {
            s.submit(100, 1, 1).submit(150, 2, 1).attempt_of(101, "a", 1, 0, 2, 1, 9);
            s.at(
                200,
                Event::LinkDown { node: "a".into(), host: 0, generation: 77, attempts: vec![name(1, 0)] },
            );
            s.answer(201, 1, Failed)
                .attempt_of(710, "a", 2, 0, 2, 1, 9)
                .end(715, "a", 2, 0, AttemptEndKind::Done)
                .answer(716, 2, Done);
        }),
    ]);
}

/// A host retries more than the budget allows, for many requests or for one.
#[test]
fn violation_of_rule_6_retry_budget_is_reported_alone() {
    use AnswerKind::Done;
    use AttemptEndKind::Error;
    assert_verdicts(&[
        ("too many retries", 6, |s| {
            for c in 1..=3 {
                s.submit(100, c, 0)
                    .attempt(101, "a", c, 0)
                    .end(110, "a", c, 0, Error)
                    .attempt(150, "a", c, 1);
                s.end(200, "a", c, 1, AttemptEndKind::Done).answer(201, c, Done);
            }
        }),
        ("three retries of one request", 6, |s| {
            s.submit(100, 1, 0).attempt(101, "a", 1, 0);
            for attempt in 1..=3u8 {
                let t = 100 + u64::from(attempt) * 50;
                s.end(t, "a", 1, attempt - 1, Error).attempt(t + 30, "a", 1, attempt);
            }
            s.end(300, "a", 1, 3, AttemptEndKind::Done).answer(301, 1, Done);
        }),
        ("few retries", 0, |s| {
            for c in 1..=2 {
                s.submit(100, c, 0)
                    .attempt(101, "a", c, 0)
                    .end(110, "a", c, 0, Error)
                    .attempt(150, "a", c, 1);
                s.end(200, "a", c, 1, AttemptEndKind::Done).answer(201, c, Done);
            }
        }),
    ]);
}

/// A volume gets more than its limit and burst, also while both change. A change binds hosts from when it is in force.
#[test]
fn violation_of_rule_7_limits_is_reported_alone() {
    use AnswerKind::Done;
    assert_verdicts(&[
        ("past the limit at once", 7, |s| {
            for c in 1..=4 {
                s.submit(100, c, 0).attempt_of(101, "a", c, 0, 1, 4096 * 8, 0).answer(150, c, Done);
                s.end(149, "a", c, 0, AttemptEndKind::Done);
            }
        }),
        ("past the limit in the long run", 7, |s| {
            for c in 1..=40 {
                let t = 100 + u64::from(c) * 50;
                s.submit(t, c, 0).attempt_of(t + 1, "a", c, 0, 1, 4096, 0);
                s.end(t + 2, "a", c, 0, AttemptEndKind::Done).answer(t + 3, c, Done);
            }
            for c in 41..=80 {
                let t = 100 + u64::from(c) * 50;
                s.submit(t, c, 0).attempt_of(t + 1, "a", c, 0, 1, 4096 * 2, 0);
                s.end(t + 2, "a", c, 0, AttemptEndKind::Done).answer(t + 3, c, Done);
            }
        }),
        ("by the old burst while hosts learn of the new one", 0, |s| {
            s.change_limit(50, 10.0, 8.0, 500).draw_bursts(101, 1, 3);
        }),
        ("by the old burst when the new one is in force", 7, |s| {
            s.change_limit(50, 10.0, 8.0, 500).draw_bursts(600, 1, 3);
        }),
        ("the rest of an old burst is void once the new one is in force", 7, |s| {
            s.change_limit(50, 10.0, 8.0, 500).draw_bursts(101, 1, 1).draw_bursts(600, 2, 2);
        }),
        ("a burst that is raised fills first", 7, |s| {
            s.draw_bursts(50, 1, 3).change_limit(60, 10.0, 80.0, 500).draw_bursts(600, 4, 3);
        }),
        ("a higher rate counts from its acknowledgement", 0, |s| {
            s.draw_bursts(50, 1, 2).change_limit(60, 100.0, 20.0, 500).draw_bursts(300, 4, 2);
        }),
        ("the old rate when a lower one is in force", 7, |s| {
            s.draw_bursts(50, 1, 2).change_limit(60, 0.1, 20.0, 500).draw_bursts(1600, 4, 2);
        }),
        ("no limit any more", 0, |s| {
            s.change_limit(50, 0.0, 0.0, 500).draw_bursts(101, 1, 9).draw_bursts(2000, 10, 9);
        }),
        ("a limit where there was none is in force", 7, |s| {
            s.change_limit(50, 0.0, 0.0, 500)
                .draw_bursts(101, 1, 9)
                .change_limit(600, 10.0, 20.0, 900)
                .draw_bursts(1000, 10, 4);
        }),
        ("up to the limit and its slack", 0, |s| {
            for c in 1..=3 {
                s.submit(100, c, 0).attempt_of(101, "a", c, 0, 1, 4096 * 8, 0).answer(150, c, Done);
                s.end(149, "a", c, 0, AttemptEndKind::Done);
            }
        }),
    ]);
}

/// One request is served, which exercises only the first rule. The report must not claim that the others were kept.
#[test]
fn rule_without_cases_is_reported_as_not_exercised() {
    let mut s = Script::new();
    s.serve(100, "a", 1, 0);
    let report = judge(&s.lines());
    let exercised: Vec<u8> =
        report.rules.iter().filter(|rule| rule.checked > 0).map(|rule| rule.rule).collect();
    assert_eq!(exercised, [1], "{report}");
    assert!(report.to_string().contains("rule 5 order              not exercised"), "{report}");
}

/// The recorder lost events, or the trace has no facts. No violation is found in it, yet it must not count as clean.
#[test]
fn trace_with_lost_events_is_not_clean() {
    let mut s = Script::new();
    s.at(50, Event::Truncated);
    assert!(!judge(&s.lines()).is_clean());
    assert!(judge(&[]).unfit.is_some_and(|why| why.contains("facts")));
}
