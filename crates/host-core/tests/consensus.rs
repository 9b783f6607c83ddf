//! Several hosts whose plans need consensus, in virtual time: degraded mode without a lease, fallback limits that are lowered in two steps,
//! and changes at any host. Datagrams between the cores arrive at once, and writes complete at once.

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
    /// Hosts that are isolated from all others.
    isolated: Vec<u32>,
    responses: Vec<(u32, u64, AdminResponse)>,
    answers: Vec<(u32, Verdict)>,
    attempts: Vec<(u32, SendAttempt)>,
    /// Hosts that requested the complete endpoint list.
    fetches: Vec<u32>,
    floor: &'static str,
}

impl Fleet {
    fn new(hosts: &[u32], floor: &'static str) -> Fleet {
        let mut fleet = Fleet {
            now: Instant::from_secs(10.0),
            cores: (0..HOSTS).map(|_| None).collect(),
            isolated: Vec::new(),
            responses: Vec::new(),
            answers: Vec::new(),
            attempts: Vec::new(),
            fetches: Vec::new(),
            floor,
        };
        hosts.iter().for_each(|host| fleet.start(*host));
        fleet
    }

    fn start(&mut self, host: u32) {
        let settings = settings(host, self.floor);
        let generation = 100 + u64::from(host);
        let mut core = Core::new(self.now, &settings, generation, generation);
        let mut plans = Plans::new(self.now, &settings, settings.plans_live.as_ref().unwrap(), &[]).unwrap();
        plans.enable_consensus();
        let identity = DiskIdentity { disk: generation, boot: 1, generation };
        let start = ConsensusStart { identity, ..ConsensusStart::default() };
        core.enable_consensus(ConsensusDriver::new(
            self.now,
            &settings,
            settings.consensus.as_ref().unwrap(),
            start,
            generation,
        ));
        core.enable_plans(self.now, plans, StoredPlans::ChangeLog);
        let block = settings.membership.as_ref().unwrap();
        let member = member_settings(
            &settings,
            block,
            address(host),
            generation,
            PreviousExit::Unclean,
            generation,
            vec![],
        );
        core.enable_peers(self.now, Peers::new(self.now, member));
        self.cores[host as usize] = Some(core);
        self.change_list(host, ListKind::Complete, 5, NodeState::Ready);
    }

    /// Delivers an endpoint list with the state of the only node to a host.
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
            for (host, core) in (0..).zip(&mut self.cores) {
                let Some(core) = core else { continue };
                core.handle_timeout(self.now);
                while let Some(output) = core.poll_output(self.now) {
                    match output {
                        Output::Persist { request, .. } => core.handle_persisted(self.now, request, Ok(())),
                        Output::Datagram { to, bytes } => datagrams.push((host, to, bytes)),
                        Output::AdminResponse { request, response } => {
                            self.responses.push((host, request, response))
                        }
                        Output::Answer { verdict, .. } => self.answers.push((host, verdict)),
                        Output::Send(attempt) => self.attempts.push((host, *attempt)),
                        Output::FetchEndpointList => self.fetches.push(host),
                        _ => {}
                    }
                }
            }
            if datagrams.is_empty() {
                return;
            }
            for (from, to, bytes) in datagrams {
                let Some(receiver) = (0..HOSTS).find(|host| address(*host) == to) else { continue };
                if self.isolated.contains(&receiver) || self.isolated.contains(&from) {
                    continue;
                }
                if let Some(core) = &mut self.cores[receiver as usize] {
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

    /// Reads from a volume at a host. Returns `Ok` if an attempt was sent, which is then done, and else the client's answer.
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
        let attempt = self.attempts.iter().find(|(at, _)| *at == host).map(|(_, sent)| sent.attempt);
        if let Some(attempt) = attempt {
            let data = Bytes::from(vec![0; 4096]);
            let result =
                AttemptResult { attempt, outcome: Outcome::Done, waiting: None, peer_units: None, data };
            self.core(host).handle_attempt_result(now, result);
            self.poll_outputs();
            return Ok(());
        }
        let answer = self.answers.iter().find(|(at, _)| *at == host).map(|(_, verdict)| verdict.clone());
        Err(answer.unwrap_or(Verdict::Failed))
    }

    /// Sends a request of an operator to a host and returns the response.
    fn request(&mut self, host: u32, admin_request: AdminRequest) -> AdminResponse {
        let now = self.now;
        self.responses.clear();
        self.core(host).handle_admin_request(now, 77, admin_request);
        for _ in 0..600 {
            self.run_for(0.01);
            let mut responses = self.responses.iter();
            if let Some((_, _, response)) = responses.find(|(at, request, _)| (*at, *request) == (host, 77)) {
                return response.clone();
            }
        }
        panic!("host {host}: no response");
    }

    fn show_plans(&mut self, host: u32) -> PlanStatus {
        match self.request(host, AdminRequest::Plan(PlanRequest::Show)) {
            AdminResponse::Plan(PlanResponse::Shown(status)) => *status,
            other => panic!("{other:?}"),
        }
    }

    /// Requests a change of the plan `basic` at a host. Returns the version after the change, or the reason of the refusal.
    fn change_plan(&mut self, host: u32, limit: f64, floor: Option<f64>) -> Result<u64, String> {
        let base = self.show_plans(host).catalogue.version;
        let to = Plan { limit, burst: 200.0, slack: 8.0, reserve: 0.0, weight: 1.0, floor };
        let steps = vec![Step::Plan { name: "basic".into(), to: Some(to) }];
        let change = Change { base, steps, who: "ann".into(), why: "test".into() };
        match self.request(host, AdminRequest::Plan(PlanRequest::Apply { change, dry_run: false })) {
            AdminResponse::Plan(PlanResponse::Applied { version, .. }) => Ok(version),
            AdminResponse::Plan(PlanResponse::Refused { why }) => Err(why),
            other => panic!("{other:?}"),
        }
    }

    fn status(&mut self, host: u32) -> ConsensusStatus {
        match self.request(host, AdminRequest::Consensus(ConsensusRequest::Status)) {
            AdminResponse::Consensus(ConsensusResponse::Status(status)) => *status,
            other => panic!("{other:?}"),
        }
    }
}

/// A host is isolated until its lease expires, and the others may have lowered a limit meanwhile. If it kept to its old limit, the volume
/// would exceed the new one. Volumes that can't get a limit must be served all the same.
#[test]
fn a_host_without_a_lease_keeps_to_the_fallback_limit_and_serves_unlimited_volumes() {
    // The setting of the fallback limit, and whether a host with an expired lease still sends requests of the limited volume.
    for (floor, sends) in [("", false), ("floor = 40", true)] {
        let mut fleet = Fleet::new(&[0, 1, 3], floor);
        fleet.run_for(2.0);
        // Nothing is committed before all initial voters run, so no host has a lease.
        assert_eq!(fleet.status(3).lease, "never");
        assert_eq!(fleet.read(3, 1).is_ok(), sends, "{floor:?}: no lease yet");
        assert_eq!(fleet.read(3, 2), Ok(()), "a plan without a limit can't get one");
        fleet.start(2);
        fleet.run_for(3.0);
        assert_eq!((fleet.status(3).lease, fleet.read(3, 1)), ("holds".into(), Ok(())), "{floor:?}");
        fleet.isolated = vec![3];
        fleet.run_for(0.3);
        assert_eq!(fleet.read(3, 1), Ok(()), "host 3 still has a lease");
        fleet.run_for(1.5);
        let status = fleet.status(3);
        assert_eq!((status.lease.as_str(), status.degraded), ("past", true), "{floor:?}");
        match fleet.read(3, 1) {
            Ok(()) => assert!(sends),
            // The request is rejected at once, with a retry-after.
            Err(verdict) => {
                assert!(
                    !sends && matches!(verdict, Verdict::Rejected { retry_after: Some(_) }),
                    "{verdict:?}"
                )
            }
        }
        assert_eq!(fleet.read(3, 2), Ok(()));
        fleet.isolated.clear();
        fleet.run_for(2.0);
        assert_eq!(
            (fleet.status(3).degraded, fleet.read(3, 1)),
            (false, Ok(())),
            "{floor:?}: host 3 has a lease again"
        );
    }
}

/// A host is isolated while operators lower the fallback limit and then the limit. The host still uses the old fallback limit, so a limit
/// below that would be exceeded.
#[test]
fn any_host_accepts_changes_and_a_limit_falls_below_a_fallback_limit_only_once_all_hosts_stored_a_lower_one()
{
    let mut fleet = Fleet::new(&[0, 1, 2, 3], "floor = 100");
    fleet.run_for(3.0);
    // A host that does not vote accepts a change too. The limit may fall to the fallback limit, but not below.
    assert_eq!(fleet.change_plan(3, 120.0, Some(100.0)), Ok(1));
    let why = fleet.change_plan(1, 50.0, Some(50.0)).unwrap_err();
    assert!(why.contains("floor that hosts past their lease go by"), "{why}");
    // The fallback limit is lowered first. Until all hosts have stored it, the limit must stay above the old one.
    fleet.isolated = vec![3];
    assert_eq!(fleet.change_plan(1, 120.0, Some(20.0)), Ok(2));
    fleet.run_for(3.0);
    assert!(
        fleet.change_plan(0, 50.0, Some(20.0)).is_err(),
        "host 3 may still use the fallback limit of 100"
    );
    fleet.isolated.clear();
    fleet.run_for(3.0);
    assert_eq!((fleet.status(0).acknowledged, fleet.status(3).version), (2, 2));
    assert_eq!(fleet.change_plan(2, 50.0, Some(20.0)), Ok(3));
    // Two operators make a change on the same version. One is refused, and the refusal names what has changed.
    let shown = fleet.show_plans(0);
    assert_eq!((shown.catalogue.version, shown.stale), (3, false));
    let change = |who: &str, limit: f64| {
        let to = Plan { limit, burst: 200.0, slack: 8.0, reserve: 0.0, weight: 1.0, floor: Some(20.0) };
        let steps = vec![Step::Plan { name: "basic".into(), to: Some(to) }];
        AdminRequest::Plan(PlanRequest::Apply {
            change: Change { base: 3, steps, who: who.into(), why: "test".into() },
            dry_run: false,
        })
    };
    fleet.responses.clear();
    let now = fleet.now;
    fleet.core(1).handle_admin_request(now, 5, change("ann", 60.0));
    fleet.core(3).handle_admin_request(now, 6, change("bob", 70.0));
    fleet.run_for(1.0);
    let is_of_change = |(_, request, _): &&(u32, u64, AdminResponse)| [5, 6].contains(request);
    let responses: Vec<_> =
        fleet.responses.iter().filter(is_of_change).map(|(_, _, response)| response).collect();
    let is_applied =
        |response: &&&AdminResponse| matches!(response, AdminResponse::Plan(PlanResponse::Applied { .. }));
    let is_conflict = |response: &&&AdminResponse| matches!(response, AdminResponse::Plan(PlanResponse::Refused { why }) if why.contains("plan basic"));
    let applied = responses.iter().filter(is_applied).count();
    let conflicts = responses.iter().filter(is_conflict).count();
    assert_eq!((applied, conflicts), (1, 1), "{responses:?}");
    // All hosts have the same change log.
    let digests: Vec<String> = (0..HOSTS).map(|host| fleet.show_plans(host).digest).collect();
    assert!(digests.iter().all(|digest| *digest == digests[0]), "{digests:?}");
}

/// Two of three voters are isolated. No change may be committed without them, and an operator who reads the plans must see that they may
/// be outdated.
#[test]
fn without_a_majority_nothing_is_committed_and_reads_are_marked_stale() {
    let mut fleet = Fleet::new(&[0, 1, 2, 3], "");
    fleet.run_for(3.0);
    fleet.isolated = vec![0, 1];
    fleet.run_for(2.0);
    assert!(fleet.show_plans(2).stale);
    assert!(fleet.change_plan(3, 50.0, None).unwrap_err().contains("may still be committed later"));
    fleet.isolated.clear();
    fleet.run_for(3.0);
    // The proposal timed out before it was sent, so it does not apply.
    assert_eq!(fleet.status(3).version, 0);
    assert_eq!(fleet.change_plan(3, 60.0, None), Ok(1));
}

/// A node drains while the list watches of most hosts receive nothing. A host that went on sending to the node would lose requests when the
/// node stops.
#[test]
fn a_drain_that_one_host_knows_of_is_honored_by_all_connected_hosts() {
    let mut fleet = Fleet::new(&[0, 1, 2, 3], "");
    fleet.run_for(3.0);
    assert_eq!(fleet.read(3, 2), Ok(()));
    fleet.fetches.clear();
    // Only host 0 learns from its list that the node drains.
    fleet.change_list(0, ListKind::Changes, 6, NodeState::Draining);
    fleet.run_for(1.0);
    for host in [1, 2, 3] {
        assert!(fleet.read(host, 2).is_err(), "host {host} sends to a node that host 0 knows to drain");
        assert!(fleet.fetches.contains(&host), "host {host} does not fetch the complete list");
    }
    // The list goes back to an older version, at a host that had the newer one and at one that had not.
    for host in [0, 1] {
        fleet.change_list(host, ListKind::Complete, 4, NodeState::Ready);
        fleet.run_for(0.5);
        assert!(fleet.read(host, 2).is_err(), "host {host}: an old list ended the drain");
    }
    // A list that is newer than the drain ends it at all hosts.
    (0..HOSTS).for_each(|host| fleet.change_list(host, ListKind::Complete, 7, NodeState::Ready));
    // The requests that were sent meanwhile are answered by then.
    fleet.run_for(1.5);
    for host in 0..HOSTS {
        assert_eq!(fleet.read(host, 2), Ok(()), "host {host}");
    }
}

/// Two of three voters are lost for good, so no change can be committed. An operator makes the third voter begin a new log. Every host shows
/// the id of the log that it follows, since the lost voters may turn out to be only isolated.
#[test]
fn an_operator_can_force_a_new_log_after_the_majority_is_lost() {
    let mut fleet = Fleet::new(&[0, 1, 2, 3], "");
    fleet.run_for(3.0);
    assert_eq!(fleet.change_plan(3, 120.0, None), Ok(1));
    fleet.run_for(1.0);
    let why = || "two machines burnt".to_owned();
    let force =
        |who: &str| AdminRequest::Consensus(ConsensusRequest::Force { who: who.to_owned(), why: why() });
    let forget =
        |who: &str| AdminRequest::Consensus(ConsensusRequest::Forget { who: who.to_owned(), why: why() });
    let is_refused = |response: AdminResponse| {
        matches!(response, AdminResponse::Consensus(ConsensusResponse::Refused { .. }))
    };
    // The request is refused while there is a leader, and without the operator's name.
    assert!(is_refused(fleet.request(2, force("ann"))) && is_refused(fleet.request(2, force(" "))));
    fleet.isolated = vec![0, 1];
    fleet.run_for(0.5);
    assert!(is_refused(fleet.request(2, force("ann"))), "the leader may still be alive");
    fleet.run_for(5.0);
    let former = fleet.status(2).log_id;
    let AdminResponse::Consensus(ConsensusResponse::Done { log }) = fleet.request(2, force("ann")) else {
        panic!()
    };
    fleet.run_for(3.0);
    let (two, three) = (fleet.status(2), fleet.status(3));
    assert_eq!((two.log_id, two.lease.as_str(), two.version), (log, "holds", 1));
    assert!(log != former && three.log_id == former && three.degraded, "host 3 keeps to the former log");
    assert!(matches!(
        fleet.request(3, forget("ann")),
        AdminResponse::Consensus(ConsensusResponse::Done { log: 0 })
    ));
    fleet.run_for(3.0);
    let three = fleet.status(3);
    assert_eq!((three.log_id, three.lease.as_str(), three.version, three.is_voter), (log, "holds", 1, false));
    assert_eq!(fleet.change_plan(3, 150.0, None), Ok(2));
    // The other two were only isolated: their majority keeps its own log, and each host shows which log it follows.
    fleet.isolated.clear();
    fleet.run_for(3.0);
    let logs: Vec<u64> = (0..HOSTS).map(|host| fleet.status(host).log_id).collect();
    assert_eq!(logs, [former, former, log, log]);
    assert_eq!((fleet.status(0).version, fleet.status(3).version), (1, 2));
    // One of them discards its log, follows the new one, and is made a voter.
    fleet.isolated = vec![1];
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
    assert_eq!((zero.log_id, zero.is_voter, zero.version, zero.voters), (log, true, 2, vec![0, 2]));
}
