//! Helpers for sockets.

use std::io::{self, ErrorKind};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// Resets a connection, as the connection of a crashed peer is.
pub(crate) fn reset(stream: &TcpStream) {
    _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    _ = stream.shutdown(Shutdown::Both);
}

/// Whether a read or write only ran into its time-out.
pub(crate) fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
