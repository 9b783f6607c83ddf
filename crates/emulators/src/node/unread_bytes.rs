//! When bytes were received that a node does not read. A node that is deaf leaves them to the socket, and finds out only later
//! what its host had sent, and that its host had closed the connection.

use std::net::TcpStream;
use tackmast_trace::now_us;

/// How many bytes had been received by a moment.
struct Received {
    time_us: u64,
    total: u64,
}

/// When the bytes of one connection were received.
#[derive(Default)]
pub(super) struct UnreadBytes {
    received: Vec<Received>,
    /// When the peer closed or reset the connection, which may come after bytes that nobody has read.
    pub(super) closed_us: Option<u64>,
}

impl UnreadBytes {
    /// Looks, without reading, at what has been received after the `read` bytes.
    pub(super) fn look(&mut self, stream: &TcpStream, buffer: &mut [u8], read: u64) {
        if let Ok(length) = stream.peek(buffer) {
            let total = read + length as u64;
            if self.received.last().is_none_or(|last| last.total < total) {
                self.received.push(Received { time_us: now_us(), total });
            }
        }
        if matches!(stream.take_error(), Ok(Some(_))) || is_closed_by_peer(stream) {
            self.closed_us.get_or_insert_with(now_us);
        }
    }

    /// When so many bytes had been received, where that was noted.
    pub(super) fn received_us(&self, total: u64) -> Option<u64> {
        self.received.iter().find(|received| received.total >= total).map(|received| received.time_us)
    }
}

/// Whether the peer has closed its side, whatever is still unread.
fn is_closed_by_peer(stream: &TcpStream) -> bool {
    use rustix::event::{poll, PollFd, PollFlags, Timespec};
    let mut fds = [PollFd::new(stream, PollFlags::RDHUP)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    poll(&mut fds, Some(&at_once)).is_ok_and(|count| count > 0) && fds[0].revents().intersects(closed)
}
