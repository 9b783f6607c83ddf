//! What a request costs in the host core, and in the decision module alone, on one thread without any I/O.

use bytes::Bytes;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Instant as Wall;
use tackmast::interface::*;
use tackmast::scheduler::Scheduler;
use tackmast_config::HostSettings;
use tackmast_host_core::{
    AttemptResult, ClientCommand, CommandRef, Core, ListEntry, Output, PersistBatch, Work,
};
use tackmast_overrides::{Kind, OverrideId, Overrides, Target};

#[derive(Clone, Debug, Serialize)]
pub struct CoreCost {
    #[serde(rename = "transfers")]
    pub requests: u64,
    pub core_us: f64,
    pub module_us: f64,
}

const NODES: u32 = 4;
const OPEN: usize = 64; // requests at a time

fn seconds(i: u64) -> Instant {
    Instant::from_secs(100.0 + i as f64 * 1e-5)
}

/// Requests that are sent and answered at once, `OPEN` at a time, for so many in all.
pub fn core_cost(requests: u64) -> Result<CoreCost, String> {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let text = crate::settings(NODES as usize, nowhere, nowhere);
    let settings = HostSettings::parse("measure", &text).map_err(|e| e.to_string())?;
    Ok(CoreCost {
        requests,
        core_us: core(&settings, requests, None),
        module_us: module(&settings, requests),
    })
}

/// Microseconds of a request in the host core with no overrides, and with so many standing over its nodes.
pub fn core_cost_with_orders(requests: u64, orders: u32) -> Result<(f64, f64), String> {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let text = crate::settings(NODES as usize, nowhere, nowhere);
    let settings = HostSettings::parse("measure", &text).map_err(|e| e.to_string())?;
    let set = |n: u32| {
        let limits = tackmast_overrides::Settings { max_overrides: 1 << 20, max_zone_fraction: 1.0 };
        let record = |i: u32| tackmast_overrides::Override {
            id: OverrideId(u64::from(i) + 1),
            target: Target::Node(SocketAddr::from(([127, 0, 0, 1], 1000 + (i % NODES) as u16))),
            kind: if i.is_multiple_of(2) { Kind::Pinned } else { Kind::Weight(1.0) },
            reason: "measured".into(),
            who: "nobody".into(),
            set_us: 0,
            ends_us: 1_000_000_000 + u64::from(i),
            origin: None,
        };
        Overrides::new(seconds(0), 0, limits, (0..n).map(record).collect(), 1).0
    };
    // One after the other, twice, and the better of each: the first to run warms the machine for the second.
    let best = |n: u32| (0..2).map(|_| core(&settings, requests, Some(set(n)))).fold(f64::MAX, f64::min);
    Ok((best(0), best(orders)))
}

fn core(settings: &HostSettings, requests: u64, orders: Option<Overrides>) -> f64 {
    let mut core = Core::new(seconds(0), settings, 1, 1);
    if let Some(o) = orders {
        core.with_overrides(seconds(0), o, PersistBatch::default());
    }
    let node = |n: u32| ListEntry {
        id: n.to_string(),
        address: format!("127.0.0.1:{}", 1000 + n),
        state: NodeState::Ready,
        zone: ZoneId(0),
        shard: ShardId(n),
        start: None,
    };
    let list: Vec<ListEntry> = (0..NODES).map(node).collect();
    core.handle_endpoint_list(seconds(0), ListKind::Complete, 0, 1, &list);
    let started = Wall::now();
    let (mut sent, mut done) = (0u64, 0u64);
    let mut attempts = Vec::new();
    let mut open = 0;
    while done < requests {
        let now = seconds(done);
        while open < OPEN && sent < requests {
            let from = CommandRef { session: 1, command: sent as u32 };
            core.handle_command(
                now,
                ClientCommand {
                    from,
                    lun: 0,
                    block: sent * 8 % 1_000_000,
                    work: Work::Read { blocks: 8 },
                    received_at: now,
                    timeout: None,
                    idempotency_key: None,
                },
            );
            sent += 1;
            open += 1;
        }
        core.handle_timeout(now);
        let before = done;
        while let Some(o) = core.poll_output(now) {
            match o {
                Output::Send(attempt) => {
                    attempt.ticket.claim();
                    attempt.ticket.written();
                    attempts.push(attempt.attempt);
                }
                Output::Answer { .. } => {
                    done += 1;
                    open -= 1;
                }
                _ => {}
            }
        }
        let later = seconds(done + 1);
        for attempt in attempts.drain(..) {
            let data = Bytes::from_static(&[0; 4096]);
            let back = AttemptResult {
                attempt,
                outcome: Outcome::Done,
                waiting: Some(0),
                elsewhere: Some(0.0),
                data,
            };
            core.handle_attempt_result(later, back);
        }
        // What neither is sent nor answered at this moment needs time to pass.
        if done == before && open == OPEN {
            core.handle_timeout(later);
        }
    }
    started.elapsed().as_secs_f64() * 1e6 / requests as f64
}

fn module(settings: &HostSettings, requests: u64) -> f64 {
    let mut s =
        Scheduler::new(seconds(0), 1, 1, TimeDelta::from_secs(0.002), settings.units.mean_per_request);
    for st in &settings.traffic_classes {
        s.add_traffic_class(st.latency_objective, st.effect, st.in_order);
    }
    for p in &settings.plans {
        s.add_plan(Plan {
            limit: p.limit,
            burst: p.burst,
            slack: p.slack,
            reserve: p.reserve,
            weight: p.weight,
        });
    }
    let node = |n: u32| NodeEntry {
        node: NodeId(n),
        state: NodeState::Ready,
        zone: ZoneId(0),
        shard: ShardId(n),
        up_since: None,
    };
    let list: Vec<NodeEntry> = (0..NODES).map(node).collect();
    s.nodes_changed(seconds(0), ListKind::Complete, &list);
    let started = Wall::now();
    let (mut sent, mut done) = (0u64, 0u64);
    let mut out = Vec::new();
    while done < requests {
        let now = seconds(done);
        while sent - done < OPEN as u64 && sent < requests {
            let (id, shard) = (RequestId(sent as u32), ShardId((sent % u64::from(NODES)) as u32));
            let key = Some(KeyId(sent as u32 % 100_000));
            let left = TimeDelta::from_secs(5.0);
            let request = NewRequest {
                id,
                class: TrafficClassId(0),
                plan: PlanId(0),
                key,
                time_left: left,
                volume: VolumeId(0),
                units: 1.0,
                shard: Some(shard),
                hosts: 1,
            };
            s.request_arrived(now, request);
            sent += 1;
        }
        while let Some(d) = s.poll_decision(now) {
            if let Decision::Send { request, .. } = d {
                out.push(request);
            }
        }
        let later = seconds(done + 1);
        for id in out.drain(..) {
            s.service_reported(later, id, true, 0.0);
            let end = AttemptEnd {
                request: id,
                number: AttemptNumber(0),
                outcome: Outcome::Done,
                latency: later - now,
                is_over: true,
            };
            s.attempt_ended(later, end);
            done += 1;
        }
    }
    started.elapsed().as_secs_f64() * 1e6 / requests as f64
}
