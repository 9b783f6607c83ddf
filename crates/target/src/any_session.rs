//! A session of either protocol, with the same methods for both.

use crate::error::SessionError;
use crate::event::{Event, Verdict};
use crate::iscsi::IscsiSession;
use crate::nbd::NbdSession;
use bytes::Bytes;

/// A target session of either protocol.
pub enum AnySession {
    /// A session of the iSCSI-style protocol.
    Iscsi(IscsiSession),
    /// A session of the Network Block Device protocol.
    Nbd(NbdSession),
}

macro_rules! delegate {
    ($self:ident, $session:ident => $call:expr) => {
        match $self {
            AnySession::Iscsi($session) => $call,
            AnySession::Nbd($session) => $call,
        }
    };
}

impl AnySession {
    /// Handles bytes that the client sent. After an error the connection must be closed; the output still holds the
    /// answers that were produced before the error.
    pub fn handle_bytes(&mut self, bytes: &[u8]) -> Result<(), SessionError> {
        delegate!(self, session => session.handle_bytes(bytes))
    }

    /// Returns the next event for the host, or `None` if there is none.
    pub fn poll_event(&mut self) -> Option<Event> {
        delegate!(self, session => session.poll_event())
    }

    /// Takes the bytes that are to be written to the client. Empty bytes mean that there is no output.
    pub fn poll_transmit(&mut self) -> Bytes {
        delegate!(self, session => session.poll_transmit())
    }

    /// Returns the number of output bytes that `poll_transmit` has not returned yet.
    pub fn pending_output(&self) -> usize {
        delegate!(self, session => session.pending_output())
    }

    /// Returns whether the session has ended, so that the connection must be closed once the output is written.
    pub fn is_over(&self) -> bool {
        delegate!(self, session => session.is_over())
    }

    /// Returns whether the client has completed the iSCSI login or the NBD handshake. An iSCSI session that has ended
    /// returns `false`.
    pub fn is_logged_in(&self) -> bool {
        delegate!(self, session => session.is_logged_in())
    }

    /// Makes the session refuse its client's login, because the host has reached its limit of sessions.
    pub fn refuse(&mut self) {
        delegate!(self, session => session.refuse())
    }

    /// Answers a command. Returns `false` if the command is not open, because it was answered or aborted.
    pub fn answer(&mut self, command: u32, verdict: Verdict) -> bool {
        delegate!(self, session => session.answer(command, verdict))
    }

    /// Returns whether nothing more may be read from the client until a command is answered. An iSCSI session never
    /// pauses, since the command window limits its client.
    pub fn is_paused(&self) -> bool {
        match self {
            AnySession::Iscsi(_) => false,
            AnySession::Nbd(session) => session.is_paused(),
        }
    }
}
