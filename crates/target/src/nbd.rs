//! An NBD session: the fixed newstyle handshake and the transmission phase, with the same events and verdicts as an
//! iSCSI-style session.

mod options;
mod replies;
mod requests;

use crate::error::SessionError;
use crate::event::{Ending, Event, Verdict};
use crate::offer::Offer;
use bytes::{BufMut, Bytes, BytesMut};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use tackmast_wire::nbd::{self, ClientUnit, ClientUnits, Stage};
use tackmast_wire::scsi::Unit;

/// A command that has no answer yet.
struct OpenCommand {
    cookie: u64,
    /// The offset of the command's range in the export, in bytes.
    offset: u64,
    is_write: bool,
}

/// An NBD session.
pub struct NbdSession {
    offer: Arc<Offer>,
    /// The session's number at the host.
    number: u16,
    units: Arc<Vec<Unit>>,
    /// The logical unit that the client has opened; `None` during the handshake.
    unit: Option<Unit>,
    input: ClientUnits,
    output: BytesMut,
    events: VecDeque<Event>,
    /// Whether the client negotiated `NO_ZEROES`, which omits the padding after the reply to an export name.
    no_zeroes: bool,
    structured_replies: bool,
    /// The negotiated version of the project's additions to the protocol; 0 if the client did not ask for them.
    additions_version: u16,
    last_command: u32,
    /// The open commands by command number.
    open: BTreeMap<u32, OpenCommand>,
    commands_by_cookie: HashMap<u64, u32>,
    is_over: bool,
    is_refused: bool,
}

impl NbdSession {
    /// Creates a session whose greeting is ready to be sent. `number` is the session's number at the host.
    pub fn new(offer: Arc<Offer>, units: Arc<Vec<Unit>>, number: u16) -> Self {
        let mut output = BytesMut::new();
        output.put_slice(&nbd::greeting());
        NbdSession {
            input: ClientUnits::new(offer.max_command),
            offer,
            number,
            units,
            unit: None,
            output,
            events: VecDeque::new(),
            no_zeroes: false,
            structured_replies: false,
            additions_version: 0,
            last_command: 0,
            open: BTreeMap::new(),
            commands_by_cookie: HashMap::new(),
            is_over: false,
            is_refused: false,
        }
    }

    /// Makes the session refuse its client's options, because the host has reached its limit of sessions.
    pub fn refuse(&mut self) {
        self.is_refused = true;
    }

    /// Returns the next event for the host, or `None` if there is none.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Takes the bytes that are to be written to the client. Empty bytes mean that there is no output.
    pub fn poll_transmit(&mut self) -> Bytes {
        self.output.split().freeze()
    }

    /// Returns the number of output bytes that `poll_transmit` has not returned yet.
    pub fn pending_output(&self) -> usize {
        self.output.len()
    }

    /// Returns whether the session has ended, so that the connection must be closed once the output is written.
    pub fn is_over(&self) -> bool {
        self.is_over
    }

    /// Returns whether the client has completed the handshake.
    pub fn is_logged_in(&self) -> bool {
        self.input.stage == Stage::Transmission
    }

    /// Returns whether nothing more may be read from the client until a command is answered. The protocol has no command
    /// window, so the session stops reading from a client that has a whole window of commands open.
    pub fn is_paused(&self) -> bool {
        self.open.len() >= self.offer.window as usize
    }

    /// Handles bytes that the client sent, after those that were received while the session was paused. After an error
    /// the connection must be closed; the output still holds the answers that were produced before the error.
    pub fn handle_bytes(&mut self, bytes: &[u8]) -> Result<(), SessionError> {
        self.input.push(bytes);
        while !self.is_over && !self.is_paused() {
            let Some(unit) = self.input.next_unit()? else { break };
            match unit {
                ClientUnit::Flags(flags) => self.on_flags(flags)?,
                ClientUnit::Option { option, data } => self.on_option(option, &data),
                ClientUnit::Request { request, data } => self.on_request(request, data),
            }
        }
        Ok(())
    }

    /// Answers a command. Returns `false` if the command is not open, because it was answered or aborted.
    pub fn answer(&mut self, command: u32, verdict: Verdict) -> bool {
        let Some(open) = self.open.remove(&command) else { return false };
        self.commands_by_cookie.remove(&open.cookie);
        self.send_verdict(&open, verdict);
        true
    }

    fn on_flags(&mut self, flags: u32) -> Result<(), SessionError> {
        if flags & !u32::from(nbd::FIXED_NEWSTYLE | nbd::NO_ZEROES) != 0 {
            let expected = "fixed newstyle (1) and no zeroes (2)";
            return Err(SessionError::protocol("client flags", flags, expected));
        }
        self.no_zeroes = flags & u32::from(nbd::NO_ZEROES) != 0;
        self.input.stage = Stage::Options;
        Ok(())
    }

    fn close(&mut self, ending: Ending) {
        self.is_over = true;
        self.events.push_back(Event::Close(ending));
    }
}
