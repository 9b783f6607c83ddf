use super::*;

fn one_request(bytes: usize) -> Usage {
    Usage { requests: 1, bytes }
}

/// Submits one request of each client (session, volume) in turn, `rounds` times, and returns how many of each client were admitted.
fn fill(admission: &mut Admission, clients: &[(u32, usize)], rounds: usize) -> Vec<usize> {
    let now = Instant::from_secs(1.0);
    let mut admitted = vec![0; clients.len()];
    for _ in 0..rounds {
        for (count, (session, volume)) in admitted.iter_mut().zip(clients) {
            *count += usize::from(admission.admit(now, *session, *volume, one_request(1)).is_ok());
        }
    }
    admitted
}

/// A client that retries before enough requests have ended finds the table full again, and one that retries much later leaves the host
/// idle. So the retry-after must follow the rate at which requests end.
#[test]
fn a_full_table_names_a_retry_after_that_follows_its_rate() {
    let at = Instant::from_secs;
    // Sessions that fill the table, requests that ended over the last second, bytes requested, and the minimum and the maximum of the
    // expected wait, where 0 means that the request is admitted.
    for (name, sessions, ended, bytes, min_wait, max_wait) in [
        ("enough capacity", 0, 0, 10, 0.0, 0.0),
        ("full, none end", 50, 0, 10, 2.0, 2.0),
        ("full, few end", 50, 10, 10, 1.0, 2.0),
        ("full, many end", 50, 1000, 10, 0.05, 0.05),
        ("too many bytes", 0, 0, 200_000, 2.0, 2.0),
    ] {
        let mut admission = Admission::new(at(0.0), 100, 100_000, TimeDelta::from_secs(2.0));
        for i in 0..ended {
            admission.admit(at(0.0), 1, 1, one_request(0)).unwrap();
            admission.release(at(f64::from(i) / f64::from(ended)), 1, 1, one_request(0));
        }
        let clients: Vec<(u32, usize)> = (0..sessions).map(|session| (session, session as usize)).collect();
        fill(&mut admission, &clients, 100);
        let result = admission.admit(at(1.0), 0, 0, one_request(bytes));
        let wait = result.map_or_else(TimeDelta::secs, |()| 0.0);
        assert!((min_wait..=max_wait).contains(&wait), "{name}: {wait}");
    }
}

/// One client submits without limit before others arrive. If the table were shared first come, first served, the others would find it
/// full.
#[test]
fn a_greedy_session_or_volume_leaves_capacity_for_others() {
    let new = || Admission::new(Instant::from_secs(0.0), 1000, 1 << 30, TimeDelta::from_secs(2.0));
    // One session submits without limit, then others of the same and of another volume arrive.
    let mut admission = new();
    let greedy = fill(&mut admission, &[(1, 1)], 5000)[0];
    let others = fill(&mut admission, &[(2, 1), (3, 2)], 20);
    assert!((700..=800).contains(&greedy), "{greedy}");
    assert_eq!(others, [20, 20]);
    // Ten sessions of one volume compete with one session of another.
    let mut admission = new();
    let volume: Vec<(u32, usize)> = (1..=10).map(|session| (session, 1)).collect();
    let greedy: usize = fill(&mut admission, &volume, 1000).iter().sum();
    let other = fill(&mut admission, &[(20, 2)], 40)[0];
    assert!(greedy < 900 && other == 40, "{greedy} {other}");
    // Equal sessions get nearly equal numbers.
    let mut admission = new();
    let all: Vec<(u32, usize)> = (1..=20).map(|session| (session, session as usize % 3)).collect();
    let admitted = fill(&mut admission, &all, 1000);
    let (min, max) = (admitted.iter().min().unwrap(), admitted.iter().max().unwrap());
    assert!(max - min <= 2, "{admitted:?}");
}

/// Sessions open and close over a long time. If an ended session kept an entry, the tables would grow without bound.
#[test]
fn a_session_whose_commands_have_ended_leaves_no_entry() {
    let mut admission = Admission::new(Instant::from_secs(0.0), 100, 1000, TimeDelta::from_secs(1.0));
    for session in 0..5 {
        admission.admit(Instant::from_secs(0.0), session, 1, one_request(7)).unwrap();
    }
    for session in 0..5 {
        admission.release(Instant::from_secs(0.1), session, 1, one_request(7));
    }
    assert_eq!(
        (admission.usage, admission.sessions.len(), admission.volumes.len()),
        (Usage::default(), 0, 0)
    );
}
