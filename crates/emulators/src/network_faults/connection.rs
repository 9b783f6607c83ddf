//! One connection through a proxy, in both directions, with the faults of its path.

use super::caller::Caller;
use super::{CallerKind, Endpoint, Network, PathState, POLL_INTERVAL};
use crate::sockets::{is_timeout, reset};
use crate::threads::spawn;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tackmast_trace::{Event, Recorder};

/// Time-out of the connection to the process behind the proxy.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 << 10;

/// What a proxy does with each of its connections.
#[derive(Clone)]
pub(super) struct ProxySettings {
    pub(super) network: Network,
    pub(super) caller: CallerKind,
    /// The process behind the proxy.
    pub(super) endpoint: Endpoint,
    pub(super) recorder: Recorder,
}

/// Passes a connection on until it ends or is reset.
pub(super) fn run(mut stream: TcpStream, target: SocketAddr, settings: ProxySettings) -> io::Result<()> {
    let ProxySettings { network, caller: kind, endpoint, recorder } = settings;
    stream.set_nonblocking(false)?;
    let client = stream.peer_addr()?;
    stream.set_read_timeout(Some(POLL_INTERVAL))?;
    stream.set_nodelay(true)?;
    let Caller { endpoint: caller, first_bytes } = kind.identify(&mut stream, &network)?;
    if network.is_cut_between(caller, endpoint) {
        return hang_while_cut(&stream, &network, caller, endpoint);
    }
    if network.path(caller, endpoint).resets {
        reset(&stream);
        return Ok(());
    }
    let mut onward = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT).inspect_err(|_| reset(&stream))?;
    onward.set_nodelay(true)?;
    onward.set_read_timeout(Some(POLL_INTERVAL))?;
    onward.write_all(&first_bytes)?;
    let connection = Arc::new(Connection {
        network,
        has_lost_bytes: AtomicBool::new(false),
        recorder,
        client: (kind == CallerKind::Clients).then_some(client),
    });
    let back = Pump {
        from: onward.try_clone()?,
        to: stream.try_clone()?,
        sender: endpoint,
        receiver: caller,
        connection: connection.clone(),
    };
    spawn("connection back", move || back.run())?;
    Pump { from: stream, to: onward, sender: caller, receiver: endpoint, connection }.run();
    Ok(())
}

/// Over a path that is cut a call gets no answer, until its caller closes it or the path is whole: its first bytes were lost then, and
/// it is reset.
fn hang_while_cut(
    stream: &TcpStream,
    network: &Network,
    caller: Endpoint,
    callee: Endpoint,
) -> io::Result<()> {
    loop {
        match stream.peek(&mut [0]) {
            Ok(0) => return Ok(()),
            Err(error) if !is_timeout(&error) => return Err(error),
            _ => std::thread::sleep(POLL_INTERVAL),
        }
        if network.is_stopped() {
            return Ok(());
        }
        if !network.is_cut_between(caller, callee) {
            reset(stream);
            return Ok(());
        }
    }
}

/// What both directions of a connection share.
struct Connection {
    network: Network,
    /// Whether bytes of either direction were lost, so that the connection must be reset.
    has_lost_bytes: AtomicBool,
    recorder: Recorder,
    /// The client's address, where the caller is a client.
    client: Option<SocketAddr>,
}

impl Connection {
    fn lose_bytes(&self) {
        self.has_lost_bytes.store(true, Ordering::Release);
    }

    fn has_lost_bytes(&self) -> bool {
        self.has_lost_bytes.load(Ordering::Acquire)
    }
}

/// One direction of a connection.
struct Pump {
    from: TcpStream,
    to: TcpStream,
    sender: Endpoint,
    receiver: Endpoint,
    connection: Arc<Connection>,
}

/// Whether a direction continues.
#[derive(PartialEq, Eq)]
enum PumpState {
    Running,
    Ended,
}

impl Pump {
    fn run(mut self) {
        let mut buffer = vec![0; CHUNK_BYTES];
        _ = self.to.set_write_timeout(Some(POLL_INTERVAL));
        while self.pass_chunk(&mut buffer) == PumpState::Running {}
    }

    fn path(&self) -> PathState {
        self.connection.network.path(self.sender, self.receiver)
    }

    /// Reads once and passes on what was read.
    fn pass_chunk(&mut self, buffer: &mut [u8]) -> PumpState {
        let path = self.path();
        let is_cut = path.is_cut || self.connection.network.path(self.receiver, self.sender).is_cut;
        if self.connection.network.is_stopped() {
            return PumpState::Ended;
        }
        if path.resets || (self.connection.has_lost_bytes() && !is_cut) {
            self.reset_both();
            return PumpState::Ended;
        }
        match self.from.read(buffer) {
            Err(error) if is_timeout(&error) => PumpState::Running,
            Ok(0) | Err(_) if is_cut => {
                // The end of the connection does not pass either.
                self.connection.lose_bytes();
                std::thread::sleep(POLL_INTERVAL);
                PumpState::Running
            }
            Ok(0) => {
                _ = self.to.shutdown(Shutdown::Write);
                PumpState::Ended
            }
            Ok(length) => self.write_chunk(&buffer[..length]),
            Err(_) => {
                reset(&self.to);
                PumpState::Ended
            }
        }
    }

    fn write_chunk(&mut self, bytes: &[u8]) -> PumpState {
        let mut sent = 0;
        while sent < bytes.len() {
            let path = self.path();
            if self.connection.network.is_stopped() {
                return PumpState::Ended;
            }
            if path.is_cut {
                self.connection.lose_bytes();
                return PumpState::Running;
            }
            match self.to.write(&bytes[sent..]) {
                Ok(length @ 1..) => sent += length,
                Err(error) if is_timeout(&error) => {}
                Ok(0) | Err(_) => {
                    reset(&self.from);
                    return PumpState::Ended;
                }
            }
        }
        PumpState::Running
    }

    fn reset_both(&self) {
        if let Some(client) = self.connection.client {
            self.connection.recorder.note(Event::ConnectionLost { client: client.to_string() });
        }
        reset(&self.from);
        reset(&self.to);
    }
}
