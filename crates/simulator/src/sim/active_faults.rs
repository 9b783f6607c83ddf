//! Which faults are active. Several faults of one kind may overlap at one place: the last of them undoes what they did, and
//! until then the one that began last is in effect.

use crate::world::{FaultKind, InjectedFault};
use std::mem::discriminant;

/// What a fault affects.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Place {
    World,
    Node(u32),
    Host(u32),
    Link { host: u32, node: u32 },
}

impl Place {
    fn of(fault: &InjectedFault) -> Place {
        let (node, host) = (fault.node, fault.host.unwrap_or(0));
        match fault.kind {
            FaultKind::Slow(_)
            | FaultKind::Errors(_)
            | FaultKind::Neighbour(_)
            | FaultKind::Heavy(..)
            | FaultKind::Pause
            | FaultKind::Silent
            | FaultKind::Restart
            | FaultKind::Deploy
            | FaultKind::Drain
            | FaultKind::Resets => Place::Node(node),
            FaultKind::HostKill | FaultKind::HostLeaves | FaultKind::HostStands => Place::Host(host),
            FaultKind::Partition => Place::Link { host, node },
            FaultKind::MassRestart
            | FaultKind::ListLate(_)
            | FaultKind::ListFails
            | FaultKind::Surge(_)
            | FaultKind::Leave(_)
            | FaultKind::Order(..)
            | FaultKind::Hangup(_)
            | FaultKind::Hot(_)
            | FaultKind::Split(_)
            | FaultKind::Busiest(..)
            | FaultKind::Plan(..) => Place::World,
        }
    }
}

/// What the end of a fault means for the others of its kind at its place.
pub(super) enum FaultEnd {
    /// It was the only one: what it did is undone.
    Undo,
    /// It was in effect, and this earlier one is again.
    Restore(InjectedFault),
    /// One that began later stays in effect.
    NoChange,
}

/// A fault with its index among those of the world.
struct ActiveFault {
    index: usize,
    fault: InjectedFault,
}

impl ActiveFault {
    fn overlaps(&self, other: &InjectedFault) -> bool {
        discriminant(&self.fault.kind) == discriminant(&other.kind)
            && Place::of(&self.fault) == Place::of(other)
    }
}

/// The active faults, in the order in which they began.
#[derive(Default)]
pub(super) struct ActiveFaults {
    faults: Vec<ActiveFault>,
}

impl ActiveFaults {
    /// Adds a fault that begins.
    pub(super) fn begin(&mut self, index: usize, fault: InjectedFault) {
        self.faults.push(ActiveFault { index, fault });
    }

    /// Removes a fault that ends.
    pub(super) fn end(&mut self, index: usize) -> FaultEnd {
        let Some(position) = self.faults.iter().position(|active| active.index == index) else {
            return FaultEnd::NoChange;
        };
        let ended = self.faults.remove(position).fault;
        let newest = self.faults.iter().rposition(|active| active.overlaps(&ended));
        match newest {
            None => FaultEnd::Undo,
            Some(newest) if newest < position => FaultEnd::Restore(self.faults[newest].fault),
            Some(_) => FaultEnd::NoChange,
        }
    }

    /// Whether a host is killed or has left, and its next process must not start yet.
    pub(super) fn keep_host_down(&self, host: u32) -> bool {
        let keeps_down = |fault: &InjectedFault| {
            let is_down = matches!(fault.kind, FaultKind::HostKill | FaultKind::HostLeaves);
            is_down && Place::of(fault) == Place::Host(host)
        };
        self.faults.iter().any(|active| keeps_down(&active.fault))
    }
}
