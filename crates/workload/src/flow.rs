//! One kind of request.

use serde::Deserialize;

/// One kind of request: its volume, its rate and its sizes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flow {
    /// Its name: the label of its block.
    #[serde(skip)]
    pub name: String,
    /// Name of the volume.
    pub volume: String,
    /// Requests a second over all hosts, outside surges.
    pub rate: f64,
    /// Fraction of requests that write.
    #[serde(default)]
    pub writes: f64,
    /// Blocks of a request.
    pub blocks: BlockRange,
    /// Requests that are larger than that.
    #[serde(default)]
    pub large: Option<LargeRequests>,
    /// Blocks of the volume that are requested, from its start.
    pub span: u64,
    /// Times of a higher or lower rate.
    #[serde(default)]
    pub surges: Vec<Surge>,
    /// A host that gets more requests than the others.
    #[serde(default)]
    pub busiest: Option<BusiestHost>,
}

/// How many blocks a request has, each number with equal probability: `[1, 8]` in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "(u32, u32)")]
pub struct BlockRange {
    /// The least number.
    pub min: u32,
    /// The greatest number.
    pub max: u32,
}

/// A few requests that are larger than the others: `[10, 64]` in a file.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(from = "(f64, u32)")]
pub struct LargeRequests {
    /// How many of a thousand requests.
    pub per_thousand: f64,
    /// Blocks of such a request.
    pub blocks: u32,
}

/// A time of another rate: `[5, 5, 3]` in a file.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(from = "(f64, f64, f64)")]
pub struct Surge {
    /// Seconds from the start.
    pub start_s: f64,
    /// Seconds that it lasts.
    pub duration_s: f64,
    /// How many times the rate.
    pub factor: f64,
}

/// A host that gets a share of all requests beside its even share of the others: `[0.5, 2]` in a file.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(from = "(f64, f64)")]
pub struct BusiestHost {
    /// Fraction of all requests.
    pub share: f64,
    /// Seconds after which the next host is the busiest.
    pub period_s: f64,
}

impl From<(u32, u32)> for BlockRange {
    fn from((min, max): (u32, u32)) -> Self {
        BlockRange { min, max }
    }
}

impl From<(f64, u32)> for LargeRequests {
    fn from((per_thousand, blocks): (f64, u32)) -> Self {
        LargeRequests { per_thousand, blocks }
    }
}

impl From<(f64, f64, f64)> for Surge {
    fn from((start_s, duration_s, factor): (f64, f64, f64)) -> Self {
        Surge { start_s, duration_s, factor }
    }
}

impl From<(f64, f64)> for BusiestHost {
    fn from((share, period_s): (f64, f64)) -> Self {
        BusiestHost { share, period_s }
    }
}

impl Flow {
    /// How many times the rate counts at a moment; surges at the same time multiply.
    pub(crate) fn rate_factor(&self, at_s: f64) -> f64 {
        let surges = self.surges.iter();
        let active = surges.filter(|surge| at_s >= surge.start_s && at_s < surge.start_s + surge.duration_s);
        active.map(|surge| surge.factor).product()
    }

    /// A rate that is never exceeded, for thinning (Lewis and Shedler, 1979).
    pub(crate) fn max_rate(&self) -> f64 {
        self.rate * self.surges.iter().map(|surge| surge.factor.max(1.0)).product::<f64>()
    }
}
