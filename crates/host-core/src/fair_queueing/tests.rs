use super::*;
use proptest::prelude::*;

const QUEUE: QueueKey = QueueKey { shard: 1, volume: 2, traffic_class: 3 };

/// Serves waiting requests by tag, and ties by arrival, until that many units were served. Returns the units served of each session.
fn serve(queueing: &mut FairQueueing, waiting: &mut Vec<QueueTicket>, units: f64) -> BTreeMap<u32, f64> {
    let (mut served, mut sum) = (BTreeMap::new(), 0.0);
    while sum < units && !waiting.is_empty() {
        let first = (0..waiting.len()).min_by(|a, b| waiting[*a].tag.total_cmp(&waiting[*b].tag)).unwrap();
        let ticket = waiting.remove(first);
        sum += ticket.units;
        *served.entry(ticket.session).or_insert(0.0) += ticket.units;
        queueing.remove_sent(ticket);
    }
    served
}

/// Sessions queue different numbers of requests of different costs. Each must get the same number of units while it has requests waiting.
#[test]
fn sessions_share_by_units_whatever_they_queue() {
    // For each of the sessions 0, 1, ...: its number of requests and the units of each; the units served in total; the minimum and the
    // maximum that each session may get of them.
    type Case = (&'static str, Vec<(usize, f64)>, f64, Vec<(f64, f64)>);
    let cases: Vec<Case> = vec![
        ("alone", vec![(1000, 1.0)], 100.0, vec![(100.0, 100.0)]),
        ("many against few", vec![(2000, 1.0), (3, 1.0)], 20.0, vec![(17.0, 17.0), (3.0, 3.0)]),
        ("many small, few large", vec![(800, 1.0), (100, 8.0)], 160.0, vec![(72.0, 88.0), (72.0, 88.0)]),
        ("three alike", vec![(50, 2.0); 3], 60.0, vec![(18.0, 22.0); 3]),
    ];
    for (name, queued, units, expected) in cases {
        let mut queueing = FairQueueing::default();
        let mut waiting = Vec::new();
        for (session, (count, units)) in queued.iter().enumerate() {
            waiting.extend((0..*count).map(|_| queueing.enqueue(QUEUE, session as u32, *units)));
        }
        let served = serve(&mut queueing, &mut waiting, units);
        for (session, (min, max)) in expected.iter().enumerate() {
            let units = served.get(&(session as u32)).copied().unwrap_or(0.0);
            assert!((*min..=*max).contains(&units), "{name}: session {session} got {units}");
        }
    }
}

/// A session begins after another has been served for a long time. If its idle time counted as credit, it would block the other for as
/// long.
#[test]
fn a_late_session_is_next_and_gets_no_credit_for_its_idle_time() {
    let mut queueing = FairQueueing::default();
    let mut waiting: Vec<QueueTicket> = (0..1000).map(|_| queueing.enqueue(QUEUE, 1, 1.0)).collect();
    serve(&mut queueing, &mut waiting, 500.0);
    // The late session missed 500 units. It gets the next request, but not the next 500 units.
    waiting.extend((0..100).map(|_| queueing.enqueue(QUEUE, 2, 1.0)));
    let served = serve(&mut queueing, &mut waiting, 20.0);
    assert!((9.0..=11.0).contains(&served[&2]), "{served:?}");
}

/// A session cancels a thousand requests. If it were charged for them, it would wait behind the others for as long as serving them would
/// have taken.
#[test]
fn a_cancelled_request_is_not_charged() {
    let mut queueing = FairQueueing::default();
    let other = queueing.enqueue(QUEUE, 2, 1.0);
    let cancelled: Vec<QueueTicket> = (0..1000).map(|_| queueing.enqueue(QUEUE, 1, 1.0)).collect();
    cancelled.into_iter().for_each(|ticket| queueing.remove_cancelled(ticket));
    assert_eq!(queueing.enqueue(QUEUE, 1, 1.0).tag, 0.0);
    queueing.remove_sent(other);
}

/// Sessions open and close at a queue that is never empty. If it kept them all, it would grow without bound.
#[test]
fn closed_and_idle_sessions_are_evicted_from_a_queue_that_is_never_empty() {
    let mut queueing = FairQueueing::default();
    let mut last = queueing.enqueue(QUEUE, 0, 1.0);
    for session in 1..100_000 {
        let next = queueing.enqueue(QUEUE, session, 1.0);
        queueing.remove_sent(std::mem::replace(&mut last, next));
        queueing.session_closed(session - 1);
        assert!(queueing.counts().sessions <= 2 * MIN_EVICTION_LEN, "{:?}", queueing.counts());
    }
    queueing.remove_sent(last);
    assert_eq!(queueing.counts(), FairQueueCounts::default());
    // Idle sessions are evicted once virtual time has passed the end of their work.
    let mut waiting: Vec<QueueTicket> = (0..1000).map(|i| queueing.enqueue(QUEUE, i, 1.0)).collect();
    waiting.extend((0..10).map(|_| queueing.enqueue(QUEUE, 5000, 1.0)));
    serve(&mut queueing, &mut waiting, 1002.0);
    waiting.extend((0..MIN_EVICTION_LEN as u32).map(|i| queueing.enqueue(QUEUE, 6000 + i, 1.0)));
    assert!(queueing.counts().sessions < 2 * MIN_EVICTION_LEN, "{:?}", queueing.counts());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..Default::default() })]

    /// Two sessions always have requests waiting. The units served of them must never differ by more than one request of each.
    #[test]
    fn no_session_falls_behind(steps in prop::collection::vec((0u32..2, 1u32..9, any::<bool>()), 1..300)) {
        let mut queueing = FairQueueing::default();
        let mut waiting = vec![queueing.enqueue(QUEUE, 0, 1.0), queueing.enqueue(QUEUE, 1, 1.0)];
        let mut served = [0.0, 0.0];
        for (session, units, is_cancelled) in steps {
            waiting.push(queueing.enqueue(QUEUE, session, f64::from(units)));
            if is_cancelled {
                let queue_ticket = waiting.pop().unwrap();
                queueing.remove_cancelled(queue_ticket);
            }
            let (session, units_served) = serve(&mut queueing, &mut waiting, 0.5).into_iter().next().unwrap();
            served[session as usize] += units_served;
            for session in 0..2 {
                if !waiting.iter().any(|ticket| ticket.session == session) {
                    waiting.push(queueing.enqueue(QUEUE, session, 1.0));
                }
            }
            prop_assert!((served[0] - served[1]).abs() <= 16.0, "{served:?}");
        }
    }
}
