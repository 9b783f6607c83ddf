//! The state of one member in the view, and the events and counters of the view.

use super::flapping::FlapScore;
use super::SiteHealth;
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::{Health, MemberUpdate};

/// State of one member in a view.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberState {
    /// Latest generation that is known.
    pub generation: u64,
    /// Latest known incarnation of that generation.
    pub incarnation: u32,
    /// Health at that incarnation.
    pub health: Health,
    /// Address at which the member is reached.
    pub address: SocketAddr,
    /// Site that the member announced, or `None` if it announced none.
    pub site: Option<u32>,
    /// When this host accepted this state. For a suspected member it is the beginning of the suspicion, which moves to
    /// a later time when this host was isolated or paused.
    pub since: Instant,
    /// Members that suspect this one, up to the number that shortens the suspicion.
    pub(super) suspected_by: Vec<u32>,
    /// When a datagram of this generation was last received.
    pub(super) last_received: Option<Instant>,
    /// When the member stopped being alive, or `None` while it is alive.
    pub(super) failed_at: Option<Instant>,
    /// Decaying count of recent restarts and returns.
    pub(super) flap_score: FlapScore,
    /// When the member was last notified that it is suspected or considered dead.
    pub(super) last_notified: Option<Instant>,
    /// Whether the member was declared dead while this host received no datagram from any peer.
    pub(super) declared_in_isolation: bool,
}

impl MemberState {
    /// Returns the key by which states are compared: a later generation takes precedence, then a later incarnation, then
    /// worse health.
    pub(super) fn precedence(&self) -> (u64, u32, Health) {
        (self.generation, self.incarnation, self.health)
    }

    /// Returns whether the member is alive or suspected.
    pub(super) fn is_live(&self) -> bool {
        matches!(self.health, Health::Alive | Health::Suspect)
    }

    /// Returns whether a datagram of the member was received within the last `time`.
    pub(super) fn was_received_within(&self, now: Instant, time: TimeDelta) -> bool {
        self.last_received.is_some_and(|received| now - received <= time)
    }

    /// Returns the state as an update to gossip.
    pub(super) fn to_update(&self, slot: u32) -> MemberUpdate {
        let is_suspect = self.health == Health::Suspect;
        MemberUpdate {
            slot,
            generation: self.generation,
            incarnation: self.incarnation,
            health: self.health,
            address: self.address,
            site: self.site,
            suspected_by: self.suspected_by.last().copied().filter(|_| is_suspect),
        }
    }
}

/// A known peer and its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownPeer {
    /// Slot of the peer.
    pub slot: u32,
    /// Latest known generation of the peer.
    pub generation: u64,
    /// Last known address of the peer.
    pub address: SocketAddr,
}

/// Record of a member's death.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Death {
    /// Slot of the member.
    pub slot: u32,
    /// Generation that died.
    pub generation: u64,
    /// Incarnation of the member at its death.
    pub incarnation: u32,
    /// When this host recorded the death.
    pub at: Instant,
    /// Whether this host declared the death itself, rather than learned of it from a peer.
    pub declared_here: bool,
}

/// Counters of a view since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViewCounters {
    /// Suspicions that this host began.
    pub suspected: u64,
    /// Suspicions that their members refuted.
    pub refuted: u64,
    /// Deaths that this host declared or learned of.
    pub dead: u64,
    /// Deaths that this host declared.
    pub declared_dead: u64,
    /// Updates about this host itself that it refuted, such as a suspicion.
    pub accused: u64,
    /// Updates that were dropped because no member can have their slot, generation or incarnation.
    pub out_of_range: u64,
    /// Pauses of this host for a protocol period or longer.
    pub pauses: u64,
    /// Changes of flapping members that were not reported.
    pub damped: u64,
    /// Times that this host took its slot back from a later generation that does not run.
    pub taken_over: u64,
}

/// A change of the view that is reported.
#[derive(Clone, Debug, PartialEq)]
pub enum ViewEvent {
    /// The health of a member changed, or the member restarted.
    Health {
        /// Slot of the member.
        slot: u32,
        /// Health that the member has now.
        health: Health,
    },
    /// A member flaps. Its further changes are not reported.
    Flapping {
        /// Slot of the member.
        slot: u32,
    },
    /// The health of a site changed.
    Site {
        /// Number of the site.
        site: u32,
        /// Health that the site has now.
        health: SiteHealth,
    },
    /// This host was paused for a protocol period or longer.
    Paused {
        /// Length of the pause.
        duration: TimeDelta,
    },
    /// This host's local health became bad, or good again.
    LocalHealth {
        /// Local health score; 0 is good.
        score: u32,
    },
    /// This host learned of a later generation of its slot.
    Displaced {
        /// Later generation that is known.
        generation: u64,
    },
    /// The later generation does not run, so this host took its slot back.
    TookOver {
        /// Generation that this host has now.
        generation: u64,
    },
}

/// Where the later generation was known from which this host took its slot back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeOver {
    /// At this host's own address. The other process has ended, as no two processes can listen there.
    SameAddress,
    /// At another address. The other process may only be paused.
    OtherAddress,
}
