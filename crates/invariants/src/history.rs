//! Whether what operators saw of agreed changes can have happened one after the other: each change and read at one moment
//! between its call and its answer (linearizability: Herlihy and Wing, 1990). The changes all touch one thing and name the
//! version they were made on, so that one of them succeeds on each version: for such a history the check is exact, and takes
//! one pass. It knows nothing of how hosts agree.

use std::collections::BTreeMap;

/// What came of one call.
#[derive(Clone, Debug, PartialEq)]
pub enum Came {
    /// A change made on a version holds and made that one.
    Applied { base: u64, version: u64 },
    /// It was refused, as somebody had moved the thing since.
    Conflict { base: u64 },
    /// Nobody knows: it may hold, then or later.
    Unknown { base: u64 },
    /// A read, and a mark of all that it read.
    Read { version: u64, digest: String },
}

/// Seconds, by one clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Op {
    pub began: f64,
    pub ended: f64,
    pub by: String,
    pub came: Came,
}

/// Why no order of the calls explains what came of them.
pub fn judge(ops: &[Op]) -> Result<(), String> {
    // Of each version, who made it: when it was asked for, and by when it held.
    let mut made: BTreeMap<u64, (f64, f64, &str)> = BTreeMap::new();
    for o in ops {
        let Came::Applied { base, version } = o.came else { continue };
        if version != base + 1 {
            return Err(format!("{}: a change on version {base} made version {version}", o.by));
        }
        if let Some((_, _, other)) = made.insert(version, (o.began, o.ended, &o.by)) {
            return Err(format!("{other} and {} both made version {version}", o.by));
        }
    }
    let mut digests: BTreeMap<u64, (&str, &str)> = BTreeMap::new();
    let mut newest = made.keys().last().copied().unwrap_or(0);
    for o in ops {
        let Came::Read { version, digest } = &o.came else { continue };
        newest = newest.max(*version);
        let (known, by) = *digests.entry(*version).or_insert((digest, &o.by));
        if known != digest {
            return Err(format!("{by} and {} read different things of version {version}", o.by));
        }
    }
    // Versions that somebody knows of and nobody was told to have made are those of unknown outcome.
    for version in 1..=newest {
        if made.contains_key(&version) {
            continue;
        }
        let by = ops.iter().filter(|o| o.came == Came::Unknown { base: version - 1 });
        let first = by.map(|o| (o.began, &o.by)).min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((began, by)) = first else {
            return Err(format!("version {version} was read, and nobody can have made it"));
        };
        made.insert(version, (began, f64::INFINITY, by));
    }
    // Each version begins at one moment: not before it was asked for, nor before a read of an earlier one was; by when it
    // was told of, by when a read of it or a later one was over, by when a change on an earlier one was refused for it.
    let mut low: BTreeMap<u64, (f64, String)> = BTreeMap::new();
    let mut high: BTreeMap<u64, (f64, String)> = BTreeMap::new();
    let later = |at: &mut BTreeMap<u64, (f64, String)>, version: u64, t: f64, why: String| {
        let e = at.entry(version).or_insert((f64::NEG_INFINITY, String::new()));
        if t > e.0 {
            *e = (t, why);
        }
    };
    let sooner = |at: &mut BTreeMap<u64, (f64, String)>, version: u64, t: f64, why: String| {
        let e = at.entry(version).or_insert((f64::INFINITY, String::new()));
        if t < e.0 {
            *e = (t, why);
        }
    };
    for (version, (began, ended, by)) in &made {
        later(&mut low, *version, *began, format!("{by} asked for it"));
        sooner(&mut high, *version, *ended, format!("{by} was told that it holds"));
    }
    for o in ops {
        match &o.came {
            Came::Read { version, .. } => {
                later(&mut low, version + 1, o.began, format!("{} read version {version}", o.by));
                sooner(&mut high, *version, o.ended, format!("{} read version {version}", o.by));
            }
            Came::Conflict { base } => {
                sooner(&mut high, base + 1, o.ended, format!("{} was refused on version {base}", o.by))
            }
            _ => {}
        }
    }
    let mut reached = (f64::NEG_INFINITY, String::new());
    for version in 1..=newest {
        if let Some(l) = low.get(&version).filter(|l| l.0 > reached.0) {
            reached = l.clone();
        }
        // What a later version had to hold by, this one had to as well.
        let by = (version..=newest + 1).filter_map(|v| high.get(&v)).min_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((t, why)) = by.filter(|(t, _)| *t < reached.0) {
            return Err(format!(
                "version {version}: not before {:.4} s ({}), and by {t:.4} s ({why})",
                reached.0, reached.1
            ));
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn op(began: f64, ended: f64, by: &str, came: Came) -> Op {
        Op { began, ended, by: by.into(), came }
    }

    fn applied(base: u64) -> Came {
        Came::Applied { base, version: base + 1 }
    }

    fn read(version: u64) -> Came {
        Came::Read { version, digest: format!("d{version}") }
    }

    #[test]
    fn which_histories_pass() {
        use Came::{Conflict, Unknown};
        let other = Came::Read { version: 1, digest: "other".into() };
        // What is done, and a part of why it can't be.
        let cases: Vec<(&str, Vec<Op>, Option<&str>)> = vec![
            ("one after the other", vec![op(0.0, 1.0, "a", applied(0)), op(2.0, 3.0, "b", read(1))], None),
            ("at once, either order", vec![op(0.0, 5.0, "a", applied(0)), op(1.0, 2.0, "b", read(0))], None),
            ("at once, the other", vec![op(0.0, 5.0, "a", applied(0)), op(1.0, 2.0, "b", read(1))], None),
            (
                "a stale read",
                vec![op(0.0, 1.0, "a", applied(0)), op(2.0, 3.0, "b", read(0))],
                Some("read version 0"),
            ),
            (
                "a read of what is to come",
                vec![op(2.0, 3.0, "a", applied(0)), op(0.0, 1.0, "b", read(1))],
                Some("by 1.0"),
            ),
            (
                "reads go back",
                vec![op(0.0, 9.0, "a", applied(0)), op(1.0, 2.0, "b", read(1)), op(3.0, 4.0, "c", read(0))],
                Some("version 1"),
            ),
            (
                "two on one version",
                vec![op(0.0, 1.0, "a", applied(0)), op(0.0, 1.0, "b", applied(0))],
                Some("both made"),
            ),
            (
                "a change is lost",
                vec![
                    op(0.0, 1.0, "a", applied(0)),
                    op(2.0, 3.0, "b", applied(1)),
                    op(4.0, 5.0, "c", read(1)),
                ],
                Some("version 2"),
            ),
            ("out of nothing", vec![op(0.0, 1.0, "b", read(1))], Some("nobody can have made it")),
            (
                "an unknown one held",
                vec![op(0.0, 1.0, "a", Unknown { base: 0 }), op(2.0, 3.0, "b", read(1))],
                None,
            ),
            (
                "it held late",
                vec![
                    op(0.0, 1.0, "a", Unknown { base: 0 }),
                    op(2.0, 3.0, "b", read(0)),
                    op(4.0, 5.0, "b", read(1)),
                ],
                None,
            ),
            (
                "it held before it was asked for",
                vec![op(4.0, 5.0, "a", Unknown { base: 0 }), op(2.0, 3.0, "b", read(1))],
                Some("asked for it"),
            ),
            (
                "refused rightly",
                vec![op(0.0, 1.0, "a", applied(0)), op(2.0, 3.0, "b", Conflict { base: 0 })],
                None,
            ),
            (
                "refused before there was anything",
                vec![op(2.0, 3.0, "a", applied(0)), op(0.0, 1.0, "b", Conflict { base: 0 })],
                Some("was refused"),
            ),
            (
                "forked",
                vec![op(0.0, 1.0, "a", applied(0)), op(2.0, 3.0, "b", read(1)), op(2.0, 3.0, "c", other)],
                Some("different things"),
            ),
            (
                "a version is passed over",
                vec![op(0.0, 1.0, "a", Came::Applied { base: 0, version: 2 })],
                Some("made version 2"),
            ),
        ];
        for (name, ops, expected) in cases {
            let found = judge(&ops);
            match expected {
                None => assert_eq!(found, Ok(()), "{name}"),
                Some(part) => {
                    let why = found.expect_err(name);
                    assert!(why.contains(part), "{name}: {why}");
                }
            }
        }
    }

    #[test]
    fn histories_that_did_happen_pass_and_any_answer_altered_to_an_older_one_does_not() {
        let mut chance = oorandom::Rand64::new(9);
        let mut caught = 0;
        for _ in 0..200 {
            // Three at a time on one counter; each takes effect at a moment of its own between call and answer.
            let (mut version, mut t, mut ops, mut free) = (0u64, 0.0f64, Vec::new(), [0.0f64; 3]);
            for i in 0..30 {
                let who = i % 3;
                let began = free[who].max(t - 0.5);
                t = t.max(began) + 0.01 + chance.rand_float();
                let ended = t + chance.rand_float();
                free[who] = ended;
                let came = match chance.rand_range(0..4) {
                    0 if version > 0 => Came::Conflict { base: chance.rand_range(0..version) },
                    1 | 2 => {
                        version += 1;
                        applied(version - 1)
                    }
                    _ => read(version),
                };
                ops.push(op(began, ended, &format!("{who}/{i}"), came));
            }
            assert_eq!(judge(&ops), Ok(()), "{ops:?}");
            // The last read, made to say what was before all but the first two changes.
            if let Some(last) =
                ops.iter().rposition(|o| matches!(o.came, Came::Read { version, .. } if version > 6))
            {
                ops[last].came = read(1);
                caught += 1;
                assert!(judge(&ops).is_err(), "{ops:?}");
            }
        }
        assert!(caught > 100, "{caught}");
    }
}
