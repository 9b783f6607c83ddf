//! A day of the bench, as its JSON has it.

use serde::Deserialize;

/// A day of the bench. Times are in microseconds.
#[derive(Deserialize)]
pub(super) struct BenchDay {
    pub(super) length: f64,
    #[serde(rename = "tick")]
    pub(super) clock_resolution: f64,
    pub(super) drain_grace: f64,
    #[serde(rename = "fall_multiple")]
    pub(super) overload_multiple: f64,
    #[serde(rename = "fall_for")]
    pub(super) overload_window: f64,
    pub(super) budget: Option<Budget>,
    #[serde(rename = "allow")]
    pub(super) attempts: Allow,
    pub(super) discovery: Discovery,
    pub(super) clients: Clients,
    pub(super) classes: Vec<Class>,
    pub(super) tenants: Vec<Named>,
    pub(super) tiers: Vec<Tier>,
    pub(super) servers: Vec<Server>,
    pub(super) balancers: Vec<serde_json::Value>,
    #[serde(rename = "troubles")]
    pub(super) faults: Vec<BenchFault>,
    #[serde(rename = "fam")]
    pub(super) family: Family,
}

/// The budget of retries.
#[derive(Deserialize)]
pub(super) struct Budget {
    pub(super) share: f64,
    pub(super) free: f64,
    pub(super) window: f64,
}

/// Bounds of attempts.
#[derive(Deserialize)]
pub(super) struct Allow {
    pub(super) max_attempts: u32,
}

/// The endpoint list.
#[derive(Deserialize)]
pub(super) struct Discovery {
    pub(super) notice: f64,
}

/// How clients retry.
#[derive(Deserialize)]
pub(super) struct Clients {
    pub(super) retries: u32,
    pub(super) max_retry_after: f64,
}

/// A tenant, whose name is that of its plan.
#[derive(Deserialize)]
pub(super) struct Named {
    pub(super) name: String,
}

/// A traffic class.
#[derive(Deserialize)]
pub(super) struct Class {
    pub(super) name: String,
    pub(super) share: f64,
    #[serde(rename = "aim")]
    pub(super) latency_objective: f64,
    pub(super) deadline: f64,
    pub(super) effect: String,
    pub(super) group: String,
    pub(super) window: f64,
    pub(super) write: bool,
}

/// A tier of servers.
#[derive(Deserialize)]
pub(super) struct Tier {
    pub(super) kinds: Vec<Kind>,
    pub(super) report_period: f64,
    #[serde(rename = "stated_cold_from")]
    pub(super) stated_initial_capacity: f64,
    #[serde(rename = "stated_cold")]
    pub(super) stated_warm_up: f64,
}

/// A kind of server.
#[derive(Deserialize)]
pub(super) struct Kind {
    pub(super) cores: u32,
    pub(super) queue: usize,
    #[serde(rename = "cold_from")]
    pub(super) initial_capacity: f64,
    #[serde(rename = "cold")]
    pub(super) warm_up: f64,
    #[serde(rename = "pause_every")]
    pub(super) pause_interval: f64,
    pub(super) pause: f64,
    #[serde(rename = "drops_expired")]
    pub(super) drops_cancelled: bool,
}

/// A server.
#[derive(Deserialize)]
pub(super) struct Server {
    pub(super) kind: usize,
    pub(super) cell: u32,
    pub(super) speed: f64,
    #[serde(rename = "up")]
    pub(super) is_up: bool,
}

/// A fault; `on` are indices of servers, `which` is that of a plan.
#[derive(Deserialize)]
pub(super) struct BenchFault {
    pub(super) kind: String,
    pub(super) at: f64,
    #[serde(rename = "len")]
    pub(super) length: f64,
    pub(super) size: f64,
    pub(super) extra: f64,
    #[serde(rename = "on")]
    pub(super) servers: Vec<usize>,
    #[serde(rename = "which")]
    pub(super) plan: usize,
    pub(super) steps: Vec<Step>,
}

/// One step of a deployment.
#[derive(Deserialize)]
pub(super) struct Step {
    pub(super) at: f64,
    #[serde(rename = "stop")]
    pub(super) servers: Vec<usize>,
}

/// What days of the volumes family have beside the others.
#[derive(Deserialize)]
pub(super) struct Family {
    #[serde(rename = "defer")]
    pub(super) write_back_fraction: f64,
    #[serde(rename = "flush")]
    pub(super) flush_interval: f64,
    pub(super) mean_units: f64,
    #[serde(rename = "most_units")]
    pub(super) max_units: f64,
    #[serde(rename = "remembers")]
    pub(super) cached_keys: usize,
    #[serde(rename = "seek")]
    pub(super) cache_savings: f64,
    #[serde(rename = "shift_s")]
    pub(super) primary_change_interval_s: f64,
    pub(super) unit_work: f64,
    pub(super) plans: Vec<Plan>,
    pub(super) volumes: Vec<Volume>,
}

/// The rates of a plan.
#[derive(Deserialize)]
pub(super) struct Plan {
    pub(super) limit: f64,
    pub(super) limit_burst: f64,
    pub(super) slack: f64,
    pub(super) rate: f64,
    #[serde(rename = "reserve")]
    pub(super) reservation: f64,
    pub(super) weight: f64,
}

/// A volume and its traffic.
#[derive(Deserialize)]
pub(super) struct Volume {
    #[serde(rename = "base")]
    pub(super) rate_share: f64,
    #[serde(rename = "first")]
    pub(super) first_host: u32,
    #[serde(rename = "high")]
    pub(super) surge_multiple: f64,
    #[serde(rename = "len")]
    pub(super) surge_length: f64,
    pub(super) hosts: u32,
    pub(super) nodes: Vec<u32>,
    pub(super) plan: usize,
}
