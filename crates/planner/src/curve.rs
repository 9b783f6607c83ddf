//! Rate-burst curves (paper, 2.2, algorithm 1): for each rate of a token bucket the smallest burst with which no request of a
//! load would wait.

/// Points of one curve, at most.
const MAX_POINTS: usize = 12;
/// The lowest rate of a curve, as a multiple of the mean: below the mean, a burst grows with the length of the record.
const MIN_RATE_FACTOR: f64 = 1.02;
/// The smallest ratio of one rate to the one before.
const MIN_RATE_RATIO: f64 = 1.0 + 1e-6;

/// A recorded request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Seconds from the start of the record.
    pub at_s: f64,
    /// What the request costs.
    pub units: f64,
}

/// Rate and burst of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Units a second.
    pub rate: f64,
    /// Units.
    pub burst: f64,
}

/// A line that a curve lies on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Change of the burst with the rate.
    pub slope: f64,
    /// The burst at rate 0.
    pub intercept: f64,
}

/// Points by rising rate. Between them the burst falls along a line; beyond the last it stays.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Curve {
    /// The points; none where there were no arrivals.
    pub points: Vec<Point>,
}

impl Curve {
    /// The curve of arrivals in order of time, recorded for `seconds`. Rates go from just above the mean to where the burst is
    /// one request, or to `max_rate`.
    pub fn from_arrivals(arrivals: &[Arrival], seconds: f64, max_rate: f64) -> Curve {
        let total: f64 = arrivals.iter().map(|arrival| arrival.units).sum();
        let largest = arrivals.iter().map(|arrival| arrival.units).fold(0.0, f64::max);
        if total <= 0.0 || seconds <= 0.0 {
            return Curve::default();
        }
        let mut rate = total / seconds * MIN_RATE_FACTOR;
        let ratio = (max_rate.max(rate) / rate).powf(1.0 / (MAX_POINTS - 1) as f64).max(MIN_RATE_RATIO);
        let mut points: Vec<Point> = Vec::new();
        for _ in 0..MAX_POINTS {
            let burst = max_bucket_level(arrivals, rate, 0.0);
            points.push(Point { rate, burst });
            if burst <= largest {
                break;
            }
            rate *= ratio;
        }
        Curve { points }
    }

    /// The burst that goes with a rate; none below the first point.
    pub fn burst(&self, rate: f64) -> Option<f64> {
        let next = self.points.partition_point(|point| point.rate <= rate);
        let from = self.points[..next].last()?;
        let Some(to) = self.points.get(next) else { return Some(from.burst) };
        let fraction = (rate - from.rate) / (to.rate - from.rate);
        Some(from.burst + fraction * (to.burst - from.burst))
    }

    /// The lines that the curve lies on. It is convex, so it is above each of them.
    pub fn lines(&self) -> impl Iterator<Item = Line> + '_ {
        self.points.windows(2).map(|pair| {
            let slope = (pair[1].burst - pair[0].burst) / (pair[1].rate - pair[0].rate);
            Line { slope, intercept: pair[0].burst - slope * pair[0].rate }
        })
    }

    /// The point of the lowest rate.
    pub fn first(&self) -> Option<Point> {
        self.points.first().copied()
    }

    /// The point of the highest rate.
    pub fn last(&self) -> Option<Point> {
        self.points.last().copied()
    }

    /// The lowest rate; 0 where there were no arrivals.
    pub(crate) fn min_rate(&self) -> f64 {
        self.first().map_or(0.0, |point| point.rate)
    }
}

/// The paper's virtual bucket, which drains at `rate`: the highest level that arrivals fill it to, from `initial_level` on.
pub fn max_bucket_level(arrivals: &[Arrival], rate: f64, initial_level: f64) -> f64 {
    let (mut level, mut highest, mut last_s) = (initial_level, 0.0f64, 0.0);
    for Arrival { at_s, units } in arrivals {
        level = (level - rate * (at_s - last_s)).max(0.0) + units;
        highest = highest.max(level);
        last_s = *at_s;
    }
    highest
}
