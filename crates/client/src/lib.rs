//! Client library of the gateway: open a volume, read, write, flush and cancel, over an iSCSI-style or an NBD transport
//! with the same results. A call has one answer, by its deadline at the latest; it is tried again only where that is safe
//! and within a budget. docs/client.md has examples.

mod shell;

pub use tackmast_client_core::{Op, Outcome, Place, Policy, Volume};

use bytes::Bytes;
use crossbeam_channel::{Receiver, Sender};
use shell::{Clock, Event};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tackmast::interface::TimeDelta;
use tackmast_client_core::{Bounds, IscsiClient, NbdClient, Transport, ADDITIONS};
use tackmast_wire::iscsi::Digests;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    Iscsi,
    Nbd,
}

/// How much of the gateway's own additions to the protocols the library uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Speaks {
    /// All it knows.
    Newest,
    /// Version of the NBD additions; iSCSI keys have none, each is agreed on by itself.
    Version(u16),
    /// Nothing but the public protocol, in its oldest form: a rejection can't be told from a failed request there.
    Public,
}

#[derive(Clone, Debug)]
pub struct Options {
    pub protocol: Protocol,
    pub address: SocketAddr,
    pub place: Place,
    /// Time for a call that names none.
    pub timeout: Duration,
    pub sessions: usize,
    /// Calls and bytes of calls that may be open; more are rejected at once.
    pub calls: usize,
    pub bytes: usize,
    pub policy: Policy,
    pub digests: Digests,
    pub speaks: Speaks,
    /// Seed of jitter.
    pub seed: u64,
}

impl Options {
    pub fn new(protocol: Protocol, address: SocketAddr, volume: &str, lun: u32) -> Options {
        let place = Place { target: "iqn.2026-12.org.tackmast:pool".into(), lun, name: volume.into() };
        Options {
            protocol,
            address,
            place,
            timeout: Duration::from_secs(3),
            sessions: 2,
            calls: 1024,
            bytes: 256 << 20,
            policy: Policy::default(),
            digests: Digests::default(),
            speaks: Speaks::Newest,
            seed: u64::from(std::process::id()),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    #[error("{address}: no session within {patience:?}; expected a gateway that answers")]
    NoAnswer { address: SocketAddr, patience: Duration },
    #[error("{address}: {why}")]
    Refused { address: SocketAddr, why: String },
    #[error("thread: {0}")]
    Thread(String),
}

/// An open volume. Calls may come from many threads.
#[derive(Clone)]
pub struct Client {
    events: Sender<Event>,
    next: Arc<AtomicU64>,
    clock: Clock,
    timeout: Duration,
    volume: Volume,
}

/// A call that is under way.
pub struct Pending {
    number: u64,
    answer: Receiver<Outcome>,
    events: Sender<Event>,
    longest: Duration,
}

impl Pending {
    /// Waits for the answer, which comes by the call's deadline.
    pub fn wait(self) -> Outcome {
        // The library answers at the deadline by itself; a little more is for its own way.
        self.answer.recv_timeout(self.longest).unwrap_or(Outcome::Failed)
    }

    /// The answer, if it is there.
    pub fn poll(&self) -> Option<Outcome> {
        self.answer.try_recv().ok()
    }

    /// Takes the call back. What it may have done is unknown.
    pub fn cancel(self) {
        _ = self.events.send(Event::Cancel { number: self.number });
    }
}

impl Client {
    /// Opens the volume; waits for a first session for as long as `patience`.
    pub fn open(options: Options, patience: Duration) -> Result<Client, OpenError> {
        let clock = Clock::new();
        let (address, timeout) = (options.address, options.timeout);
        let bounds = Bounds { sessions: options.sessions, calls: options.calls, bytes: options.bytes };
        let (place, digests, speaks) = (options.place.clone(), options.digests, options.speaks);
        let session_deadline = TimeDelta::from_secs(timeout.as_secs_f64());
        let new = move || -> Box<dyn Transport> {
            let plain = speaks == Speaks::Public;
            let version = match speaks {
                Speaks::Newest => ADDITIONS,
                Speaks::Version(v) => v,
                Speaks::Public => 0,
            };
            match options.protocol {
                Protocol::Iscsi => {
                    Box::new(IscsiClient::new(place.clone(), digests, session_deadline, plain))
                }
                Protocol::Nbd => Box::new(NbdClient::new(place.clone(), version, plain)),
            }
        };
        let (events, ready) =
            shell::start(clock, address, bounds, options.policy, options.seed, Box::new(new))
                .map_err(OpenError::Thread)?;
        match ready.recv_timeout(patience) {
            Ok(Ok(volume)) => {
                Ok(Client { events, next: Arc::new(AtomicU64::new(1)), clock, timeout, volume })
            }
            Ok(Err(why)) => {
                _ = events.send(Event::End);
                Err(OpenError::Refused { address, why })
            }
            Err(_) => {
                _ = events.send(Event::End);
                Err(OpenError::NoAnswer { address, patience })
            }
        }
    }

    pub fn volume(&self) -> Volume {
        self.volume
    }

    /// Begins a call; `deadline` is from now, and the client's own where none is given.
    pub fn submit(&self, op: Op, timeout: Option<Duration>) -> Pending {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let timeout = timeout.unwrap_or(self.timeout);
        let deadline = self.clock.now() + TimeDelta::from_secs(timeout.as_secs_f64());
        let (to, answer) = crossbeam_channel::bounded(1);
        // A client that has ended drops the sender, and the wait ends at once.
        _ = self.events.send(Event::Call { number, op, deadline, to });
        Pending { number, answer, events: self.events.clone(), longest: timeout + Duration::from_millis(500) }
    }

    pub fn read(&self, offset: u64, length: u32) -> Outcome {
        self.submit(Op::Read { offset, length }, None).wait()
    }

    pub fn write(&self, offset: u64, data: impl Into<Bytes>) -> Outcome {
        self.submit(Op::Write { offset, data: data.into() }, None).wait()
    }

    pub fn flush(&self) -> Outcome {
        self.submit(Op::Flush, None).wait()
    }

    /// Ends all sessions; what is open is answered.
    pub fn close(self) {
        _ = self.events.send(Event::End);
    }
}
