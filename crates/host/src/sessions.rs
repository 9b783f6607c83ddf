//! Client sessions: who is admitted, and two threads for each session, one that reads and one that writes, around a session's state
//! machine between them.

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

/// Sessions over the bound that are refused by an answer at the same time; more are closed without one, so that a flood of clients
/// can't use up the host's threads.
const MAX_REFUSALS: usize = 64;
/// How long the listener waits after it could not accept, for instance because the process has no descriptor left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// The number of a session that is only refused.
const REFUSED_SESSION: u16 = 0;

/// The protocol of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Protocol {
    Iscsi,
    Nbd,
}

/// What all sessions of a host share.
pub(crate) struct SessionHub {
    settings: Arc<HostSettings>,
    units: Arc<Vec<Unit>>,
    offer: Arc<Offer>,
    clock: Clock,
    events: Sender<Event>,
    /// Numbers of open sessions.
    numbers: Mutex<SessionNumbers>,
    /// Sessions that are being refused.
    refusals: Mutex<usize>,
    /// How the thread of a session is started.
    spawn: Spawn,
}

impl SessionHub {
    /// No session is open.
    pub(crate) fn new(
        settings: Arc<HostSettings>,
        units: Arc<Vec<Unit>>,
        clock: Clock,
        events: Sender<Event>,
    ) -> Arc<SessionHub> {
        let offer = Arc::new(Offer::of(&settings));
        let (numbers, refusals) = (Mutex::default(), Mutex::default());
        let spawn: Spawn = |name, run| spawn(name, run);
        Arc::new(SessionHub { settings, units, offer, clock, events, numbers, refusals, spawn })
    }

    /// Starts the thread of a listener.
    pub(crate) fn listen(
        self: &Arc<Self>,
        listener: TcpListener,
        protocol: Protocol,
        stopping: Arc<AtomicBool>,
    ) -> Result<JoinHandle<()>, StartError> {
        let hub = self.clone();
        spawn("listen".into(), move || {
            for stream in listener.incoming() {
                if stopping.load(Ordering::Acquire) {
                    return;
                }
                match stream {
                    Ok(stream) => hub.clone().admit(stream, protocol),
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
        let hub = self.clone();
        let run = move || {
            hub.serve(stream, number, protocol);
            hub.release_number(number);
        };
        if let Err(error) = (self.spawn)(format!("session {number}"), Box::new(run)) {
            tracing::warn!(%error, "session not started");
            self.release_number(number);
        }
    }

    /// A number for a new session, or that of a session that is refused; none: too many are being refused.
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
