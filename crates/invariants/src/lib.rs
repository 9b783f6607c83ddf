//! Checks recorded traffic for violations of the seven rules: what clients, nodes and the endpoint list saw on their sockets. This
//! package shares no code with the host or the scheduler, and believes only what the sockets show.
//!
//! | file | job |
//! | --- | --- |
//! | `index` | the trace, sorted into commands, requests, attempts, notifications and outages |
//! | `rules` | the seven rules, a file each |
//! | `report` | what was found, as text and as JSON |
//! | `linearizability` | whether what operators saw of committed changes can have happened in one order |
//! | `dissemination` | whether all hosts follow what one host was notified of by the endpoint list |
//! | `error` | why a trace can't be judged |

#![warn(missing_docs)]
#![warn(unreachable_pub)]

/// Whether all hosts follow what one host was notified of by the endpoint list.
pub mod dissemination;
mod error;
mod index;
/// Whether what operators saw of committed changes can have happened in one order.
pub mod linearizability;
mod report;
mod rules;

pub use report::{Report, RuleReport, Violation};
pub use rules::RULE_COUNT;

use index::Index;
use tackmast_trace::Line;

/// Judges a trace, whose lines are in order of time.
pub fn judge(lines: &[Line]) -> Report {
    match Index::new(lines) {
        Ok(index) => {
            Report { rules: rules::check_all(&index), unfit: index.defect.as_ref().map(ToString::to_string) }
        }
        Err(error) => Report { rules: Vec::new(), unfit: Some(error.to_string()) },
    }
}
