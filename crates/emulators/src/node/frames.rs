//! What a node does with each frame.

use super::link::{FrameTimes, LinkState};
use super::process::{Link, PendingAttempt, Process, State};
use crate::model::Job;
use crate::threads::lock;
use bytes::Bytes;
use crossbeam_channel::Sender;
use tackmast_trace::{now_us, AttemptName, Event};
use tackmast_wire::node::{self as wire, Frame, SendAttempt, Work};

/// Whether the work writes, and its bytes.
struct WorkSize {
    write: bool,
    bytes: u64,
}

impl Process {
    pub(super) fn on_frame(
        &self,
        link: u64,
        frame: Frame,
        answers: &Sender<Bytes>,
        times: FrameTimes,
    ) -> LinkState {
        let mut state = lock(&self.state);
        if !state.is_up {
            return LinkState::Closed;
        }
        let silent = state.faults.silent;
        let send = |frame: Frame| LinkState::open_if(silent || answers.try_send(frame.to_bytes()).is_ok());
        match frame {
            Frame::HostHello { version, host, generation, sent_us } => {
                match self.on_hello(&mut state, link, version, HostHello { host, generation, sent_us }) {
                    Some(hello) => send(hello),
                    None => LinkState::Closed,
                }
            }
            Frame::Send(attempt) => {
                let Some(has_pending) = self.on_attempt(&mut state, link, attempt, times) else {
                    return LinkState::Closed;
                };
                drop(state);
                if has_pending {
                    self.changed.notify_all();
                }
                LinkState::Open
            }
            Frame::Cancel { attempt } => {
                self.on_cancel(&mut state, link, attempt);
                LinkState::Open
            }
            Frame::Ping { number } => send(Frame::Pong { number }),
            Frame::NodeHello { .. } | Frame::Answer(_) | Frame::Pong { .. } => LinkState::Closed,
        }
    }

    /// Returns the node's hello; `None`: the host speaks no version that the node knows.
    fn on_hello(&self, state: &mut State, link: u64, version: u16, hello: HostHello) -> Option<Frame> {
        let version = wire::negotiate_version(version).ok()?;
        let now_us = now_us();
        if let Some(link) = state.links.get_mut(&link) {
            link.host = hello.host;
            link.generation = hello.generation;
            link.has_hello = true;
            link.clock_offset_us = now_us as i64 - hello.sent_us as i64;
        }
        Some(Frame::NodeHello {
            version,
            shard: self.settings.shard,
            zone: self.settings.zone,
            started_us: state.started_us,
            up_us: now_us.saturating_sub(state.started_us),
        })
    }

    /// Returns whether attempts are pending afterwards; `None`: the host has not said who it is.
    fn on_attempt(
        &self,
        state: &mut State,
        link: u64,
        attempt: SendAttempt,
        times: FrameTimes,
    ) -> Option<bool> {
        let now_us = now_us();
        let sender = state.links.get_mut(&link).filter(|link| link.has_hello)?;
        let name = AttemptName {
            host: sender.host,
            generation: sender.generation,
            request: attempt.request,
            attempt: attempt.attempt_number,
        };
        let deadline_us = sender.deadline_us(now_us, &attempt);
        let size = WorkSize::of(&attempt.work);
        self.note_attempt(name, &attempt, &size, deadline_us, times);
        if state.faults.silent {
            return Some(false);
        }
        let id = state.next_number();
        let job = Job {
            id,
            units: f64::from(attempt.units),
            write: size.write,
            key: attempt.key ^ attempt.offset << 8,
            is_retry: attempt.attempt_number > 0,
            deadline_us,
        };
        state.pending.insert(id, PendingAttempt { link, attempt, name });
        state.model.receive(now_us, job);
        self.answer_ended(state);
        Some(!state.pending.is_empty())
    }

    fn note_attempt(
        &self,
        name: AttemptName,
        attempt: &SendAttempt,
        size: &WorkSize,
        deadline_us: u64,
        times: FrameTimes,
    ) {
        let recorder = &self.settings.recorder;
        if !recorder.is_on() {
            return;
        }
        let event = Event::Attempt {
            node: self.name(),
            name,
            session: attempt.origin.session,
            command: attempt.origin.command,
            part: attempt.origin.part,
            volume: attempt.volume,
            write: size.write,
            offset: attempt.offset,
            bytes: size.bytes,
            units: f64::from(attempt.units),
            key: attempt.key,
            idempotency_key: format!("{:x}", attempt.idempotency_key),
            // The attempt is over at its host's deadline, however long its bytes were on their way. By the time that was left when
            // it was sent, it would seem to be in flight longer, and the next attempt of its key to be sent too early.
            left_us: deadline_us.saturating_sub(times.received_us),
        };
        recorder.note_at(times.received_us, event);
        if let Some(closed_us) = times.link_closed_us {
            // It was read after its host had closed the connection, when it was over for the host.
            let event = Event::LinkDown {
                node: self.name(),
                host: name.host,
                generation: name.generation,
                attempts: vec![name],
            };
            recorder.note_at(closed_us.max(times.received_us), event);
        }
    }

    fn on_cancel(&self, state: &mut State, link: u64, attempt: u64) {
        let mut pending = state.pending.iter();
        let found = pending.find(|(_, other)| other.link == link && other.attempt.attempt == attempt);
        let Some((id, name)) = found.map(|(id, pending)| (*id, pending.name)) else { return };
        self.settings.recorder.note(Event::Cancel { node: self.name(), name });
        if !state.faults.silent {
            state.model.cancel(now_us(), id);
            self.answer_ended(state);
        }
    }
}

/// What a host says of itself.
struct HostHello {
    host: u32,
    generation: u64,
    /// By the host's clock.
    sent_us: u64,
}

impl Link {
    /// The deadline of an attempt by this node's clock. The least offset between both clocks that was seen is the one with the least
    /// delay in it.
    fn deadline_us(&mut self, now_us: u64, attempt: &SendAttempt) -> u64 {
        let offset_us = now_us as i64 - attempt.sent_us as i64;
        self.clock_offset_us = self.clock_offset_us.min(offset_us);
        (attempt.sent_us as i64 + self.clock_offset_us).max(0) as u64 + u64::from(attempt.left_us)
    }
}

impl WorkSize {
    fn of(work: &Work) -> Self {
        match work {
            Work::Read { length } => WorkSize { write: false, bytes: u64::from(*length) },
            Work::Write { data } => WorkSize { write: true, bytes: data.len() as u64 },
        }
    }
}
