//! Client sessions: the listeners, the limit on open sessions, and two threads for each session, a reader and a writer, that share the
//! session's state machine.

mod connection;
mod numbers;
mod reader;
mod shared;
mod writer;

use crate::lock::lock;
use crate::messages::Event;
use crate::thread::{spawn, Spawn};
use crate::{Clock, StartError};
use crossbeam_channel::Sender;
use numbers::SessionNumbers;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;
use tackmast_config::HostSettings;
use tackmast_target::Offer;
use tackmast_wire::scsi::Unit;

/// Maximum number of sessions over the bound that get a refusal as an answer at the same time. Further ones are closed without an
/// answer, so that a flood of clients can't use up the host's threads.
const MAX_REFUSALS: usize = 64;
/// How long a listener waits after a failed `accept`, for instance because the process is out of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// Session number of sessions that are refused.
const REFUSED_SESSION: u16 = 0;

/// The protocol of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Protocol {
    Iscsi,
    Nbd,
}

/// Accepts the sessions of a host, and holds what they share.
pub(crate) struct SessionServer {
    settings: Arc<HostSettings>,
    units: Arc<Vec<Unit>>,
    offer: Arc<Offer>,
    clock: Clock,
    events: Sender<Event>,
    /// Numbers of open sessions.
    numbers: Mutex<SessionNumbers>,
    /// Number of sessions that are being refused.
    refusals: Mutex<usize>,
    /// Starts the thread of a session; tests replace it.
    spawn: Spawn,
}

impl SessionServer {
    /// Returns a server without open sessions.
    pub(crate) fn new(
        settings: Arc<HostSettings>,
        units: Arc<Vec<Unit>>,
        clock: Clock,
        events: Sender<Event>,
    ) -> Arc<SessionServer> {
        let offer = Arc::new(Offer::of(&settings));
        let (numbers, refusals) = (Mutex::default(), Mutex::default());
        let spawn: Spawn = |name, run| spawn(name, run);
        Arc::new(SessionServer { settings, units, offer, clock, events, numbers, refusals, spawn })
    }

    /// Starts the thread that accepts connections of a listener.
    pub(crate) fn listen(
        self: &Arc<Self>,
        listener: TcpListener,
        protocol: Protocol,
        stopping: Arc<AtomicBool>,
    ) -> Result<JoinHandle<()>, StartError> {
        let server = self.clone();
        spawn("listen".into(), move || {
            for stream in listener.incoming() {
                if stopping.load(Ordering::Acquire) {
                    return;
                }
                match stream {
                    Ok(stream) => server.clone().admit(stream, protocol),
                    Err(error) => {
                        tracing::warn!(%error, "client connection not accepted");
                        std::thread::sleep(ACCEPT_BACKOFF);
                    }
                }
            }
        })
    }

    fn admit(self: Arc<Self>, stream: TcpStream, protocol: Protocol) {
        let Some(number) = self.reserve_number() else { return };
        let server = self.clone();
        let run = move || {
            server.serve(stream, number, protocol);
            server.release_number(number);
        };
        if let Err(error) = (self.spawn)(format!("session {number}"), Box::new(run)) {
            tracing::warn!(%error, "session not started");
            self.release_number(number);
        }
    }

    /// Reserves a number for a new session. Returns `REFUSED_SESSION` if the session is over the bound and is to be refused, and `None` if
    /// too many sessions are being refused already.
    fn reserve_number(&self) -> Option<u16> {
        let session = lock(&self.numbers).try_reserve(self.settings.bounds.sessions);
        if session.is_some() {
            return session;
        }
        let mut refusals = lock(&self.refusals);
        if *refusals >= MAX_REFUSALS {
            return None;
        }
        *refusals += 1;
        Some(REFUSED_SESSION)
    }

    fn release_number(&self, number: u16) {
        match number {
            REFUSED_SESSION => *lock(&self.refusals) -= 1,
            number => lock(&self.numbers).release(number),
        }
    }
}

#[cfg(test)]
mod tests;
