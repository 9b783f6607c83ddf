//! r-b curves (paper, 2.2, algorithm 1): for each rate the least burst with which nothing of a load would wait.

/// A rate in units a second and a burst in units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    pub rate: f64,
    pub burst: f64,
}

/// Points by rising rate; between them and beyond the last the burst falls along a line, or not at all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Curve {
    pub points: Vec<Point>,
}

/// Points of one curve.
const POINTS: usize = 12;
/// The least rate looked at, in parts of the mean: below the mean, a burst grows with the length of the record.
const MIN: f64 = 1.02;

impl Curve {
    /// Of arrivals, in order of time: seconds and units. Rates go from just above the mean to where the burst is one request,
    /// or to `most`.
    pub fn of(arrivals: &[(f64, f64)], seconds: f64, most: f64) -> Curve {
        let whole: f64 = arrivals.iter().map(|a| a.1).sum();
        let largest = arrivals.iter().map(|a| a.1).fold(0.0, f64::max);
        if whole <= 0.0 || seconds <= 0.0 {
            return Curve::default();
        }
        let (mut rate, top) = (whole / seconds * MIN, most.max(whole / seconds * MIN));
        let step = (top / rate).powf(1.0 / (POINTS - 1) as f64).max(1.0 + 1e-6);
        let mut points: Vec<Point> = Vec::new();
        for _ in 0..POINTS {
            let burst = max_held(arrivals, rate, 0.0);
            points.push(Point { rate, burst });
            if burst <= largest {
                break;
            }
            rate *= step;
        }
        Curve { points }
    }

    /// The burst that goes with a rate; none below the first point.
    pub fn burst(&self, rate: f64) -> Option<f64> {
        let i = self.points.partition_point(|p| p.rate <= rate);
        match (i, self.points.get(i)) {
            (0, _) => None,
            (i, None) => Some(self.points[i - 1].burst),
            (i, Some(to)) => {
                let from = self.points[i - 1];
                let part = (rate - from.rate) / (to.rate - from.rate);
                Some(from.burst + part * (to.burst - from.burst))
            }
        }
    }

    /// The lines that the curve lies on: slope and value at rate 0. It is convex, so it is above each of them.
    pub fn lines(&self) -> impl Iterator<Item = (f64, f64)> + '_ {
        self.points.windows(2).map(|w| {
            let slope = (w[1].burst - w[0].burst) / (w[1].rate - w[0].rate);
            (slope, w[0].burst - slope * w[0].rate)
        })
    }

    pub fn least(&self) -> Option<Point> {
        self.points.first().copied()
    }

    pub fn last(&self) -> Option<Point> {
        self.points.last().copied()
    }
}

/// The paper's virtual bucket: the most that is in it at any time, with so much in it at first.
pub fn max_held(arrivals: &[(f64, f64)], rate: f64, at_first: f64) -> f64 {
    let (mut level, mut most, mut last) = (at_first, 0.0f64, 0.0);
    for (t, units) in arrivals {
        level = (level - rate * (t - last)).max(0.0) + units;
        most = most.max(level);
        last = *t;
    }
    most
}
