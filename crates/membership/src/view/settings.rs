//! Settings of the view, its extensions to plain SWIM, and its deliberate faults.

use tackmast::interface::TimeDelta;

/// Settings of the view.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ViewSettings {
    /// SWIM's protocol period, in which one member is probed.
    pub protocol_period: TimeDelta,
    /// Maximum number of hosts in the fleet. Updates on slots from this number on are rejected.
    pub max_hosts: usize,
    /// Extensions that are enabled.
    pub extensions: Extensions,
}

/// Extensions of the view to plain SWIM. Each can be disabled, so that simulations can compare runs with and without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extensions {
    /// Lifeguard's local health multiplier: a host whose probes go unanswered, or that receives nothing, waits longer
    /// before it suspects others.
    pub local_health: bool,
    /// Lifeguard's dynamic suspicion timeout: suspicions that several members confirm end sooner, and those of one member
    /// later.
    pub suspicion_confirmation: bool,
    /// A host that was paused suspects no member because of answers that it missed.
    pub pause_detection: bool,
    /// Lifeguard's buddy system: a member that is suspected or considered dead is notified as soon as it sends a datagram.
    pub buddy_system: bool,
    /// The state and incarnation that each datagram carries of its sender are merged.
    pub sender_state: bool,
    /// Peers that an earlier generation knew are contacted. Members that are considered dead are contacted more often once
    /// one of them sends a datagram.
    pub rejoin: bool,
    /// A member that flaps is not asked for indirect pings until its flap score has decayed.
    pub flap_damping: bool,
    /// A host that learns of a later generation of its slot checks whether that one runs.
    pub duplicate_id_check: bool,
}

impl Extensions {
    /// Returns all extensions enabled, as hosts run.
    pub fn all() -> Extensions {
        Extensions::uniform(true)
    }

    /// Returns all extensions disabled, which is plain SWIM.
    pub fn none() -> Extensions {
        Extensions::uniform(false)
    }

    fn uniform(enabled: bool) -> Extensions {
        Extensions {
            local_health: enabled,
            suspicion_confirmation: enabled,
            pause_detection: enabled,
            buddy_system: enabled,
            sender_state: enabled,
            rejoin: enabled,
            flap_damping: enabled,
            duplicate_id_check: enabled,
        }
    }
}

/// Deliberate faults of the view. Simulations must detect each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewFault {
    /// An update of an earlier generation supersedes the state of a later one if it says that the member is alive.
    OldGenerationWins,
    /// A host does not refute suspicions of itself.
    NoRefutation,
    /// Suspicions never end.
    SuspicionWithoutEnd,
    /// Beyond the first two members, only updates on known members are accepted, so that two partitions do not merge.
    DropsUnknownMembers,
    /// Peers that an earlier generation knew count as alive before they answer.
    TrustsPersistedPeers,
    /// The first known address of a member is kept through all generations.
    OldAddressWins,
    /// Members that are considered dead, and seeds, are not contacted again.
    NoReconnection,
    /// A host that was paused suspects all others when it resumes.
    SuspectsAfterPause,
    /// Suspicions end at once, so that one missed answer causes a death.
    NoSuspicion,
    /// The last update of a generation is accepted, whatever its incarnation.
    IgnoresIncarnation,
    /// Members that die are removed from the table.
    ForgetsDead,
    /// A host never takes its slot back from a later generation that does not run.
    BelievesDuplicateId,
    /// The first known site of a member is kept through all generations.
    OldSiteWins,
    /// A member that flapped is never probed or asked for indirect pings again.
    ExcludesFlapping,
}

impl ViewFault {
    /// All deliberate faults.
    pub const ALL: [ViewFault; 14] = [
        ViewFault::OldGenerationWins,
        ViewFault::NoRefutation,
        ViewFault::SuspicionWithoutEnd,
        ViewFault::DropsUnknownMembers,
        ViewFault::TrustsPersistedPeers,
        ViewFault::OldAddressWins,
        ViewFault::NoReconnection,
        ViewFault::SuspectsAfterPause,
        ViewFault::NoSuspicion,
        ViewFault::IgnoresIncarnation,
        ViewFault::ForgetsDead,
        ViewFault::BelievesDuplicateId,
        ViewFault::OldSiteWins,
        ViewFault::ExcludesFlapping,
    ];
}
