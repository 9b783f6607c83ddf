//! A connection to the gateway, with one thread that reads and one that writes.

use crate::event::{ConnectionId, Event};
use crate::thread::{spawn, Spawn};
use bytes::Bytes;
use crossbeam_channel::{Receiver, Sender};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout of a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the gateway may accept no data before the connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Capacity of the write queue of a connection.
const MAX_QUEUED_WRITES: usize = 4096;
/// Name of the writer threads.
pub(crate) const WRITER_THREAD: &str = "client calls";
/// Size of the read buffer in bytes.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// An open connection.
pub(crate) struct Connection {
    writes: Sender<Bytes>,
    stream: TcpStream,
}

impl Connection {
    /// Starts the reader and the writer thread of an established connection.
    pub(crate) fn start(
        id: ConnectionId,
        stream: TcpStream,
        events: Sender<Event>,
        spawn: Spawn,
    ) -> io::Result<Connection> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let (reader, writer) = (stream.try_clone()?, stream.try_clone()?);
        let (writes, queued_writes) = crossbeam_channel::bounded(MAX_QUEUED_WRITES);
        spawn("client answers", Box::new(move || read_until_end(id, reader, &events)))?;
        let connection = Connection { writes, stream };
        if let Err(error) = spawn(WRITER_THREAD, Box::new(move || write_until_end(writer, &queued_writes))) {
            // The reader thread holds the socket too, and would keep it open until the gateway closes it.
            connection.close();
            return Err(error);
        }
        Ok(connection)
    }

    /// Queues bytes for writing. Returns false if the queue is full or the writer has ended.
    pub(crate) fn try_write(&self, bytes: Bytes) -> bool {
        self.writes.try_send(bytes).is_ok()
    }

    /// Closes both directions of the connection.
    pub(crate) fn close(&self) {
        _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Ends the reader. Queued writes are still sent.
    pub(crate) fn stop_reading(&self) {
        _ = self.stream.shutdown(Shutdown::Read);
    }
}

/// Connects on a new thread, which reports the result as an event.
pub(crate) fn connect(id: ConnectionId, address: SocketAddr, events: Sender<Event>) -> io::Result<()> {
    let run = move || {
        _ = events.send(match TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
            Ok(stream) => Event::Connected { id, stream },
            Err(_) => Event::Closed { id },
        });
    };
    spawn("client connect", run)
}

fn read_until_end(id: ConnectionId, mut stream: TcpStream, events: &Sender<Event>) {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        let bytes = Bytes::copy_from_slice(&buffer[..length]);
        if events.send(Event::Received { id, bytes }).is_err() {
            return;
        }
    }
    _ = stream.shutdown(Shutdown::Both);
    _ = events.send(Event::Closed { id });
}

fn write_until_end(mut stream: TcpStream, queued_writes: &Receiver<Bytes>) {
    for bytes in queued_writes {
        if stream.write_all(&bytes).is_err() {
            break;
        }
    }
    _ = stream.shutdown(Shutdown::Both);
}
