//! The host core alone, in virtual time: no sockets, links that do as the test says.

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

struct Rig {
    core: Core,
    now: Instant,
    sent: Vec<SendAttempt>,
    answers: Vec<(u32, Verdict)>,
    other: Vec<Output>,
}

fn s(secs: f64) -> TimeDelta {
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

impl Rig {
    fn new() -> Rig {
        let settings = HostSettings::parse("test", SETTINGS).unwrap();
        let now = Instant::from_secs(10.0);
        let core = Core::new(now, &settings, 1, 99);
        let mut rig = Rig { core, now, sent: vec![], answers: vec![], other: vec![] };
        rig.pull();
        let both = [entry("a", 0, NodeState::Ready), entry("b", 1, NodeState::Ready)];
        rig.core.handle_endpoint_list(rig.now, ListKind::Complete, 0, 5, &both);
        rig.pull();
        rig.other.clear();
        rig
    }

    fn pull(&mut self) {
        self.core.handle_timeout(self.now);
        while let Some(o) = self.core.poll_output(self.now) {
            match o {
                Output::Send(attempt) => self.sent.push(*attempt),
                Output::Answer { to, verdict } => self.answers.push((to.command, verdict)),
                other => self.other.push(other),
            }
        }
    }

    /// Lets time pass, stopping whenever the core wants to be woken.
    fn pass(&mut self, secs: f64) {
        let until = self.now + s(secs);
        while let Some(t) = self.core.poll_timeout(self.now).filter(|t| *t <= until) {
            self.now = t.max(self.now + TimeDelta::from_secs(1e-6));
            self.pull();
        }
        self.now = until;
        self.pull();
    }

    fn ask(&mut self, command: u32, block: u64, blocks: u32, write: bool) {
        let data = Bytes::from(vec![command as u8; blocks as usize * 512]);
        let work = if write { Work::Write { data } } else { Work::Read { blocks } };
        let from = CommandRef { session: 1, command };
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
        self.pull();
    }

    fn back(&mut self, attempt: AttemptId, outcome: Outcome, bytes: usize) {
        let data = Bytes::from(vec![1; bytes]);
        self.core.handle_attempt_result(
            self.now,
            AttemptResult { attempt, outcome, waiting: Some(0), elsewhere: Some(0.0), data },
        );
        self.pull();
    }

    /// The link writes all that it was given.
    fn write(&mut self) -> Vec<AttemptId> {
        let attempts = std::mem::take(&mut self.sent);
        let claimed = attempts.into_iter().filter(|l| l.ticket.claim());
        claimed.inspect(|l| l.ticket.written()).map(|l| l.attempt).collect()
    }

    fn list(&mut self, from: u64, to: u64, entries: &[ListEntry]) {
        self.core.handle_endpoint_list(self.now, ListKind::Changes, from, to, entries);
        self.pull();
    }

    fn is_empty(&self) -> bool {
        self.core.open_counts() == OpenCounts::default()
    }
}

fn rejected(v: &Verdict) -> bool {
    matches!(v, Verdict::Rejected { .. })
}

#[test]
fn a_command_over_three_extents_is_one_answer_in_order() {
    let mut r = Rig::new();
    r.ask(1, 5, 20, false);
    let attempts: Vec<(u64, AttemptWork, u16)> =
        r.sent.iter().map(|l| (l.offset, l.work.clone(), l.part)).collect();
    let read = |blocks: u32| AttemptWork::Read { length: blocks * 512 };
    assert_eq!(attempts.len(), 3);
    assert!(
        attempts.contains(&(2560, read(5), 0))
            && attempts.contains(&(5120, read(10), 1))
            && attempts.contains(&(10240, read(5), 2))
    );
    let mut out = r.sent.clone();
    out.sort_by_key(|l| std::cmp::Reverse(l.part));
    r.write();
    for (i, l) in out.iter().enumerate() {
        assert!(r.answers.is_empty(), "not before the last part");
        let data = Bytes::from(vec![l.part as u8; if l.part == 1 { 5120 } else { 2560 }]);
        let back = AttemptResult {
            attempt: l.attempt,
            outcome: Outcome::Done,
            waiting: None,
            elsewhere: None,
            data,
        };
        r.core.handle_attempt_result(r.now, back);
        r.pull();
        assert_eq!(r.answers.len(), usize::from(i == 2));
    }
    let Verdict::Done { data } = &r.answers[0].1 else { panic!("{:?}", r.answers) };
    assert_eq!(data[..], [vec![0; 2560], vec![1; 5120], vec![2; 2560]].concat());
    assert!(r.is_empty());
}

#[test]
fn over_the_bound_is_deferred_with_a_time_and_nothing_is_lost() {
    let mut r = Rig::new();
    (0..15).for_each(|i| r.ask(i, u64::from(i) * 10, 1, false));
    // One session and one volume may hold four and eight times what they leave free of the twelve.
    let over: Vec<u32> = r.answers.iter().map(|(c, _)| *c).collect();
    assert_eq!(over, [9, 10, 11, 12, 13, 14]);
    for (_, v) in &r.answers {
        assert!(matches!(v, Verdict::Rejected { retry_after: Some(w) } if *w > TimeDelta::ZERO), "{v:?}");
    }
    r.pass(1.5);
    assert_eq!((r.answers.len(), r.core.counters.over_bound), (15, 6), "each gets one answer");
    assert!(r.is_empty());
}

#[test]
fn what_was_never_written_never_ran() {
    // An non-idempotent write whose attempt waits behind a node that takes no bytes, against one that was written.
    for written in [false, true] {
        let mut r = Rig::new();
        r.ask(1, 0, 1, true);
        let ticket = r.sent[0].ticket.clone();
        if written {
            r.write();
        }
        r.pass(1.5);
        let [(1, verdict)] = r.answers.as_slice() else { panic!("{:?}", r.answers) };
        assert_eq!(rejected(verdict), !written, "written {written}: {verdict:?}");
        assert!(written || !ticket.claim(), "and it can't leave any more");
        assert!(r.is_empty(), "written {written}");
    }
}

#[test]
fn a_drain_takes_back_what_waits_and_cuts_what_is_stuck() {
    let mut r = Rig::new();
    (0..3).for_each(|i| r.ask(i, u64::from(i) * 20, 1, false));
    assert_eq!(r.sent.len(), 3, "all at node a");
    // The first is written, the second half-way, the third waits.
    let tickets: Vec<Ticket> = r.sent.iter().map(|l| l.ticket.clone()).collect();
    assert!(tickets[0].claim() && tickets[1].claim());
    tickets[0].written();
    let stuck = r.sent[1].attempt;
    r.sent.clear();
    r.list(5, 6, &[entry("a", 0, NodeState::Draining)]);
    assert!(!tickets[2].claim(), "taken back at once");
    assert!(r.other.is_empty(), "the others have the grace");
    r.pass(0.2);
    let cuts: Vec<AttemptId> = r
        .other
        .iter()
        .filter_map(|o| match o {
            Output::Cut { attempt, .. } => Some(*attempt),
            _ => None,
        })
        .collect();
    assert_eq!(cuts, [stuck]);
    r.pass(1.5);
    assert!(r.sent.is_empty(), "nothing new to a node that drains");
    assert_eq!(r.answers.len(), 3);
    assert!(r.is_empty());
}

#[test]
fn a_client_that_left_is_owed_nothing_and_its_attempt_is_called_back() {
    let mut r = Rig::new();
    r.ask(1, 0, 1, false);
    r.ask(2, 0, 1, false);
    let attempts = r.write();
    r.core.handle_abort(r.now, CommandRef { session: 1, command: 1 });
    r.pull();
    assert!(matches!(r.other.as_slice(), [Output::Cancel { attempt, .. }] if *attempt == attempts[0]));
    r.core.handle_session_closed(r.now, 1);
    r.pull();
    assert_eq!((r.other.len(), r.core.counters.left), (2, 2));
    // The attempts still count until they are back.
    assert_eq!(r.core.open_counts(), OpenCounts { commands: 0, requests: 2, attempts: 2 });
    r.back(attempts[0], Outcome::Done, 512);
    r.back(attempts[1], Outcome::Full, 0);
    assert!(r.is_empty() && r.answers.is_empty());
}

#[test]
fn an_answer_that_is_too_short_or_comes_again_is_not_taken() {
    let mut r = Rig::new();
    r.ask(1, 0, 2, false);
    let attempts = r.write();
    r.back(attempts[0], Outcome::Done, 512);
    assert!(r.answers.is_empty(), "1024 bytes were asked for");
    assert_eq!(r.core.counters.short_answers, 1);
    r.back(attempts[0], Outcome::Done, 1024);
    assert_eq!((r.answers.len(), r.core.counters.strays), (0, 1));
    r.pass(0.1);
    let again = r.write();
    assert_eq!(again.len(), 1, "a repeatable read gets a retry");
    r.back(again[0], Outcome::Done, 1024);
    assert!(matches!(r.answers.as_slice(), [(1, Verdict::Done { .. })]));
    assert!(r.is_empty());
}

#[test]
fn a_rejected_part_settles_the_whole_command() {
    // An non-idempotent write of two parts: the second is turned away after the first was done, or was never sent.
    for first_done in [true, false] {
        let mut r = Rig::new();
        r.list(5, 6, &[entry("b", 1, NodeState::Draining)]);
        r.ask(1, 8, 4, true);
        assert_eq!(r.sent.len(), 1, "the part at b waits");
        if first_done {
            let attempts = r.write();
            r.back(attempts[0], Outcome::Done, 0);
        }
        r.pass(1.5);
        let [(1, verdict)] = r.answers.as_slice() else { panic!("{:?}", r.answers) };
        assert_eq!(rejected(verdict), !first_done, "{verdict:?}");
        assert!(r.is_empty());
    }
}

#[test]
fn changes_after_a_gap_count_and_the_complete_list_is_asked_for() {
    let mut r = Rig::new();
    r.list(5, 6, &[]);
    assert!(r.other.is_empty());
    r.list(8, 9, &[entry("a", 0, NodeState::Draining)]);
    assert!(matches!(r.other.as_slice(), [Output::FetchList]));
    r.ask(1, 0, 1, false);
    assert!(r.sent.is_empty(), "the drain is known");
    // A complete list that no longer names b: it is gone; c takes its shard.
    let now = [entry("a", 0, NodeState::Ready), entry("c", 1, NodeState::Ready)];
    r.core.handle_endpoint_list(r.now, ListKind::Complete, 0, 12, &now);
    r.pull();
    r.ask(2, 10, 1, false);
    let nodes: Vec<&str> = r.sent.iter().map(|l| r.core.nodes().address(l.node).unwrap()).collect();
    assert_eq!(nodes, ["a", "c"]);
}

#[test]
fn nodes_over_the_bound_are_told_of() {
    let mut r = Rig::new();
    let many: Vec<ListEntry> = (0..4).map(|i| entry(&format!("n{i}"), i, NodeState::Ready)).collect();
    r.list(5, 6, &many);
    assert_eq!(r.core.counters.nodes_over_bound, 2);
    let told = r
        .other
        .iter()
        .filter(|o| {
            matches!(o, Output::Event(HostEvent::EndpointList(EndpointListEvent::NodeTableFull { .. })))
        })
        .count();
    assert_eq!(told, 2);
}

#[test]
fn a_host_that_ends_rejects_what_comes_and_settles_what_is_open() {
    let mut r = Rig::new();
    // A read and two non-idempotent writes are open: one written, one that waits on its link.
    r.ask(1, 0, 1, false);
    r.ask(2, 20, 1, true);
    let attempts = r.write();
    r.ask(3, 40, 1, true);
    r.core.drain();
    r.ask(4, 60, 1, false);
    assert!(matches!(r.answers.as_slice(), [(4, Verdict::Rejected { retry_after: Some(_) })]));
    r.back(attempts[0], Outcome::Done, 512);
    assert!(matches!(r.answers[1], (1, Verdict::Done { .. })), "what is open goes on");
    r.core.close_open_commands(r.now);
    r.pull();
    assert_eq!(r.answers[2], (2, Verdict::Failed));
    assert!(matches!(r.answers[3], (3, Verdict::Rejected { .. })), "it never left");
    assert_eq!(r.core.open_counts().commands, 0);
    r.pass(1.5);
    assert!(r.is_empty() && r.answers.len() == 4);
}

#[test]
fn one_session_with_many_commands_stands_behind_the_first_of_each_other() {
    let settings =
        HostSettings::parse("test", &SETTINGS.replace("transfers = 12", "transfers = 4000")).unwrap();
    let now = Instant::from_secs(10.0);
    let mut core = Core::new(now, &settings, 1, 99);
    core.handle_endpoint_list(now, ListKind::Complete, 0, 5, &[entry("a", 0, NodeState::Ready)]);
    let mut ask = |session: u32, command: u32| {
        let from = CommandRef { session, command };
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
    (0..1000).for_each(|c| ask(1, c));
    (0..3).for_each(|c| ask(2, c));
    ask(3, 0);
    let (mut order, mut t) = (Vec::new(), now);
    for _ in 0..30 {
        let mut out = Vec::new();
        while let Some(o) = core.poll_output(t) {
            if let Output::Send(attempt) = o {
                order.push(attempt.from.session);
                out.push(attempt.attempt);
            }
        }
        t = t + s(0.001);
        for attempt in out {
            let (outcome, data) = (Outcome::Done, Bytes::from(vec![0; 512]));
            core.handle_attempt_result(
                t,
                AttemptResult { attempt, outcome, waiting: Some(0), elsewhere: Some(0.0), data },
            );
        }
    }
    let last_other = order.iter().rposition(|s| *s != 1).unwrap();
    assert!(last_other <= 8 && order.len() > 50, "{order:?}");
    core.handle_session_closed(t, 1);
    assert_eq!(core.fair_queue_counts(), FairQueueCounts::default());
}

#[test]
fn an_override_that_a_node_restarted_under_says_so() {
    use tackmast_overrides::{Kind, Order, Overrides, Settings, Target};
    let address = "10.0.0.1:9003";
    // When the node starts, against the override that is set at 10 s; whether it is told.
    for (start, told) in [(5.0, false), (12.0, true)] {
        let mut r = Rig::new();
        let (overrides, _) = Overrides::new(
            r.now,
            10_000_000,
            Settings { max_overrides: 10, max_zone_fraction: 1.0 },
            Vec::new(),
            1,
        );
        r.core.with_overrides(r.now, overrides, PersistBatch::default());
        let order = Order {
            target: Target::Node(address.parse().unwrap()),
            kind: Kind::Weight(0.5),
            reason: "r".into(),
            who: "w".into(),
            seconds: 60.0,
            origin: None,
        };
        r.core.handle_admin_request(
            r.now,
            1,
            AdminRequest::Set { order, force: false, dry_run: false, if_version: None },
        );
        r.core.handle_persisted(r.now, 1, Ok(()));
        r.now = Instant::from_secs(20.0);
        let up = TimeDelta::from_secs(20.0 - start);
        let start = Some(NodeStart { name: 7, age: Age::ByListClock(up) });
        r.list(5, 6, &[ListEntry { start, ..entry(address, 0, NodeState::Ready) }]);
        r.other.clear();
        r.core.handle_admin_request(r.now, 2, AdminRequest::Explain { address: address.parse().unwrap() });
        r.pull();
        let explained = r.other.iter().find_map(|o| match o {
            Output::AdminResponse { response: AdminResponse::Explain(e), .. } => Some(e.clone()),
            _ => None,
        });
        let e = explained.expect("an explanation");
        assert_eq!(e.up_s.map(f64::round), Some(up.secs().round()));
        assert_eq!(!e.restarted_under().is_empty(), told, "{e:?}");
    }
}
