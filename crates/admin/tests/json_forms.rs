//! Guards the JSON of every kind of call and answer of the admin protocol, version 1. Operators' scripts and commands of
//! other builds read and write this JSON, and `tackmast ... --json` prints parts of it.

use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;
use tackmast_admin::{parse_call, write_line, Answer, Call};
use tackmast_host_core::{
    AdminRequest, AdminResponse, ConsensusRequest, ConsensusResponse, ConsensusStatus, DeathStatus,
    HostStatus, MembersStatus, PeerStatus, PlanRequest, PlanResponse, PlanStatus, SiteStatus,
};
use tackmast_overrides::{
    Audit, AuditKind, Explanation, Kind, Origin, Override, OverrideEffect, OverrideId, OverrideRequest,
    Preview, Refusal, Service, Superseded,
};
use tackmast_plans::{Catalogue, Change, Fleet, Plan, Step, TrafficClass, Volume};

/// Checks that the value serializes to the text, and that the text deserializes to the value.
#[track_caller]
fn assert_json<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, text: &str) {
    assert_eq!(serde_json::to_string(value).unwrap(), text);
    assert_eq!(&serde_json::from_str::<T>(text).unwrap(), value);
}

#[track_caller]
fn assert_reply(reply: AdminResponse, text: &str) {
    assert_json(&Answer::AdminResponse(Box::new(reply)), text);
}

fn node() -> std::net::SocketAddr {
    "10.0.0.1:9000".parse().unwrap()
}

fn record() -> Override {
    Override {
        id: OverrideId(3),
        target: "10.0.0.1:9000".parse().unwrap(),
        kind: Kind::OutOfService,
        reason: "disk \"smokes\"".into(),
        who: "ann".into(),
        set_us: 1_700_000_000_000_000,
        ends_us: 1_700_003_600_000_000,
        origin: Some(Origin { slot: 2, generation: 77, number: 3 }),
    }
}

fn change() -> Change {
    let plan = Plan { limit: 20.0, burst: 60.0, slack: 8.5, reserve: 5.0, weight: 1.0, floor: Some(2.5) };
    let volume = Volume {
        lun: 1,
        plan: "basic".into(),
        blocks: 100,
        extent_blocks: 10,
        shards: vec![0],
        through: vec![0, 1],
        reads: "read".into(),
        writes: "read".into(),
    };
    let stream = TrafficClass { latency_objective_ms: 100.0, deadline_ms: 1000.0 };
    let steps = vec![
        Step::Plan { name: "basic".into(), to: Some(plan) },
        Step::TrafficClass { name: "read".into(), to: Some(stream) },
        Step::Volume { name: "school".into(), to: Some(volume) },
    ];
    Change { base: 0, steps, who: "ann".into(), why: "begin".into() }
}

fn fleet() -> Fleet {
    Fleet { hosts: 4, max_units: 8.0, bears: [(0, 100.5)].into() }
}

/// Guards the calls by which commands of other builds set, clear and list overrides.
#[test]
fn calls_about_overrides() {
    let override_request = OverrideRequest {
        target: "zone:1".parse().unwrap(),
        kind: Kind::Weight(0.25),
        reason: "power".into(),
        who: "ann".into(),
        seconds: 90.5,
        origin: None,
    };
    let set = AdminRequest::Set {
        override_request: override_request.clone(),
        force: true,
        dry_run: false,
        if_version: Some(4),
    };
    assert_json(
        &Call::AdminRequest(set),
        r#"{"ask":{"set":{"order":{"target":"zone:1","kind":{"weight":0.25},"reason":"power","who":"ann","seconds":90.5},"force":true,"dry_run":false,"if_version":4}}}"#,
    );
    let dry = AdminRequest::Set { override_request, force: false, dry_run: true, if_version: None };
    assert_json(
        &Call::AdminRequest(dry),
        r#"{"ask":{"set":{"order":{"target":"zone:1","kind":{"weight":0.25},"reason":"power","who":"ann","seconds":90.5},"force":false,"dry_run":true,"if_version":null}}}"#,
    );
    assert_json(
        &Call::AdminRequest(AdminRequest::Clear { id: OverrideId(3), who: "bob".into() }),
        r#"{"ask":{"clear":{"id":3,"who":"bob"}}}"#,
    );
    assert_json(&Call::AdminRequest(AdminRequest::List), r#"{"ask":"list"}"#);
    assert_json(
        &Call::AdminRequest(AdminRequest::Explain { address: node() }),
        r#"{"ask":{"explain":{"address":"10.0.0.1:9000"}}}"#,
    );
    assert_json(&Call::AdminRequest(AdminRequest::Status), r#"{"ask":"status"}"#);
    assert_json(&Call::AdminRequest(AdminRequest::Members), r#"{"ask":"members"}"#);
    assert_json(&Call::Audit { max_lines: 20 }, r#"{"audit":{"most":20}}"#);
}

/// Guards the calls by which scripts for earlier builds change plans.
#[test]
fn calls_about_plans() {
    assert_json(&Call::AdminRequest(AdminRequest::Plan(PlanRequest::Show)), r#"{"ask":{"plan":"show"}}"#);
    assert_json(
        &Call::AdminRequest(AdminRequest::Plan(PlanRequest::Apply { change: change(), dry_run: true })),
        r#"{"ask":{"plan":{"apply":{"change":{"base":0,"steps":[{"plan":{"name":"basic","to":{"limit":20.0,"burst":60.0,"slack":8.5,"reserve":5.0,"weight":1.0,"floor":2.5}}},{"stream":{"name":"read","to":{"slo_ms":100.0,"expiry_ms":1000.0}}},{"volume":{"name":"school","to":{"lun":1,"plan":"basic","blocks":100,"extent_blocks":10,"shards":[0],"through":[0,1],"reads":"read","writes":"read"}}}],"who":"ann","why":"begin"},"dry_run":true}}}}"#,
    );
    let undo = PlanRequest::Undo { number: 4, who: "ann".into(), why: "wrong".into(), dry_run: false };
    assert_json(
        &Call::AdminRequest(AdminRequest::Plan(undo)),
        r#"{"ask":{"plan":{"undo":{"number":4,"who":"ann","why":"wrong","dry_run":false}}}}"#,
    );
    assert_json(&Call::AdminRequest(AdminRequest::Plan(PlanRequest::Log)), r#"{"ask":{"plan":"log"}}"#);
}

/// Guards the calls by which commands of other builds control the consensus group, for example force a new log after the loss
/// of its voters.
#[test]
fn calls_about_consensus() {
    let call = |ask| Call::AdminRequest(AdminRequest::Consensus(ask));
    let (who, why) = ("ann".to_owned(), "disks lost".to_owned());
    assert_json(&call(ConsensusRequest::Status), r#"{"ask":{"agreement":"status"}}"#);
    assert_json(
        &call(ConsensusRequest::Voter { host: 3, votes: true }),
        r#"{"ask":{"agreement":{"voter":{"host":3,"votes":true}}}}"#,
    );
    assert_json(
        &call(ConsensusRequest::Force { who: who.clone(), why: why.clone() }),
        r#"{"ask":{"agreement":{"force":{"who":"ann","why":"disks lost"}}}}"#,
    );
    assert_json(
        &call(ConsensusRequest::Forget { who, why }),
        r#"{"ask":{"agreement":{"forget":{"who":"ann","why":"disks lost"}}}}"#,
    );
}

/// Guards the answers about overrides that scripts read. To a script, a renamed field would be a missing one.
#[test]
fn answers_about_overrides() {
    let out = OverrideEffect { service: Service::Out, weight: 1.0 };
    let preview = Preview {
        version: 3,
        changes: vec![(node(), OverrideEffect::NONE, out)],
        named: 1,
        forced_past: Some(Refusal::LastOfShard { shard: 4, nodes: vec!["10.0.0.1:9000".into()] }),
    };
    assert_reply(
        AdminResponse::Set { record: record(), preview, dry_run: true },
        r#"{"reply":{"set":{"record":{"id":3,"target":"10.0.0.1:9000","kind":"out_of_service","reason":"disk \"smokes\"","who":"ann","set_us":1700000000000000,"ends_us":1700003600000000,"origin":{"slot":2,"life":77,"number":3}},"preview":{"version":3,"changes":[["10.0.0.1:9000",{"service":"listed","weight":1.0},{"service":"out","weight":1.0}]],"named":1,"forced_past":{"last_of_shard":{"shard":4,"nodes":["10.0.0.1:9000"]}}},"dry_run":true}}}"#,
    );
    assert_reply(AdminResponse::Cleared { id: OverrideId(3) }, r#"{"reply":{"cleared":{"id":3}}}"#);
    let list = AdminResponse::List {
        version: 3,
        overrides: vec![(record(), 12.5)],
        returning: 2,
        returning_within_s: 30.5,
    };
    assert_reply(
        list,
        r#"{"reply":{"list":{"version":3,"standing":[[{"id":3,"target":"10.0.0.1:9000","kind":"out_of_service","reason":"disk \"smokes\"","who":"ann","set_us":1700000000000000,"ends_us":1700003600000000,"origin":{"slot":2,"life":77,"number":3}},12.5]],"returning":2,"returning_within_s":30.5}}}"#,
    );
    let explanation = Explanation {
        address: node(),
        listed: "ready".into(),
        standing: out,
        service_by: Some(record()),
        weight_by: None,
        service_left_s: Some(12.5),
        weight_left_s: None,
        beaten: vec![(
            Override { id: OverrideId(2), origin: None, ..record() },
            Superseded { id: OverrideId(2), by: OverrideId(3), why: "set later".into() },
        )],
        returning: None,
        given: "out of service".into(),
        up_s: None,
    };
    assert_reply(
        AdminResponse::Explain(Box::new(explanation)),
        r#"{"reply":{"explain":{"address":"10.0.0.1:9000","listed":"ready","standing":{"service":"out","weight":1.0},"service_by":{"id":3,"target":"10.0.0.1:9000","kind":"out_of_service","reason":"disk \"smokes\"","who":"ann","set_us":1700000000000000,"ends_us":1700003600000000,"origin":{"slot":2,"life":77,"number":3}},"weight_by":null,"service_left_s":12.5,"weight_left_s":null,"beaten":[[{"id":2,"target":"10.0.0.1:9000","kind":"out_of_service","reason":"disk \"smokes\"","who":"ann","set_us":1700000000000000,"ends_us":1700003600000000},{"id":2,"by":3,"why":"set later"}]],"returning":null,"given":"out of service","up_s":null}}}"#,
    );
    assert_reply(
        AdminResponse::Refused(Refusal::Unknown { id: OverrideId(8) }),
        r#"{"reply":{"refused":{"unknown":{"id":8}}}}"#,
    );
    assert_reply(
        AdminResponse::NotKept { why: "disk full".into() },
        r#"{"reply":{"not_kept":{"why":"disk full"}}}"#,
    );
    assert_reply(
        AdminResponse::Unavailable { why: "this host has no plans block in its settings".into() },
        r#"{"reply":{"unavailable":{"why":"this host has no plans block in its settings"}}}"#,
    );
}

/// Guards the status and the counters of a host that scripts read.
#[test]
fn answers_about_a_host() {
    let status = HostStatus {
        host: 1,
        overrides: 2,
        version: 3,
        returning: 4,
        alive_hosts: 5,
        commands: 6,
        attempts: 7,
        commands_received: 8,
        done: 9,
        rejected: 10,
        failed: 11,
        nodes: vec![(node(), "ready".into(), "out of service".into())],
    };
    assert_reply(
        AdminResponse::Status(Box::new(status)),
        r#"{"reply":{"status":{"host":1,"overrides":2,"version":3,"returning":4,"there":5,"commands":6,"legs":7,"taken":8,"done":9,"deferred":10,"abandoned":11,"nodes":[["10.0.0.1:9000","ready","out of service"]]}}}"#,
    );
    assert_reply(
        AdminResponse::Status(Box::default()),
        r#"{"reply":{"status":{"host":0,"overrides":0,"version":0,"returning":0,"there":0,"commands":0,"legs":0,"taken":0,"done":0,"deferred":0,"abandoned":0,"nodes":[]}}}"#,
    );
}

fn members() -> MembersStatus {
    let peer = PeerStatus {
        host: 2,
        health: "suspect".into(),
        address: "10.9.0.2:7000".into(),
        generation: 1_000_002,
        since_s: 1.5,
        incarnation: 3,
        site: Some(1),
        flaps: true,
    };
    let site = SiteStatus {
        site: Some(1),
        alive: 2,
        suspect: 3,
        dead: 4,
        left: 5,
        state: "emptied one by one".into(),
    };
    let death =
        DeathStatus { host: 4, generation: 1_000_004, incarnation: 2, ago_s: 8.5, declared_here: true };
    MembersStatus {
        host: Some(1),
        alive_hosts: 2,
        peers: vec![peer],
        quota_leases: vec![(7, 0.5, 0.125, 0.25, 1.0)],
        displaced: true,
        sent: 3,
        sent_bytes: 4,
        received: 5,
        dropped: 6,
        generation: 1_000_001,
        incarnation: 7,
        site: Some(0),
        address: "10.9.0.1:7000".into(),
        digest: 0xabcd,
        unchanged_s: 2.5,
        local_health: 8,
        sites: vec![site, SiteStatus::default()],
        deaths: vec![death],
        suspected: 9,
        refuted: 10,
        found_dead: 11,
        accused: 12,
        pauses: 13,
        out_of_range: 14,
        damped: 15,
        taken_over: 16,
    }
}

/// Guards the answer by which scripts read a host's view of its peers.
#[test]
fn answers_about_members() {
    assert_reply(
        AdminResponse::Members(Box::new(members())),
        r#"{"reply":{"members":{"host":1,"there":2,"peers":[{"host":2,"health":"suspect","address":"10.9.0.2:7000","life":1000002,"since_s":1.5,"incarnation":3,"site":1,"flaps":true}],"loans":[[7,0.5,0.125,0.25,1.0]],"displaced":true,"sent":3,"sent_bytes":4,"taken":5,"dropped":6,"life":1000001,"incarnation":7,"site":0,"address":"10.9.0.1:7000","digest":43981,"still_s":2.5,"strain":8,"sites":[{"site":1,"alive":2,"suspect":3,"dead":4,"left":5,"word":"emptied one by one"},{"site":null,"alive":0,"suspect":0,"dead":0,"left":0,"word":""}],"deaths":[{"host":4,"life":1000004,"incarnation":2,"ago_s":8.5,"own":true}],"suspected":9,"refuted":10,"found_dead":11,"accused":12,"pauses":13,"beyond":14,"damped":15,"taken_over":16}}}"#,
    );
    assert_reply(
        AdminResponse::Members(Box::default()),
        r#"{"reply":{"members":{"host":null,"there":0,"peers":[],"loans":[],"displaced":false,"sent":0,"sent_bytes":0,"taken":0,"dropped":0,"life":0,"incarnation":0,"site":null,"address":"","digest":0,"still_s":0.0,"strain":0,"sites":[],"deaths":[],"suspected":0,"refuted":0,"found_dead":0,"accused":0,"pauses":0,"beyond":0,"damped":0,"taken_over":0}}}"#,
    );
}

/// Covers a command that calls a host of an earlier build, whose answer lacks newer fields.
#[test]
fn the_members_answer_of_an_earlier_build_is_read() {
    let text = "{\"host\":0,\"there\":2,\"peers\":[{\"host\":1,\"health\":\"alive\",\"address\":\"10.9.0.1:7000\",                \"life\":7,\"since_s\":1.0}],\"loans\":[],\"displaced\":false,\"sent\":1,\"sent_bytes\":2,                \"taken\":3,\"dropped\":4}";
    let peer = PeerStatus {
        host: 1,
        health: "alive".into(),
        address: "10.9.0.1:7000".into(),
        generation: 7,
        since_s: 1.0,
        ..PeerStatus::default()
    };
    let expected = MembersStatus {
        host: Some(0),
        alive_hosts: 2,
        peers: vec![peer],
        sent: 1,
        sent_bytes: 2,
        received: 3,
        dropped: 4,
        ..MembersStatus::default()
    };
    assert_eq!(serde_json::from_str::<MembersStatus>(text).unwrap(), expected);
}

/// Guards the plans and the log of their changes that scripts read.
#[test]
fn answers_about_plans() {
    let reply = |r| AdminResponse::Plan(r);
    let status = PlanStatus {
        host: 1,
        home: 2,
        number: 3,
        digest: "ab12".into(),
        in_force_s: 4.5,
        settle_s: 5.5,
        catalogue: Catalogue::default().apply(&change(), &fleet()).unwrap().catalogue,
        fleet: fleet(),
        clients_wait: true,
        reported_changes: [(0, 3), (1, 2)].into(),
        stale: true,
    };
    assert_reply(
        reply(PlanResponse::Shown(Box::new(status))),
        r#"{"reply":{"plan":{"shown":{"host":1,"home":2,"number":3,"digest":"ab12","in_force_s":4.5,"settle_s":5.5,"catalogue":{"version":1,"plans":{"basic":{"limit":20.0,"burst":60.0,"slack":8.5,"reserve":5.0,"weight":1.0,"floor":2.5}},"volumes":{"school":{"lun":1,"plan":"basic","blocks":100,"extent_blocks":10,"shards":[0],"through":[0,1],"reads":"read","writes":"read"}},"streams":{"read":{"slo_ms":100.0,"expiry_ms":1000.0}},"moved":{"plan basic":1,"stream read":1,"volume school":1}},"fleet":{"hosts":4,"most_units":8.0,"bears":{"0":100.5}},"waits":true,"at":{"0":3,"1":2},"stale":true}}}}"#,
    );
    assert_reply(
        reply(PlanResponse::Shown(Box::default())),
        r#"{"reply":{"plan":{"shown":{"host":0,"home":0,"number":0,"digest":"","in_force_s":0.0,"settle_s":0.0,"catalogue":{"version":0,"plans":{},"volumes":{},"streams":{},"moved":{}},"fleet":{"hosts":0,"most_units":0.0,"bears":{}},"waits":false,"at":{},"stale":false}}}}"#,
    );
    let applied = PlanResponse::Applied {
        number: 3,
        version: 4,
        lines: vec!["+ plan spare: {}".into()],
        in_force_s: 2.5,
        dry_run: false,
    };
    assert_reply(
        reply(applied),
        r#"{"reply":{"plan":{"applied":{"number":3,"version":4,"lines":["+ plan spare: {}"],"in_force_s":2.5,"dry_run":false}}}}"#,
    );
    assert_reply(
        reply(PlanResponse::Refused { why: "plan basic limit: -1".into() }),
        r#"{"reply":{"plan":{"refused":{"why":"plan basic limit: -1"}}}}"#,
    );
    assert_reply(
        reply(PlanResponse::Log { text: "{}\n".into(), fleet: fleet() }),
        r#"{"reply":{"plan":{"log":{"text":"{}\n","fleet":{"hosts":4,"most_units":8.0,"bears":{"0":100.5}}}}}}"#,
    );
}

/// Guards the state of consensus that scripts read.
#[test]
fn answers_about_consensus() {
    let reply = |r| AdminResponse::Consensus(r);
    let status = ConsensusStatus {
        host: 1,
        generation: 1_000_001,
        role: "leads".into(),
        term: 2,
        leader: Some(1),
        log_id: 3,
        voters: vec![0, 1, 4],
        is_voter: true,
        bootstrapped: true,
        disk_failed: true,
        last_index: 4,
        commit_index: 5,
        snapshot_index: 6,
        version: 7,
        acknowledged: 8,
        lease: "holds".into(),
        lease_s: 9.5,
        degraded: true,
        in_force_s: 10.5,
        followers: [(0, (11, 0.25))].into(),
        elections: 12,
        commits: 13,
        granted_leases: 14,
        rejected_disks: 15,
        dropped_messages: 16,
    };
    assert_reply(
        reply(ConsensusResponse::Status(Box::new(status))),
        r#"{"reply":{"agreement":{"status":{"host":1,"life":1000001,"role":"leads","term":2,"leader":1,"log":3,"voters":[0,1,4],"votes":true,"founded":true,"failed":true,"last":4,"commit":5,"folded":6,"version":7,"told":8,"lease":"holds","lease_s":9.5,"posture":true,"in_force_s":10.5,"has":{"0":[11,0.25]},"elections":12,"commits":13,"granted":14,"wrong_disks":15,"lost":16}}}}"#,
    );
    assert_reply(
        reply(ConsensusResponse::Status(Box::default())),
        r#"{"reply":{"agreement":{"status":{"host":0,"life":0,"role":"","term":0,"leader":null,"log":0,"voters":[],"votes":false,"founded":false,"failed":false,"last":0,"commit":0,"folded":0,"version":0,"told":0,"lease":"","lease_s":0.0,"posture":false,"in_force_s":0.0,"has":{},"elections":0,"commits":0,"granted":0,"wrong_disks":0,"lost":0}}}}"#,
    );
    assert_reply(reply(ConsensusResponse::Done { log: 3 }), r#"{"reply":{"agreement":{"done":{"log":3}}}}"#);
    assert_reply(
        reply(ConsensusResponse::Taken { index: 41 }),
        r#"{"reply":{"agreement":{"taken":{"index":41}}}}"#,
    );
    assert_reply(
        reply(ConsensusResponse::Refused { why: "a leader is heard".into() }),
        r#"{"reply":{"agreement":{"refused":{"why":"a leader is heard"}}}}"#,
    );
}

/// Guards the lines of the audit log that scripts read, and the error of a call that the host can't serve.
#[test]
fn audit_lines_and_errors() {
    let ended = Audit {
        at_us: 1_700_000_000_000_002,
        kind: AuditKind::EndedAway,
        id: None,
        who: "host 1".into(),
        what: "gone".into(),
    };
    assert_json(
        &Answer::Audit(vec![Audit::set(&record(), true), ended]),
        r#"{"audit":[{"at_us":1700000000000000,"kind":"set","id":3,"who":"ann","what":"10.0.0.1:9000 out of service: disk \"smokes\" (set by ann), forced"},{"at_us":1700000000000002,"kind":"ended_away","id":null,"who":"host 1","what":"gone"}]}"#,
    );
    assert_json(&Answer::Error("no such call".into()), r#"{"error":"no such call"}"#);
}

/// Guards the position of the version: a host reads it before it parses the rest of the line.
#[test]
fn a_line_has_the_version_before_the_body() {
    let text = "{\"v\":1,\"body\":{\"audit\":{\"most\":20}}}\n";
    let mut written = Vec::new();
    write_line(&mut written, Call::Audit { max_lines: 20 }).unwrap();
    assert_eq!(String::from_utf8(written).unwrap(), text);
    assert_eq!(parse_call(text).map_err(|error| error.to_string()), Ok(Call::Audit { max_lines: 20 }));
    assert_eq!(
        parse_call("{\"v\":2,\"body\":\"later\"}").map_err(|error| error.to_string()),
        Err("version 2; expected 1".into())
    );
}
