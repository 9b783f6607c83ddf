//! Codecs: bytes to values and back, without I/O. Every length that a peer names is checked against a bound
//! before anything is allocated, and no input panics.

#![warn(missing_docs, unreachable_pub)]

/// The consensus protocol between hosts.
pub mod consensus;
/// iSCSI.
pub mod iscsi;
/// The node list protocol.
pub mod list;
/// NBD.
pub mod nbd;
/// The protocol between hosts and nodes.
pub mod node;
/// The protocol between hosts of a fleet.
pub mod peer;
/// Fields of frames, and frames of streams.
pub mod reader;
/// SCSI commands and responses.
pub mod scsi;

/// Why bytes could not be read. Each names the field, the value found and what was expected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// A value that the protocol does not have there.
    #[error("{field}: {found}; expected {expected}")]
    Value {
        /// Name of the field.
        field: &'static str,
        /// The value found.
        found: u64,
        /// What was expected.
        expected: &'static str,
    },
    /// A frame that ends within a field.
    #[error("{field}: the frame ends {missing} bytes early")]
    Short {
        /// Name of the field.
        field: &'static str,
        /// Bytes that are missing.
        missing: usize,
    },
    /// A length over its bound.
    #[error("{field}: {found} bytes; at most {max} are taken")]
    TooLong {
        /// Name of the field.
        field: &'static str,
        /// The length found.
        found: u64,
        /// The bound.
        max: u64,
    },
    /// A digest that its bytes do not have.
    #[error("{field}: digest {found:#010x}; its bytes give {expected:#010x}")]
    Digest {
        /// Name of the digest.
        field: &'static str,
        /// The digest found.
        found: u32,
        /// That of the bytes.
        expected: u32,
    },
    /// Text that is not UTF-8.
    #[error("{field}: not UTF-8 text")]
    Text {
        /// Name of the field.
        field: &'static str,
    },
}

impl WireError {
    /// An error about a value that the protocol does not have there.
    pub(crate) fn unexpected(
        field: &'static str,
        found: impl Into<u64>,
        expected: &'static str,
    ) -> WireError {
        WireError::Value { field, found: found.into(), expected }
    }
}
