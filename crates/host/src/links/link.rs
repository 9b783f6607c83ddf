//! One link: the thread that writes attempts to a node, and connects to it when needed.

use super::context::LinkContext;
use super::handshake::{connect, ConnectError};
use super::outstanding::{report, Outstanding};
use super::reader::{AnswerReader, ReaderContext};
use crate::lock::lock;
use crate::thread::spawn;
use bytes::BytesMut;
use crossbeam_channel::{Receiver, Sender};
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use tackmast::interface::Outcome;
use tackmast_host_core::{AttemptId, AttemptWork, ClaimResult, OpaqueRequest, SendAttempt, Ticket};
use tackmast_wire::node::{self, Frame, Origin};

/// Number of bytes after which no more attempts are gathered for one write. It is small, because gathered attempts are claimed and can't
/// be withdrawn any more.
const MAX_GATHERED_BYTES: usize = 16 << 10;

/// A command of the core thread to a link.
pub(super) enum LinkCommand {
    /// Send an attempt, unless it has been withdrawn by then.
    Send(Box<SendAttempt>),
    /// Ask the node to cancel an attempt.
    Cancel(AttemptId),
}

/// The current connection of a link, if any. It is shared with the core thread, which may have to reset it while the link writes.
pub(super) type CurrentConnection = Arc<Mutex<Option<TcpStream>>>;

/// An open connection.
struct Connection {
    stream: TcpStream,
    outstanding: Outstanding,
}

/// The writing half of a link.
pub(super) struct Link {
    context: LinkContext,
    /// Given to the reader, which uses it to request a ping or to report that the connection is broken.
    wake: Sender<()>,
    woken: Receiver<()>,
    pub(super) current: CurrentConnection,
    /// Tickets of the attempts whose bytes are gathered or being written.
    writing: Vec<Ticket>,
    connection: Option<Connection>,
}

impl Link {
    /// Returns a link without a connection.
    pub(super) fn new(context: LinkContext) -> Self {
        let (wake, woken) = crossbeam_channel::bounded(1);
        let current = CurrentConnection::default();
        Link { context, wake, woken, current, writing: Vec::new(), connection: None }
    }

    /// Writes attempts until the queue's sender is dropped, because the node is gone or the host stops.
    pub(super) fn run(mut self, queue: &Receiver<LinkCommand>) {
        let woken = self.woken.clone();
        loop {
            let first = crossbeam_channel::select! {
                recv(queue) -> message => match message {
                    Ok(message) => Some(message),
                    // Nothing is in flight if the node is gone; the reader notices at its next read timeout that the writer has ended.
                    Err(_) => return,
                },
                recv(woken) -> _ => None,
            };
            let mut bytes = BytesMut::new();
            if self.is_broken() {
                self.drop_connection();
            } else if first.is_none() && self.connection.is_some() {
                Frame::Ping { number: 0 }.encode(&mut bytes);
            }
            let mut next = first;
            while let Some(message) = next {
                self.gather(message, &mut bytes);
                next = if bytes.len() < MAX_GATHERED_BYTES { queue.try_recv().ok() } else { None };
            }
            self.write(&bytes);
        }
    }

    fn is_broken(&self) -> bool {
        self.connection.as_ref().is_some_and(|connection| connection.outstanding.is_broken())
    }

    /// Drops a broken connection, and the tickets of the attempts that were gathered for it; their ends have been reported. The reset is
    /// sent, and unsent bytes of the socket are discarded, only once all handles to the socket are dropped.
    fn drop_connection(&mut self) {
        self.connection = None;
        self.writing.clear();
        lock(&self.current).take();
    }

    /// Writes the gathered bytes. The tickets are marked as written only after the whole write; until then the core counts their attempts
    /// as not written.
    fn write(&mut self, bytes: &BytesMut) {
        let Some(connection) = &mut self.connection else { return };
        if !connection.outstanding.begin_write() {
            return self.drop_connection();
        }
        if !bytes.is_empty() {
            match connection.stream.write_all(bytes) {
                Ok(()) => self.writing.iter().for_each(Ticket::mark_written),
                Err(error) => {
                    tracing::debug!(node = %self.context.address, %error, "write to the node failed");
                    connection.outstanding.abort(&connection.stream, &self.context.events);
                    self.drop_connection();
                }
            }
        }
        self.writing.clear();
    }

    fn gather(&mut self, message: LinkCommand, bytes: &mut BytesMut) {
        match message {
            LinkCommand::Send(attempt) => self.gather_attempt(*attempt, bytes),
            LinkCommand::Cancel(attempt) => {
                let connection = self.connection.as_ref();
                if connection.is_some_and(|connection| connection.outstanding.contains(attempt)) {
                    Frame::Cancel { attempt: attempt.0 }.encode(bytes);
                }
            }
        }
    }

    fn gather_attempt(&mut self, attempt: SendAttempt, bytes: &mut BytesMut) {
        if self.is_broken() {
            self.drop_connection();
            bytes.clear();
        }
        if let Err(error) = self.ensure_connected() {
            tracing::debug!(node = %self.context.address, %error, "no connection to the node");
            // The attempt never ran. If the core has withdrawn it, its end is known already.
            if attempt.ticket.withdraw() {
                report(&self.context.events, attempt.attempt, error.outcome());
            }
            return;
        }
        let Some(connection) = &self.connection else { return };
        match attempt.try_claim(self.context.clock.now()) {
            ClaimResult::Claimed => {}
            ClaimResult::Withdrawn => return,
            ClaimResult::TooLate => return report(&self.context.events, attempt.attempt, Outcome::Refused),
        }
        if !connection.outstanding.insert(attempt.attempt) {
            // The connection broke after the check above: the attempt is claimed, but no byte of it was sent.
            return report(&self.context.events, attempt.attempt, Outcome::Refused);
        }
        self.writing.push(attempt.ticket.clone());
        self.frame(attempt).encode(bytes);
    }

    fn frame(&self, attempt: SendAttempt) -> Frame {
        let now = self.context.clock.now();
        let time_left = (attempt.deadline - now).secs().max(0.0);
        Frame::Send(node::SendAttempt {
            attempt: attempt.attempt.0,
            request: attempt.request,
            attempt_number: attempt.attempt_number,
            origin: Origin {
                session: attempt.from.session,
                command: attempt.from.command,
                part: attempt.part,
            },
            sent_us: self.context.clock.unix_us(now),
            left_us: (time_left * 1e6).min(f64::from(u32::MAX)) as u32,
            idempotency_key: attempt.idempotency_key,
            key: attempt.key,
            volume: attempt.volume,
            offset: attempt.offset,
            units: attempt.units as f32,
            work: match attempt.work {
                AttemptWork::Read { length } => node::Work::Read { length },
                AttemptWork::Write { data } | AttemptWork::Opaque(OpaqueRequest { body: data, .. }) => {
                    node::Work::Write { data }
                }
            },
        })
    }

    fn ensure_connected(&mut self) -> Result<(), ConnectError> {
        if self.connection.is_none() {
            self.connection = Some(self.connect()?);
        }
        Ok(())
    }

    /// Connects to the node, and starts the reader of the connection.
    fn connect(&self) -> Result<Connection, ConnectError> {
        let established = connect(&self.context)?;
        let stream = established.stream;
        let outstanding = Outstanding::new();
        let reading = stream.try_clone().map_err(ConnectError::Socket)?;
        reading.set_read_timeout(Some(self.context.silence_timeout())).map_err(ConnectError::Socket)?;
        let reader = AnswerReader::new(ReaderContext {
            stream: reading,
            frames: established.frames,
            outstanding: outstanding.clone(),
            events: self.context.events.clone(),
            wake_writer: self.wake.clone(),
        });
        spawn(format!("answers {}", self.context.node.0), move || reader.run())?;
        *lock(&self.current) = stream.try_clone().ok();
        Ok(Connection { stream, outstanding })
    }
}

#[cfg(test)]
mod tests;
