//! Requests through the scheduler alone.

use super::{time_of, NODE_COUNT, OPEN_REQUESTS};
use std::time::Instant as WallInstant;
use tackmast::interface::*;
use tackmast::scheduler::Scheduler;
use tackmast_config::HostSettings;

/// How coarse the clock is, in seconds.
const CLOCK_STEP_S: f64 = 0.002;
/// Seconds until the deadline of each request.
const DEADLINE_S: f64 = 5.0;
/// Order keys that requests are spread over.
const KEY_COUNT: u32 = 100_000;

/// Microseconds of a request, over so many.
pub(super) fn microseconds_each(settings: &HostSettings, request_count: u64) -> f64 {
    let mut scheduler = new_scheduler(settings);
    let started = WallInstant::now();
    let (mut sent, mut done) = (0, 0);
    let mut in_flight = Vec::new();
    while done < request_count {
        let now = time_of(done);
        while sent - done < OPEN_REQUESTS && sent < request_count {
            scheduler.request_arrived(now, new_request(sent));
            sent += 1;
        }
        while let Some(decision) = scheduler.poll_decision(now) {
            if let Decision::Send { request, .. } = decision {
                in_flight.push(request);
            }
        }
        let later = time_of(done + 1);
        for request in in_flight.drain(..) {
            scheduler.service_reported(later, request, true, 0.0);
            scheduler.attempt_ended(later, done_attempt(request, later - now));
            done += 1;
        }
    }
    started.elapsed().as_secs_f64() * 1e6 / request_count as f64
}

fn new_scheduler(settings: &HostSettings) -> Scheduler {
    let mean_units = settings.units.mean_per_request;
    let mut scheduler = Scheduler::new(time_of(0), 1, 1, TimeDelta::from_secs(CLOCK_STEP_S), mean_units);
    for class in &settings.traffic_classes {
        scheduler.add_traffic_class(class.latency_objective, class.effect, class.in_order);
    }
    for plan in &settings.plans {
        scheduler.add_plan(plan.into());
    }
    let nodes: Vec<NodeEntry> = (0..NODE_COUNT).map(node_entry).collect();
    scheduler.nodes_changed(time_of(0), ListKind::Complete, &nodes);
    scheduler
}

fn node_entry(node: u32) -> NodeEntry {
    NodeEntry {
        node: NodeId(node),
        state: NodeState::Ready,
        zone: ZoneId(0),
        shard: ShardId(node),
        up_since: None,
    }
}

fn new_request(number: u64) -> NewRequest {
    NewRequest {
        id: RequestId(number as u32),
        class: TrafficClassId(0),
        plan: PlanId(0),
        key: Some(KeyId(number as u32 % KEY_COUNT)),
        time_left: TimeDelta::from_secs(DEADLINE_S),
        volume: VolumeId(0),
        units: 1.0,
        shard: Some(ShardId((number % u64::from(NODE_COUNT)) as u32)),
        hosts: 1,
    }
}

fn done_attempt(request: RequestId, latency: TimeDelta) -> AttemptEnd {
    AttemptEnd { request, number: AttemptNumber(0), outcome: Outcome::Done, latency, request_is_over: true }
}
