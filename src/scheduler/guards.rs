//! The guards of a waiting request: each rule that can hold it, in the order in which they are checked. Rule numbers are
//! those of docs/design.md, "The seven rules".

use super::node::Node;
use super::request::Request;
use super::Scheduler;
use crate::interface::{HoldReason, NodeId, RequestId, TimeDelta};
use crate::policy::hold::GUARD_RECHECK_INTERVAL;
use crate::policy::outlier_detection::next_probe_at;
use crate::policy::priority::Priority;
use crate::policy::slow_start::SlowStartRequest;
use crate::policy::volume_limit::{exceeds_burst, is_limited};
use crate::policy::Hold;

impl Scheduler {
    /// Checks whether the request may be sent to this node now. Returns the first guard that holds it as the error.
    pub(super) fn check_guards(
        &mut self,
        id: RequestId,
        node_id: NodeId,
        priority: Priority,
    ) -> Result<(), Hold> {
        let (request, node) = (&self.requests[&id], &self.nodes[&node_id]);
        self.check_concurrency_limit(node, priority)?;
        self.check_backoff(request)?;
        self.check_retry_safety(request, node)?;
        self.check_ejection(node)?;
        self.check_retry_credit(request, node)?;
        self.check_retry_budget(request)?;
        self.check_key_order(id, request)?;
        self.check_burst(request)?;
        self.check_volume_limit(id)?;
        self.check_slow_start(id, node_id)
    }

    /// Holds the request while its node has as many attempts in flight as the concurrency limit allows, or while this
    /// host pauses between two attempts at it.
    fn check_concurrency_limit(&self, node: &Node, priority: Priority) -> Result<(), Hold> {
        node.limiter.check(self.now, &node.capacity_request(priority, self.settings.mean_units))
    }

    /// Holds the request until the backoff after its failed attempt is over.
    fn check_backoff(&self, request: &Request) -> Result<(), Hold> {
        Hold::check(HoldReason::Backoff, request.not_before, self.now)
    }

    /// Holds a request until its deadline if an earlier attempt may have run and another could take effect a second time
    /// (rule 2).
    ///
    /// Only requests behind a queue's head and late ones are held here, since a head that can never be sent is rejected
    /// before (`policy::request_fate`).
    fn check_retry_safety(&self, request: &Request, node: &Node) -> Result<(), Hold> {
        if !self.retry_safety(request).allows_attempt_at(self.now, Some(node.location())) {
            return Err(Hold::until(HoldReason::RetryUnsafe, request.deadline));
        }
        Ok(())
    }

    /// Holds the request while its node is ejected and no probe is due.
    fn check_ejection(&self, node: &Node) -> Result<(), Hold> {
        if !node.is_ejected() {
            return Ok(());
        }
        Hold::check(HoldReason::Ejected, next_probe_at(node.last_sent_at), self.now)
    }

    /// Holds a retry while the node's retry credit is too low.
    fn check_retry_credit(&self, request: &Request, node: &Node) -> Result<(), Hold> {
        if request.attempts > 0 && !node.retry_credit.allows_retry() {
            return Err(self.hold_for_recheck(HoldReason::RetryCredit));
        }
        Ok(())
    }

    /// Holds a retry while the host's retry budget is used up (rule 6).
    fn check_retry_budget(&self, request: &Request) -> Result<(), Hold> {
        if request.attempts > 0 && !self.retry_budget.allows_retry(self.now) {
            return Err(self.hold_for_recheck(HoldReason::RetryBudget));
        }
        Ok(())
    }

    /// Holds the request while an earlier one on the same ordered key is not finished, or may still be running at a node:
    /// such requests are sent one at a time, in order of arrival (rule 5).
    pub(super) fn check_key_order(&self, id: RequestId, request: &Request) -> Result<(), Hold> {
        let queue = request.ordered_key.and_then(|key| self.key_queues.get(&key));
        let Some(free_at) = queue.and_then(|queue| queue.blocked_until(id, self.now)) else { return Ok(()) };
        let recheck_at = self.now + GUARD_RECHECK_INTERVAL;
        Err(Hold::until(HoldReason::KeyOrder, free_at.max(recheck_at)))
    }

    /// Holds a request until its deadline if it costs more than this host's share of its volume's burst, since no wait
    /// would let it pass. As with `check_retry_safety`, only requests behind a queue's head and late ones are held here.
    fn check_burst(&self, request: &Request) -> Result<(), Hold> {
        if self.exceeds_burst(request) {
            return Err(Hold::until(HoldReason::ExceedsBurst, request.deadline));
        }
        Ok(())
    }

    /// Holds the request until it fits into this host's share of its volume's limit (rule 7). A request whose units were
    /// charged at an earlier attempt passes.
    fn check_volume_limit(&mut self, id: RequestId) -> Result<(), Hold> {
        let request = &self.requests[&id];
        let plan = &self.settings.plans[request.plan.0 as usize];
        if !is_limited(plan) || request.is_charged {
            return Ok(());
        }
        let Some(volume) = self.volumes.get_mut(&request.volume) else { return Ok(()) };
        match volume.limit.time_until_fits(self.now, plan, request.units) {
            TimeDelta::ZERO => Ok(()),
            wait => Err(Hold::until(HoldReason::VolumeLimit, self.now + wait)),
        }
    }

    /// Holds the request if its node is warming up and this host has already sent its share of the load that the node can
    /// take (rule 4).
    fn check_slow_start(&mut self, id: RequestId, node_id: NodeId) -> Result<(), Hold> {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&node_id) else { return Ok(()) };
        let service_rate = self.shards.get(&node.shard).map_or(0.0, |shard| shard.service_rate.rate(now));
        let request = SlowStartRequest {
            units: self.requests[&id].units,
            up_since: node.up_since,
            service_rate,
            host_count: self.settings.host_count,
        };
        node.slow_start.check(now, &self.settings.slow_start, &request)
    }

    /// Returns whether the request costs more than this host's share of its volume's burst. False for a request whose
    /// units were charged at an earlier attempt.
    pub(super) fn exceeds_burst(&self, request: &Request) -> bool {
        let plan = self.plan(request.plan);
        let Some(volume) = self.volumes.get(&request.volume) else { return false };
        is_limited(plan)
            && !request.is_charged
            && exceeds_burst(request.units, plan.burst, volume.limit.host_count())
    }

    /// Returns a hold of `GUARD_RECHECK_INTERVAL`, for a guard that can't tell when the request will pass.
    fn hold_for_recheck(&self, reason: HoldReason) -> Hold {
        Hold::until(reason, self.now + GUARD_RECHECK_INTERVAL)
    }
}
