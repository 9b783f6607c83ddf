//! Nonblocking sockets: connecting, reading a bounded piece, writing what fits.

use bytes::{Buf, BytesMut};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Bytes read from one socket in one iteration, at most.
pub(crate) const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Begins to connect. The socket is writable once it is connected or has failed.
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
    /// This many bytes.
    Bytes(usize),
    /// No bytes for now.
    Nothing,
    /// The other side has ended its sending in order.
    End,
    /// The connection broke: bytes that were sent before may be missing.
    Failed,
}

/// Reads once.
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

/// Writes as many bytes as the socket takes, and removes them. An error means that the connection is broken.
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
    // An idle connection must not keep the memory of a long answer.
    *out = BytesMut::new();
    Ok(())
}

/// Whether a connection has neither bytes to read nor ended.
pub(crate) fn has_no_input(stream: &TcpStream) -> bool {
    let mut byte = [0u8; 1];
    matches!(stream.peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// Whether the other side has ended its sending or the connection is broken, also while bytes before the end are unread.
pub(crate) fn has_ended(stream: &TcpStream) -> bool {
    let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut one = [PollFd::new(stream, ended)];
    let now = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut one, Some(&now)).is_ok() && one[0].revents().intersects(ended)
}
