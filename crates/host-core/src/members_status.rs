//! What a host knows of the others, as operators see it.

use serde::{Deserialize, Serialize};

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
    /// Whether it flaps: no limit is borrowed from it until it stays alive.
    #[serde(default)]
    pub flaps: bool,
}

/// A site as a host sees it.
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

/// A host that was declared dead.
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
    /// Whether this host declared it; else a peer did.
    #[serde(rename = "own")]
    pub declared_here: bool,
}

/// What a host knows of others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MembersStatus {
    /// None: it has no membership in its settings.
    pub host: Option<u32>,
    /// Hosts that are believed to be alive, this one included.
    #[serde(rename = "there")]
    pub alive_hosts: u32,
    /// The others.
    pub peers: Vec<PeerStatus>,
    /// By LUN: own, lent, borrowed and needed shares of the limit.
    #[serde(rename = "loans")]
    pub quota_leases: Vec<(u32, f64, f64, f64, f64)>,
    /// Whether another generation of this host's number runs.
    pub displaced: bool,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of them.
    pub sent_bytes: u64,
    /// Datagrams received.
    #[serde(rename = "taken")]
    pub received: u64,
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
    /// A digest of the view: equal where views are equal.
    #[serde(default)]
    pub digest: u32,
    /// Seconds for which this view has not changed, and no peer sent a different one.
    #[serde(default)]
    #[serde(rename = "still_s")]
    pub unchanged_s: f64,
    /// The local health score: steps by which this host waits longer for answers to its probes, since they come late here.
    #[serde(default)]
    #[serde(rename = "strain")]
    pub local_health: u32,
    /// The sites, one by one.
    #[serde(default)]
    pub sites: Vec<SiteStatus>,
    /// Hosts that were declared dead of late.
    #[serde(default)]
    pub deaths: Vec<DeathStatus>,
    /// Suspicions that began here.
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
    /// Times that this host was paused.
    #[serde(default)]
    pub pauses: u64,
    /// Updates about hosts beyond the configured number.
    #[serde(default)]
    #[serde(rename = "beyond")]
    pub out_of_range: u64,
    /// Changes of hosts that flap.
    #[serde(default)]
    pub damped: u64,
    /// Times that this host took its number back from another generation.
    #[serde(default)]
    pub taken_over: u64,
}
