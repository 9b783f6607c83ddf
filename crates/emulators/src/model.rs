//! How a storage node serves: cores, speed, a bounded queue, pauses, put-off write work, a cold start, and what
//! goes wrong. No sockets, threads or clocks: times are microseconds that the caller gives, so the same model
//! serves on loopback and in virtual time. Figures are of a model, not of real machines.

use std::collections::{BTreeMap, VecDeque};

pub type Us = u64;

/// What a node is.
#[derive(Clone, Debug, PartialEq)]
pub struct Nature {
    pub cores: u32,
    /// Seconds of one core's work in a unit, at speed 1.
    pub unit_s: f64,
    pub speed: f64,
    /// Requests that may wait; beyond that they are turned away unseen.
    pub queue: usize,
    /// It starts at this part of its capacity and is warm after that time.
    pub cold_from: f64,
    pub warm_s: f64,
    /// Sent more than that multiple of its present capacity over the window while cold, it falls over.
    pub fall_multiple: f64,
    pub fall_s: f64,
    /// Part of a write's work that is put off, and how often it is done.
    pub put_off: f64,
    pub flush_s: f64,
    /// Stands still for so long every so often.
    pub pause_s: f64,
    pub pause_every_s: f64,
    /// Work saved for a request whose key is among the last few taken.
    pub saved: f64,
    pub remembers: usize,
    /// Whether waiting work is dropped when it is cancelled or its time is up.
    pub drops: bool,
}

impl Default for Nature {
    fn default() -> Self {
        Nature {
            cores: 2,
            unit_s: 0.001,
            speed: 1.0,
            queue: 256,
            cold_from: 0.2,
            warm_s: 5.0,
            fall_multiple: 2.0,
            fall_s: 3.0,
            put_off: 0.0,
            flush_s: 2.0,
            pause_s: 0.0,
            pause_every_s: 5.0,
            saved: 0.0,
            remembers: 0,
            drops: true,
        }
    }
}

/// What is wrong with it at the moment. Several at once add up.
#[derive(Clone, Debug, PartialEq)]
pub struct Ills {
    /// Times slower.
    pub slow: f64,
    /// Part of the machine that another program takes.
    pub neighbour: f64,
    /// Part of requests that fail at once.
    pub errors: f64,
    /// Part of requests that cost that many times the work.
    pub heavy: (f64, f64),
}

impl Default for Ills {
    fn default() -> Self {
        Ills { slow: 1.0, neighbour: 0.0, errors: 0.0, heavy: (0.0, 1.0) }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    pub id: u64,
    pub units: f64,
    pub write: bool,
    pub key: u64,
    pub further: bool,
    /// When nobody waits any more.
    pub until: Us,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    Done,
    Error,
    NeverRan,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Task {
    Job(u64, bool), // whether it ends well
    Flush,
}

pub struct Model {
    pub nature: Nature,
    pub ills: Ills,
    started: Option<Us>, // none: long past
    chance: oorandom::Rand64,
    waiting: VecDeque<Job>,
    running: BTreeMap<(Us, u64), Task>, // by the end, and a number
    number: u64,
    still_until: Us,
    next_pause: Us,
    owed: f64, // seconds of put-off work
    next_flush: Us,
    recent: VecDeque<u64>,
    arrivals: VecDeque<(Us, f64)>,
    fallen: bool,
    ended: Vec<(u64, How)>,
}

fn us(s: f64) -> Us {
    (s.max(0.0) * 1e6).round() as Us
}

impl Model {
    /// `cold`: it has just started; else it has been up for long.
    pub fn new(now: Us, nature: Nature, seed: u64, cold: bool) -> Model {
        let mut chance = oorandom::Rand64::new(u128::from(seed));
        let first = chance.rand_float();
        let started = cold.then_some(now);
        Model {
            next_pause: now + us(nature.pause_every_s * first),
            next_flush: now + us(nature.flush_s * first),
            nature,
            ills: Ills::default(),
            started,
            chance,
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            number: 0,
            still_until: 0,
            owed: 0.0,
            recent: VecDeque::new(),
            arrivals: VecDeque::new(),
            fallen: false,
            ended: Vec::new(),
        }
    }

    pub fn is_fallen(&self) -> bool {
        self.fallen
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn in_hand(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    fn warmth(&self, now: Us) -> f64 {
        let n = &self.nature;
        let Some(started) = self.started else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / 1e6;
        let part = if n.warm_s > 0.0 { (age / n.warm_s).min(1.0) } else { 1.0 };
        n.cold_from + (1.0 - n.cold_from) * part
    }

    /// Units a second when warm and well.
    pub fn capacity(&self) -> f64 {
        f64::from(self.nature.cores) * self.nature.speed / self.nature.unit_s
    }

    /// Speed of one core at this moment.
    fn pace(&self, now: Us) -> f64 {
        let i = &self.ills;
        self.nature.speed * self.warmth(now) * (1.0 - i.neighbour).max(0.01) / i.slow.max(0.01)
    }

    /// Takes a job, or turns it away unseen; it ends through `ended` in either case.
    pub fn arrive(&mut self, now: Us, job: Job) {
        self.advance(now);
        self.press(now, job.units);
        if self.waiting.len() >= self.nature.queue || self.fallen {
            self.ended.push((job.id, How::NeverRan));
            return;
        }
        if self.chance.rand_float() < self.ills.errors {
            self.ended.push((job.id, How::Error));
            return;
        }
        self.waiting.push_back(job);
        self.begin(now);
    }

    /// Rule 4's pressure: all that reaches a cold node counts, also what it turns away.
    fn press(&mut self, now: Us, units: f64) {
        let window = us(self.nature.fall_s);
        self.arrivals.push_back((now, units));
        while self.arrivals.front().is_some_and(|(t, _)| *t + window < now) {
            self.arrivals.pop_front();
        }
        if self.started.is_some_and(|t| now.saturating_sub(t) < us(self.nature.warm_s)) {
            let sent: f64 = self.arrivals.iter().map(|(_, u)| u).sum();
            let bears = self.nature.fall_multiple * self.capacity() * self.warmth(now) * self.nature.fall_s;
            self.fallen |= sent > bears;
        }
    }

    /// Whether a job was still waiting and is dropped now.
    pub fn cancel(&mut self, now: Us, id: u64) -> bool {
        self.advance(now);
        let found = self.waiting.iter().position(|j| j.id == id).filter(|_| self.nature.drops);
        if let Some(i) = found {
            self.waiting.remove(i);
            self.ended.push((id, How::NeverRan));
        }
        found.is_some()
    }

    /// Stands still from now on for so long; what runs ends that much later.
    pub fn pause(&mut self, now: Us, s: f64) {
        self.advance(now);
        let until = now + us(s);
        let more = until.saturating_sub(self.still_until.max(now));
        self.still_until = self.still_until.max(until);
        let running = std::mem::take(&mut self.running);
        self.running = running.into_iter().map(|((t, n), task)| ((t + more, n), task)).collect();
    }

    /// When something happens next without any arrival.
    pub fn next_time(&self) -> Option<Us> {
        let first = self.running.keys().next().map(|(t, _)| *t);
        let free = !self.waiting.is_empty() && self.running.len() < self.nature.cores as usize;
        let resume = (free && self.still_until > 0).then_some(self.still_until);
        let pause = (self.nature.pause_s > 0.0).then_some(self.next_pause);
        let flush = (self.owed > 0.0).then_some(self.next_flush);
        [first, resume, pause, flush].into_iter().flatten().min()
    }

    /// Brings the node to this time.
    pub fn advance(&mut self, now: Us) {
        while let Some(t) = self.next_time().filter(|t| *t <= now) {
            if self.running.keys().next().is_some_and(|(e, _)| *e == t) {
                if let Some((_, Task::Job(id, well))) = self.running.pop_first() {
                    self.ended.push((id, if well { How::Done } else { How::Error }));
                }
            } else if self.nature.pause_s > 0.0 && self.next_pause == t {
                let gap = self.nature.pause_every_s * (0.5 + self.chance.rand_float());
                self.next_pause = t + us(gap).max(1000);
                let until = t + us(self.nature.pause_s);
                let more = until.saturating_sub(self.still_until.max(t));
                self.still_until = self.still_until.max(until);
                let running = std::mem::take(&mut self.running);
                self.running = running.into_iter().map(|((e, n), task)| ((e + more, n), task)).collect();
            } else if self.owed > 0.0 && self.next_flush == t {
                let work = std::mem::take(&mut self.owed);
                self.next_flush = t + us(self.nature.flush_s).max(1000);
                self.run(t, work, Task::Flush);
            } else {
                self.still_until = 0;
            }
            self.begin(t);
        }
        self.begin(now);
    }

    fn run(&mut self, now: Us, work: f64, task: Task) {
        // A node whose work costs nothing ends it at once: it serves to measure what lies before it.
        if let (true, Task::Job(id, well)) = (work <= 0.0, task) {
            self.ended.push((id, if well { How::Done } else { How::Error }));
            return;
        }
        self.number += 1;
        let end = now.max(self.still_until) + us(work / self.pace(now)).max(1);
        self.running.insert((end, self.number), task);
    }

    fn begin(&mut self, now: Us) {
        if now < self.still_until {
            return;
        }
        while self.running.len() < self.nature.cores as usize {
            let Some(job) = self.waiting.pop_front() else { return };
            if self.nature.drops && job.until <= now {
                self.ended.push((job.id, How::NeverRan));
                continue;
            }
            let n = &self.nature;
            let mut work = job.units * n.unit_s;
            if self.chance.rand_float() < self.ills.heavy.0 {
                work *= self.ills.heavy.1;
            }
            if !job.further && n.remembers > 0 && self.recent.contains(&job.key) {
                work *= 1.0 - n.saved;
            }
            if n.remembers > 0 {
                self.recent.push_back(job.key);
                if self.recent.len() > n.remembers {
                    self.recent.pop_front();
                }
            }
            if job.write && n.put_off > 0.0 {
                if self.owed <= 0.0 {
                    self.next_flush = self.next_flush.max(now + us(n.flush_s) / 2);
                }
                self.owed += work * n.put_off;
                work *= 1.0 - n.put_off;
            }
            self.run(now, work, Task::Job(job.id, true));
        }
    }

    /// What has ended since the last call, in order.
    pub fn ended(&mut self) -> Vec<(u64, How)> {
        std::mem::take(&mut self.ended)
    }

    /// Jobs that are waiting or running: lost when the process dies.
    pub fn held(&self) -> Vec<u64> {
        let running = self.running.values().filter_map(|t| match t {
            Task::Job(id, _) => Some(*id),
            Task::Flush => None,
        });
        self.waiting.iter().map(|j| j.id).chain(running).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn job(id: u64, units: f64) -> Job {
        Job { id, units, write: false, key: id, further: false, until: Us::MAX }
    }

    /// Ends and their times, when jobs of one unit arrive at time 0.
    fn play(nature: Nature, jobs: u64, set: impl Fn(&mut Model)) -> Vec<(u64, u64, How)> {
        let mut m = Model::new(0, nature, 1, false);
        set(&mut m);
        (0..jobs).for_each(|id| m.arrive(0, job(id, 1.0)));
        let mut found = Vec::new();
        let mut now = 0;
        loop {
            found.extend(m.ended().into_iter().map(|(id, how)| (now / 1000, id, how)));
            match m.next_time().filter(|t| *t < 1_000_000) {
                Some(t) => now = t,
                None => return found,
            }
            m.advance(now);
        }
    }

    #[test]
    fn jobs_take_their_time_in_turn() {
        use How::{Done, Error, NeverRan};
        let one = Nature { cores: 1, unit_s: 0.01, queue: 2, ..Nature::default() };
        let two = Nature { cores: 2, ..one.clone() };
        type Set = fn(&mut Model);
        type Case<'a> = (&'a str, &'a Nature, u64, Set, &'a [(u64, u64, How)]);
        let cases: &[Case] = &[
            ("in turn", &one, 3, |_| {}, &[(10, 0, Done), (20, 1, Done), (30, 2, Done)]),
            ("two cores", &two, 2, |_| {}, &[(10, 0, Done), (10, 1, Done)]),
            ("full", &one, 4, |_| {}, &[(0, 3, NeverRan), (10, 0, Done), (20, 1, Done), (30, 2, Done)]),
            ("slow", &one, 1, |m| m.ills.slow = 5.0, &[(50, 0, Done)]),
            ("neighbour", &one, 1, |m| m.ills.neighbour = 0.5, &[(20, 0, Done)]),
            ("heavy", &one, 1, |m| m.ills.heavy = (1.0, 3.0), &[(30, 0, Done)]),
            ("errors", &one, 1, |m| m.ills.errors = 1.0, &[(0, 0, Error)]),
            ("paused", &one, 2, |m| m.pause(0, 0.1), &[(110, 0, Done), (120, 1, Done)]),
        ];
        for (name, nature, jobs, set, expected) in cases {
            assert_eq!(&play((*nature).clone(), *jobs, set), expected, "{name}");
        }
    }

    #[test]
    fn a_cold_node_is_slow_and_falls_over_under_more_than_it_bears() {
        let nature = Nature { cores: 1, unit_s: 0.01, warm_s: 10.0, cold_from: 0.2, ..Nature::default() };
        let mut m = Model::new(0, nature, 1, true);
        m.arrive(0, job(1, 1.0));
        assert_eq!(m.next_time(), Some(50_000), "a fifth of its speed");
        // It bears twice 20 units a second over 3 s, a little more as it warms.
        (2..120).for_each(|id| m.arrive(id * 1000, job(id, 1.0)));
        assert!(!m.is_fallen());
        (120..130).for_each(|id| m.arrive(id * 1000, job(id, 1.0)));
        assert!(m.is_fallen());
    }

    #[test]
    fn cancelled_work_is_dropped_while_it_waits() {
        let mut m = Model::new(0, Nature { cores: 1, unit_s: 0.01, ..Nature::default() }, 1, false);
        (0..3).for_each(|id| m.arrive(0, job(id, 1.0)));
        assert!(m.cancel(1000, 1) && !m.cancel(1000, 0), "waiting, and running");
        assert_eq!(m.ended(), [(1, How::NeverRan)]);
        m.advance(20_000);
        assert_eq!(m.ended(), [(0, How::Done), (2, How::Done)]);
    }
}
