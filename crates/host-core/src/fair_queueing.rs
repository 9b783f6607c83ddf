//! How the sessions of one volume share it: a tag for each request, by which the decision module orders those that wait
//! for the same volume, traffic class and shard.
//!
//! Start-time fair queueing: a request's tag is the virtual time at which its session's work before it would end, and
//! no earlier than the tag that left last. So one session with thousands of requests waiting stands behind the first
//! of each other session, and what nobody else wants is its own. Nothing is saved up while idle.

use std::collections::{BTreeMap, HashMap};

/// The least number of sessions remembered by a line before those that count no more are looked for.
const MIN_EVICTION_LEN: usize = 64;

/// What waits for the same shard, volume and traffic class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    pub shard: u32,
    pub volume: u32,
    pub traffic_class: u32,
}

/// A request's place in its line, to be given back once: by `sent` or by `cancelled`.
#[derive(Debug, PartialEq)]
#[must_use]
pub struct QueueTicket {
    queue: QueueKey,
    session: u32,
    units: f64,
    pub tag: f64,
}

#[derive(Debug)]
struct FairQueue {
    /// Virtual time, in units.
    virtual_time: f64,
    waiting: usize,
    /// Where each session's work so far ends, and how many of its requests wait.
    sessions: HashMap<u32, (f64, usize)>,
    evict_at: usize,
}

impl FairQueue {
    fn new() -> Self {
        FairQueue { virtual_time: 0.0, waiting: 0, sessions: HashMap::new(), evict_at: MIN_EVICTION_LEN }
    }

    /// Sessions that would start at the virtual time anyway need no memory.
    fn evict_idle(&mut self) {
        if self.sessions.len() < self.evict_at {
            return;
        }
        let virtual_time = self.virtual_time;
        self.sessions.retain(|_, (end, waiting)| *waiting > 0 || *end > virtual_time);
        self.evict_at = MIN_EVICTION_LEN.max(2 * self.sessions.len());
    }
}

/// Lines with something waiting; bounded by what waits, since an empty line is forgotten.
#[derive(Debug, Default)]
pub struct FairQueueing {
    queues: BTreeMap<QueueKey, FairQueue>,
}

impl FairQueueing {
    pub fn enqueue(&mut self, name: QueueKey, session: u32, units: f64) -> QueueTicket {
        let queue = self.queues.entry(name).or_insert_with(FairQueue::new);
        queue.evict_idle();
        queue.waiting += 1;
        let virtual_time = queue.virtual_time;
        let (end, waiting) = queue.sessions.entry(session).or_insert((virtual_time, 0));
        let tag = end.max(virtual_time);
        *end = tag + units;
        *waiting += 1;
        QueueTicket { queue: name, session, units, tag }
    }

    /// Its first attempt left: virtual time is there.
    pub fn sent(&mut self, queue_ticket: QueueTicket) {
        if let Some(queue) = self.queues.get_mut(&queue_ticket.queue) {
            queue.virtual_time = queue.virtual_time.max(queue_ticket.tag);
        }
        self.remove(&queue_ticket, 0.0);
    }

    /// It ended without an attempt. What was never served isn't charged: else a session whose requests were all given up
    /// would stand behind the others for as long as it would have taken to serve them.
    pub fn cancelled(&mut self, queue_ticket: QueueTicket) {
        self.remove(&queue_ticket, queue_ticket.units);
    }

    /// The session ended, all its places were given back: against sessions that come and go while virtual time stands
    /// still, since each newcomer starts where it stands.
    pub fn session_closed(&mut self, session: u32) {
        for queue in self.queues.values_mut() {
            if queue.sessions.get(&session).is_some_and(|(_, waiting)| *waiting == 0) {
                queue.sessions.remove(&session);
            }
        }
    }

    fn remove(&mut self, queue_ticket: &QueueTicket, back: f64) {
        let Some(queue) = self.queues.get_mut(&queue_ticket.queue) else { return };
        queue.waiting -= 1;
        let virtual_time = queue.virtual_time;
        if let Some((end, waiting)) = queue.sessions.get_mut(&queue_ticket.session) {
            *waiting -= 1;
            *end -= back;
            if *waiting == 0 && *end <= virtual_time {
                queue.sessions.remove(&queue_ticket.session);
            }
        }
        if queue.waiting == 0 {
            self.queues.remove(&queue_ticket.queue);
        }
    }

    /// Lines, and sessions remembered in them.
    pub fn counts(&self) -> (usize, usize) {
        (self.queues.len(), self.queues.values().map(|l| l.sessions.len()).sum())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const LINE: QueueKey = QueueKey { shard: 1, volume: 2, traffic_class: 3 };

    /// Serves what waits by tag, ties by arrival, until so many units went; units served of each session.
    fn serve(s: &mut FairQueueing, waiting: &mut Vec<QueueTicket>, units: f64) -> BTreeMap<u32, f64> {
        let (mut served, mut sum) = (BTreeMap::new(), 0.0);
        while sum < units && !waiting.is_empty() {
            let first =
                (0..waiting.len()).min_by(|a, b| waiting[*a].tag.total_cmp(&waiting[*b].tag)).unwrap();
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
            assert!(s.counts().1 <= 2 * MIN_EVICTION_LEN, "{:?}", s.counts());
        }
        s.sent(last);
        assert_eq!(s.counts(), (0, 0));
        // Those that stay are forgotten once virtual time has passed their work.
        let mut waiting: Vec<QueueTicket> = (0..1000).map(|i| s.enqueue(LINE, i, 1.0)).collect();
        waiting.extend((0..10).map(|_| s.enqueue(LINE, 5000, 1.0)));
        serve(&mut s, &mut waiting, 1002.0);
        waiting.extend((0..MIN_EVICTION_LEN as u32).map(|i| s.enqueue(LINE, 6000 + i, 1.0)));
        assert!(s.counts().1 < 2 * MIN_EVICTION_LEN, "{:?}", s.counts());
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
}
