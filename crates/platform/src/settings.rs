//! The settings object, and the one way in which a scheduler is set up from it: on the bench and on sockets alike.

use crate::values::{index, number_or, object, text, time_delta, FieldError};
use serde_json::{Map, Value};
use tackmast::interface::{DedupScope, Effect, Instant, SlowStartSettings, TimeDelta};
use tackmast::scheduler::Scheduler;

/// A traffic class of the settings (`request_classes`).
#[derive(Clone, Debug)]
pub struct TrafficClass {
    /// Its name in requests.
    pub name: String,
    /// The time within which an answer earns its full worth.
    pub latency_objective: TimeDelta,
    /// The time after which an answer is worth nothing.
    pub deadline: TimeDelta,
    /// Whether its requests may run twice.
    pub effect: Effect,
    /// Whether requests of one key have to run one at a time, in order.
    pub in_order: bool,
    /// Whether it writes, if the settings name it.
    pub writes: Option<bool>,
}

/// A plan of the settings (`grades`).
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name in requests.
    pub name: String,
    /// Units a second; 0: no limit.
    pub limit: f64,
    /// Units that may be sent at once.
    pub burst: f64,
    /// Units by which all hosts together may exceed the limit.
    pub slack: f64,
    /// Units a second that are served first.
    pub reserve: f64,
    /// The share of best-effort units.
    pub weight: f64,
}

/// The settings of a host, from the bench's first message or the configuration file. A field that is absent there is zero, none or off.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Hosts that share the nodes.
    pub hosts: u32,
    /// This host's number.
    pub host_number: u32,
    /// Whether hosts may send each other datagrams.
    pub allows_datagrams: bool,
    /// Resolution of the host's timers.
    pub granularity: TimeDelta,
    /// Mean size of a request in units.
    pub mean_units: f64,
    /// Maximum size of a request in units; 0: unknown.
    pub max_units: f64,
    /// By their numbers in the scheduler.
    pub traffic_classes: Vec<TrafficClass>,
    /// By their numbers in the scheduler.
    pub plans: Vec<Plan>,
    /// Attempts of one request.
    pub max_attempts: u32,
    /// The longest retry-after that clients accept; zero: none.
    pub longest_wait: TimeDelta,
    /// For how long the next request of a key waits after an attempt that may still run.
    pub settle: TimeDelta,
    retry_budget: Option<RetryBudget>,
    slow_start: SlowStartSettings,
    polls_list: bool,
    /// The fields of load reports, in their order.
    pub report: Vec<String>,
    /// Whether answers report the service of volumes through other hosts.
    pub reports_peer_service: bool,
    /// Names of zones, by their numbers.
    pub zones: Vec<String>,
    /// For how long a draining node still accepts attempts.
    pub drain_grace: TimeDelta,
    /// The time within which a connection to a node must be established.
    pub connect_timeout: TimeDelta,
    /// The time after which a node closes an idle connection; zero: unknown.
    pub conn_idle: TimeDelta,
}

/// Retries that are allowed within a window: a number, and a share of the requests.
#[derive(Clone, Copy, Debug)]
struct RetryBudget {
    /// Retries that are allowed without requests.
    free: f64,
    /// Further retries for each request.
    share: f64,
    window: TimeDelta,
}

impl Settings {
    /// Reads the settings object. An error names the field.
    pub fn read(env: &Map<String, Value>) -> Result<Self, FieldError> {
        let part = |name: &str| env.get(name).and_then(Value::as_object).cloned().unwrap_or_default();
        let (domain, rules, limits) = (part("domain"), part("guarantees"), part("limits"));
        let traffic_classes = traffic_classes(env, &domain)?;
        let plans = plans(env)?;
        let retry_budget = retry_budget(&rules)?;
        let sends_retry_after = limits.get("retry_after").and_then(Value::as_bool).unwrap_or(false);
        Ok(Settings {
            hosts: number_or(env, "balancers", 1.0)? as u32,
            host_number: number_or(env, "me", 0.0)? as u32,
            allows_datagrams: limits.get("peers").and_then(Value::as_bool).unwrap_or(false),
            granularity: time_delta(env, "granularity")?,
            mean_units: number_or(&domain, "unit_mean", 1.0)?,
            max_units: number_or(&domain, "largest", 0.0)?,
            traffic_classes,
            plans,
            max_attempts: number_or(&limits, "max_attempts", f64::from(u32::MAX))? as u32,
            longest_wait: if sends_retry_after {
                time_delta(&limits, "max_retry_after")?
            } else {
                TimeDelta::ZERO
            },
            settle: time_delta(&rules, "order_settle")?,
            retry_budget,
            slow_start: slow_start(&domain, &rules)?,
            polls_list: env.get("registry_mode").and_then(Value::as_str) == Some("ask"),
            report: texts(part("report").get("fields")),
            reports_peer_service: domain.get("says_others").and_then(Value::as_bool).unwrap_or(false),
            zones: texts(env.get("areas")),
            drain_grace: time_delta(&rules, "drain_grace")?,
            connect_timeout: time_delta(&limits, "connect_timeout")?,
            conn_idle: time_delta(&limits, "conn_idle")?,
        })
    }

    /// A scheduler that is set up by these settings.
    pub fn scheduler(&self, now: Instant, seed: u64) -> Scheduler {
        let mut scheduler = Scheduler::new(now, seed, self.hosts, self.granularity, self.mean_units);
        for class in &self.traffic_classes {
            scheduler.add_traffic_class(class.latency_objective, class.effect, class.in_order);
        }
        for plan in &self.plans {
            scheduler.add_plan(tackmast::interface::Plan {
                limit: plan.limit,
                burst: plan.burst,
                slack: plan.slack,
                reserve: plan.reserve,
                weight: plan.weight,
            });
        }
        scheduler.set_attempt_limits(self.max_attempts, self.longest_wait, self.settle);
        if let Some(budget) = self.retry_budget {
            scheduler.set_retry_budget(budget.free, budget.share, budget.window);
        }
        scheduler.set_slow_start(self.slow_start);
        if self.polls_list {
            scheduler.watch_endpoint_list();
        }
        scheduler
    }

    /// Whether the platform pushes endpoint lists to an agent on the host's machine.
    pub fn lists_are_pushed(&self) -> bool {
        !self.polls_list
    }

    /// The position of the number of waiting requests in a load report.
    pub fn queue_length_position(&self) -> Option<usize> {
        self.report.iter().position(|field| field == "q")
    }

    /// The number of a zone.
    pub fn zone(&self, name: &str) -> Option<u32> {
        self.zones.iter().position(|zone| zone == name).map(|index| index as u32)
    }
}

/// The values of an array with their positions; none where there is no array.
fn entries<'a>(env: &'a Map<String, Value>, name: &str) -> impl Iterator<Item = (usize, &'a Value)> {
    env.get(name).and_then(Value::as_array).into_iter().flatten().enumerate()
}

fn traffic_classes(
    env: &Map<String, Value>,
    domain: &Map<String, Value>,
) -> Result<Vec<TrafficClass>, FieldError> {
    let writes = domain.get("class_writes").and_then(Value::as_array);
    let writes = |index: usize| writes.and_then(|writes| writes.get(index)).and_then(Value::as_bool);
    entries(env, "request_classes")
        .map(|(index, class)| {
            let path = format!("request_classes[{index}]");
            traffic_class(class, writes(index)).map_err(|error| error.within(&path))
        })
        .collect()
}

fn plans(env: &Map<String, Value>) -> Result<Vec<Plan>, FieldError> {
    entries(env, "grades")
        .map(|(index, value)| plan(value).map_err(|error| error.within(&format!("grades[{index}]"))))
        .collect()
}

fn retry_budget(rules: &Map<String, Value>) -> Result<Option<RetryBudget>, FieldError> {
    if !rules.contains_key("look_back") {
        return Ok(None);
    }
    Ok(Some(RetryBudget {
        free: number_or(rules, "extra_floor", 0.0)?,
        share: number_or(rules, "further_ratio", 0.0)?,
        window: time_delta(rules, "look_back")?,
    }))
}

fn slow_start(
    domain: &Map<String, Value>,
    rules: &Map<String, Value>,
) -> Result<SlowStartSettings, FieldError> {
    Ok(SlowStartSettings {
        safe_units: number_or(domain, "cold_bears", 0.0)?,
        initial_capacity: number_or(rules, "cold_from", 1.0)?,
        duration: time_delta(rules, "cold")?,
        window: time_delta(rules, "fall")?,
        overload_multiple: number_or(rules, "fall_multiple", 1.0)?,
    })
}

/// The texts of an array; anything else is an empty text.
fn texts(value: Option<&Value>) -> Vec<String> {
    let all = value.and_then(Value::as_array).into_iter().flatten();
    all.map(|text| text.as_str().unwrap_or_default().to_owned()).collect()
}

fn traffic_class(value: &Value, writes: Option<bool>) -> Result<TrafficClass, FieldError> {
    let class = object(Some(value), "")?;
    let effect = match text(class.get("effect"), "effect")? {
        "repeatable" => Effect::Idempotent,
        "once" => Effect::NonIdempotent,
        "by_key" => Effect::IdempotentByKey {
            scope: match text(class.get("group"), "group")? {
                "all" => DedupScope::All,
                "zone" => DedupScope::Zone,
                "cell" => DedupScope::Shard,
                other => return Err(FieldError::with_found("group", other, "all, zone or cell")),
            },
            window: time_delta(class, "window")?,
        },
        other => return Err(FieldError::with_found("effect", other, "repeatable, by_key or once")),
    };
    Ok(TrafficClass {
        name: name(class),
        latency_objective: time_delta(class, "target")?,
        deadline: time_delta(class, "give_up")?,
        effect,
        in_order: class.get("in_order").and_then(Value::as_bool).unwrap_or(false),
        writes,
    })
}

fn plan(value: &Value) -> Result<Plan, FieldError> {
    let plan = object(Some(value), "")?;
    Ok(Plan {
        name: name(plan),
        limit: number_or(plan, "ceiling_rate", 0.0)?,
        burst: number_or(plan, "most_at_once", 0.0)?,
        slack: number_or(plan, "slack", 0.0)?,
        reserve: number_or(plan, "floor_rate", 0.0)?,
        weight: number_or(plan, "proportion", 1.0)?,
    })
}

fn name(map: &Map<String, Value>) -> String {
    map.get("name").and_then(Value::as_str).unwrap_or_default().to_owned()
}

/// A whole number that is given either as a number or as text in hex.
pub(crate) fn seed(value: Option<&Value>) -> Result<u64, FieldError> {
    match value.and_then(Value::as_str) {
        Some(hex) => u64::from_str_radix(hex, 16)
            .map_err(|_| FieldError::with_found("seed", hex, "up to 16 hex digits")),
        None => index(value, "seed").map(u64::from),
    }
}
