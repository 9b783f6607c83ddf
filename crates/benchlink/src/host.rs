//! One host of the bench: its events as inputs of its scheduler, and the scheduler's decisions as values of the reply.

use crate::names::Names;
use crate::wire::{self, field, DecisionWriter, EventKind};
use crate::LinkError;
use serde_json::{Map, Value};
use tackmast::interface::*;
use tackmast::scheduler::Scheduler;
use tackmast_platform::values::{array, index, integer, number, text};
use tackmast_platform::{FieldError, Settings};

/// A scheduler, and what its numbers stand for on the wire.
pub(crate) struct Host {
    scheduler: Scheduler,
    requests: Names,
    nodes: Names,
    volumes: Names,
    keys: Names,
    /// When the bench has been asked to wake the host.
    timer_at: Option<Instant>,
    /// Of the last timer that was asked for.
    timer_number: u64,
    /// Where a load report holds the number of waiting requests.
    waiting_at: Option<usize>,
    /// Whether answers report service through other hosts.
    reports_others: bool,
}

impl Host {
    /// A host with these settings, as the bench words them.
    pub(crate) fn new(now: Instant, seed: u64, settings: &Map<String, Value>) -> Result<Self, LinkError> {
        let settings = Settings::read(settings)?;
        Ok(Host {
            scheduler: settings.scheduler(now, seed),
            requests: Names::default(),
            nodes: Names::default(),
            volumes: Names::default(),
            keys: Names::default(),
            timer_at: None,
            timer_number: 0,
            waiting_at: settings.queue_length_position(),
            reports_others: settings.reports_peer_service,
        })
    }

    /// Takes an event; `values` begin with the host's number.
    pub(crate) fn event(&mut self, now: Instant, kind: EventKind, values: &[Value]) -> Result<(), LinkError> {
        match kind {
            EventKind::RequestArrived => self.on_request(now, values),
            EventKind::AttemptEnded => self.on_attempt_end(now, values),
            EventKind::ClientLeft => {
                if let Some(id) = self.known_request(values)? {
                    self.scheduler.request_cancelled(now, id);
                }
                Ok(())
            }
            EventKind::ResponseStarted => {
                if let Some(id) = self.known_request(values)? {
                    self.scheduler.response_started(now, id);
                }
                Ok(())
            }
            EventKind::NodeList => self.on_node_list(now, values),
            EventKind::TimerExpired => self.on_timer(values),
            EventKind::HostStarted | EventKind::HostEnded => Ok(()),
        }
    }

    fn on_request(&mut self, now: Instant, values: &[Value]) -> Result<(), LinkError> {
        let id = RequestId(self.requests.number(text(values.get(1), field::REQUEST)?));
        let key = values.get(4).and_then(Value::as_str).map(|key| KeyId(self.keys.number(key)));
        let shard = integer(values.get(8), field::SHARD_OF_REQUEST)?;
        let (traffic_class, plan) =
            (index(values.get(2), field::TRAFFIC_CLASS)?, index(values.get(3), field::PLAN)?);
        if !self.scheduler.is_configured(TrafficClassId(traffic_class), PlanId(plan)) {
            return Err(LinkError::NotConfigured { traffic_class, plan });
        }
        let request = NewRequest {
            id,
            class: TrafficClassId(traffic_class),
            plan: PlanId(plan),
            key,
            time_left: TimeDelta::from_secs(number(values.get(5), field::TIME_LEFT)?),
            volume: VolumeId(self.volumes.number(text(values.get(6), field::VOLUME)?)),
            units: number(values.get(7), field::UNITS)?,
            shard: u32::try_from(shard).ok().map(ShardId),
            hosts: index(values.get(9), field::HOSTS)?,
        };
        self.scheduler.request_arrived(now, request);
        Ok(())
    }

    fn on_attempt_end(&mut self, now: Instant, values: &[Value]) -> Result<(), LinkError> {
        let outcome = wire::outcome(text(values.get(4), field::HOW)?)?;
        let attempt = AttemptNumber(index(values.get(2), field::ATTEMPT)?);
        let latency = TimeDelta::from_secs(number(values.get(5), field::LATENCY)?);
        let is_over = values
            .get(6)
            .and_then(Value::as_bool)
            .ok_or_else(|| FieldError::new(field::IS_OVER, "true or false"))?;
        let load = values.get(9).and_then(Value::as_array);
        if let Some(waiting) = self.waiting_at.and_then(|index| load?.get(index)?.as_f64()) {
            let node = NodeId(self.nodes.number(text(values.get(3), field::NODE)?));
            self.scheduler.load_reported(now, node, waiting);
        }
        if let Some(request) = self.known_request(values)? {
            let others = values.get(8).and_then(Value::as_f64).unwrap_or(0.0);
            if self.reports_others {
                self.scheduler.service_reported(now, request, outcome == Outcome::Done, others);
            }
            let end = AttemptEnd { request, number: attempt, outcome, latency, request_is_over: is_over };
            self.scheduler.attempt_ended(now, end);
        }
        Ok(())
    }

    fn on_node_list(&mut self, now: Instant, values: &[Value]) -> Result<(), LinkError> {
        let kind = wire::list_kind(text(values.get(1), field::HOW)?)?;
        let empty = Vec::new();
        let lines = if kind == ListKind::Failed { &empty } else { array(values.get(3), field::ENTRIES)? };
        let entries = lines.iter().map(|line| self.node_entry(line)).collect::<Result<Vec<_>, _>>()?;
        self.scheduler.nodes_changed(now, kind, &entries);
        Ok(())
    }

    fn on_timer(&mut self, values: &[Value]) -> Result<(), LinkError> {
        let number = values
            .get(1)
            .and_then(Value::as_u64)
            .ok_or_else(|| FieldError::new(field::TIMER, "a whole number"))?;
        self.timer_at = self.timer_at.filter(|_| number != self.timer_number);
        Ok(())
    }

    /// The request that an event names, unless it was never seen.
    fn known_request(&self, values: &[Value]) -> Result<Option<RequestId>, LinkError> {
        Ok(self.requests.known(text(values.get(1), field::REQUEST)?).map(RequestId))
    }

    fn node_entry(&mut self, line: &Value) -> Result<NodeEntry, LinkError> {
        let values = line.as_array().ok_or_else(|| FieldError::new(field::ENTRIES, "arrays"))?;
        let up_since = values.get(6).and_then(Value::as_f64).filter(|at| *at > 0.0);
        Ok(NodeEntry {
            state: wire::node_state(text(values.get(1), field::NODE_STATE)?)?,
            node: NodeId(self.nodes.number(text(values.get(2), field::NODE)?)),
            zone: ZoneId(index(values.get(4), field::ZONE)?),
            shard: ShardId(index(values.get(5), field::SHARD_OF_NODE)?),
            up_since: up_since.map(Instant::from_secs),
        })
    }

    /// Adds all that the host is to do now to the decisions of the reply.
    pub(crate) fn decide(&mut self, now: Instant, number: i64, decisions: &mut Vec<Value>) {
        let writer = DecisionWriter { host: number };
        while let Some(decision) = self.scheduler.poll_decision(now) {
            decisions.push(self.write_decision(&writer, decision));
        }
        let next = self.scheduler.poll_timeout();
        if let Some(at) = next.filter(|next| self.timer_at.is_none_or(|timer_at| *next < timer_at)) {
            self.timer_at = Some(at);
            self.timer_number += 1;
            decisions.push(writer.set_timer(at - now, self.timer_number));
        }
    }

    fn write_decision(&self, writer: &DecisionWriter, decision: Decision) -> Value {
        match decision {
            // What is sent here has begun, so there is nothing to begin by a time.
            Decision::Send { request, node, timeout, begin_by: _ } => {
                writer.send(self.requests.text(request.0), self.nodes.text(node.0), timeout)
            }
            Decision::Reject { request, retry_after, reason: _ } => {
                writer.reject(self.requests.text(request.0), retry_after)
            }
            Decision::Fail { request, reason: _ } => writer.fail(self.requests.text(request.0)),
            Decision::WatchEndpointList => writer.watch_endpoint_list(),
            Decision::Event(event) => writer.log(&event.to_string()),
        }
    }
}
