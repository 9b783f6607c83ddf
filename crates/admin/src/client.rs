//! The client side of the admin protocol.

use crate::line::{read_line, write_line, Line};
use crate::{Answer, Call, VERSION};
use std::io::BufReader;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The reason why a call got no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// An operation on the socket failed or timed out.
    #[error("host {}: {source}", socket.display())]
    Socket {
        /// The path of the host's admin socket.
        socket: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The host closed the connection without an answer.
    #[error("host {}: closed without an answer", socket.display())]
    Closed {
        /// The path of the host's admin socket.
        socket: PathBuf,
    },
    /// The line is not an answer of this protocol version.
    #[error("host {}: {source}; expected an answer of version {VERSION}", socket.display())]
    Answer {
        /// The path of the host's admin socket.
        socket: PathBuf,
        /// The error of the parser.
        source: serde_json::Error,
    },
}

/// Sends a call to the host whose admin socket is at `socket`, and returns the host's answer. Each read and each write may
/// take as long as `timeout`.
pub fn call(socket: &Path, call: &Call, timeout: Duration) -> Result<Answer, CallError> {
    let text = exchange(socket, call, timeout)
        .map_err(|source| CallError::Socket { socket: socket.to_owned(), source })?
        .ok_or_else(|| CallError::Closed { socket: socket.to_owned() })?;
    let line: Line<Answer> = serde_json::from_str(&text)
        .map_err(|source| CallError::Answer { socket: socket.to_owned(), source })?;
    Ok(line.body)
}

/// Sends the call and reads one line. Returns `None` if the host closed the connection first.
fn exchange(socket: &Path, call: &Call, timeout: Duration) -> std::io::Result<Option<String>> {
    let mut stream = UnixStream::connect(socket)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    write_line(&mut stream, call)?;
    read_line(&mut BufReader::new(stream))
}
