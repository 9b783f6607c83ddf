//! The NBD transport: handshake, negotiation of the gateway's protocol additions, and the transmission phase.

mod handshake;
mod replies;

use crate::operation::{Op, Outcome, Volume, VolumeAddress};
use crate::transport::{SessionEvent, Transport, TransportError};
use bytes::{Bytes, BytesMut};
use std::collections::{HashMap, VecDeque};
use tackmast::interface::TimeDelta;
use tackmast_wire::nbd::{command, Request, ServerUnit, ServerUnits};

/// Newest version of the gateway's additions to NBD that this library supports.
pub const ADDITIONS: u16 = 1;
/// Largest size of one read, in bytes.
const MAX_READ: u32 = 16 << 20;
/// Largest size of one call, in bytes, where the server reports no limit.
const DEFAULT_MAX_CALL: u32 = 32 << 20;
/// Largest number of open commands. The public protocol defines no command window.
const MAX_WINDOW: usize = 128;

/// The phase of the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Greeting,
    /// The session waits for the answer to the request for structured replies.
    StructuredReplies,
    /// The session waits for the answer to the request for the gateway's additions.
    Additions,
    /// The session waits for the answer to NBD_OPT_GO, which opens the volume.
    Go,
    Ready,
    Closed,
}

/// A command in flight.
struct PendingCommand {
    /// The caller's tag, or `None` if the answer is ignored.
    caller_tag: Option<u64>,
    /// Offset of the request in the volume, in bytes.
    offset: u64,
    /// Number of bytes that the command reads.
    read_bytes: usize,
    download: BytesMut,
    /// Number of bytes of the read received so far.
    received_bytes: usize,
    /// The outcome, if the server reported an error.
    failure: Option<Outcome>,
}

/// A session of the NBD transport.
pub struct NbdClient {
    address: VolumeAddress,
    input: ServerUnits,
    output: BytesMut,
    events: VecDeque<SessionEvent>,
    phase: Phase,
    /// Version of the additions that the session requests; 0 requests none.
    offered_additions: u16,
    /// Negotiated version of the additions; 0 means none.
    additions: u16,
    /// Whether the session does not request structured replies either.
    simple_replies_only: bool,
    volume: Volume,
    /// Number of commands that may be open at a time.
    window: usize,
    last_cookie: u64,
    /// Open commands by cookie.
    pending: HashMap<u64, PendingCommand>,
    cookies_by_tag: HashMap<u64, u64>,
}

impl NbdClient {
    /// Creates a session that requests the version `offered_additions` of the additions. With 0 it uses only the public protocol, and
    /// with `simple_replies_only` not even structured replies.
    pub fn new(address: VolumeAddress, offered_additions: u16, simple_replies_only: bool) -> Self {
        NbdClient {
            address,
            input: ServerUnits::new(MAX_READ),
            output: BytesMut::new(),
            events: VecDeque::new(),
            phase: Phase::Greeting,
            offered_additions,
            additions: 0,
            simple_replies_only,
            volume: Volume { bytes: 0, block_bytes: 512, max_bytes: DEFAULT_MAX_CALL },
            window: MAX_WINDOW,
            last_cookie: 0,
            pending: HashMap::new(),
            cookies_by_tag: HashMap::new(),
        }
    }

    /// Sends a request and returns its cookie.
    fn send_request(&mut self, caller_tag: Option<u64>, request: Request) -> u64 {
        self.last_cookie += 1;
        let (kind, offset, length) = (request.kind, request.offset, request.length);
        Request { cookie: self.last_cookie, ..request }.encode(&mut self.output);
        let pending = PendingCommand {
            caller_tag,
            offset,
            read_bytes: if kind == command::READ { length as usize } else { 0 },
            download: BytesMut::new(),
            received_bytes: 0,
            failure: None,
        };
        self.pending.insert(self.last_cookie, pending);
        self.last_cookie
    }

    /// Returns the deadline that a request carries, in microseconds from now, or `None` if no additions were negotiated.
    fn deadline_us(&self, time_left: TimeDelta) -> Option<u64> {
        (self.additions > 0).then(|| (time_left.secs() * 1e6).max(1.0) as u64)
    }
}

/// Returns a request without a cookie, flags or a deadline.
fn request(kind: u16, offset: u64, length: u32) -> Request {
    Request { flags: 0, kind, cookie: 0, offset, length, deadline_us: None }
}

impl Transport for NbdClient {
    fn handle_bytes(&mut self, bytes: &[u8]) -> Result<(), TransportError> {
        self.input.push(bytes);
        while self.phase != Phase::Closed {
            let pending = &self.pending;
            let read_bytes = |cookie: u64| pending.get(&cookie).map_or(0, |command| command.read_bytes);
            let Some(unit) = self.input.next_unit(read_bytes)? else { break };
            match unit {
                ServerUnit::Reply(reply) => self.on_reply(reply)?,
                other => self.on_handshake(other)?,
            }
        }
        Ok(())
    }

    fn poll_transmit(&mut self) -> Bytes {
        self.output.split().freeze()
    }

    fn poll_event(&mut self) -> Option<SessionEvent> {
        self.events.pop_front()
    }

    fn submit(&mut self, tag: u64, operation: &Op, time_left: TimeDelta) -> bool {
        if self.phase != Phase::Ready || self.pending.len() >= self.window {
            return false;
        }
        let (offset, length) = (operation.offset(), operation.bytes() as u32);
        let deadline_us = self.deadline_us(time_left);
        let request = match operation {
            Op::Read { .. } => Request { deadline_us, ..request(command::READ, offset, length) },
            Op::Write { .. } => Request { deadline_us, ..request(command::WRITE, offset, length) },
            Op::Flush => request(command::FLUSH, offset, length),
        };
        let cookie = self.send_request(Some(tag), request);
        if let Op::Write { data, .. } = operation {
            self.output.extend_from_slice(data);
        }
        self.cookies_by_tag.insert(tag, cookie);
        true
    }

    fn cancel(&mut self, tag: u64) {
        let Some(cookie) = self.cookies_by_tag.remove(&tag) else { return };
        if self.additions > 0 {
            self.pending.remove(&cookie);
            self.send_request(None, request(command::CANCEL, cookie, 0));
        } else if let Some(command) = self.pending.get_mut(&cookie) {
            // The public protocol can't cancel a command, so its reply is ignored when it arrives.
            command.caller_tag = None;
        }
    }

    fn close(&mut self) {
        request(command::DISCONNECT, 0, 0).encode(&mut self.output);
        self.phase = Phase::Closed;
    }
}
