//! Every rule and every tuned value of the scheduler, with one module per mechanism.
//!
//! A rule is a function, or a method of the type whose state it changes, and reads nothing but its arguments.
//! `scheduler` collects the arguments and applies the result. In the order in which a request meets them:
//!
//! | question | module |
//! | --- | --- |
//! | Which shard stores a new object? | `placement` |
//! | Which request is sent next? | `priority`, `traffic_class` |
//! | Is it still worth sending? | `request_fate` |
//! | Does its node have capacity? | `concurrency_limit`, `slow_start` |
//! | Is its node healthy? | `outlier_detection` |
//! | Is its volume within its limit? | `volume_limit`, `measured_share` |
//! | May it be retried? | `retry_safety`, `retry_budget`, `retry_credit` |
//! | When does an attempt time out? | `attempt_timeout`, `loss_detection` |
//! | When is a failed call for the endpoint list repeated? | `list_backoff` |
//! | Which endpoint list may a new process serve by? | `list_confirmation` |
//! | What is kept in memory, and for how long? | `retention`, `service_rate`, `latency` |
//! | What can an operator override? | `node_override` |
//!
//! `hold` has the type that says why a request waits. Rule numbers are those of docs/design.md, "The seven rules".
//! docs/design.md has the sources of the mechanisms, docs/capacity.md those of the figures.

pub(crate) mod attempt_timeout;
pub(crate) mod concurrency_limit;
pub(crate) mod hold;
pub(crate) mod latency;
pub(crate) mod list_backoff;
pub(crate) mod list_confirmation;
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
pub use list_confirmation::may_serve_by_list;
pub use volume_limit::GUARANTEED_SHARE;
