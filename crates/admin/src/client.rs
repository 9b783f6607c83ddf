//! Calls a host over its admin socket.

use crate::line::{read_line, write_line, Line};
use crate::{Answer, Call, VERSION};
use std::io::BufReader;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why a call got no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The socket failed, or its timeout passed.
    #[error("host {}: {source}", socket.display())]
    Socket {
        /// The host's admin socket.
        socket: PathBuf,
        /// What the system reports.
        source: std::io::Error,
    },
    /// The host closed the connection.
    #[error("host {}: closed without an answer", socket.display())]
    Closed {
        /// The host's admin socket.
        socket: PathBuf,
    },
    /// The line is no answer of this version.
    #[error("host {}: {source}; expected an answer of version {VERSION}", socket.display())]
    Answer {
        /// The host's admin socket.
        socket: PathBuf,
        /// Where the line differs.
        source: serde_json::Error,
    },
}

/// Calls the host whose admin socket this is; each read and write may take as long as `timeout`.
pub fn call(socket: &Path, call: &Call, timeout: Duration) -> Result<Answer, CallError> {
    let text = exchange(socket, call, timeout)
        .map_err(|source| CallError::Socket { socket: socket.to_owned(), source })?
        .ok_or_else(|| CallError::Closed { socket: socket.to_owned() })?;
    let line: Line<Answer> = serde_json::from_str(&text)
        .map_err(|source| CallError::Answer { socket: socket.to_owned(), source })?;
    Ok(line.body)
}

/// Sends the call and reads one line; none: the host has closed.
fn exchange(socket: &Path, call: &Call, timeout: Duration) -> std::io::Result<Option<String>> {
    let mut stream = UnixStream::connect(socket)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    write_line(&mut stream, call)?;
    read_line(&mut BufReader::new(stream))
}
