//! The calls of operators and the answers of the host.

use serde::{Deserialize, Serialize};
use tackmast_host_core::{AdminRequest, AdminResponse};
use tackmast_overrides::Audit;

/// The version of the admin protocol.
pub const VERSION: u32 = 1;

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// A request to the host's core.
    #[serde(rename = "ask")]
    AdminRequest(AdminRequest),
    /// A request for the last lines of the audit log.
    Audit {
        /// The maximum number of lines.
        #[serde(rename = "most")]
        max_lines: usize,
    },
}

/// The host's answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The response of the host's core.
    #[serde(rename = "reply")]
    AdminResponse(Box<AdminResponse>),
    /// The lines of the audit log, the oldest first.
    Audit(Vec<Audit>),
    /// The reason why the call could not be answered.
    Error(String),
}
