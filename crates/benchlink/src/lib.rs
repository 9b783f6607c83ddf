//! Translates between the bench's lines and the decision module. Decides nothing.

use serde_json::{json, Map, Value};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tackmast::interface::*;
use tackmast::policy::Scheduler;
use tackmast_platform::values::{array, index, integer, number, text};
use tackmast_platform::Settings;

type Fields<'a> = &'a [Value];

/// Text of the wire to a small number and back; each text is kept once.
#[derive(Default)]
struct Names {
    numbers: HashMap<String, u32>,
    texts: Vec<String>,
}

impl Names {
    fn number(&mut self, text: &str) -> u32 {
        if let Some(n) = self.numbers.get(text) {
            return *n;
        }
        let n = self.texts.len() as u32;
        self.numbers.insert(text.to_owned(), n);
        self.texts.push(text.to_owned());
        n
    }
    fn known(&self, text: &str) -> Option<u32> {
        self.numbers.get(text).copied()
    }
}

struct Host {
    scheduler: Scheduler,
    requests: Names,
    nodes: Names,
    volumes: Names,
    keys: Names,
    armed: Option<Instant>,
    token: u64,
    waiting_at: Option<usize>, // where a load report holds the number of waiting requests
    tells: bool,               // whether answers tell of service through other hosts
}

/// All instances that this process serves.
#[derive(Default)]
pub struct Link {
    hosts: BTreeMap<i64, Host>,
    unknown: BTreeSet<String>,
}

impl Link {
    /// Takes one batch line, gives the reply line; an error says what was wrong and what was expected.
    pub fn batch(&mut self, line: &str) -> Result<String, String> {
        let batch: Value =
            serde_json::from_str(line).map_err(|e| format!("not JSON ({e}); expected a batch"))?;
        let batch = batch.as_object().ok_or("not an object; expected a batch with wall and events")?;
        let now = Instant::from_secs(number(batch.get("wall"), "wall")?);
        let events = array(batch.get("events"), "events")?;
        let mut touched = BTreeSet::new();
        for (i, event) in events.iter().enumerate() {
            let at = |e: String| format!("event {i}: {e}");
            let values =
                event.as_array().ok_or_else(|| at("not an array; expected name and values".into()))?;
            let name = text(values.first(), "event name").map_err(at)?;
            if let Some(host) = self.event(now, name, &values[1..]).map_err(|e| at(format!("{name}: {e}")))? {
                touched.insert(host);
            }
        }
        let mut orders = Vec::new();
        for number in touched {
            if let Some(host) = self.hosts.get_mut(&number) {
                host.decide(now, number, &mut orders);
            }
        }
        Ok(json!({ "orders": orders }).to_string())
    }

    fn event(&mut self, now: Instant, name: &str, v: Fields) -> Result<Option<i64>, String> {
        let known = ["Provision", "Detach", "Fleet", "Req", "UnderWay", "Completed", "Vanished", "Alarm"];
        if !known.contains(&name) {
            // Probes and messages between hosts are not asked for, so their events hold nothing of use.
            if !["Echo", "Message"].contains(&name) && self.unknown.insert(name.to_owned()) {
                eprintln!("benchlink: skipping events of the unknown name {name}");
            }
            return Ok(None);
        }
        let number = integer(v.first(), "host")?;
        match name {
            "Provision" => {
                let seed = v.get(1).and_then(Value::as_u64).ok_or("init_seed: expected a whole number")?;
                let env = v.get(2).and_then(Value::as_object).ok_or("env: expected an object")?;
                self.hosts.insert(number, Host::new(now, seed, env)?);
            }
            "Detach" => {
                self.hosts.remove(&number);
                return Ok(None);
            }
            _ => {
                let host = self
                    .hosts
                    .get_mut(&number)
                    .ok_or_else(|| format!("host {number} is unknown; expected one started"))?;
                host.event(now, name, v)?;
            }
        }
        Ok(Some(number))
    }
}

impl Host {
    fn new(now: Instant, seed: u64, env: &Map<String, Value>) -> Result<Self, String> {
        let settings = Settings::read(env)?;
        Ok(Host {
            scheduler: settings.scheduler(now, seed),
            requests: Names::default(),
            nodes: Names::default(),
            volumes: Names::default(),
            keys: Names::default(),
            armed: None,
            token: 0,
            waiting_at: settings.waiting_at(),
            tells: settings.tells,
        })
    }

    fn event(&mut self, now: Instant, name: &str, v: Fields) -> Result<(), String> {
        match name {
            "Req" => {
                let id = RequestId(self.requests.number(text(v.get(1), "tid")?));
                let key = v.get(4).and_then(Value::as_str).map(|k| KeyId(self.keys.number(k)));
                let shard = integer(v.get(8), "lies_in")?;
                let (traffic_class, plan) = (index(v.get(2), "service")?, index(v.get(3), "qos_class")?);
                if !self.scheduler.is_configured(TrafficClassId(traffic_class), PlanId(plan)) {
                    return Err(format!(
                        "service {traffic_class} or qos_class {plan} is not among the settings"
                    ));
                }
                let request = NewRequest {
                    id,
                    class: TrafficClassId(traffic_class),
                    plan: PlanId(plan),
                    key,
                    time_left: TimeDelta::from_secs(number(v.get(5), "budget")?),
                    volume: VolumeId(self.volumes.number(text(v.get(6), "store_user")?)),
                    units: number(v.get(7), "weight")?,
                    shard: u32::try_from(shard).ok().map(ShardId),
                    hosts: index(v.get(9), "hosts")?,
                };
                self.scheduler.request_arrived(now, request);
            }
            "Completed" => {
                let outcome = match text(v.get(4), "how")? {
                    "done" => Outcome::Done,
                    "err" => Outcome::Error,
                    "busy" => Outcome::Full,
                    "etimedout" => Outcome::TimedOut,
                    "econnrefused" => Outcome::Refused,
                    "econnreset" => Outcome::Reset,
                    "ecanceled" => Outcome::Cancelled,
                    "skipped" => Outcome::Skipped,
                    other => return Err(format!("outcome {other}; expected one of the wire's eight")),
                };
                let attempt = AttemptNumber(index(v.get(2), "try")?);
                let elapsed = TimeDelta::from_secs(number(v.get(5), "elapsed")?);
                let ended = v.get(6).and_then(Value::as_bool).ok_or("ended: expected true or false")?;
                let load = v.get(9).and_then(Value::as_array);
                if let Some(waiting) = self.waiting_at.and_then(|i| load?.get(i)?.as_f64()) {
                    let node = NodeId(self.nodes.number(text(v.get(3), "brick")?));
                    self.scheduler.load_reported(now, node, waiting);
                }
                if let Some(id) = self.requests.known(text(v.get(1), "tid")?) {
                    let elsewhere = v.get(8).and_then(Value::as_f64).unwrap_or(0.0);
                    let done = outcome == Outcome::Done;
                    self.scheduler.service_reported(now, RequestId(id), done, self.tells, elsewhere);
                    let end = AttemptEnd {
                        request: RequestId(id),
                        number: attempt,
                        outcome,
                        latency: elapsed,
                        is_over: ended,
                    };
                    self.scheduler.attempt_ended(now, end);
                }
            }
            "Vanished" => {
                if let Some(id) = self.requests.known(text(v.get(1), "tid")?) {
                    self.scheduler.request_cancelled(now, RequestId(id));
                }
            }
            "UnderWay" => {
                if let Some(id) = self.requests.known(text(v.get(1), "tid")?) {
                    self.scheduler.response_started(now, RequestId(id));
                }
            }
            "Fleet" => {
                let kind = match text(v.get(1), "how")? {
                    "INCREMENTAL" => ListKind::Changes,
                    "FULL" => ListKind::Complete,
                    "SAVED" => ListKind::Saved,
                    "FAILED" => ListKind::Failed,
                    other => {
                        return Err(format!("list kind {other}; expected INCREMENTAL, FULL, SAVED or FAILED"))
                    }
                };
                let empty = Vec::new();
                let lines = if kind == ListKind::Failed { &empty } else { array(v.get(3), "elements")? };
                let entries = lines.iter().map(|e| self.entry(e)).collect::<Result<Vec<_>, _>>()?;
                self.scheduler.nodes_changed(now, kind, &entries);
            }
            "Alarm" => {
                let token = v.get(1).and_then(Value::as_u64).ok_or("token: expected a whole number")?;
                self.armed = self.armed.filter(|_| token != self.token);
            }
            _ => {}
        }
        Ok(())
    }

    fn entry(&mut self, line: &Value) -> Result<NodeEntry, String> {
        let v = line.as_array().ok_or("elements: expected arrays")?;
        let up = v.get(6).and_then(Value::as_f64).filter(|t| *t > 0.0);
        Ok(NodeEntry {
            state: match text(v.get(1), "status")? {
                "ready" => NodeState::Ready,
                "draining" => NodeState::Draining,
                "gone" => NodeState::Gone,
                other => return Err(format!("status {other}; expected ready, draining or gone")),
            },
            node: NodeId(self.nodes.number(text(v.get(2), "brick")?)),
            zone: ZoneId(index(v.get(4), "hall")?),
            shard: ShardId(index(v.get(5), "cell")?),
            up_since: up.map(Instant::from_secs),
        })
    }

    fn decide(&mut self, now: Instant, number: i64, orders: &mut Vec<Value>) {
        while let Some(d) = self.scheduler.poll_decision(now) {
            orders.push(match d {
                // What leaves here has begun.
                Decision::Send { request, node, timeout, begin_by: _ } => {
                    let (tid, brick) = (self.request(request), &self.nodes.texts[node.0 as usize]);
                    json!(["Transmit", number, tid, brick, timeout.map_or(0.0, TimeDelta::secs)])
                }
                Decision::Reject { request, retry_after } => {
                    json!([
                        "TurnAway",
                        number,
                        self.request(request),
                        retry_after.map_or(0.0, TimeDelta::secs)
                    ])
                }
                Decision::Fail { request } => json!(["ReportFailure", number, self.request(request)]),
                Decision::FollowList => json!(["Follow", number, true]),
                Decision::Log(line) => json!(["SayLog", number, line]),
            });
        }
        if let Some(t) = self.scheduler.poll_timeout().filter(|t| self.armed.is_none_or(|a| *t < a)) {
            self.armed = Some(t);
            self.token += 1;
            orders.push(json!(["NotifyMe", number, (t - now).secs().max(0.0), self.token]));
        }
    }

    fn request(&self, id: RequestId) -> &str {
        &self.requests.texts[id.0 as usize]
    }
}
