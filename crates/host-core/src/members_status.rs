//! A host's view of its peers, for operators. It is JSON on the admin socket; a `rename` attribute keeps the name that scripts of
//! operators know.

use serde::{Deserialize, Serialize};

/// The state of a peer in this host's view.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The peer's number.
    pub host: u32,
    /// `alive`, `suspect`, `dead` or `left`.
    pub health: String,
    /// The address at which the peer receives datagrams.
    pub address: String,
    /// The generation of the peer's process; later starts have larger ones.
    #[serde(rename = "life")]
    pub generation: u64,
    /// Seconds since the peer's health last changed.
    pub since_s: f64,
    /// The peer's incarnation, by which it refutes suspicions.
    #[serde(default)]
    pub incarnation: u32,
    /// The peer's site; `None` if the peer reports none.
    #[serde(default)]
    pub site: Option<u32>,
    /// Whether the peer's health flaps. No quota is borrowed from a flapping peer until it stays alive.
    #[serde(default)]
    pub flaps: bool,
}

/// The state of a site in a host's view.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteStatus {
    /// The site's number; `None` stands for the hosts without a site.
    pub site: Option<u32>,
    /// The number of hosts that are alive.
    pub alive: u32,
    /// The number of hosts that are suspected.
    pub suspect: u32,
    /// The number of hosts that are dead.
    pub dead: u32,
    /// The number of hosts that left.
    pub left: u32,
    /// `there` if the site is reachable, `unheard as a whole` if its hosts failed together, `emptied one by one` if they failed at
    /// different times, or `left`.
    #[serde(rename = "word")]
    pub state: String,
}

/// A host that was declared dead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DeathStatus {
    /// The host's number.
    pub host: u32,
    /// The generation that was declared dead.
    #[serde(rename = "life")]
    pub generation: u64,
    /// The incarnation that was declared dead.
    pub incarnation: u32,
    /// Seconds since the declaration.
    pub ago_s: f64,
    /// Whether this host made the declaration; otherwise it came from a peer.
    #[serde(rename = "own")]
    pub declared_here: bool,
}

/// A host's view of its peers, its quota leases and the counters of its membership.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MembersStatus {
    /// The host's number; `None` if its settings have no membership.
    pub host: Option<u32>,
    /// The number of hosts that are believed to be alive, this one included.
    #[serde(rename = "there")]
    pub alive_hosts: u32,
    /// The peers that this host knows.
    pub peers: Vec<PeerStatus>,
    /// One row per volume with a shared limit: its LUN, then the owned, lent, borrowed and needed shares of the limit.
    #[serde(rename = "loans")]
    pub quota_leases: Vec<(u32, f64, f64, f64, f64)>,
    /// Whether a later generation of this host's number is known. This host then uses no shared quota.
    pub displaced: bool,
    /// Datagrams sent since the start.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams received and accepted since the start.
    #[serde(rename = "taken")]
    pub received: u64,
    /// Datagrams dropped since the start, for any reason.
    pub dropped: u64,
    /// This host's generation.
    #[serde(default)]
    #[serde(rename = "life")]
    pub generation: u64,
    /// This host's incarnation.
    #[serde(default)]
    pub incarnation: u32,
    /// This host's site; `None` if its settings name none.
    #[serde(default)]
    pub site: Option<u32>,
    /// The address at which peers reach this host.
    #[serde(default)]
    pub address: String,
    /// A digest of the view, which is equal for equal views.
    #[serde(default)]
    pub digest: u32,
    /// Seconds for which this view has not changed and no peer has reported a different digest.
    #[serde(default)]
    #[serde(rename = "still_s")]
    pub unchanged_s: f64,
    /// The local health score of Lifeguard. Each step prolongs the timeouts of this host's probes; 0 means good local health.
    #[serde(default)]
    #[serde(rename = "strain")]
    pub local_health: u32,
    /// The sites of the fleet.
    #[serde(default)]
    pub sites: Vec<SiteStatus>,
    /// The hosts that were most recently declared dead.
    #[serde(default)]
    pub deaths: Vec<DeathStatus>,
    /// Suspicions that this host started.
    #[serde(default)]
    pub suspected: u64,
    /// Suspicions that the suspected hosts refuted.
    #[serde(default)]
    pub refuted: u64,
    /// Hosts that this host declared dead.
    #[serde(default)]
    pub found_dead: u64,
    /// Suspicions of this host, each of which it refuted.
    #[serde(default)]
    pub accused: u64,
    /// Pauses of this host's process for more than a protocol period.
    #[serde(default)]
    pub pauses: u64,
    /// Updates ignored because no host can have their number, generation or incarnation.
    #[serde(default)]
    #[serde(rename = "beyond")]
    pub out_of_range: u64,
    /// Changes of health of flapping hosts, which are not logged one by one.
    #[serde(default)]
    pub damped: u64,
    /// Times that this host took its number back from a later generation that does not run.
    #[serde(default)]
    pub taken_over: u64,
}
