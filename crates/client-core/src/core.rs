//! Calls over a pool of sessions: which session takes a call, when it is tried again, and its one final answer by its
//! deadline at the latest.

use crate::op::{Op, Outcome, SessionEvent, Transport, Volume};
use crate::retry::{Budget, End, Next, Policy};
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use tackmast::interface::{Instant, TimeDelta};

#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub sessions: usize,
    /// Calls and bytes of calls that may be open.
    pub calls: usize,
    pub bytes: usize,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    Connect {
        slot: usize,
    },
    Write {
        slot: usize,
        bytes: Bytes,
    },
    Close {
        slot: usize,
    },
    Answer {
        call: u64,
        outcome: Outcome,
    },
    /// A first session is up.
    Ready(Volume),
    /// No session can be had, and none will: the gateway said why.
    Refused(String),
}

enum Slot {
    /// To be connected at that time.
    Down(Instant),
    Connecting,
    Up {
        session: Box<dyn Transport>,
        ready: bool,
        out: BTreeSet<u64>,
    },
    /// Never again.
    Refused,
}

struct Call {
    op: Op,
    deadline: Instant,
    tries: u32,
    /// Where it is out; none: it waits.
    slot: Option<usize>,
    at: Instant,
    sent: Instant,
    /// Whether a try of it may have had an effect.
    ran: bool,
}

type NewSession = Box<dyn Fn() -> Box<dyn Transport> + Send>;

pub struct Core {
    bounds: Bounds,
    new_session: NewSession,
    slots: Vec<Slot>,
    failures: Vec<u32>,
    calls: HashMap<u64, Call>,
    bytes: usize,
    /// Waiting calls by the time of their next try, and all by their deadline.
    waiting: BTreeMap<(Instant, u64), ()>,
    deadlines: BTreeSet<(Instant, u64)>,
    budget: Budget,
    volume: Option<Volume>,
    outputs: VecDeque<Output>,
    turn: usize,
}

impl Core {
    pub fn new(now: Instant, bounds: Bounds, policy: Policy, seed: u64, new_session: NewSession) -> Self {
        let sessions = bounds.sessions.max(1);
        Core {
            bounds,
            new_session,
            slots: (0..sessions).map(|_| Slot::Down(now)).collect(),
            failures: vec![0; sessions],
            calls: HashMap::new(),
            bytes: 0,
            waiting: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            budget: Budget::new(policy, seed),
            volume: None,
            outputs: VecDeque::new(),
            turn: 0,
        }
    }

    pub fn open(&self) -> usize {
        self.calls.len()
    }

    /// A call, under a number of the caller's. It has one answer, at `deadline` at the latest.
    pub fn call(&mut self, now: Instant, number: u64, op: Op, deadline: Instant) {
        let reject = |text: String| Output::Answer { call: number, outcome: Outcome::InvalidRequest(text) };
        if let Some(v) = self.volume {
            let (offset, length) = match &op {
                Op::Read { offset, length } => (*offset, u64::from(*length)),
                Op::Write { offset, data } => (*offset, data.len() as u64),
                Op::Flush => (0, 0),
            };
            let block = u64::from(v.block_bytes);
            let problem = if !offset.is_multiple_of(block) || !length.is_multiple_of(block) {
                Some(format!("{length} bytes at {offset}; expected whole blocks of {block}"))
            } else if offset.checked_add(length).is_none_or(|end| end > v.bytes) {
                Some(format!("{length} bytes at {offset}; expected them within {}", v.bytes))
            } else if length > u64::from(v.max_bytes) {
                Some(format!("{length} bytes; expected at most {} in one call", v.max_bytes))
            } else {
                None
            };
            if let Some(text) = problem {
                return self.outputs.push_back(reject(text));
            }
        }
        if self.calls.len() >= self.bounds.calls || self.bytes + op.bytes() > self.bounds.bytes {
            let outcome = Outcome::Rejected { retry_after: None };
            return self.outputs.push_back(Output::Answer { call: number, outcome });
        }
        if self.slots.iter().all(|s| matches!(s, Slot::Refused)) {
            return self.outputs.push_back(reject("no session: the gateway refused them all".into()));
        }
        self.bytes += op.bytes();
        self.budget.first_try();
        self.calls
            .insert(number, Call { op, deadline, tries: 0, slot: None, at: now, sent: now, ran: false });
        self.waiting.insert((now, number), ());
        self.deadlines.insert((deadline, number));
    }

    /// The caller no longer waits.
    pub fn cancel(&mut self, number: u64) {
        if let Some(c) = self.forget(number) {
            self.call_back(number, &c);
        }
    }

    fn call_back(&mut self, number: u64, c: &Call) {
        let slot = c.slot.and_then(|s| self.slots.get_mut(s));
        if let Some(Slot::Up { session, out, .. }) = slot {
            out.remove(&number);
            session.cancel(number);
        }
    }

    fn forget(&mut self, number: u64) -> Option<Call> {
        let c = self.calls.remove(&number)?;
        self.bytes -= c.op.bytes();
        self.waiting.remove(&(c.at, number));
        self.deadlines.remove(&(c.deadline, number));
        Some(c)
    }

    fn answer(&mut self, number: u64, outcome: Outcome) {
        if self.forget(number).is_some() {
            self.outputs.push_back(Output::Answer { call: number, outcome });
        }
    }

    pub fn connected(&mut self, slot: usize) {
        let session = (self.new_session)();
        self.slots[slot] = Slot::Up { session, ready: false, out: BTreeSet::new() };
    }

    /// The connection ended, or none could be made.
    pub fn closed(&mut self, now: Instant, slot: usize) {
        let old = std::mem::replace(&mut self.slots[slot], Slot::Refused);
        let out = match old {
            Slot::Refused => return,
            Slot::Up { out, ready, .. } => {
                self.failures[slot] = if ready { 0 } else { self.failures[slot] + 1 };
                out
            }
            Slot::Down(_) | Slot::Connecting => {
                self.failures[slot] += 1;
                BTreeSet::new()
            }
        };
        let wait = self.budget.connect_wait(self.failures[slot]);
        self.slots[slot] = Slot::Down(now + wait);
        for number in out {
            self.ended(now, number, End::Lost);
        }
    }

    pub fn took(&mut self, now: Instant, slot: usize, bytes: &[u8]) {
        let Some(Slot::Up { session, ready, .. }) = self.slots.get_mut(slot) else { return };
        let taken = session.take(bytes);
        let mut events = Vec::new();
        while let Some(e) = session.next_event() {
            events.push(e);
        }
        let mut refused = None;
        let mut answers = Vec::new();
        for e in events {
            match e {
                SessionEvent::Ready(v) => {
                    *ready = true;
                    self.failures[slot] = 0;
                    if self.volume.is_none() {
                        self.outputs.push_back(Output::Ready(v));
                    }
                    self.volume = Some(v);
                }
                SessionEvent::Answer { tag, outcome } => answers.push((tag, outcome)),
                SessionEvent::Refused { text, again } => refused = Some((text, again)),
            }
        }
        for (number, outcome) in answers {
            if let Some(Slot::Up { out, .. }) = self.slots.get_mut(slot) {
                out.remove(&number);
            }
            match outcome {
                Outcome::Rejected { retry_after } => self.ended(now, number, End::Rejected { retry_after }),
                Outcome::Failed => self.ended(now, number, End::Failed),
                done => self.answer(number, done),
            }
        }
        if let Some((text, again)) = refused {
            self.outputs.push_back(Output::Close { slot });
            self.closed(now, slot);
            if !again {
                self.slots[slot] = Slot::Refused;
                self.outputs.push_back(Output::Refused(text));
                if self.slots.iter().all(|s| matches!(s, Slot::Refused)) {
                    let all: Vec<u64> = self.calls.keys().copied().collect();
                    let none = || Outcome::InvalidRequest("no session: the gateway refused them all".into());
                    all.into_iter().for_each(|n| self.answer(n, none()));
                }
            }
        } else if taken.is_err() {
            // What can't be read can't be followed any further; what was out there is lost.
            self.outputs.push_back(Output::Close { slot });
            self.closed(now, slot);
        }
    }

    /// One try of a call ended without being done.
    fn ended(&mut self, now: Instant, number: u64, end: End) {
        let Some(c) = self.calls.get_mut(&number) else { return };
        c.slot = None;
        c.ran |= matches!(end, End::Failed | End::Lost);
        let (write, tries, took, deadline) = (c.op.is_write(), c.tries, now - c.sent, c.deadline);
        match self.budget.next(now, end, write, tries, took, deadline) {
            Next::Again(at) => {
                if let Some(c) = self.calls.get_mut(&number) {
                    c.at = at;
                    self.waiting.insert((at, number), ());
                }
            }
            Next::Rejected(retry_after) => self.answer(number, Outcome::Rejected { retry_after }),
            Next::Failed => self.answer(number, Outcome::Failed),
        }
    }

    /// Time has passed: expiries, further tries, connects.
    pub fn tick(&mut self, now: Instant) {
        while let Some((_, number)) = self.deadlines.first().copied().filter(|(t, _)| *t <= now) {
            let Some(c) = self.calls.get(&number) else {
                self.deadlines.pop_first();
                continue;
            };
            // Out at its deadline, or tried before with an unknown end: no promise. Else it never ran.
            let unknown = c.slot.is_some() || c.ran;
            let outcome = if unknown { Outcome::Failed } else { Outcome::Rejected { retry_after: None } };
            if let Some(c) = self.forget(number) {
                self.call_back(number, &c);
            }
            self.outputs.push_back(Output::Answer { call: number, outcome });
        }
        for slot in 0..self.slots.len() {
            if matches!(self.slots[slot], Slot::Down(at) if at <= now) {
                self.slots[slot] = Slot::Connecting;
                self.outputs.push_back(Output::Connect { slot });
            }
        }
        let due: Vec<(Instant, u64)> = self.waiting.range(..=(now, u64::MAX)).map(|(k, ())| *k).collect();
        for (at, number) in due {
            if !self.send(now, number) {
                break; // no session has room: those behind wait as well
            }
            self.waiting.remove(&(at, number));
        }
    }

    /// Sessions take turns; one that is not ready or has no room is passed over.
    fn send(&mut self, now: Instant, number: u64) -> bool {
        let Some(c) = self.calls.get_mut(&number) else { return true };
        let left = c.deadline - now;
        for i in 0..self.slots.len() {
            let slot = (self.turn + i) % self.slots.len();
            if let Slot::Up { session, ready: true, out } = &mut self.slots[slot] {
                if session.submit(number, &c.op, left) {
                    out.insert(number);
                    (c.slot, c.tries, c.sent) = (Some(slot), c.tries + 1, now);
                    self.turn = slot + 1;
                    return true;
                }
            }
        }
        false
    }

    pub fn next_output(&mut self) -> Option<Output> {
        if let Some(o) = self.outputs.pop_front() {
            return Some(o);
        }
        for (slot, s) in self.slots.iter_mut().enumerate() {
            if let Slot::Up { session, .. } = s {
                let bytes = session.output();
                if !bytes.is_empty() {
                    return Some(Output::Write { slot, bytes });
                }
            }
        }
        None
    }

    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let deadline = self.deadlines.first().map(|(t, _)| *t);
        // One that waits for room is looked at when an answer makes some.
        let again = self.waiting.keys().map(|(t, _)| *t).find(|t| *t > now);
        let connect = self.slots.iter().filter_map(|s| match s {
            Slot::Down(t) => Some(*t),
            _ => None,
        });
        connect.chain(deadline).chain(again).min()
    }

    /// Ends all sessions; what is open is answered now.
    pub fn end(&mut self) {
        for s in &mut self.slots {
            if let Slot::Up { session, .. } = s {
                session.end();
            }
        }
        let all: Vec<u64> = self.calls.keys().copied().collect();
        for number in all {
            let sent = self.calls.get(&number).is_some_and(|c| c.slot.is_some() || c.ran);
            let none = Outcome::Rejected { retry_after: None };
            self.answer(number, if sent { Outcome::Failed } else { none });
        }
    }

    /// A longer time than any call asks for, where a caller names none.
    pub fn forever() -> TimeDelta {
        TimeDelta::from_secs(86_400.0 * 365.0)
    }
}
