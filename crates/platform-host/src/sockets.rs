//! Operations on nonblocking sockets: connect, read a bounded chunk, write as much as the socket accepts.

use bytes::{Buf, BytesMut};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Number of established connections that may wait to be accepted; the system may allow fewer. Beyond it the system drops the first
/// packet of a client, which then waits for a second or more.
const LISTEN_BACKLOG: i32 = 4096;

/// Maximum number of bytes read from one socket in one iteration.
pub(crate) const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Opens a nonblocking listener.
pub(crate) fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(at), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

/// Starts a nonblocking connect. The socket becomes writable once it is connected or the connect has failed.
pub(crate) fn connect(to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(to), socket2::Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&to.into()) {
        Err(error) if error.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {
            Err(error)
        }
        _ => Ok(socket.into()),
    }
}

/// The result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// This many bytes were read.
    Bytes(usize),
    /// No bytes are available now.
    Nothing,
    /// The peer has shut down its sending side in order.
    End,
    /// The connection broke. Bytes that the peer sent before may be missing.
    Failed,
}

/// Reads once, and again only if a signal interrupts the read.
pub(crate) fn read(mut from: &TcpStream, into: &mut [u8]) -> ReadOutcome {
    loop {
        return match from.read(into) {
            Ok(0) => ReadOutcome::End,
            Ok(len) => ReadOutcome::Bytes(len),
            Err(e) if e.kind() == ErrorKind::WouldBlock => ReadOutcome::Nothing,
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(_) => ReadOutcome::Failed,
        };
    }
}

/// Writes as many bytes as the socket accepts, and removes them from `out`. An error means that the connection is broken.
pub(crate) fn write(mut to: &TcpStream, out: &mut BytesMut) -> std::io::Result<()> {
    while !out.is_empty() {
        match to.write(out) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(len) => out.advance(len),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    // An idle connection must not retain the allocation of a long answer.
    *out = BytesMut::new();
    Ok(())
}

/// Returns whether a connection is open and has no bytes to read.
pub(crate) fn has_no_input(stream: &TcpStream) -> bool {
    let mut byte = [0u8; 1];
    matches!(stream.peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// Returns whether the peer has shut down its sending side or the connection is broken, even while earlier bytes are unread.
pub(crate) fn has_ended(stream: &TcpStream) -> bool {
    let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut one = [PollFd::new(stream, ended)];
    let now = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut one, Some(&now)).is_ok() && one[0].revents().intersects(ended)
}
