//! How many attempts may be in flight at a node: an adaptive limit with additive increase and multiplicative decrease (AIMD).
//!
//! The limit rises while answers come well within the latency objective and is cut when they don't. That meets any slowness of a
//! node (queues, pauses, costly work, a neighbour) whatever its cause. Many hosts that each keep one attempt in flight can still
//! fill a node, so below one the limit acts in time: the host pauses between two attempts.

use super::priority::Priority;
use super::traffic_class::TrafficClass;
use crate::interface::{HoldReason, Instant, Outcome, TimeDelta};
use crate::policy::Hold;

/// The limit of a node of which no answer is known, in attempts, for up to `FEW_HOSTS` hosts.
const INITIAL_LIMIT: f64 = 8.0;
/// Up to this many hosts each keep a limit of at least one attempt; more hosts share this many attempts.
const FEW_HOSTS: f64 = 4.0;
/// The limit never rises beyond this, in attempts.
const MAX_LIMIT: f64 = 24.0;
/// By how many attempts the limit rises with each limit's worth of good answers.
const INCREASE_PER_WINDOW: f64 = 0.5;
/// The strongest cut, of a time-out or a full node: the limit is multiplied by this.
const MIN_DECREASE_FACTOR: f64 = 0.5;
/// The weakest cut, of an answer that was just too slow.
const MAX_DECREASE_FACTOR: f64 = 0.9;
/// An answer that takes longer than this fraction of its latency objective cuts the limit.
const FAST_FRACTION: f64 = 0.5;
/// The longest pause between two attempts while the effective limit is below one; times the square root of the hosts over `FEW_HOSTS` where
/// there are more.
const MAX_SEND_PAUSE: TimeDelta = TimeDelta::from_millis(2000);
/// The fraction of the limit that units beyond the reservation may use.
const BEST_EFFORT_FRACTION: f64 = 0.7;
/// The fraction of the limit that lower priorities may use while a higher one is in flight.
const LOWER_PRIORITY_FRACTION: f64 = 0.5;
/// The tightness of late requests, which scales a limit below one.
const LATE_TIGHTNESS: f64 = 0.5;
/// Requests that a node may report to wait before they divide the limit for reserved units.
const RESERVED_NODE_QUEUE: f64 = 8.0;
/// Requests that a node may report to wait before they divide the limit for units beyond the reservation.
const BEST_EFFORT_NODE_QUEUE: f64 = 2.0;
/// Answers judge a node when their latency objective is within this multiple of the tightest.
const ADJUSTING_OBJECTIVE_MULTIPLE: f64 = 2.0;

/// Whether an answer came well within its latency objective.
pub fn is_fast(latency: TimeDelta, objective: TimeDelta) -> bool {
    latency.secs() < FAST_FRACTION * objective.secs()
}

/// Whether answers of this class move limits: those of loose classes may be slow at a node that is well.
pub fn adjusts_limits(latency_objective: TimeDelta, tightest_objective: TimeDelta) -> bool {
    latency_objective.secs() <= ADJUSTING_OBJECTIVE_MULTIPLE * tightest_objective.secs()
}

/// The priority with which a late request asks for capacity: of the rank of its class, and with a tightness of its own in place of the class's.
pub fn late_priority(class: &TrafficClass) -> Priority {
    Priority { rank: class.priority.rank, tightness: LATE_TIGHTNESS, is_reserved: false }
}

/// The lowest limit that a node can get, in attempts, among `alive_hosts` hosts.
fn min_limit(alive_hosts: f64) -> f64 {
    (FEW_HOSTS / alive_hosts).min(1.0)
}

/// Attempts in flight at a node.
#[derive(Default)]
pub struct InFlight {
    /// How many.
    pub attempts: usize,
    /// Their cost.
    pub units: f64,
    /// How many, by rank of their traffic class.
    pub attempts_by_rank: Vec<usize>,
}

impl InFlight {
    /// Nothing in flight, of so many ranks.
    pub fn new(rank_count: usize) -> Self {
        InFlight { attempts_by_rank: vec![0; rank_count], ..InFlight::default() }
    }

    /// Counts an attempt that is sent.
    pub fn add(&mut self, rank: usize, units: f64) {
        self.attempts += 1;
        self.units += units;
        self.attempts_by_rank[rank] += 1;
    }

    /// Counts an attempt that has ended, however it did.
    pub fn remove(&mut self, rank: usize, units: f64) {
        self.attempts -= 1;
        self.units -= units;
        self.attempts_by_rank[rank] -= 1;
    }

    /// Attempts of tighter classes.
    fn above(&self, rank: usize) -> usize {
        self.attempts_by_rank[..rank].iter().sum()
    }
}

/// The end of an attempt, as far as it moves the limit.
pub struct LimitSample {
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub latency: TimeDelta,
    /// The latency objective of its class.
    pub objective: TimeDelta,
    /// See `adjusts_limits`.
    pub adjusts_limit: bool,
    /// It was sent while the limit was what held requests back.
    pub was_at_limit: bool,
    /// Its request was over before it ended.
    pub request_was_over: bool,
    /// The node answered nothing while it was in flight.
    pub node_was_silent: bool,
}

impl LimitSample {
    /// Whether a time-out shows an overloaded node rather than a lost attempt. Before the latency objective it does if the client's
    /// deadline caused it: an attempt that hurried clients give up is too slow for them. After it, it does if the node answered nothing
    /// at all meanwhile: hosts that each send one attempt a timeout keep a full queue full, and no answer ever shows that.
    fn timeout_shows_overload(&self) -> bool {
        match self.latency < self.objective {
            true => self.request_was_over,
            false => self.node_was_silent,
        }
    }
}

/// Who asks a node for capacity, and what else the answer depends on.
pub struct CapacityRequest<'a> {
    /// Of the request to be sent.
    pub priority: Priority,
    /// At the node.
    pub in_flight: &'a InFlight,
    /// When an attempt was last sent to the node.
    pub last_sent_at: Instant,
    /// An operator's weight, which scales the limit; 1 changes nothing.
    pub weight: f64,
    /// Whether the node gets probes only.
    pub is_ejected: bool,
    /// The mean cost of a request.
    pub mean_units: f64,
}

/// The concurrency limit of one node, and what moves it.
pub struct ConcurrencyLimiter {
    /// Attempts that may be in flight at once; below one, pauses between them.
    limit: f64,
    /// The limit is never cut below this.
    min_limit: f64,
    last_cut_at: Instant,
    /// Requests that wait at the node, as it last reported.
    reported_queue: f64,
    /// How long the node took for the last attempt that shows it (`record_latency`).
    last_latency: TimeDelta,
}

impl ConcurrencyLimiter {
    /// The limiter of a node of which no answer is known. The initial limit falls with the square root of the hosts beyond
    /// `FEW_HOSTS`, since all of them begin at once.
    pub fn new(now: Instant, alive_hosts: f64) -> Self {
        let min_limit = min_limit(alive_hosts);
        ConcurrencyLimiter {
            limit: INITIAL_LIMIT * min_limit.sqrt(),
            min_limit,
            last_cut_at: now,
            reported_queue: 0.0,
            last_latency: TimeDelta::ZERO,
        }
    }

    /// In attempts.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// The host now shares the nodes with so many hosts.
    pub fn set_alive_hosts(&mut self, alive_hosts: f64) {
        self.min_limit = min_limit(alive_hosts);
        self.limit = self.limit.max(self.min_limit);
    }

    /// The node reported how many requests wait there.
    pub fn set_reported_queue(&mut self, requests: f64) {
        self.reported_queue = requests;
    }

    /// Whether one more attempt beside those in flight is held back by the limit rather than by a lack of requests. Best effort is held back first,
    /// so its part of the limit decides. Only such
    /// attempts may raise the limit: a node that is asked little shows nothing of what it could do.
    pub fn is_at_limit(&self, in_flight: &InFlight) -> bool {
        (in_flight.attempts + 1) as f64 >= self.limit * BEST_EFFORT_FRACTION
    }

    /// Whether the limit has been cut so far that the host pauses between attempts.
    pub fn is_below_one(&self) -> bool {
        self.limit < 1.0
    }

    /// How long an answer is expected to take: as usual, or as the last one, whichever is less.
    pub fn expected_latency(&self, median_secs: Option<f64>) -> TimeDelta {
        TimeDelta::from_secs(median_secs.unwrap_or(0.0).min(self.last_latency.secs()))
    }

    /// Moves the limit by the end of an attempt.
    pub fn record(&mut self, now: Instant, sample: &LimitSample) {
        self.record_latency(sample);
        match sample.outcome {
            Outcome::Done if !sample.adjusts_limit => {}
            Outcome::Done if !is_fast(sample.latency, sample.objective) => {
                let target_secs = FAST_FRACTION * sample.objective.secs();
                self.cut(now, sample.latency, target_secs / sample.latency.secs());
            }
            Outcome::Done if sample.was_at_limit => self.raise(),
            Outcome::TimedOut if sample.timeout_shows_overload() => {
                self.cut(now, sample.latency, MIN_DECREASE_FACTOR);
            }
            Outcome::Full => self.cut(now, sample.latency, MIN_DECREASE_FACTOR),
            // These say nothing of the node's load.
            Outcome::Done | Outcome::TimedOut => {}
            Outcome::Error | Outcome::Refused | Outcome::Reset | Outcome::Cancelled | Outcome::Skipped => {}
        }
    }

    /// Records how long the node takes for an attempt, as far as this end of one shows it. An attempt that ended early for another reason
    /// must not lower the figure: the pause of a slow node would shrink to almost nothing, and all hosts together would overrun it.
    fn record_latency(&mut self, sample: &LimitSample) {
        match sample.outcome {
            Outcome::Done | Outcome::TimedOut => self.last_latency = sample.latency,
            // The node has answered without doing the work, which takes it longer. But the figure rises with these, or a node that has
            // answered nothing else yet would get no pause at all.
            Outcome::Full | Outcome::Error => self.last_latency = self.last_latency.max(sample.latency),
            // When the connection broke, or the host or the client gave up, is not the node's speed. After a reset the node may have
            // restarted, and may be faster than before.
            Outcome::Reset | Outcome::Refused | Outcome::Cancelled | Outcome::Skipped => {}
        }
    }

    /// Below one the limit rises by a fraction of itself, since answers are rare then.
    fn raise(&mut self) {
        let step = INCREASE_PER_WINDOW * self.limit.min(1.0 / self.limit);
        self.limit = (self.limit + step).min(MAX_LIMIT);
    }

    /// Cuts the limit, but only once for what was in flight at the same time: the attempts of one slow spell end one after another,
    /// and would else cut it to the minimum. So an attempt cuts it only if it was sent after the last cut. `latency` is how long that
    /// attempt took.
    fn cut(&mut self, now: Instant, latency: TimeDelta, factor: f64) {
        if now - self.last_cut_at > latency {
            let factor = factor.clamp(MIN_DECREASE_FACTOR, MAX_DECREASE_FACTOR);
            self.limit = (self.limit * factor).max(self.min_limit);
            self.last_cut_at = now;
        }
    }

    /// Whether the node has capacity for one more request.
    pub fn check(&self, now: Instant, request: &CapacityRequest) -> Result<(), Hold> {
        let limit = self.effective_limit(request);
        if !has_capacity(limit, request) {
            return Err(Hold::until_answer(HoldReason::ConcurrencyLimit));
        }
        Hold::check(HoldReason::SendPause, request.last_sent_at + self.send_pause(limit), now)
    }

    /// The pause between two attempts: the longer, the further the limit is below one.
    fn send_pause(&self, limit: f64) -> TimeDelta {
        if limit >= 1.0 {
            return TimeDelta::ZERO;
        }
        let max_pause_secs = MAX_SEND_PAUSE.secs() / self.min_limit.sqrt();
        TimeDelta::from_secs((self.last_latency.secs() / limit).min(max_pause_secs))
    }

    /// The limit for a request of this priority, in attempts.
    fn effective_limit(&self, request: &CapacityRequest) -> f64 {
        let (fraction, node_queue) = match request.priority.is_reserved {
            true => (1.0, RESERVED_NODE_QUEUE),
            false => (BEST_EFFORT_FRACTION, BEST_EFFORT_NODE_QUEUE),
        };
        // What a node reports is common to all hosts; what each has in flight is not, once there are many.
        let queue_divisor = (self.reported_queue / node_queue).max(1.0);
        let limit = self.limit * request.weight * fraction / queue_divisor;
        let limit = if request.is_ejected { limit.min(1.0) } else { limit };
        // Ranks hold within a host only. Where many hosts share a node, looser classes pause longer at it.
        if limit < 1.0 {
            limit * request.priority.tightness
        } else {
            limit
        }
    }
}

/// Whether the limit leaves room beside what is in flight: in attempts, in units, and for lower priorities while a higher one is in
/// flight. One attempt is always allowed, so that a node is never without a sign of life.
fn has_capacity(limit: f64, request: &CapacityRequest) -> bool {
    let in_flight = request.in_flight;
    if in_flight.attempts == 0 {
        return true;
    }
    let above = in_flight.above(request.priority.rank);
    let at_or_below = (in_flight.attempts - above) as f64;
    (in_flight.attempts as f64) < limit.floor()
        && in_flight.units < limit * request.mean_units
        && (above == 0 || at_or_below < (limit * LOWER_PRIORITY_FRACTION).max(1.0))
}

#[cfg(test)]
mod tests;
