//! The reader of one connection: answers of the node, and the watch over a connection that falls silent.

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

/// Bytes that one read takes at most.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// What a reader works with.
pub(super) struct ReaderContext {
    pub(super) stream: TcpStream,
    pub(super) frames: Frames,
    pub(super) outstanding: Outstanding,
    pub(super) events: Sender<Event>,
    /// By this the reader asks the writer for a ping, or reports that the connection is broken.
    pub(super) wake_writer: Sender<()>,
}

/// The reader of a connection.
pub(super) struct Answers {
    context: ReaderContext,
    /// Whether a ping was asked for since the last bytes.
    has_asked_for_ping: bool,
}

impl Answers {
    pub(super) fn new(context: ReaderContext) -> Self {
        Answers { context, has_asked_for_ping: false }
    }

    /// Reads answers until the connection ends.
    pub(super) fn run(mut self) {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        while self.read(&mut buffer).is_continue() {}
        self.context.outstanding.break_off(&self.context.stream, &self.context.events);
        // The writer holds the connection too, and may have nothing to write for long.
        _ = self.context.wake_writer.try_send(());
    }

    fn read(&mut self, buffer: &mut [u8]) -> ControlFlow<()> {
        match self.context.stream.read(buffer) {
            Ok(0) => ControlFlow::Break(()),
            Ok(length) => {
                self.context.frames.push(&buffer[..length]);
                self.has_asked_for_ping = false;
                self.handle_frames()
            }
            Err(error) => match error.kind() {
                ErrorKind::Interrupted => ControlFlow::Continue(()),
                ErrorKind::WouldBlock | ErrorKind::TimedOut => self.handle_silence(),
                _ => ControlFlow::Break(()),
            },
        }
    }

    /// A half-open connection looks like a slow node, and its attempts would wait until their deadlines. A node that owes answers and
    /// does not even answer a ping within the same time again is cut off.
    fn handle_silence(&mut self) -> ControlFlow<()> {
        let owes_answers = self.context.outstanding.has_any();
        if owes_answers && self.has_asked_for_ping {
            tracing::debug!("node silent with attempts in flight: connection broken off");
            return ControlFlow::Break(());
        }
        self.has_asked_for_ping = owes_answers && self.context.wake_writer.try_send(()).is_ok();
        if !owes_answers && self.context.outstanding.is_last_holder() {
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
            tracing::debug!(attempt = attempt.0, "answer to no attempt in flight");
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
