//! The settings object, and the one way in which a module is told of it: on the bench and on sockets alike.

use crate::values::{index, object, or, span, text};
use serde_json::{Map, Value};
use tackmast::interface::{DedupScope, Effect, Instant, SlowStart, TimeDelta};
use tackmast::policy::Scheduler;

#[derive(Clone, Debug)]
pub struct TrafficClass {
    pub name: String,
    pub latency_objective: TimeDelta,
    pub deadline: TimeDelta,
    pub effect: Effect,
    pub in_order: bool,
    /// Whether it writes, where that is told.
    pub writes: Option<bool>,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub name: String,
    pub limit: f64,
    pub burst: f64,
    pub slack: f64,
    pub reserve: f64,
    pub weight: f64,
}

/// Names are those of the simulator's first message. What is absent there is so here: zero, none or off.
#[derive(Clone, Debug)]
pub struct Settings {
    pub hosts: u32,
    /// This host's number.
    pub me: u32,
    /// Whether hosts may send each other datagrams.
    pub peers: bool,
    pub tick: TimeDelta,
    pub mean_units: f64,
    /// Of one request, at most; 0: not told.
    pub max_units: f64,
    pub traffic_classes: Vec<TrafficClass>,
    pub plans: Vec<Plan>,
    pub max_attempts: u32,
    /// The longest that clients can be asked to stay away; zero: they can't be asked.
    pub longest_wait: TimeDelta,
    pub settle: TimeDelta,
    retry_budget: Option<(f64, f64, TimeDelta)>,
    cold: (f64, f64, TimeDelta, TimeDelta, f64),
    asks_list: bool,
    /// What load reports hold, in their order.
    pub report: Vec<String>,
    /// Whether answers tell of service through other hosts.
    pub tells: bool,
    pub zones: Vec<String>,
    pub drain_grace: TimeDelta,
    pub connect_timeout: TimeDelta,
    /// After this long a node closes an idle connection; zero: not told.
    pub conn_idle: TimeDelta,
}

impl Settings {
    pub fn read(env: &Map<String, Value>) -> Result<Self, String> {
        let part = |name: &str| env.get(name).and_then(Value::as_object).cloned().unwrap_or_default();
        let (domain, rules, limits) = (part("domain"), part("guarantees"), part("limits"));
        let list = |name: &str| env.get(name).and_then(Value::as_array).into_iter().flatten().enumerate();
        let writes = domain.get("class_writes").and_then(Value::as_array).cloned().unwrap_or_default();
        let writes = |i: usize| writes.get(i).and_then(Value::as_bool);
        let traffic_classes = list("request_classes")
            .map(|(i, v)| traffic_class(v, writes(i)).map_err(|e| format!("request_classes[{i}].{e}")))
            .collect::<Result<_, _>>()?;
        let plans = list("grades")
            .map(|(i, v)| plan(v).map_err(|e| format!("grades[{i}].{e}")))
            .collect::<Result<_, _>>()?;
        let names = |v: Option<&Value>| -> Vec<String> {
            let all = v.and_then(Value::as_array).into_iter().flatten();
            all.map(|v| v.as_str().unwrap_or_default().to_owned()).collect()
        };
        let asks_clients = limits.get("retry_after").and_then(Value::as_bool).unwrap_or(false);
        let retry_budget = match rules.contains_key("look_back") {
            true => {
                let (free, share) = (or(&rules, "extra_floor", 0.0)?, or(&rules, "further_ratio", 0.0)?);
                Some((free, share, span(&rules, "look_back")?))
            }
            false => None,
        };
        Ok(Settings {
            hosts: or(env, "balancers", 1.0)? as u32,
            me: or(env, "me", 0.0)? as u32,
            peers: limits.get("peers").and_then(Value::as_bool).unwrap_or(false),
            tick: span(env, "granularity")?,
            mean_units: or(&domain, "unit_mean", 1.0)?,
            max_units: or(&domain, "largest", 0.0)?,
            traffic_classes,
            plans,
            max_attempts: or(&limits, "max_attempts", f64::from(u32::MAX))? as u32,
            longest_wait: if asks_clients { span(&limits, "max_retry_after")? } else { TimeDelta::ZERO },
            settle: span(&rules, "order_settle")?,
            retry_budget,
            cold: (
                or(&domain, "cold_bears", 0.0)?,
                or(&rules, "cold_from", 1.0)?,
                span(&rules, "cold")?,
                span(&rules, "fall")?,
                or(&rules, "fall_multiple", 1.0)?,
            ),
            asks_list: env.get("registry_mode").and_then(Value::as_str) == Some("ask"),
            report: names(part("report").get("fields")),
            tells: domain.get("says_others").and_then(Value::as_bool).unwrap_or(false),
            zones: names(env.get("areas")),
            drain_grace: span(&rules, "drain_grace")?,
            connect_timeout: span(&limits, "connect_timeout")?,
            conn_idle: span(&limits, "conn_idle")?,
        })
    }

    /// A module that has been told all of it.
    pub fn scheduler(&self, now: Instant, seed: u64) -> Scheduler {
        let mut s = Scheduler::new(now, seed, self.hosts, self.tick, self.mean_units);
        for st in &self.traffic_classes {
            s.add_traffic_class(st.latency_objective, st.effect, st.in_order);
        }
        for p in &self.plans {
            s.add_plan(tackmast::interface::Plan {
                limit: p.limit,
                burst: p.burst,
                slack: p.slack,
                reserve: p.reserve,
                weight: p.weight,
            });
        }
        s.set_attempt_limits(self.max_attempts, self.longest_wait, self.settle);
        if let Some((free, share, window)) = self.retry_budget {
            s.set_retry_budget(free, share, window);
        }
        let (safe_units, initial_capacity, duration, window, overload_multiple) = self.cold;
        s.set_slow_start(SlowStart { safe_units, initial_capacity, duration, window, overload_multiple });
        if self.asks_list {
            s.subscribe_to_node_list();
        }
        s
    }

    /// Whether the platform brings lists to the host's machine by itself.
    pub fn lists_are_pushed(&self) -> bool {
        !self.asks_list
    }

    /// Where a load report holds the number of requests that wait.
    pub fn waiting_at(&self) -> Option<usize> {
        self.report.iter().position(|f| f == "q")
    }

    pub fn zone(&self, name: &str) -> Option<u32> {
        self.zones.iter().position(|z| z == name).map(|i| i as u32)
    }
}

fn traffic_class(v: &Value, writes: Option<bool>) -> Result<TrafficClass, String> {
    let class = object(Some(v), "")?;
    let effect = match text(class.get("effect"), "effect")? {
        "repeatable" => Effect::Idempotent,
        "once" => Effect::NonIdempotent,
        "by_key" => Effect::IdempotentByKey {
            scope: match text(class.get("group"), "group")? {
                "all" => DedupScope::All,
                "zone" => DedupScope::Zone,
                "cell" => DedupScope::Shard,
                other => return Err(format!("group: {other}; expected all, zone or cell")),
            },
            window: span(class, "window")?,
        },
        other => return Err(format!("effect: {other}; expected repeatable, by_key or once")),
    };
    Ok(TrafficClass {
        name: name(class),
        latency_objective: span(class, "target")?,
        deadline: span(class, "give_up")?,
        effect,
        in_order: class.get("in_order").and_then(Value::as_bool).unwrap_or(false),
        writes,
    })
}

fn plan(v: &Value) -> Result<Plan, String> {
    let plan = object(Some(v), "")?;
    Ok(Plan {
        name: name(plan),
        limit: or(plan, "ceiling_rate", 0.0)?,
        burst: or(plan, "most_at_once", 0.0)?,
        slack: or(plan, "slack", 0.0)?,
        reserve: or(plan, "floor_rate", 0.0)?,
        weight: or(plan, "proportion", 1.0)?,
    })
}

fn name(map: &Map<String, Value>) -> String {
    map.get("name").and_then(Value::as_str).unwrap_or_default().to_owned()
}

/// A whole number that is given either as a number or as text in hex.
pub(crate) fn seed(v: Option<&Value>) -> Result<u64, String> {
    match v.and_then(Value::as_str) {
        Some(hex) => u64::from_str_radix(hex, 16).map_err(|_| format!("{hex}; expected up to 16 hex digits")),
        None => index(v, "seed").map(u64::from),
    }
}
