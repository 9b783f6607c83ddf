//! What the scenario has done to the hosts, as far as their view of each other depends on it.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// A process of a host: its number, and whether it is a second process with that number.
pub(crate) type ProcessId = (u32, bool);

/// A time for which a host was not available.
pub(super) struct Absence {
    pub(super) host: u32,
    pub(super) from: Instant,
    pub(super) to: Option<Instant>,
}

/// A cut of the network between two sets of hosts.
pub(super) struct Cut {
    pub(super) sides: (HashSet<u32>, HashSet<u32>),
    pub(super) from: Instant,
    pub(super) to: Option<Instant>,
}

impl Cut {
    fn separates(&self, observer: u32, host: u32) -> bool {
        let (first, second) = &self.sides;
        (first.contains(&observer) && second.contains(&host))
            || (first.contains(&host) && second.contains(&observer))
    }
}

/// A fault that began or ended.
#[derive(Clone)]
pub(super) struct FaultChange {
    /// Changes are numbered from 1.
    pub(super) number: u64,
    pub(super) name: String,
    pub(super) at: Instant,
}

/// What the scenario has done to the hosts.
#[derive(Default)]
pub(crate) struct FaultHistory {
    /// Admin sockets of the processes that run.
    pub(super) admin_sockets: BTreeMap<ProcessId, PathBuf>,
    /// Hosts that are suspended.
    pub(super) stopped: BTreeSet<u32>,
    /// Cuts in effect, by the number of the network fault.
    pub(super) cuts: BTreeMap<u64, Cut>,
    /// Cuts that are over.
    pub(super) past_cuts: Vec<Cut>,
    pub(super) absences: Vec<Absence>,
    pub(super) last_change: Option<FaultChange>,
}

impl FaultHistory {
    /// A fault begins or ends.
    pub(crate) fn fault_changed(&mut self, name: &str) {
        let number = self.last_change.as_ref().map_or(1, |change| change.number + 1);
        self.last_change = Some(FaultChange { number, name: name.to_owned(), at: Instant::now() });
    }

    /// A process runs, and answers at this socket.
    pub(crate) fn process_started(&mut self, process: ProcessId, admin_socket: PathBuf) {
        self.admin_sockets.insert(process, admin_socket);
    }

    /// A process does not run.
    pub(crate) fn process_ended(&mut self, process: ProcessId) {
        self.admin_sockets.remove(&process);
    }

    /// Whether a host is suspended.
    pub(crate) fn set_stopped(&mut self, host: u32, is_stopped: bool) {
        match is_stopped {
            true => _ = self.stopped.insert(host),
            false => _ = self.stopped.remove(&host),
        }
    }

    /// A host becomes unavailable for its peers.
    pub(crate) fn host_left(&mut self, host: u32) {
        self.absences.push(Absence { host, from: Instant::now(), to: None });
    }

    /// A host is available for its peers.
    pub(crate) fn host_returned(&mut self, host: u32) {
        let is_open = |absence: &&mut Absence| absence.host == host && absence.to.is_none();
        if let Some(absence) = self.absences.iter_mut().rev().find(is_open) {
            absence.to = Some(Instant::now());
        }
    }

    /// The network between two sets of hosts is cut.
    pub(crate) fn cut_began(&mut self, id: u64, from: HashSet<u32>, to: HashSet<u32>) {
        self.cuts.insert(id, Cut { sides: (from, to), from: Instant::now(), to: None });
    }

    /// A cut is over.
    pub(crate) fn cut_ended(&mut self, id: u64) {
        if let Some(cut) = self.cuts.remove(&id) {
            self.past_cuts.push(Cut { to: Some(Instant::now()), ..cut });
        }
    }

    /// Whether the faults excuse that `observer` held `host` dead at that time: the host was absent or cut off from it then, or had
    /// been less than `grace` before.
    pub(super) fn excuses(&self, observer: u32, host: u32, at: Instant, grace: Duration) -> bool {
        let applies = |from: Instant, to: Option<Instant>| from <= at && to.is_none_or(|to| to + grace >= at);
        let was_absent =
            self.absences.iter().any(|absence| absence.host == host && applies(absence.from, absence.to));
        let mut cuts = self.past_cuts.iter().chain(self.cuts.values());
        was_absent || cuts.any(|cut| cut.separates(observer, host) && applies(cut.from, cut.to))
    }
}
