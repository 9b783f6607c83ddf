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

/// How much longer than a call's deadline a caller waits: the library's own answer at the deadline needs some time on its way.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// An open volume. Calls may come from many threads.
#[derive(Clone)]
pub struct Client {
    events: Sender<Event>,
    next_number: Arc<AtomicU64>,
    clock: Clock,
    timeout: Duration,
    volume: Volume,
}

/// A call that has no answer yet.
pub struct Pending {
    number: u64,
    answer: Receiver<Outcome>,
    events: Sender<Event>,
    max_wait: Duration,
}

impl Pending {
    /// Waits for the answer, which comes by the call's deadline.
    pub fn wait(self) -> Outcome {
        self.answer.recv_timeout(self.max_wait).unwrap_or(Outcome::Failed)
    }

    /// The answer, if it is there.
    pub fn poll(&self) -> Option<Outcome> {
        self.answer.try_recv().ok()
    }

    /// Withdraws the call. What it may have done is unknown.
    pub fn cancel(self) {
        _ = self.events.send(Event::Cancel { number: self.number });
    }
}

impl Client {
    /// Opens the volume; waits for a first session for as long as `timeout`.
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

    /// What the gateway says of the volume.
    pub fn volume(&self) -> Volume {
        self.volume
    }

    /// Begins a call; its deadline is `timeout` from now, and the client's own where none is given.
    pub fn submit(&self, op: Op, timeout: Option<Duration>) -> Pending {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let timeout = timeout.unwrap_or(self.timeout);
        let deadline = self.clock.now() + TimeDelta::from_secs(timeout.as_secs_f64());
        let (answer_to, answer) = crossbeam_channel::bounded(1);
        // A client that has ended drops the sender, and the wait ends at once.
        _ = self.events.send(Event::Call { number, op, deadline, answer_to });
        Pending { number, answer, events: self.events.clone(), max_wait: timeout + ANSWER_MARGIN }
    }

    /// Reads `length` bytes from `offset`, both in whole blocks; waits for the answer.
    pub fn read(&self, offset: u64, length: u32) -> Outcome {
        self.submit(Op::Read { offset, length }, None).wait()
    }

    /// Writes `data`, of whole blocks, at `offset` in bytes; waits for the answer.
    pub fn write(&self, offset: u64, data: impl Into<Bytes>) -> Outcome {
        self.submit(Op::Write { offset, data: data.into() }, None).wait()
    }

    /// Waits until every write that was answered before is on the nodes.
    pub fn flush(&self) -> Outcome {
        self.submit(Op::Flush, None).wait()
    }

    /// Ends all sessions; open calls are answered.
    pub fn close(self) {
        _ = self.events.send(Event::Close);
    }
}
