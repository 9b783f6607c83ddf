//! When each version can have begun.

use super::NotLinearizable;
use std::collections::BTreeMap;

/// A bound on the moment at which a version began.
#[derive(Clone, Debug)]
struct Bound {
    /// Seconds.
    time: f64,
    /// The call that shows it.
    reason: String,
}

/// The bounds on the moments at which versions began.
#[derive(Debug, Default)]
pub(super) struct VersionBounds {
    earliest: BTreeMap<u64, Bound>,
    latest: BTreeMap<u64, Bound>,
}

impl VersionBounds {
    /// The version began after that time.
    pub(super) fn begins_after(&mut self, version: u64, time: f64, reason: String) {
        let unbounded = Bound { time: f64::NEG_INFINITY, reason: String::new() };
        let bound = self.earliest.entry(version).or_insert(unbounded);
        if time > bound.time {
            *bound = Bound { time, reason };
        }
    }

    /// The version began before that time.
    pub(super) fn begins_before(&mut self, version: u64, time: f64, reason: String) {
        let unbounded = Bound { time: f64::INFINITY, reason: String::new() };
        let bound = self.latest.entry(version).or_insert(unbounded);
        if time < bound.time {
            *bound = Bound { time, reason };
        }
    }

    /// Whether the versions up to the newest can have begun one after the other.
    pub(super) fn check(&self, newest: u64) -> Result<(), NotLinearizable> {
        let mut earliest = Bound { time: f64::NEG_INFINITY, reason: String::new() };
        for version in 1..=newest {
            // A version begins after all earlier ones.
            if let Some(own) = self.earliest.get(&version).filter(|own| own.time > earliest.time) {
                earliest = own.clone();
            }
            let Some(latest) = self.latest_including_later(version, newest) else { continue };
            if latest.time < earliest.time {
                return Err(NotLinearizable::OutOfOrder {
                    version,
                    earliest: earliest.time,
                    earliest_reason: earliest.reason,
                    latest: latest.time,
                    latest_reason: latest.reason.clone(),
                });
            }
        }
        Ok(())
    }

    /// A version begins before all later ones. A change that was refused on the newest version shows that another followed.
    fn latest_including_later(&self, version: u64, newest: u64) -> Option<&Bound> {
        let bounds = (version..=newest + 1).filter_map(|version| self.latest.get(&version));
        bounds.min_by(|one, other| one.time.total_cmp(&other.time))
    }
}
