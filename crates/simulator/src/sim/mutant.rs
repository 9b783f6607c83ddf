//! Deliberate faults of the host core, by which the hunt is tested.

/// Deliberate faults, for the hunt to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Drains and ends told by the list never reach the core.
    GraceIgnored,
    /// Every hundredth attempt leaves twice.
    HedgeTooEarly,
    /// Every fiftieth answer is lost, or given again.
    AnswerLost,
    AnswerTwice,
    /// Answers leave half a second late.
    AnswerLate,
    /// What is failed is called rejected.
    FalseRejection,
    /// Starts of nodes never reach the core, and cold nodes have no guard. The caps alone keep cold nodes up in the
    /// worlds drawn here, so no seed finds this one.
    WarmUpIgnored,
    /// Each host takes all of a limit for itself, at every start anew.
    LimitAlone,
    OrderIgnored,
    BudgetIgnored,
    /// A change of the limit is acknowledged and adopted under its number, but the former limit stays in force.
    PlanIgnored,
}
