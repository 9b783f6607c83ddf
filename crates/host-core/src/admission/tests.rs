use super::*;

fn one(bytes: usize) -> Usage {
    Usage { requests: 1, bytes }
}

/// How many of one request each get in, of those that ask one after the other: session, volume.
fn fill(a: &mut Admission, last_request: &[(u32, usize)], rounds: usize) -> Vec<usize> {
    let mut got = vec![0; last_request.len()];
    for _ in 0..rounds {
        for (i, (session, volume)) in last_request.iter().enumerate() {
            got[i] += usize::from(a.enter(Instant::from_secs(1.0), *session, *volume, one(1)).is_ok());
        }
    }
    got
}

#[test]
fn a_full_table_names_a_retry_after_that_follows_its_rate() {
    let at = Instant::from_secs;
    // Sessions that fill it, requests ended over the last second, bytes asked; least and most wait, 0 fits.
    for (name, sessions, ended, bytes, low, high) in [
        ("room", 0, 0, 10, 0.0, 0.0),
        ("full and stuck", 50, 0, 10, 2.0, 2.0),
        ("full and slow", 50, 10, 10, 1.0, 2.0),
        ("full and fast", 50, 1000, 10, 0.05, 0.05),
        ("too many bytes", 0, 0, 200_000, 2.0, 2.0),
    ] {
        let mut a = Admission::new(at(0.0), 100, 100_000, TimeDelta::from_secs(2.0));
        for i in 0..ended {
            a.enter(at(0.0), 1, 1, one(0)).unwrap();
            a.leave(at(f64::from(i) / f64::from(ended)), 1, 1, one(0));
        }
        let last_request: Vec<(u32, usize)> = (0..sessions).map(|s| (s, s as usize)).collect();
        fill(&mut a, &last_request, 100);
        let found = a.enter(at(1.0), 0, 0, one(bytes)).map_or_else(TimeDelta::secs, |()| 0.0);
        assert!((low..=high).contains(&found), "{name}: {found}");
    }
}

#[test]
fn a_greedy_one_always_leaves_room_for_others() {
    let new = || Admission::new(Instant::from_secs(0.0), 1000, 1 << 30, TimeDelta::from_secs(2.0));
    // One session that asks without end, then others of the same and of another volume.
    let mut a = new();
    let greedy = fill(&mut a, &[(1, 1)], 5000)[0];
    let others = fill(&mut a, &[(2, 1), (3, 2)], 20);
    assert!((700..=800).contains(&greedy), "{greedy}");
    assert_eq!(others, [20, 20]);
    // Ten sessions of one volume against one of another.
    let mut a = new();
    let volume: Vec<(u32, usize)> = (1..=10).map(|s| (s, 1)).collect();
    let greedy: usize = fill(&mut a, &volume, 1000).iter().sum();
    let other = fill(&mut a, &[(20, 2)], 40)[0];
    assert!(greedy < 900 && other == 40, "{greedy} {other}");
    // All equal: nobody gets more than a few more than another.
    let mut a = new();
    let all: Vec<(u32, usize)> = (1..=20).map(|s| (s, s as usize % 3)).collect();
    let got = fill(&mut a, &all, 1000);
    let (least, most) = (got.iter().min().unwrap(), got.iter().max().unwrap());
    assert!(most - least <= 2, "{got:?}");
}

#[test]
fn what_leaves_leaves_nothing_behind() {
    let mut a = Admission::new(Instant::from_secs(0.0), 100, 1000, TimeDelta::from_secs(1.0));
    for s in 0..5 {
        a.enter(Instant::from_secs(0.0), s, 1, one(7)).unwrap();
    }
    for s in 0..5 {
        a.leave(Instant::from_secs(0.1), s, 1, one(7));
    }
    assert_eq!((a.held, a.sessions.len(), a.volumes.len()), (Usage::default(), 0, 0));
}
