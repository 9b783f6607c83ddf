//! An adaptive limit on the attempts in flight at a node, with additive increase and multiplicative decrease (AIMD).
//!
//! The limit increases while answers come well within the latency objective and decreases when they don't. It thereby
//! reacts to any slowness of a node (queues, pauses, expensive requests, a noisy neighbour) whatever its cause. Many
//! hosts with one attempt in flight each can still overload a node. So a limit below one limits the rate: the host
//! pauses between two attempts.

use super::priority::Priority;
use super::traffic_class::TrafficClass;
use crate::interface::{HoldReason, Instant, Outcome, TimeDelta};
use crate::policy::Hold;

/// The limit of a node that has not answered yet, in attempts, for up to `FEW_HOSTS` hosts.
const INITIAL_LIMIT: f64 = 8.0;
/// The number of hosts up to which each host keeps a limit of at least one attempt. With more hosts,
/// the minimum limits of all of them add up to this many attempts.
const FEW_HOSTS: f64 = 4.0;
/// The largest limit, in attempts.
const MAX_LIMIT: f64 = 24.0;
/// How much a limit of at least one grows, in attempts, over a window: as many fast answers as it allows attempts.
const INCREASE_PER_WINDOW: f64 = 0.5;
/// The factor of the largest decrease, which follows a timeout or a rejection by a full node.
const MIN_DECREASE_FACTOR: f64 = 0.5;
/// The factor of the smallest decrease, which follows an answer that was only just too slow.
const MAX_DECREASE_FACTOR: f64 = 0.9;
/// The fraction of the latency objective from which on an answer is slow and decreases the limit.
const FAST_FRACTION: f64 = 0.5;
/// The longest pause between two attempts while the effective limit is below one. With more than `FEW_HOSTS` hosts
/// it is multiplied by `sqrt(hosts / FEW_HOSTS)`.
const MAX_SEND_PAUSE: TimeDelta = TimeDelta::from_millis(2000);
/// The fraction of the limit that best effort, which exceeds the reservation, may use.
const BEST_EFFORT_FRACTION: f64 = 0.7;
/// The fraction of the limit that lower priorities may use while an attempt of a higher one is in flight.
const LOWER_PRIORITY_FRACTION: f64 = 0.5;
/// Late requests get this value as `Priority::tightness`; a limit below one is multiplied by it.
const LATE_TIGHTNESS: f64 = 0.5;
/// Above this reported queue length of a node, the limit for reserved requests is divided by the ratio of that length
/// to this value.
const RESERVED_QUEUE_THRESHOLD: f64 = 8.0;
/// Above this reported queue length of a node, the limit for best effort is divided by the ratio of that length to this
/// value.
const BEST_EFFORT_QUEUE_THRESHOLD: f64 = 2.0;
/// The answers of a class adjust the limit only if its latency objective is at most this multiple of the tightest one.
const ADJUSTING_OBJECTIVE_MULTIPLE: f64 = 2.0;

/// Returns whether an answer came well within its latency objective.
pub fn is_fast(latency: TimeDelta, objective: TimeDelta) -> bool {
    latency.secs() < FAST_FRACTION * objective.secs()
}

/// Returns whether answers of a class adjust limits. Those of classes with loose objectives do not, since they may be
/// slow at a healthy node.
pub fn adjusts_limits(latency_objective: TimeDelta, tightest_objective: TimeDelta) -> bool {
    latency_objective.secs() <= ADJUSTING_OBJECTIVE_MULTIPLE * tightest_objective.secs()
}

/// Returns the priority of a late request: it has the rank of its class, but the tightness of late requests.
pub fn late_priority(class: &TrafficClass) -> Priority {
    Priority { rank: class.priority.rank, tightness: LATE_TIGHTNESS, is_reserved: false }
}

fn min_limit(alive_hosts: f64) -> f64 {
    (FEW_HOSTS / alive_hosts).min(1.0)
}

/// The attempts in flight at a node.
#[derive(Default)]
pub struct InFlight {
    /// The number of attempts.
    pub attempts: usize,
    /// The sum of their costs, in units.
    pub units: f64,
    /// The number of attempts by rank of their traffic class.
    pub attempts_by_rank: Vec<usize>,
}

impl InFlight {
    /// Creates empty counts for `rank_count` ranks.
    pub fn new(rank_count: usize) -> Self {
        InFlight { attempts_by_rank: vec![0; rank_count], ..InFlight::default() }
    }

    /// Adds an attempt that is sent.
    pub fn add(&mut self, rank: usize, units: f64) {
        self.attempts += 1;
        self.units += units;
        self.attempts_by_rank[rank] += 1;
    }

    /// Removes an attempt that has ended, whatever its outcome.
    pub fn remove(&mut self, rank: usize, units: f64) {
        self.attempts -= 1;
        self.units -= units;
        self.attempts_by_rank[rank] -= 1;
    }

    /// Returns the number of attempts with a tighter latency objective than that of `rank`.
    fn attempts_of_higher_ranks(&self, rank: usize) -> usize {
        self.attempts_by_rank[..rank].iter().sum()
    }
}

/// The end of an attempt, as far as it adjusts the limit.
pub struct LimitSample {
    /// How it ended.
    pub outcome: Outcome,
    /// The time from sending the attempt to its end.
    pub latency: TimeDelta,
    /// The latency objective of its class.
    pub objective: TimeDelta,
    /// Answers of its class adjust limits (`adjusts_limits`).
    pub adjusts_limit: bool,
    /// It was sent while the limit held requests back (`ConcurrencyLimiter::is_at_limit`).
    pub was_at_limit: bool,
    /// Its request had ended before it.
    pub request_was_over: bool,
    /// The node answered nothing while it was in flight.
    pub node_was_silent: bool,
}

impl LimitSample {
    /// Returns whether a timeout shows an overloaded node rather than a lost attempt. A timeout before the latency
    /// objective shows overload if the request had already ended: the client's deadline then caused the timeout, and
    /// the node is too slow for clients with short deadlines. A later timeout shows overload if the node answered
    /// nothing while the attempt was in flight. If the node's queue is full and each host sends one attempt per
    /// timeout, the queue stays full, and no answer ever shows the overload.
    fn timeout_shows_overload(&self) -> bool {
        match self.latency < self.objective {
            true => self.request_was_over,
            false => self.node_was_silent,
        }
    }
}

/// The inputs of the check whether a node has capacity for a request.
pub struct CapacityRequest<'a> {
    /// The priority of the request.
    pub priority: Priority,
    /// The attempts in flight at the node.
    pub in_flight: &'a InFlight,
    /// When an attempt was last sent to the node.
    pub last_sent_at: Instant,
    /// An operator's weight, which scales the limit; 1 changes nothing.
    pub weight: f64,
    /// Whether the node gets only probes.
    pub is_ejected: bool,
    /// The mean cost of a request, in units.
    pub mean_units: f64,
}

/// The concurrency limit of one node, with the state from which it is adjusted.
pub struct ConcurrencyLimiter {
    /// The number of attempts that may be in flight at once; below one, the host pauses between attempts.
    limit: f64,
    min_limit: f64,
    last_decrease_at: Instant,
    /// The number of requests that wait at the node, as it last reported.
    reported_queue: f64,
    /// The latency of the last answer or timeout; a slower rejection or error since then raises it (`record_latency`).
    last_latency: TimeDelta,
}

impl ConcurrencyLimiter {
    /// Creates the limiter of a node that has not answered yet. With more than `FEW_HOSTS` hosts, the initial limit is
    /// divided by `sqrt(hosts / FEW_HOSTS)`, since all hosts start sending at the same time.
    pub fn new(now: Instant, alive_hosts: f64) -> Self {
        let min_limit = min_limit(alive_hosts);
        ConcurrencyLimiter {
            limit: INITIAL_LIMIT * min_limit.sqrt(),
            min_limit,
            last_decrease_at: now,
            reported_queue: 0.0,
            last_latency: TimeDelta::ZERO,
        }
    }

    /// Returns the limit in attempts.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Sets the number of alive hosts, which share the nodes.
    pub fn set_alive_hosts(&mut self, alive_hosts: f64) {
        self.min_limit = min_limit(alive_hosts);
        self.limit = self.limit.max(self.min_limit);
    }

    /// Sets the number of requests that the node reports to be waiting there.
    pub fn set_reported_queue(&mut self, requests: f64) {
        self.reported_queue = requests;
    }

    /// Returns whether one more attempt would bring the attempts in flight to the limit of best effort. Best effort is
    /// held back first, so from there on the limit, rather than a lack of requests, bounds the attempts in flight. Only
    /// attempts sent in this state may increase the limit: a node with few requests does not show its capacity.
    pub fn is_at_limit(&self, in_flight: &InFlight) -> bool {
        (in_flight.attempts + 1) as f64 >= self.limit * BEST_EFFORT_FRACTION
    }

    /// Returns whether the limit is so low that the host pauses between attempts.
    pub fn is_below_one(&self) -> bool {
        self.limit < 1.0
    }

    /// Returns the expected latency of an answer: the smaller of the median and the last latency, or zero without a
    /// median.
    pub fn expected_latency(&self, median_secs: Option<f64>) -> TimeDelta {
        TimeDelta::from_secs(median_secs.unwrap_or(0.0).min(self.last_latency.secs()))
    }

    /// Adjusts the limit after the end of an attempt.
    pub fn record(&mut self, now: Instant, sample: &LimitSample) {
        self.record_latency(sample);
        match sample.outcome {
            Outcome::Done if !sample.adjusts_limit => {}
            Outcome::Done if !is_fast(sample.latency, sample.objective) => {
                let target_secs = FAST_FRACTION * sample.objective.secs();
                self.decrease(now, sample.latency, target_secs / sample.latency.secs());
            }
            Outcome::Done if sample.was_at_limit => self.increase(),
            Outcome::TimedOut if sample.timeout_shows_overload() => {
                self.decrease(now, sample.latency, MIN_DECREASE_FACTOR);
            }
            Outcome::Full => self.decrease(now, sample.latency, MIN_DECREASE_FACTOR),
            // Other successes and timeouts don't change the limit.
            Outcome::Done | Outcome::TimedOut => {}
            Outcome::Error | Outcome::Refused | Outcome::Reset | Outcome::Cancelled | Outcome::Skipped => {}
        }
    }

    /// Records how long the node takes for an attempt, as far as the end of this one shows it. An attempt that ended
    /// early for another reason must not lower the latency: the pause at a slow node would shrink to almost nothing,
    /// and all hosts together would overload it.
    fn record_latency(&mut self, sample: &LimitSample) {
        match sample.outcome {
            Outcome::Done | Outcome::TimedOut => self.last_latency = sample.latency,
            // The node answered without doing the work, which would have taken longer. A rejection or error may raise
            // the recorded latency, though: otherwise a node that has given no other answer yet would get no pause at
            // all.
            Outcome::Full | Outcome::Error => self.last_latency = self.last_latency.max(sample.latency),
            // The time until the connection broke, or until host or client gave up, does not show the node's speed.
            // After a reset the node may have restarted, and may be faster than before.
            Outcome::Reset | Outcome::Refused | Outcome::Cancelled | Outcome::Skipped => {}
        }
    }

    /// Increases the limit after a fast answer. Below one, where answers are rare, each of them adds the fraction
    /// `INCREASE_PER_WINDOW` of the limit; a step divided by the limit would be larger the lower the limit is.
    fn increase(&mut self) {
        let step = INCREASE_PER_WINDOW * self.limit.min(1.0 / self.limit);
        self.limit = (self.limit + step).min(MAX_LIMIT);
    }

    /// Decreases the limit, but only once for attempts that were in flight at the same time. Attempts that were in
    /// flight while a node was slow end one after another, and would otherwise decrease the limit to the minimum. So an
    /// attempt has an effect only if it was sent after the last decrease. `latency` is the time that the attempt took.
    fn decrease(&mut self, now: Instant, latency: TimeDelta, factor: f64) {
        if now - self.last_decrease_at > latency {
            let factor = factor.clamp(MIN_DECREASE_FACTOR, MAX_DECREASE_FACTOR);
            self.limit = (self.limit * factor).max(self.min_limit);
            self.last_decrease_at = now;
        }
    }

    /// Checks that the node has capacity for one more request.
    pub fn check(&self, now: Instant, request: &CapacityRequest) -> Result<(), Hold> {
        let limit = self.effective_limit(request);
        if !has_capacity(limit, request) {
            return Err(Hold::until_answer(HoldReason::ConcurrencyLimit));
        }
        Hold::check(HoldReason::SendPause, request.last_sent_at + self.send_pause(limit), now)
    }

    /// Returns the pause between two attempts, which is longer the further the limit is below one.
    fn send_pause(&self, limit: f64) -> TimeDelta {
        if limit >= 1.0 {
            return TimeDelta::ZERO;
        }
        let max_pause_secs = MAX_SEND_PAUSE.secs() / self.min_limit.sqrt();
        TimeDelta::from_secs((self.last_latency.secs() / limit).min(max_pause_secs))
    }

    /// Returns the limit that applies to a request, in attempts.
    fn effective_limit(&self, request: &CapacityRequest) -> f64 {
        let (fraction, node_queue) = match request.priority.is_reserved {
            true => (1.0, RESERVED_QUEUE_THRESHOLD),
            false => (BEST_EFFORT_FRACTION, BEST_EFFORT_QUEUE_THRESHOLD),
        };
        // All hosts see the same reported queue. With many hosts, the attempts that one host has in flight show
        // little of the node's load, so the reported queue also lowers each host's limit.
        let queue_divisor = (self.reported_queue / node_queue).max(1.0);
        let limit = self.limit * request.weight * fraction / queue_divisor;
        let limit = if request.is_ejected { limit.min(1.0) } else { limit };
        // Ranks order requests only within a host. To give way to the tighter classes of other hosts, a looser
        // class gets a smaller limit and so pauses longer.
        if limit < 1.0 {
            limit * request.priority.tightness
        } else {
            limit
        }
    }
}

/// Returns whether one more attempt may be in flight. There must be room in the limit in attempts, in the limit in
/// units and, while a higher priority is in flight, in the part that is left to lower ones. One attempt is always
/// allowed, so that the host keeps getting answers from the node.
fn has_capacity(limit: f64, request: &CapacityRequest) -> bool {
    let in_flight = request.in_flight;
    if in_flight.attempts == 0 {
        return true;
    }
    let above = in_flight.attempts_of_higher_ranks(request.priority.rank);
    let at_or_below = (in_flight.attempts - above) as f64;
    (in_flight.attempts as f64) < limit.floor()
        && in_flight.units < limit * request.mean_units
        && (above == 0 || at_or_below < (limit * LOWER_PRIORITY_FRACTION).max(1.0))
}

#[cfg(test)]
mod tests;
