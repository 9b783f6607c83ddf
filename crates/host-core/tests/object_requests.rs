//! Tests of object requests in virtual time.

use bytes::Bytes;
use std::collections::BTreeSet;
use tackmast::interface::*;
use tackmast::scheduler::Scheduler;
use tackmast_config::TrafficClass;
use tackmast_host_core::*;

fn at(secs: f64) -> Instant {
    Instant::from_secs(secs)
}

fn seconds(secs: f64) -> TimeDelta {
    TimeDelta::from_secs(secs)
}

/// The plan with number 1; the one with number 0 has no limit.
const LIMITED_PLAN: Plan = Plan { limit: 10.0, burst: 40.0, slack: 8.0, reserve: 0.0, weight: 1.0 };

struct Fixture {
    core: Core,
    sent: Vec<SendAttempt>,
    answers: Vec<(u32, Verdict)>,
    cancelled: Vec<AttemptId>,
    /// The time until the deadline of each submitted request.
    time_left: TimeDelta,
}

const EFFECTS: [Effect; 3] = [
    Effect::Idempotent,
    Effect::NonIdempotent,
    Effect::IdempotentByKey { scope: DedupScope::Shard, window: TimeDelta::ZERO },
];

impl Fixture {
    fn new(requests: usize, nodes: usize, volumes: usize) -> Fixture {
        Fixture::with_attempts(3, seconds(0.3), requests, nodes, volumes)
    }

    fn with_attempts(
        max_attempts: u32,
        latency_objective: TimeDelta,
        requests: usize,
        nodes: usize,
        volumes: usize,
    ) -> Fixture {
        let now = at(10.0);
        let mut scheduler = Scheduler::new(now, 1, 1, seconds(0.002), 2.0);
        scheduler.add_plan(Plan { limit: 0.0, burst: 0.0, slack: 0.0, reserve: 0.0, weight: 1.0 });
        scheduler.add_plan(LIMITED_PLAN);
        let traffic_classes: Vec<TrafficClass> = EFFECTS
            .iter()
            .map(|effect| {
                scheduler.add_traffic_class(latency_objective, *effect, false);
                let (name, deadline) = (String::new(), seconds(1.0));
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
        scheduler.set_attempt_limits(max_attempts, seconds(0.5), TimeDelta::ZERO);
        let settings = CoreSettings {
            traffic_classes,
            reports_peer_service: true,
            max_retry_after: seconds(0.5),
            drain_grace: seconds(1.0),
            max_requests: requests,
            max_bytes: 1 << 20,
            max_nodes: nodes,
            max_volumes: volumes,
        };
        let mut fixture = Fixture {
            core: Core::with_scheduler(now, scheduler, settings, 1),
            sent: vec![],
            answers: vec![],
            cancelled: vec![],
            time_left: seconds(1.0),
        };
        fixture.handle_list(now, ListKind::Saved, 0, &[("a", "1.1.1.1:1", 0, NodeState::Ready)]);
        fixture
    }

    fn handle_list(
        &mut self,
        now: Instant,
        kind: ListKind,
        version: u64,
        entries: &[(&str, &str, u32, NodeState)],
    ) {
        let entry = |(id, address, shard, state): &(&str, &str, u32, NodeState)| ListEntry {
            id: id.to_string(),
            address: address.to_string(),
            state: *state,
            zone: ZoneId(0),
            shard: ShardId(*shard),
            start: None,
        };
        let entries: Vec<ListEntry> = entries.iter().map(entry).collect();
        let from = self.core.list_version();
        self.core.handle_endpoint_list(now, kind, from, version, &entries);
        self.poll_outputs(now);
    }

    fn submit(&mut self, now: Instant, command: u32, traffic_class: u32, volume: u64) {
        self.submit_under_plan(0, now, command, traffic_class, volume);
    }

    fn submit_under_plan(&mut self, plan: u32, now: Instant, command: u32, traffic_class: u32, volume: u64) {
        let request = ObjectRequest {
            volume,
            plan: PlanId(plan),
            traffic_class: TrafficClassId(traffic_class),
            shard: Some(ShardId(0)),
            key: u64::from(command),
            units: 1.0,
            hosts: 1,
            time_left: self.time_left,
            payload: OpaqueRequest { head: Bytes::from_static(b"head"), body: Bytes::from_static(b"body") },
        };
        self.core.handle_object_request(now, CommandId { session: command, command }, request);
        self.poll_outputs(now);
    }

    fn poll_outputs(&mut self, now: Instant) {
        self.core.handle_timeout(now);
        while let Some(output) = self.core.poll_output(now) {
            match output {
                Output::Send(attempt) => self.sent.push(*attempt),
                Output::Answer { to, verdict } => self.answers.push((to.command, verdict)),
                Output::Cancel { attempt, .. } | Output::Cut { attempt, .. } => self.cancelled.push(attempt),
                _ => {}
            }
        }
    }

    fn run_for(&mut self, from: Instant, secs: f64) -> Instant {
        let end = from + seconds(secs);
        while let Some(timeout) = self.core.poll_timeout(from).filter(|timeout| *timeout <= end) {
            self.poll_outputs(timeout);
        }
        self.poll_outputs(end);
        end
    }

    fn write(&mut self) -> AttemptId {
        let attempt = self.sent.pop().expect("an attempt is in flight");
        assert!(attempt.ticket.claim());
        attempt.ticket.mark_written();
        attempt.attempt
    }

    fn finish_attempt(&mut self, now: Instant, attempt: AttemptId, outcome: Outcome, data: &'static [u8]) {
        let data = Bytes::from_static(data);
        self.core.handle_attempt_result(
            now,
            AttemptResult { attempt, outcome, waiting: Some(1), peer_units: Some(0.0), data },
        );
        self.poll_outputs(now);
    }
}

/// Object requests are opaque to the host, so it must change neither their bytes nor those of their answers.
#[test]
fn an_object_request_and_its_answer_pass_unchanged() {
    let mut fixture = Fixture::new(8, 8, 8);
    fixture.submit(at(10.0), 1, 1, 77);
    let AttemptWork::Opaque(request) = &fixture.sent[0].work else { panic!("{:?}", fixture.sent[0].work) };
    assert_eq!((&request.head[..], &request.body[..]), (&b"head"[..], &b"body"[..]));
    assert_eq!(fixture.sent[0].deadline, at(11.0));
    let attempt = fixture.write();
    fixture.finish_attempt(at(10.1), attempt, Outcome::Done, b"any length");
    assert_eq!(fixture.answers, [(1, Verdict::Done { data: Bytes::from_static(b"any length") })]);
    assert_eq!(fixture.core.open_counts(), OpenCounts::default());
}

/// An attempt fails, and may or may not have run. A non-idempotent request that runs a second time could take effect twice.
#[test]
fn an_attempt_that_may_have_run_is_retried_only_if_that_is_safe() {
    // The outcome of the first attempt, and for each effect whether the request is retried or how it is answered.
    let cases = [
        (Outcome::Error, ["retried", "failed", "failed"]),
        (Outcome::Reset, ["retried", "failed", "failed"]),
        (Outcome::Refused, ["retried", "retried", "retried"]),
        (Outcome::Full, ["retried", "retried", "retried"]),
    ];
    for (outcome, expected) in cases {
        for (traffic_class, expected) in expected.into_iter().enumerate() {
            let mut fixture = Fixture::new(8, 8, 8);
            fixture.submit(at(10.0), 1, traffic_class as u32, 77);
            let attempt = fixture.write();
            fixture.finish_attempt(at(10.01), attempt, outcome, b"");
            fixture.run_for(at(10.01), 0.1);
            let found = match (&fixture.answers[..], fixture.sent.len()) {
                ([], 1) => "retried",
                ([(1, Verdict::Failed)], 0) => "failed",
                ([(1, Verdict::Rejected { .. })], 0) => "rejected",
                other => panic!("{outcome:?} {traffic_class}: {other:?}"),
            };
            assert_eq!(found, expected, "{outcome:?}, effect {traffic_class}");
        }
    }
}

/// More requests arrive than the tables hold, and the node never answers. Each client must get one answer by its deadline.
#[test]
fn each_request_gets_one_answer_by_its_deadline_and_full_tables_give_a_retry_after() {
    let mut fixture = Fixture::new(4, 8, 2);
    let mut now = at(10.0);
    for command in 0..20 {
        fixture.submit(now, command, 0, u64::from(command % 5));
    }
    let early = fixture.answers.len();
    assert!(early >= 12, "the tables hold four requests, and {early} were answered at once");
    let has_retry_after = |verdict: &Verdict| matches!(verdict, Verdict::Rejected { retry_after: Some(wait) } if *wait > TimeDelta::ZERO);
    assert!(fixture.answers.iter().all(|(_, verdict)| has_retry_after(verdict)), "{:?}", fixture.answers);
    // The open requests end at their deadlines, and their attempts are cancelled.
    let claimed = fixture.sent.drain(..).filter(|attempt| attempt.ticket.claim()).count();
    now = fixture.run_for(now, 1.2);
    let mut ids: Vec<u32> = fixture.answers.iter().map(|(command, _)| *command).collect();
    ids.sort();
    assert_eq!(ids, (0..20).collect::<Vec<_>>(), "not one answer for each request");
    assert!(fixture.cancelled.len() >= claimed);
    assert_eq!(fixture.core.open_counts(), OpenCounts::default());
    // The least recently used volume is evicted.
    fixture.submit(now, 30, 0, 99);
    assert_eq!(fixture.sent.len(), 1);
}

/// Clients name a new volume in each request. The state of all of them would fill the memory of the host, and each new one would make the
/// scheduler search the others.
#[test]
fn the_scheduler_forgets_volumes_that_lost_their_number() {
    let mut fixture = Fixture::new(64, 8, 16);
    for command in 0..2_000 {
        let now = at(10.0 + f64::from(command) * 0.001);
        fixture.submit(now, command, 0, u64::from(command));
        let attempt = fixture.write();
        fixture.finish_attempt(now, attempt, Outcome::Done, b"");
        assert!(fixture.core.volume_count() <= 17, "{} volumes", fixture.core.volume_count());
    }
}

/// Between any two requests of a volume with a limit, clients name so many new volumes that it would lose its number. If it began anew each
/// time, it would use a part of its slack each time, and exceed its limit.
#[test]
fn a_volume_does_not_exceed_its_limit_while_clients_name_new_volumes() {
    let mut fixture = Fixture::new(64, 8, 16);
    let (mut command, mut used) = (0, 0.0);
    for step in 0..500 {
        let now = at(10.0 + f64::from(step) * 0.01);
        for volume in [7].into_iter().chain((0..20).map(|i| 1_000 + step as u64 * 20 + i)) {
            command += 1;
            let plan = u32::from(volume == 7);
            fixture.submit_under_plan(plan, now, command, 0, volume);
            while !fixture.sent.is_empty() {
                let attempt = fixture.write();
                used += if volume == 7 { 1.0 } else { 0.0 };
                fixture.finish_attempt(now, attempt, Outcome::Done, b"");
            }
        }
    }
    let Plan { limit, slack, .. } = LIMITED_PLAN;
    assert!(used <= limit * 5.0 + slack, "{used} units in 5 s");
    assert!(used >= limit * 4.0, "{used} units in 5 s");
}

/// A node moves to another address, and other nodes are replaced repeatedly under new ids. The state of the moved node must be kept, and
/// the table must not grow.
#[test]
fn a_node_keeps_its_number_when_it_moves_and_replaced_nodes_are_evicted() {
    let mut fixture = Fixture::new(8, 100, 8);
    let number = fixture.core.nodes().number("a").unwrap();
    fixture.handle_list(at(11.0), ListKind::Changes, 1, &[("a", "2.2.2.2:2", 0, NodeState::Ready)]);
    assert_eq!(fixture.core.nodes().address(number), Some("2.2.2.2:2"));
    for i in 0..500u32 {
        let (new, old) = (format!("n{}", i + 1), format!("n{i}"));
        let entries = [(&*new, "3.3.3.3:3", 1, NodeState::Ready), (&*old, "3.3.3.3:3", 1, NodeState::Gone)];
        fixture.handle_list(at(12.0 + f64::from(i)), ListKind::Changes, u64::from(i) + 2, &entries);
        assert!(fixture.core.nodes().entries().count() <= 2 + 64 + 1);
    }
    assert!(fixture.core.nodes().number("n500").is_some() && fixture.core.nodes().number("n3").is_none());
    assert_eq!(fixture.core.nodes().number("a"), Some(number));
}

/// A node fails each attempt at once, the client waits for ten minutes, and the settings do not limit the attempts. An attempt id has 8
/// bits for the attempt's number, so the 257th attempt would have the id of the first, and its answer would be dropped as a late one. The
/// request must be answered after 256 attempts.
#[test]
fn a_request_has_no_more_attempts_than_their_ids_distinguish() {
    let mut fixture = Fixture::with_attempts(u32::MAX, seconds(600.0), 8, 8, 8);
    fixture.time_left = seconds(600.0);
    let mut now = at(10.0);
    fixture.submit(now, 1, 0, 77);
    let mut ids = BTreeSet::new();
    while fixture.answers.is_empty() {
        assert!(now < at(600.0), "no answer after {} attempts", ids.len());
        if fixture.sent.is_empty() {
            now = fixture.run_for(now, 0.1);
            continue;
        }
        let attempt = fixture.write();
        assert!(ids.insert(attempt), "attempt {} has the id of an earlier one", ids.len());
        fixture.finish_attempt(now, attempt, Outcome::Error, b"");
    }
    assert_eq!(ids.len(), 256);
    assert!(matches!(fixture.answers[..], [(1, Verdict::Rejected { .. })]), "{:?}", fixture.answers);
}
