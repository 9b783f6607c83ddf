//! Translates between the bench's lines and the decision module. Decides nothing.

#![warn(missing_docs)]

mod error;
mod host;
mod names;

pub use error::LinkError;

use host::Host;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use tackmast::interface::Instant;
use tackmast_platform::values::{array, integer, number, text, FieldError};

/// Events that are of use; the bench's word for each.
const EVENTS: [&str; 8] =
    ["Provision", "Detach", "Fleet", "Req", "UnderWay", "Completed", "Vanished", "Alarm"];
/// Answers to what is never asked for: probes and messages between hosts.
const IGNORED_EVENTS: [&str; 2] = ["Echo", "Message"];

/// All hosts that this process serves.
#[derive(Default)]
pub struct Link {
    hosts: BTreeMap<i64, Host>,
    unknown_events: BTreeSet<String>,
}

impl Link {
    /// Takes one batch line, gives the reply line.
    pub fn batch(&mut self, line: &str) -> Result<String, LinkError> {
        let batch: Value = serde_json::from_str(line)?;
        let batch = batch
            .as_object()
            .ok_or_else(|| FieldError::with_found("", "not an object", "a batch with wall and events"))?;
        let now = Instant::from_secs(number(batch.get("wall"), "wall")?);
        let mut changed = BTreeSet::new();
        for (index, event) in array(batch.get("events"), "events")?.iter().enumerate() {
            let event = self.event(now, event);
            changed.extend(event.map_err(|e| LinkError::Event { index, source: Box::new(e) })?);
        }
        let mut orders = Vec::new();
        for number in changed {
            if let Some(host) = self.hosts.get_mut(&number) {
                host.decide(now, number, &mut orders);
            }
        }
        Ok(json!({ "orders": orders }).to_string())
    }

    /// Takes one event; gives the number of the host that it changed.
    fn event(&mut self, now: Instant, event: &Value) -> Result<Option<i64>, LinkError> {
        let values =
            event.as_array().ok_or_else(|| FieldError::with_found("", "not an array", "name and values"))?;
        let name = text(values.first(), "event name")?;
        if !EVENTS.contains(&name) {
            if !IGNORED_EVENTS.contains(&name) && self.unknown_events.insert(name.to_owned()) {
                eprintln!("benchlink: skipping events of the unknown name {name}");
            }
            return Ok(None);
        }
        self.known_event(now, name, &values[1..])
            .map_err(|e| LinkError::Named { name: name.to_owned(), source: Box::new(e) })
    }

    fn known_event(&mut self, now: Instant, name: &str, values: &[Value]) -> Result<Option<i64>, LinkError> {
        let number = integer(values.first(), "host")?;
        match name {
            "Provision" => {
                let seed = values.get(1).and_then(Value::as_u64);
                let seed = seed.ok_or_else(|| FieldError::new("init_seed", "a whole number"))?;
                let settings = values.get(2).and_then(Value::as_object);
                let settings = settings.ok_or_else(|| FieldError::new("env", "an object"))?;
                self.hosts.insert(number, Host::new(now, seed, settings)?);
            }
            "Detach" => {
                self.hosts.remove(&number);
                return Ok(None);
            }
            _ => {
                let host = self.hosts.get_mut(&number).ok_or(LinkError::UnknownHost(number))?;
                host.event(now, name, values)?;
            }
        }
        Ok(Some(number))
    }
}
