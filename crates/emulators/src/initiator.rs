//! A scripted client: an iSCSI initiator that keeps to the protocol, or violates it on command. It records what it requested and how
//! it was answered.

mod login;
mod reader;
mod submission;

pub use login::{Login, LoginError};
pub use submission::{IoOperation, IoRequest};

use crate::iscsi_fields as field;
use crate::threads::lock;
use bytes::{Bytes, BytesMut};
use crossbeam_channel::Sender;
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use tackmast_trace::{Event, Recorder};
use tackmast_wire::iscsi::{self, op, Digests, Pdu, FINAL};
use tackmast_wire::scsi::Sense;

/// Bytes of one unit at most.
const MAX_UNIT_BYTES: usize = 16 << 20;
/// Set in the first byte of a request that is to be handled at once, outside the command window.
const IMMEDIATE: u8 = 0x40;
/// The task management function that aborts one task.
const ABORT_TASK: u8 = 1;
/// Set in the tag of an abort, so that it differs from those of commands.
const ABORT_TAG: u32 = 0x8000_0000;
/// Set in the tag of a logout, so that it differs from those of commands.
const LOGOUT_TAG: u32 = 0x4000_0000;

/// How a command ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The command was done; the bytes that it read.
    Done(Bytes),
    /// The command did not run; a retry is safe.
    Rejected {
        /// How long the client should wait before a retry.
        retry_after_us: u64,
    },
    /// No promise about its effect.
    Failed,
    /// The command itself was wrong.
    InvalidRequest(Sense),
    /// The session ended before an answer.
    Lost,
}

/// A reply to the command with this label.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LabelledReply {
    /// The label that the command was submitted with.
    pub label: u64,
    /// How it ended.
    pub reply: Reply,
}

struct PendingCommand {
    label: u64,
    /// The bytes that it writes.
    upload: Bytes,
    /// The bytes that it has read so far.
    data: BytesMut,
    is_recorded: bool,
}

struct SessionState {
    /// CmdSN of the next command.
    next_number: u32,
    /// The last CmdSN that the host takes.
    window_end: u32,
    /// ExpStatSN.
    expected_status: u32,
    /// By their CmdSN, which is their tag too.
    pending: HashMap<u32, PendingCommand>,
    is_open: bool,
}

struct Session {
    state: Mutex<SessionState>,
    window_changed: Condvar,
    writer: Mutex<TcpStream>,
    digests: Digests,
    /// Bytes that a command may send without being asked for them.
    first_burst_bytes: usize,
    /// Bytes of a piece of data at most.
    segment_bytes: usize,
    /// Whether a command may carry data itself.
    has_immediate_data: bool,
    replies: Sender<LabelledReply>,
    recorder: Recorder,
    host: u32,
    number: u32,
}

/// An open session. Replies are sent to the channel given at login, with the label of their command.
#[derive(Clone)]
pub struct Initiator {
    inner: Arc<Session>,
    /// Number of the session at the host.
    pub session: u32,
}

impl Initiator {
    /// Logs in at a host, which has this number.
    pub fn login(
        login: &Login,
        host: u32,
        replies: Sender<LabelledReply>,
        recorder: Recorder,
    ) -> Result<Initiator, LoginError> {
        let inner = login::open(login, host, replies, recorder)?;
        Ok(Initiator { session: inner.number, inner })
    }

    /// Whether the session can still be used.
    pub fn is_open(&self) -> bool {
        lock(&self.inner.state).is_open
    }

    /// Aborts a command, which gets no answer any more.
    pub fn abort(&self, command: u32) {
        let session = &self.inner;
        let mut writer = lock(&session.writer);
        let mut state = lock(&session.state);
        let mut pdu = Pdu::new(op::TASK | IMMEDIATE, FINAL | ABORT_TASK);
        pdu.set32(field::TASK_TAG, state.next_number ^ ABORT_TAG)
            .set32(field::REFERENCED_TAG, command)
            .set32(field::COMMAND_NUMBER, state.next_number)
            .set32(field::EXPECTED_STATUS, state.expected_status)
            .set32(field::REFERENCED_COMMAND, command);
        let pending = state.pending.remove(&command);
        drop(state);
        if pending.is_some_and(|pending| pending.is_recorded) {
            session.note_given_up(command);
        }
        _ = session.write(&mut writer, &pdu);
    }

    /// Sends bytes as they are, for clients that violate the protocol.
    pub fn send_raw(&self, bytes: &[u8]) {
        _ = lock(&self.inner.writer).write_all(bytes);
    }

    /// The number that the next command would have.
    pub fn next_number(&self) -> u32 {
        lock(&self.inner.state).next_number
    }

    /// Closes the connection without a logout; commands without an answer are given up.
    pub fn close(&self) {
        self.inner.give_up_all();
        _ = lock(&self.inner.writer).shutdown(Shutdown::Both);
    }

    /// Logs out; commands without an answer are given up.
    pub fn logout(&self) {
        let session = &self.inner;
        session.give_up_all();
        let mut state = lock(&session.state);
        let mut pdu = Pdu::new(op::LOGOUT | IMMEDIATE, FINAL);
        pdu.set32(field::TASK_TAG, state.next_number ^ LOGOUT_TAG)
            .set32(field::COMMAND_NUMBER, state.next_number)
            .set32(field::EXPECTED_STATUS, state.expected_status);
        state.is_open = false;
        drop(state);
        _ = session.write(&mut lock(&session.writer), &pdu);
    }
}

impl Session {
    fn write(&self, writer: &mut TcpStream, pdu: &Pdu) -> io::Result<()> {
        let mut bytes = BytesMut::new();
        iscsi::encode(pdu, self.digests, &mut bytes);
        writer.write_all(&bytes)
    }

    fn note_given_up(&self, command: u32) {
        self.recorder.note(Event::Left { host: self.host, session: self.number, command });
    }

    fn give_up_all(&self) {
        let mut state = lock(&self.state);
        state.is_open = false;
        let recorded = state.pending.iter().filter(|(_, pending)| pending.is_recorded);
        let given_up: Vec<u32> = recorded.map(|(number, _)| *number).collect();
        drop(state);
        given_up.into_iter().for_each(|command| self.note_given_up(command));
    }
}
