//! Reads, parses and writes the lines of JSON of the admin protocol.

use crate::{Call, VERSION};
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Read, Write};

/// Maximum length of a line in bytes, with its line break.
pub(crate) const MAX_LINE_LEN: u64 = 4 << 20;

/// A line of the protocol, which is a call or an answer with the version of the protocol.
#[derive(Serialize, Deserialize)]
pub struct Line<T> {
    /// The version of the protocol; `v` in JSON.
    #[serde(rename = "v")]
    pub version: u32,
    /// The call or the answer.
    pub body: T,
}

/// The reason why a line is not a call.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// The line has another protocol version.
    #[error("version {0}; expected {VERSION}")]
    Version(u32),
    /// The line is not a JSON object with a version.
    #[error("{0}; expected a line of JSON with v and body")]
    Line(#[source] serde_json::Error),
    /// The body is missing or is not a call of this protocol version.
    #[error("{0}; expected a call of version {VERSION}")]
    Call(#[source] serde_json::Error),
}

/// Reads one line with its line break. Returns `None` if the peer closed the connection before it.
///
/// A line without a line break, or with more than 4 MiB, is an error.
pub fn read_line(from: &mut impl BufRead) -> std::io::Result<Option<String>> {
    let mut text = String::new();
    let length = from.take(MAX_LINE_LEN).read_line(&mut text)?;
    match (length, text.ends_with('\n')) {
        (0, _) => Ok(None),
        (_, true) => Ok(Some(text)),
        _ => Err(std::io::Error::other(format!(
            "no line break in {length} bytes; expected a line of at most {MAX_LINE_LEN} bytes"
        ))),
    }
}

/// Parses a line as a call.
pub fn parse_call(text: &str) -> Result<Call, ParseError> {
    check_version(text)?;
    let line: Line<Call> = serde_json::from_str(text).map_err(ParseError::Call)?;
    Ok(line.body)
}

/// Checks the version before the body is parsed, since a later version may have calls that this one can't parse.
fn check_version(text: &str) -> Result<(), ParseError> {
    #[derive(Deserialize)]
    struct Versioned {
        #[serde(rename = "v")]
        version: u32,
    }
    let line: Versioned = serde_json::from_str(text).map_err(ParseError::Line)?;
    match line.version {
        VERSION => Ok(()),
        other => Err(ParseError::Version(other)),
    }
}

/// Writes a call or an answer as one line.
pub fn write_line<T: Serialize>(to: &mut impl Write, body: T) -> std::io::Result<()> {
    let mut bytes = serde_json::to_vec(&Line { version: VERSION, body })?;
    bytes.push(b'\n');
    to.write_all(&bytes)
}
