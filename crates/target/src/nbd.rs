//! An NBD session of the target: the fixed newstyle handshake and the transmission phase, with the same events and verdicts as the
//! iSCSI-style session has.

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
    /// Where it begins in the export, in bytes.
    offset: u64,
    is_write: bool,
}

/// An NBD session.
pub struct NbdSession {
    offer: Arc<Offer>,
    /// The session's number at the host.
    number: u16,
    units: Arc<Vec<Unit>>,
    /// The volume that the client has opened.
    unit: Option<Unit>,
    input: ClientUnits,
    output: BytesMut,
    events: VecDeque<Event>,
    /// Whether the client leaves out the zeroes of the oldest handshake.
    no_zeroes: bool,
    structured_replies: bool,
    /// Version of the additions that both sides speak; 0: none.
    additions: u16,
    last_command: u32,
    /// By command number.
    open: BTreeMap<u32, OpenCommand>,
    commands_by_cookie: HashMap<u64, u32>,
    is_over: bool,
    is_refused: bool,
}

impl NbdSession {
    /// A session whose greeting is ready to be sent; `number` is its number at the host.
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
            additions: 0,
            last_command: 0,
            open: BTreeMap::new(),
            commands_by_cookie: HashMap::new(),
            is_over: false,
            is_refused: false,
        }
    }

    /// Makes the session answer its options with a refusal: the host has as many sessions as it may.
    pub fn refuse(&mut self) {
        self.is_refused = true;
    }

    /// What the session wants from the host.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Bytes to be written to the client; empty: none.
    pub fn poll_transmit(&mut self) -> Bytes {
        self.output.split().freeze()
    }

    /// Bytes of output that `poll_transmit` has not given yet.
    pub fn pending_output(&self) -> usize {
        self.output.len()
    }

    /// Whether the connection is to be closed once the output is written.
    pub fn is_over(&self) -> bool {
        self.is_over
    }

    /// Whether the handshake is over.
    pub fn is_logged_in(&self) -> bool {
        self.input.stage == Stage::Transmission
    }

    /// Whether no more may be read from the client until a command is answered. The protocol has no window, so a client with a whole
    /// window of commands open is not read from.
    pub fn is_paused(&self) -> bool {
        self.open.len() >= self.offer.window as usize
    }

    /// Takes bytes of the client, and those that were received while the session was paused. After an error the connection must be
    /// closed; what was answered so far is in the output.
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

    /// Answers a command; false: it has its answer, or was aborted.
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
