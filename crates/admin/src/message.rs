//! Calls of operators and answers of the host.

use serde::{Deserialize, Serialize};
use tackmast_host_core::{AdminRequest, AdminResponse};
use tackmast_overrides::Audit;

/// Version of the protocol.
pub const VERSION: u32 = 1;

/// What an operator calls the host for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// A question or an order for the host's core.
    #[serde(rename = "ask")]
    AdminRequest(AdminRequest),
    /// The last lines of the audit log.
    Audit {
        /// How many of them, at most.
        #[serde(rename = "most")]
        max_lines: usize,
    },
}

/// The host's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// What the host's core replied.
    #[serde(rename = "reply")]
    AdminResponse(Box<AdminResponse>),
    /// Lines of the audit log.
    Audit(Vec<Audit>),
    /// Why the call could not be answered.
    Error(String),
}
