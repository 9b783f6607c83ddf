//! Every decision of tackmast. A host makes one `Scheduler`, tells it the settings, and reports what happens
//! through the inputs (`request_arrived`, `attempt_ended`, `nodes_changed`, ...), which only update what is
//! known. After each it calls `poll_decision` until there is none, and again at `poll_timeout`.
//!
//! The path of a request: it waits at its shard (`admission`); `dispatch` picks which is sent next, where its
//! volume's limit (`quota`) and its node's concurrency limit (`concurrency`) have room. `slow_start`,
//! `outliers` and `retries` are the guards; `node_list` follows the list. docs/design.md says where this
//! comes from.

mod admission;
mod concurrency;
mod dispatch;
mod node_list;
mod outliers;
mod quota;
mod retries;
mod settings;
mod slow_start;

pub use crate::state::Scheduler;
pub use quota::GUARANTEED_SHARE;
