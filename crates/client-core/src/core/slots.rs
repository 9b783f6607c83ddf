//! The places of a client's sessions: each is connected, or waits for its next connect.

use crate::operation::Op;
use crate::transport::Transport;
use std::collections::BTreeSet;
use tackmast::interface::{Instant, TimeDelta};

/// A connected session.
pub(super) struct Session {
    pub(super) transport: Box<dyn Transport>,
    /// Whether its handshake is over.
    pub(super) is_ready: bool,
    /// Numbers of the calls in flight there.
    pub(super) in_flight: BTreeSet<u64>,
}

/// What becomes of a slot.
pub(super) enum SlotState {
    /// Is to be connected at that time.
    Disconnected(Instant),
    Connecting,
    Connected(Session),
    /// The gateway serves no session here, now or later.
    Refused,
}

/// A place for one session after another.
pub(super) struct Slot {
    pub(super) state: SlotState,
    /// Connects and handshakes that failed in a row.
    pub(super) failures: u32,
}

/// All slots of a client.
pub(super) struct SlotTable {
    slots: Vec<Slot>,
    /// Where the search for a session begins: sessions are used in rotation.
    next: usize,
}

impl SlotTable {
    /// So many slots, each to be connected at once.
    pub(super) fn new(now: Instant, count: usize) -> Self {
        let slot = |_| Slot { state: SlotState::Disconnected(now), failures: 0 };
        SlotTable { slots: (0..count).map(slot).collect(), next: 0 }
    }

    /// Whether the gateway refuses all sessions for good.
    pub(super) fn are_all_refused(&self) -> bool {
        self.slots.iter().all(|slot| matches!(slot.state, SlotState::Refused))
    }

    pub(super) fn slot_mut(&mut self, slot: usize) -> &mut Slot {
        &mut self.slots[slot]
    }

    /// The session of a slot, where it is connected.
    pub(super) fn session_mut(&mut self, slot: usize) -> Option<&mut Session> {
        self.slots.get_mut(slot).and_then(Slot::session_mut)
    }

    /// All connected sessions with their slots.
    pub(super) fn sessions_mut(&mut self) -> impl Iterator<Item = (usize, &mut Session)> {
        self.slots.iter_mut().enumerate().filter_map(|(index, slot)| Some((index, slot.session_mut()?)))
    }

    /// Marks the slots that are to be connected now as connecting.
    pub(super) fn begin_connects(&mut self, now: Instant) -> Vec<usize> {
        let mut begun = Vec::new();
        for (index, slot) in self.slots.iter_mut().enumerate() {
            if matches!(slot.state, SlotState::Disconnected(at) if at <= now) {
                slot.state = SlotState::Connecting;
                begun.push(index);
            }
        }
        begun
    }

    /// Submits an operation to the next session that is ready and has capacity; gives its slot.
    pub(super) fn submit(&mut self, number: u64, op: &Op, time_left: TimeDelta) -> Option<usize> {
        for offset in 0..self.slots.len() {
            let slot = (self.next + offset) % self.slots.len();
            let Some(session) = self.session_mut(slot).filter(|session| session.is_ready) else { continue };
            if session.transport.submit(number, op, time_left) {
                session.in_flight.insert(number);
                self.next = slot + 1;
                return Some(slot);
            }
        }
        None
    }

    /// When the next connect is to be made.
    pub(super) fn next_connect(&self) -> Option<Instant> {
        let connects = self.slots.iter().filter_map(|slot| match slot.state {
            SlotState::Disconnected(at) => Some(at),
            SlotState::Connecting | SlotState::Connected(_) | SlotState::Refused => None,
        });
        connects.min()
    }
}

impl Slot {
    fn session_mut(&mut self) -> Option<&mut Session> {
        match &mut self.state {
            SlotState::Connected(session) => Some(session),
            SlotState::Disconnected(_) | SlotState::Connecting | SlotState::Refused => None,
        }
    }
}
