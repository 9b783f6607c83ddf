//! Requests that arrive already placed, in virtual time: one path with block commands.

use bytes::Bytes;
use tackmast::interface::*;
use tackmast::scheduler::Scheduler;
use tackmast_config::TrafficClass;
use tackmast_host_core::*;

fn at(s: f64) -> Instant {
    Instant::from_secs(s)
}

fn span(s: f64) -> TimeDelta {
    TimeDelta::from_secs(s)
}

struct Rig {
    core: Core,
    sent: Vec<SendAttempt>,
    answers: Vec<(u32, Verdict)>,
    cancelled: Vec<AttemptId>,
}

const EFFECTS: [Effect; 3] = [
    Effect::Idempotent,
    Effect::NonIdempotent,
    Effect::IdempotentByKey { scope: DedupScope::Shard, window: TimeDelta::ZERO },
];

impl Rig {
    fn new(requests: usize, nodes: usize, volumes: usize) -> Rig {
        let now = at(10.0);
        let mut scheduler = Scheduler::new(now, 1, 1, span(0.002), 2.0);
        scheduler.add_plan(Plan { limit: 0.0, burst: 0.0, slack: 0.0, reserve: 0.0, weight: 1.0 });
        let traffic_classes: Vec<TrafficClass> = EFFECTS
            .iter()
            .map(|effect| {
                scheduler.add_traffic_class(span(0.3), *effect, false);
                let (name, latency_objective, deadline) = (String::new(), span(0.3), span(1.0));
                TrafficClass {
                    name,
                    latency_objective,
                    deadline,
                    effect: *effect,
                    in_order: false,
                    order_blocks: None,
                }
            })
            .collect();
        scheduler.set_attempt_limits(3, span(0.5), TimeDelta::ZERO);
        let (reports_peer_service, longest_wait, grace) = (true, span(0.5), span(1.0));
        let settings = PlacedSettings {
            traffic_classes,
            reports_service: reports_peer_service,
            longest_wait,
            grace,
            requests,
            bytes: 1 << 20,
            nodes,
            volumes,
        };
        let mut rig = Rig {
            core: Core::placed(now, scheduler, settings, 1),
            sent: vec![],
            answers: vec![],
            cancelled: vec![],
        };
        rig.list(now, ListKind::Saved, 0, &[("a", "1.1.1.1:1", 0, NodeState::Ready)]);
        rig
    }

    fn list(&mut self, now: Instant, kind: ListKind, version: u64, lines: &[(&str, &str, u32, NodeState)]) {
        let line = |(id, address, shard, state): &(&str, &str, u32, NodeState)| ListEntry {
            id: id.to_string(),
            address: address.to_string(),
            state: *state,
            zone: ZoneId(0),
            shard: ShardId(*shard),
            start: None,
        };
        let lines: Vec<ListEntry> = lines.iter().map(line).collect();
        let from = self.core.list_version();
        self.core.handle_endpoint_list(now, kind, from, version, &lines);
        self.pull(now);
    }

    fn ask(&mut self, now: Instant, command: u32, traffic_class: u32, volume: u64) {
        let placed = PlacedRequest {
            volume,
            plan: PlanId(0),
            traffic_class: TrafficClassId(traffic_class),
            shard: Some(ShardId(0)),
            key: u64::from(command),
            units: 1.0,
            hosts: 1,
            left: span(1.0),
            request: OpaqueRequest { head: Bytes::from_static(b"head"), body: Bytes::from_static(b"body") },
        };
        self.core.handle_placed_request(now, CommandRef { session: command, command }, placed);
        self.pull(now);
    }

    fn pull(&mut self, now: Instant) {
        self.core.handle_timeout(now);
        while let Some(o) = self.core.poll_output(now) {
            match o {
                Output::Send(attempt) => self.sent.push(*attempt),
                Output::Answer { to, verdict } => self.answers.push((to.command, verdict)),
                Output::Cancel { attempt, .. } | Output::Cut { attempt, .. } => self.cancelled.push(attempt),
                _ => {}
            }
        }
    }

    fn pass(&mut self, from: Instant, secs: f64) -> Instant {
        let end = from + span(secs);
        while let Some(t) = self.core.poll_timeout(from).filter(|t| *t <= end) {
            self.pull(t);
        }
        self.pull(end);
        end
    }

    fn write(&mut self) -> AttemptId {
        let attempt = self.sent.pop().expect("an attempt is out");
        assert!(attempt.ticket.claim());
        attempt.ticket.written();
        attempt.attempt
    }

    fn back(&mut self, now: Instant, attempt: AttemptId, outcome: Outcome, data: &'static [u8]) {
        let data = Bytes::from_static(data);
        self.core.handle_attempt_result(
            now,
            AttemptResult { attempt, outcome, waiting: Some(1), elsewhere: Some(0.0), data },
        );
        self.pull(now);
    }
}

#[test]
fn a_request_goes_out_as_it_came_and_its_answer_comes_back_whole() {
    let mut r = Rig::new(8, 8, 8);
    r.ask(at(10.0), 1, 1, 77);
    let AttemptWork::Opaque(request) = &r.sent[0].work else { panic!("{:?}", r.sent[0].work) };
    assert_eq!((&request.head[..], &request.body[..]), (&b"head"[..], &b"body"[..]));
    assert_eq!(r.sent[0].until, at(11.0));
    let attempt = r.write();
    r.back(at(10.1), attempt, Outcome::Done, b"any length");
    assert_eq!(r.answers, [(1, Verdict::Done { data: Bytes::from_static(b"any length") })]);
    assert_eq!(r.core.open_counts(), OpenCounts::default());
}

#[test]
fn what_may_have_run_decides_the_answer() {
    // The outcome of the first attempt, and for each effect: sent again, or answered how.
    let cases = [
        (Outcome::Error, ["again", "failed", "failed"]),
        (Outcome::Reset, ["again", "failed", "failed"]),
        (Outcome::Refused, ["again", "again", "again"]),
        (Outcome::Full, ["again", "again", "again"]),
    ];
    for (outcome, expected) in cases {
        for (traffic_class, expected) in expected.into_iter().enumerate() {
            let mut r = Rig::new(8, 8, 8);
            r.ask(at(10.0), 1, traffic_class as u32, 77);
            let attempt = r.write();
            r.back(at(10.01), attempt, outcome, b"");
            r.pass(at(10.01), 0.1);
            let found = match (&r.answers[..], r.sent.len()) {
                ([], 1) => "again",
                ([(1, Verdict::Failed)], 0) => "failed",
                ([(1, Verdict::Rejected { .. })], 0) => "rejected",
                other => panic!("{outcome:?} {traffic_class}: {other:?}"),
            };
            assert_eq!(found, expected, "{outcome:?}, effect {traffic_class}");
        }
    }
}

#[test]
fn every_one_has_one_answer_by_its_time_and_full_tables_say_when_to_come_back() {
    let mut r = Rig::new(4, 8, 2);
    let mut now = at(10.0);
    for command in 0..20 {
        r.ask(now, command, 0, u64::from(command % 5));
    }
    let early = r.answers.len();
    assert!(early >= 12, "the tables hold four: {early}");
    let told = r
        .answers
        .iter()
        .all(|(_, v)| matches!(v, Verdict::Rejected { retry_after: Some(w) } if *w > TimeDelta::ZERO));
    assert!(told, "{:?}", r.answers);
    // A node that never answers: what is open ends with its client's time, and its attempts are called back.
    let out = r.sent.drain(..).filter(|l| l.ticket.claim()).count();
    now = r.pass(now, 1.2);
    let mut ids: Vec<u32> = r.answers.iter().map(|(c, _)| *c).collect();
    ids.sort();
    assert_eq!(ids, (0..20).collect::<Vec<_>>(), "one answer each");
    assert!(r.cancelled.len() >= out);
    assert_eq!(r.core.open_counts(), OpenCounts::default());
    // The longest unused volume gives way.
    r.ask(now, 30, 0, 99);
    assert_eq!(r.sent.len(), 1);
}

#[test]
fn a_node_keeps_its_number_when_it_moves_and_new_ids_without_end_are_bounded() {
    let mut r = Rig::new(8, 100, 8);
    let number = r.core.nodes().number("a").unwrap();
    r.list(at(11.0), ListKind::Changes, 1, &[("a", "2.2.2.2:2", 0, NodeState::Ready)]);
    assert_eq!(r.core.nodes().address(number), Some("2.2.2.2:2"));
    for i in 0..500u32 {
        let (new, old) = (format!("n{}", i + 1), format!("n{i}"));
        let lines = [(&*new, "3.3.3.3:3", 1, NodeState::Ready), (&*old, "3.3.3.3:3", 1, NodeState::Gone)];
        r.list(at(12.0 + f64::from(i)), ListKind::Changes, u64::from(i) + 2, &lines);
        assert!(r.core.nodes().entries().count() <= 2 + 64 + 1);
    }
    assert!(r.core.nodes().number("n500").is_some() && r.core.nodes().number("n3").is_none());
    assert_eq!(r.core.nodes().number("a"), Some(number));
}
