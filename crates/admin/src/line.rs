//! Lines of JSON: how one is read, parsed and written.

use crate::{Call, VERSION};
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Read, Write};

/// Bytes of one line, at most.
pub(crate) const MAX_LINE_LEN: u64 = 4 << 20;

/// A line of the protocol.
#[derive(Serialize, Deserialize)]
pub struct Line<T> {
    /// Version of the protocol.
    #[serde(rename = "v")]
    pub version: u32,
    /// The call or the answer.
    pub body: T,
}

/// Why a line is not a call.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// It is of another version.
    #[error("version {0}; expected {VERSION}")]
    Version(u32),
    /// It has no version and body.
    #[error("{0}; expected a line of JSON with v and body")]
    Line(#[source] serde_json::Error),
    /// Its body is no call of this version.
    #[error("{0}; expected a call of version {VERSION}")]
    Call(#[source] serde_json::Error),
}

/// Reads one line of at most `MAX_LINE_LEN` bytes; none: the peer has closed.
pub fn read_line(from: &mut impl BufRead) -> std::io::Result<Option<String>> {
    let mut text = String::new();
    let length = from.take(MAX_LINE_LEN).read_line(&mut text)?;
    match (length, text.ends_with('\n')) {
        (0, _) => Ok(None),
        (_, true) => Ok(Some(text)),
        _ => Err(std::io::Error::other(format!(
            "a line without an end in {length} bytes; expected at most {MAX_LINE_LEN}"
        ))),
    }
}

/// Parses a line as a call.
pub fn parse_call(text: &str) -> Result<Call, ParseError> {
    check_version(text)?;
    let line: Line<Call> = serde_json::from_str(text).map_err(ParseError::Call)?;
    Ok(line.body)
}

/// The version is checked first: a later one may have calls that this one can't read.
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
