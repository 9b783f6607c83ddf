//! Hosts with consensus on plans, in virtual time: degraded mode without a lease, fallback limits that move in two steps, changes at any
//! host. Datagrams between the cores arrive at once, and their writes are done at once.

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
        let mut fleet = Fleet {
            now: Instant::from_secs(10.0),
            cores: (0..HOSTS).map(|_| None).collect(),
            away: Vec::new(),
            replies: Vec::new(),
            answers: Vec::new(),
            attempts: Vec::new(),
            fetches: Vec::new(),
            floor,
        };
        hosts.iter().for_each(|h| fleet.start(*h));
        fleet
    }

    fn start(&mut self, host: u32) {
        let s = settings(host, self.floor);
        let generation = 100 + u64::from(host);
        let mut core = Core::new(self.now, &s, generation, generation);
        let mut plans = Plans::new(self.now, &s, s.plans_live.as_ref().unwrap(), &[]).unwrap();
        plans.enable_consensus();
        let identity = DiskIdentity { disk: generation, boot: 1, generation };
        let start = ConsensusStart { identity, ..ConsensusStart::default() };
        core.enable_consensus(ConsensusDriver::new(
            self.now,
            &s,
            s.consensus.as_ref().unwrap(),
            start,
            generation,
        ));
        core.enable_plans(self.now, plans, StoredPlans::ChangeLog);
        let m = s.membership.as_ref().unwrap();
        let members =
            member_settings(&s, m, address(host), generation, PreviousExit::Unclean, generation, vec![]);
        core.enable_peers(self.now, Peers::new(self.now, members));
        self.cores[host as usize] = Some(core);
        self.change_list(host, ListKind::Complete, 5, NodeState::Ready);
    }

    /// The list service sends a host the state of the one node.
    fn change_list(&mut self, host: u32, kind: ListKind, version: u64, state: NodeState) {
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

    fn poll_outputs(&mut self) {
        for _ in 0..20 {
            let mut datagrams = Vec::new();
            for (h, core) in (0..).zip(&mut self.cores) {
                let Some(core) = core else { continue };
                core.handle_timeout(self.now);
                while let Some(o) = core.poll_output(self.now) {
                    match o {
                        Output::Persist { request, .. } => core.handle_persisted(self.now, request, Ok(())),
                        Output::Datagram { to, bytes } => datagrams.push((h, to, bytes)),
                        Output::AdminResponse { request, response: reply } => {
                            self.replies.push((h, request, reply))
                        }
                        Output::Answer { verdict, .. } => self.answers.push((h, verdict)),
                        Output::Send(attempt) => self.attempts.push((h, *attempt)),
                        Output::FetchEndpointList => self.fetches.push(h),
                        _ => {}
                    }
                }
            }
            if datagrams.is_empty() {
                return;
            }
            for (from, to, bytes) in datagrams {
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

    fn run_for(&mut self, seconds: f64) {
        let end = self.now + TimeDelta::from_secs(seconds);
        while self.now < end {
            self.now = self.now + TimeDelta::from_secs(0.01);
            self.poll_outputs();
        }
    }

    fn core(&mut self, host: u32) -> &mut Core {
        self.cores[host as usize].as_mut().unwrap()
    }

    /// One read of a volume at a host; whether an attempt was sent, else its answer.
    fn read(&mut self, host: u32, lun: u32) -> Result<(), Verdict> {
        self.attempts.clear();
        self.answers.clear();
        let (now, from) = (self.now, CommandId { session: 1, command: self.now.secs().to_bits() as u32 });
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
        self.poll_outputs();
        let attempt = self.attempts.iter().find(|(h, _)| *h == host).map(|(_, l)| l.attempt);
        if let Some(attempt) = attempt {
            let data = Bytes::from(vec![0; 4096]);
            let result =
                AttemptResult { attempt, outcome: Outcome::Done, waiting: None, peer_units: None, data };
            self.core(host).handle_attempt_result(now, result);
            self.poll_outputs();
            return Ok(());
        }
        let answer = self.answers.iter().find(|(h, _)| *h == host).map(|(_, v)| v.clone());
        Err(answer.unwrap_or(Verdict::Failed))
    }

    fn request(&mut self, host: u32, admin_request: AdminRequest) -> AdminResponse {
        let now = self.now;
        self.replies.clear();
        self.core(host).handle_admin_request(now, 77, admin_request);
        for _ in 0..600 {
            self.run_for(0.01);
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
            self.request(host, AdminRequest::Plan(PlanRequest::Show))
        else {
            panic!()
        };
        let to = Plan { limit, burst: 200.0, slack: 8.0, reserve: 0.0, weight: 1.0, floor };
        let steps = vec![Step::Plan { name: "basic".into(), to: Some(to) }];
        let change = Change { base: s.catalogue.version, steps, who: "ann".into(), why: "test".into() };
        match self.request(host, AdminRequest::Plan(PlanRequest::Apply { change, dry_run: false })) {
            AdminResponse::Plan(PlanResponse::Applied { version, .. }) => Ok(version),
            AdminResponse::Plan(PlanResponse::Refused { why }) => Err(why),
            other => panic!("{other:?}"),
        }
    }

    fn status(&mut self, host: u32) -> ConsensusStatus {
        match self.request(host, AdminRequest::Consensus(ConsensusRequest::Status)) {
            AdminResponse::Consensus(ConsensusResponse::Status(s)) => *s,
            other => panic!("{other:?}"),
        }
    }
}

/// A host is cut off, and its lease expires. The others may lower a limit meanwhile, so it may use no more than the
/// fallback limit; a volume that can get no limit is served as before.
#[test]
fn a_host_without_a_lease_keeps_to_the_fallback_limit_and_serves_unlimited_volumes() {
    // The fallback limit, and whether a host with an expired lease still sends requests of the limited volume.
    for (floor, sends) in [("", false), ("floor = 40", true)] {
        let mut fleet = Fleet::new(&[0, 1, 3], floor);
        fleet.run_for(2.0);
        // Nothing is committed before all initial voters run: no host has a lease.
        assert_eq!(fleet.status(3).lease, "never");
        assert_eq!(fleet.read(3, 1).is_ok(), sends, "{floor:?}: never a lease");
        assert_eq!(fleet.read(3, 2), Ok(()), "no limit may come to a plan without one");
        fleet.start(2);
        fleet.run_for(3.0);
        assert_eq!((fleet.status(3).lease, fleet.read(3, 1)), ("holds".into(), Ok(())), "{floor:?}");
        fleet.away = vec![3];
        fleet.run_for(0.3);
        assert_eq!(fleet.read(3, 1), Ok(()), "within its lease");
        fleet.run_for(1.5);
        let status = fleet.status(3);
        assert_eq!((status.lease.as_str(), status.degraded), ("past", true), "{floor:?}");
        match fleet.read(3, 1) {
            Ok(()) => assert!(sends),
            // At once, with a retry-after.
            Err(v) => assert!(!sends && matches!(v, Verdict::Rejected { retry_after: Some(_) }), "{v:?}"),
        }
        assert_eq!(fleet.read(3, 2), Ok(()));
        fleet.away.clear();
        fleet.run_for(2.0);
        assert_eq!(
            (fleet.status(3).degraded, fleet.read(3, 1)),
            (false, Ok(())),
            "{floor:?}: it has a lease again"
        );
    }
}

/// A host is cut off while operators lower the fallback limit and then the limit. That host still uses the old
/// fallback limit, so the limit must stay above it.
#[test]
fn any_host_accepts_changes_and_a_limit_falls_below_a_fallback_limit_only_once_all_hosts_stored_a_lower_one()
{
    let mut fleet = Fleet::new(&[0, 1, 2, 3], "floor = 100");
    fleet.run_for(3.0);
    // At a host that does not vote, down to the fallback limit.
    assert_eq!(fleet.plan(3, 120.0, Some(100.0)), Ok(1));
    let why = fleet.plan(1, 50.0, Some(50.0)).unwrap_err();
    assert!(why.contains("floor that hosts past their lease go by"), "{why}");
    // The fallback limit first; while one host has not stored it the limit stays above the old one.
    fleet.away = vec![3];
    assert_eq!(fleet.plan(1, 120.0, Some(20.0)), Ok(2));
    fleet.run_for(3.0);
    assert!(fleet.plan(0, 50.0, Some(20.0)).is_err(), "host 3 may still use 100");
    fleet.away.clear();
    fleet.run_for(3.0);
    assert_eq!((fleet.status(0).acknowledged, fleet.status(3).version), (2, 2));
    assert_eq!(fleet.plan(2, 50.0, Some(20.0)), Ok(3));
    // Two operators at one version: one of them is refused and sees what changed.
    let AdminResponse::Plan(PlanResponse::Shown(s)) = fleet.request(0, AdminRequest::Plan(PlanRequest::Show))
    else {
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
    fleet.replies.clear();
    let now = fleet.now;
    fleet.core(1).handle_admin_request(now, 5, change("ann", 60.0));
    fleet.core(3).handle_admin_request(now, 6, change("bob", 70.0));
    fleet.run_for(1.0);
    let plans: Vec<_> =
        fleet.replies.iter().filter(|(_, r, _)| *r == 5 || *r == 6).map(|(_, _, r)| r).collect();
    let applied =
        plans.iter().filter(|r| matches!(r, AdminResponse::Plan(PlanResponse::Applied { .. }))).count();
    let conflicts = plans.iter().filter(
        |r| matches!(r, AdminResponse::Plan(PlanResponse::Refused { why }) if why.contains("plan basic")),
    );
    assert_eq!((applied, conflicts.count()), (1, 1), "{plans:?}");
    // All hosts have the same change log.
    let digests: Vec<String> = (0..HOSTS)
        .map(|h| match fleet.request(h, AdminRequest::Plan(PlanRequest::Show)) {
            AdminResponse::Plan(PlanResponse::Shown(s)) => s.digest,
            other => panic!("{other:?}"),
        })
        .collect();
    assert!(digests.iter().all(|d| *d == digests[0]), "{digests:?}");
}

/// Two of three voters are cut off. No change may be committed, and an operator who reads must see that the answer
/// may be old.
#[test]
fn without_a_majority_nothing_is_committed_and_reads_are_marked_stale() {
    let mut fleet = Fleet::new(&[0, 1, 2, 3], "");
    fleet.run_for(3.0);
    fleet.away = vec![0, 1];
    fleet.run_for(2.0);
    let AdminResponse::Plan(PlanResponse::Shown(s)) = fleet.request(2, AdminRequest::Plan(PlanRequest::Show))
    else {
        panic!()
    };
    assert!(s.stale);
    assert!(fleet.plan(3, 50.0, None).unwrap_err().contains("may still be committed later"));
    fleet.away.clear();
    fleet.run_for(3.0);
    // The proposal timed out before it was sent: it does not apply.
    assert_eq!(fleet.status(3).version, 0);
    assert_eq!(fleet.plan(3, 60.0, None), Ok(1));
}

/// A node drains while the watches of most hosts are silent. A host that still sends to it would lose requests when
/// the node stops.
#[test]
fn a_drain_that_one_host_knows_holds_at_all_connected_hosts() {
    let mut fleet = Fleet::new(&[0, 1, 2, 3], "");
    fleet.run_for(3.0);
    assert_eq!(fleet.read(3, 2), Ok(()));
    fleet.fetches.clear();
    // Host 0 alone learns that the node drains; the others' watches are silent.
    fleet.change_list(0, ListKind::Changes, 6, NodeState::Draining);
    fleet.run_for(1.0);
    for h in [1, 2, 3] {
        assert!(fleet.read(h, 2).is_err(), "host {h} chooses a node that host 0 knows to drain");
        assert!(fleet.fetches.contains(&h), "host {h} asks its service again");
    }
    // The service goes back to an older version, at a host that had the newer list and at one that had not.
    for h in [0, 1] {
        fleet.change_list(h, ListKind::Complete, 4, NodeState::Ready);
        fleet.run_for(0.5);
        assert!(fleet.read(h, 2).is_err(), "host {h}: an old list does not end the drain");
    }
    // A list that is newer than the drain decides again, at all hosts.
    (0..HOSTS).for_each(|h| fleet.change_list(h, ListKind::Complete, 7, NodeState::Ready));
    // What was sent meanwhile is answered by then.
    fleet.run_for(1.5);
    for h in 0..HOSTS {
        assert_eq!(fleet.read(h, 2), Ok(()), "host {h}");
    }
}

/// Two of three voters are lost for good. An operator makes the third begin a new log, and every host shows which
/// log it follows.
#[test]
fn an_operator_can_force_a_new_log_after_the_majority_is_lost() {
    let mut fleet = Fleet::new(&[0, 1, 2, 3], "");
    fleet.run_for(3.0);
    assert_eq!(fleet.plan(3, 120.0, None), Ok(1));
    fleet.run_for(1.0);
    let by = |who: &str| (who.to_owned(), "two machines burnt".to_owned());
    let force =
        |who: &str| AdminRequest::Consensus(ConsensusRequest::Force { who: by(who).0, why: by(who).1 });
    let forget =
        |who: &str| AdminRequest::Consensus(ConsensusRequest::Forget { who: by(who).0, why: by(who).1 });
    let refused = |r: AdminResponse| matches!(r, AdminResponse::Consensus(ConsensusResponse::Refused { .. }));
    // Refused while there is a leader, and without a name.
    assert!(refused(fleet.request(2, force("ann"))) && refused(fleet.request(2, force(" "))));
    fleet.away = vec![0, 1];
    fleet.run_for(0.5);
    assert!(refused(fleet.request(2, force("ann"))), "the leader may still be alive");
    fleet.run_for(5.0);
    let former = fleet.status(2).log;
    let AdminResponse::Consensus(ConsensusResponse::Done { log }) = fleet.request(2, force("ann")) else {
        panic!()
    };
    fleet.run_for(3.0);
    let (two, three) = (fleet.status(2), fleet.status(3));
    assert_eq!((two.log, two.lease.as_str(), two.version), (log, "holds", 1));
    assert!(log != former && three.log == former && three.degraded, "host 3 keeps to the former log");
    assert!(matches!(
        fleet.request(3, forget("ann")),
        AdminResponse::Consensus(ConsensusResponse::Done { log: 0 })
    ));
    fleet.run_for(3.0);
    let three = fleet.status(3);
    assert_eq!((three.log, three.lease.as_str(), three.version, three.votes), (log, "holds", 1, false));
    assert_eq!(fleet.plan(3, 150.0, None), Ok(2));
    // The other two were only cut off: their majority keeps its own log, and each host shows which log it follows.
    fleet.away.clear();
    fleet.run_for(3.0);
    let logs: Vec<u64> = (0..HOSTS).map(|h| fleet.status(h).log).collect();
    assert_eq!(logs, [former, former, log, log]);
    assert_eq!((fleet.status(0).version, fleet.status(3).version), (1, 2));
    // One of them discards its log to follow the new one, and is made a voter.
    fleet.away = vec![1];
    fleet.run_for(5.0);
    assert!(matches!(
        fleet.request(0, forget("bob")),
        AdminResponse::Consensus(ConsensusResponse::Done { .. })
    ));
    fleet.run_for(3.0);
    let add = AdminRequest::Consensus(ConsensusRequest::Voter { host: 0, votes: true });
    assert!(matches!(fleet.request(2, add), AdminResponse::Consensus(ConsensusResponse::Taken { .. })));
    fleet.run_for(2.0);
    let zero = fleet.status(0);
    assert_eq!((zero.log, zero.votes, zero.version, zero.voters), (log, true, 2, vec![0, 2]));
}
