//! How a request gets its final answer without being done, and how it leaves the tables (rule 1).

use super::rejected_requests::RejectedRequest;
use super::request::{finish_request, Request};
use super::Scheduler;
use crate::interface::{Decision, FailureReason, Instant, RequestId, TimeDelta};
use crate::policy::retention::REJECTED_REQUEST_RETENTION;
use crate::policy::retry_safety::RetrySafety;

impl Scheduler {
    /// The request's deadline has come. A client that has the beginning of its answer is owed nothing by then.
    pub(super) fn on_deadline(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.response_started) else {
            return;
        };
        let reason = FailureReason::DeadlineReached { held_by: request.held_by };
        self.reject_or_fail(id, reason, None);
    }

    /// The final answer of a request that was not done: rejected where a retry is safe, failed otherwise.
    pub(super) fn reject_or_fail(
        &mut self,
        id: RequestId,
        reason: FailureReason,
        retry_after: Option<TimeDelta>,
    ) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.is_over) else { return };
        let max_retry_after = self.settings.max_retry_after;
        let retry_after =
            retry_after.map(|wait| wait.min(max_retry_after)).filter(|wait| *wait > TimeDelta::ZERO);
        self.decisions.push_back(match self.retry_safety(request).may_reject() {
            true => Decision::Reject { request: id, retry_after, reason },
            false => Decision::Fail { request: id, reason },
        });
        let expires_at = self.now + REJECTED_REQUEST_RETENTION;
        let rejected = RejectedRequest::new(request, self.settings.deadline_margin, expires_at);
        self.rejected_requests.insert(request.fingerprint(), rejected);
        self.finish(id);
    }

    /// A streamed answer has begun: its client has it, and nothing is owed by a set time any more.
    pub fn response_started(&mut self, now: Instant, id: RequestId) {
        self.now = now;
        self.requests.entry(id).and_modify(|request| request.response_started = true);
    }

    /// The client has left, or the request was ended for us.
    pub fn request_cancelled(&mut self, now: Instant, id: RequestId) {
        self.now = now;
        self.finish(id);
    }

    /// The request is over; whoever has its key next may be ready.
    pub(super) fn finish(&mut self, id: RequestId) {
        let next = finish_request(&mut self.requests, &mut self.key_queues, id, self.now);
        self.pending_shards.extend(next);
    }

    /// What decides whether the request may be retried.
    pub(super) fn retry_safety(&self, request: &Request) -> RetrySafety {
        let first = request.first_effect;
        let first_node = first.and_then(|first| self.nodes.get(&first.node));
        RetrySafety {
            effect: self.class(request.class).effect,
            first_effect_at: first.map(|first| first.sent_at),
            first_location: first_node.map(|node| node.location()),
        }
    }
}
