//! The model in virtual time.

use super::*;

fn job(id: u64, units: f64) -> Job {
    Job { id, units, write: false, key: id, is_retry: false, deadline_us: u64::MAX }
}

/// Outcomes with their times in milliseconds, when jobs of one unit arrive at time 0.
fn run_jobs(behavior: NodeBehavior, jobs: u64, set: impl Fn(&mut NodeModel)) -> Vec<(u64, u64, JobOutcome)> {
    let mut model = NodeModel::new(0, behavior, 1, false);
    set(&mut model);
    (0..jobs).for_each(|id| model.receive(0, job(id, 1.0)));
    let mut found = Vec::new();
    let mut now_us = 0;
    loop {
        found.extend(model.take_ended().into_iter().map(|ended| (now_us / 1000, ended.id, ended.outcome)));
        match model.poll_timeout().filter(|time_us| *time_us < 1_000_000) {
            Some(time_us) => now_us = time_us,
            None => return found,
        }
        model.advance(now_us);
    }
}

/// Jobs of 10 ms arrive at once at a small node, also with each fault. They end in order at the expected times, or at once if the
/// queue is full.
#[test]
fn jobs_end_in_order_after_their_work() {
    use JobOutcome::{Done, Error, NeverRan};
    let one = NodeBehavior { cores: 1, unit_s: 0.01, queue: 2, ..NodeBehavior::default() };
    let two = NodeBehavior { cores: 2, ..one.clone() };
    type Set = fn(&mut NodeModel);
    type Case<'a> = (&'a str, &'a NodeBehavior, u64, Set, &'a [(u64, u64, JobOutcome)]);
    let cases: &[Case] = &[
        ("one after the other", &one, 3, |_| {}, &[(10, 0, Done), (20, 1, Done), (30, 2, Done)]),
        ("two cores", &two, 2, |_| {}, &[(10, 0, Done), (10, 1, Done)]),
        ("full", &one, 4, |_| {}, &[(0, 3, NeverRan), (10, 0, Done), (20, 1, Done), (30, 2, Done)]),
        ("slow", &one, 1, |model| model.faults.slowdown = 5.0, &[(50, 0, Done)]),
        ("neighbour", &one, 1, |model| model.faults.neighbour_share = 0.5, &[(20, 0, Done)]),
        (
            "heavy",
            &one,
            1,
            |model| (model.faults.heavy_fraction, model.faults.heavy_multiple) = (1.0, 3.0),
            &[(30, 0, Done)],
        ),
        ("errors", &one, 1, |model| model.faults.error_rate = 1.0, &[(0, 0, Error)]),
        ("paused", &one, 2, |model| model.pause(0, 0.1), &[(110, 0, Done), (120, 1, Done)]),
    ];
    for (name, behavior, jobs, set, expected) in cases {
        assert_eq!(&run_jobs((*behavior).clone(), *jobs, set), expected, "{name}");
    }
}

/// A node has just started at a fifth of its speed. It bears a certain amount of work while it warms up, and collapses under more.
#[test]
fn warming_node_is_slow_and_collapses_under_overload() {
    let behavior = NodeBehavior {
        cores: 1,
        unit_s: 0.01,
        warm_up_s: 10.0,
        initial_capacity: 0.2,
        ..NodeBehavior::default()
    };
    let mut model = NodeModel::new(0, behavior, 1, true);
    model.receive(0, job(1, 1.0));
    assert_eq!(model.poll_timeout(), Some(50_000), "a fifth of its speed");
    // It bears twice 20 units a second over 3 s, a little more as it warms.
    (2..120).for_each(|id| model.receive(id * 1000, job(id, 1.0)));
    assert!(!model.has_collapsed());
    (120..130).for_each(|id| model.receive(id * 1000, job(id, 1.0)));
    assert!(model.has_collapsed());
}

/// A host cancels a job that waits and one that runs. Only the first can be dropped.
#[test]
fn cancelled_job_is_dropped_while_it_waits() {
    let mut model =
        NodeModel::new(0, NodeBehavior { cores: 1, unit_s: 0.01, ..NodeBehavior::default() }, 1, false);
    (0..3).for_each(|id| model.receive(0, job(id, 1.0)));
    assert!(model.cancel(1000, 1) && !model.cancel(1000, 0), "waiting, and running");
    assert_eq!(model.take_ended(), [EndedJob { id: 1, outcome: JobOutcome::NeverRan }]);
    model.advance(20_000);
    assert_eq!(model.take_ended(), [0, 2].map(|id| EndedJob { id, outcome: JobOutcome::Done }));
}
