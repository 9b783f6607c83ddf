//! The settings object, and how a scheduler is set up from it. The bench's adapter and the host on sockets share this code.

use crate::values::{index, number_or, object, text, time_delta, FieldError};
use serde_json::{Map, Value};
use tackmast::interface::{DedupScope, Effect, Instant, SlowStartSettings, TimeDelta};
use tackmast::scheduler::Scheduler;

/// A traffic class of the settings (`request_classes`).
#[derive(Clone, Debug)]
pub struct TrafficClass {
    /// The name by which requests select the class (`X-Call-Class`).
    pub name: String,
    /// The response time within which an answer has its full value.
    pub latency_objective: TimeDelta,
    /// The response time after which an answer has no value.
    pub deadline: TimeDelta,
    /// Whether requests of the class may run twice.
    pub effect: Effect,
    /// Whether requests of the same key must run one at a time, in order.
    pub in_order: bool,
    /// Whether requests of the class write; `None` where the settings do not say.
    pub writes: Option<bool>,
}

/// A plan of the settings (`grades`).
#[derive(Clone, Debug)]
pub struct Plan {
    /// The name by which requests select the plan (`X-Storage-Class`).
    pub name: String,
    /// The limit in units a second; 0 means no limit.
    pub limit: f64,
    /// The number of units that may be sent at once.
    pub burst: f64,
    /// The number of units by which all hosts together may exceed the limit.
    pub slack: f64,
    /// The reservation in units a second, which is served before the units of others.
    pub reserve: f64,
    /// The weight by which capacity beyond the reservations is shared.
    pub weight: f64,
}

/// The settings of a host, from the bench's first message or from the configuration file. An absent field is zero, `None` or
/// off, unless its description says otherwise.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The number of hosts that share the nodes; 1 where it is absent.
    pub hosts: u32,
    /// This host's number among the hosts, from 0.
    pub host_number: u32,
    /// Whether hosts may send datagrams to each other.
    pub allows_datagrams: bool,
    /// The resolution of the host's timers.
    pub granularity: TimeDelta,
    /// The mean size of a request in units; 1 where it is absent.
    pub mean_units: f64,
    /// The maximum size of a request in units; 0 means that it is unknown.
    pub max_units: f64,
    /// The traffic classes; a position is the class's number in the scheduler.
    pub traffic_classes: Vec<TrafficClass>,
    /// The plans; a position is the plan's number in the scheduler.
    pub plans: Vec<Plan>,
    /// The maximum number of attempts of one request; unlimited where it is absent.
    pub max_attempts: u32,
    /// The longest Retry-After that clients accept; zero means that they accept none.
    pub longest_wait: TimeDelta,
    /// How long the next request of a key waits after an attempt that may still run.
    pub settle: TimeDelta,
    retry_budget: Option<RetryBudget>,
    slow_start: SlowStartSettings,
    polls_list: bool,
    /// The fields of a node's load report, in order.
    pub report: Vec<String>,
    /// Whether answers of nodes report the units that a volume was served through other hosts.
    pub reports_peer_service: bool,
    /// The names of the zones, by their numbers.
    pub zones: Vec<String>,
    /// How long a draining node still accepts attempts.
    pub drain_grace: TimeDelta,
    /// The time within which a connection to a node must be established.
    pub connect_timeout: TimeDelta,
    /// The time after which a node closes an idle connection; zero means that it is unknown.
    pub conn_idle: TimeDelta,
}

/// The retries that are allowed within a window: a constant number, and a share of the requests in it.
#[derive(Clone, Copy, Debug)]
struct RetryBudget {
    /// The number of retries that are allowed even without requests.
    free: f64,
    /// The number of further retries that each request allows.
    share: f64,
    window: TimeDelta,
}

impl Settings {
    /// Reads the settings object.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first field whose value is not valid.
    pub fn read(env: &Map<String, Value>) -> Result<Self, FieldError> {
        let section = |name: &str| env.get(name).and_then(Value::as_object).cloned().unwrap_or_default();
        let (domain, guarantees, limits) = (section("domain"), section("guarantees"), section("limits"));
        let traffic_classes = traffic_classes(env, &domain)?;
        let plans = plans(env)?;
        let retry_budget = retry_budget(&guarantees)?;
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
            settle: time_delta(&guarantees, "order_settle")?,
            retry_budget,
            slow_start: slow_start(&domain, &guarantees)?,
            polls_list: env.get("registry_mode").and_then(Value::as_str) == Some("ask"),
            report: strings(section("report").get("fields")),
            reports_peer_service: domain.get("says_others").and_then(Value::as_bool).unwrap_or(false),
            zones: strings(env.get("areas")),
            drain_grace: time_delta(&guarantees, "drain_grace")?,
            connect_timeout: time_delta(&limits, "connect_timeout")?,
            conn_idle: time_delta(&limits, "conn_idle")?,
        })
    }

    /// Creates a scheduler with these settings.
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

    /// Returns whether the platform pushes endpoint lists to an agent on the host's machine, instead of the host polling discovery.
    pub fn lists_are_pushed(&self) -> bool {
        !self.polls_list
    }

    /// Returns the position of the number of waiting requests in a load report, or `None` where reports do not have it.
    pub fn queue_length_position(&self) -> Option<usize> {
        self.report.iter().position(|field| field == "q")
    }

    /// Returns the number of a zone, or `None` where the settings do not name it.
    pub fn zone(&self, name: &str) -> Option<u32> {
        self.zones.iter().position(|zone| zone == name).map(|index| index as u32)
    }
}

/// Iterates over the values of an array with their positions; there are none where the field is not an array.
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

fn retry_budget(guarantees: &Map<String, Value>) -> Result<Option<RetryBudget>, FieldError> {
    if !guarantees.contains_key("look_back") {
        return Ok(None);
    }
    Ok(Some(RetryBudget {
        free: number_or(guarantees, "extra_floor", 0.0)?,
        share: number_or(guarantees, "further_ratio", 0.0)?,
        window: time_delta(guarantees, "look_back")?,
    }))
}

fn slow_start(
    domain: &Map<String, Value>,
    guarantees: &Map<String, Value>,
) -> Result<SlowStartSettings, FieldError> {
    Ok(SlowStartSettings {
        safe_units: number_or(domain, "cold_bears", 0.0)?,
        initial_capacity: number_or(guarantees, "cold_from", 1.0)?,
        duration: time_delta(guarantees, "cold")?,
        window: time_delta(guarantees, "fall")?,
        overload_multiple: number_or(guarantees, "fall_multiple", 1.0)?,
    })
}

/// Returns the strings of an array. A value of another type becomes an empty string, so that positions stay.
fn strings(value: Option<&Value>) -> Vec<String> {
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

/// Reads a seed, which is either an integer of 32 bits or a string of up to 16 hex digits.
pub(crate) fn seed(value: Option<&Value>) -> Result<u64, FieldError> {
    match value.and_then(Value::as_str) {
        Some(hex) => u64::from_str_radix(hex, 16)
            .map_err(|_| FieldError::with_found("seed", hex, "up to 16 hex digits")),
        None => index(value, "seed").map(u64::from),
    }
}
