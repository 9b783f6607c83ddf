//! Traces that tests make up, and the verdict on them.
#![allow(dead_code)] // each test file uses its own part

use tackmast_invariants::judge;
use tackmast_trace::*;

/// A trace under construction; times in milliseconds.
pub struct Script(Vec<Line>);

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
    pub fn new() -> Script {
        let mut s = Script(Vec::new());
        s.at(0, Event::Facts(facts())).at(1, Event::HostUp { host: 0 }).at(1, Event::HostUp { host: 1 });
        for (node, zone, shard) in [("a", 0, 0), ("b", 1, 1), ("c", 0, 2)] {
            s.at(2, up(node, zone, shard, 1.0)).notified(3, 0, node, ListedState::Ready, 0);
        }
        s
    }
    pub fn at(&mut self, t: u64, event: Event) -> &mut Self {
        self.0.push(Line { t: t * 1000, event });
        self
    }
    pub fn notified(
        &mut self,
        t: u64,
        host: u32,
        node: &str,
        state: ListedState,
        started_ms: u64,
    ) -> &mut Self {
        self.at(t, Event::Notified { host, node: node.into(), state, started_us: started_ms * 1000 })
    }
    pub fn submit(&mut self, t: u64, command: u32, traffic_class: u32) -> &mut Self {
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
    pub fn answer(&mut self, t: u64, command: u32, kind: AnswerKind) -> &mut Self {
        self.at(t, Event::Answer { host: 0, session: 1, command, kind, retry_after_us: 0 })
    }
    pub fn attempt(&mut self, t: u64, node: &str, command: u32, attempt: u8) -> &mut Self {
        self.attempt_of(t, node, command, attempt, 2, 4096, 0)
    }
    #[allow(clippy::too_many_arguments)]
    pub fn attempt_of(
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
    pub fn end(&mut self, t: u64, node: &str, command: u32, attempt: u8, kind: AttemptEndKind) -> &mut Self {
        let ran = kind == AttemptEndKind::Done;
        self.at(t, Event::AttemptEnd { node: node.into(), name: name(command, attempt), kind, ran })
    }
    /// A whole request that is served at once.
    pub fn serve(&mut self, t: u64, node: &str, command: u32, traffic_class: u32) -> &mut Self {
        self.submit(t, command, traffic_class).attempt(t + 1, node, command, 0);
        self.end(t + 5, node, command, 0, AttemptEndKind::Done).answer(t + 6, command, AnswerKind::Done)
    }
    /// Volume 1 gets another limit and burst, in force at the last time.
    pub fn change_limit(&mut self, t: u64, limit: f64, burst: f64, in_force: u64) -> &mut Self {
        let in_force_us = in_force * 1000;
        self.at(t, Event::PlanMoved { volume: 1, limit, burst, slack: 4.0, in_force_us })
    }
    /// Serves some requests of eight units each of volume 1, numbered from the first.
    pub fn draw_bursts(&mut self, t: u64, first: u32, n: u32) -> &mut Self {
        for c in first..first + n {
            self.submit(t, c, 0).attempt_of(t + 1, "a", c, 0, 1, 4096 * 8, 0);
            self.end(t + 20, "a", c, 0, AttemptEndKind::Done).answer(t + 21, c, AnswerKind::Done);
        }
        self
    }
    pub fn lines(mut self) -> Vec<Line> {
        self.at(10_000, Event::Fault { what: "end".into(), on: false });
        self.0.sort_by_key(|l| l.t);
        self.0
    }
}

pub fn name(command: u32, attempt: u8) -> AttemptName {
    AttemptName { host: 0, generation: 77, request: u64::from(command), attempt }
}

pub fn up(node: &str, zone: u32, shard: u32, initial_capacity: f64) -> Event {
    let warm_us = if initial_capacity < 1.0 { 4_000_000 } else { 0 };
    Event::NodeUp { node: node.into(), zone, shard, capacity: 10.0, initial_capacity, warm_us }
}

/// One piece of traffic: its name, the rule that it breaks, or 0 for none, and what happens.
pub type Case = (&'static str, u8, fn(&mut Script));

/// Each case must be reported under its own rule and no other.
pub fn assert_verdicts(cases: &[Case]) {
    for (name, rule, play) in cases {
        let mut s = Script::new();
        play(&mut s);
        let report = judge(&s.lines());
        assert_eq!(report.unfit, None, "{name}");
        let violated: Vec<u8> =
            report.rules.iter().filter(|rule| !rule.violations.is_empty()).map(|rule| rule.rule).collect();
        let expected: Vec<u8> = (*rule > 0).then_some(*rule).into_iter().collect();
        assert_eq!(violated, expected, "{name}:\n{report}");
    }
}
