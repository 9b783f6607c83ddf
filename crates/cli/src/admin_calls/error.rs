//! Errors of calls over admin sockets.

use std::fmt::Debug;
use std::path::{Path, PathBuf};
use tackmast_admin::CallError;

/// Why a call to a host did not return the answer that the command needs.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdminCallError {
    /// The host could not be reached, or its answer could not be read.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The host could not process the call.
    #[error("host {}: {why}", host.display())]
    Host {
        /// The host's admin socket.
        host: PathBuf,
        /// The host's reason.
        why: String,
    },
    /// The host could not persist the change, so the change does not apply.
    #[error("{why}")]
    NotPersisted {
        /// What went wrong.
        why: String,
    },
    /// The host refused the change.
    #[error("refused: {why}")]
    Refused {
        /// The host's reason.
        why: String,
    },
    /// The host sent an answer of another kind.
    #[error("host {}: {answer}; expected {expected}", host.display())]
    UnexpectedAnswer {
        /// The host's admin socket.
        host: PathBuf,
        /// The answer that it sent.
        answer: String,
        /// The answer that was expected.
        expected: &'static str,
    },
    /// The answer could not be printed as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl AdminCallError {
    /// The error for a host that sent `answer` in place of what was expected.
    pub(crate) fn unexpected(host: &Path, answer: &impl Debug, expected: &'static str) -> Self {
        AdminCallError::UnexpectedAnswer { host: host.to_owned(), answer: format!("{answer:?}"), expected }
    }
}
