use super::*;
use proptest::prelude::*;

const LINE: QueueKey = QueueKey { shard: 1, volume: 2, traffic_class: 3 };

/// Serves what waits by tag, ties by arrival, until so many units went; units served of each session.
fn serve(s: &mut FairQueueing, waiting: &mut Vec<QueueTicket>, units: f64) -> BTreeMap<u32, f64> {
    let (mut served, mut sum) = (BTreeMap::new(), 0.0);
    while sum < units && !waiting.is_empty() {
        let first = (0..waiting.len()).min_by(|a, b| waiting[*a].tag.total_cmp(&waiting[*b].tag)).unwrap();
        let p = waiting.remove(first);
        sum += p.units;
        *served.entry(p.session).or_insert(0.0) += p.units;
        s.sent(p);
    }
    served
}

#[test]
fn sessions_share_by_units_whatever_they_ask() {
    // Requests and units each of sessions 0, 1, ...; units served; least and most units each got of them.
    type Case = (&'static str, Vec<(usize, f64)>, f64, Vec<(f64, f64)>);
    let cases: Vec<Case> = vec![
        ("alone", vec![(1000, 1.0)], 100.0, vec![(100.0, 100.0)]),
        ("greedy and polite", vec![(2000, 1.0), (3, 1.0)], 20.0, vec![(17.0, 17.0), (3.0, 3.0)]),
        ("many small, few large", vec![(800, 1.0), (100, 8.0)], 160.0, vec![(72.0, 88.0), (72.0, 88.0)]),
        ("three alike", vec![(50, 2.0); 3], 60.0, vec![(18.0, 22.0); 3]),
    ];
    for (name, last_request, units, expected) in cases {
        let mut s = FairQueueing::default();
        let mut waiting = Vec::new();
        for (session, (n, units)) in last_request.iter().enumerate() {
            waiting.extend((0..*n).map(|_| s.enqueue(LINE, session as u32, *units)));
        }
        let served = serve(&mut s, &mut waiting, units);
        for (session, (least, most)) in expected.iter().enumerate() {
            let got = served.get(&(session as u32)).copied().unwrap_or(0.0);
            assert!((*least..=*most).contains(&got), "{name}: session {session} got {got}");
        }
    }
}

#[test]
fn one_that_comes_late_is_next_and_catches_nothing_up() {
    let mut s = FairQueueing::default();
    let mut waiting: Vec<QueueTicket> = (0..1000).map(|_| s.enqueue(LINE, 1, 1.0)).collect();
    serve(&mut s, &mut waiting, 500.0);
    // It was idle for 500 units: it has the next place, but not the next 500.
    waiting.extend((0..100).map(|_| s.enqueue(LINE, 2, 1.0)));
    let served = serve(&mut s, &mut waiting, 20.0);
    assert!((9.0..=11.0).contains(&served[&2]), "{served:?}");
}

#[test]
fn what_was_given_up_is_not_charged() {
    let mut s = FairQueueing::default();
    let keeps = s.enqueue(LINE, 2, 1.0);
    let given_up: Vec<QueueTicket> = (0..1000).map(|_| s.enqueue(LINE, 1, 1.0)).collect();
    given_up.into_iter().for_each(|p| s.cancelled(p));
    assert_eq!(s.enqueue(LINE, 1, 1.0).tag, 0.0);
    s.sent(keeps);
}

#[test]
fn sessions_that_come_and_go_are_forgotten_while_the_line_stays() {
    let mut s = FairQueueing::default();
    let mut last = s.enqueue(LINE, 0, 1.0);
    for session in 1..100_000 {
        let next = s.enqueue(LINE, session, 1.0);
        s.sent(std::mem::replace(&mut last, next));
        s.session_closed(session - 1);
        assert!(s.counts().sessions <= 2 * MIN_EVICTION_LEN, "{:?}", s.counts());
    }
    s.sent(last);
    assert_eq!(s.counts(), FairQueueCounts::default());
    // Those that stay are forgotten once virtual time has passed their work.
    let mut waiting: Vec<QueueTicket> = (0..1000).map(|i| s.enqueue(LINE, i, 1.0)).collect();
    waiting.extend((0..10).map(|_| s.enqueue(LINE, 5000, 1.0)));
    serve(&mut s, &mut waiting, 1002.0);
    waiting.extend((0..MIN_EVICTION_LEN as u32).map(|i| s.enqueue(LINE, 6000 + i, 1.0)));
    assert!(s.counts().sessions < 2 * MIN_EVICTION_LEN, "{:?}", s.counts());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..Default::default() })]

    /// Two sessions that always have something waiting: what they were served never differs by more than a
    /// request of each.
    #[test]
    fn nobody_falls_behind(steps in prop::collection::vec((0u32..2, 1u32..9, any::<bool>()), 1..300)) {
        let mut s = FairQueueing::default();
        let mut waiting = vec![s.enqueue(LINE, 0, 1.0), s.enqueue(LINE, 1, 1.0)];
        let mut served = [0.0, 0.0];
        for (session, units, gives_up) in steps {
            waiting.push(s.enqueue(LINE, session, f64::from(units)));
            if gives_up {
                let queue_ticket = waiting.pop().unwrap();
                s.cancelled(queue_ticket);
            }
            let (a, b) = serve(&mut s, &mut waiting, 0.5).into_iter().next().unwrap();
            served[a as usize] += b;
            for session in 0..2 {
                if !waiting.iter().any(|p| p.session == session) {
                    waiting.push(s.enqueue(LINE, session, 1.0));
                }
            }
            prop_assert!((served[0] - served[1]).abs() <= 16.0, "{served:?}");
        }
    }
}
