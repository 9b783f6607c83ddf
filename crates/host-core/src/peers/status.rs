//! Collects a host's view of its peers for operators.

use super::Peers;
use crate::members_status::{DeathStatus, MembersStatus, PeerStatus, SiteStatus};
use tackmast::interface::Instant;
use tackmast_membership::{LeaseStatus, MemberState, SiteHealth};

impl Peers {
    /// Returns this host's view of its peers, its quota leases and its counters.
    pub fn status(&self, now: Instant) -> MembersStatus {
        let (datagrams, view) = (&self.member.counters, &self.member.view);
        let (me, counters) = (view.me(), view.counters);
        let dropped = datagrams.rejected
            + datagrams.other_fleets
            + datagrams.malformed
            + datagrams.wrong_address
            + datagrams.dropped;
        MembersStatus {
            host: Some(me.slot),
            alive_hosts: self.member.live_count(),
            peers: self.peer_statuses(now),
            quota_leases: self.member.leases.status(now).into_iter().map(lease_row).collect(),
            displaced: view.is_displaced(),
            sent: datagrams.sent,
            sent_bytes: datagrams.sent_bytes,
            received: datagrams.received,
            dropped,
            generation: me.generation,
            incarnation: me.incarnation,
            site: me.site,
            address: me.address.to_string(),
            digest: view.digest(),
            unchanged_s: view.unchanged_for(now).secs(),
            local_health: view.local_health_score(),
            sites: self.site_statuses(),
            deaths: self.death_statuses(now),
            suspected: counters.suspected,
            refuted: counters.refuted,
            found_dead: counters.declared_dead,
            accused: counters.accused,
            pauses: counters.pauses,
            out_of_range: counters.out_of_range,
            damped: counters.damped,
            taken_over: counters.taken_over,
        }
    }

    fn peer_statuses(&self, now: Instant) -> Vec<PeerStatus> {
        let view = &self.member.view;
        let status = |(host, state): (u32, MemberState)| PeerStatus {
            host,
            health: state.health.to_string(),
            address: state.address.to_string(),
            generation: state.generation,
            since_s: (now - state.since).secs(),
            incarnation: state.incarnation,
            site: state.site,
            flaps: view.is_flapping(now, host),
        };
        self.member.snapshot().into_iter().map(status).collect()
    }

    fn site_statuses(&self) -> Vec<SiteStatus> {
        let sites = self.member.view.sites().into_iter().map(|site| SiteStatus {
            site: site.site,
            alive: site.alive,
            suspect: site.suspect,
            dead: site.dead,
            left: site.left,
            state: match site.health {
                SiteHealth::Reachable => "there",
                SiteHealth::FailedTogether { .. } => "unheard as a whole",
                SiteHealth::FailedOneByOne { .. } => "emptied one by one",
                SiteHealth::Left => "left",
            }
            .into(),
        });
        sites.collect()
    }

    fn death_statuses(&self, now: Instant) -> Vec<DeathStatus> {
        let deaths = self.member.view.deaths().map(|death| DeathStatus {
            host: death.slot,
            generation: death.generation,
            incarnation: death.incarnation,
            ago_s: (now - death.at).secs(),
            declared_here: death.declared_here,
        });
        deaths.collect()
    }
}

/// Converts a lease to its row in `MembersStatus::quota_leases`.
fn lease_row(lease: LeaseStatus) -> (u32, f64, f64, f64, f64) {
    (lease.volume, lease.owned, lease.lent, lease.borrowed, lease.needed)
}
