//! Tests of the host core in virtual time. The tests decide when connections write and what nodes answer.

use bytes::Bytes;
use tackmast::interface::*;
use tackmast_config::HostSettings;
use tackmast_host_core::*;

const SETTINGS: &str = r#"
host {
  number = 0
  hosts = 1
  listen = "127.0.0.1:0"
  node_list = "127.0.0.1:1"
  answer_lead_ms = 0
}
bounds {
  transfers = 12
  nodes = 4
}
load {
  longest_wait_s = 1
  settle_s = 0.2
}
units {
  bytes = 4096
  most = 8
  mean = 1
}
plan "basic" {}
stream "read" {
  slo_ms = 200
  expiry_ms = 1000
  effect = "repeatable"
}
stream "once" {
  slo_ms = 200
  expiry_ms = 1000
  effect = "unrepeatable"
}
volume "v" {
  lun = 1
  plan = "basic"
  blocks = 10000
  extent_blocks = 10
  shards = [0, 1]
  hosts = 1
  reads = "read"
  writes = "once"
}
"#;

struct Fixture {
    core: Core,
    now: Instant,
    sent: Vec<SendAttempt>,
    answers: Vec<(u32, Verdict)>,
    other: Vec<Output>,
}

fn seconds(secs: f64) -> TimeDelta {
    TimeDelta::from_secs(secs)
}

fn entry(address: &str, shard: u32, state: NodeState) -> ListEntry {
    ListEntry {
        id: address.into(),
        address: address.into(),
        state,
        zone: ZoneId(0),
        shard: ShardId(shard),
        start: None,
    }
}

impl Fixture {
    fn new() -> Fixture {
        Fixture::with_settings(SETTINGS)
    }

    fn with_settings(text: &str) -> Fixture {
        let settings = HostSettings::parse("test", text).unwrap();
        let now = Instant::from_secs(10.0);
        let core = Core::new(now, &settings, 1, 99);
        let mut fixture = Fixture { core, now, sent: vec![], answers: vec![], other: vec![] };
        fixture.poll_outputs();
        let both = [entry("a", 0, NodeState::Ready), entry("b", 1, NodeState::Ready)];
        fixture.core.handle_endpoint_list(fixture.now, ListKind::Complete, 0, 5, &both);
        fixture.poll_outputs();
        fixture.other.clear();
        fixture
    }

    fn poll_outputs(&mut self) {
        self.core.handle_timeout(self.now);
        while let Some(output) = self.core.poll_output(self.now) {
            match output {
                Output::Send(attempt) => self.sent.push(*attempt),
                Output::Answer { to, verdict } => self.answers.push((to.command, verdict)),
                other => self.other.push(other),
            }
        }
    }

    /// Advances the time, and calls the core at each of its timeouts.
    fn run_for(&mut self, secs: f64) {
        let end = self.now + seconds(secs);
        while let Some(timeout) = self.core.poll_timeout(self.now).filter(|timeout| *timeout <= end) {
            self.now = timeout.max(self.now + TimeDelta::from_secs(1e-6));
            self.poll_outputs();
        }
        self.now = end;
        self.poll_outputs();
    }

    fn submit(&mut self, command: u32, block: u64, blocks: u32, write: bool) {
        let data = Bytes::from(vec![command as u8; blocks as usize * 512]);
        let work = if write { Work::Write { data } } else { Work::Read { blocks } };
        let from = CommandId { session: 1, command };
        self.core.handle_command(
            self.now,
            ClientCommand {
                from,
                lun: 1,
                block,
                work,
                received_at: self.now,
                timeout: None,
                idempotency_key: None,
            },
        );
        self.poll_outputs();
    }

    fn finish_attempt(&mut self, attempt: AttemptId, outcome: Outcome, bytes: usize) {
        let data = Bytes::from(vec![1; bytes]);
        self.core.handle_attempt_result(
            self.now,
            AttemptResult { attempt, outcome, waiting: Some(0), peer_units: Some(0.0), data },
        );
        self.poll_outputs();
    }

    /// Writes all attempts sent so far, unless they were withdrawn, and returns their ids.
    fn write(&mut self) -> Vec<AttemptId> {
        let attempts = std::mem::take(&mut self.sent);
        let claimed = attempts.into_iter().filter(|attempt| attempt.ticket.claim());
        claimed.inspect(|attempt| attempt.ticket.mark_written()).map(|attempt| attempt.attempt).collect()
    }

    /// Makes a call of the endpoint list fail, and returns the version from which the next watch requests changes.
    fn watched_version_after_a_failure(&mut self) -> u64 {
        self.other.clear();
        self.core.handle_endpoint_list(self.now, ListKind::Failed, 0, 0, &[]);
        self.run_for(2.0);
        let watched = self.other.iter().find_map(|output| match output {
            Output::WatchEndpointList { since } => Some(*since),
            _ => None,
        });
        watched.expect("the list is watched again")
    }

    fn change_list(&mut self, from: u64, to: u64, entries: &[ListEntry]) {
        self.core.handle_endpoint_list(self.now, ListKind::Changes, from, to, entries);
        self.poll_outputs();
    }

    /// Returns the messages of the events so far, one per line.
    fn events(&self) -> String {
        let event = |output: &Output| match output {
            Output::Event(event) => Some(format!("{event}\n")),
            _ => None,
        };
        self.other.iter().filter_map(event).collect()
    }

    fn is_empty(&self) -> bool {
        self.core.open_counts() == OpenCounts::default()
    }
}

fn is_rejected(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Rejected { .. })
}

/// A read spans three extents, and its parts are answered in reverse order. The client must get one answer with the bytes in the order of
/// the blocks.
#[test]
fn a_command_over_three_extents_gets_one_answer_with_its_bytes_in_order() {
    let mut fixture = Fixture::new();
    fixture.submit(1, 5, 20, false);
    let attempts: Vec<(u64, AttemptWork, u16)> =
        fixture.sent.iter().map(|attempt| (attempt.offset, attempt.work.clone(), attempt.part)).collect();
    let read = |blocks: u32| AttemptWork::Read { length: blocks * 512 };
    assert_eq!(attempts.len(), 3);
    assert!(
        attempts.contains(&(2560, read(5), 0))
            && attempts.contains(&(5120, read(10), 1))
            && attempts.contains(&(10240, read(5), 2))
    );
    let mut in_flight = fixture.sent.clone();
    in_flight.sort_by_key(|attempt| std::cmp::Reverse(attempt.part));
    fixture.write();
    for (index, attempt) in in_flight.iter().enumerate() {
        assert!(fixture.answers.is_empty(), "answered before the last part");
        let data = Bytes::from(vec![attempt.part as u8; if attempt.part == 1 { 5120 } else { 2560 }]);
        let result = AttemptResult {
            attempt: attempt.attempt,
            outcome: Outcome::Done,
            waiting: None,
            peer_units: None,
            data,
        };
        fixture.core.handle_attempt_result(fixture.now, result);
        fixture.poll_outputs();
        assert_eq!(fixture.answers.len(), usize::from(index == 2));
    }
    let Verdict::Done { data } = &fixture.answers[0].1 else { panic!("{:?}", fixture.answers) };
    assert_eq!(data[..], [vec![0; 2560], vec![1; 5120], vec![2; 2560]].concat());
    assert!(fixture.is_empty());
}

/// A client sends more commands than the tables hold. If a command were dropped without an answer, its client would wait until the
/// deadline.
#[test]
fn commands_over_the_bound_are_rejected_with_a_retry_after_and_none_goes_unanswered() {
    let mut fixture = Fixture::new();
    (0..15).for_each(|i| fixture.submit(i, u64::from(i) * 10, 1, false));
    // Of the capacity of 12, a session may use four times and a volume eight times what is left free.
    let over: Vec<u32> = fixture.answers.iter().map(|(command, _)| *command).collect();
    assert_eq!(over, [9, 10, 11, 12, 13, 14]);
    for (_, verdict) in &fixture.answers {
        let Verdict::Rejected { retry_after: Some(wait) } = verdict else { panic!("{verdict:?}") };
        assert!(*wait > TimeDelta::ZERO, "{verdict:?}");
    }
    fixture.run_for(1.5);
    assert_eq!(
        (fixture.answers.len(), fixture.core.counters.commands_over_bound),
        (15, 6),
        "not one answer for each command"
    );
    assert!(fixture.is_empty());
}

/// A non-idempotent write times out either while its connection can't write, since the node reads nothing, or after it was written. Only a
/// write of which no byte was written is safe to retry.
#[test]
fn a_write_fails_only_if_a_byte_of_it_was_written() {
    for written in [false, true] {
        let mut fixture = Fixture::new();
        fixture.submit(1, 0, 1, true);
        let ticket = fixture.sent[0].ticket.clone();
        if written {
            fixture.write();
        }
        fixture.run_for(1.5);
        let [(1, verdict)] = fixture.answers.as_slice() else { panic!("{:?}", fixture.answers) };
        assert_eq!(is_rejected(verdict), !written, "written {written}: {verdict:?}");
        assert!(written || !ticket.claim(), "can still be written");
        assert!(fixture.is_empty(), "written {written}");
    }
}

/// A node drains while one attempt is written, one is partly written and one waits. An attempt that the node reads after the drain grace
/// period would run at a node that is about to stop.
#[test]
fn a_drain_withdraws_unwritten_attempts_and_cuts_stuck_ones() {
    let mut fixture = Fixture::new();
    (0..3).for_each(|i| fixture.submit(i, u64::from(i) * 20, 1, false));
    assert_eq!(fixture.sent.len(), 3, "all go to node a");
    // The first attempt is written, the second partly, and the third waits.
    let tickets: Vec<Ticket> = fixture.sent.iter().map(|attempt| attempt.ticket.clone()).collect();
    assert!(tickets[0].claim() && tickets[1].claim());
    tickets[0].mark_written();
    let stuck = fixture.sent[1].attempt;
    fixture.sent.clear();
    fixture.change_list(5, 6, &[entry("a", 0, NodeState::Draining)]);
    assert!(!tickets[2].claim(), "not withdrawn at once");
    assert!(fixture.other.is_empty(), "the others may continue for the grace period");
    fixture.run_for(0.2);
    let cuts: Vec<AttemptId> = fixture
        .other
        .iter()
        .filter_map(|output| match output {
            Output::Cut { attempt, .. } => Some(*attempt),
            _ => None,
        })
        .collect();
    assert_eq!(cuts, [stuck]);
    fixture.run_for(1.5);
    assert!(fixture.sent.is_empty(), "sent to a draining node");
    assert_eq!(fixture.answers.len(), 3);
    assert!(fixture.is_empty());
}

/// A node restarts while attempts wait for a connection to it, and reports its uptime when the connection is established. The host
/// withdraws the attempts, because they were meant for a warmed-up node. If they counted as failures, the node would be ejected and limited
/// to one attempt at a time before it had received any.
#[test]
fn a_restarted_node_is_not_ejected_for_attempts_that_the_host_withdrew() {
    // The reservation makes the host send eight attempts to a node that has not answered yet.
    let reserved = SETTINGS.replace("plan \"basic\" {}", "plan \"basic\" {\n  reserve = 1000\n}");
    let mut fixture = Fixture::with_settings(&reserved);
    (0..8).for_each(|i| fixture.submit(i, u64::from(i) * 20, 1, false));
    let withdrawn = std::mem::take(&mut fixture.sent);
    assert!(withdrawn.len() >= 6, "fewer attempts than failures that eject a node: {}", withdrawn.len());
    let node = withdrawn[0].node;
    fixture.core.handle_node_uptime(fixture.now, node, seconds(1.0));
    assert!(withdrawn.iter().all(|attempt| !attempt.ticket.claim()), "not all are withdrawn");
    fixture.run_for(0.5);
    assert!(!fixture.events().contains("node unhealthy"), "{}", fixture.events());
}

/// A client aborts a command, and then its session closes while attempts are in flight. The nodes must be told that nobody waits for the
/// answers.
#[test]
fn attempts_of_aborted_commands_are_cancelled_and_the_client_gets_no_answer() {
    let mut fixture = Fixture::new();
    fixture.submit(1, 0, 1, false);
    fixture.submit(2, 0, 1, false);
    let attempts = fixture.write();
    fixture.core.handle_abort(fixture.now, CommandId { session: 1, command: 1 });
    fixture.poll_outputs();
    assert!(matches!(fixture.other.as_slice(), [Output::Cancel { attempt, .. }] if *attempt == attempts[0]));
    fixture.core.handle_session_closed(fixture.now, 1);
    fixture.poll_outputs();
    assert_eq!((fixture.other.len(), fixture.core.counters.commands_aborted), (2, 2));
    // The attempts stay in the tables until they have ended.
    assert_eq!(fixture.core.open_counts(), OpenCounts { commands: 0, requests: 2, attempts: 2 });
    fixture.finish_attempt(attempts[0], Outcome::Done, 512);
    fixture.finish_attempt(attempts[1], Outcome::Full, 0);
    assert!(fixture.is_empty() && fixture.answers.is_empty());
}

/// A node answers a read with too few bytes, and then answers the same attempt again. Neither answer may reach the client.
#[test]
fn a_short_or_repeated_answer_is_not_accepted() {
    let mut fixture = Fixture::new();
    fixture.submit(1, 0, 2, false);
    let attempts = fixture.write();
    fixture.finish_attempt(attempts[0], Outcome::Done, 512);
    assert!(fixture.answers.is_empty(), "answered with fewer than the requested 1024 bytes");
    assert_eq!(fixture.core.counters.short_answers, 1);
    fixture.finish_attempt(attempts[0], Outcome::Done, 1024);
    assert_eq!((fixture.answers.len(), fixture.core.counters.late_results), (0, 1));
    fixture.run_for(0.1);
    let retries = fixture.write();
    assert_eq!(retries.len(), 1, "an idempotent read is retried");
    fixture.finish_attempt(retries[0], Outcome::Done, 1024);
    assert!(matches!(fixture.answers.as_slice(), [(1, Verdict::Done { .. })]));
    assert!(fixture.is_empty());
}

/// One part of a non-idempotent write is rejected, and the other part is either done before or never sent. The command is safe to retry
/// only if no part ran.
#[test]
fn a_rejected_part_decides_the_answer_of_the_whole_command() {
    for first_done in [true, false] {
        let mut fixture = Fixture::new();
        fixture.change_list(5, 6, &[entry("b", 1, NodeState::Draining)]);
        fixture.submit(1, 8, 4, true);
        assert_eq!(fixture.sent.len(), 1, "the part at b waits");
        if first_done {
            let attempts = fixture.write();
            fixture.finish_attempt(attempts[0], Outcome::Done, 0);
        }
        fixture.run_for(1.5);
        let [(1, verdict)] = fixture.answers.as_slice() else { panic!("{:?}", fixture.answers) };
        assert_eq!(is_rejected(verdict), !first_done, "{verdict:?}");
        assert!(fixture.is_empty());
    }
}

/// The watch of the endpoint list misses changes. A drain among the later changes must take effect at once, and the complete list must be
/// fetched to get the missing ones.
#[test]
fn changes_after_a_gap_apply_and_the_complete_list_is_fetched() {
    let mut fixture = Fixture::new();
    fixture.change_list(5, 6, &[]);
    assert!(fixture.other.is_empty());
    fixture.change_list(8, 9, &[entry("a", 0, NodeState::Draining)]);
    assert!(matches!(fixture.other.as_slice(), [Output::FetchEndpointList]));
    fixture.submit(1, 0, 1, false);
    assert!(fixture.sent.is_empty(), "sent to a draining node");
    // The complete list no longer contains b, and c serves its shard.
    let entries = [entry("a", 0, NodeState::Ready), entry("c", 1, NodeState::Ready)];
    fixture.core.handle_endpoint_list(fixture.now, ListKind::Complete, 0, 12, &entries);
    fixture.poll_outputs();
    fixture.submit(2, 10, 1, false);
    let nodes: Vec<&str> =
        fixture.sent.iter().map(|attempt| fixture.core.nodes().address(attempt.node).unwrap()).collect();
    assert_eq!(nodes, ["a", "c"]);
}

/// Changes are missing, and the fetch of the complete list fails. The next watch must request the complete list. A watch from the version
/// of the last change would never return the missing changes, and a node that drains by them would continue to receive requests.
#[test]
fn watch_asks_for_the_complete_list_until_one_is_received_after_a_gap() {
    let mut fixture = Fixture::new();
    fixture.change_list(8, 9, &[]);
    // Later changes without a gap do not contain the missing ones.
    fixture.change_list(9, 10, &[]);
    assert_eq!(fixture.watched_version_after_a_failure(), 0);
    let both = [entry("a", 0, NodeState::Ready), entry("b", 1, NodeState::Ready)];
    fixture.core.handle_endpoint_list(fixture.now, ListKind::Complete, 0, 12, &both);
    assert_eq!(fixture.watched_version_after_a_failure(), 12);
}

/// The list contains more nodes than the table holds. Operators must be able to see that some nodes are not used.
#[test]
fn nodes_over_the_bound_are_reported() {
    let mut fixture = Fixture::new();
    let entries: Vec<ListEntry> = (0..4).map(|i| entry(&format!("n{i}"), i, NodeState::Ready)).collect();
    fixture.change_list(5, 6, &entries);
    assert_eq!(fixture.core.counters.nodes_over_bound, 2);
    let reported = fixture
        .other
        .iter()
        .filter(|output| {
            matches!(output, Output::Event(HostEvent::EndpointList(EndpointListEvent::NodeTableFull { .. })))
        })
        .count();
    assert_eq!(reported, 2);
}

/// A host shuts down with open commands. Each must be answered according to what may have run, and new commands must be rejected, so that
/// their clients go to another host.
#[test]
fn a_host_that_shuts_down_rejects_new_commands_and_answers_open_ones() {
    let mut fixture = Fixture::new();
    // A read and two non-idempotent writes are open. One write was written, the other waits in its connection.
    fixture.submit(1, 0, 1, false);
    fixture.submit(2, 20, 1, true);
    let attempts = fixture.write();
    fixture.submit(3, 40, 1, true);
    fixture.core.drain();
    fixture.submit(4, 60, 1, false);
    assert!(matches!(fixture.answers.as_slice(), [(4, Verdict::Rejected { retry_after: Some(_) })]));
    fixture.finish_attempt(attempts[0], Outcome::Done, 512);
    assert!(matches!(fixture.answers[1], (1, Verdict::Done { .. })), "an open command was not continued");
    fixture.core.close_open_commands(fixture.now);
    fixture.poll_outputs();
    assert_eq!(fixture.answers[2], (2, Verdict::Failed));
    assert!(matches!(fixture.answers[3], (3, Verdict::Rejected { .. })), "failed without a byte written");
    assert_eq!(fixture.core.open_counts().commands, 0);
    fixture.run_for(1.5);
    assert!(fixture.is_empty() && fixture.answers.len() == 4);
}

/// One session queues a thousand commands before two others send a few. Served in order of arrival, the others would wait for all of them.
#[test]
fn a_session_with_many_commands_waits_behind_the_first_commands_of_others() {
    let settings =
        HostSettings::parse("test", &SETTINGS.replace("transfers = 12", "transfers = 4000")).unwrap();
    let now = Instant::from_secs(10.0);
    let mut core = Core::new(now, &settings, 1, 99);
    core.handle_endpoint_list(now, ListKind::Complete, 0, 5, &[entry("a", 0, NodeState::Ready)]);
    let mut submit = |session: u32, command: u32| {
        let from = CommandId { session, command };
        core.handle_command(
            now,
            ClientCommand {
                from,
                lun: 1,
                block: u64::from(command % 10),
                work: Work::Read { blocks: 1 },
                received_at: now,
                timeout: None,
                idempotency_key: None,
            },
        );
    };
    (0..1000).for_each(|command| submit(1, command));
    (0..3).for_each(|command| submit(2, command));
    submit(3, 0);
    let (mut order, mut time) = (Vec::new(), now);
    for _ in 0..30 {
        let mut in_flight = Vec::new();
        while let Some(output) = core.poll_output(time) {
            if let Output::Send(attempt) = output {
                order.push(attempt.from.session);
                in_flight.push(attempt.attempt);
            }
        }
        time = time + seconds(0.001);
        for attempt in in_flight {
            let (outcome, data) = (Outcome::Done, Bytes::from(vec![0; 512]));
            core.handle_attempt_result(
                time,
                AttemptResult { attempt, outcome, waiting: Some(0), peer_units: Some(0.0), data },
            );
        }
    }
    let last_other = order.iter().rposition(|session| *session != 1).unwrap();
    assert!(last_other <= 8 && order.len() > 50, "{order:?}");
    core.handle_session_closed(time, 1);
    assert_eq!(core.fair_queue_counts(), FairQueueCounts::default());
}

/// A node restarts while an override is active, or another node gets its address. The override may not be meant for the node that runs
/// there now, so the explanation must report it.
#[test]
fn an_explanation_names_an_override_under_which_its_node_restarted() {
    use tackmast_overrides::{Kind, OverrideRequest, Overrides, Settings, Target};
    let address = "10.0.0.1:9003";
    // The start of the node in seconds, where the override is set at 10 s, and whether the override is reported.
    for (start, is_reported) in [(5.0, false), (12.0, true)] {
        let mut fixture = Fixture::new();
        let (overrides, _) = Overrides::new(
            fixture.now,
            10_000_000,
            Settings { max_overrides: 10, max_zone_fraction: 1.0 },
            Vec::new(),
            1,
        );
        fixture.core.enable_overrides(fixture.now, overrides, PersistBatch::default());
        let override_request = OverrideRequest {
            target: Target::Node(address.parse().unwrap()),
            kind: Kind::Weight(0.5),
            reason: "r".into(),
            who: "w".into(),
            seconds: 60.0,
            origin: None,
        };
        fixture.core.handle_admin_request(
            fixture.now,
            1,
            AdminRequest::Set { override_request, force: false, dry_run: false, if_version: None },
        );
        fixture.core.handle_persisted(fixture.now, 1, Ok(()));
        fixture.now = Instant::from_secs(20.0);
        let uptime = TimeDelta::from_secs(20.0 - start);
        let start = Some(NodeStart { id: 7, age: Age::ByListClock(uptime) });
        fixture.change_list(5, 6, &[ListEntry { start, ..entry(address, 0, NodeState::Ready) }]);
        fixture.other.clear();
        fixture.core.handle_admin_request(
            fixture.now,
            2,
            AdminRequest::Explain { address: address.parse().unwrap() },
        );
        fixture.poll_outputs();
        let response = fixture.other.iter().find_map(|output| match output {
            Output::AdminResponse { response: AdminResponse::Explain(explanation), .. } => {
                Some(explanation.clone())
            }
            _ => None,
        });
        let explanation = response.expect("an explanation");
        assert_eq!(explanation.up_s.map(f64::round), Some(uptime.secs().round()));
        assert_eq!(!explanation.restarted_under().is_empty(), is_reported, "{explanation:?}");
    }
}

/// Returns the reason if the host has answered the request with this number as unavailable.
fn unavailable_reason(fixture: &Fixture, number: u64) -> Option<&str> {
    fixture.other.iter().find_map(|output| match output {
        Output::AdminResponse { request, response: AdminResponse::Unavailable { why } }
            if *request == number =>
        {
            Some(why.as_str())
        }
        _ => None,
    })
}

/// An operator sends a request that needs a settings block which the host does not have. The response must not look as if the store had
/// failed to write a change.
#[test]
fn request_without_its_block_is_unavailable() {
    use tackmast_overrides::{Overrides, Settings};
    let mut fixture = Fixture::new();
    fixture.core.handle_admin_request(fixture.now, 1, AdminRequest::List);
    let bounds = Settings { max_overrides: 10, max_zone_fraction: 1.0 };
    let (overrides, _) = Overrides::new(fixture.now, 10_000_000, bounds, Vec::new(), 1);
    fixture.core.enable_overrides(fixture.now, overrides, PersistBatch::default());
    fixture.core.handle_admin_request(fixture.now, 2, AdminRequest::Plan(PlanRequest::Show));
    fixture.poll_outputs();
    let reason = |number| unavailable_reason(&fixture, number);
    assert_eq!(reason(1), Some("this host has no overrides block in its settings"));
    assert_eq!(reason(2), Some("this host has no plans block in its settings"));
}

/// Scripts set overrides faster than the store writes them. The response to a request that finds the queue full must say that it was not
/// processed and can be retried.
#[test]
fn override_that_finds_the_queue_full_is_unavailable() {
    use tackmast_overrides::{Kind, OverrideRequest, Overrides, Settings, Target};
    const MAX_QUEUED: u64 = 256;
    let mut fixture = Fixture::new();
    let bounds = Settings { max_overrides: 1000, max_zone_fraction: 1.0 };
    let (overrides, _) = Overrides::new(fixture.now, 10_000_000, bounds, Vec::new(), 1);
    fixture.core.enable_overrides(fixture.now, overrides, PersistBatch::default());
    let override_request = OverrideRequest {
        target: Target::Node("10.0.0.1:9003".parse().unwrap()),
        kind: Kind::Weight(0.5),
        reason: "r".into(),
        who: "w".into(),
        seconds: 60.0,
        origin: None,
    };
    let set = AdminRequest::Set { override_request, force: false, dry_run: false, if_version: None };
    // One request is being written, and the queue is full behind it.
    let first_too_many = 1 + MAX_QUEUED + 1;
    for number in 1..=first_too_many {
        fixture.core.handle_admin_request(fixture.now, number, set.clone());
    }
    fixture.poll_outputs();
    let expected = "256 changes of overrides wait already; try again later";
    assert_eq!(unavailable_reason(&fixture, first_too_many), Some(expected));
    assert_eq!(unavailable_reason(&fixture, first_too_many - 1), None);
}
