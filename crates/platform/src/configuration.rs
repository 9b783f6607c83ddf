//! The configuration file of a host.

use crate::list::List;
use crate::settings::{seed, Settings};
use crate::values::{number, object, shown, text};
use serde_json::Value;
use std::net::SocketAddr;

/// What the platform lets a host have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub cores: f64,
    pub memory_bytes: usize,
    pub sockets: usize,
}

#[derive(Clone, Debug)]
pub struct Configuration {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    /// As this host last had it; may be old.
    pub known: Option<List>,
    pub settings: Settings,
    /// Where datagrams of other hosts come, and all hosts by their numbers; none where the settings allow no datagrams.
    pub peers: Option<(SocketAddr, Vec<SocketAddr>)>,
}

/// Less than this is no room for a host.
const MIN_SOCKETS: f64 = 64.0;
const MIN_MEMORY_MB: f64 = 16.0;

impl Configuration {
    /// An error names the place in the file, the value found and what was expected.
    pub fn parse(bytes: &[u8]) -> Result<Self, String> {
        let all: Value = serde_json::from_slice(bytes).map_err(|e| format!("{e}; expected JSON"))?;
        let all = all.as_object().ok_or_else(|| format!("{}; expected an object", shown(Some(&all))))?;
        let address = |name: &str| -> Result<SocketAddr, String> {
            let expected =
                || format!("{name}: {}; expected an address such as 10.0.0.4:8443", shown(all.get(name)));
            all.get(name).and_then(Value::as_str).and_then(|a| a.parse().ok()).ok_or_else(expected)
        };
        let limits = object(all.get("limits"), "limits")?;
        let at_least = |name: &str, least: f64| -> Result<f64, String> {
            let n = number(limits.get(name), name).ok().filter(|n| *n >= least && *n < 1e9);
            n.ok_or_else(|| {
                format!("limits.{name}: {}; expected a number from {least}", shown(limits.get(name)))
            })
        };
        let settings = Settings::read(object(all.get("settings"), "settings")?);
        let settings = settings.map_err(|e| format!("settings.{e}"))?;
        if settings.traffic_classes.is_empty() || settings.plans.is_empty() {
            return Err("settings: no request_classes or no grades; expected at least one of each".to_owned());
        }
        let known = match all.get("known") {
            None | Some(Value::Null) => None,
            Some(v) => Some(List::of(v, &settings).map_err(|e| format!("known.{e}"))?),
        };
        let peers = match (settings.peers, all.get("peers")) {
            (false, _) | (true, None | Some(Value::Null)) => None,
            (true, Some(v)) => {
                let one = |(i, v): (usize, &Value)| {
                    let a = v.as_str().and_then(|a| a.parse().ok());
                    a.ok_or_else(|| format!("peers[{i}]: {}; expected an address", shown(Some(v))))
                };
                let list =
                    v.as_array().ok_or_else(|| format!("peers: {}; expected addresses", shown(Some(v))))?;
                let list = list.iter().enumerate().map(one).collect::<Result<Vec<SocketAddr>, String>>()?;
                Some((address("peer_listen")?, list))
            }
        };
        Ok(Configuration {
            peers,
            name: text(all.get("name"), "name").unwrap_or("host").to_owned(),
            listen: address("listen")?,
            discovery: address("discovery")?,
            seed: seed(all.get("seed")).map_err(|e| format!("seed: {e}"))?,
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
