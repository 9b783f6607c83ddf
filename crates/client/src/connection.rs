//! A connection to the gateway: one thread reads it, one writes it.

use crate::event::{ConnectionId, Event};
use crate::thread::{spawn, Spawn};
use bytes::Bytes;
use crossbeam_channel::{Receiver, Sender};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// How long a connect may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a gateway may take no byte before its connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Writes that may wait for one connection.
const MAX_QUEUED_WRITES: usize = 4096;
/// Name of the threads that write.
pub(crate) const WRITER_THREAD: &str = "client calls";
/// Bytes that one read takes at most.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// A connection that is open.
pub(crate) struct Connection {
    writes: Sender<Bytes>,
    stream: TcpStream,
}

impl Connection {
    /// Starts the threads of a connection that was made.
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
            // The reader holds the socket too, and would keep it open until the gateway closes it.
            connection.close();
            return Err(error);
        }
        Ok(connection)
    }

    /// Queues bytes to be written; false: the queue is full, or the writer has ended.
    pub(crate) fn try_write(&self, bytes: Bytes) -> bool {
        self.writes.try_send(bytes).is_ok()
    }

    /// Closes both directions.
    pub(crate) fn close(&self) {
        _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Ends the reader; what is queued is still written.
    pub(crate) fn stop_reading(&self) {
        _ = self.stream.shutdown(Shutdown::Read);
    }
}

/// Connects on a thread of its own, which reports the result as an event.
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
