//! What a trial of a consensus fleet simulates, and what it has measured.

/// The fleet that one trial simulates.
#[derive(Clone, Copy, Debug)]
pub struct FleetTrial {
    /// Hosts in all, voters among them.
    pub hosts: u32,
    /// Hosts that vote: the first ones.
    pub voters: u32,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Fraction of messages that is lost.
    pub loss: f64,
}

/// What a trial has measured. Times are in seconds.
#[derive(Clone, Debug, Default)]
pub struct ConsensusFigures {
    /// From the start of all hosts until each has a lease.
    pub begins: f64,
    /// Bytes a second that a host sends at rest, on average.
    pub bytes: f64,
    /// Bytes a second that the leader sends at rest.
    pub leader_bytes: f64,
    /// From a change proposed at a random host until that host knows that it is committed: median and maximum.
    pub known: (f64, f64),
    /// The same until all hosts know: median and maximum.
    pub all_know: (f64, f64),
    /// Committed changes a second, with one proposal open at each of up to 16 hosts.
    pub commits: f64,
    /// From the death of the leader until a change is committed again.
    pub leaderless: f64,
    /// With a third of the hosts partitioned off while changes go on: the longest time for which one of them had a valid
    /// lease and an older state.
    pub longest: f64,
    /// What did not happen as it must, in words.
    pub broken: Vec<String>,
}
