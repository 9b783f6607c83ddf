//! The figures of a membership fleet.

/// What a membership fleet has shown. A time is none if it took more than two minutes.
#[derive(Clone, Debug, Default)]
pub struct FleetFigures {
    /// Number of hosts.
    pub hosts: u32,
    /// Fraction of datagrams that is lost.
    pub loss: f64,
    /// Seconds from the start of all hosts until all views have all hosts.
    pub all_known_s: Option<f64>,
    /// Bytes a second that a host sends in a quiet minute.
    pub bytes_a_second: f64,
    /// Suspicions of live hosts in a quiet minute, for each hour and host.
    pub false_suspicions: f64,
    /// Live hosts that were declared dead in a quiet minute.
    pub false_deaths: u64,
    /// Seconds from the death of a third of the hosts until the first view has one of them dead.
    pub first_known_s: Option<f64>,
    /// Seconds from the death of a third of the hosts until all views have all of them dead.
    pub all_dead_s: Option<f64>,
    /// Seconds from the restart of these hosts until all views have all hosts.
    pub back_s: Option<f64>,
    /// Seconds until all views have all hosts, after a dead host has restarted with seeds of which none exists.
    pub stale_seeds_s: Option<f64>,
    /// Seconds from the end of a partition of 30 s until all views are the same.
    pub views_meet_s: Option<f64>,
    /// Seconds from the end of that partition until all hosts have the same overrides.
    pub orders_meet_s: Option<f64>,
    /// Seconds until all views have all hosts, after the links between two halves have flapped for 30 s.
    pub after_flaps_s: Option<f64>,
    /// Live hosts that were declared dead while the links flapped.
    pub flap_deaths: u64,
    /// Overrides that came back after they had been cleared or had ended: there may be none.
    pub returned: u64,
    /// Seconds until all hosts have adopted a change of plans of 500 bytes.
    pub plan_s: Option<f64>,
    /// Seconds until all hosts have adopted a change of plans of 100,000 bytes.
    pub large_plan_s: Option<f64>,
    /// Seconds from the end of a partition of 30 s until all hosts have adopted a change of 500 bytes made during it.
    pub plan_after_cut_s: Option<f64>,
}
