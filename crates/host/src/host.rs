//! A running host, as its owner sees it: start, status, drain, stop.

use crate::messages::{Event, Status};
use crate::startup::{self, StartedHost};
use crate::StartError;
use crossbeam_channel::Sender;
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tackmast_config::HostSettings;

/// Time for sessions to write their last answers.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Time in which a host that leaves lends its quota to others.
const LEAVE_TIME: Duration = Duration::from_millis(400);
/// How often a drain looks whether a command is open.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a caller waits for the host's status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection that only wakes a listener may take.
const WAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// How a drain ended.
#[derive(Debug)]
pub struct DrainOutcome {
    /// Whether each open command had its answer before the drain timed out.
    pub all_answered: bool,
    /// Figures once the last command was answered; none where the host had stopped.
    pub status: Option<Status>,
}

/// A running host.
pub struct Host {
    /// Where iSCSI clients connect.
    pub address: SocketAddr,
    /// Where NBD clients connect.
    pub nbd: Option<SocketAddr>,
    /// Where other hosts reach it.
    pub peers: Option<SocketAddr>,
    admin: Option<PathBuf>,
    stopping: Arc<AtomicBool>,
    urgent: Sender<Event>,
    threads: Vec<JoinHandle<()>>,
}

impl Host {
    /// Starts listening; clients are served as soon as this returns.
    pub fn start(settings: HostSettings) -> Result<Host, StartError> {
        let StartedHost { address, nbd, peers, admin, stopping, urgent, threads } = startup::start(settings)?;
        Ok(Host { address, nbd, peers, admin, stopping, urgent, threads })
    }

    /// Figures of this moment; none where the host has stopped.
    pub fn status(&self) -> Option<Status> {
        let (answer_to, answer) = crossbeam_channel::bounded(1);
        self.urgent.send(Event::Status { answer_to }).ok()?;
        answer.recv_timeout(STATUS_TIMEOUT).ok()
    }

    /// Ends in order: no new sessions, no new commands, and each open command gets its one answer, by `timeout` at the latest.
    pub fn drain(self, timeout: Duration) -> DrainOutcome {
        self.stopping.store(true, Ordering::Release);
        self.wake_listeners();
        _ = self.urgent.send(Event::Drain);
        let give_up_at = Instant::now() + timeout;
        let open_commands = || self.status().map_or(0, |status| status.commands);
        while open_commands() > 0 && Instant::now() < give_up_at {
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
        let all_answered = open_commands() == 0;
        _ = self.urgent.send(Event::CloseOpenCommands);
        // Once the status is answered, the answers are with the sessions' threads, which need some time to write them.
        let status = self.status();
        std::thread::sleep(FLUSH_TIME);
        if self.peers.is_some() {
            self.leave();
        }
        self.stop();
        DrainOutcome { all_answered, status }
    }

    /// Lends this host's quota to peers that ask for it, and announces the leave.
    fn leave(&self) {
        _ = self.urgent.send(Event::BeginLeave);
        std::thread::sleep(LEAVE_TIME);
        _ = self.urgent.send(Event::AnnounceLeave);
        _ = self.status();
    }

    /// Makes each listener look whether the host stops: it waits for a connection, and this is one. A thread that waited on would keep
    /// the store open.
    fn wake_listeners(&self) {
        for address in [Some(self.address), self.nbd].into_iter().flatten() {
            _ = TcpStream::connect_timeout(&address, WAKE_TIMEOUT);
        }
        if let Some(path) = &self.admin {
            _ = UnixStream::connect(path);
        }
    }

    /// Ends at once: connections are closed, nothing more is answered.
    pub fn stop(mut self) {
        self.stopping.store(true, Ordering::Release);
        _ = self.urgent.send(Event::Stop);
        self.wake_listeners();
        for thread in self.threads.drain(..) {
            _ = thread.join();
        }
    }
}
