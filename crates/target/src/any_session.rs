//! A session of either protocol, with one set of methods for the host's threads.

use crate::error::SessionError;
use crate::event::{Event, Verdict};
use crate::iscsi::IscsiSession;
use crate::nbd::NbdSession;
use bytes::Bytes;

/// A session of either protocol.
pub enum AnySession {
    /// iSCSI-style.
    Iscsi(IscsiSession),
    /// The Network Block Device protocol.
    Nbd(NbdSession),
}

macro_rules! either {
    ($self:ident, $session:ident => $call:expr) => {
        match $self {
            AnySession::Iscsi($session) => $call,
            AnySession::Nbd($session) => $call,
        }
    };
}

impl AnySession {
    /// Takes bytes of the client. After an error the connection must be closed; what was answered so far is in the output.
    pub fn handle_bytes(&mut self, bytes: &[u8]) -> Result<(), SessionError> {
        either!(self, session => session.handle_bytes(bytes))
    }

    /// What the session wants from the host.
    pub fn poll_event(&mut self) -> Option<Event> {
        either!(self, session => session.poll_event())
    }

    /// Bytes to be written to the client; empty: none.
    pub fn poll_transmit(&mut self) -> Bytes {
        either!(self, session => session.poll_transmit())
    }

    /// Bytes of output that `poll_transmit` has not given yet.
    pub fn pending_output(&self) -> usize {
        either!(self, session => session.pending_output())
    }

    /// Whether the connection is to be closed once the output is written.
    pub fn is_over(&self) -> bool {
        either!(self, session => session.is_over())
    }

    /// Whether the login, or the handshake, is over.
    pub fn is_logged_in(&self) -> bool {
        either!(self, session => session.is_logged_in())
    }

    /// Makes the session answer its login with a refusal: the host has as many sessions as it may.
    pub fn refuse(&mut self) {
        either!(self, session => session.refuse())
    }

    /// Answers a command; false: it has its answer, or was aborted.
    pub fn answer(&mut self, command: u32, verdict: Verdict) -> bool {
        either!(self, session => session.answer(command, verdict))
    }

    /// Whether no more may be read from the client until a command is answered.
    pub fn is_paused(&self) -> bool {
        match self {
            AnySession::Iscsi(_) => false,
            AnySession::Nbd(session) => session.is_paused(),
        }
    }
}
