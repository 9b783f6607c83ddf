//! The public handle of a running host: start, status, drain and stop.

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

/// How long a drain waits for sessions to write their last answers.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// How long a leaving host lends its quota to its peers before it announces the leave.
const LEAVE_TIME: Duration = Duration::from_millis(400);
/// How often a drain checks for open commands.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a caller waits for the host's status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a connection that is only made to wake a listener.
const WAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// How a drain ended.
#[derive(Debug)]
pub struct DrainOutcome {
    /// Whether each open command had its answer before the drain timed out.
    pub all_answered: bool,
    /// The status after all open commands were answered; `None` if the host gave none in time or had stopped already.
    pub status: Option<Status>,
}

/// A running host.
pub struct Host {
    /// Address that iSCSI clients connect to, with the port that was bound.
    pub address: SocketAddr,
    /// Address that NBD clients connect to; `None` if NBD is disabled.
    pub nbd: Option<SocketAddr>,
    /// UDP address at which other hosts reach this one; `None` if membership is disabled.
    pub peers: Option<SocketAddr>,
    admin: Option<PathBuf>,
    stopping: Arc<AtomicBool>,
    urgent: Sender<Event>,
    threads: Vec<JoinHandle<()>>,
}

impl Host {
    /// Starts a host and its listeners. Clients are served as soon as this returns.
    pub fn start(settings: HostSettings) -> Result<Host, StartError> {
        let StartedHost { address, nbd, peers, admin, stopping, urgent, threads } = startup::start(settings)?;
        Ok(Host { address, nbd, peers, admin, stopping, urgent, threads })
    }

    /// Returns the current status; `None` if the host gives none within 5 s or has stopped.
    pub fn status(&self) -> Option<Status> {
        let (answer_to, answer) = crossbeam_channel::bounded(1);
        self.urgent.send(Event::Status { answer_to }).ok()?;
        answer.recv_timeout(STATUS_TIMEOUT).ok()
    }

    /// Shuts the host down gracefully: it accepts no new sessions and no new commands, and answers each open command exactly once, after
    /// `timeout` at the latest.
    pub fn drain(self, timeout: Duration) -> DrainOutcome {
        self.stopping.store(true, Ordering::Release);
        self.wake_listeners();
        _ = self.urgent.send(Event::Drain);
        let deadline = Instant::now() + timeout;
        let open_commands = || self.status().map_or(0, |status| status.commands);
        while open_commands() > 0 && Instant::now() < deadline {
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
        let all_answered = open_commands() == 0;
        _ = self.urgent.send(Event::CloseOpenCommands);
        // Events are handled in order: after this status, the answers are queued for the sessions' writers, which need time to write them.
        let status = self.status();
        std::thread::sleep(FLUSH_TIME);
        if self.peers.is_some() {
            self.leave();
        }
        self.stop();
        DrainOutcome { all_answered, status }
    }

    /// Lends this host's quota to the peers, then announces the leave.
    fn leave(&self) {
        _ = self.urgent.send(Event::BeginLeave);
        std::thread::sleep(LEAVE_TIME);
        _ = self.urgent.send(Event::AnnounceLeave);
        _ = self.status();
    }

    /// Connects to each listener, so that its blocked `accept` returns and it notices that the host is stopping. A listener that stayed
    /// blocked would keep the store open.
    fn wake_listeners(&self) {
        for address in [Some(self.address), self.nbd].into_iter().flatten() {
            _ = TcpStream::connect_timeout(&address, WAKE_TIMEOUT);
        }
        if let Some(path) = &self.admin {
            _ = UnixStream::connect(path);
        }
    }

    /// Stops the host at once: connections are closed, and open commands get no answer.
    pub fn stop(mut self) {
        self.stopping.store(true, Ordering::Release);
        _ = self.urgent.send(Event::Stop);
        self.wake_listeners();
        for thread in self.threads.drain(..) {
            _ = thread.join();
        }
    }
}
