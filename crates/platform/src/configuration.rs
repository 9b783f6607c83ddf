//! The configuration file of a host.

use crate::list::List;
use crate::settings::{seed, Settings};
use crate::values::{number, object, shown, text, FieldError};
use serde_json::{Map, Value};
use std::net::SocketAddr;

/// The resources that the platform lets a host use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Processor time, in cores; it may be a fraction.
    pub cores: f64,
    /// Resident memory in bytes.
    pub memory_bytes: usize,
    /// The number of open file descriptors.
    pub sockets: usize,
}

/// The configuration of a host.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// The host's name in logs; `host` where the file has none.
    pub name: String,
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The address from which the endpoint list is polled.
    pub discovery: SocketAddr,
    /// The seed of the host's random number generator.
    pub seed: u64,
    /// The resources that the host may use.
    pub limits: Limits,
    /// The endpoint list that this host had last, which may be outdated; `None` where the file has none.
    pub known: Option<List>,
    /// The settings, which are the same for all hosts but for the host's own number.
    pub settings: Settings,
    /// The addresses for datagrams between hosts; `None` where the settings allow none or the file names no peers.
    pub peers: Option<PeerAddresses>,
}

/// The addresses on which hosts receive each other's datagrams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddresses {
    /// The address on which this host receives.
    pub listen: SocketAddr,
    /// The addresses of all hosts, by their numbers.
    pub hosts: Vec<SocketAddr>,
}

/// Minimum number of open file descriptors with which a host runs.
const MIN_SOCKETS: f64 = 64.0;
/// Minimum memory with which a host runs, in units of [`MEGABYTE`].
const MIN_MEMORY_MB: f64 = 16.0;
/// Minimum processor time with which a host runs, in cores.
const MIN_CORES: f64 = 0.01;
/// All limits must be below this value; a larger one is a mistake in the file.
const MAX_LIMIT: f64 = 1e9;
/// Number of bytes in a megabyte, as the platform counts memory.
const MEGABYTE: f64 = 1024.0 * 1024.0;

impl Configuration {
    /// Parses a configuration file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the path of the first wrong value, what was expected and, where that helps, the value.
    pub fn parse(bytes: &[u8]) -> Result<Self, FieldError> {
        let document: Value = serde_json::from_slice(bytes)
            .map_err(|error| FieldError::with_found("", error.to_string(), "JSON"))?;
        let document = document
            .as_object()
            .ok_or_else(|| FieldError::with_found("", shown(Some(&document)), "an object"))?;
        let limits = object(document.get("limits"), "limits")?;
        let settings = Settings::read(object(document.get("settings"), "settings")?);
        let settings = settings.map_err(|error| error.within("settings"))?;
        if settings.traffic_classes.is_empty() || settings.plans.is_empty() {
            let found = "no request_classes or no grades";
            return Err(FieldError::with_found("settings", found, "at least one of each"));
        }
        let known = match document.get("known") {
            None | Some(Value::Null) => None,
            Some(list) => Some(List::from_value(list, &settings).map_err(|error| error.within("known"))?),
        };
        let peers = match (settings.allows_datagrams, document.get("peers")) {
            (false, _) | (true, None | Some(Value::Null)) => None,
            (true, Some(addresses)) => {
                let hosts = peer_addresses(addresses)?;
                Some(PeerAddresses { listen: address(document, "peer_listen")?, hosts })
            }
        };
        Ok(Configuration {
            peers,
            name: text(document.get("name"), "name").unwrap_or("host").to_owned(),
            listen: address(document, "listen")?,
            discovery: address(document, "discovery")?,
            seed: seed(document.get("seed"))?,
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

fn address(document: &Map<String, Value>, name: &str) -> Result<SocketAddr, FieldError> {
    let not_an_address =
        || FieldError::with_found(name, shown(document.get(name)), "an address such as 10.0.0.4:8443");
    let text = document.get(name).and_then(Value::as_str);
    text.and_then(|text| text.parse().ok()).ok_or_else(not_an_address)
}

fn peer_addresses(value: &Value) -> Result<Vec<SocketAddr>, FieldError> {
    let parse = |(index, value): (usize, &Value)| {
        let address = value.as_str().and_then(|text| text.parse().ok());
        let path = format!("peers[{index}]");
        address.ok_or_else(|| FieldError::with_found(&path, shown(Some(value)), "an address"))
    };
    let not_an_array = || FieldError::with_found("peers", shown(Some(value)), "an array of addresses");
    value.as_array().ok_or_else(not_an_array)?.iter().enumerate().map(parse).collect()
}
