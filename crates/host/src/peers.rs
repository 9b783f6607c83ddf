//! The UDP socket for datagrams between hosts, and the file that marks a graceful leave.

use crate::messages::Event;
use crate::thread::spawn;
use crate::{Clock, StartError};
use bytes::Bytes;
use crossbeam_channel::{Sender, TrySendError};
use std::fs::File;
use std::io::{self, Write};
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tackmast_config::{HostSettings, MembershipBlock};
use tackmast_host_core::{member_settings, Core, KnownPeer, PreviousExit};
use tackmast_wire::peer;

/// How often the reader checks whether the host is stopping.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// How long sending a datagram may block before the datagram is dropped; peers tolerate lost datagrams.
const SEND_TIMEOUT: Duration = Duration::from_millis(1);
/// Content of the file that marks a leave.
const LEFT_FILE_TEXT: &[u8] =
    b"This host has left in order; its next life starts with nothing that may be lent.\n";

/// The socket for sending, and the leave mark; owned by the core thread.
pub(crate) struct Peers {
    socket: UdpSocket,
    /// Address at which the other hosts reach this one.
    pub(crate) address: SocketAddr,
    left_file: Option<PathBuf>,
    /// Whether the file that marks a leave exists.
    is_leave_marked: bool,
}

/// This host's identity and state as a member.
pub(crate) struct PeerIdentity {
    /// Generation of this start of the host; a later start has a higher one.
    pub(crate) generation: u64,
    /// Seed of the random choices of membership.
    pub(crate) seed: u64,
    /// Peers that an earlier process knew.
    pub(crate) known_peers: Vec<KnownPeer>,
}

impl Peers {
    /// Binds the socket, and records whether an earlier process has marked a graceful leave.
    pub(crate) fn bind(block: &MembershipBlock) -> Result<Peers, StartError> {
        let failed = |error| StartError::Listen { address: block.listen, error };
        let socket = UdpSocket::bind(block.listen).map_err(failed)?;
        let address = socket.local_addr().map_err(failed)?;
        socket.set_read_timeout(Some(STOP_POLL_INTERVAL)).map_err(failed)?;
        socket.set_write_timeout(Some(SEND_TIMEOUT)).map_err(failed)?;
        let is_leave_marked = block.left_file.as_ref().is_some_and(|file| file.exists());
        Ok(Peers { socket, address, left_file: block.left_file.clone(), is_leave_marked })
    }

    /// Enables membership in the core.
    pub(crate) fn join(
        &self,
        core: &mut Core,
        clock: Clock,
        settings: &HostSettings,
        block: &MembershipBlock,
        identity: PeerIdentity,
    ) {
        let now = clock.now();
        let previous_exit = if self.is_leave_marked { PreviousExit::Graceful } else { PreviousExit::Unclean };
        let PeerIdentity { generation, seed, known_peers } = identity;
        let members =
            member_settings(settings, block, self.address, generation, previous_exit, seed, known_peers);
        core.enable_peers(now, tackmast_host_core::Peers::new(now, members));
    }

    /// Starts the thread that reads datagrams.
    pub(crate) fn start_reader(
        &self,
        events: Sender<Event>,
        stopping: Arc<AtomicBool>,
    ) -> Result<(), StartError> {
        let failed = |error| StartError::Listen { address: self.address, error };
        let socket = self.socket.try_clone().map_err(failed)?;
        spawn("peers".into(), move || read(&socket, &events, &stopping))?;
        Ok(())
    }

    /// Sends a datagram. A failure is ignored, like a datagram that is lost on the network.
    pub(crate) fn send(&self, to: SocketAddr, bytes: &Bytes) {
        _ = self.socket.send_to(bytes, to);
    }

    /// Marks on disk that all of this host's quota may be lent for the longer term. Returns `false` if the mark is not on disk, in which
    /// case no quota may be lent.
    pub(crate) fn mark_leave(&mut self) -> bool {
        let Some(file) = &self.left_file else { return false };
        match write_mark(file) {
            Ok(()) => {
                self.is_leave_marked = true;
                true
            }
            Err(error) => {
                tracing::warn!(path = %file.display(), %error, "leave not marked: no quota is lent at this leave");
                false
            }
        }
    }

    /// Removes the mark. To be called once the quota that was lent at the marked leave can't be in use any more.
    pub(crate) fn remove_leave_mark(&mut self) {
        if let Some(file) = self.left_file.as_ref().filter(|_| self.is_leave_marked) {
            match std::fs::remove_file(file) {
                Ok(()) => self.is_leave_marked = false,
                Err(error) => {
                    tracing::warn!(path = %file.display(), %error, "mark of an earlier leave not removed");
                }
            }
        }
    }

    /// Returns whether a leave is marked on disk.
    pub(crate) fn is_leave_marked(&self) -> bool {
        self.is_leave_marked
    }
}

fn read(socket: &UdpSocket, events: &Sender<Event>, stopping: &AtomicBool) {
    let mut buffer = vec![0; peer::MAX_DATAGRAM_LEN + 1];
    while !stopping.load(Ordering::Acquire) {
        let Ok((length, from)) = socket.recv_from(&mut buffer) else { continue };
        let bytes = Bytes::copy_from_slice(&buffer[..length]);
        if let Err(TrySendError::Disconnected(_)) = events.try_send(Event::Datagram { from, bytes }) {
            return;
        }
    }
}

/// Writes the mark, and syncs the file and its directory to disk.
fn write_mark(path: &Path) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(LEFT_FILE_TEXT)?;
    file.sync_all()?;
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}
