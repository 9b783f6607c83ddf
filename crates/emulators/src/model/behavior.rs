//! What a modelled node is like, and its faults.

/// What a node is like. Figures are of a model, not of real machines.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeBehavior {
    /// Requests that are served at the same time.
    pub cores: u32,
    /// Seconds of one core's work in a unit, at speed 1.
    pub unit_s: f64,
    /// Speed of a core; 1: as `unit_s` says.
    pub speed: f64,
    /// Requests that may wait; further ones are answered at once as never run.
    pub queue: usize,
    /// Fraction of its capacity that the node starts with.
    pub initial_capacity: f64,
    /// Seconds until a node that has started reaches its full capacity.
    pub warm_up_s: f64,
    /// A warming node collapses when it receives more than this multiple of its present capacity over the window.
    pub overload_multiple: f64,
    /// Seconds of that window.
    pub overload_window_s: f64,
    /// Fraction of a write's work that is left to the next flush.
    pub write_back_fraction: f64,
    /// Seconds between flushes.
    pub flush_interval_s: f64,
    /// Seconds of a regular pause in which the node does nothing; 0: there is none.
    pub pause_s: f64,
    /// Seconds between regular pauses, in the mean.
    pub pause_interval_s: f64,
    /// Fraction of the work that is saved for a request whose key is cached.
    pub cache_savings: f64,
    /// Keys that are cached: those of the last requests.
    pub cached_keys: usize,
    /// Whether waiting work is dropped when it is cancelled or after its deadline.
    pub drops_cancelled: bool,
}

impl Default for NodeBehavior {
    fn default() -> Self {
        NodeBehavior {
            cores: 2,
            unit_s: 0.001,
            speed: 1.0,
            queue: 256,
            initial_capacity: 0.2,
            warm_up_s: 5.0,
            overload_multiple: 2.0,
            overload_window_s: 3.0,
            write_back_fraction: 0.0,
            flush_interval_s: 2.0,
            pause_s: 0.0,
            pause_interval_s: 5.0,
            cache_savings: 0.0,
            cached_keys: 0,
            drops_cancelled: true,
        }
    }
}

impl NodeBehavior {
    /// Units a second at full capacity without faults.
    pub fn capacity(&self) -> f64 {
        f64::from(self.cores) * self.speed / self.unit_s
    }
}

/// What is wrong with a node now. Several faults add up.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeFaults {
    /// How many times slower it is.
    pub slowdown: f64,
    /// Fraction of the machine that another program takes.
    pub neighbour_share: f64,
    /// Fraction of requests that fail at once.
    pub error_rate: f64,
    /// Fraction of requests that cost more work.
    pub heavy_fraction: f64,
    /// How many times the work these cost.
    pub heavy_multiple: f64,
}

impl Default for NodeFaults {
    fn default() -> Self {
        NodeFaults {
            slowdown: 1.0,
            neighbour_share: 0.0,
            error_rate: 0.0,
            heavy_fraction: 0.0,
            heavy_multiple: 1.0,
        }
    }
}
