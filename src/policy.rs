//! Every rule and every tuned value of the scheduler, a module for each mechanism.
//!
//! A rule is a function, or a method of the record that it changes, and its arguments are all that it reads. `scheduler` gathers them
//! and applies the result. In the way of a request:
//!
//! | question | module |
//! | --- | --- |
//! | Which shard does a new object get? | `placement` |
//! | Which request is sent next? | `priority`, `traffic_class` |
//! | Is it still worth sending? | `request_fate` |
//! | Has its node capacity? | `concurrency_limit`, `slow_start` |
//! | Is its node well? | `outlier_detection` |
//! | Has its volume units left? | `volume_limit`, `measured_share` |
//! | May it be retried? | `retry_safety`, `retry_budget`, `retry_credit` |
//! | When is an attempt given up? | `attempt_timeout`, `loss_detection` |
//! | When is the endpoint list called for again? | `list_backoff` |
//! | What is remembered? | `retention`, `service_rate`, `latency` |
//! | What may an operator change? | `node_override` |
//!
//! `hold` says why a request waits. Rule numbers are those of docs/design.md, "The seven rules". docs/design.md tells where the mechanisms come from, docs/capacity.md where the figures do.

pub(crate) mod attempt_timeout;
pub(crate) mod concurrency_limit;
pub(crate) mod hold;
pub(crate) mod latency;
pub(crate) mod list_backoff;
pub(crate) mod loss_detection;
pub(crate) mod measured_share;
pub(crate) mod node_override;
pub(crate) mod outlier_detection;
pub(crate) mod placement;
pub(crate) mod priority;
pub(crate) mod request_fate;
pub(crate) mod retention;
pub(crate) mod retry_budget;
pub(crate) mod retry_credit;
pub(crate) mod retry_safety;
pub(crate) mod service_rate;
pub(crate) mod slow_start;
pub(crate) mod traffic_class;
pub(crate) mod volume_limit;

pub(crate) use hold::Hold;
pub use volume_limit::GUARANTEED_SHARE;
