//! The configuration file of a host.

use crate::list::List;
use crate::settings::{seed, Settings};
use crate::values::{number, object, shown, text, FieldError};
use serde_json::Value;
use std::net::SocketAddr;

/// What the platform lets a host use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Share of processor cores.
    pub cores: f64,
    /// Resident memory.
    pub memory_bytes: usize,
    /// Open descriptors.
    pub sockets: usize,
}

/// The configuration of a host.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Its name in logs.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the endpoint list is polled.
    pub discovery: SocketAddr,
    /// Seed of its random numbers.
    pub seed: u64,
    /// What it may use.
    pub limits: Limits,
    /// The endpoint list as this host last had it; may be old.
    pub known: Option<List>,
    /// The settings that all hosts have.
    pub settings: Settings,
    /// Where datagrams of peers are received, and all hosts by their numbers; none where the settings allow no datagrams.
    pub peers: Option<(SocketAddr, Vec<SocketAddr>)>,
}

/// A host does not run with less than this.
const MIN_SOCKETS: f64 = 64.0;
const MIN_MEMORY_MB: f64 = 16.0;

impl Configuration {
    /// An error names the place in the file, the value found and what was expected.
    pub fn parse(bytes: &[u8]) -> Result<Self, FieldError> {
        let all: Value =
            serde_json::from_slice(bytes).map_err(|e| FieldError::with_found("", e.to_string(), "JSON"))?;
        let all =
            all.as_object().ok_or_else(|| FieldError::with_found("", shown(Some(&all)), "an object"))?;
        let address = |name: &str| -> Result<SocketAddr, FieldError> {
            let expected =
                || FieldError::with_found(name, shown(all.get(name)), "an address such as 10.0.0.4:8443");
            all.get(name).and_then(Value::as_str).and_then(|a| a.parse().ok()).ok_or_else(expected)
        };
        let limits = object(all.get("limits"), "limits")?;
        let at_least = |name: &str, least: f64| -> Result<f64, FieldError> {
            let n = number(limits.get(name), name).ok().filter(|n| *n >= least && *n < 1e9);
            n.ok_or_else(|| {
                let expected = format!("a number from {least}");
                FieldError::with_found(&format!("limits.{name}"), shown(limits.get(name)), expected)
            })
        };
        let settings = Settings::read(object(all.get("settings"), "settings")?);
        let settings = settings.map_err(|e| e.within("settings"))?;
        if settings.traffic_classes.is_empty() || settings.plans.is_empty() {
            let found = "no request_classes or no grades";
            return Err(FieldError::with_found("settings", found, "at least one of each"));
        }
        let known = match all.get("known") {
            None | Some(Value::Null) => None,
            Some(v) => Some(List::from_value(v, &settings).map_err(|e| e.within("known"))?),
        };
        let peers = match (settings.peers, all.get("peers")) {
            (false, _) | (true, None | Some(Value::Null)) => None,
            (true, Some(v)) => {
                let peers = peer_addresses(v)?;
                Some((address("peer_listen")?, peers))
            }
        };
        Ok(Configuration {
            peers,
            name: text(all.get("name"), "name").unwrap_or("host").to_owned(),
            listen: address("listen")?,
            discovery: address("discovery")?,
            seed: seed(all.get("seed"))?,
            limits: Limits {
                cores: at_least("cores", 0.01)?,
                memory_bytes: (at_least("memory_mb", MIN_MEMORY_MB)? * 1024.0 * 1024.0) as usize,
                sockets: at_least("sockets", MIN_SOCKETS)? as usize,
            },
            known,
            settings,
        })
    }
}

fn peer_addresses(v: &Value) -> Result<Vec<SocketAddr>, FieldError> {
    let one = |(i, v): (usize, &Value)| {
        let address = v.as_str().and_then(|a| a.parse().ok());
        address.ok_or_else(|| FieldError::with_found(&format!("peers[{i}]"), shown(Some(v)), "an address"))
    };
    let list = v.as_array().ok_or_else(|| FieldError::with_found("peers", shown(Some(v)), "addresses"))?;
    list.iter().enumerate().map(one).collect()
}
