//! Datagrams of other hosts in and out, and the file that marks a leave.

use crate::core_thread::Event;
use crate::{Clock, StartError};
use bytes::Bytes;
use crossbeam_channel::{Sender, TrySendError};
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tackmast_config::{HostSettings, MembershipBlock};
use tackmast_host_core::{member_settings, Core, KnownPeer, PreviousExit};
use tackmast_wire::peer;

/// How often the reader looks whether the host stops.
const LOOK: Duration = Duration::from_millis(200);
/// A datagram that can't be passed on by then is lost, as on any network.
const SEND: Duration = Duration::from_millis(1);

/// The way out, held by the core's thread.
pub struct Peers {
    socket: UdpSocket,
    left_file: Option<PathBuf>,
    /// The mark of an earlier leave stands.
    marked: bool,
}

#[allow(clippy::too_many_arguments)] // what the room is given, one by one
pub fn start(
    s: &HostSettings,
    m: &MembershipBlock,
    core: &mut Core,
    clock: Clock,
    (generation, seed): (u64, u64),
    recalled: Vec<KnownPeer>,
    events: Sender<Event>,
    stopping: Arc<AtomicBool>,
) -> Result<(Peers, SocketAddr), StartError> {
    let failed = |error| StartError::Listen { address: m.listen, error };
    let socket = UdpSocket::bind(m.listen).map_err(failed)?;
    let address = socket.local_addr().map_err(failed)?;
    socket.set_read_timeout(Some(LOOK)).map_err(failed)?;
    socket.set_write_timeout(Some(SEND)).map_err(failed)?;
    let reader = socket.try_clone().map_err(failed)?;
    let marked = m.left_file.as_ref().is_some_and(|f| f.exists());
    let now = clock.now();
    let previous_exit = if marked { PreviousExit::Graceful } else { PreviousExit::Unclean };
    core.with_peers(
        now,
        tackmast_host_core::Peers::new(
            now,
            member_settings(s, m, address, generation, previous_exit, seed, recalled),
        ),
    );
    crate::thread("peers".into(), move || read(&reader, &events, &stopping))?;
    Ok((Peers { socket, left_file: m.left_file.clone(), marked }, address))
}

fn read(socket: &UdpSocket, events: &Sender<Event>, stopping: &AtomicBool) {
    let mut room = vec![0; peer::MAX_DATAGRAM_LEN + 1];
    while !stopping.load(Ordering::Acquire) {
        let Ok((n, from)) = socket.recv_from(&mut room) else { continue };
        let bytes = Bytes::copy_from_slice(&room[..n]);
        if let Err(TrySendError::Disconnected(_)) = events.try_send(Event::Datagram { from, bytes }) {
            return;
        }
    }
}

impl Peers {
    pub fn send(&self, to: SocketAddr, bytes: &Bytes) {
        // Lost is what datagrams may be.
        _ = self.socket.send_to(bytes, to);
    }

    /// Marks, so that it lasts, that all this host has may be lent for the longer term; false: it must not be.
    pub fn mark_leave(&mut self) -> bool {
        let Some(file) = &self.left_file else { return false };
        match mark(file) {
            Ok(()) => {
                self.marked = true;
                true
            }
            Err(e) => {
                tracing::warn!("left_file {}: {e}; nothing is lent at this leave", file.display());
                false
            }
        }
    }

    /// Nothing that was lent at an earlier leave can be out any more.
    pub fn unmark(&mut self) {
        if let Some(file) = self.left_file.as_ref().filter(|_| self.marked) {
            match std::fs::remove_file(file) {
                Ok(()) => self.marked = false,
                Err(e) => tracing::warn!("left_file {}: {e}; expected to remove it", file.display()),
            }
        }
    }

    pub fn is_marked(&self) -> bool {
        self.marked
    }
}

fn mark(file: &Path) -> std::io::Result<()> {
    let mut f = File::create(file)?;
    f.write_all(b"This host has left in order; its next life starts with nothing that may be lent.\n")?;
    f.sync_all()?;
    let folder = file.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}
