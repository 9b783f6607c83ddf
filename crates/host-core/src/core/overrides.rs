//! Expiry of overrides, recovery ramps after them, and steps of the wall clock.

use super::Core;
use crate::event::OverrideEvent;
use crate::override_requests::OverrideRequests;
use crate::persist_batch::PersistBatch;
use tackmast::interface::Instant;
use tackmast_overrides::{ClockStep, Ended, Override, Overrides};

impl Core {
    /// Allows operators to set overrides. `batch` has what must be persisted after the overrides of an earlier generation were loaded.
    pub fn enable_overrides(&mut self, now: Instant, overrides: Overrides, batch: PersistBatch) {
        self.override_requests = Some(OverrideRequests::new(now, overrides));
        if batch != PersistBatch::default() {
            self.persist(batch);
        }
    }

    /// Handles a reading of the wall clock, in Unix time in microseconds, which the caller takes from time to time.
    ///
    /// Audit records contain wall-clock times. A step of the wall clock does not change when overrides end.
    pub fn handle_wall_clock(&mut self, now: Instant, wall_us: u64) {
        self.wall_offset_us = wall_us as i64 - (now.secs() * 1e6).round() as i64;
        let Some(requests) = &mut self.override_requests else { return };
        let step = requests.overrides.handle_wall_clock(now, wall_us);
        if let Some(ClockStep { records, audit, moved_by }) = step {
            self.emit(OverrideEvent::WallClockStepped { moved_by });
            let batch = PersistBatch { put: records, audits: vec![audit], ..PersistBatch::default() };
            self.persist(batch);
        }
    }

    /// Returns the Unix time in microseconds, based on the last reading of the wall clock.
    pub(super) fn wall_us(&self, now: Instant) -> u64 {
        ((now.secs() * 1e6).round() as i64 + self.wall_offset_us).max(0) as u64
    }

    /// Ends the overrides that have expired, and advances the recovery ramps of nodes.
    pub(super) fn handle_override_timeout(&mut self, now: Instant) {
        let wall_us = self.wall_us(now);
        let Some(requests) = &mut self.override_requests else { return };
        if requests.poll_timeout(now).is_none_or(|due| due > now) {
            return;
        }
        let ended = requests.overrides.handle_timeout(now, wall_us);
        let mut events = requests.poll_active_report(now);
        let mut batch = PersistBatch::default();
        for Ended { record, audit } in ended {
            batch.remove.push(record.id);
            batch.audits.push(audit);
            let Override { id, target, kind, who, .. } = record;
            events.push(OverrideEvent::Ended { id, target, kind, who });
        }
        events.into_iter().for_each(|event| self.emit(event));
        if batch != PersistBatch::default() {
            self.persist(batch);
        }
        self.apply_changed_overrides(now);
    }
}
