//! The slots of a client. Each slot holds one session at a time and reconnects after a backoff.

use crate::operation::Op;
use crate::transport::Transport;
use std::collections::BTreeSet;
use tackmast::interface::{Instant, TimeDelta};

/// A connected session.
pub(super) struct Session {
    pub(super) transport: Box<dyn Transport>,
    /// Whether the handshake is complete.
    pub(super) is_ready: bool,
    /// Numbers of the calls in flight on this session.
    pub(super) in_flight: BTreeSet<u64>,
}

/// The connection state of a slot.
pub(super) enum SlotState {
    /// The slot is not connected; the next connect is due at this time.
    Disconnected(Instant),
    Connecting,
    Connected(Session),
    /// The gateway refused the session permanently; the slot is not connected again.
    Refused,
}

/// A slot of the pool, which holds one session after another.
pub(super) struct Slot {
    pub(super) state: SlotState,
    /// Number of consecutive connects and handshakes that failed.
    pub(super) failures: u32,
}

/// All slots of a client.
pub(super) struct SlotTable {
    slots: Vec<Slot>,
    /// Index at which the search for a session begins. Sessions are used in round-robin order.
    next: usize,
}

impl SlotTable {
    /// Creates `count` slots, each due for a connect at `now`.
    pub(super) fn new(now: Instant, count: usize) -> Self {
        let slot = |_| Slot { state: SlotState::Disconnected(now), failures: 0 };
        SlotTable { slots: (0..count).map(slot).collect(), next: 0 }
    }

    /// Returns whether the gateway has refused the sessions of all slots permanently.
    pub(super) fn are_all_refused(&self) -> bool {
        self.slots.iter().all(|slot| matches!(slot.state, SlotState::Refused))
    }

    pub(super) fn slot_mut(&mut self, slot: usize) -> &mut Slot {
        &mut self.slots[slot]
    }

    /// Returns the session of a slot, or `None` if the slot is not connected.
    pub(super) fn session_mut(&mut self, slot: usize) -> Option<&mut Session> {
        self.slots.get_mut(slot).and_then(Slot::session_mut)
    }

    /// Returns all connected sessions with the indexes of their slots.
    pub(super) fn sessions_mut(&mut self) -> impl Iterator<Item = (usize, &mut Session)> {
        self.slots.iter_mut().enumerate().filter_map(|(index, slot)| Some((index, slot.session_mut()?)))
    }

    /// Marks the slots whose connect is due at `now` as connecting, and returns their indexes.
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

    /// Submits an operation to the next session that is ready and has capacity. Returns the slot, or `None` if there is no such
    /// session.
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

    /// Returns the time of the next connect, or `None` if no slot waits for one.
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
