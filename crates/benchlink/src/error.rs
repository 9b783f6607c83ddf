//! What can be wrong with a line of the bench.

use tackmast_platform::FieldError;

/// Says what was wrong and what was expected.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The line could not be read.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The line is no JSON.
    #[error("not JSON ({0}); expected a batch")]
    NotJson(#[from] serde_json::Error),
    /// A value is missing or has another type.
    #[error("{0}")]
    Field(#[from] FieldError),
    /// An event is for a host that was not started, or has ended.
    #[error("host {0} is unknown; expected one started")]
    UnknownHost(i64),
    /// A request names a traffic class or plan that the settings don't have.
    #[error("service {traffic_class} or qos_class {plan} is not among the settings")]
    NotConfigured {
        /// The number of the traffic class.
        traffic_class: u32,
        /// The number of the plan.
        plan: u32,
    },
    /// A value is none of those that the protocol has.
    #[error("{field} {found}; expected {expected}")]
    UnknownValue {
        /// What the value is for.
        field: &'static str,
        /// The value.
        found: String,
        /// Those that the protocol has.
        expected: &'static str,
    },
    /// An event of a batch is wrong.
    #[error("event {index}: {source}")]
    Event {
        /// Its place in the batch, from 0.
        index: usize,
        /// What is wrong.
        source: Box<LinkError>,
    },
    /// An event of this name is wrong.
    #[error("{name}: {source}")]
    Named {
        /// The name.
        name: String,
        /// What is wrong.
        source: Box<LinkError>,
    },
}
