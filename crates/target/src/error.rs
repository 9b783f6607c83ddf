//! Why a session can't be continued.

use tackmast_wire::WireError;

/// Why a session can't be continued: its connection must be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// Bytes that the protocol does not allow.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// A value that the protocol does not allow at this point.
    #[error("{what}: {found}; expected {expected}")]
    Protocol {
        /// Which value.
        what: &'static str,
        /// The value found.
        found: u64,
        /// What would have been right.
        expected: String,
    },
}

impl SessionError {
    pub(crate) fn protocol(
        what: &'static str,
        found: impl Into<u64>,
        expected: impl Into<String>,
    ) -> SessionError {
        SessionError::Protocol { what, found: found.into(), expected: expected.into() }
    }
}
