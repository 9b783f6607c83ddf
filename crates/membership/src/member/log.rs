//! Log lines of a member. docs/membership.md and docs/on-call.md quote them.

use super::Member;
use crate::view::{SiteHealth, ViewEvent};

impl Member {
    /// The log line of a change of the view.
    pub(super) fn describe(&self, event: ViewEvent) -> String {
        let live = self.live_count();
        match event {
            ViewEvent::Health { slot, health } => format!("host {slot} {health}: {live} hosts alive"),
            ViewEvent::Flapping { slot } => {
                format!(
                    "host {slot} flaps: it is not asked for indirect probes until it stays; {live} hosts alive"
                )
            }
            ViewEvent::Site { site, health } => describe_site(site, health),
            ViewEvent::Paused { duration } => {
                let seconds = duration.secs();
                format!("this host was paused for {seconds:.2} s: it suspects nobody for what it missed")
            }
            ViewEvent::LocalHealth { score: 0 } => {
                "local health is good again: probes are answered in time".into()
            }
            ViewEvent::LocalHealth { score } => {
                format!("local health score {score}: probes are answered late or not at all, others are given time")
            }
            ViewEvent::Displaced { generation } => {
                format!(
                    "a later generation of this host's number is known ({generation:x}): this one uses no shared quota"
                )
            }
            ViewEvent::TookOver { generation } => self.describe_take_over(generation),
        }
    }

    fn describe_take_over(&self, generation: u64) -> String {
        let consequence = match self.yields_quota {
            true => "it uses no shared quota until it is restarted",
            false => "it takes part again",
        };
        format!(
            "the later generation of this host's number does not run; this one goes on as generation {generation:x}: {consequence}"
        )
    }
}

fn describe_site(site: u32, health: SiteHealth) -> String {
    match health {
        SiteHealth::FailedTogether { hosts } => {
            format!("site {site} is down: its {hosts} hosts failed together")
        }
        SiteHealth::FailedOneByOne { hosts } => {
            format!("site {site} is down: its {hosts} hosts failed one by one")
        }
        SiteHealth::Left => format!("site {site} is empty: its hosts left"),
        SiteHealth::Reachable => format!("site {site} is reachable again"),
    }
}

/// The log line of a peer with another update under the same number.
pub(super) fn catalog_fork(slot: u32, number: u64) -> String {
    format!("host {slot} has applied other plans: another change {number} than here")
}
