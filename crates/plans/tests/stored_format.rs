//! Tests the stored form of plans: a change log, a replicated state and commands that an earlier build wrote must be read as the same
//! values, and the current build must write the same bytes, since the hash chain is over these bytes.
//!
//! The files in `fixtures/` were written by the test `write_fixtures`, which does nothing unless the environment variable of
//! `WRITE_FIXTURES` is set. Hosts' disks hold logs of this form: write the files again only for an intended change of the form.

use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;
use std::path::{Path, PathBuf};
use tackmast_plans::{
    Catalogue, Change, ChangeLog, Checkpoint, Command, Fleet, LogHead, Plan, Proposal, ReplicatedPlans, Step,
    TrafficClass, Volume,
};

const WRITE_FIXTURES: &str = "TACKMAST_WRITE_FIXTURE";
const CHANGE_LOG: &str = "change_log.jsonl";
const COMPACTED_LOG: &str = "compacted_log.jsonl";
const REPLICATED_STATE: &str = "replicated_state.jsonl";
/// The digest of the newest entry; it depends on every byte of the entries.
const NEWEST_DIGEST: &str = "45b516ba1cecf27879735e9067b8b41f34e4b7dfb79e24a2cdcc0f212596a753";

fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn fixture(name: &str) -> String {
    std::fs::read_to_string(fixture_path(name)).unwrap()
}

fn fleet() -> Fleet {
    Fleet { hosts: 4, max_units: 8.0, bears: [(0, 100.0), (1, 100.5)].into() }
}

fn plan(limit: f64, floor: Option<f64>) -> Plan {
    Plan { limit, burst: 60.0, slack: 8.5, reserve: 5.0, weight: 1.0, floor }
}

fn volume(lun: u32, plan: &str) -> Volume {
    Volume {
        lun,
        plan: plan.into(),
        blocks: 100,
        extent_blocks: 10,
        shards: vec![0, 1],
        through: vec![0, 1],
        reads: "read".into(),
        writes: "write".into(),
    }
}

fn traffic_class(name: &str) -> Step {
    Step::TrafficClass {
        name: name.into(),
        to: Some(TrafficClass { latency_objective_ms: 100.0, deadline_ms: 1000.0 }),
    }
}

fn change(base: u64, steps: Vec<Step>, why: &str) -> Change {
    Change { base, steps, who: "ann".into(), why: why.into() }
}

fn set_plan(name: &str, to: Option<Plan>) -> Step {
    Step::Plan { name: name.into(), to }
}

fn set_volume(name: &str, to: Option<Volume>) -> Step {
    Step::Volume { name: name.into(), to }
}

/// Returns changes with all kinds of steps: values are set, replaced and removed.
fn changes() -> Vec<Change> {
    let first = vec![
        traffic_class("read"),
        traffic_class("write"),
        set_plan("basic", Some(plan(20.0, None))),
        set_plan("premium", Some(plan(0.0, Some(12.5)))),
        set_volume("school", Some(volume(1, "basic"))),
        set_volume("museum", Some(volume(2, "premium"))),
    ];
    vec![
        change(0, first, "begin"),
        change(
            1,
            vec![set_plan("basic", Some(plan(30.0, Some(10.0)))), set_plan("spare", Some(plan(9.0, None)))],
            "more \"room\"",
        ),
        change(2, vec![set_volume("school", Some(volume(1, "premium"))), set_plan("spare", None)], "move"),
        change(3, vec![set_volume("museum", None)], "closed"),
    ]
}

fn change_log() -> ChangeLog {
    let mut log = ChangeLog::default();
    for (at_us, change) in (1_700_000_000_000_000..).zip(changes()) {
        let Proposal { entry, catalogue } = log.propose(at_us, change, &fleet()).unwrap();
        log.append(entry, catalogue);
    }
    log
}

fn compacted_log() -> ChangeLog {
    let mut log = change_log();
    log.compact(2);
    log
}

/// Returns the catalogue after the first change, as the one that a host's settings begin with.
fn starting_catalogue() -> Catalogue {
    Catalogue::default().apply(&changes()[0], &fleet()).unwrap().catalogue
}

fn commands() -> Vec<Command> {
    let lower = change(1, vec![set_plan("basic", Some(plan(20.0, Some(4.0))))], "lower");
    let unlimited = change(
        2,
        vec![set_volume("school", Some(volume(1, "free"))), set_plan("free", Some(plan(0.0, None)))],
        "free",
    );
    vec![
        Command::Change { at_us: 1_700_000_000_000_001, change: lower },
        Command::Notified { version: 2 },
        Command::Change { at_us: 1_700_000_000_000_002, change: unlimited },
    ]
}

fn replicated_state() -> ReplicatedPlans {
    let mut state = ReplicatedPlans::starting_with(starting_catalogue());
    for command in commands() {
        state.apply(command, &fleet()).unwrap();
    }
    state
}

/// Writes the fixtures if the environment variable is set; does nothing otherwise.
#[test]
fn write_fixtures() {
    if std::env::var_os(WRITE_FIXTURES).is_none() {
        return;
    }
    std::fs::create_dir_all(fixture_path("")).unwrap();
    std::fs::write(fixture_path(CHANGE_LOG), change_log().to_bytes()).unwrap();
    std::fs::write(fixture_path(COMPACTED_LOG), compacted_log().to_bytes()).unwrap();
    std::fs::write(fixture_path(REPLICATED_STATE), replicated_state().to_bytes()).unwrap();
}

/// A field is renamed in Rust, and its JSON key changes with it. Hosts would refuse the change log on their disks after an upgrade.
#[test]
fn a_change_log_of_an_earlier_build_reads_as_it_was_written() {
    let text = fixture(CHANGE_LOG);
    let log = ChangeLog::from_bytes(text.as_bytes(), &fleet()).unwrap();
    assert_eq!(log, change_log());
    assert_eq!(log.head(), LogHead { number: 4, digest: NEWEST_DIGEST });
    assert_eq!(log.checkpoint, Checkpoint::default());
    let read: Vec<&Change> = log.entries.iter().map(|entry| &entry.change).collect();
    assert_eq!(read, changes().iter().collect::<Vec<_>>());
    let plans: Vec<&str> = log.catalogue.plans.keys().map(String::as_str).collect();
    assert_eq!((plans, log.catalogue.version), (vec!["basic", "premium"], 4));
    assert_eq!(log.catalogue.volumes, [("school".to_owned(), volume(1, "premium"))].into());
    assert_eq!(String::from_utf8(change_log().to_bytes()).unwrap(), text);
}

/// A JSON key of the checkpoint changes. Hosts would refuse a compacted log on their disks after an upgrade.
#[test]
fn a_compacted_log_of_an_earlier_build_reads_as_it_was_written() {
    let text = fixture(COMPACTED_LOG);
    let log = ChangeLog::from_bytes(text.as_bytes(), &fleet()).unwrap();
    assert_eq!(log, compacted_log());
    assert_eq!(
        (log.checkpoint.number, log.entries.len(), log.head()),
        (2, 2, LogHead { number: 4, digest: NEWEST_DIGEST })
    );
    assert_eq!(String::from_utf8(compacted_log().to_bytes()).unwrap(), text);
}

/// Hosts of two builds run together during an upgrade. Each must accept the entries of the other.
#[test]
fn each_entry_of_an_earlier_build_is_accepted_from_another_host() {
    let text = fixture(CHANGE_LOG);
    let mut log = ChangeLog::default();
    for line in text.split_inclusive('\n').skip(1) {
        log.append_line(line.as_bytes(), &fleet()).unwrap();
    }
    assert_eq!(log.head(), LogHead { number: 4, digest: NEWEST_DIGEST });
}

/// An entry of an earlier build is altered on disk. Its digest must still reveal that.
#[test]
fn an_altered_entry_of_an_earlier_build_breaks_the_chain() {
    let text = fixture(CHANGE_LOG).replacen("\"why\":\"move\"", "\"why\":\"mode\"", 1);
    let problem = ChangeLog::from_bytes(text.as_bytes(), &fleet()).unwrap_err().to_string();
    assert!(problem.starts_with("entry 3: digest "), "{problem}");
}

/// A host installs a snapshot that a leader of an earlier build took. The resulting state must be identical byte for byte.
#[test]
fn a_replicated_state_of_an_earlier_build_reads_as_it_was_written() {
    let text = fixture(REPLICATED_STATE);
    let state = ReplicatedPlans::from_bytes(text.as_bytes(), &fleet()).unwrap();
    assert_eq!(state, replicated_state());
    let limits =
        (state.fallback_limit("school"), state.fallback_limit("museum"), state.fallback_limit("none"));
    assert_eq!(
        (state.notified_version(), state.awaits_notification(), limits),
        (2, true, (f64::INFINITY, 12.5, 0.0))
    );
    assert_eq!(String::from_utf8(state.to_bytes()).unwrap(), text);
}

/// Asserts that the value is written as the text and that the text is read back as the value.
#[track_caller]
fn assert_form<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, text: &str) {
    assert_eq!(serde_json::to_string(value).unwrap(), text);
    assert_eq!(&serde_json::from_str::<T>(text).unwrap(), value);
}

/// Every build stores commands in the consensus log. Hosts that are not upgraded yet could not read another form.
#[test]
fn commands_of_the_replicated_log_have_these_json_forms() {
    let all = commands();
    assert_form(
        &all[0],
        r#"{"change":{"at_us":1700000000000001,"change":{"base":1,"steps":[{"plan":{"name":"basic","to":{"limit":20.0,"burst":60.0,"slack":8.5,"reserve":5.0,"weight":1.0,"floor":4.0}}}],"who":"ann","why":"lower"}}}"#,
    );
    assert_form(&all[1], r#"{"told":{"version":2}}"#);
    assert_form(
        &all[2],
        r#"{"change":{"at_us":1700000000000002,"change":{"base":2,"steps":[{"volume":{"name":"school","to":{"lun":1,"plan":"free","blocks":100,"extent_blocks":10,"shards":[0,1],"through":[0,1],"reads":"read","writes":"write"}}},{"plan":{"name":"free","to":{"limit":0.0,"burst":60.0,"slack":8.5,"reserve":5.0,"weight":1.0}}}],"who":"ann","why":"free"}}}"#,
    );
}

/// The digests of entries are over these texts. Another form of the same value would break the chain.
#[test]
fn plans_volumes_traffic_classes_and_fleets_have_these_json_forms() {
    assert_form(&plan(20.0, None), r#"{"limit":20.0,"burst":60.0,"slack":8.5,"reserve":5.0,"weight":1.0}"#);
    assert_form(
        &plan(20.0, Some(4.5)),
        r#"{"limit":20.0,"burst":60.0,"slack":8.5,"reserve":5.0,"weight":1.0,"floor":4.5}"#,
    );
    assert_form(
        &volume(1, "basic"),
        r#"{"lun":1,"plan":"basic","blocks":100,"extent_blocks":10,"shards":[0,1],"through":[0,1],"reads":"read","writes":"write"}"#,
    );
    assert_form(
        &traffic_class("read"),
        r#"{"stream":{"name":"read","to":{"slo_ms":100.0,"expiry_ms":1000.0}}}"#,
    );
    assert_form(&set_plan("spare", None), r#"{"plan":{"name":"spare","to":null}}"#);
    assert_form(&set_volume("school", None), r#"{"volume":{"name":"school","to":null}}"#);
    assert_form(&fleet(), r#"{"hosts":4,"most_units":8.0,"bears":{"0":100.0,"1":100.5}}"#);
    assert_form(
        &starting_catalogue(),
        r#"{"version":1,"plans":{"basic":{"limit":20.0,"burst":60.0,"slack":8.5,"reserve":5.0,"weight":1.0},"premium":{"limit":0.0,"burst":60.0,"slack":8.5,"reserve":5.0,"weight":1.0,"floor":12.5}},"volumes":{"museum":{"lun":2,"plan":"premium","blocks":100,"extent_blocks":10,"shards":[0,1],"through":[0,1],"reads":"read","writes":"write"},"school":{"lun":1,"plan":"basic","blocks":100,"extent_blocks":10,"shards":[0,1],"through":[0,1],"reads":"read","writes":"write"}},"streams":{"read":{"slo_ms":100.0,"expiry_ms":1000.0},"write":{"slo_ms":100.0,"expiry_ms":1000.0}},"moved":{"plan basic":1,"plan premium":1,"stream read":1,"stream write":1,"volume museum":1,"volume school":1}}"#,
    );
}
