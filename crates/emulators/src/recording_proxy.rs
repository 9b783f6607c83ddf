//! A proxy between clients of either protocol and a host: it passes all bytes on as they are, reads along, and records what was
//! requested and answered, as scripted clients record it of themselves.

mod cutter;
mod iscsi_session;
mod nbd_session;
mod session;

pub use cutter::{CutPoint, Cutter};

use crate::threads::{lock, spawn_with_stack};
use iscsi_session::{IscsiAnswers, IscsiRequests};
use nbd_session::{NbdAnswers, NbdRequests};
use session::SessionState;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tackmast_trace::Recorder;

/// Stack of a thread, in bytes.
const STACK_BYTES: usize = 256 << 10;
/// Bytes of one protocol unit at most.
const MAX_UNIT_BYTES: usize = 16 << 20;
/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 64 << 10;
/// Time-out of the connection to the host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The protocol that clients speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// iSCSI.
    Iscsi,
    /// NBD.
    Nbd,
}

/// What the proxy has to know of a volume.
#[derive(Clone, Debug)]
pub struct VolumeInfo {
    /// The volume's number, which is its unit number in iSCSI.
    pub lun: u32,
    /// Its name.
    pub name: String,
    /// Bytes of a block.
    pub block_bytes: u32,
    /// Index of the traffic class of reads.
    pub read_class: u32,
    /// Index of the traffic class of writes.
    pub write_class: u32,
    /// The traffic class's deadline of reads, in microseconds.
    pub read_deadline_us: u64,
    /// The traffic class's deadline of writes, in microseconds.
    pub write_deadline_us: u64,
}

/// What a proxy is started with.
pub struct ProxySettings {
    /// The protocol that clients speak.
    pub protocol: Protocol,
    /// The host's address for that protocol.
    pub host: SocketAddr,
    /// The host's number.
    pub host_number: u32,
    /// The volumes that clients use.
    pub volumes: Vec<VolumeInfo>,
    /// Where events are recorded.
    pub recorder: Recorder,
    /// Cuts sessions on command.
    pub cutter: Cutter,
}

/// Starts a proxy in front of a host; returns the address for clients.
pub fn start(settings: ProxySettings) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let proxy = Arc::new(settings);
    spawn_with_stack("tap", STACK_BYTES, move || {
        for client in listener.incoming().flatten() {
            _ = proxy.serve(client);
        }
    })?;
    Ok(address)
}

impl ProxySettings {
    fn serve(self: &Arc<Self>, client: TcpStream) -> io::Result<()> {
        let host = TcpStream::connect_timeout(&self.host, CONNECT_TIMEOUT)?;
        let (to_client, to_host) = (client.try_clone()?, host.try_clone()?);
        _ = client.set_nodelay(true).and_then(|()| host.set_nodelay(true));
        let session = Arc::new(Mutex::new(SessionState::default()));
        let (requests, answers) = (self.clone(), self.clone());
        let requests_session = session.clone();
        spawn_with_stack("tap", STACK_BYTES, move || {
            requests.pass_requests(client, to_host, &requests_session);
        })?;
        spawn_with_stack("tap", STACK_BYTES, move || answers.pass_answers(host, to_client, &session))
    }

    /// Passes bytes from the client to the host. A request is recorded before it is passed on.
    fn pass_requests(&self, mut client: TcpStream, mut host: TcpStream, session: &Mutex<SessionState>) {
        let mut iscsi = IscsiRequests::new();
        let mut nbd = NbdRequests::new();
        let mut buffer = vec![0; CHUNK_BYTES];
        while let Ok(length @ 1..) = client.read(&mut buffer) {
            let bytes = &buffer[..length];
            let mut state = lock(session);
            match self.protocol {
                Protocol::Iscsi => iscsi.read(self, &mut state, bytes),
                Protocol::Nbd => nbd.read(self, &mut state, bytes),
            }
            let has_open_commands = state.has_open_commands();
            drop(state);
            let is_written = host.write_all(bytes).is_ok();
            if !is_written || has_open_commands && self.cutter.take(CutPoint::AfterRequest) {
                break;
            }
        }
        lock(session).give_up_all(self);
        _ = host.shutdown(Shutdown::Both);
        _ = client.shutdown(Shutdown::Both);
    }

    /// Passes bytes from the host to the client. An answer is recorded when it is received.
    fn pass_answers(&self, mut host: TcpStream, mut client: TcpStream, session: &Mutex<SessionState>) {
        let mut iscsi = IscsiAnswers::new();
        let mut nbd = NbdAnswers::new();
        let mut buffer = vec![0; CHUNK_BYTES];
        while let Ok(length @ 1..) = host.read(&mut buffer) {
            let bytes = &buffer[..length];
            let mut state = lock(session);
            let open_before = state.open_command_count();
            match self.protocol {
                Protocol::Iscsi => iscsi.read(self, &mut state, bytes),
                Protocol::Nbd => nbd.read(self, &mut state, bytes),
            }
            let has_answer = state.open_command_count() < open_before;
            drop(state);
            let is_cut = has_answer && self.cutter.take(CutPoint::BeforeAnswer);
            if is_cut || client.write_all(bytes).is_err() {
                break;
            }
        }
        _ = client.shutdown(Shutdown::Both);
        _ = host.shutdown(Shutdown::Both);
    }
}
