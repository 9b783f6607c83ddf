//! The results of changes of plans: updates for this host, texts for peers, writes and responses.

use super::messages::PlanResponse;
use crate::event::PlanEvent;
use tackmast::interface::{Instant, Plan as PlanParameters, PlanId};
use tackmast_plans::Entry;

/// An update of the scheduler and the layout.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanUpdate {
    /// A plan is new or has new parameters.
    Plan {
        /// The scheduler's number of the plan.
        plan: PlanId,
        /// The parameters of the plan from now on.
        parameters: PlanParameters,
    },
    /// A volume has moved to another plan.
    Volume {
        /// The volume's name.
        name: String,
        /// The scheduler's number of the plan.
        plan: PlanId,
    },
}

/// The immediate result of a request.
pub enum PlanOutcome {
    /// The request is answered at once.
    Respond {
        /// The caller's number of the request.
        request: u64,
        /// The response.
        response: PlanResponse,
    },
    /// The change has to be persisted; the request is answered afterwards.
    Persist {
        /// The caller's number of the request.
        request: u64,
        /// The entry of the change log to persist.
        entry: Box<Entry>,
    },
}

/// The limit of a volume over all hosts: a rate, and the units that may exceed it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VolumeLimit {
    /// The rate in units a second; 0 means no limit.
    pub limit: f64,
    /// The depth of the token bucket, in units.
    pub burst: f64,
    /// Units by which all hosts together may exceed limit and burst.
    pub slack: f64,
}

/// What the store has of the change log when the host starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredPlans {
    /// Nothing, so the checkpoint has to be written first.
    Nothing,
    /// The checkpoint and the changes so far.
    ChangeLog,
}

/// The result of a change that was given to the store.
pub struct PersistedChange {
    /// The response to the request.
    pub response: PlanResponse,
    /// The change that applies from now on; `None` if it could not be written.
    pub applied: Option<AppliedChange>,
}

/// A change that applies at this host from now on, with its updates and its text for peers.
pub struct AppliedChange {
    /// The updates of the scheduler and the layout.
    pub updates: Vec<PlanUpdate>,
    /// The number of the change.
    pub number: u64,
    /// The prefix of the digest of the change and all before it.
    pub digest_prefix: u64,
    /// The form in which the change is stored and replicated.
    pub text: Vec<u8>,
    /// When the change applies at all hosts.
    pub effective_at: Instant,
    /// The event to log.
    pub event: PlanEvent,
}
