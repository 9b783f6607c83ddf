//! Connecting to a node: both sides exchange a hello, and the node's uptime is reported to the core.

use super::context::LinkContext;
use crate::messages::Event;
use crate::StartError;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant as Wall};
use tackmast::interface::{Outcome, TimeDelta};
use tackmast_wire::node::{self, Frame};
use tackmast_wire::reader::Frames;
use tackmast_wire::WireError;

/// Maximum number of bytes in one read during the handshake.
const READ_BUFFER_BYTES: usize = 4096;

/// Why a connection to a node could not be made.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    #[error("connect: {0}")]
    Connect(#[source] io::Error),
    #[error("socket: {0}")]
    Socket(#[source] io::Error),
    #[error("hello: {0}")]
    Hello(#[source] io::Error),
    #[error("no hello in {timeout_ms} ms")]
    NoHello { timeout_ms: u64 },
    #[error("closed before the hello")]
    ClosedBeforeHello,
    #[error("first frame is {frame}; expected a hello")]
    UnexpectedFrame { frame: String },
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error("hello: the core has not applied the node's uptime in {timeout_ms} ms; expected it at once")]
    CoreBusy { timeout_ms: u64 },
    #[error(transparent)]
    Thread(#[from] StartError),
}

impl ConnectError {
    /// Returns how an attempt ended that waited for this connection. A shortage in the host itself must not count against the node: while
    /// the core is busy, the waiting attempts would eject a healthy node.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            ConnectError::CoreBusy { .. } | ConnectError::Thread(_) => Outcome::Skipped,
            ConnectError::Connect(_)
            | ConnectError::Socket(_)
            | ConnectError::Hello(_)
            | ConnectError::NoHello { .. }
            | ConnectError::ClosedBeforeHello
            | ConnectError::UnexpectedFrame { .. }
            | ConnectError::Wire(_) => Outcome::Refused,
        }
    }
}

/// A connection after its handshake, and the frames received on it.
pub(super) struct EstablishedConnection {
    pub(super) stream: TcpStream,
    pub(super) frames: Frames,
}

/// Connects to the node, and waits until the core has applied its uptime.
pub(super) fn connect(context: &LinkContext) -> Result<EstablishedConnection, ConnectError> {
    let bounds = &context.settings.bounds;
    let timeout = Duration::from_millis(bounds.connect_ms);
    let deadline = Wall::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&context.address, timeout).map_err(ConnectError::Connect)?;
    // An attempt can't be withdrawn once it is in the socket's buffer, so the buffer is small.
    _ = socket2::SockRef::from(&stream).set_send_buffer_size(bounds.link_bytes as usize / 2);
    stream.set_nodelay(true).map_err(ConnectError::Socket)?;
    stream.set_write_timeout(Some(context.silence_timeout())).map_err(ConnectError::Socket)?;
    send_hello(context, &mut stream)?;
    let mut frames = node::frames(bounds.command_bytes as usize);
    let uptime = read_node_hello(context, &mut stream, &mut frames, deadline)?;
    report_uptime(context, uptime)?;
    Ok(EstablishedConnection { stream, frames })
}

fn send_hello(context: &LinkContext, stream: &mut TcpStream) -> Result<(), ConnectError> {
    let hello = Frame::HostHello {
        version: node::VERSION,
        host: context.settings.host.number,
        generation: context.generation,
        sent_us: context.clock.unix_us(context.clock.now()),
    };
    stream.write_all(&hello.to_bytes()).map_err(ConnectError::Hello)
}

/// Waits for the node's hello, and returns the node's uptime.
fn read_node_hello(
    context: &LinkContext,
    stream: &mut TcpStream,
    frames: &mut Frames,
    deadline: Wall,
) -> Result<TimeDelta, ConnectError> {
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        let time_left = deadline.saturating_duration_since(Wall::now());
        if time_left.is_zero() {
            return Err(ConnectError::NoHello { timeout_ms: context.settings.bounds.connect_ms });
        }
        stream.set_read_timeout(Some(time_left)).map_err(ConnectError::Socket)?;
        let length = match stream.read(&mut buffer) {
            Ok(0) => return Err(ConnectError::ClosedBeforeHello),
            Ok(length) => length,
            Err(error) => return Err(ConnectError::Hello(error)),
        };
        frames.push(&buffer[..length]);
        match node::next(frames)? {
            Some(Frame::NodeHello { version, up_us, .. }) => {
                node::negotiate_version(version)?;
                return Ok(TimeDelta::from_secs(up_us as f64 / 1e6));
            }
            Some(other) => return Err(ConnectError::UnexpectedFrame { frame: format!("{other:?}") }),
            None => {}
        }
    }
}

/// Reports the uptime to the core and waits until the core has applied it. Waiting attempts may have been sent on the assumption of a
/// longer uptime: if they were written at once, a node that has just restarted would get more than its slow start allows. The core
/// withdraws attempts that slow start does not allow before this returns.
fn report_uptime(context: &LinkContext, uptime: TimeDelta) -> Result<(), ConnectError> {
    let timeout_ms = context.settings.bounds.connect_ms;
    let (applied, is_applied) = crossbeam_channel::bounded(1);
    _ = context.events.send(Event::NodeUp { node: context.node, uptime, applied });
    let result = is_applied.recv_timeout(Duration::from_millis(timeout_ms));
    result.map_err(|_| ConnectError::CoreBusy { timeout_ms })
}
