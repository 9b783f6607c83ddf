//! Rate-burst curves (paper, 2.2, algorithm 1): for each rate of a token bucket, the smallest burst with which no request of a load
//! waits.

/// The maximum number of points of a curve.
const MAX_POINTS: usize = 12;
/// The lowest rate of a curve, as a multiple of the mean rate. Below the mean rate, the burst would grow with the length of the
/// record.
const MIN_RATE_FACTOR: f64 = 1.02;
/// The minimum ratio of a point's rate to that of the point before.
const MIN_RATE_RATIO: f64 = 1.0 + 1e-6;

/// A recorded request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// The time since the start of the record, in seconds.
    pub at_s: f64,
    /// The cost of the request, in units.
    pub units: f64,
}

/// The rate and burst of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// In units per second.
    pub rate: f64,
    /// In units.
    pub burst: f64,
}

/// A line through two neighbouring points of a curve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The change of the burst per change of the rate, in seconds.
    pub slope: f64,
    /// The burst at rate 0, in units.
    pub intercept: f64,
}

/// A rate-burst curve. Between two points the burst falls along a line; beyond the last point it is constant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Curve {
    /// The points in ascending order of rate; empty if there were no arrivals.
    pub points: Vec<Point>,
}

impl Curve {
    /// Computes the curve of arrivals that were recorded for `seconds` and are in order of time. The rates go from just above the mean to
    /// the rate at which the burst is one request, but not above `max_rate`, in units per second.
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

    /// Returns the burst at a rate, or `None` below the rate of the first point.
    pub fn burst(&self, rate: f64) -> Option<f64> {
        let next = self.points.partition_point(|point| point.rate <= rate);
        let from = self.points[..next].last()?;
        let Some(to) = self.points.get(next) else { return Some(from.burst) };
        let fraction = (rate - from.rate) / (to.rate - from.rate);
        Some(from.burst + fraction * (to.burst - from.burst))
    }

    /// Returns the lines through each two neighbouring points. The curve is convex; so none of its points is below any of them.
    pub fn lines(&self) -> impl Iterator<Item = Line> + '_ {
        self.points.windows(2).map(|pair| {
            let slope = (pair[1].burst - pair[0].burst) / (pair[1].rate - pair[0].rate);
            Line { slope, intercept: pair[0].burst - slope * pair[0].rate }
        })
    }

    /// Returns the point of the lowest rate.
    pub fn first(&self) -> Option<Point> {
        self.points.first().copied()
    }

    /// Returns the point of the highest rate.
    pub fn last(&self) -> Option<Point> {
        self.points.last().copied()
    }

    /// Returns the lowest rate, or 0 if there were no arrivals.
    pub(crate) fn min_rate(&self) -> f64 {
        self.first().map_or(0.0, |point| point.rate)
    }
}

/// Returns the highest level to which arrivals fill the paper's virtual bucket. The bucket starts at `initial_level`, in units, and
/// drains at `rate`, in units per second.
pub fn max_bucket_level(arrivals: &[Arrival], rate: f64, initial_level: f64) -> f64 {
    let (mut level, mut highest, mut last_s) = (initial_level, 0.0f64, 0.0);
    for Arrival { at_s, units } in arrivals {
        level = (level - rate * (at_s - last_s)).max(0.0) + units;
        highest = highest.max(level);
        last_s = *at_s;
    }
    highest
}
