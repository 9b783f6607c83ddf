//! Final answers of requests that were not done, and removal of requests from the tables (rule 1).

use super::rejected_requests::RejectedRequest;
use super::request::{finish_request, Request};
use super::Scheduler;
use crate::interface::{Decision, FailureReason, Instant, RequestId, TimeDelta};
use crate::policy::retention::REJECTED_REQUEST_RETENTION;
use crate::policy::retry_safety::RetrySafety;

impl Scheduler {
    /// Gives a request its final answer at its deadline. If its client already has the beginning of a streamed answer, no
    /// final answer is due.
    pub(super) fn on_deadline(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.response_started) else {
            return;
        };
        let reason = FailureReason::DeadlineReached { held_by: request.held_by };
        self.reject_or_fail(id, reason, None);
    }

    /// Gives the final answer of a request that was not done: rejected where a retry is safe, failed otherwise.
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

    /// Records that the client has received the beginning of a streamed answer. The request's deadline no longer applies.
    pub fn response_started(&mut self, now: Instant, id: RequestId) {
        self.now = now;
        self.requests.entry(id).and_modify(|request| request.response_started = true);
    }

    /// Ends a request without a final answer, because its client has left or the host has ended it.
    pub fn request_cancelled(&mut self, now: Instant, id: RequestId) {
        self.now = now;
        self.finish(id);
    }

    /// Marks a request as over. The next request on its key may now be ready to be sent.
    pub(super) fn finish(&mut self, id: RequestId) {
        let next = finish_request(&mut self.requests, &mut self.key_queues, id, self.now);
        self.pending_shards.extend(next);
    }

    /// Collects the values that decide whether the request may be retried.
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
