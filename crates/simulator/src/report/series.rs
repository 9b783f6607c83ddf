//! A run over time: what the trace shows of requests, nodes and the limited volume in each bucket of time.

use crate::sim::Run;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use tackmast_trace::{AnswerKind, AttemptName, Event, Facts, Line, VolumeFacts};

/// Buckets of time across a picture.
pub(super) const BUCKET_COUNT: usize = 120;

/// A run over time. Each list has one value for each bucket of time.
pub struct Series {
    /// Length of a bucket, in seconds.
    pub step: f64,
    /// Commands that were submitted.
    pub submitted: Vec<f64>,
    /// Of these, the ones that were done within their latency objective.
    pub in_time: Vec<f64>,
    /// Of these, the ones that were rejected.
    pub rejected: Vec<f64>,
    /// The mean number of attempts in flight at each node, in the order of `nodes`.
    pub in_flight: Vec<Vec<f64>>,
    /// Addresses of the nodes, in ascending order.
    pub nodes: Vec<String>,
    /// The highest level of the limited volume's token bucket, as a fraction of its burst and slack.
    pub bucket_level: Vec<f64>,
}

impl Series {
    /// Computes the series from the trace of a run alone. Latency objectives are those of the facts in the trace.
    pub fn of(run: &Run) -> Series {
        let mut builder = SeriesBuilder::new(&run.trace);
        run.trace.iter().for_each(|line| builder.add(line));
        builder.finish()
    }
}

/// The extent of a trace in time, divided into buckets. Times are in microseconds unless named otherwise.
#[derive(Clone, Copy)]
struct TimeAxis {
    first: u64,
    last: u64,
    /// Length of a bucket, in seconds.
    step: f64,
}

impl TimeAxis {
    fn new(trace: &[Line]) -> TimeAxis {
        let first = trace.first().map_or(0, |line| line.t);
        let last = trace.last().map_or(1, |line| line.t);
        let length_s = (last - first).max(1) as f64 / 1e6;
        TimeAxis { first, last, step: length_s / BUCKET_COUNT as f64 }
    }

    /// Seconds since the trace began.
    fn seconds(&self, time: u64) -> f64 {
        (time - self.first) as f64 / 1e6
    }

    fn bucket(&self, time: u64) -> usize {
        ((self.seconds(time) / self.step) as usize).min(BUCKET_COUNT - 1)
    }
}

/// An attempt that has not ended yet.
struct OpenAttempt {
    node: String,
    sent_at: u64,
    deadline: u64,
}

/// The time for which an attempt was in flight at a node.
struct InFlightInterval {
    node: String,
    from: u64,
    to: u64,
}

/// A leaky bucket as the invariant on limits computes it: each request of the limited volume adds its units once.
struct LimitMeter {
    volume: VolumeFacts,
    level: f64,
    level_at: u64,
    /// Host, generation and number of the requests that are counted.
    counted: BTreeSet<(u32, u64, u64)>,
}

impl LimitMeter {
    /// Adds the request of an attempt. Returns the level as a fraction of burst and slack, if the request is new.
    fn add(&mut self, time: u64, name: AttemptName, units: f64) -> Option<f64> {
        if !self.counted.insert((name.host, name.generation, name.request)) {
            return None;
        }
        let elapsed_s = (time - self.level_at) as f64 / 1e6;
        self.level = (self.level - self.volume.limit * elapsed_s).max(0.0) + units;
        self.level_at = time;
        Some(self.level / (self.volume.burst + self.volume.slack).max(1e-9))
    }
}

/// Builds the series line by line.
struct SeriesBuilder {
    axis: TimeAxis,
    facts: Facts,
    series: Series,
    /// By host, session and command: when the command was submitted, and its traffic class.
    open_commands: BTreeMap<(u32, u32, u32), (u64, usize)>,
    open_attempts: BTreeMap<AttemptName, OpenAttempt>,
    intervals: Vec<InFlightInterval>,
    meter: Option<LimitMeter>,
}

impl SeriesBuilder {
    fn new(trace: &[Line]) -> SeriesBuilder {
        let axis = TimeAxis::new(trace);
        let facts = trace.iter().find_map(|line| match &line.event {
            Event::Facts(facts) => Some(facts.clone()),
            _ => None,
        });
        let facts = facts.unwrap_or_default();
        let limited = facts.volumes.iter().find(|volume| volume.limit > 0.0).cloned();
        let meter = limited.map(|volume| LimitMeter {
            volume,
            level: 0.0,
            level_at: axis.first,
            counted: BTreeSet::new(),
        });
        let empty = || vec![0.0; BUCKET_COUNT];
        let series = Series {
            step: axis.step,
            submitted: empty(),
            in_time: empty(),
            rejected: empty(),
            in_flight: Vec::new(),
            nodes: Vec::new(),
            bucket_level: empty(),
        };
        SeriesBuilder {
            axis,
            facts,
            series,
            open_commands: BTreeMap::new(),
            open_attempts: BTreeMap::new(),
            intervals: Vec::new(),
            meter,
        }
    }

    fn add(&mut self, line: &Line) {
        let time = line.t;
        match &line.event {
            Event::Submit { host, session, command, traffic_class, .. } => {
                self.series.submitted[self.axis.bucket(time)] += 1.0;
                self.open_commands.insert((*host, *session, *command), (time, *traffic_class as usize));
            }
            Event::Answer { host, session, command, kind, .. } => {
                self.add_answer(time, (*host, *session, *command), *kind);
            }
            Event::Attempt { node, name, left_us, volume, units, .. } => {
                let attempt = OpenAttempt { node: node.clone(), sent_at: time, deadline: time + left_us };
                self.open_attempts.insert(*name, attempt);
                self.add_to_meter(time, *name, *volume, *units);
            }
            Event::AttemptEnd { name, .. } => self.end_attempt(time, name),
            Event::LinkDown { attempts, .. } => {
                attempts.iter().for_each(|name| self.end_attempt(time, name));
            }
            _ => {}
        }
    }

    /// Counts an answer in the bucket in which its command was submitted.
    fn add_answer(&mut self, time: u64, command: (u32, u32, u32), kind: AnswerKind) {
        let Some((sent_at, traffic_class)) = self.open_commands.remove(&command) else { return };
        let class = self.facts.traffic_classes.get(traffic_class);
        let latency_objective_us = class.map_or(u64::MAX, |class| class.latency_objective_us);
        let is_in_time = kind == AnswerKind::Done && time - sent_at <= latency_objective_us;
        let bucket = self.axis.bucket(sent_at);
        self.series.in_time[bucket] += f64::from(u8::from(is_in_time));
        self.series.rejected[bucket] += f64::from(u8::from(kind == AnswerKind::Rejected));
    }

    fn add_to_meter(&mut self, time: u64, name: AttemptName, volume: u32, units: f64) {
        let Some(meter) = self.meter.as_mut().filter(|meter| meter.volume.volume == volume) else { return };
        if let Some(fraction) = meter.add(time, name, units) {
            let level = &mut self.series.bucket_level[self.axis.bucket(time)];
            *level = level.max(fraction);
        }
    }

    fn end_attempt(&mut self, time: u64, name: &AttemptName) {
        if let Some(OpenAttempt { node, sent_at, .. }) = self.open_attempts.remove(name) {
            self.intervals.push(InFlightInterval { node, from: sent_at, to: time });
        }
    }

    /// Attempts without an end count until their deadline.
    fn finish(mut self) -> Series {
        let last = self.axis.last;
        let unfinished = std::mem::take(&mut self.open_attempts).into_values();
        self.intervals.extend(unfinished.map(|OpenAttempt { node, sent_at, deadline }| InFlightInterval {
            node,
            from: sent_at,
            to: deadline.min(last),
        }));
        let mut nodes: Vec<String> = self.intervals.iter().map(|interval| interval.node.clone()).collect();
        nodes.sort_by_key(|address| address_order(address));
        nodes.dedup();
        self.series.in_flight = mean_in_flight(self.axis, &nodes, &self.intervals);
        self.series.nodes = nodes;
        self.series
    }
}

/// Orders addresses by their numbers, so that 10.0.0.9 comes before 10.0.0.10.
fn address_order(address: &str) -> Result<SocketAddr, String> {
    address.parse().map_err(|_| address.to_owned())
}

/// The mean number of attempts in flight at each node in each bucket. A bucket counts the fraction of its length for which
/// an attempt was in flight.
fn mean_in_flight(axis: TimeAxis, nodes: &[String], intervals: &[InFlightInterval]) -> Vec<Vec<f64>> {
    let mut in_flight = vec![vec![0.0; BUCKET_COUNT]; nodes.len()];
    for InFlightInterval { node, from, to } in intervals {
        let Ok(node_index) =
            nodes.binary_search_by_key(&address_order(node), |address| address_order(address))
        else {
            continue;
        };
        let (from_s, to_s) = (axis.seconds(*from), axis.seconds(*to));
        let buckets = axis.bucket(*from)..=axis.bucket(*to);
        for bucket in buckets {
            let (begin, end) = (bucket as f64 * axis.step, (bucket + 1) as f64 * axis.step);
            let overlap = (to_s.min(end) - from_s.max(begin)).max(0.0);
            in_flight[node_index][bucket] += overlap / axis.step;
        }
    }
    in_flight
}
