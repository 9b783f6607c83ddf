//! Lines of a trace: an event with its time, written and read as JSON.

use crate::Event;
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Write};

/// An event and when it was seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Microseconds of Unix time.
    pub t: u64,
    /// What was seen.
    #[serde(flatten)]
    pub event: Event,
}

/// Why a trace could not be read. Lines are numbered from 1.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The line could not be read.
    #[error("line {line}: {source}")]
    Io {
        /// Number of the line.
        line: usize,
        /// What the system reports.
        source: std::io::Error,
    },
    /// The line is no event.
    #[error("line {line}: {source}; expected an event of a trace")]
    Event {
        /// Number of the line.
        line: usize,
        /// Where the line differs.
        source: serde_json::Error,
    },
}

/// Writes a trace.
pub fn write(lines: &[Line], mut to: impl Write) -> std::io::Result<()> {
    for line in lines {
        serde_json::to_writer(&mut to, line)?;
        to.write_all(b"\n")?;
    }
    to.flush()
}

/// Reads a trace. Empty lines are skipped.
pub fn read(from: impl BufRead) -> Result<Vec<Line>, ReadError> {
    let mut lines = Vec::new();
    for (index, text) in from.lines().enumerate() {
        let number = index + 1;
        let text = text.map_err(|source| ReadError::Io { line: number, source })?;
        if text.trim().is_empty() {
            continue;
        }
        let line = serde_json::from_str(&text).map_err(|source| ReadError::Event { line: number, source })?;
        lines.push(line);
    }
    Ok(lines)
}
