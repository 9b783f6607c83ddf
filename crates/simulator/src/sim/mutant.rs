//! Deliberate faults of the host core, by which the hunt is tested.

/// A deliberate fault of the host core, which the hunt must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// The host core does not learn from the endpoint list that a node drains.
    GraceIgnored,
    /// Every hundredth attempt is sent twice.
    HedgeTooEarly,
    /// Every fiftieth answer is lost.
    AnswerLost,
    /// Every fiftieth answer is preceded by a rejection of the same command.
    AnswerTwice,
    /// Every fiftieth answer is 1.2 s late.
    AnswerLate,
    /// Failed commands are reported as rejected.
    FalseRejection,
    /// The host core does not learn when nodes started, and nodes that warm up are not guarded.
    WarmUpIgnored,
    /// Each host takes the whole limit of the limited volume.
    LimitAlone,
    /// Writes that must be done in order are not.
    OrderIgnored,
    /// Retries have no budget.
    BudgetIgnored,
    /// A change of the limit is acknowledged and adopted under its number, but the former limit stays in force.
    PlanIgnored,
}
