//! Records of what is known, and the arithmetic of counting. Nothing is decided and nothing tuned here.

mod bucket;
mod key_queue;
mod limit_share;
mod loss_rate;
mod node;
mod random;
mod rejected_requests;
mod request;
mod retry_budget;
mod scheduler;
mod service_rate;
mod shard;
mod timers;
mod traffic_class;
mod volume;

pub use bucket::Bucket;
pub use key_queue::KeyQueue;
pub use limit_share::LimitShare;
pub use loss_rate::{LossRate, LossThreshold};
pub use node::{check_due, forget_gone_nodes, in_same_scope, mark_unlisted_gone, mean, next_in_rotation};
pub use node::{Blocked, Check, Node, NodeDefaults};
pub use random::Random;
pub use rejected_requests::{RejectedRequest, RejectedRequests, RequestFingerprint};
pub use request::{finish_request, forget_if_over, is_waiting_at};
pub use request::{AttemptResult, Request};
pub use retry_budget::RetryBudget;
pub use scheduler::Scheduler;
pub use service_rate::ServiceRate;
pub use shard::{Candidate, Dispatch, QueueEnd, QueueId, Score, SendTerms, Shard};
pub use timers::{Timer, Timers};
pub use traffic_class::{rank_by_latency_objective, Priority, TrafficClass};
pub use volume::{forget_idle_volumes, Volume};
