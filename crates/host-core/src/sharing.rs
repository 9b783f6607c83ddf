//! How the sessions of one volume share it: a tag for each request, by which the decision module orders those that wait
//! for the same volume, traffic class and shard.
//!
//! Start-time fair queueing: a request's tag is the virtual time at which its session's work before it would end, and
//! no earlier than the tag that left last. So one session with thousands of requests waiting stands behind the first
//! of each other session, and what nobody else wants is its own. Nothing is saved up while idle.

use std::collections::{BTreeMap, HashMap};

/// The least number of sessions remembered by a line before those that count no more are looked for.
const FORGET_AT: usize = 64;

/// What waits for the same shard, volume and traffic class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineName {
    pub shard: u32,
    pub volume: u32,
    pub traffic_class: u32,
}

/// A request's place in its line, to be given back once: by `sent` or by `left`.
#[derive(Debug, PartialEq)]
#[must_use]
pub struct Place {
    line: LineName,
    session: u32,
    units: f64,
    pub tag: f64,
}

#[derive(Debug)]
struct Line {
    /// Virtual time, in units.
    now: f64,
    waiting: usize,
    /// Where each session's work so far ends, and how many of its requests wait.
    sessions: HashMap<u32, (f64, usize)>,
    forget_at: usize,
}

impl Line {
    fn new() -> Self {
        Line { now: 0.0, waiting: 0, sessions: HashMap::new(), forget_at: FORGET_AT }
    }

    /// Sessions that would start at the virtual time anyway need no memory.
    fn forget(&mut self) {
        if self.sessions.len() < self.forget_at {
            return;
        }
        let now = self.now;
        self.sessions.retain(|_, (end, waiting)| *waiting > 0 || *end > now);
        self.forget_at = FORGET_AT.max(2 * self.sessions.len());
    }
}

/// Lines with something waiting; bounded by what waits, since an empty line is forgotten.
#[derive(Debug, Default)]
pub struct Sharing {
    lines: BTreeMap<LineName, Line>,
}

impl Sharing {
    pub fn arrived(&mut self, name: LineName, session: u32, units: f64) -> Place {
        let line = self.lines.entry(name).or_insert_with(Line::new);
        line.forget();
        line.waiting += 1;
        let now = line.now;
        let (end, waiting) = line.sessions.entry(session).or_insert((now, 0));
        let tag = end.max(now);
        *end = tag + units;
        *waiting += 1;
        Place { line: name, session, units, tag }
    }

    /// Its first attempt left: virtual time is there.
    pub fn sent(&mut self, place: Place) {
        if let Some(line) = self.lines.get_mut(&place.line) {
            line.now = line.now.max(place.tag);
        }
        self.over(&place, 0.0);
    }

    /// It ended without an attempt. What was never served isn't charged: else a session whose requests were all given up
    /// would stand behind the others for as long as it would have taken to serve them.
    pub fn left(&mut self, place: Place) {
        self.over(&place, place.units);
    }

    /// The session ended, all its places were given back: against sessions that come and go while virtual time stands
    /// still, since each newcomer starts where it stands.
    pub fn gone(&mut self, session: u32) {
        for line in self.lines.values_mut() {
            if line.sessions.get(&session).is_some_and(|(_, waiting)| *waiting == 0) {
                line.sessions.remove(&session);
            }
        }
    }

    fn over(&mut self, place: &Place, back: f64) {
        let Some(line) = self.lines.get_mut(&place.line) else { return };
        line.waiting -= 1;
        let now = line.now;
        if let Some((end, waiting)) = line.sessions.get_mut(&place.session) {
            *waiting -= 1;
            *end -= back;
            if *waiting == 0 && *end <= now {
                line.sessions.remove(&place.session);
            }
        }
        if line.waiting == 0 {
            self.lines.remove(&place.line);
        }
    }

    /// Lines, and sessions remembered in them.
    pub fn kept(&self) -> (usize, usize) {
        (self.lines.len(), self.lines.values().map(|l| l.sessions.len()).sum())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const LINE: LineName = LineName { shard: 1, volume: 2, traffic_class: 3 };

    /// Serves what waits by tag, ties by arrival, until so many units went; units served of each session.
    fn serve(s: &mut Sharing, waiting: &mut Vec<Place>, units: f64) -> BTreeMap<u32, f64> {
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
        for (name, asks, units, expected) in cases {
            let mut s = Sharing::default();
            let mut waiting = Vec::new();
            for (session, (n, units)) in asks.iter().enumerate() {
                waiting.extend((0..*n).map(|_| s.arrived(LINE, session as u32, *units)));
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
        let mut s = Sharing::default();
        let mut waiting: Vec<Place> = (0..1000).map(|_| s.arrived(LINE, 1, 1.0)).collect();
        serve(&mut s, &mut waiting, 500.0);
        // It was idle for 500 units: it has the next place, but not the next 500.
        waiting.extend((0..100).map(|_| s.arrived(LINE, 2, 1.0)));
        let served = serve(&mut s, &mut waiting, 20.0);
        assert!((9.0..=11.0).contains(&served[&2]), "{served:?}");
    }

    #[test]
    fn what_was_given_up_is_not_charged() {
        let mut s = Sharing::default();
        let keeps = s.arrived(LINE, 2, 1.0);
        let given_up: Vec<Place> = (0..1000).map(|_| s.arrived(LINE, 1, 1.0)).collect();
        given_up.into_iter().for_each(|p| s.left(p));
        assert_eq!(s.arrived(LINE, 1, 1.0).tag, 0.0);
        s.sent(keeps);
    }

    #[test]
    fn sessions_that_come_and_go_are_forgotten_while_the_line_stays() {
        let mut s = Sharing::default();
        let mut last = s.arrived(LINE, 0, 1.0);
        for session in 1..100_000 {
            let next = s.arrived(LINE, session, 1.0);
            s.sent(std::mem::replace(&mut last, next));
            s.gone(session - 1);
            assert!(s.kept().1 <= 2 * FORGET_AT, "{:?}", s.kept());
        }
        s.sent(last);
        assert_eq!(s.kept(), (0, 0));
        // Those that stay are forgotten once virtual time has passed their work.
        let mut waiting: Vec<Place> = (0..1000).map(|i| s.arrived(LINE, i, 1.0)).collect();
        waiting.extend((0..10).map(|_| s.arrived(LINE, 5000, 1.0)));
        serve(&mut s, &mut waiting, 1002.0);
        waiting.extend((0..FORGET_AT as u32).map(|i| s.arrived(LINE, 6000 + i, 1.0)));
        assert!(s.kept().1 < 2 * FORGET_AT, "{:?}", s.kept());
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..Default::default() })]

        /// Two sessions that always have something waiting: what they were served never differs by more than a
        /// request of each.
        #[test]
        fn nobody_falls_behind(steps in prop::collection::vec((0u32..2, 1u32..9, any::<bool>()), 1..300)) {
            let mut s = Sharing::default();
            let mut waiting = vec![s.arrived(LINE, 0, 1.0), s.arrived(LINE, 1, 1.0)];
            let mut served = [0.0, 0.0];
            for (session, units, gives_up) in steps {
                waiting.push(s.arrived(LINE, session, f64::from(units)));
                if gives_up {
                    let place = waiting.pop().unwrap();
                    s.left(place);
                }
                let (a, b) = serve(&mut s, &mut waiting, 0.5).into_iter().next().unwrap();
                served[a as usize] += b;
                for session in 0..2 {
                    if !waiting.iter().any(|p| p.session == session) {
                        waiting.push(s.arrived(LINE, session, 1.0));
                    }
                }
                prop_assert!((served[0] - served[1]).abs() <= 16.0, "{served:?}");
            }
        }
    }
}
