//! Aggregates members by site, and tells whether all hosts of a site failed together or one by one. This is reported to
//! operators; no decision depends on it.

use super::{MemberState, View, ViewEvent};
use std::collections::BTreeMap;
use tackmast::interface::Instant;
use tackmast_wire::peer::Health;

/// Maximum protocol periods between the first and the last failure of a site's hosts that count as a failure together.
const TOGETHER_PERIODS: f64 = 12.0;
/// Protocol periods without any datagram after which a host reports no change of a site.
const SITE_SILENCE_PERIODS: f64 = 4.0;

/// Health of a site, by the health of its hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteHealth {
    /// At least one of its hosts is alive.
    Reachable,
    /// All of its hosts failed within a short time. Hosts that left gracefully do not count.
    FailedTogether {
        /// Number of hosts that failed.
        hosts: u32,
    },
    /// All of its hosts failed over a longer time. Hosts that left gracefully do not count.
    FailedOneByOne {
        /// Number of hosts that failed.
        hosts: u32,
    },
    /// All of its hosts left gracefully.
    Left,
}

/// Number of members of a site in each health.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteState {
    /// Number of the site, or `None` for hosts that announced none.
    pub site: Option<u32>,
    /// Number of hosts that are alive, this one included.
    pub alive: u32,
    /// Number of hosts that are suspected.
    pub suspect: u32,
    /// Number of hosts that are considered dead.
    pub dead: u32,
    /// Number of hosts that left gracefully.
    pub left: u32,
    /// Health of the site by these counts.
    pub health: SiteHealth,
}

impl View {
    /// Returns the state of each site, this host's own included.
    pub fn sites(&self) -> Vec<SiteState> {
        let mut by_site: BTreeMap<Option<u32>, Vec<&MemberState>> = BTreeMap::new();
        by_site.entry(self.me.site).or_default();
        for (_, state) in self.members.iter() {
            by_site.entry(state.site).or_default().push(state);
        }
        by_site.into_iter().map(|(site, states)| self.site_state(site, &states)).collect()
    }

    fn site_state(&self, site: Option<u32>, states: &[&MemberState]) -> SiteState {
        let count = |health: Health| states.iter().filter(|state| state.health == health).count() as u32;
        let (suspect, dead, left) = (count(Health::Suspect), count(Health::Dead), count(Health::Left));
        let alive = count(Health::Alive) + u32::from(site == self.me.site);
        let health = match (alive, suspect + dead) {
            (0, 0) => SiteHealth::Left,
            (0, hosts) if self.failed_together(states) => SiteHealth::FailedTogether { hosts },
            (0, hosts) => SiteHealth::FailedOneByOne { hosts },
            _ => SiteHealth::Reachable,
        };
        SiteState { site, alive, suspect, dead, left, health }
    }

    fn failed_together(&self, states: &[&MemberState]) -> bool {
        let failed = states.iter().filter(|state| state.health != Health::Left);
        let times: Vec<Instant> = failed.filter_map(|state| state.failed_at).collect();
        let ends = times.iter().min().zip(times.iter().max());
        ends.is_some_and(|(first, last)| *last - *first <= self.periods(TOGETHER_PERIODS))
    }

    /// Reports sites whose health has changed. A host that receives nothing reports none, because it may be cut off itself,
    /// and would report every site as down.
    pub(super) fn report_sites(&mut self, now: Instant) {
        if now - self.last_received > self.periods(SITE_SILENCE_PERIODS) {
            return;
        }
        for state in self.sites() {
            let Some(site) = state.site else { continue };
            let before = self.site_health.insert(site, state.health).unwrap_or(SiteHealth::Reachable);
            if std::mem::discriminant(&before) != std::mem::discriminant(&state.health) {
                self.events.push_back(ViewEvent::Site { site, health: state.health });
            }
        }
    }
}
