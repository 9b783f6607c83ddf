//! The errors that end a session.

use tackmast_wire::WireError;

/// An error after which a session can't continue and its connection must be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// The client sent bytes that can't be decoded.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The client sent a value that the protocol does not allow at this point.
    #[error("{what}: {found}; expected {expected}")]
    Protocol {
        /// The name of the value.
        what: &'static str,
        /// The value found.
        found: u64,
        /// A description of the values that are allowed.
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
