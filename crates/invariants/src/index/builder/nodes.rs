//! What nodes saw.

use super::IndexBuilder;
use crate::index::{Attempt, CommandId, NodeGeneration, NodeOutcome, RequestId};
use tackmast_trace::{AttemptEndKind, AttemptName, Event};

/// Where the number of a volume stands in the order key of an extent; the number of the extent is below it.
const VOLUME_SHIFT: u32 = 48;

impl IndexBuilder {
    pub(super) fn on_node_up(&mut self, event: &Event) {
        let Event::NodeUp { node, zone, shard, capacity, initial_capacity, warm_us } = event else { return };
        self.index.generations.push(NodeGeneration {
            node: node.clone(),
            started_us: self.now_us,
            zone: *zone,
            shard: *shard,
            capacity: *capacity,
            initial_capacity: *initial_capacity,
            warm_us: *warm_us,
        });
    }

    pub(super) fn on_node_down(&mut self, node: &str) {
        let now_us = self.now_us;
        let attempts = self.index.attempts.iter_mut();
        attempts
            .filter(|attempt| attempt.node == node && attempt.outcome.is_none())
            .for_each(|attempt| _ = attempt.link_down_us.get_or_insert(now_us));
    }

    pub(super) fn on_attempt(&mut self, event: &Event) {
        let Event::Attempt {
            node,
            name,
            session,
            command,
            part,
            volume,
            offset,
            bytes,
            units,
            key,
            left_us,
            ..
        } = event
        else {
            return;
        };
        let command = CommandId { host: name.host, session: *session, command: *command };
        let index = self.index.attempts.len();
        self.attempts.insert((node.clone(), *name), index);
        let request = RequestId { host: name.host, generation: name.generation, request: name.request };
        self.index.requests.entry(request).or_default().push(index);
        self.index.attempts.push(Attempt {
            received_us: self.now_us,
            node: node.clone(),
            name: *name,
            part: *part,
            volume: *volume,
            units: self.units(*bytes),
            claimed_units: *units,
            key: self.extent_key(*volume, *offset).unwrap_or(*key),
            left_us: *left_us,
            outcome: None,
            link_down_us: None,
            command: self.commands.get(&command).copied(),
        });
    }

    pub(super) fn on_attempt_end(
        &mut self,
        node: &str,
        name: AttemptName,
        kind: AttemptEndKind,
        had_effect: bool,
    ) {
        let now_us = self.now_us;
        if let Some(attempt) = self.attempt_mut(node, name) {
            attempt.outcome.get_or_insert(NodeOutcome { time_us: now_us, kind, had_effect });
        }
    }

    pub(super) fn on_link_down(&mut self, node: &str, attempts: &[AttemptName]) {
        let now_us = self.now_us;
        for name in attempts {
            if let Some(attempt) = self.attempt_mut(node, *name) {
                attempt.link_down_us.get_or_insert(now_us);
            }
        }
    }

    fn attempt_mut(&mut self, node: &str, name: AttemptName) -> Option<&mut Attempt> {
        let index = self.attempts.get(&(node.to_owned(), name))?;
        Some(&mut self.index.attempts[*index])
    }

    /// Units of a request of so many bytes.
    fn units(&self, bytes: u64) -> f64 {
        let facts = &self.index.facts;
        (bytes as f64 / f64::from(facts.unit_bytes.max(1))).ceil().clamp(1.0, facts.max_units)
    }

    /// The order key by the place of a request, where the size of extents is known: a host that forgets the order would give
    /// no key either.
    fn extent_key(&self, volume: u32, offset: u64) -> Option<u64> {
        let extent_bytes = self.extent_bytes(volume)?;
        Some(((u64::from(volume) + 1) << VOLUME_SHIFT) | (offset / extent_bytes))
    }
}
