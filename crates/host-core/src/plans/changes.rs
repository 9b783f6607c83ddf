//! What changes of plans lead to: updates for this host, texts for peers, writes and answers.

use super::messages::PlanResponse;
use crate::event::PlanEvent;
use tackmast::interface::{Instant, Plan as Figures, PlanId};
use tackmast_plans::Entry;

/// A change for the scheduler and the layout.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanUpdate {
    /// A plan has these figures.
    Plan {
        /// The scheduler's number of it.
        plan: PlanId,
        /// Its figures.
        figures: Figures,
    },
    /// A volume is under this plan.
    Volume {
        /// The volume.
        name: String,
        /// The scheduler's number of the plan.
        plan: PlanId,
    },
}

/// What a request leads to.
pub enum PlanOutcome {
    /// An answer at once.
    Respond {
        /// The number that the request came under.
        request: u64,
        /// The answer.
        response: PlanResponse,
    },
    /// A write, and an answer once it is done.
    Persist {
        /// The number that the request came under.
        request: u64,
        /// The change.
        entry: Box<Entry>,
    },
}

/// What a volume may use, in units: a rate a second, and what may exceed it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VolumeLimit {
    /// Units a second.
    pub limit: f64,
    /// Units at once.
    pub burst: f64,
    /// Units that measurement may be off by.
    pub slack: f64,
}

/// Whether the store has the change log already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredPlans {
    /// Nothing of it: the checkpoint is written first.
    Nothing,
    /// Its checkpoint, and the changes so far.
    ChangeLog,
}

/// What became of a change that was given to the store.
pub struct PersistedChange {
    /// The answer to whoever asked for the change.
    pub response: PlanResponse,
    /// What applies from now on, if the change was written.
    pub applied: Option<AppliedChange>,
}

/// A change that applies from now on: updates for this host, and its text for peers.
pub struct AppliedChange {
    /// What changes for the scheduler and the layout.
    pub updates: Vec<PlanUpdate>,
    /// Its number.
    pub number: u64,
    /// The prefix of the digest of all changes up to it.
    pub digest_prefix: u64,
    /// As it is stored and replicated.
    pub text: Vec<u8>,
    /// When all hosts go by it.
    pub effective_at: Instant,
    /// For the log.
    pub event: PlanEvent,
}
