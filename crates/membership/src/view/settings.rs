//! Settings of the view, its extensions of plain SWIM, and its deliberate faults.

use tackmast::interface::TimeDelta;

/// Settings of the view.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ViewSettings {
    /// SWIM's protocol period: one member is probed in each.
    pub protocol_period: TimeDelta,
    /// Slots are below this; updates on others are refused.
    pub max_hosts: usize,
    /// Extensions that are on.
    pub extensions: Extensions,
}

/// What the view does beyond plain SWIM. Each extension can be switched off, so that simulations can compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extensions {
    /// Lifeguard's local health multiplier: a host whose probes go unanswered, or that receives nothing, waits longer
    /// before it suspects others.
    pub local_health: bool,
    /// Lifeguard's dynamic suspicion timeout: suspicions that several members confirm end sooner, those of one alone
    /// later.
    pub suspicion_confirmation: bool,
    /// A host that was paused suspects no member for what it missed meanwhile.
    pub pause_detection: bool,
    /// Lifeguard's buddy system: a member that is suspected or held dead is notified as soon as it sends anything.
    pub buddy_system: bool,
    /// Each datagram carries its sender's own state, with its incarnation.
    pub sender_state: bool,
    /// Peers that an earlier generation knew are contacted, and more of those held dead once one of them sends anything.
    pub rejoin: bool,
    /// A member that flaps is not asked for indirect probes until it stays.
    pub flap_damping: bool,
    /// A host whose slot seems to have a later generation checks whether that one runs.
    pub duplicate_id_check: bool,
}

impl Extensions {
    /// All of them, as hosts run.
    pub fn all() -> Extensions {
        Extensions::set(true)
    }

    /// None of them: plain SWIM.
    pub fn none() -> Extensions {
        Extensions::set(false)
    }

    fn set(on: bool) -> Extensions {
        Extensions {
            local_health: on,
            suspicion_confirmation: on,
            pause_detection: on,
            buddy_system: on,
            sender_state: on,
            rejoin: on,
            flap_damping: on,
            duplicate_id_check: on,
        }
    }
}

/// Deliberate faults of the view, for simulations to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewFault {
    /// A member of an earlier generation overrides the later one when it is alive.
    OldGenerationWins,
    /// A host does not refute suspicions of itself.
    NoRefutation,
    /// Suspicions never end.
    SuspicionWithoutEnd,
    /// When two partitions merge, only updates on members that are known already are taken.
    DropsUnknownMembers,
    /// Peers that an earlier generation knew count as alive before they answered.
    TrustsPersistedPeers,
    /// The address that was learned first stays through all generations.
    OldAddressWins,
    /// Members held dead are never contacted.
    NoReconnection,
    /// A host that was paused suspects all others when it resumes.
    SuspectsAfterPause,
    /// One missed answer is a death.
    NoSuspicion,
    /// The update that arrived last holds, whatever its incarnation.
    IgnoresIncarnation,
    /// Members held dead are forgotten.
    ForgetsDead,
    /// A host never takes its slot back from a later generation that does not run.
    BelievesDuplicateId,
    /// The site of an earlier generation stays.
    OldSiteWins,
    /// A member that flapped is never probed or asked for help again.
    ExcludesFlapping,
}

impl ViewFault {
    /// All of them.
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
