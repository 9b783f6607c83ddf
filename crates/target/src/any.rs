//! A session of either protocol, behind one face for the shell.

use crate::nbd::NbdSession;
use crate::session::{Event, Session, SessionError, Verdict};
use bytes::Bytes;

pub enum AnySession {
    Iscsi(Session),
    Nbd(NbdSession),
}

macro_rules! either {
    ($self:ident, $s:ident => $call:expr) => {
        match $self {
            AnySession::Iscsi($s) => $call,
            AnySession::Nbd($s) => $call,
        }
    };
}

impl AnySession {
    pub fn take(&mut self, bytes: &[u8]) -> Result<(), SessionError> {
        either!(self, s => s.take(bytes))
    }
    pub fn next_event(&mut self) -> Option<Event> {
        either!(self, s => s.next_event())
    }
    pub fn output(&mut self) -> Bytes {
        either!(self, s => s.output())
    }
    pub fn pending(&self) -> usize {
        either!(self, s => s.pending())
    }
    pub fn is_over(&self) -> bool {
        either!(self, s => s.is_over())
    }
    pub fn is_full(&self) -> bool {
        either!(self, s => s.is_full())
    }
    pub fn turn_away(&mut self) {
        either!(self, s => s.turn_away())
    }
    pub fn answer(&mut self, command: u32, verdict: Verdict) -> bool {
        either!(self, s => s.answer(command, verdict))
    }
    /// Whether nothing more may be read from the client until something is answered.
    pub fn is_paused(&self) -> bool {
        match self {
            AnySession::Iscsi(_) => false,
            AnySession::Nbd(s) => s.is_paused(),
        }
    }
}
