//! What a host knows of the others, as operators see it.

use crate::peers::Peers;
use serde::{Deserialize, Serialize};
use tackmast::interface::Instant;
use tackmast_membership::{LeaseStatus, MemberState, SiteHealth};

/// A peer as this host sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The host.
    pub host: u32,
    /// Alive, suspect, dead or left.
    pub health: String,
    /// Where it is reached.
    pub address: String,
    /// Its generation.
    #[serde(rename = "life")]
    pub generation: u64,
    /// Seconds since its health changed.
    pub since_s: f64,
    /// Its incarnation.
    #[serde(default)]
    pub incarnation: u32,
    /// Its site, where one is known.
    #[serde(default)]
    pub site: Option<u32>,
    /// It flaps: no limit is borrowed from it until it stays alive.
    #[serde(default)]
    pub flaps: bool,
}

/// What a host thinks of a site.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteStatus {
    /// None: hosts without a site.
    pub site: Option<u32>,
    /// Hosts that are alive.
    pub alive: u32,
    /// Hosts that are suspected.
    pub suspect: u32,
    /// Hosts that are dead.
    pub dead: u32,
    /// Hosts that left.
    pub left: u32,
    /// `there`, `unheard as a whole`, `emptied one by one` or `left`.
    #[serde(rename = "word")]
    pub state: String,
}

/// A host that was held dead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DeathStatus {
    /// The host.
    pub host: u32,
    /// Its generation.
    #[serde(rename = "life")]
    pub generation: u64,
    /// Its incarnation.
    pub incarnation: u32,
    /// Seconds since.
    pub ago_s: f64,
    /// This host found it itself; else it was heard.
    pub own: bool,
}

/// What a host knows of others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MembersStatus {
    /// None: it has no membership in its settings.
    pub host: Option<u32>,
    /// Hosts that are thought to be alive, this one included.
    #[serde(rename = "there")]
    pub alive_hosts: u32,
    /// The others.
    pub peers: Vec<PeerStatus>,
    /// By LUN: own part, lent, borrowed and needed, as shares of the limit.
    #[serde(rename = "loans")]
    pub quota_leases: Vec<(u32, f64, f64, f64, f64)>,
    /// Another generation of this host's number runs.
    pub displaced: bool,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of them.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub taken: u64,
    /// Datagrams dropped, for whatever reason.
    pub dropped: u64,
    /// This host's generation.
    #[serde(default)]
    #[serde(rename = "life")]
    pub generation: u64,
    /// This host's incarnation.
    #[serde(default)]
    pub incarnation: u32,
    /// This host's site.
    #[serde(default)]
    pub site: Option<u32>,
    /// Where others reach this host.
    #[serde(default)]
    pub address: String,
    /// Of all that it knows: equal where views are equal.
    #[serde(default)]
    pub digest: u32,
    /// For how long nothing has changed here, and nobody was heard of who knew otherwise.
    #[serde(default)]
    pub still_s: f64,
    /// Steps by which it waits longer for answers, since they come late here.
    #[serde(default)]
    #[serde(rename = "strain")]
    pub local_health: u32,
    /// The sites, one by one.
    #[serde(default)]
    pub sites: Vec<SiteStatus>,
    /// Hosts that were declared dead of late.
    #[serde(default)]
    pub deaths: Vec<DeathStatus>,
    /// Suspicions begun and taken back, deaths found here, accusations of this host that it answered, and times it stood
    /// still; news of hosts beyond the told number; changes of hosts that flap; times it took its number back.
    #[serde(default)]
    pub suspected: u64,
    /// Suspicions that their hosts refuted.
    #[serde(default)]
    pub refuted: u64,
    /// Hosts that this one declared dead.
    #[serde(default)]
    pub found_dead: u64,
    /// Suspicions of this host that it refuted.
    #[serde(default)]
    pub accused: u64,
    /// Times that this host stood still.
    #[serde(default)]
    pub pauses: u64,
    /// Updates about hosts beyond the configured number.
    #[serde(default)]
    pub beyond: u64,
    /// Changes of hosts that flap.
    #[serde(default)]
    pub damped: u64,
    /// Times that this host took its number back from another generation.
    #[serde(default)]
    pub taken_over: u64,
}

impl Peers {
    /// What this host knows of the others.
    pub fn status(&self, now: Instant) -> MembersStatus {
        let (c, view) = (&self.member.counters, &self.member.view);
        let (me, v) = (view.me(), view.counters);
        MembersStatus {
            host: Some(me.slot),
            alive_hosts: self.member.live_count(),
            peers: self.peer_statuses(now),
            quota_leases: self.member.leases.status(now).into_iter().map(lease_row).collect(),
            displaced: view.is_displaced(),
            sent: c.sent,
            sent_bytes: c.sent_bytes,
            taken: c.received,
            dropped: c.rejected + c.other_fleets + c.malformed + c.wrong_address + c.dropped,
            generation: me.generation,
            incarnation: me.incarnation,
            site: me.site,
            address: me.address.to_string(),
            digest: view.digest(),
            still_s: view.unchanged_for(now).secs(),
            local_health: view.local_health_score(),
            sites: self.site_statuses(),
            deaths: self.death_statuses(now),
            suspected: v.suspected,
            refuted: v.refuted,
            found_dead: v.declared_dead,
            accused: v.accused,
            pauses: v.pauses,
            beyond: v.out_of_range,
            damped: v.damped,
            taken_over: v.taken_over,
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
            own: death.declared_here,
        });
        deaths.collect()
    }
}

fn lease_row(s: LeaseStatus) -> (u32, f64, f64, f64, f64) {
    (s.volume, s.owned, s.lent, s.borrowed, s.needed)
}
