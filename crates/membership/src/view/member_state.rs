//! The state of one member in the view, and what the view reports.

use super::flapping::FlapScore;
use super::SiteHealth;
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::{Health, MemberUpdate};

/// State of one member in a view.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberState {
    /// The latest generation that is known.
    pub generation: u64,
    /// Its latest incarnation.
    pub incarnation: u32,
    /// Its health at that incarnation.
    pub health: Health,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The site that it announced.
    pub site: Option<u32>,
    /// Since when it has had this health.
    pub since: Instant,
    /// Members that suspect it, as far as their number matters.
    pub(super) suspected_by: Vec<u32>,
    /// When a datagram of this generation was received last.
    pub(super) last_received: Option<Instant>,
    /// When it stopped being alive, while it is not.
    pub(super) failed_at: Option<Instant>,
    /// How often it restarted or returned lately.
    pub(super) flap_score: FlapScore,
    /// When it was last notified that it is suspected or held dead.
    pub(super) last_notified: Option<Instant>,
    /// It was declared dead while this host received no datagram from any peer.
    pub(super) declared_in_isolation: bool,
}

impl MemberState {
    /// Which of two states supersedes the other: a later generation, then a later incarnation, then worse health.
    pub(super) fn precedence(&self) -> (u64, u32, Health) {
        (self.generation, self.incarnation, self.health)
    }

    /// Whether it counts as a running member.
    pub(super) fn is_live(&self) -> bool {
        matches!(self.health, Health::Alive | Health::Suspect)
    }

    /// Whether a datagram of it was received within that time.
    pub(super) fn was_received_within(&self, now: Instant, time: TimeDelta) -> bool {
        self.last_received.is_some_and(|received| now - received <= time)
    }

    /// The state as it is gossiped.
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

/// A peer that is known, by its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownPeer {
    /// Its slot.
    pub slot: u32,
    /// Its latest generation.
    pub generation: u64,
    /// Where it was reached.
    pub address: SocketAddr,
}

/// A death of a member, as this host recorded it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Death {
    /// The member's slot.
    pub slot: u32,
    /// Its generation.
    pub generation: u64,
    /// Its incarnation.
    pub incarnation: u32,
    /// When it was recorded.
    pub at: Instant,
    /// This host declared it; else it was learned.
    pub declared_here: bool,
}

/// Counters of a view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViewCounters {
    /// Suspicions that this host began.
    pub suspected: u64,
    /// Suspicions that their members refuted.
    pub refuted: u64,
    /// Deaths, declared here or learned.
    pub dead: u64,
    /// Deaths that this host declared.
    pub declared_dead: u64,
    /// Times that this host was suspected itself, and refuted it.
    pub accused: u64,
    /// Updates on slots, generations and incarnations that no member has.
    pub out_of_range: u64,
    /// Times that this host was paused for more than a protocol period.
    pub pauses: u64,
    /// Changes of flapping members that were not reported one by one.
    pub damped: u64,
    /// Times that a later generation of this host's slot turned out not to run.
    pub taken_over: u64,
}

/// A change of the view, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum ViewEvent {
    /// A member has another health.
    Health {
        /// The member.
        slot: u32,
        /// Its health.
        health: Health,
    },
    /// A member flaps; its further changes are not reported.
    Flapping {
        /// The member.
        slot: u32,
    },
    /// A site has another health.
    Site {
        /// The site.
        site: u32,
        /// Its health.
        health: SiteHealth,
    },
    /// This host was paused.
    Paused {
        /// For how long.
        duration: TimeDelta,
    },
    /// This host's local health is bad, or good again.
    LocalHealth {
        /// The score; 0 is good.
        score: u32,
    },
    /// A later generation of this host's slot is known.
    Displaced {
        /// The later generation.
        generation: u64,
    },
    /// The later generation does not run; this host took its slot back.
    TookOver {
        /// The generation that this host has now.
        generation: u64,
    },
}

/// This host took its slot back from a later generation that does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeOver {
    /// The other process was known at this host's own address, where no other process can listen: it has ended.
    SameAddress,
    /// The other process was known at another address: it may only be paused.
    OtherAddress,
}
