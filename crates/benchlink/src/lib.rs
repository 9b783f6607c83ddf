//! Translates between the bench's lines and the decision module. Decides nothing.

#![warn(missing_docs, unreachable_pub)]

mod error;
mod host;
mod names;
mod wire;

pub use error::LinkError;

use host::Host;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use tackmast::interface::Instant;
use tackmast_platform::values::{array, integer, number, text, FieldError};
use wire::{field, is_ignored_event, EventKind};

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
        let now = Instant::from_secs(number(batch.get(field::TIME), field::TIME)?);
        let mut changed = BTreeSet::new();
        for (index, event) in array(batch.get(field::EVENTS), field::EVENTS)?.iter().enumerate() {
            let event = self.event(now, event);
            changed.extend(event.map_err(|e| LinkError::Event { index, source: Box::new(e) })?);
        }
        let mut decisions = Vec::new();
        for number in changed {
            if let Some(host) = self.hosts.get_mut(&number) {
                host.decide(now, number, &mut decisions);
            }
        }
        Ok(json!({ field::DECISIONS: decisions }).to_string())
    }

    /// Takes one event; gives the number of the host that it changed.
    fn event(&mut self, now: Instant, event: &Value) -> Result<Option<i64>, LinkError> {
        let values =
            event.as_array().ok_or_else(|| FieldError::with_found("", "not an array", "name and values"))?;
        let name = text(values.first(), "event name")?;
        let Some(kind) = EventKind::parse(name) else {
            if !is_ignored_event(name) && self.unknown_events.insert(name.to_owned()) {
                eprintln!("benchlink: skipping events of the unknown name {name}");
            }
            return Ok(None);
        };
        self.known_event(now, kind, &values[1..])
            .map_err(|error| LinkError::Named { name: name.to_owned(), source: Box::new(error) })
    }

    fn known_event(
        &mut self,
        now: Instant,
        kind: EventKind,
        values: &[Value],
    ) -> Result<Option<i64>, LinkError> {
        let number = integer(values.first(), "host")?;
        match kind {
            EventKind::HostStarted => {
                let seed = values.get(1).and_then(Value::as_u64);
                let seed = seed.ok_or_else(|| FieldError::new(field::SEED, "a whole number"))?;
                let settings = values.get(2).and_then(Value::as_object);
                let settings = settings.ok_or_else(|| FieldError::new(field::SETTINGS, "an object"))?;
                self.hosts.insert(number, Host::new(now, seed, settings)?);
            }
            EventKind::HostEnded => {
                self.hosts.remove(&number);
                return Ok(None);
            }
            _ => {
                let host = self.hosts.get_mut(&number).ok_or(LinkError::UnknownHost(number))?;
                host.event(now, kind, values)?;
            }
        }
        Ok(Some(number))
    }
}
