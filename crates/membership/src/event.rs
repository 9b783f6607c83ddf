//! Events that a member reports to operators: a fixed message and named fields. docs/on-call.md has a row for each message.

use std::fmt::{Display, Formatter, Result};
use tackmast::interface::TimeDelta;
use tackmast_wire::peer::Health;

/// A change among the hosts of the fleet that is reported to operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MembershipEvent {
    /// The health of a peer changed.
    HealthChanged {
        /// Slot of the peer.
        peer: u32,
        /// Health that the peer has now.
        health: Health,
        /// Number of hosts that are alive or suspected, this one included.
        alive_hosts: u32,
    },
    /// A peer flaps. Its further changes of health are not reported individually.
    Flapping {
        /// Slot of the peer.
        peer: u32,
        /// Number of hosts that are alive or suspected, this one included.
        alive_hosts: u32,
    },
    /// All hosts of a site failed within a short time.
    SiteFailedTogether {
        /// Number of the site.
        site: u32,
        /// Number of hosts that failed.
        hosts: u32,
    },
    /// All hosts of a site failed, but not within a short time.
    SiteFailedOneByOne {
        /// Number of the site.
        site: u32,
        /// Number of hosts that failed.
        hosts: u32,
    },
    /// All hosts of a site left gracefully.
    SiteLeft {
        /// Number of the site.
        site: u32,
    },
    /// At least one host of a site is alive again.
    SiteReachable {
        /// Number of the site.
        site: u32,
    },
    /// This host's process did not run for a while: it was stopped, or its machine was busy.
    Paused {
        /// Length of the pause.
        duration: TimeDelta,
    },
    /// This host's probes go unanswered, and the cause is this host rather than those that it probes.
    LocalHealthBad {
        /// Local health score; 0 is good.
        score: u32,
    },
    /// This host's probes are answered in time again.
    LocalHealthGood,
    /// This host learned of a later generation of its slot.
    Displaced {
        /// Later generation that is known.
        generation: u64,
    },
    /// The later generation of this host's slot does not run, so this host took its slot back.
    TookOver {
        /// Generation that this host has now.
        generation: u64,
        /// Whether this host uses the shared quota again. If not, it does so only after a restart.
        uses_shared_quota: bool,
    },
    /// A peer has applied a different catalog update under the same number.
    CatalogFork {
        /// Slot of the peer.
        peer: u32,
        /// Number of the catalog update.
        number: u64,
    },
}

impl MembershipEvent {
    /// Returns the message, which is fixed for each kind of event and contains no values.
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

/// Formats the event as one line: the message, then `name=value` for each field. Times are in seconds, and generations in
/// hexadecimal.
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
