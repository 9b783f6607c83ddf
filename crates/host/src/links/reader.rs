//! The reader of one connection: it receives the node's answers and detects a connection that has become silent.

use super::outstanding::Outstanding;
use crate::messages::Event;
use crossbeam_channel::Sender;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::ops::ControlFlow;
use tackmast::interface::Outcome;
use tackmast_host_core::{AttemptId, AttemptResult};
use tackmast_wire::node::{self, Answer, Frame, NodeOutcome};
use tackmast_wire::reader::Frames;

/// Maximum number of bytes in one read.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// The connection of a reader, and the channels to other threads.
pub(super) struct ReaderContext {
    pub(super) stream: TcpStream,
    pub(super) frames: Frames,
    pub(super) outstanding: Outstanding,
    pub(super) events: Sender<Event>,
    /// Requests a ping from the writer, or reports to it that the connection is broken.
    pub(super) wake_writer: Sender<()>,
}

/// The reader of a connection.
pub(super) struct AnswerReader {
    context: ReaderContext,
    /// Whether a ping was requested after the last bytes were received.
    has_requested_ping: bool,
}

impl AnswerReader {
    pub(super) fn new(context: ReaderContext) -> Self {
        AnswerReader { context, has_requested_ping: false }
    }

    /// Reads answers until the connection ends.
    pub(super) fn run(mut self) {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        while self.read(&mut buffer).is_continue() {}
        self.context.outstanding.abort(&self.context.stream, &self.context.events);
        // Makes the writer drop its handle to the connection, which it would otherwise keep until its next write.
        _ = self.context.wake_writer.try_send(());
    }

    fn read(&mut self, buffer: &mut [u8]) -> ControlFlow<()> {
        match self.context.stream.read(buffer) {
            Ok(0) => ControlFlow::Break(()),
            Ok(length) => {
                self.context.frames.push(&buffer[..length]);
                self.has_requested_ping = false;
                self.handle_frames()
            }
            Err(error) => match error.kind() {
                ErrorKind::Interrupted => ControlFlow::Continue(()),
                ErrorKind::WouldBlock | ErrorKind::TimedOut => self.handle_silence(),
                _ => ControlFlow::Break(()),
            },
        }
    }

    /// Handles a read timeout. A half-open connection looks like a slow node, and its attempts would wait until their deadlines. If
    /// attempts are outstanding, a ping is requested; if the node sends nothing within the same time again, the connection is reset.
    fn handle_silence(&mut self) -> ControlFlow<()> {
        let has_outstanding = self.context.outstanding.has_any();
        if has_outstanding && self.has_requested_ping {
            tracing::debug!("node silent with attempts in flight: connection broken off");
            return ControlFlow::Break(());
        }
        self.has_requested_ping = has_outstanding && self.context.wake_writer.try_send(()).is_ok();
        if !has_outstanding && self.context.outstanding.is_last_holder() {
            return ControlFlow::Break(()); // The writer has ended.
        }
        ControlFlow::Continue(())
    }

    fn handle_frames(&mut self) -> ControlFlow<()> {
        loop {
            match node::next(&mut self.context.frames) {
                Ok(Some(Frame::Answer(answer))) => self.handle_answer(answer)?,
                Ok(Some(Frame::Pong { .. })) => {}
                Ok(Some(frame)) => {
                    tracing::warn!(?frame, "node sent a frame that is no answer: connection broken off");
                    return ControlFlow::Break(());
                }
                Ok(None) => return ControlFlow::Continue(()),
                Err(error) => {
                    tracing::warn!(%error, "node sent unreadable bytes: connection broken off");
                    return ControlFlow::Break(());
                }
            }
        }
    }

    fn handle_answer(&self, answer: Answer) -> ControlFlow<()> {
        let attempt = AttemptId(answer.attempt);
        if !self.context.outstanding.remove(attempt) {
            tracing::debug!(attempt = attempt.0, "answer for an attempt that is not in flight");
            return ControlFlow::Continue(());
        }
        let result = AttemptResult {
            attempt,
            outcome: match answer.outcome {
                NodeOutcome::Done => Outcome::Done,
                NodeOutcome::Error => Outcome::Error,
                NodeOutcome::Full => Outcome::Full,
                NodeOutcome::NotHere => Outcome::Skipped,
            },
            waiting: Some(answer.waiting),
            peer_units: Some(f64::from(answer.elsewhere)),
            data: answer.data,
        };
        match self.context.events.send(Event::AttemptResult(result)) {
            Ok(()) => ControlFlow::Continue(()),
            Err(_) => ControlFlow::Break(()),
        }
    }
}
