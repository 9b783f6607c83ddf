//! The guards of a request that waits to be sent: each rule that can hold it, in the order in which they are asked.

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
    /// Whether every guard lets the request be sent to this node now; else the first that holds it.
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

    /// The node has as many attempts in flight as its limit allows, or pauses between them.
    fn check_concurrency_limit(&self, node: &Node, priority: Priority) -> Result<(), Hold> {
        node.limiter.check(self.now, &node.capacity_request(priority, self.settings.mean_units))
    }

    /// A failed attempt's request waits a moment before its retry.
    fn check_backoff(&self, request: &Request) -> Result<(), Hold> {
        Hold::check(HoldReason::Backoff, request.not_before, self.now)
    }

    /// A request that may have run is not run again where that could take effect twice (rule 2). Reached by requests behind a queue's head and by
    /// late ones: a head that can never be sent is rejected before (`policy::request_fate`).
    fn check_retry_safety(&self, request: &Request, node: &Node) -> Result<(), Hold> {
        if !self.retry_safety(request).allows_attempt_at(self.now, Some(node.location())) {
            return Err(Hold::until(HoldReason::RetryUnsafe, request.deadline));
        }
        Ok(())
    }

    /// An ejected node gets probes only.
    fn check_ejection(&self, node: &Node) -> Result<(), Hold> {
        if !node.is_ejected() {
            return Ok(());
        }
        Hold::check(HoldReason::Ejected, next_probe_at(node.last_sent_at), self.now)
    }

    /// Retries must be earned by the node's answers.
    fn check_retry_credit(&self, request: &Request, node: &Node) -> Result<(), Hold> {
        if request.attempts > 0 && !node.retry_credit.allows_retry() {
            return Err(self.hold_for_recheck(HoldReason::RetryCredit));
        }
        Ok(())
    }

    /// The host's retries stay within their budget (rule 6).
    fn check_retry_budget(&self, request: &Request) -> Result<(), Hold> {
        if request.attempts > 0 && !self.retry_budget.allows_retry(self.now) {
            return Err(self.hold_for_recheck(HoldReason::RetryBudget));
        }
        Ok(())
    }

    /// Requests on one key go one at a time, in the order of arrival (rule 5).
    pub(super) fn check_key_order(&self, id: RequestId, request: &Request) -> Result<(), Hold> {
        let queue = request.ordered_key.and_then(|key| self.key_queues.get(&key));
        let Some(free_at) = queue.and_then(|queue| queue.blocked_until(id, self.now)) else { return Ok(()) };
        let recheck_at = self.now + GUARD_RECHECK_INTERVAL;
        Err(Hold::until(HoldReason::KeyOrder, free_at.max(recheck_at)))
    }

    /// A request that costs more than this host's share of the burst can never be sent. Reached as `check_retry_safety` is.
    fn check_burst(&self, request: &Request) -> Result<(), Hold> {
        if self.exceeds_burst(request) {
            return Err(Hold::until(HoldReason::ExceedsBurst, request.deadline));
        }
        Ok(())
    }

    /// The volume keeps to this host's share of its limit (rule 7).
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

    /// A node that warms up gets no more than this host's part of what it bears (rule 4).
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

    /// Whether the request costs more than its volume's burst at this host. One that has had an attempt has been charged already.
    pub(super) fn exceeds_burst(&self, request: &Request) -> bool {
        let plan = self.plan(request.plan);
        let Some(volume) = self.volumes.get(&request.volume) else { return false };
        is_limited(plan)
            && !request.is_charged
            && exceeds_burst(request.units, plan.burst, volume.limit.host_count())
    }

    /// For a guard that can't tell when it will let the request pass.
    fn hold_for_recheck(&self, reason: HoldReason) -> Hold {
        Hold::until(reason, self.now + GUARD_RECHECK_INTERVAL)
    }
}
