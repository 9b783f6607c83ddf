//! Histories that can have happened pass; those that can't are refused with the reason.

use super::*;

fn operation(called_at: f64, returned_at: f64, caller: &str, outcome: Outcome) -> Operation {
    Operation { called_at, returned_at, caller: caller.into(), outcome }
}

fn applied(base: u64) -> Outcome {
    Outcome::Applied { base, version: base + 1 }
}

fn read(version: u64) -> Outcome {
    Outcome::Read { version, digest: format!("d{version}") }
}

/// Several operators change and read one object at once. A history passes if each call can have taken effect at one moment between
/// its call and its response, and is refused with the reason otherwise.
#[test]
fn histories_pass_if_one_order_explains_them() {
    use Outcome::{Conflict, Unknown};
    let other = Outcome::Read { version: 1, digest: "other".into() };
    // What is done, and a part of why it can't be.
    let cases: Vec<(&str, Vec<Operation>, Option<&str>)> = vec![
        (
            "one after the other",
            vec![operation(0.0, 1.0, "a", applied(0)), operation(2.0, 3.0, "b", read(1))],
            None,
        ),
        (
            "at once, either order",
            vec![operation(0.0, 5.0, "a", applied(0)), operation(1.0, 2.0, "b", read(0))],
            None,
        ),
        (
            "at once, the other",
            vec![operation(0.0, 5.0, "a", applied(0)), operation(1.0, 2.0, "b", read(1))],
            None,
        ),
        (
            "a stale read",
            vec![operation(0.0, 1.0, "a", applied(0)), operation(2.0, 3.0, "b", read(0))],
            Some("read version 0"),
        ),
        (
            "a read of what is to come",
            vec![operation(2.0, 3.0, "a", applied(0)), operation(0.0, 1.0, "b", read(1))],
            Some("by 1.0"),
        ),
        (
            "reads go back",
            vec![
                operation(0.0, 9.0, "a", applied(0)),
                operation(1.0, 2.0, "b", read(1)),
                operation(3.0, 4.0, "c", read(0)),
            ],
            Some("version 1"),
        ),
        (
            "two on one version",
            vec![operation(0.0, 1.0, "a", applied(0)), operation(0.0, 1.0, "b", applied(0))],
            Some("both made"),
        ),
        (
            "a change is lost",
            vec![
                operation(0.0, 1.0, "a", applied(0)),
                operation(2.0, 3.0, "b", applied(1)),
                operation(4.0, 5.0, "c", read(1)),
            ],
            Some("version 2"),
        ),
        ("out of nothing", vec![operation(0.0, 1.0, "b", read(1))], Some("nobody can have made it")),
        (
            "an unknown one held",
            vec![operation(0.0, 1.0, "a", Unknown { base: 0 }), operation(2.0, 3.0, "b", read(1))],
            None,
        ),
        (
            "it held late",
            vec![
                operation(0.0, 1.0, "a", Unknown { base: 0 }),
                operation(2.0, 3.0, "b", read(0)),
                operation(4.0, 5.0, "b", read(1)),
            ],
            None,
        ),
        (
            "it held before it was asked for",
            vec![operation(4.0, 5.0, "a", Unknown { base: 0 }), operation(2.0, 3.0, "b", read(1))],
            Some("asked for it"),
        ),
        (
            "refused rightly",
            vec![operation(0.0, 1.0, "a", applied(0)), operation(2.0, 3.0, "b", Conflict { base: 0 })],
            None,
        ),
        (
            "refused before there was anything",
            vec![operation(2.0, 3.0, "a", applied(0)), operation(0.0, 1.0, "b", Conflict { base: 0 })],
            Some("was refused"),
        ),
        (
            "forked",
            vec![
                operation(0.0, 1.0, "a", applied(0)),
                operation(2.0, 3.0, "b", read(1)),
                operation(2.0, 3.0, "c", other),
            ],
            Some("different things"),
        ),
        (
            "a version is passed over",
            vec![operation(0.0, 1.0, "a", Outcome::Applied { base: 0, version: 2 })],
            Some("made version 2"),
        ),
    ];
    for (name, operations, expected) in cases {
        let found = check(&operations);
        match expected {
            None => assert_eq!(found, Ok(()), "{name}"),
            Some(part) => {
                let why = found.expect_err(name).to_string();
                assert!(why.contains(part), "{name}: {why}");
            }
        }
    }
}

/// Three clients call a counter that is linearizable by construction, which must pass. Then the last read of a late version is
/// altered to an old version, as a stale replica would answer it, which must be found.
#[test]
fn real_history_passes_and_stale_read_is_found() {
    let mut random = oorandom::Rand64::new(9);
    let mut caught = 0;
    for _ in 0..200 {
        // Each call takes effect at a moment of its own between call and response.
        let (mut version, mut effect_at, mut operations) = (0u64, 0.0f64, Vec::new());
        let mut free_at = [0.0f64; 3];
        for call in 0..30 {
            let client = call % 3;
            let called_at = free_at[client].max(effect_at - 0.5);
            effect_at = effect_at.max(called_at) + 0.01 + random.rand_float();
            let returned_at = effect_at + random.rand_float();
            free_at[client] = returned_at;
            let outcome = match random.rand_range(0..4) {
                0 if version > 0 => Outcome::Conflict { base: random.rand_range(0..version) },
                1 | 2 => {
                    version += 1;
                    applied(version - 1)
                }
                _ => read(version),
            };
            operations.push(operation(called_at, returned_at, &format!("{client}/{call}"), outcome));
        }
        assert_eq!(check(&operations), Ok(()), "{operations:?}");
        // The last read, made to say what was before all but the first two changes.
        if let Some(last) = operations
            .iter()
            .rposition(|operation| matches!(operation.outcome, Outcome::Read { version, .. } if version > 6))
        {
            operations[last].outcome = read(1);
            caught += 1;
            assert!(check(&operations).is_err(), "{operations:?}");
        }
    }
    assert!(caught > 100, "{caught}");
}
