//! A host that runs a replica: its process, its disk and its clock.

use crate::consensus::disk::Disk;
use tackmast::interface::Instant;
use tackmast_consensus::{ConsensusFault, DiskIdentity, RaftSettings, Replica, ReplicaSettings};

/// The steady clock of each host is ahead of the one before by this, in seconds.
const CLOCK_OFFSET_S: f64 = 1_000.0;
/// Marks of the disks that hosts start with begin here.
const FIRST_DISK_MARK: u64 = 100;

/// What a process starts with beside its disk.
pub(super) struct ProcessStart {
    pub(super) generation: u64,
    pub(super) raft: RaftSettings,
    /// Hosts that vote at first: the first ones.
    pub(super) voters: u32,
    /// A deliberate fault of the replica.
    pub(super) fault: Option<ConsensusFault>,
}

/// A host that runs a replica: its disk, its clock and what the checks remember of it.
#[derive(Clone)]
pub(in crate::consensus) struct Process {
    /// None: the process does not run.
    pub replica: Option<Replica>,
    pub disk: Disk,
    /// An old copy of its disk.
    pub old_disk: Option<Disk>,
    pub stopped: bool,
    pub generation: u64,
    /// The rate of its steady clock, where 1 is that of virtual time.
    pub clock_rate: f64,
    /// By how much its steady clock is ahead at first, in seconds.
    clock_offset_s: f64,
    /// The changes that its state machine has applied, in order.
    pub state: Vec<u64>,
    /// The log index up to which its entries have been checked.
    pub(super) checked_index: u64,
    /// Reads under way: their number, and what was known to be committed when they were asked.
    pub(super) reads: Vec<(u32, u64)>,
}

impl Process {
    /// A host that has not started yet.
    pub(super) fn new(host: u32, clock_rate: f64) -> Process {
        Process {
            replica: None,
            disk: Disk { mark: u64::from(host) + FIRST_DISK_MARK, ..Disk::default() },
            old_disk: None,
            stopped: false,
            generation: 0,
            clock_rate,
            clock_offset_s: CLOCK_OFFSET_S * f64::from(host),
            state: Vec::new(),
            checked_index: 0,
            reads: Vec::new(),
        }
    }

    /// What its steady clock shows at a virtual time in seconds.
    pub(super) fn steady_clock(&self, time_s: f64) -> Instant {
        Instant::from_secs(time_s * self.clock_rate + self.clock_offset_s)
    }

    /// Starts the process of a host from its disk.
    pub(super) fn start(&mut self, now: Instant, host: u32, start: &ProcessStart) {
        let disk = &mut self.disk;
        disk.pending.clear();
        // The boot is persisted before the process sends anything under it.
        disk.boot += 1;
        let identity = DiskIdentity { disk: disk.mark, boot: disk.boot, generation: start.generation };
        let settings = ReplicaSettings {
            host,
            identity,
            raft: start.raft,
            initial_voters: (0..start.voters).collect(),
            persisted: disk.persisted.clone(),
            seed: start.generation,
        };
        let replica = Replica::new(now, settings);
        self.replica = Some(match start.fault {
            Some(fault) => replica.with_fault(fault),
            None => replica,
        });
        (self.generation, self.stopped) = (start.generation, false);
        (self.state, self.reads, self.checked_index) = (Vec::new(), Vec::new(), 0);
    }

    /// The log index up to which its replica knows entries to be committed; none while the process does not run.
    pub(in crate::consensus) fn commit_index(&self) -> Option<u64> {
        self.replica.as_ref().map(Replica::commit_index)
    }
}
