//! The block `traffic`: open-loop clients of one volume.

use super::invalid_value::InvalidValue;
use serde::Deserialize;
use tackmast_config::HostSettings;

/// Requests per second that a script may ask for.
const RATE_RANGE: std::ops::RangeInclusive<f64> = 0.01..=1e6;

/// `traffic "name" { ... }`: clients of one volume.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficBlock {
    /// Name of the volume.
    pub volume: String,
    /// Hosts that the traffic comes through; the first is the primary.
    pub hosts: Vec<u32>,
    /// Share of requests that come through the primary host.
    #[serde(rename = "lead", default = "default_share")]
    pub primary_share: f64,
    /// Sessions with each host.
    #[serde(default = "default_sessions")]
    pub sessions: u32,
    /// Requests per second.
    pub rate: f64,
    /// Share of requests that read.
    #[serde(rename = "reads", default = "default_share")]
    pub read_share: f64,
    /// Blocks of the smallest and of the largest request.
    #[serde(default = "default_blocks")]
    pub blocks: (u32, u32),
    /// Blocks of the volume that the traffic works on.
    #[serde(default = "default_span_blocks")]
    pub span_blocks: u64,
    /// Seconds from the scenario's start until the first request.
    #[serde(default)]
    pub from_s: f64,
    /// Seconds for which requests arrive; without it, until the scenario ends.
    pub for_s: Option<f64>,
    /// Retries after a rejection.
    #[serde(default)]
    pub retries: u32,
    /// Whether a retry waits for the retry-after of the rejection.
    #[serde(rename = "waits", default = "default_true")]
    pub honors_retry_after: bool,
    /// Whether sessions use iSCSI digests.
    #[serde(default)]
    pub digests: bool,
    /// Deadline of each request, in milliseconds; without it, that of the traffic class.
    #[serde(rename = "expiry_ms")]
    pub deadline_ms: Option<u32>,
    /// Surges: the multiple of the rate, their length, and the mean interval between them; both in seconds.
    pub surges: Option<(f64, f64, f64)>,
    /// Mean seconds until another host becomes the primary.
    #[serde(rename = "moves_s")]
    pub primary_change_interval_s: Option<f64>,
    /// Share of requests that are aborted right after they were sent.
    #[serde(rename = "aborts", default)]
    pub abort_share: f64,
    /// Share of requests after which the client closes its session without a logout.
    #[serde(rename = "leaves", default)]
    pub disconnect_share: f64,
}

fn default_share() -> f64 {
    0.7
}

fn default_sessions() -> u32 {
    2
}

fn default_blocks() -> (u32, u32) {
    (1, 8)
}

fn default_span_blocks() -> u64 {
    4096
}

fn default_true() -> bool {
    true
}

impl TrafficBlock {
    /// Checks the values that depend on the volume and on the number of hosts.
    pub(super) fn check(&self, settings: &HostSettings, host_count: u32) -> Result<(), InvalidValue> {
        let Some(volume) = settings.volumes.iter().find(|volume| volume.name == self.volume) else {
            return Err(InvalidValue::new("volume", &self.volume, "the name of a volume block"));
        };
        let has_unknown_host = self.hosts.iter().any(|host| *host >= host_count);
        if self.hosts.is_empty() || has_unknown_host || self.hosts.len() > volume.hosts as usize {
            let expected = format!("hosts below {host_count}, at most the volume's {}", volume.hosts);
            return Err(InvalidValue::new("hosts", format!("{:?}", self.hosts), expected));
        }
        let (min, max) = self.blocks;
        if min == 0 || min > max || u64::from(max) > self.span_blocks {
            let found = format!("{:?}", self.blocks);
            return Err(InvalidValue::new("blocks", found, "least and most, from 1"));
        }
        if !RATE_RANGE.contains(&self.rate) {
            let expected = "a number from 0.01 to 1000000";
            return Err(InvalidValue::new("rate", self.rate.to_string(), expected));
        }
        Ok(())
    }
}
