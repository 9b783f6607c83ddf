//! Clean traces pass; in a trace with one violation just its rule is reported.

use tackmast_invariants::judge;
use tackmast_trace::*;

/// A trace under construction; times in milliseconds.
struct Script(Vec<Line>);

fn facts() -> Facts {
    let traffic_class = |name: &str, effect, in_order| TrafficClassFacts {
        name: name.into(),
        latency_objective_us: 100_000,
        effect,
        window_us: 1_000_000,
        in_order,
    };
    Facts {
        traffic_classes: vec![
            traffic_class("read", EffectKind::Idempotent, false),
            traffic_class("once", EffectKind::NonIdempotent, true),
            traffic_class("zone", EffectKind::IdempotentByKeyZone, false),
            traffic_class("shard", EffectKind::IdempotentByKeyShard, false),
            traffic_class("keyed", EffectKind::IdempotentByKeyAll, false),
        ],
        volumes: vec![VolumeFacts {
            volume: 1,
            plan: "basic".into(),
            limit: 10.0,
            burst: 20.0,
            slack: 4.0,
            extent_bytes: 0,
        }],
        unit_bytes: 4096,
        max_units: 8.0,
        answer_slack_us: 10_000,
        grace_us: 250_000,
        slow_start_multiple: 2.0,
        slow_start_window_us: 1_000_000,
        slow_start_safe_units: 5.0,
        settle_us: 500_000,
        retry_budget: Some((2.0, 0.1, 1_000_000)),
        skew_us: 20_000,
    }
}

impl Script {
    fn new() -> Script {
        let mut s = Script(Vec::new());
        s.at(0, Event::Facts(facts())).at(1, Event::HostUp { host: 0 }).at(1, Event::HostUp { host: 1 });
        for (node, zone, shard) in [("a", 0, 0), ("b", 1, 1), ("c", 0, 2)] {
            s.at(2, up(node, zone, shard, 1.0)).notified(3, 0, node, ListedState::Ready, 0);
        }
        s
    }
    fn at(&mut self, t: u64, event: Event) -> &mut Self {
        self.0.push(Line { t: t * 1000, event });
        self
    }
    fn notified(&mut self, t: u64, host: u32, node: &str, state: ListedState, started_ms: u64) -> &mut Self {
        self.at(t, Event::Notified { host, node: node.into(), state, started_us: started_ms * 1000 })
    }
    fn submit(&mut self, t: u64, command: u32, traffic_class: u32) -> &mut Self {
        let (host, session, volume, bytes) = (0, 1, 2, 4096);
        let (write, offset, deadline_us) = (traffic_class > 0, 0, 1_000_000);
        self.at(
            t,
            Event::Submit {
                host,
                session,
                command,
                volume,
                traffic_class,
                write,
                offset,
                bytes,
                deadline_us,
            },
        )
    }
    fn answer(&mut self, t: u64, command: u32, kind: AnswerKind) -> &mut Self {
        self.at(t, Event::Answer { host: 0, session: 1, command, kind, retry_after_us: 0 })
    }
    fn attempt(&mut self, t: u64, node: &str, command: u32, attempt: u8) -> &mut Self {
        self.attempt_of(t, node, command, attempt, 2, 4096, 0)
    }
    #[allow(clippy::too_many_arguments)]
    fn attempt_of(
        &mut self,
        t: u64,
        node: &str,
        command: u32,
        attempt: u8,
        volume: u32,
        bytes: u64,
        key: u64,
    ) -> &mut Self {
        let units = (bytes as f64 / 4096.0).ceil();
        self.at(
            t,
            Event::Attempt {
                node: node.into(),
                name: name(command, attempt),
                session: 1,
                command,
                part: 0,
                volume,
                write: false,
                offset: 0,
                bytes,
                units,
                key,
                idempotency_key: "0".into(),
                left_us: 900_000,
            },
        )
    }
    fn end(&mut self, t: u64, node: &str, command: u32, attempt: u8, kind: AttemptEndKind) -> &mut Self {
        let ran = kind == AttemptEndKind::Done;
        self.at(t, Event::AttemptEnd { node: node.into(), name: name(command, attempt), kind, ran })
    }
    /// A whole request that is served at once.
    fn serve(&mut self, t: u64, node: &str, command: u32, traffic_class: u32) -> &mut Self {
        self.submit(t, command, traffic_class).attempt(t + 1, node, command, 0);
        self.end(t + 5, node, command, 0, AttemptEndKind::Done).answer(t + 6, command, AnswerKind::Done)
    }
    /// Volume 1 gets another limit and burst, in force at the last time.
    fn change_limit(&mut self, t: u64, limit: f64, burst: f64, in_force: u64) -> &mut Self {
        let in_force_us = in_force * 1000;
        self.at(t, Event::PlanMoved { volume: 1, limit, burst, slack: 4.0, in_force_us })
    }
    /// Serves some requests of eight units each of volume 1, numbered from the first.
    fn draw_bursts(&mut self, t: u64, first: u32, n: u32) -> &mut Self {
        for c in first..first + n {
            self.submit(t, c, 0).attempt_of(t + 1, "a", c, 0, 1, 4096 * 8, 0);
            self.end(t + 20, "a", c, 0, AttemptEndKind::Done).answer(t + 21, c, AnswerKind::Done);
        }
        self
    }
    fn lines(mut self) -> Vec<Line> {
        self.at(10_000, Event::Fault { what: "end".into(), on: false });
        self.0.sort_by_key(|l| l.t);
        self.0
    }
}

fn name(command: u32, attempt: u8) -> AttemptName {
    AttemptName { host: 0, generation: 77, request: u64::from(command), attempt }
}

fn up(node: &str, zone: u32, shard: u32, initial_capacity: f64) -> Event {
    let warm_us = if initial_capacity < 1.0 { 4_000_000 } else { 0 };
    Event::NodeUp { node: node.into(), zone, shard, capacity: 10.0, initial_capacity, warm_us }
}

/// A small deployment of three nodes and two hosts, with one doctored piece of traffic a case. Each violation must be reported under
/// its own rule and no other, and traffic that only looks similar must pass.
#[test]
fn each_violation_is_reported_under_its_rule_alone() {
    use AnswerKind::{Done, Failed, Rejected};
    use AttemptEndKind::{Error, NeverRan};
    use ListedState::{Draining, Gone, Ready};
    type Play = fn(&mut Script);
    // What happens, which rule it breaks, or 0 for none.
    let cases: &[(&str, u8, Play)] = &[
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
    ];
    for (name, rule, play) in cases {
        let mut s = Script::new();
        play(&mut s);
        let report = judge(&s.lines());
        assert_eq!(report.unfit, None, "{name}");
        let violated: Vec<u8> =
            report.rules.iter().filter(|rule| !rule.violations.is_empty()).map(|rule| rule.rule).collect();
        let expected: Vec<u8> = if *rule > 0 { vec![*rule] } else { vec![] };
        assert_eq!(violated, expected, "{name}:\n{report}");
    }
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

/// A host is suspended, or cut off from its clients or the endpoint list. That excuses what it could not do meanwhile, and nothing
/// before, afterwards or at another host.
#[test]
fn outage_excuses_only_what_it_prevented() {
    use AnswerKind::Done;
    use ListedState::Draining;
    type Play = fn(&mut Script);
    fn suspend(s: &mut Script, host: u32, from: u64, to: u64) -> &mut Script {
        s.at(from, Event::HostStops { host }).at(to, Event::HostGoes { host })
    }
    fn cut(s: &mut Script, side: Side, host: u32, from: u64, to: u64) -> &mut Script {
        s.at(from, Event::Cut { host, side, on: true }).at(to, Event::Cut { host, side, on: false })
    }
    fn lose_connection(s: &mut Script, t: u64) -> &mut Script {
        let client = || "127.0.0.1:9".to_owned();
        s.at(50, Event::Session { host: 0, session: 1, client: client() });
        s.at(t, Event::ConnectionLost { client: client() })
    }
    // Deadlines are a second, the slack 10 ms, the grace 250 ms.
    let cases: &[(&str, u8, Play)] = &[
        ("answered as soon as it resumed", 0, |s| {
            _ = suspend(s, 0, 200, 3000).submit(300, 1, 0).answer(3005, 1, Done)
        }),
        ("answered late after it resumed, received before", 1, |s| {
            suspend(s, 0, 200, 3000).submit(100, 1, 0).answer(3050, 1, Done);
        }),
        ("read when it resumed, and answered in time since", 0, |s| {
            suspend(s, 0, 200, 3000).submit(300, 1, 0).answer(3950, 1, Done);
        }),
        ("read when it resumed, and answered late since", 1, |s| {
            suspend(s, 0, 200, 3000).submit(300, 1, 0).answer(4050, 1, Done);
        }),
        ("never answered after it resumed", 1, |s| _ = suspend(s, 0, 200, 3000).submit(300, 1, 0)),
        ("a suspension that was over in time", 1, |s| {
            suspend(s, 0, 200, 500).submit(100, 1, 0).answer(1150, 1, Done);
        }),
        ("a suspension before the request", 1, |s| {
            _ = suspend(s, 0, 10, 90).submit(100, 1, 0).answer(1150, 1, Done)
        }),
        ("a suspension after the answer was due", 1, |s| {
            _ = suspend(s, 0, 1200, 3000).submit(100, 1, 0).answer(3005, 1, Done)
        }),
        ("another host's suspension", 1, |s| {
            _ = suspend(s, 1, 200, 3000).submit(300, 1, 0).answer(3005, 1, Done)
        }),
        ("two answers, in spite of the suspension", 1, |s| {
            suspend(s, 0, 200, 3000).submit(300, 1, 0).answer(3005, 1, Done).answer(3006, 1, Done);
        }),
        ("an attempt for a client that left during the suspension", 0, |s| {
            s.submit(100, 1, 0).at(300, Event::Left { host: 0, session: 1, command: 1 });
            suspend(s, 0, 200, 3000).attempt(3001, "a", 1, 0);
        }),
        ("an attempt long after the host knew", 1, |s| {
            s.submit(100, 1, 0).at(300, Event::Left { host: 0, session: 1, command: 1 });
            suspend(s, 0, 200, 3000).attempt(3100, "a", 1, 0);
        }),
        ("notified to drain during the suspension", 0, |s| {
            suspend(s, 0, 100, 3000).notified(200, 0, "a", Draining, 0).serve(3200, "a", 1, 0);
        }),
        ("notified to drain, and the grace is over since it resumed", 3, |s| {
            suspend(s, 0, 100, 3000).notified(200, 0, "a", Draining, 0).serve(3400, "a", 1, 0);
        }),
        ("notified to drain before the suspension", 3, |s| {
            s.notified(100, 0, "a", Draining, 0);
            suspend(s, 0, 200, 3000).serve(3100, "a", 1, 0);
        }),
        ("notified to drain while cut off", 0, |s| {
            cut(s, Side::List, 0, 100, 3000).notified(200, 0, "a", Draining, 0).serve(1000, "a", 1, 0);
        }),
        ("notified again when the network was whole", 3, |s| {
            cut(s, Side::List, 0, 100, 3000)
                .notified(200, 0, "a", Draining, 0)
                .notified(3100, 0, "a", Draining, 0);
            s.serve(3500, "a", 1, 0);
        }),
        ("notified before the cut", 3, |s| {
            s.notified(50, 0, "a", Draining, 0);
            cut(s, Side::List, 0, 100, 3000).serve(1000, "a", 1, 0);
        }),
        ("another host's list was cut off", 3, |s| {
            cut(s, Side::List, 1, 100, 3000).notified(200, 0, "a", Draining, 0).serve(1000, "a", 1, 0);
        }),
        ("cut twice, and whole when the last is over", 0, |s| {
            cut(s, Side::Clients, 0, 200, 1000).submit(300, 1, 0).answer(3005, 1, Done);
            cut(s, Side::Clients, 0, 300, 3000);
        }),
        ("cut twice, and late after the last", 1, |s| {
            cut(s, Side::Clients, 0, 200, 1000).submit(300, 1, 0).answer(3050, 1, Done);
            cut(s, Side::Clients, 0, 300, 3000);
        }),
        ("lost with its connection", 0, |s| {
            cut(s, Side::Clients, 0, 200, 3000).submit(300, 1, 0);
            lose_connection(s, 3005);
        }),
        ("cut off, not lost, and never answered", 1, |s| {
            _ = cut(s, Side::Clients, 0, 200, 3000).submit(300, 1, 0)
        }),
        ("cut off, and answered once the network was whole", 0, |s| {
            cut(s, Side::Clients, 0, 200, 3000).submit(300, 1, 0).answer(3005, 1, Done);
        }),
        ("lost long after it was due", 1, |s| {
            s.submit(100, 1, 0);
            lose_connection(s, 3005);
        }),
        ("lost in time", 0, |s| {
            s.submit(100, 1, 0);
            lose_connection(s, 500);
        }),
        ("another session's connection was lost", 1, |s| {
            s.submit(100, 1, 0).at(50, Event::Session { host: 0, session: 2, client: "127.0.0.1:9".into() });
            s.at(500, Event::ConnectionLost { client: "127.0.0.1:9".into() });
        }),
        ("the list's cut is not the clients'", 1, |s| {
            cut(s, Side::List, 0, 200, 3000).submit(300, 1, 0).answer(3005, 1, Done);
        }),
    ];
    for (name, rule, play) in cases {
        let mut s = Script::new();
        play(&mut s);
        let report = judge(&s.lines());
        let violated: Vec<u8> =
            report.rules.iter().filter(|rule| !rule.violations.is_empty()).map(|rule| rule.rule).collect();
        let expected: Vec<u8> = (*rule > 0).then_some(*rule).into_iter().collect();
        assert_eq!(violated, expected, "{name}\n{report}");
        assert_eq!(report.unfit, None, "{name}");
    }
}
