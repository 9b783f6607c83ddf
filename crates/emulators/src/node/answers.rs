//! Effects and answers of attempts that have ended.

use super::process::{LoadReport, PendingAttempt, Process, State};
use crate::model::{EndedJob, JobOutcome};
use crate::sockets::reset;
use crate::threads::lock;
use bytes::Bytes;
use crossbeam_channel::Receiver;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use tackmast_trace::{now_us, AttemptEndKind, Event};
use tackmast_wire::node::{Answer, Frame, NodeOutcome, SendAttempt, Work};

/// Pause between two bytes of a node that sends one at a time.
const DRIP_INTERVAL: Duration = Duration::from_micros(200);
/// Bytes that are no frame.
const GARBAGE: [u8; 64] = [0xff; 64];

impl Process {
    /// Answers all attempts that have ended.
    pub(super) fn answer_ended(&self, state: &mut State) {
        for EndedJob { id, outcome } in state.model.take_ended() {
            let Some(pending) = state.pending.remove(&id) else { continue };
            self.answer(state, &pending, outcome);
        }
    }

    fn answer(&self, state: &mut State, pending: &PendingAttempt, outcome: JobOutcome) {
        let attempt = &pending.attempt;
        let had_effect = outcome == JobOutcome::Done && self.apply(attempt);
        let data = match attempt.work {
            Work::Read { length } if outcome == JobOutcome::Done => {
                lock(&self.settings.store).read(attempt.volume, attempt.offset, length)
            }
            _ => Bytes::new(),
        };
        let elsewhere = state.units_through_others(pending, outcome == JobOutcome::Done);
        self.note_end(pending, outcome, had_effect);
        let answer = Answer {
            attempt: attempt.attempt,
            outcome: match outcome {
                JobOutcome::Done => NodeOutcome::Done,
                JobOutcome::Error => NodeOutcome::Error,
                JobOutcome::NeverRan => NodeOutcome::Full,
            },
            waiting: self.reported_waiting(state),
            elsewhere,
            data,
        };
        if let Some(link) = state.links.get(&pending.link) {
            if link.answers.try_send(Frame::Answer(answer).to_bytes()).is_err() {
                reset(&link.stream);
            }
        }
    }

    fn note_end(&self, pending: &PendingAttempt, outcome: JobOutcome, had_effect: bool) {
        if !self.settings.recorder.is_on() {
            return;
        }
        let kind = match outcome {
            JobOutcome::Done => AttemptEndKind::Done,
            JobOutcome::Error => AttemptEndKind::Error,
            JobOutcome::NeverRan => AttemptEndKind::NeverRan,
        };
        let (node, name) = (self.name(), pending.name);
        self.settings.recorder.note(Event::AttemptEnd { node, name, kind, ran: had_effect });
    }

    /// How many requests wait, as of the last load report.
    fn reported_waiting(&self, state: &mut State) -> u32 {
        let now_us = now_us();
        let report_interval_us = self.settings.report_every.as_micros() as u64;
        if now_us.saturating_sub(state.load_report.time_us) >= report_interval_us {
            state.load_report = LoadReport { time_us: now_us, waiting: state.model.waiting_count() as u32 };
        }
        state.load_report.waiting
    }

    /// Applies the effect of an attempt. Returns false for a repeat, which is discarded.
    pub(super) fn apply(&self, attempt: &SendAttempt) -> bool {
        let window_us = (self.settings.window_s * 1e6) as u64;
        let keys = &self.settings.idempotency_keys;
        if attempt.idempotency_key != 0 && !keys.insert(now_us(), attempt.idempotency_key, window_us) {
            return false;
        }
        if let Work::Write { data } = &attempt.work {
            lock(&self.settings.store).write(attempt.volume, attempt.offset, data);
        }
        true
    }

    /// Writes the answers of a connection, with the faults of the node's sockets.
    pub(super) fn write_answers(&self, mut stream: TcpStream, answers: &Receiver<Bytes>) {
        while let Ok(bytes) = answers.recv() {
            let (faults, reset_draw, cut_draw, garbage_draw) = {
                let mut state = lock(&self.state);
                let random = &mut state.random;
                let draws = (random.rand_float(), random.rand_float(), random.rand_float());
                (state.faults, draws.0, draws.1, draws.2)
            };
            let first_half = &bytes[..bytes.len() / 2];
            if reset_draw < faults.reset_fraction {
                _ = stream.write_all(first_half);
                reset(&stream);
                return;
            }
            if cut_draw < faults.cut_fraction {
                // The frame ends early and nothing follows: the host waits for the rest.
                _ = stream.write_all(first_half);
                answers.iter().for_each(drop);
                return;
            }
            let written = if garbage_draw < faults.garbage_fraction {
                stream.write_all(&GARBAGE)
            } else if faults.drip {
                bytes.iter().try_for_each(|byte| {
                    std::thread::sleep(DRIP_INTERVAL);
                    stream.write_all(&[*byte])
                })
            } else {
                stream.write_all(&bytes)
            };
            if written.is_err() {
                return;
            }
        }
    }
}

impl State {
    /// Units served for the attempt's volume through other hosts, since its host was last notified.
    fn units_through_others(&mut self, pending: &PendingAttempt, is_done: bool) -> f32 {
        let units = f64::from(pending.attempt.units);
        let served = self.served.entry(pending.attempt.volume).or_default();
        let through_host = served.by_host.entry(pending.name.host).or_default();
        if is_done {
            served.total += units;
            through_host.own += units;
        }
        let others = served.total - through_host.own;
        let unreported = (others - through_host.reported_others).max(0.0);
        through_host.reported_others = others;
        unreported as f32
    }
}
