//! One host of the bench: its events, as inputs of its scheduler, and its decisions, as orders.

use crate::names::Names;
use crate::LinkError;
use serde_json::{json, Map, Value};
use tackmast::interface::*;
use tackmast::scheduler::Scheduler;
use tackmast_platform::values::{array, index, integer, number, text};
use tackmast_platform::{FieldError, Settings};

/// A scheduler, and what its numbers stand for on the wire.
pub struct Host {
    scheduler: Scheduler,
    requests: Names,
    nodes: Names,
    volumes: Names,
    keys: Names,
    /// When the bench has been asked to wake the host.
    timer_at: Option<Instant>,
    /// Of the last timer that was asked for.
    timer_token: u64,
    /// Where a load report holds the number of waiting requests.
    waiting_at: Option<usize>,
    /// Whether answers report service through other hosts.
    reports_others: bool,
}

impl Host {
    /// A host with these settings, as the bench words them.
    pub fn new(now: Instant, seed: u64, settings: &Map<String, Value>) -> Result<Self, LinkError> {
        let settings = Settings::read(settings)?;
        Ok(Host {
            scheduler: settings.scheduler(now, seed),
            requests: Names::default(),
            nodes: Names::default(),
            volumes: Names::default(),
            keys: Names::default(),
            timer_at: None,
            timer_token: 0,
            waiting_at: settings.waiting_at(),
            reports_others: settings.reports_peer_service,
        })
    }

    /// Takes an event; `values` begin with the host's number.
    pub fn event(&mut self, now: Instant, name: &str, values: &[Value]) -> Result<(), LinkError> {
        match name {
            "Req" => self.on_request(now, values),
            "Completed" => self.on_attempt_end(now, values),
            "Vanished" => {
                if let Some(id) = self.known_request(values)? {
                    self.scheduler.request_cancelled(now, id);
                }
                Ok(())
            }
            "UnderWay" => {
                if let Some(id) = self.known_request(values)? {
                    self.scheduler.response_started(now, id);
                }
                Ok(())
            }
            "Fleet" => self.on_node_list(now, values),
            "Alarm" => self.on_timer(values),
            _ => Ok(()),
        }
    }

    fn on_request(&mut self, now: Instant, values: &[Value]) -> Result<(), LinkError> {
        let id = RequestId(self.requests.number(text(values.get(1), "tid")?));
        let key = values.get(4).and_then(Value::as_str).map(|key| KeyId(self.keys.number(key)));
        let shard = integer(values.get(8), "lies_in")?;
        let (traffic_class, plan) = (index(values.get(2), "service")?, index(values.get(3), "qos_class")?);
        if !self.scheduler.is_configured(TrafficClassId(traffic_class), PlanId(plan)) {
            return Err(LinkError::NotConfigured { traffic_class, plan });
        }
        let request = NewRequest {
            id,
            class: TrafficClassId(traffic_class),
            plan: PlanId(plan),
            key,
            time_left: TimeDelta::from_secs(number(values.get(5), "budget")?),
            volume: VolumeId(self.volumes.number(text(values.get(6), "store_user")?)),
            units: number(values.get(7), "weight")?,
            shard: u32::try_from(shard).ok().map(ShardId),
            hosts: index(values.get(9), "hosts")?,
        };
        self.scheduler.request_arrived(now, request);
        Ok(())
    }

    fn on_attempt_end(&mut self, now: Instant, values: &[Value]) -> Result<(), LinkError> {
        let outcome = outcome(text(values.get(4), "how")?)?;
        let attempt = AttemptNumber(index(values.get(2), "try")?);
        let latency = TimeDelta::from_secs(number(values.get(5), "elapsed")?);
        let is_over = values
            .get(6)
            .and_then(Value::as_bool)
            .ok_or_else(|| FieldError::new("ended", "true or false"))?;
        let load = values.get(9).and_then(Value::as_array);
        if let Some(waiting) = self.waiting_at.and_then(|index| load?.get(index)?.as_f64()) {
            let node = NodeId(self.nodes.number(text(values.get(3), "brick")?));
            self.scheduler.load_reported(now, node, waiting);
        }
        if let Some(request) = self.known_request(values)? {
            let others = values.get(8).and_then(Value::as_f64).unwrap_or(0.0);
            if self.reports_others {
                self.scheduler.service_reported(now, request, outcome == Outcome::Done, others);
            }
            let end = AttemptEnd { request, number: attempt, outcome, latency, is_over };
            self.scheduler.attempt_ended(now, end);
        }
        Ok(())
    }

    fn on_node_list(&mut self, now: Instant, values: &[Value]) -> Result<(), LinkError> {
        let kind = list_kind(text(values.get(1), "how")?)?;
        let empty = Vec::new();
        let lines = if kind == ListKind::Failed { &empty } else { array(values.get(3), "elements")? };
        let entries = lines.iter().map(|line| self.node_entry(line)).collect::<Result<Vec<_>, _>>()?;
        self.scheduler.nodes_changed(now, kind, &entries);
        Ok(())
    }

    fn on_timer(&mut self, values: &[Value]) -> Result<(), LinkError> {
        let token = values
            .get(1)
            .and_then(Value::as_u64)
            .ok_or_else(|| FieldError::new("token", "a whole number"))?;
        self.timer_at = self.timer_at.filter(|_| token != self.timer_token);
        Ok(())
    }

    /// The request that an event names, unless it was never seen.
    fn known_request(&self, values: &[Value]) -> Result<Option<RequestId>, LinkError> {
        Ok(self.requests.known(text(values.get(1), "tid")?).map(RequestId))
    }

    fn node_entry(&mut self, line: &Value) -> Result<NodeEntry, LinkError> {
        let values = line.as_array().ok_or_else(|| FieldError::new("elements", "arrays"))?;
        let up_since = values.get(6).and_then(Value::as_f64).filter(|at| *at > 0.0);
        Ok(NodeEntry {
            state: node_state(text(values.get(1), "status")?)?,
            node: NodeId(self.nodes.number(text(values.get(2), "brick")?)),
            zone: ZoneId(index(values.get(4), "hall")?),
            shard: ShardId(index(values.get(5), "cell")?),
            up_since: up_since.map(Instant::from_secs),
        })
    }

    /// Adds all that the host is to do now to the orders of the reply.
    pub fn decide(&mut self, now: Instant, number: i64, orders: &mut Vec<Value>) {
        while let Some(decision) = self.scheduler.poll_decision(now) {
            orders.push(self.order(number, decision));
        }
        let next = self.scheduler.poll_timeout();
        if let Some(at) = next.filter(|next| self.timer_at.is_none_or(|timer_at| *next < timer_at)) {
            self.timer_at = Some(at);
            self.timer_token += 1;
            orders.push(json!(["NotifyMe", number, (at - now).secs().max(0.0), self.timer_token]));
        }
    }

    fn order(&self, number: i64, decision: Decision) -> Value {
        match decision {
            // What is sent here has begun, so there is nothing to begin by a time.
            Decision::Send { request, node, timeout, begin_by: _ } => {
                let (request, node) = (self.requests.text(request.0), self.nodes.text(node.0));
                json!(["Transmit", number, request, node, timeout.map_or(0.0, TimeDelta::secs)])
            }
            Decision::Reject { request, retry_after, reason: _ } => {
                let request = self.requests.text(request.0);
                json!(["TurnAway", number, request, retry_after.map_or(0.0, TimeDelta::secs)])
            }
            Decision::Fail { request, reason: _ } => json!(["ReportFailure", number, self.requests.text(request.0)]),
            Decision::FollowList => json!(["Follow", number, true]),
            Decision::Event(event) => json!(["SayLog", number, event.to_string()]),
        }
    }
}

fn outcome(value: &str) -> Result<Outcome, LinkError> {
    Ok(match value {
        "done" => Outcome::Done,
        "err" => Outcome::Error,
        "busy" => Outcome::Full,
        "etimedout" => Outcome::TimedOut,
        "econnrefused" => Outcome::Refused,
        "econnreset" => Outcome::Reset,
        "ecanceled" => Outcome::Cancelled,
        "skipped" => Outcome::Skipped,
        _ => return Err(unknown("outcome", value, "one of the wire's eight")),
    })
}

fn list_kind(value: &str) -> Result<ListKind, LinkError> {
    Ok(match value {
        "INCREMENTAL" => ListKind::Changes,
        "FULL" => ListKind::Complete,
        "SAVED" => ListKind::Saved,
        "FAILED" => ListKind::Failed,
        _ => return Err(unknown("list kind", value, "INCREMENTAL, FULL, SAVED or FAILED")),
    })
}

fn node_state(value: &str) -> Result<NodeState, LinkError> {
    Ok(match value {
        "ready" => NodeState::Ready,
        "draining" => NodeState::Draining,
        "gone" => NodeState::Gone,
        _ => return Err(unknown("status", value, "ready, draining or gone")),
    })
}

fn unknown(field: &'static str, found: &str, expected: &'static str) -> LinkError {
    LinkError::UnknownValue { field, found: found.to_owned(), expected }
}
