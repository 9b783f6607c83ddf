//! Errors of `tackmast io`.

use hdrhistogram::CreationError;
use std::io;
use std::path::PathBuf;
use tackmast_client::{OpenError, Outcome};

/// Why a volume could not be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum IoError {
    /// The volume could not be opened.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// A file could not be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
    /// The data to write could not be read.
    #[error("input: {0}")]
    Input(#[source] io::Error),
    /// What was read could not be passed on or compared.
    #[error(transparent)]
    Output(io::Error),
    /// A call did not run.
    #[error("{call}: rejected, it did not run{}", retry_text(*retry_after_s))]
    Rejected {
        /// The call.
        call: Call,
        /// Seconds to wait before a retry, where the gateway said so.
        retry_after_s: Option<f64>,
    },
    /// A call failed, and may have run.
    #[error("{call}: failed, whether it ran is unknown")]
    Failed {
        /// The call.
        call: Call,
    },
    /// A call was not valid.
    #[error("{call}: {reason}")]
    Invalid {
        /// The call.
        call: Call,
        /// What is wrong with it.
        reason: String,
    },
    /// The rate or the length of a load is out of bounds.
    #[error("--rate {rate} --seconds {seconds}; expected up to 1000000, and up to 3600")]
    Load {
        /// Calls a second.
        rate: f64,
        /// Length of the load.
        seconds: f64,
    },
    /// The figures of a load could not be set up.
    #[error(transparent)]
    Figures(#[from] CreationError),
    /// The calls of a load are larger than the gateway or the volume allows.
    #[error("--blocks {blocks}; expected at most {max_bytes} bytes a call")]
    Blocks {
        /// Blocks of one call.
        blocks: u32,
        /// Largest size of one call.
        max_bytes: u32,
    },
}

/// A call of a copy, by its place in the volume.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Call {
    /// A read.
    Read {
        /// First byte.
        offset: u64,
    },
    /// A write.
    Write {
        /// First byte.
        offset: u64,
    },
    /// A flush.
    Flush,
}

impl std::fmt::Display for Call {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Call::Read { offset } => write!(formatter, "read at {offset}"),
            Call::Write { offset } => write!(formatter, "write at {offset}"),
            Call::Flush => formatter.write_str("flush"),
        }
    }
}

impl Call {
    /// The data of a call that was done, or why the call was not done.
    pub(super) fn require_done(self, outcome: Outcome) -> Result<bytes::Bytes, IoError> {
        match outcome {
            Outcome::Done(data) => Ok(data),
            Outcome::Rejected { retry_after } => {
                Err(IoError::Rejected { call: self, retry_after_s: retry_after.map(|wait| wait.secs()) })
            }
            Outcome::Failed => Err(IoError::Failed { call: self }),
            Outcome::InvalidRequest(reason) => Err(IoError::Invalid { call: self, reason }),
        }
    }
}

fn retry_text(retry_after_s: Option<f64>) -> String {
    retry_after_s.map_or(String::new(), |seconds| format!(", retry after {seconds:.3} s"))
}
