//! Random walks: each next step is drawn from a seed, so that a violation can be replayed from its seed. Each walk draws how
//! often each kind of step happens (swarm testing: Groce and others, 2012), so that some walks are mostly crashes and others
//! mostly partitions.

mod step_kind;

use super::world::{Process, World, DRIFT};
use step_kind::{StepKind, StepWeights};
use tackmast_consensus::ConsensusFault;

/// The settings of one random walk.
#[derive(Clone, Copy, Debug)]
pub struct RandomWalk {
    /// Hosts that vote at first.
    pub voters: u32,
    /// Hosts that do not vote.
    pub followers: u32,
    /// Steps until the walk ends.
    pub steps: u32,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// A deliberate fault in every replica.
    pub fault: Option<ConsensusFault>,
    /// Voters are added and removed; disks are lost or replaced by old copies.
    pub moves: bool,
}

impl RandomWalk {
    /// A walk with three or five voters; on every third seed voters and disks change.
    pub fn drawn(seed: u64, steps: u32, fault: Option<ConsensusFault>) -> RandomWalk {
        let voters = if seed.is_multiple_of(2) { 5 } else { 3 };
        RandomWalk { voters, followers: 2, steps, seed, fault, moves: seed.is_multiple_of(3) }
    }
}

/// What a random walk has shown.
#[derive(Clone, Debug, Default)]
pub struct WalkResult {
    /// The step after which a safety property was violated, and how.
    pub broken: Option<(u32, String)>,
    /// Entries that were committed.
    pub committed: u64,
    /// The longest time, in seconds, for which a host with a valid lease had an older state.
    pub longest: f64,
    /// Reads that were answered.
    pub reads: u64,
    /// Steps at which disks were lost or replaced and voters changed, in words.
    pub disk_and_voter_changes: Vec<String>,
}

/// Rounds of a change and some time without faults after a walk, until all must have recovered.
const MAX_RECOVERY_ROUNDS: usize = 60;
/// So many rounds are played in any case.
const MIN_RECOVERY_ROUNDS: usize = 10;
/// Length of such a round, in seconds.
const RECOVERY_ROUND_S: f64 = 0.2;

/// Plays one random walk to its end or its first violation.
pub fn run_random_walk(settings: &RandomWalk) -> WalkResult {
    let mut walk = WalkState::new(settings);
    for step in 0..settings.steps {
        let host = walk.generator.rand_range(0..walk.host_count) as usize;
        walk.update_calm_stretch();
        let kind = walk.weights.draw_kind(&mut walk.generator, walk.calm_steps > 0);
        walk.take_step(step, kind, host);
        walk.world.check_all();
        if let Some(what) = walk.world.broken.take() {
            return walk.into_result(Some((step, what)));
        }
    }
    let broken = check_recovery(&mut walk.world, settings).map(|what| (settings.steps, what));
    walk.into_result(broken)
}

/// A random walk that is under way.
struct WalkState {
    generator: oorandom::Rand64,
    world: World,
    host_count: u64,
    weights: StepWeights,
    /// Writes stay unsynced for longer.
    slow_disks: bool,
    /// An old copy of a disk has come back.
    old_disk: bool,
    /// Steps that are left of a stretch without faults.
    calm_steps: u32,
    disk_and_voter_changes: Vec<String>,
}

impl WalkState {
    fn new(settings: &RandomWalk) -> WalkState {
        let mut generator = oorandom::Rand64::new(u128::from(settings.seed) << 16 | 0x5eed);
        // Within the drift that the settings allow.
        let clock_rates: Vec<f64> = (0..settings.voters + settings.followers)
            .map(|_| 1.0 + DRIFT * (2.0 * generator.rand_float() - 1.0))
            .collect();
        let mut world = World::new(settings.voters, settings.followers, settings.fault, |host| {
            clock_rates[host as usize]
        });
        let weights = StepWeights::draw(&mut generator, settings.moves);
        let slow_disks = generator.rand_range(0..3) == 0;
        // Some walks begin before anything is committed.
        if !settings.seed.is_multiple_of(5) {
            world.begin();
        }
        WalkState {
            generator,
            world,
            host_count: u64::from(settings.voters + settings.followers),
            weights,
            slow_disks,
            old_disk: false,
            calm_steps: 0,
            disk_and_voter_changes: Vec::new(),
        }
    }

    /// Begins and ends stretches without faults. Without them hardly anything would be committed.
    fn update_calm_stretch(&mut self) {
        self.calm_steps = match self.calm_steps {
            0 if self.generator.rand_range(0..40) == 0 => 120,
            left => left.saturating_sub(1),
        };
        if self.calm_steps == 0 && self.generator.rand_range(0..150) == 0 {
            self.world.cut.clear();
            self.world.calm(0.3 + self.generator.rand_float());
        }
    }

    fn take_step(&mut self, step: u32, kind: StepKind, host: usize) {
        let world = &mut self.world;
        match kind {
            StepKind::Deliver | StepKind::Lose | StepKind::Duplicate => self.move_message(kind),
            StepKind::Sync => self.sync_disks(step, host),
            StepKind::Pass => world.pass(0.001 + 0.02 * self.generator.rand_float()),
            StepKind::PassLong => world.pass(0.05 + 0.4 * self.generator.rand_float()),
            StepKind::Change => world.change(host),
            StepKind::Read => world.read(host),
            StepKind::Crash => {
                world.crash(host);
                world.start(host);
            }
            StepKind::CrashAll => {
                (0..world.all.len()).for_each(|host| world.crash(host));
                (0..world.all.len()).for_each(|host| world.start(host));
            }
            StepKind::Stop => world.all[host].stopped = !world.all[host].stopped,
            StepKind::Resume => world.all[host].stopped = false,
            StepKind::Cut | StepKind::CutOneWay => self.toggle_partition(host, kind == StepKind::Cut),
            StepKind::Heal => world.cut.clear(),
            StepKind::Voters | StepKind::Wipe | StepKind::Copy | StepKind::OldDisk => {
                self.change_disk_or_voter(step, kind, host);
            }
        }
    }

    /// Delivers, loses or duplicates one message in flight, if there is any.
    fn move_message(&mut self, kind: StepKind) {
        let (world, generator) = (&mut self.world, &mut self.generator);
        let message_count = world.in_flight.len() as u64;
        if message_count == 0 {
            return;
        }
        match kind {
            StepKind::Lose => _ = world.in_flight.remove(generator.rand_range(0..message_count) as usize),
            StepKind::Duplicate => world.deliver(generator.rand_range(0..message_count) as usize, true),
            _ => {
                // Most arrive in the order in which they were sent.
                let early = 1 + generator.rand_range(0..message_count);
                world.deliver(generator.rand_range(0..early) as usize, false);
            }
        }
    }

    fn sync_disks(&mut self, step: u32, host: usize) {
        self.world.sync(host);
        if !self.slow_disks {
            let is_in_half = |host: &usize| *host % 2 == step as usize % 2;
            (0..self.world.all.len()).filter(is_in_half).for_each(|host| self.world.sync(host));
        }
    }

    /// Cuts the link from a host to another one, or heals it; in both directions or one.
    fn toggle_partition(&mut self, host: usize, both_directions: bool) {
        let (from, to) = (host as u32, self.generator.rand_range(0..self.host_count) as u32);
        let directions = [(from, to), (to, from)];
        for direction in directions.into_iter().take(1 + usize::from(both_directions)) {
            if !self.world.cut.remove(&direction) {
                self.world.cut.insert(direction);
            }
        }
    }

    fn change_disk_or_voter(&mut self, step: u32, kind: StepKind, host: usize) {
        let world = &mut self.world;
        match kind {
            StepKind::Voters => {
                let votes = self.generator.rand_range(0..2) == 0;
                self.disk_and_voter_changes.push(format!("step {step}: host {host} votes: {votes}"));
                world.move_voters(host as u32, votes);
            }
            // Host 0 keeps its disk. Were the disks of all initial voters lost, they would bootstrap a new group.
            StepKind::Wipe if host > 0 && !self.old_disk => {
                self.disk_and_voter_changes.push(format!("step {step}: the disk of host {host} is lost"));
                world.wipe(host);
            }
            StepKind::Copy if world.all[host].old_disk.is_none() => {
                world.all[host].old_disk = Some(world.all[host].disk.clone());
            }
            StepKind::OldDisk if world.is_old_disk_detectable(host) => {
                if let Some(disk) = world.all[host].old_disk.take() {
                    let change = format!("step {step}: an old disk of host {host} comes back");
                    self.disk_and_voter_changes.push(change);
                    self.old_disk = true;
                    world.crash(host);
                    world.all[host].disk = disk;
                    world.start(host);
                }
            }
            _ => {}
        }
    }

    fn into_result(self, broken: Option<(u32, String)>) -> WalkResult {
        WalkResult {
            broken,
            committed: self.world.committed(),
            longest: self.world.longest,
            reads: self.world.reads_done,
            disk_and_voter_changes: self.disk_and_voter_changes,
        }
    }
}

/// Once all faults are over, every host must have all that was committed, and something new must be committed.
fn check_recovery(world: &mut World, settings: &RandomWalk) -> Option<String> {
    world.cut.clear();
    world.all.iter_mut().for_each(|process| process.stopped = false);
    let (before, host_count) = (world.committed(), world.all.len());
    for round in 0..MAX_RECOVERY_ROUNDS {
        world.change(round % host_count);
        world.calm(RECOVERY_ROUND_S);
        if let Some(what) = world.broken.take() {
            return Some(what);
        }
        let newest = world.committed();
        let has_newest = |process: &Process| process.commit_index() == Some(newest);
        if world.all.iter().all(has_newest) && newest > before + 1 && round + 1 >= MIN_RECOVERY_ROUNDS {
            break;
        }
    }
    // Where disks were lost the quorum may be gone for good.
    if settings.moves {
        return None;
    }
    let is_behind = |process: &Process| process.commit_index().is_none_or(|commit| commit < before);
    if let Some(host) = world.all.iter().position(is_behind) {
        let commit = world.all[host].commit_index();
        return Some(format!("without faults, host {host} has committed {commit:?} of {before}"));
    }
    (world.committed() <= before).then(|| format!("without faults, nothing new is committed after {before}"))
}

/// The first walk, from a seed on, in which a deliberate fault shows.
pub fn find_fault(fault: ConsensusFault, first: u64, walks: u64, steps: u32) -> Option<(u64, u32, String)> {
    (first..first + walks).find_map(|seed| {
        let found = run_random_walk(&RandomWalk::drawn(seed, steps, Some(fault)));
        found.broken.map(|(step, what)| (seed, step, what))
    })
}
