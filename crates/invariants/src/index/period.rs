//! Periods of time, such as the outages of hosts.

use std::collections::HashMap;

/// From one moment until before another, in microseconds of Unix time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Period {
    pub(crate) from_us: u64,
    /// `u64::MAX` while the period lasts.
    pub(crate) until_us: u64,
}

impl Period {
    /// A period whose end is not known yet.
    pub(crate) fn starting_at(from_us: u64) -> Self {
        Period { from_us, until_us: u64::MAX }
    }

    /// Whether the moment is within the period.
    pub(crate) fn contains(&self, time_us: u64) -> bool {
        self.from_us <= time_us && time_us < self.until_us
    }

    /// Whether the period lasts beyond the end of what was seen so far.
    pub(crate) fn is_open(&self) -> bool {
        self.until_us == u64::MAX
    }
}

/// Periods of each host, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct HostPeriods(HashMap<u32, Vec<Period>>);

impl HostPeriods {
    pub(crate) fn start(&mut self, host: u32, time_us: u64) {
        self.0.entry(host).or_default().push(Period::starting_at(time_us));
    }

    /// Ends the host's last period, if it lasts.
    pub(crate) fn end(&mut self, host: u32, time_us: u64) {
        let last = self.0.get_mut(&host).and_then(|periods| periods.last_mut());
        if let Some(period) = last.filter(|period| period.is_open()) {
            period.until_us = time_us;
        }
    }

    pub(crate) fn of_host(&self, host: u32) -> &[Period] {
        self.0.get(&host).map_or(&[], Vec::as_slice)
    }

    /// Whether a period of the host lasts now.
    pub(crate) fn is_open(&self, host: u32) -> bool {
        self.of_host(host).last().is_some_and(Period::is_open)
    }

    /// The end of the host's period that contains the moment, else the moment itself.
    pub(crate) fn end_after(&self, host: u32, time_us: u64) -> u64 {
        let period = self.of_host(host).iter().find(|period| period.contains(time_us));
        period.map_or(time_us, |period| period.until_us)
    }
}
