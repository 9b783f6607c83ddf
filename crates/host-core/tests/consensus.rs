//! Hosts that agree on plans, in virtual time: what one without a lease goes by, floors that move in two steps, changes at any
//! host. The very cores, their datagrams passed on at once and their writes done at once.

use bytes::Bytes;
use std::net::SocketAddr;
use tackmast::interface::*;
use tackmast_config::HostSettings;
use tackmast_consensus::DiskIdentity;
use tackmast_host_core::*;
use tackmast_plans::{Change, Plan, Step};

const HOSTS: u32 = 4;

fn settings(host: u32, floor: &str) -> HostSettings {
    let text = format!(
        r#"
host {{
  number = {host}
  hosts = {HOSTS}
  listen = "127.0.0.1:0"
  node_list = "127.0.0.1:1"
  answer_lead_ms = 0
}}
load {{
  longest_wait_s = 1
}}
units {{
  bytes = 4096
  most = 8
  mean = 1
}}
plan "basic" {{
  limit = 200
  burst = 200
  slack = 8
  {floor}
}}
plan "free" {{ }}
stream "s" {{
  slo_ms = 200
  expiry_ms = 1000
  effect = "repeatable"
}}
volume "v" {{
  lun = 1
  plan = "basic"
  blocks = 10000
  extent_blocks = 64
  shards = [0]
  hosts = {HOSTS}
  through = [0, 1, 2, 3]
  reads = "s"
  writes = "s"
}}
volume "w" {{
  lun = 2
  plan = "free"
  blocks = 10000
  extent_blocks = 64
  shards = [0]
  hosts = {HOSTS}
  through = [0, 1, 2, 3]
  reads = "s"
  writes = "s"
}}
overrides {{
  store = "s"
  admin = "a"
}}
plans {{
  node_units = 500
}}
agreement {{
  voters = [0, 1, 2]
  lease_s = 1
  beat_ms = 50
  patience_ms = 300
}}
membership {{
  listen = "{listen}"
  fleet = "test"
  seeds = ["{seed}"]
  admit = ["10.0.0.0/8"]
  period_ms = 100
}}
"#,
        listen = address(host),
        seed = address(0),
    );
    HostSettings::parse("test", &text).unwrap()
}

fn address(host: u32) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host as u8 + 1], 7000))
}

struct Fleet {
    now: Instant,
    cores: Vec<Option<Core>>,
    /// Hosts that no datagram reaches, nor leaves.
    away: Vec<u32>,
    replies: Vec<(u32, u64, AdminResponse)>,
    answers: Vec<(u32, Verdict)>,
    attempts: Vec<(u32, SendAttempt)>,
    /// Hosts that asked their list service for all of it.
    fetches: Vec<u32>,
    floor: &'static str,
}

impl Fleet {
    fn new(hosts: &[u32], floor: &'static str) -> Fleet {
        let mut f = Fleet {
            now: Instant::from_secs(10.0),
            cores: (0..HOSTS).map(|_| None).collect(),
            away: Vec::new(),
            replies: Vec::new(),
            answers: Vec::new(),
            attempts: Vec::new(),
            fetches: Vec::new(),
            floor,
        };
        hosts.iter().for_each(|h| f.start(*h));
        f
    }

    fn start(&mut self, host: u32) {
        let s = settings(host, self.floor);
        let generation = 100 + u64::from(host);
        let mut core = Core::new(self.now, &s, generation, generation);
        let mut plans = Plans::new(self.now, &s, s.plans_live.as_ref().unwrap(), &[]).unwrap();
        plans.enable_consensus();
        let identity = DiskIdentity { disk: generation, boot: 1, generation };
        let start = ConsensusStart { identity, ..ConsensusStart::default() };
        core.with_consensus(ConsensusDriver::new(
            self.now,
            &s,
            s.consensus.as_ref().unwrap(),
            start,
            generation,
        ));
        core.with_plans(self.now, plans, StoredPlans::ChangeLog);
        let m = s.membership.as_ref().unwrap();
        let members =
            member_settings(&s, m, address(host), generation, PreviousExit::Unclean, generation, vec![]);
        core.with_peers(self.now, Peers::new(self.now, members));
        self.cores[host as usize] = Some(core);
        self.listed(host, ListKind::Complete, 5, NodeState::Ready);
    }

    /// What the list service tells a host of the one node.
    fn listed(&mut self, host: u32, kind: ListKind, version: u64, state: NodeState) {
        let list = [ListEntry {
            id: "a".into(),
            address: "a".into(),
            state,
            zone: ZoneId(0),
            shard: ShardId(0),
            start: None,
        }];
        let now = self.now;
        let from = if kind == ListKind::Complete { 0 } else { version - 1 };
        self.core(host).handle_endpoint_list(now, kind, from, version, &list);
    }

    fn pull(&mut self) {
        for _ in 0..20 {
            let mut letters = Vec::new();
            for (h, core) in (0..).zip(&mut self.cores) {
                let Some(core) = core else { continue };
                core.handle_timeout(self.now);
                while let Some(o) = core.poll_output(self.now) {
                    match o {
                        Output::Persist { request, .. } => core.handle_persisted(self.now, request, Ok(())),
                        Output::Datagram { to, bytes } => letters.push((h, to, bytes)),
                        Output::AdminResponse { request, response: reply } => {
                            self.replies.push((h, request, reply))
                        }
                        Output::Answer { verdict, .. } => self.answers.push((h, verdict)),
                        Output::Send(attempt) => self.attempts.push((h, *attempt)),
                        Output::FetchList => self.fetches.push(h),
                        _ => {}
                    }
                }
            }
            if letters.is_empty() {
                return;
            }
            for (from, to, bytes) in letters {
                let Some(h) = (0..HOSTS).find(|h| address(*h) == to) else { continue };
                if self.away.contains(&h) || self.away.contains(&from) {
                    continue;
                }
                if let Some(core) = &mut self.cores[h as usize] {
                    core.handle_datagram(self.now, address(from), bytes);
                }
            }
        }
    }

    fn run(&mut self, seconds: f64) {
        let end = self.now + TimeDelta::from_secs(seconds);
        while self.now < end {
            self.now = self.now + TimeDelta::from_secs(0.01);
            self.pull();
        }
    }

    fn core(&mut self, host: u32) -> &mut Core {
        self.cores[host as usize].as_mut().unwrap()
    }

    /// One read of a volume at a host; whether an attempt left, or its answer.
    fn read(&mut self, host: u32, lun: u32) -> Result<(), Verdict> {
        self.attempts.clear();
        self.answers.clear();
        let (now, from) = (self.now, CommandRef { session: 1, command: self.now.secs().to_bits() as u32 });
        self.core(host).handle_command(
            now,
            ClientCommand {
                from,
                lun,
                block: 0,
                work: Work::Read { blocks: 8 },
                received_at: now,
                timeout: None,
                idempotency_key: None,
            },
        );
        self.pull();
        let attempt = self.attempts.iter().find(|(h, _)| *h == host).map(|(_, l)| l.attempt);
        if let Some(attempt) = attempt {
            let data = Bytes::from(vec![0; 4096]);
            let back =
                AttemptResult { attempt, outcome: Outcome::Done, waiting: None, elsewhere: None, data };
            self.core(host).handle_attempt_result(now, back);
            self.pull();
            return Ok(());
        }
        let answer = self.answers.iter().find(|(h, _)| *h == host).map(|(_, v)| v.clone());
        Err(answer.unwrap_or(Verdict::Failed))
    }

    fn ask(&mut self, host: u32, ask: AdminRequest) -> AdminResponse {
        let now = self.now;
        self.replies.clear();
        self.core(host).handle_admin_request(now, 77, ask);
        for _ in 0..600 {
            self.run(0.01);
            if let Some((_, _, r)) = self.replies.iter().find(|(h, request, _)| (*h, *request) == (host, 77))
            {
                return r.clone();
            }
        }
        panic!("host {host}: no reply");
    }

    /// Asks a host for other figures of the plan; the change's version, or why not.
    fn plan(&mut self, host: u32, limit: f64, floor: Option<f64>) -> Result<u64, String> {
        let AdminResponse::Plan(PlanResponse::Shown(s)) =
            self.ask(host, AdminRequest::Plan(PlanRequest::Show))
        else {
            panic!()
        };
        let to = Plan { limit, burst: 200.0, slack: 8.0, reserve: 0.0, weight: 1.0, floor };
        let steps = vec![Step::Plan { name: "basic".into(), to: Some(to) }];
        let change = Change { base: s.catalogue.version, steps, who: "ann".into(), why: "test".into() };
        match self.ask(host, AdminRequest::Plan(PlanRequest::Apply { change, dry_run: false })) {
            AdminResponse::Plan(PlanResponse::Applied { version, .. }) => Ok(version),
            AdminResponse::Plan(PlanResponse::Refused { why }) => Err(why),
            other => panic!("{other:?}"),
        }
    }

    fn status(&mut self, host: u32) -> ConsensusStatus {
        match self.ask(host, AdminRequest::Consensus(ConsensusRequest::Status)) {
            AdminResponse::Consensus(ConsensusResponse::Status(s)) => *s,
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn a_host_without_a_lease_keeps_to_the_floor_and_goes_on_where_no_limit_may_come() {
    // The floor, and whether a host past its lease still sends of the limited volume.
    for (floor, sends) in [("", false), ("floor = 40", true)] {
        let mut f = Fleet::new(&[0, 1, 3], floor);
        f.run(2.0);
        // Nothing is agreed on before all who begin are there: no lease, in no generation.
        assert_eq!(f.status(3).lease, "never");
        assert_eq!(f.read(3, 1).is_ok(), sends, "{floor:?}: never a lease");
        assert_eq!(f.read(3, 2), Ok(()), "no limit may come to a plan without one");
        f.start(2);
        f.run(3.0);
        assert_eq!((f.status(3).lease, f.read(3, 1)), ("holds".into(), Ok(())), "{floor:?}");
        f.away = vec![3];
        f.run(0.3);
        assert_eq!(f.read(3, 1), Ok(()), "within its lease");
        f.run(1.5);
        let status = f.status(3);
        assert_eq!((status.lease.as_str(), status.degraded), ("past", true), "{floor:?}");
        match f.read(3, 1) {
            Ok(()) => assert!(sends),
            // At once, with when to come back.
            Err(v) => assert!(!sends && matches!(v, Verdict::Rejected { retry_after: Some(_) }), "{v:?}"),
        }
        assert_eq!(f.read(3, 2), Ok(()));
        f.away.clear();
        f.run(2.0);
        assert_eq!((f.status(3).degraded, f.read(3, 1)), (false, Ok(())), "{floor:?}: it has a lease again");
    }
}

#[test]
fn any_host_takes_changes_and_a_floor_moves_only_once_all_have_word_of_it() {
    let mut f = Fleet::new(&[0, 1, 2, 3], "floor = 100");
    f.run(3.0);
    // At a host that does not vote, down to the floor.
    assert_eq!(f.plan(3, 120.0, Some(100.0)), Ok(1));
    let why = f.plan(1, 50.0, Some(50.0)).unwrap_err();
    assert!(why.contains("floor that hosts past their lease go by"), "{why}");
    // The floor first; while one host has not got it the limit stays above.
    f.away = vec![3];
    assert_eq!(f.plan(1, 120.0, Some(20.0)), Ok(2));
    f.run(3.0);
    assert!(f.plan(0, 50.0, Some(20.0)).is_err(), "host 3 may still go by 100");
    f.away.clear();
    f.run(3.0);
    assert_eq!((f.status(0).acknowledged, f.status(3).version), (2, 2));
    assert_eq!(f.plan(2, 50.0, Some(20.0)), Ok(3));
    // Two operators at one version: one of them is told what moved.
    let AdminResponse::Plan(PlanResponse::Shown(s)) = f.ask(0, AdminRequest::Plan(PlanRequest::Show)) else {
        panic!()
    };
    assert_eq!((s.catalogue.version, s.stale), (3, false));
    let change = |who: &str, limit: f64| {
        let to = Plan { limit, burst: 200.0, slack: 8.0, reserve: 0.0, weight: 1.0, floor: Some(20.0) };
        let steps = vec![Step::Plan { name: "basic".into(), to: Some(to) }];
        AdminRequest::Plan(PlanRequest::Apply {
            change: Change { base: 3, steps, who: who.into(), why: "test".into() },
            dry_run: false,
        })
    };
    f.replies.clear();
    let now = f.now;
    f.core(1).handle_admin_request(now, 5, change("ann", 60.0));
    f.core(3).handle_admin_request(now, 6, change("bob", 70.0));
    f.run(1.0);
    let plans: Vec<_> = f.replies.iter().filter(|(_, r, _)| *r == 5 || *r == 6).map(|(_, _, r)| r).collect();
    let applied =
        plans.iter().filter(|r| matches!(r, AdminResponse::Plan(PlanResponse::Applied { .. }))).count();
    let conflicts = plans.iter().filter(
        |r| matches!(r, AdminResponse::Plan(PlanResponse::Refused { why }) if why.contains("plan basic")),
    );
    assert_eq!((applied, conflicts.count()), (1, 1), "{plans:?}");
    // All hosts hold the same.
    let digests: Vec<String> = (0..HOSTS)
        .map(|h| match f.ask(h, AdminRequest::Plan(PlanRequest::Show)) {
            AdminResponse::Plan(PlanResponse::Shown(s)) => s.digest,
            other => panic!("{other:?}"),
        })
        .collect();
    assert!(digests.iter().all(|d| *d == digests[0]), "{digests:?}");
}

#[test]
fn without_most_voters_nothing_is_agreed_on_and_reads_say_that_they_may_be_old() {
    let mut f = Fleet::new(&[0, 1, 2, 3], "");
    f.run(3.0);
    f.away = vec![0, 1];
    f.run(2.0);
    let AdminResponse::Plan(PlanResponse::Shown(s)) = f.ask(2, AdminRequest::Plan(PlanRequest::Show)) else {
        panic!()
    };
    assert!(s.stale);
    assert!(f.plan(3, 50.0, None).unwrap_err().contains("may hold all the same"));
    f.away.clear();
    f.run(3.0);
    // It was given up before it left: it does not hold.
    assert_eq!(f.status(3).version, 0);
    assert_eq!(f.plan(3, 60.0, None), Ok(1));
}

#[test]
fn what_one_host_is_told_as_draining_no_connected_host_chooses() {
    let mut f = Fleet::new(&[0, 1, 2, 3], "");
    f.run(3.0);
    assert_eq!(f.read(3, 2), Ok(()));
    f.fetches.clear();
    // Host 0 alone hears that the node drains; the others' watches are silent.
    f.listed(0, ListKind::Changes, 6, NodeState::Draining);
    f.run(1.0);
    for h in [1, 2, 3] {
        assert!(f.read(h, 2).is_err(), "host {h} chooses a node that host 0 was told is draining");
        assert!(f.fetches.contains(&h), "host {h} asks its service again");
    }
    // A service that goes back, to a host that held the newer list and to one that did not.
    for h in [0, 1] {
        f.listed(h, ListKind::Complete, 4, NodeState::Ready);
        f.run(0.5);
        assert!(f.read(h, 2).is_err(), "host {h}: an old list takes nothing back");
    }
    // One that is past it is its own word again, for all.
    (0..HOSTS).for_each(|h| f.listed(h, ListKind::Complete, 7, NodeState::Ready));
    // What was asked meanwhile has had its answers.
    f.run(1.5);
    for h in 0..HOSTS {
        assert_eq!(f.read(h, 2), Ok(()), "host {h}");
    }
}

#[test]
fn the_loss_of_most_voters_for_good_has_a_way_back_that_is_seen() {
    let mut f = Fleet::new(&[0, 1, 2, 3], "");
    f.run(3.0);
    assert_eq!(f.plan(3, 120.0, None), Ok(1));
    f.run(1.0);
    let by = |who: &str| (who.to_owned(), "two machines burnt".to_owned());
    let force =
        |who: &str| AdminRequest::Consensus(ConsensusRequest::Force { who: by(who).0, why: by(who).1 });
    let forget =
        |who: &str| AdminRequest::Consensus(ConsensusRequest::Forget { who: by(who).0, why: by(who).1 });
    let refused = |r: AdminResponse| matches!(r, AdminResponse::Consensus(ConsensusResponse::Refused { .. }));
    // Not while a leader is heard, and not without a name.
    assert!(refused(f.ask(2, force("ann"))) && refused(f.ask(2, force(" "))));
    f.away = vec![0, 1];
    f.run(0.5);
    assert!(refused(f.ask(2, force("ann"))), "a leader was heard a moment ago");
    f.run(5.0);
    let former = f.status(2).log;
    let AdminResponse::Consensus(ConsensusResponse::Done { log }) = f.ask(2, force("ann")) else { panic!() };
    f.run(3.0);
    let (two, three) = (f.status(2), f.status(3));
    assert_eq!((two.log, two.lease.as_str(), two.version), (log, "holds", 1));
    assert!(log != former && three.log == former && three.degraded, "host 3 keeps to the former log");
    assert!(matches!(f.ask(3, forget("ann")), AdminResponse::Consensus(ConsensusResponse::Done { log: 0 })));
    f.run(3.0);
    let three = f.status(3);
    assert_eq!((three.log, three.lease.as_str(), three.version, three.votes), (log, "holds", 1, false));
    assert_eq!(f.plan(3, 150.0, None), Ok(2));
    // The others were not gone: their majority goes on with its own log, and each host shows which it goes by.
    f.away.clear();
    f.run(3.0);
    let logs: Vec<u64> = (0..HOSTS).map(|h| f.status(h).log).collect();
    assert_eq!(logs, [former, former, log, log]);
    assert_eq!((f.status(0).version, f.status(3).version), (1, 2));
    // One of them is brought over, and made a voter.
    f.away = vec![1];
    f.run(5.0);
    assert!(matches!(f.ask(0, forget("bob")), AdminResponse::Consensus(ConsensusResponse::Done { .. })));
    f.run(3.0);
    let add = AdminRequest::Consensus(ConsensusRequest::Voter { host: 0, votes: true });
    assert!(matches!(f.ask(2, add), AdminResponse::Consensus(ConsensusResponse::Taken { .. })));
    f.run(2.0);
    let zero = f.status(0);
    assert_eq!((zero.log, zero.votes, zero.version, zero.voters), (log, true, 2, vec![0, 2]));
}
