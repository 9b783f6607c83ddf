//! What a member reports to operators: a fixed message and named fields. docs/on-call.md has a row for each message.

use std::fmt::{Display, Formatter, Result};
use tackmast::interface::TimeDelta;
use tackmast_wire::peer::Health;

/// A change among the hosts of the fleet that an operator may want to know.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A peer has another health.
    HealthChanged {
        /// Slot of the peer.
        peer: u32,
        /// Its health.
        health: Health,
        /// Hosts that are alive or suspected, this one included.
        alive_hosts: u32,
    },
    /// A peer flaps: its further changes are not reported one by one.
    Flapping {
        /// Slot of the peer.
        peer: u32,
        /// Hosts that are alive or suspected, this one included.
        alive_hosts: u32,
    },
    /// All hosts of a site failed within a short time.
    SiteFailedTogether {
        /// The site.
        site: u32,
        /// How many hosts failed.
        hosts: u32,
    },
    /// All hosts of a site failed, one after the other.
    SiteFailedOneByOne {
        /// The site.
        site: u32,
        /// How many hosts failed.
        hosts: u32,
    },
    /// All hosts of a site left gracefully.
    SiteLeft {
        /// The site.
        site: u32,
    },
    /// Some host of a site is alive again.
    SiteReachable {
        /// The site.
        site: u32,
    },
    /// This host's process was stopped, or its machine did not run it.
    Paused {
        /// For how long.
        duration: TimeDelta,
    },
    /// This host's probes go unanswered for no fault of the hosts that it probes.
    LocalHealthBad {
        /// The local health score.
        score: u32,
    },
    /// This host's probes are answered in time again.
    LocalHealthGood,
    /// A later generation of this host's slot is known.
    Displaced {
        /// The later generation.
        generation: u64,
    },
    /// The later generation of this host's slot does not run; this host has taken its slot back.
    TookOver {
        /// The generation that this host has now.
        generation: u64,
        /// Whether it uses the shared quota again; else not before it is restarted.
        uses_shared_quota: bool,
    },
    /// A peer has applied another catalog update under the same number.
    CatalogFork {
        /// Slot of the peer.
        peer: u32,
        /// Number of the update.
        number: u64,
    },
}

impl MembershipEvent {
    /// The message, the same for every event of its kind.
    pub fn message(&self) -> &'static str {
        match self {
            MembershipEvent::HealthChanged { health: Health::Alive, .. } => "host alive",
            MembershipEvent::HealthChanged { health: Health::Suspect, .. } => "host suspect",
            MembershipEvent::HealthChanged { health: Health::Dead, .. } => "host dead",
            MembershipEvent::HealthChanged { health: Health::Left, .. } => "host left",
            MembershipEvent::Flapping { .. } => "host flaps: not asked for indirect probes until it stays",
            MembershipEvent::SiteFailedTogether { .. } => "site is down: its hosts failed together",
            MembershipEvent::SiteFailedOneByOne { .. } => "site is down: its hosts failed one by one",
            MembershipEvent::SiteLeft { .. } => "site is empty: its hosts left",
            MembershipEvent::SiteReachable { .. } => "site is reachable again",
            MembershipEvent::Paused { .. } => "this host was paused: it suspects nobody for what it missed",
            MembershipEvent::LocalHealthBad { .. } => {
                "local health is bad: probes are answered late or not at all, others are given time"
            }
            MembershipEvent::LocalHealthGood => "local health is good again: probes are answered in time",
            MembershipEvent::Displaced { .. } => {
                "a later generation of this host's number is known: this one uses no shared quota"
            }
            MembershipEvent::TookOver { uses_shared_quota: true, .. } => {
                "the later generation of this host's number does not run: this one takes part again"
            }
            MembershipEvent::TookOver { uses_shared_quota: false, .. } => {
                "the later generation of this host's number does not run: this one uses no shared quota until its restart"
            }
            MembershipEvent::CatalogFork { .. } => "a host has applied other plans under the same number",
        }
    }
}

/// One line: the message, then `name=value` for each field; times in seconds, generations in hexadecimal.
impl Display for MembershipEvent {
    fn fmt(&self, out: &mut Formatter<'_>) -> Result {
        out.write_str(self.message())?;
        match self {
            MembershipEvent::HealthChanged { peer, alive_hosts, .. }
            | MembershipEvent::Flapping { peer, alive_hosts } => {
                write!(out, " peer={peer} alive_hosts={alive_hosts}")
            }
            MembershipEvent::SiteFailedTogether { site, hosts }
            | MembershipEvent::SiteFailedOneByOne { site, hosts } => {
                write!(out, " site={site} hosts={hosts}")
            }
            MembershipEvent::SiteLeft { site } | MembershipEvent::SiteReachable { site } => {
                write!(out, " site={site}")
            }
            MembershipEvent::Paused { duration } => write!(out, " paused_secs={:.2}", duration.secs()),
            MembershipEvent::LocalHealthBad { score } => write!(out, " score={score}"),
            MembershipEvent::LocalHealthGood => Ok(()),
            MembershipEvent::Displaced { generation } | MembershipEvent::TookOver { generation, .. } => {
                write!(out, " generation={generation:x}")
            }
            MembershipEvent::CatalogFork { peer, number } => write!(out, " peer={peer} number={number}"),
        }
    }
}
