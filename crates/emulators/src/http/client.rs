//! The emulator of a client.

use super::{READ_CHUNK_BYTES, RECHECK_INTERVAL};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use tackmast_http::{Limits, Response, ResponseReader};

/// What a client has received.
#[derive(Debug)]
pub enum Received {
    /// A response.
    Response(Box<Response>),
    /// The end of the connection, or bytes that are no response.
    Closed,
    /// Nothing within the time-out.
    Nothing,
}

/// A client on one connection. It sends whatever bytes it is given.
pub struct HttpClient {
    stream: TcpStream,
    reader: ResponseReader,
}

impl HttpClient {
    /// Connects to a host.
    pub fn connect(to: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(RECHECK_INTERVAL))?;
        Ok(HttpClient { stream, reader: ResponseReader::new(Limits::default()) })
    }

    /// Sends bytes. What a broken connection does not take is lost.
    pub fn send(&mut self, bytes: &[u8]) {
        _ = self.stream.write_all(bytes);
    }

    /// The next response, or the end of the connection.
    pub fn receive(&mut self, timeout: Duration) -> Received {
        let until = Instant::now() + timeout;
        let mut chunk = [0; READ_CHUNK_BYTES];
        loop {
            match self.reader.next_response() {
                Ok(Some(response)) => return Received::Response(Box::new(response)),
                Ok(None) => {}
                Err(_) => return Received::Closed,
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => return Received::Closed,
                Ok(len) => self.reader.push(&chunk[..len]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    if Instant::now() >= until {
                        return Received::Nothing;
                    }
                }
                Err(_) => return Received::Closed,
            }
        }
    }
}
