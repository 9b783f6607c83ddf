//! Tests that changes are atomic, concurrent changes, undo, and a change log that is truncated or altered at each byte.

use tackmast_plans::*;

fn plan(limit: f64) -> Plan {
    Plan { limit, burst: 60.0, slack: 8.0, reserve: 5.0, weight: 1.0, floor: None }
}

fn volume(lun: u32, plan: &str) -> Volume {
    let (reads, writes) = ("read".into(), "write".into());
    Volume {
        lun,
        plan: plan.into(),
        blocks: 100,
        extent_blocks: 10,
        shards: vec![0, 1],
        through: vec![0, 1],
        reads,
        writes,
    }
}

fn set_plan(name: &str, to: Option<Plan>) -> Step {
    Step::Plan { name: name.into(), to }
}

fn set_volume(name: &str, to: Option<Volume>) -> Step {
    Step::Volume { name: name.into(), to }
}

fn traffic_class(name: &str) -> Step {
    Step::TrafficClass {
        name: name.into(),
        to: Some(TrafficClass { latency_objective_ms: 100.0, deadline_ms: 1000.0 }),
    }
}

fn change(base: u64, steps: Vec<Step>) -> Change {
    Change { base, steps, who: "ann".into(), why: "test".into() }
}

fn fleet() -> Fleet {
    Fleet { hosts: 4, max_units: 8.0, bears: [(0, 100.0), (1, 100.0)].into() }
}

fn put(log: &mut ChangeLog, change: Change) -> Result<u64, Refusal> {
    let at_us = 1_000 + log.entries.len() as u64;
    let Proposal { entry, catalogue } = log.propose(at_us, change, &fleet())?;
    log.append(entry, catalogue);
    Ok(log.catalogue.version)
}

fn short_log() -> ChangeLog {
    let mut log = ChangeLog::default();
    let steps = vec![
        traffic_class("read"),
        traffic_class("write"),
        set_plan("basic", Some(plan(20.0))),
        set_plan("premium", Some(plan(0.0))),
        set_volume("school", Some(volume(1, "basic"))),
        set_volume("museum", Some(volume(2, "premium"))),
    ];
    put(&mut log, change(0, steps)).unwrap();
    log
}

/// One step of a change is not allowed. If the other steps still applied, volumes would have plans that nobody requested.
#[test]
fn a_change_applies_in_full_or_not_at_all() {
    let far = Volume { through: vec![0, 9], ..volume(3, "basic") };
    let lost = Volume { shards: vec![7], ..volume(3, "basic") };
    let cases: Vec<(Vec<Step>, &str)> = vec![
        (vec![set_plan("basic", None)], "volume school plan: \"basic\"; expected the name of a plan"),
        (
            vec![set_volume("x", Some(volume(2, "basic")))],
            "volume x lun: 2; expected a number that museum does not have",
        ),
        (vec![set_volume("x", Some(far))], "volume x through: [0, 9]; expected different numbers below 4"),
        (vec![set_volume("x", Some(lost))], "volume x shards: 7; expected a shard that some node holds"),
        (
            vec![set_plan("basic", Some(Plan { weight: 0.0, ..plan(20.0) }))],
            "plan basic weight: 0; expected a number above 0",
        ),
        (
            vec![set_plan("basic", Some(Plan { burst: 10.0, ..plan(20.0) }))],
            "volume school through: 2 hosts share a burst of 10; expected 8 units or more each",
        ),
        (
            vec![set_plan("premium", Some(Plan { reserve: 500.0, ..plan(0.0) }))],
            "shard 0: 252.5 units per second reserved; expected at most 90.0, 0.9 of what its node can serve",
        ),
        (
            vec![set_plan("basic", Some(Plan { reserve: 30.0, ..plan(20.0) }))],
            "plan basic reserve: 30; expected at most the limit, 20",
        ),
        (vec![], "steps: 0; expected 1 to 10000"),
    ];
    for (mut steps, expected) in cases {
        // The change has another step, which must not apply either.
        if !steps.is_empty() {
            steps.insert(0, set_plan("more", Some(plan(10.0))));
        }
        let mut log = short_log();
        let before = log.clone();
        let refused = put(&mut log, change(1, steps)).unwrap_err();
        assert_eq!(refused.to_string(), expected);
        assert_eq!(log, before);
    }
    // A plan can be removed together with the volumes on it moving to another.
    let mut log = short_log();
    let moved = vec![set_volume("school", Some(volume(1, "premium"))), set_plan("basic", None)];
    assert_eq!(put(&mut log, change(1, moved)), Ok(2));
}

/// Two operators base changes on the same version. Without a check, the second operator would overwrite the first one's change without
/// having seen it.
#[test]
fn of_two_concurrent_changes_the_later_is_refused_with_what_changed() {
    // The steps of the second change, based on version 1 after another has changed plan basic; and the conflict, if any.
    let cases = [
        (vec![set_plan("basic", Some(plan(30.0)))], Some("plan basic")),
        (vec![set_volume("school", Some(volume(1, "basic")))], Some("plan basic")),
        (vec![set_plan("premium", Some(Plan { weight: 3.0, ..plan(0.0) }))], None),
    ];
    for (steps, moved) in cases {
        let mut log = short_log();
        put(&mut log, change(1, vec![set_plan("basic", Some(plan(25.0)))])).unwrap();
        let expected = match moved {
            Some(title) => Err(Refusal::Conflict { base: 1, now: 2, moved: vec![title.to_owned()] }),
            None => Ok(3),
        };
        assert_eq!(put(&mut log, change(1, steps)), expected);
    }
}

/// An operator undoes a change after another operator has changed the same plan again. The undo must not silently revert the later
/// change.
#[test]
fn an_undo_is_a_new_change_and_conflicts_with_later_ones() {
    let mut log = short_log();
    let before = log.catalogue.clone();
    put(&mut log, change(1, vec![set_plan("basic", Some(plan(25.0))), set_plan("new", Some(plan(10.0)))]))
        .unwrap();
    let undo = log.undo_change(2, "bob", "back").unwrap();
    assert_eq!(put(&mut log, undo), Ok(3));
    assert_eq!((log.catalogue.plans.clone(), log.entries.len()), (before.plans.clone(), 3));
    assert!(before.diff(&log.catalogue).is_empty());
    put(&mut log, change(3, vec![set_plan("basic", Some(plan(26.0)))])).unwrap();
    let again = log.undo_change(2, "bob", "back").unwrap();
    assert!(
        matches!(put(&mut log, again), Err(Refusal::Conflict { moved, .. }) if moved.contains(&"plan basic".into()))
    );
    assert!(log.undo_change(99, "bob", "back").is_none());
}

fn long_log() -> ChangeLog {
    let mut log = short_log();
    for i in 0..6u32 {
        let base = log.catalogue.version;
        put(&mut log, change(base, vec![set_plan("basic", Some(plan(21.0 + f64::from(i))))])).unwrap();
    }
    log
}

/// The host loses power while it writes the change log. Every acknowledged entry must be read, and no partial one.
#[test]
fn a_log_truncated_at_any_byte_has_all_complete_entries_and_no_others() {
    let log = long_log();
    let bytes = log.to_bytes();
    assert!(ChangeLog::from_bytes(&bytes, &fleet()) == Ok(log.clone()));
    for cut in 0..bytes.len() {
        let found =
            ChangeLog::from_bytes(&bytes[..cut], &fleet()).unwrap_or_else(|e| panic!("cut at {cut}: {e}"));
        let whole = bytes[..cut].iter().filter(|b| **b == b'\n').count().saturating_sub(1);
        assert_eq!(found.entries, log.entries[..whole], "cut at {cut}");
    }
}

/// Someone edits, removes or reorders entries of a stored log. Hosts that accepted it would have different plans.
#[test]
fn each_alteration_of_the_log_is_detected() {
    let log = long_log();
    let bytes = log.to_bytes();
    let first = bytes.iter().position(|b| *b == b'\n').unwrap() + 1;
    // Each byte of each entry is changed, except the last newline: without it the last line is truncated, which is no error.
    for at in first..bytes.len() - 1 {
        let mut altered = bytes.clone();
        altered[at] = if altered[at] == b'1' { b'2' } else { b'1' };
        assert!(ChangeLog::from_bytes(&altered, &fleet()).is_err(), "byte {at}");
    }
    // Entries that are removed, repeated, or in another order.
    let lines: Vec<&[u8]> = bytes.split_inclusive(|b| *b == b'\n').collect();
    for order in [vec![0, 1, 3, 4], vec![0, 1, 2, 2], vec![0, 2, 1], vec![1, 2]] {
        let altered: Vec<u8> = order.iter().flat_map(|i| lines[*i].iter().copied()).collect();
        assert!(ChangeLog::from_bytes(&altered, &fleet()).is_err(), "{order:?}");
    }
}

/// Old entries are compacted into the checkpoint. The rest must still verify and result in the same catalogue.
#[test]
fn compaction_keeps_the_chain_and_the_catalogue() {
    for keep in 0..8 {
        let log = long_log();
        let mut compacted = log.clone();
        compacted.compact(keep);
        assert_eq!(compacted.entries.len(), keep.min(7));
        assert_eq!(compacted.catalogue, log.catalogue);
        let again = ChangeLog::from_bytes(&compacted.to_bytes(), &fleet()).unwrap();
        assert_eq!(again.catalogue, log.catalogue, "keep {keep}");
        let base = compacted.catalogue.version;
        assert!(put(&mut compacted, change(base, vec![set_plan("basic", Some(plan(50.0)))])).is_ok());
    }
}

/// A host replays the log after a restart. If the replay resulted in another catalogue, hosts would have different plans.
#[test]
fn random_changes_replay_to_the_same_catalogue() {
    let mut random = oorandom::Rand64::new(8);
    let mut log = short_log();
    let (mut passed, mut refused) = (0, 0);
    for _ in 0..400 {
        let base = log.catalogue.version - random.rand_range(0..log.catalogue.version.min(4));
        let names = ["basic", "premium", "x", "y"];
        let name = names[random.rand_range(0..4) as usize];
        let steps = match random.rand_range(0..4) {
            0 => vec![set_plan(name, Some(plan(random.rand_float() * 50.0)))],
            1 => vec![set_plan(name, None)],
            2 => vec![set_volume(
                name,
                Some(volume(random.rand_range(0..6) as u32, names[random.rand_range(0..4) as usize])),
            )],
            _ => vec![set_volume(name, None), set_plan(name, Some(plan(9.0)))],
        };
        match put(&mut log, change(base, steps)) {
            Ok(_) => passed += 1,
            Err(_) => refused += 1,
        }
    }
    assert!(passed > 50 && refused > 50, "{passed} passed, {refused} refused");
    let again = ChangeLog::from_bytes(&log.to_bytes(), &fleet()).unwrap_or_else(|e| panic!("{e}"));
    assert!(again == log, "the replay results in another log");
}
