//! The admin protocol: over a local socket, one line of JSON for each call and one for its answer. Version 1.

use serde::{Deserialize, Serialize};
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;
use tackmast_host_core::{AdminRequest, AdminResponse};
use tackmast_overrides::Audit;

pub const VERSION: u32 = 1;
/// Bytes of one line.
pub const MAX: u64 = 4 << 20;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    #[serde(rename = "ask")]
    AdminRequest(AdminRequest),
    /// The last lines of the audit trail.
    Audit { most: usize },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    #[serde(rename = "reply")]
    AdminResponse(Box<AdminResponse>),
    Audit(Vec<Audit>),
    Error(String),
}

#[derive(Serialize, Deserialize)]
pub struct Line<T> {
    pub v: u32,
    pub body: T,
}

/// Reads one line of at most `MAX` bytes; none: the peer has closed.
pub fn read_line(from: &mut impl BufRead) -> std::io::Result<Option<String>> {
    let mut text = String::new();
    let n = from.take(MAX).read_line(&mut text)?;
    match (n, text.ends_with('\n')) {
        (0, _) => Ok(None),
        (_, true) => Ok(Some(text)),
        _ => {
            Err(std::io::Error::other(format!("a line without an end in {n} bytes; expected at most {MAX}")))
        }
    }
}

pub fn parse_call(text: &str) -> Result<Call, String> {
    // The version is looked at first: a later one may have calls that this one can't read.
    #[derive(Deserialize)]
    struct Version {
        v: u32,
    }
    match serde_json::from_str::<Version>(text) {
        Ok(Version { v: VERSION }) => {}
        Ok(Version { v }) => return Err(format!("version {v}; expected {VERSION}")),
        Err(e) => return Err(format!("{e}; expected a line of JSON with v and body")),
    }
    let line: Line<Call> =
        serde_json::from_str(text).map_err(|e| format!("{e}; expected a call of version {VERSION}"))?;
    Ok(line.body)
}

pub fn write_line<T: Serialize>(to: &mut impl Write, body: T) -> std::io::Result<()> {
    let mut bytes = serde_json::to_vec(&Line { v: VERSION, body })?;
    bytes.push(b'\n');
    to.write_all(&bytes)
}

/// Calls the host whose admin socket this is.
pub fn call(socket: &Path, call: &Call, patience: Duration) -> Result<Answer, String> {
    let at = |e: String| format!("host {}: {e}", socket.display());
    let mut stream = UnixStream::connect(socket).map_err(|e| at(e.to_string()))?;
    let ready =
        stream.set_read_timeout(Some(patience)).and_then(|()| stream.set_write_timeout(Some(patience)));
    ready.and_then(|()| write_line(&mut stream, call)).map_err(|e| at(e.to_string()))?;
    let text = read_line(&mut BufReader::new(stream)).map_err(|e| at(e.to_string()))?;
    let text = text.ok_or_else(|| at("closed without an answer".into()))?;
    let line: Line<Answer> = serde_json::from_str(&text)
        .map_err(|e| at(format!("{e}; expected an answer of version {VERSION}")))?;
    Ok(line.body)
}
