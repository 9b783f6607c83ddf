//! An open volume and its calls.

use crate::clock::Clock;
use crate::error::OpenError;
use crate::event::{Event, Opening};
use crate::event_loop::{self, EventLoopHandle};
use crate::options::Options;
use bytes::Bytes;
use crossbeam_channel::{Receiver, Sender};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tackmast::interface::TimeDelta;
use tackmast_client_core::{Op, Outcome, Volume};

/// How long beyond a call's deadline a caller waits, since the answer that the event loop gives at the deadline takes time to arrive.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// An open volume. Clones share its sessions, and calls may be made from many threads.
#[derive(Clone)]
pub struct Client {
    events: Sender<Event>,
    next_number: Arc<AtomicU64>,
    clock: Clock,
    timeout: Duration,
    volume: Volume,
}

/// A submitted call whose answer can be awaited.
pub struct Pending {
    number: u64,
    answer: Receiver<Outcome>,
    events: Sender<Event>,
    max_wait: Duration,
}

impl Pending {
    /// Waits for the answer, which arrives by the call's deadline. Returns `Outcome::Failed` if none arrives.
    pub fn wait(self) -> Outcome {
        self.answer.recv_timeout(self.max_wait).unwrap_or(Outcome::Failed)
    }

    /// Returns the answer, or `None` if it has not arrived yet. Never blocks.
    pub fn poll(&self) -> Option<Outcome> {
        self.answer.try_recv().ok()
    }

    /// Cancels the call. Whether it took effect is unknown.
    pub fn cancel(self) {
        _ = self.events.send(Event::Cancel { number: self.number });
    }
}

impl Client {
    /// Opens a volume. Waits up to `timeout` for the first session to become ready.
    pub fn open(options: Options, timeout: Duration) -> Result<Client, OpenError> {
        let clock = Clock::start();
        let (address, call_timeout) = (options.address, options.timeout);
        let EventLoopHandle { events, openings } = event_loop::start(clock, options)?;
        let error = match openings.recv_timeout(timeout) {
            Ok(Opening::Ready(volume)) => {
                let next_number = Arc::new(AtomicU64::new(1));
                return Ok(Client { events, next_number, clock, timeout: call_timeout, volume });
            }
            Ok(Opening::Refused { reason }) => OpenError::Refused { address, reason },
            Err(_) => OpenError::NoAnswer { address, timeout },
        };
        _ = events.send(Event::Close);
        Err(error)
    }

    /// Returns the properties of the volume, as the gateway reported them when it was opened.
    pub fn volume(&self) -> Volume {
        self.volume
    }

    /// Submits a call without waiting for its answer. Its deadline is `timeout` from now, or the timeout of the options if `None`.
    pub fn submit(&self, op: Op, timeout: Option<Duration>) -> Pending {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let timeout = timeout.unwrap_or(self.timeout);
        let deadline = self.clock.now() + TimeDelta::from_secs(timeout.as_secs_f64());
        let (answer_to, answer) = crossbeam_channel::bounded(1);
        // If the event loop has ended, the event and its sender are dropped, and `Pending::wait` returns at once.
        _ = self.events.send(Event::Call { number, op, deadline, answer_to });
        Pending { number, answer, events: self.events.clone(), max_wait: timeout + ANSWER_MARGIN }
    }

    /// Reads `length` bytes from `offset`, both multiples of the block size, and waits for the answer.
    pub fn read(&self, offset: u64, length: u32) -> Outcome {
        self.submit(Op::Read { offset, length }, None).wait()
    }

    /// Writes `data` at `offset` in bytes, both whole blocks, and waits for the answer.
    pub fn write(&self, offset: u64, data: impl Into<Bytes>) -> Outcome {
        self.submit(Op::Write { offset, data: data.into() }, None).wait()
    }

    /// Flushes the volume: waits until every write that was answered before is on the nodes.
    pub fn flush(&self) -> Outcome {
        self.submit(Op::Flush, None).wait()
    }

    /// Answers all open calls and closes all sessions, also for the clones of this client.
    pub fn close(self) {
        _ = self.events.send(Event::Close);
    }
}
