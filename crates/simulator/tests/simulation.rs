//! The simulator itself: a seed replays to the byte, clean seeds stay clean, and deliberate faults are found.

use tackmast_scenario::Script;
use tackmast_simulator::{
    hunt, play, play_with, shrink, shrink_worse, worse_than, Change, Found, Mutant, ReferenceModel, Run,
    UnsupportedScript, World,
};
use tackmast_trace::{Event, Line};

/// A violation is investigated by playing its seed again, so that a seed must give the same trace to the byte, on any thread.
#[test]
fn same_seed_gives_the_same_trace_on_any_thread() {
    let digest = |seed| play(&World::generate(seed, 6), None).run.digest();
    let here: Vec<u32> = (1..5).map(digest).collect();
    let threads: Vec<_> = (1..5).map(|seed| std::thread::spawn(move || digest(seed))).collect();
    let elsewhere: Vec<u32> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    assert_eq!(here, elsewhere);
    assert_ne!(here[0], here[1]);
}

/// Variants are compared seed by seed, so that a seed must give one trace under a reference model too, also where sessions of
/// clients end while they have several commands open.
#[test]
fn same_seed_gives_the_same_trace_under_a_reference_model() {
    for model in [ReferenceModel::Fcfs, ReferenceModel::Caps, ReferenceModel::Buckets] {
        for seed in [3, 8] {
            let digest = || play_with(&World::generate(seed, 7), None, Some(model)).run.digest();
            assert_eq!(digest(), digest(), "{model:?}, seed {seed}");
        }
    }
}

/// Worlds with random faults are played seed after seed. No invariant may break, and when all is over no request, attempt
/// or call may be left in a table.
#[test]
fn seeds_break_no_invariant_and_leave_nothing_open() {
    let mut exercised = [0; 7];
    // A debug build is ten times slower; CI runs this one optimised as well.
    let seeds = if cfg!(debug_assertions) { 40 } else { 300 };
    for seed in 1..=seeds {
        let found = play(&World::generate(seed, 3 + seed as u32 % 8), None);
        assert!(!found.is_bad(), "seed {seed}, {} stuck:\n{}", found.run.stuck, found.report);
        for rule in &found.report.rules {
            exercised[usize::from(rule.rule) - 1] += rule.checked;
        }
    }
    assert!(exercised.iter().all(|checked| *checked > 50), "{exercised:?}");
}

/// Seeds that once broke the invariant on warming up: nodes that restart together, fail quickly, or start under wrong
/// clocks got more load than they can bear. Found by the hunt.
#[test]
fn warming_nodes_that_fail_quickly_get_no_more_load() {
    // In order: all nodes restart while one fails most of its requests at once; the same where a node bears little more
    // than its capacity; hosts whose wall clocks are a minute off, with an endpoint list without a clock; nodes that cache
    // an object that all clients read.
    for (seed, hosts) in [(223, 10), (200_824, 5), (200_122, 23), (153, 34)] {
        let found = play(&World::generate(seed, hosts), None);
        assert!(!found.is_bad() && found.report.rule(4).checked > 100, "seed {seed}\n{}", found.report);
    }
}

/// The host core has one deliberate fault at a time. The hunt must find each within its number of seeds, and shrinking
/// a find must leave a find.
#[test]
fn deliberate_faults_are_found_and_shrink() {
    // The fault, hosts, and the seeds within which it must be found.
    for (mutant, hosts, within) in [
        (Mutant::GraceIgnored, 6, 40),
        (Mutant::HedgeTooEarly, 6, 3),
        (Mutant::AnswerLost, 6, 3),
        (Mutant::AnswerTwice, 6, 3),
        (Mutant::AnswerLate, 6, 3),
        (Mutant::FalseRejection, 6, 10),
        (Mutant::LimitAlone, 6, 40),
        (Mutant::OrderIgnored, 6, 10),
        (Mutant::BudgetIgnored, 12, 40),
        (Mutant::WarmUpIgnored, 12, 100),
        (Mutant::PlanIgnored, 6, 60),
    ] {
        let found = hunt(1, within, hosts, Some(mutant));
        let found = found.unwrap_or_else(|| panic!("{mutant:?}: not found within {within} seeds"));
        if mutant == Mutant::AnswerTwice {
            let world = World::generate(found.seed, hosts);
            let smaller = shrink(&world, Some(mutant));
            assert!(play(&smaller, Some(mutant)).is_bad() && smaller.faults.len() <= world.faults.len());
        }
    }
}

/// A light workload over many nodes, each of which rarely gets a request. Nearly all requests must be done in time: a quiet
/// node once took far too long, because the simulator advanced a node only when something arrived at it.
#[test]
fn light_workload_is_served_in_time_by_many_quiet_nodes() {
    let load = tackmast_workload::Workload::parse(
        "light",
        "load {\n seconds = 4\n seed = 1\n}\nflow \"f\" {\n volume = \"museum\"\n rate = 60\n writes = 0.3\n blocks = [1, 8]\n span = 50000\n}\n",
    );
    for (hosts, nodes, clients) in [(1, 8, [0, 0]), (3, 4, [1, 1]), (20, 20, [0, 0])] {
        let mut world = World::generate(5, hosts);
        world.faults.clear();
        (world.nodes, world.clients, world.unit_s, world.seconds) = (nodes, clients, 0.004, 5.0);
        world.load = Some(std::sync::Arc::new(load.clone().unwrap()));
        let run = play(&world, None).run;
        let in_time = run.in_time as f64 / run.asked as f64;
        assert!(
            run.asked > 150 && in_time > 0.97,
            "{hosts} hosts, {nodes} nodes: {in_time} of {}",
            run.asked
        );
    }
}

/// A generated world is scaled down, exported as a scenario script and read back. The script must ask for about as much and
/// be served about as well.
#[test]
fn exported_world_plays_like_the_world() {
    // The seed, the hosts, and the hosts to which the world is scaled down.
    for (seed, hosts, scaled) in [(12, 8, 8), (14, 6, 6), (12, 20, 4)] {
        let mut world = World::generate(seed, hosts);
        world.clients = [0, 0];
        let small = world.scaled(scaled);
        let script = Script::parse("kept", &small.to_script()).unwrap_or_else(|e| panic!("{e}"));
        let (again, _) = World::of_script(script, seed).unwrap();
        assert_eq!((again.hosts, again.nodes), (small.hosts, small.nodes));
        let (generated, exported) = (play(&small, None), play(&again, None));
        assert!(
            !generated.is_bad() && !exported.is_bad(),
            "seed {seed}\n{}{}",
            generated.report,
            exported.report
        );
        let load_ratio = exported.run.asked as f64 / generated.run.asked as f64;
        let in_time = |run: &Run| run.in_time as f64 / run.asked as f64;
        let (before, after) = (in_time(&generated.run), in_time(&exported.run));
        assert!((0.8..1.25).contains(&load_ratio), "seed {seed}: {load_ratio} times as many requests");
        assert!((before - after).abs() < 0.2, "seed {seed}: {before} and {after} in time");
    }
}

/// A find is shrunk and exported as a scenario script. Played from the script it must still be a find, and be clean without
/// the deliberate fault.
#[test]
fn exported_find_is_found_again() {
    let found = hunt(1, 10, 6, Some(Mutant::AnswerTwice)).expect("found in the test above");
    let smaller = shrink(&World::generate(found.seed, 6), Some(Mutant::AnswerTwice));
    let (again, _) =
        World::of_script(Script::parse("kept", &smaller.to_script()).unwrap(), found.seed).unwrap();
    assert!(play(&again, Some(Mutant::AnswerTwice)).is_bad() && !play(&again, None).is_bad());
}

/// The scenario scripts that are otherwise played through sockets are played in virtual time, with four seeds each. No
/// invariant may break and no node may collapse.
#[test]
fn scenario_scripts_break_no_invariant_in_virtual_time() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut played = 0;
    for entry in std::fs::read_dir(&folder).unwrap() {
        let path = entry.unwrap().path();
        let is_scenario = path.extension().is_some_and(|e| e == "hcl") && !path.ends_with("pool.hcl");
        if !is_scenario {
            continue;
        }
        for seed in 1..5 {
            let script = Script::read(&path).unwrap_or_else(|error| panic!("{error}"));
            let (world, _) = World::of_script(script, seed).unwrap();
            let found = play(&world, None);
            assert!(!found.is_bad() && found.run.fallen == 0, "{} {seed}\n{}", path.display(), found.report);
        }
        played += 1;
    }
    assert!(played >= 8, "{played} scenarios");
}

/// A developer plays a script in virtual time whose hosts use consensus, which is not simulated. The command used to panic on the settings of
/// the first host; it has to say what is not supported.
#[test]
fn script_with_consensus_is_refused() {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../scenarios/consensus/minority-partition.hcl");
    let script = Script::read(&path).unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(World::of_script(script, 1).map(|_| ()), Err(UnsupportedScript::Consensus));
}

/// The hunt for worlds in which a reference model serves better than the host core: under a light load it must find no
/// difference, and in an overload the difference must survive shrinking.
#[test]
fn worlds_where_a_reference_model_does_better_are_found_and_shrink() {
    // Under a light load without faults a host without any guard can't be far ahead.
    let mut calm = World::generate(3, 4);
    calm.faults.clear();
    calm.rate *= 0.2;
    // The reference model keeps to the same limits as the core.
    assert!(worse_than(&calm, ReferenceModel::Buckets) < 0.02);
    // In an overload a reference model is far behind, and shrinking removes what is not needed for that.
    let mut overloaded = World::generate(3, 4);
    overloaded.rate *= 4.0;
    let difference = worse_than(&overloaded, ReferenceModel::Fcfs);
    assert!(difference < -0.05, "{difference}");
    let min_difference = difference * 1.5;
    let smaller = shrink_worse(&overloaded, ReferenceModel::Fcfs, min_difference);
    assert!(smaller.faults.len() <= overloaded.faults.len());
    assert!(worse_than(&smaller, ReferenceModel::Fcfs) >= min_difference);
}

/// A comparison plays the same world under variants. A variant without a retry budget must retry nothing, one with a longer
/// latency objective must be in time more often, and one with a node out of service must send nothing there.
#[test]
fn variants_change_what_they_name() {
    let play_changed = |change: Change| {
        let mut world = Change { seconds: Some(5.0), ..change }.of(7, 6);
        world.clients = [0, 0];
        play(&world, None)
    };
    let unchanged = play_changed(Change::default());
    // Without a share of retries there are fewer; a longer latency objective is met more often; a node out of service gets none.
    let retries = |found: &Found| found.report.rule(6).checked;
    let without_budget = play_changed(Change {
        set: [("share".into(), 0.0), ("free".into(), 0.0)].into(),
        ..Change::default()
    });
    let (usual, few) = (retries(&unchanged), retries(&without_budget));
    assert!(usual > 0 && few == 0, "{usual} and {few}");
    let lenient = play_changed(Change { set: [("slo_ms".into(), 900.0)].into(), ..Change::default() });
    assert!(lenient.run.in_time > unchanged.run.in_time);
    let out_of_service = play_changed(Change { out: 0.34, no_troubles: true, ..Change::default() });
    let attempts_at_first_node = |found: &Found| {
        let is_at_first_node =
            |line: &&Line| matches!(&line.event, Event::Attempt { node, .. } if node == "10.0.0.0:9000");
        found.run.trace.iter().filter(is_at_first_node).count()
    };
    assert!(out_of_service.run.orders.0 >= 6 && !out_of_service.is_bad(), "{}", out_of_service.report);
    let (usual, few) = (attempts_at_first_node(&unchanged), attempts_at_first_node(&out_of_service));
    assert!(few * 10 < usual, "{usual} and {few}");
}

/// Operators change the limit of a volume while its hosts are killed, stopped and partitioned. All hosts together must keep
/// to the limits that may be in force, and most changes must be adopted in time.
#[test]
fn changed_limits_are_kept_by_all_hosts_together() {
    let (mut acknowledged, mut in_time, mut checked) = (0, 0, 0);
    let fleet_sizes = if cfg!(debug_assertions) { &[4u32, 9][..] } else { &[4, 9, 30, 140] };
    for hosts in fleet_sizes {
        let world_count = if *hosts > 50 { 4 } else { 12 + 13 * usize::from(!cfg!(debug_assertions)) };
        let worlds = (9000..).map(|seed| World::generate(seed, *hosts));
        for world in worlds.filter(World::has_plans).take(world_count) {
            let found = play(&world, None);
            let (seed, stuck) = (world.seed, found.run.stuck);
            assert!(!found.is_bad(), "seed {seed} of {hosts}, {stuck} stuck:\n{}", found.report);
            acknowledged += found.run.plans.0;
            in_time += found.run.plans.1;
            checked += found.report.rule(7).checked;
        }
    }
    assert!(acknowledged > 50 && checked > 1000, "{acknowledged} changes, {checked} attempts under a limit");
    // The other changes meet hosts that are partitioned off, killed or paused for longer than a change may take.
    assert!(in_time * 2 > acknowledged, "{in_time} of {acknowledged} changes were adopted in time");
}
