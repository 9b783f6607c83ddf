//! A model of a node: how long its work takes, and which of it fails. It has no clock, so that the same model serves on loopback and
//! in virtual time. Times are microseconds; figures are of a model, not of real machines.

mod behavior;
#[cfg(test)]
mod tests;

pub use behavior::{NodeBehavior, NodeFaults};

use std::collections::{BTreeMap, VecDeque};

/// Least time between two regular pauses and between two flushes.
const MIN_INTERVAL_US: u64 = 1000;
/// Least speed that faults leave to a node, so that its work ends at some time.
const MIN_SPEED_FACTOR: f64 = 0.01;

/// A request as the model sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Names the job.
    pub id: u64,
    /// Its size in units.
    pub units: f64,
    /// Whether it writes.
    pub write: bool,
    /// What the node may have cached.
    pub key: u64,
    /// Whether an attempt of the same request came before.
    pub is_retry: bool,
    /// When nobody waits for it any more.
    pub deadline_us: u64,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// The job was done.
    Done,
    /// The job failed.
    Error,
    /// The job was dropped before it ran.
    NeverRan,
}

/// A job that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedJob {
    /// Names the job.
    pub id: u64,
    /// How it ended.
    pub outcome: JobOutcome,
}

/// What a core is busy with.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Task {
    Job { id: u64 },
    Flush,
}

/// Orders running tasks by their end, and those of one end by their start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TaskKey {
    end_us: u64,
    number: u64,
}

/// Work that reached the node.
struct ReceivedWork {
    time_us: u64,
    units: f64,
}

/// A node in virtual time.
pub struct NodeModel {
    behavior: NodeBehavior,
    /// What is wrong with it now.
    pub faults: NodeFaults,
    /// When it started; `None`: long ago.
    started_us: Option<u64>,
    random: oorandom::Rand64,
    waiting: VecDeque<Job>,
    running: BTreeMap<TaskKey, Task>,
    task_count: u64,
    paused_until_us: u64,
    next_pause_us: u64,
    /// Seconds of work that writes have left to the next flush.
    unflushed_s: f64,
    next_flush_us: u64,
    cached_keys: VecDeque<u64>,
    /// What reached the node within the window of its overload.
    received: VecDeque<ReceivedWork>,
    has_collapsed: bool,
    ended: Vec<EndedJob>,
}

fn microseconds(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6).round() as u64
}

impl NodeModel {
    /// A node that has just started and warms up, or one that has been up for long.
    pub fn new(now_us: u64, behavior: NodeBehavior, seed: u64, has_just_started: bool) -> NodeModel {
        let mut random = oorandom::Rand64::new(u128::from(seed));
        let phase = random.rand_float();
        NodeModel {
            next_pause_us: now_us + microseconds(behavior.pause_interval_s * phase),
            next_flush_us: now_us + microseconds(behavior.flush_interval_s * phase),
            behavior,
            faults: NodeFaults::default(),
            started_us: has_just_started.then_some(now_us),
            random,
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            task_count: 0,
            paused_until_us: 0,
            unflushed_s: 0.0,
            cached_keys: VecDeque::new(),
            received: VecDeque::new(),
            has_collapsed: false,
            ended: Vec::new(),
        }
    }

    /// What the node is like.
    pub fn behavior(&self) -> &NodeBehavior {
        &self.behavior
    }

    /// Whether it received more while it warmed up than it bears. It runs nothing any more.
    pub fn has_collapsed(&self) -> bool {
        self.has_collapsed
    }

    /// Jobs that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Fraction of its capacity that the node has reached.
    fn warmth(&self, now_us: u64) -> f64 {
        let Some(started_us) = self.started_us else { return 1.0 };
        let NodeBehavior { warm_up_s, initial_capacity, .. } = self.behavior;
        let age_s = now_us.saturating_sub(started_us) as f64 / 1e6;
        let elapsed = if warm_up_s > 0.0 { (age_s / warm_up_s).min(1.0) } else { 1.0 };
        initial_capacity + (1.0 - initial_capacity) * elapsed
    }

    /// Speed of one core at this moment.
    fn speed(&self, now_us: u64) -> f64 {
        let own_share = (1.0 - self.faults.neighbour_share).max(MIN_SPEED_FACTOR);
        let slowdown = self.faults.slowdown.max(MIN_SPEED_FACTOR);
        self.behavior.speed * self.warmth(now_us) * own_share / slowdown
    }

    /// Receives a job, which runs, waits or ends at once; `take_ended` has the outcome in each case.
    pub fn receive(&mut self, now_us: u64, job: Job) {
        self.advance(now_us);
        self.check_overload(now_us, job.units);
        if self.waiting.len() >= self.behavior.queue || self.has_collapsed {
            self.end_job(job.id, JobOutcome::NeverRan);
            return;
        }
        if self.random.rand_float() < self.faults.error_rate {
            self.end_job(job.id, JobOutcome::Error);
            return;
        }
        self.waiting.push_back(job);
        self.start_waiting(now_us);
    }

    /// Overload of a warming node, as in slow start (rule 4): all that reaches the node counts, also what it does not run.
    fn check_overload(&mut self, now_us: u64, units: f64) {
        let window_s = self.behavior.overload_window_s;
        self.received.push_back(ReceivedWork { time_us: now_us, units });
        while self.received.front().is_some_and(|oldest| oldest.time_us + microseconds(window_s) < now_us) {
            self.received.pop_front();
        }
        let warm_up_us = microseconds(self.behavior.warm_up_s);
        if self.started_us.is_some_and(|started_us| now_us.saturating_sub(started_us) < warm_up_us) {
            let received: f64 = self.received.iter().map(|work| work.units).sum();
            let bears =
                self.behavior.overload_multiple * self.behavior.capacity() * self.warmth(now_us) * window_s;
            self.has_collapsed |= received > bears;
        }
    }

    /// Drops a job that still waits. Returns whether it did.
    pub fn cancel(&mut self, now_us: u64, id: u64) -> bool {
        self.advance(now_us);
        if !self.behavior.drops_cancelled {
            return false;
        }
        let Some(position) = self.waiting.iter().position(|job| job.id == id) else { return false };
        self.waiting.remove(position);
        self.end_job(id, JobOutcome::NeverRan);
        true
    }

    /// Pauses the node from now on for so many seconds; what runs ends that much later.
    pub fn pause(&mut self, now_us: u64, seconds: f64) {
        self.advance(now_us);
        self.pause_from(now_us, seconds);
    }

    fn pause_from(&mut self, from_us: u64, seconds: f64) {
        let until_us = from_us + microseconds(seconds);
        let delay_us = until_us.saturating_sub(self.paused_until_us.max(from_us));
        self.paused_until_us = self.paused_until_us.max(until_us);
        let running = std::mem::take(&mut self.running).into_iter();
        self.running =
            running.map(|(key, task)| (TaskKey { end_us: key.end_us + delay_us, ..key }, task)).collect();
    }

    /// When something happens next, if nothing is received before.
    pub fn poll_timeout(&self) -> Option<u64> {
        let task_end_us = self.running.keys().next().map(|key| key.end_us);
        let has_free_core = self.running.len() < self.behavior.cores as usize;
        let resumes = !self.waiting.is_empty() && has_free_core && self.paused_until_us > 0;
        let resume_us = resumes.then_some(self.paused_until_us);
        let pause_us = (self.behavior.pause_s > 0.0).then_some(self.next_pause_us);
        let flush_us = (self.unflushed_s > 0.0).then_some(self.next_flush_us);
        [task_end_us, resume_us, pause_us, flush_us].into_iter().flatten().min()
    }

    /// Brings the node to this time.
    pub fn advance(&mut self, now_us: u64) {
        while let Some(time_us) = self.poll_timeout().filter(|time_us| *time_us <= now_us) {
            self.on_timeout(time_us);
            self.start_waiting(time_us);
        }
        self.start_waiting(now_us);
    }

    fn on_timeout(&mut self, time_us: u64) {
        if self.running.keys().next().is_some_and(|key| key.end_us == time_us) {
            if let Some((_, Task::Job { id })) = self.running.pop_first() {
                self.end_job(id, JobOutcome::Done);
            }
        } else if self.behavior.pause_s > 0.0 && self.next_pause_us == time_us {
            let interval_s = self.behavior.pause_interval_s * (0.5 + self.random.rand_float());
            self.next_pause_us = time_us + microseconds(interval_s).max(MIN_INTERVAL_US);
            self.pause_from(time_us, self.behavior.pause_s);
        } else if self.unflushed_s > 0.0 && self.next_flush_us == time_us {
            let work_s = std::mem::take(&mut self.unflushed_s);
            let interval_us = microseconds(self.behavior.flush_interval_s).max(MIN_INTERVAL_US);
            self.next_flush_us = time_us + interval_us;
            self.run(time_us, work_s, Task::Flush);
        } else {
            self.paused_until_us = 0;
        }
    }

    fn run(&mut self, now_us: u64, work_s: f64, task: Task) {
        // A node whose work costs nothing ends it at once: it serves to measure what comes before the node.
        if let (true, Task::Job { id }) = (work_s <= 0.0, task) {
            self.end_job(id, JobOutcome::Done);
            return;
        }
        self.task_count += 1;
        let work_us = microseconds(work_s / self.speed(now_us)).max(1);
        let end_us = now_us.max(self.paused_until_us) + work_us;
        self.running.insert(TaskKey { end_us, number: self.task_count }, task);
    }

    /// Starts what waits, while there are free cores.
    fn start_waiting(&mut self, now_us: u64) {
        if now_us < self.paused_until_us {
            return;
        }
        while self.running.len() < self.behavior.cores as usize {
            let Some(job) = self.waiting.pop_front() else { return };
            if self.behavior.drops_cancelled && job.deadline_us <= now_us {
                self.end_job(job.id, JobOutcome::NeverRan);
                continue;
            }
            let work_s = self.work_of(now_us, &job);
            self.run(now_us, work_s, Task::Job { id: job.id });
        }
    }

    /// Seconds of one core's work in a job that starts now. What the job leaves to the next flush is not among them.
    fn work_of(&mut self, now_us: u64, job: &Job) -> f64 {
        let mut work_s = job.units * self.behavior.unit_s;
        if self.random.rand_float() < self.faults.heavy_fraction {
            work_s *= self.faults.heavy_multiple;
        }
        if self.behavior.cached_keys > 0 {
            if !job.is_retry && self.cached_keys.contains(&job.key) {
                work_s *= 1.0 - self.behavior.cache_savings;
            }
            self.cached_keys.push_back(job.key);
            if self.cached_keys.len() > self.behavior.cached_keys {
                self.cached_keys.pop_front();
            }
        }
        let write_back_fraction = self.behavior.write_back_fraction;
        if job.write && write_back_fraction > 0.0 {
            if self.unflushed_s <= 0.0 {
                let half_interval_us = microseconds(self.behavior.flush_interval_s) / 2;
                self.next_flush_us = self.next_flush_us.max(now_us + half_interval_us);
            }
            self.unflushed_s += work_s * write_back_fraction;
            work_s *= 1.0 - write_back_fraction;
        }
        work_s
    }

    fn end_job(&mut self, id: u64, outcome: JobOutcome) {
        self.ended.push(EndedJob { id, outcome });
    }

    /// The jobs that have ended since the last call, in order.
    pub fn take_ended(&mut self) -> Vec<EndedJob> {
        std::mem::take(&mut self.ended)
    }

    /// Jobs that wait or run: lost when the process dies.
    pub(crate) fn pending_jobs(&self) -> Vec<u64> {
        let running = self.running.values().filter_map(|task| match task {
            Task::Job { id } => Some(*id),
            Task::Flush => None,
        });
        self.waiting.iter().map(|job| job.id).chain(running).collect()
    }
}
