//! The kinds of steps of a random walk, and how often each happens.

/// A kind of step. Most concern one host, which is drawn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum StepKind {
    /// A message arrives.
    Deliver,
    /// A write reaches its disk.
    Sync,
    /// A short time passes.
    Pass,
    /// A change is proposed.
    Change,
    /// A linearizable read begins.
    Read,
    /// A message is lost.
    Lose,
    /// A message arrives, and a copy of it stays in flight.
    Duplicate,
    /// A time passes in which elections may begin.
    PassLong,
    /// A host crashes and restarts.
    Crash,
    /// A host is stopped, or resumed.
    Stop,
    /// The links between two hosts are cut, or healed.
    Cut,
    /// The link from one host to another is cut, or healed.
    CutOneWay,
    /// All links are healed.
    Heal,
    /// All hosts crash and restart.
    CrashAll,
    /// A voter is added or removed.
    Voters,
    /// A disk is lost.
    Wipe,
    /// A disk is copied.
    Copy,
    /// A host restarts from an old copy of its disk.
    OldDisk,
    /// A host is resumed.
    Resume,
}

/// A kind of step with its usual weight.
struct WeightedKind {
    kind: StepKind,
    weight: f64,
    is_fault: bool,
}

const fn usual(kind: StepKind, weight: f64) -> WeightedKind {
    WeightedKind { kind, weight, is_fault: false }
}

const fn fault(kind: StepKind, weight: f64) -> WeightedKind {
    WeightedKind { kind, weight, is_fault: true }
}

/// All kinds of steps, those that are no faults first.
const STEP_KINDS: [WeightedKind; 19] = [
    usual(StepKind::Deliver, 400.0),
    usual(StepKind::Sync, 150.0),
    usual(StepKind::Pass, 100.0),
    usual(StepKind::Change, 30.0),
    usual(StepKind::Read, 20.0),
    fault(StepKind::Lose, 40.0),
    fault(StepKind::Duplicate, 40.0),
    fault(StepKind::PassLong, 40.0),
    fault(StepKind::Crash, 30.0),
    fault(StepKind::Stop, 30.0),
    fault(StepKind::Cut, 20.0),
    fault(StepKind::CutOneWay, 20.0),
    fault(StepKind::Heal, 30.0),
    fault(StepKind::CrashAll, 10.0),
    fault(StepKind::Voters, 20.0),
    fault(StepKind::Wipe, 7.0),
    fault(StepKind::Copy, 8.0),
    fault(StepKind::OldDisk, 8.0),
    fault(StepKind::Resume, 5.0),
];

/// The first of `STEP_KINDS`: those that are no faults.
const FAULT_FREE_KINDS: usize = 5;

/// By one of these, drawn for each walk and kind of fault, the weight of the fault is multiplied.
const FAULT_RATE_MULTIPLES: [f64; 4] = [0.0, 0.3, 1.0, 4.0];

/// The weight of each of `STEP_KINDS` in one walk.
pub(super) struct StepWeights(Vec<f64>);

impl StepWeights {
    /// Draws the weights of a walk. Disks and voters change only where `moves` allows it.
    pub(super) fn draw(generator: &mut oorandom::Rand64, moves: bool) -> StepWeights {
        let moving_kinds = [StepKind::Voters, StepKind::Wipe, StepKind::Copy, StepKind::OldDisk];
        let weights = STEP_KINDS.iter().map(|step| match step.is_fault {
            _ if moving_kinds.contains(&step.kind) && !moves => 0.0,
            false => step.weight,
            true => step.weight * FAULT_RATE_MULTIPLES[generator.rand_range(0..4) as usize],
        });
        StepWeights(weights.collect())
    }

    /// Draws the kind of the next step; no fault if `is_calm`.
    pub(super) fn draw_kind(&self, generator: &mut oorandom::Rand64, is_calm: bool) -> StepKind {
        let considered = if is_calm { FAULT_FREE_KINDS } else { STEP_KINDS.len() };
        let total: f64 = self.0.iter().take(considered).sum();
        let mut roll = generator.rand_float() * total;
        let drawn = STEP_KINDS.iter().zip(&self.0).find(|(_, weight)| {
            roll -= **weight;
            roll < 0.0
        });
        drawn.map_or(StepKind::Resume, |(step, _)| step.kind)
    }
}
