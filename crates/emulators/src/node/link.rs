//! A connection of a host: reads frames, and notes when they were received and when the connection was closed.

use super::process::{Link, Process, State};
use super::unread_bytes::UnreadBytes;
use crate::sockets::is_timeout;
use crate::threads::{lock, spawn};
use bytes::Bytes;
use crossbeam_channel::Sender;
use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use tackmast_trace::{now_us, Event};
use tackmast_wire::node as wire;

/// Answers that may wait on one connection; a host that reads none is reset.
const MAX_WAITING_ANSWERS: usize = 8192;
/// How often a connection is looked at on which nothing is received.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Bytes that are read at once.
const READ_BYTES: usize = 64 << 10;
/// Bytes that a deaf node looks at without reading them.
const PEEK_BYTES: usize = 1 << 20;

/// Whether a connection is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkState {
    Open,
    Closed,
}

impl LinkState {
    pub(super) fn open_if(is_open: bool) -> Self {
        if is_open {
            LinkState::Open
        } else {
            LinkState::Closed
        }
    }
}

/// What is known of the bytes of a frame.
#[derive(Clone, Copy)]
pub(super) struct FrameTimes {
    /// When its last byte was received.
    pub(super) received_us: u64,
    /// When the host closed the connection, if that was before the frame was read.
    pub(super) link_closed_us: Option<u64>,
}

/// The reading side of a connection.
struct Reader {
    /// Number of the connection.
    number: u64,
    stream: TcpStream,
    frames: tackmast_wire::reader::Frames,
    buffer: Vec<u8>,
    /// Bytes read so far.
    read: u64,
    unread: UnreadBytes,
    answers: Sender<Bytes>,
}

impl Process {
    pub(super) fn serve_link(self: Arc<Self>, stream: TcpStream) {
        let Ok(mut reader) = self.open_link(stream) else { return };
        while self.read_frames(&mut reader) == LinkState::Open {}
        _ = reader.stream.shutdown(Shutdown::Both);
        let mut state = lock(&self.state);
        self.note_link_down(&state, reader.number, reader.unread.closed_us.unwrap_or_else(now_us));
        state.links.remove(&reader.number);
    }

    fn open_link(self: &Arc<Self>, stream: TcpStream) -> io::Result<Reader> {
        let shared = stream.try_clone()?;
        let writing = stream.try_clone()?;
        _ = stream.set_nodelay(true);
        let (answers, waiting) = crossbeam_channel::bounded::<Bytes>(MAX_WAITING_ANSWERS);
        let writer = self.clone();
        spawn("node answers", move || writer.write_answers(writing, &waiting))?;
        let link = Link {
            answers: answers.clone(),
            stream: shared,
            host: 0,
            generation: 0,
            has_hello: false,
            clock_offset_us: i64::MAX,
        };
        let mut state = lock(&self.state);
        let number = state.next_number();
        state.links.insert(number, link);
        drop(state);
        _ = stream.set_read_timeout(Some(POLL_INTERVAL));
        Ok(Reader {
            number,
            stream,
            frames: wire::frames(self.settings.max_data),
            buffer: vec![0; READ_BYTES],
            read: 0,
            unread: UnreadBytes::default(),
            answers,
        })
    }

    /// Reads once, and handles the frames that are complete.
    fn read_frames(&self, reader: &mut Reader) -> LinkState {
        self.wait_while_deaf(reader);
        let length = match reader.stream.read(&mut reader.buffer) {
            Ok(0) => return LinkState::Closed,
            Ok(length) => length,
            Err(error) if is_timeout(&error) => return LinkState::Open,
            Err(_) => return LinkState::Closed,
        };
        reader.read += length as u64;
        reader.frames.push(&reader.buffer[..length]);
        loop {
            let frame = match wire::next(&mut reader.frames) {
                Ok(Some(frame)) => frame,
                Ok(None) => return LinkState::Open,
                Err(_) => return LinkState::Closed,
            };
            let frame_end = reader.read - reader.frames.partial() as u64;
            let times = FrameTimes {
                received_us: reader.unread.received_us(frame_end).unwrap_or_else(now_us),
                link_closed_us: reader.unread.closed_us,
            };
            if self.on_frame(reader.number, frame, &reader.answers, times) == LinkState::Closed {
                return LinkState::Closed;
            }
        }
    }

    /// A node that is deaf leaves the bytes to the socket, and notes when they were received.
    fn wait_while_deaf(&self, reader: &mut Reader) {
        while lock(&self.state).faults.deaf && !self.is_stopped() {
            let mut buffer = vec![0; PEEK_BYTES];
            let was_open = reader.unread.closed_us.is_none();
            reader.unread.look(&reader.stream, &mut buffer, reader.read);
            if let Some(closed_us) = reader.unread.closed_us.filter(|_| was_open) {
                // For the host its attempts are over now, long before this node reads again and finds out.
                self.note_link_down(&lock(&self.state), reader.number, closed_us);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn note_link_down(&self, state: &State, number: u64, time_us: u64) {
        let Some(link) = state.links.get(&number) else { return };
        let on_link = state.pending.values().filter(|pending| pending.link == number);
        let attempts = on_link.map(|pending| pending.name).collect();
        let (host, generation) = (link.host, link.generation);
        let event = Event::LinkDown { node: self.name(), host, generation, attempts };
        self.settings.recorder.note_at(time_us, event);
    }
}
