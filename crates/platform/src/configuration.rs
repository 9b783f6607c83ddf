//! The configuration file of a host.

use crate::list::List;
use crate::settings::{seed, Settings};
use crate::values::{number, object, shown, text, FieldError};
use serde_json::{Map, Value};
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
    /// The endpoint list as this host last had it; it may be outdated.
    pub known: Option<List>,
    /// The settings that all hosts have.
    pub settings: Settings,
    /// Where hosts receive each other's datagrams; none where the settings allow no datagrams.
    pub peers: Option<PeerAddresses>,
}

/// Where hosts receive each other's datagrams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddresses {
    /// This host.
    pub listen: SocketAddr,
    /// All hosts by their numbers.
    pub hosts: Vec<SocketAddr>,
}

/// The fewest descriptors with which a host runs.
const MIN_SOCKETS: f64 = 64.0;
/// The least memory with which a host runs, in megabytes.
const MIN_MEMORY_MB: f64 = 16.0;
/// The smallest share of a processor core with which a host runs.
const MIN_CORES: f64 = 0.01;
/// Limits stay below this: a larger one is a mistake.
const MAX_LIMIT: f64 = 1e9;
/// Bytes of a megabyte, as the platform counts memory.
const MEGABYTE: f64 = 1024.0 * 1024.0;

impl Configuration {
    /// Parses the file. An error names the path in the file, the value and what was expected.
    pub fn parse(bytes: &[u8]) -> Result<Self, FieldError> {
        let all: Value = serde_json::from_slice(bytes)
            .map_err(|error| FieldError::with_found("", error.to_string(), "JSON"))?;
        let all =
            all.as_object().ok_or_else(|| FieldError::with_found("", shown(Some(&all)), "an object"))?;
        let limits = object(all.get("limits"), "limits")?;
        let settings = Settings::read(object(all.get("settings"), "settings")?);
        let settings = settings.map_err(|error| error.within("settings"))?;
        if settings.traffic_classes.is_empty() || settings.plans.is_empty() {
            let found = "no request_classes or no grades";
            return Err(FieldError::with_found("settings", found, "at least one of each"));
        }
        let known = match all.get("known") {
            None | Some(Value::Null) => None,
            Some(list) => Some(List::from_value(list, &settings).map_err(|error| error.within("known"))?),
        };
        let peers = match (settings.allows_datagrams, all.get("peers")) {
            (false, _) | (true, None | Some(Value::Null)) => None,
            (true, Some(addresses)) => {
                let hosts = peer_addresses(addresses)?;
                Some(PeerAddresses { listen: address(all, "peer_listen")?, hosts })
            }
        };
        Ok(Configuration {
            peers,
            name: text(all.get("name"), "name").unwrap_or("host").to_owned(),
            listen: address(all, "listen")?,
            discovery: address(all, "discovery")?,
            seed: seed(all.get("seed"))?,
            limits: Limits::read(limits)?,
            known,
            settings,
        })
    }
}

impl Limits {
    fn read(limits: &Map<String, Value>) -> Result<Self, FieldError> {
        let at_least = |name: &str, min: f64| -> Result<f64, FieldError> {
            let is_valid = |limit: &f64| *limit >= min && *limit < MAX_LIMIT;
            number(limits.get(name), name).ok().filter(is_valid).ok_or_else(|| {
                let expected = format!("a number from {min}");
                FieldError::with_found(&format!("limits.{name}"), shown(limits.get(name)), expected)
            })
        };
        Ok(Limits {
            cores: at_least("cores", MIN_CORES)?,
            memory_bytes: (at_least("memory_mb", MIN_MEMORY_MB)? * MEGABYTE) as usize,
            sockets: at_least("sockets", MIN_SOCKETS)? as usize,
        })
    }
}

fn address(all: &Map<String, Value>, name: &str) -> Result<SocketAddr, FieldError> {
    let expected = || FieldError::with_found(name, shown(all.get(name)), "an address such as 10.0.0.4:8443");
    let text = all.get(name).and_then(Value::as_str);
    text.and_then(|text| text.parse().ok()).ok_or_else(expected)
}

fn peer_addresses(value: &Value) -> Result<Vec<SocketAddr>, FieldError> {
    let parse = |(index, value): (usize, &Value)| {
        let address = value.as_str().and_then(|text| text.parse().ok());
        let path = format!("peers[{index}]");
        address.ok_or_else(|| FieldError::with_found(&path, shown(Some(value)), "an address"))
    };
    let not_an_array = || FieldError::with_found("peers", shown(Some(value)), "addresses");
    value.as_array().ok_or_else(not_an_array)?.iter().enumerate().map(parse).collect()
}
