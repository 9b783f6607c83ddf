//! Codecs: bytes to values and back, without I/O. Every length that a peer names is checked against a bound
//! before anything is allocated, and no input panics.

pub mod consensus;
pub mod iscsi;
pub mod list;
pub mod nbd;
pub mod node;
/// The protocol between hosts of a fleet.
pub mod peer;
pub mod reader;
pub mod scsi;

/// Why bytes could not be read. Each names the field, the value found and what was expected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    #[error("{field}: {found}; expected {expected}")]
    Value { field: &'static str, found: u64, expected: &'static str },
    #[error("{field}: the frame ends {missing} bytes early")]
    Short { field: &'static str, missing: usize },
    #[error("{field}: {found} bytes; at most {most} are taken")]
    TooLong { field: &'static str, found: u64, most: u64 },
    #[error("{field}: digest {found:#010x}; its bytes give {expected:#010x}")]
    Digest { field: &'static str, found: u32, expected: u32 },
    #[error("{field}: not UTF-8 text")]
    Text { field: &'static str },
}
