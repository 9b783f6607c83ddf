//! The overrides of one host: sets, clears and ends them, and computes each node's state and weight.

mod explain;
mod proposal;

use crate::audit::{Audit, AuditKind, Ended};
use crate::precedence::{effect_on, NodeFacts, Service, TargetIndex};
use crate::record::{Override, OverrideId};
use crate::recovery_ramp::{RecoveryRamps, MAX_STAGGER, RAMP_DURATION};
use crate::refusal::Refusal;
use crate::target::Target;
use crate::timing_wheel::{Handle, TimingWheel};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use tackmast::interface::{Instant, NodeState, TimeDelta};

/// The smallest change of the offset between the wall clock and the steady clock that counts as a step of the wall clock, in
/// microseconds.
const MIN_CLOCK_STEP_US: i64 = 1_000_000;
/// The number of recent changes that are kept, to be named when a request based on an older version is refused.
const MAX_RECENT_CHANGES: usize = 64;

/// Bounds on the overrides of a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The number of overrides that may be active at a time.
    pub max_overrides: usize,
    /// The fraction of a zone's nodes that may be out of service without force, from 0 to 1.
    pub max_zone_fraction: f64,
}

/// A node's state for the scheduler, after all overrides and its recovery ramp.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Effective {
    /// The state in the endpoint list; draining if the node is listed as ready and an override keeps it out of service, or it
    /// waits for its recovery ramp.
    pub state: NodeState,
    /// The fraction of its usual load that the node is given, from 0 to 1.
    pub weight: f64,
    /// Whether the node stays in service even if it is unhealthy.
    pub pinned: bool,
}

/// A step of the wall clock. It moves the ends of all overrides in wall time.
#[derive(Clone, Debug, PartialEq)]
pub struct ClockStep {
    /// All active overrides with their new times; they have to be persisted again.
    pub records: Vec<Override>,
    /// The record for the audit log.
    pub audit: Audit,
    /// The distance that the clock moved; positive if forwards.
    pub moved_by: TimeDelta,
}

/// All overrides of one host, and the state and weight that each node has under them.
pub struct Overrides {
    settings: Settings,
    all: BTreeMap<OverrideId, Override>,
    index: TargetIndex,
    ends: TimingWheel<OverrideId>,
    ends_at: HashMap<OverrideId, (Instant, Handle)>,
    /// The number of the next override.
    next: u64,
    version: u64,
    /// The latest changes and the version that each made, oldest first.
    recent_changes: VecDeque<(u64, String)>,
    nodes: BTreeMap<SocketAddr, NodeFacts>,
    /// Nodes that an override takes out of service.
    out: BTreeSet<SocketAddr>,
    recovery_ramps: RecoveryRamps,
    /// The state of each node that `poll_changed` returned last.
    last_polled: BTreeMap<SocketAddr, Effective>,
    /// Nodes whose state may have changed since the last poll.
    dirty: BTreeSet<SocketAddr>,
    /// Wall time minus steady time when it was last measured, in microseconds.
    offset_us: i64,
}

/// Converts a time to microseconds since the start of the steady clock.
fn micros(at: Instant) -> i64 {
    (at.secs() * 1e6).round() as i64
}

/// Returns the remaining time of a stored override, in microseconds. It is at most the override's whole duration: if the wall
/// clock was set back while the host was down, the override would otherwise last longer than its operator asked for.
fn remaining_us(record: &Override, wall_us: u64) -> u64 {
    let duration_us = record.ends_us.saturating_sub(record.set_us);
    record.ends_us.saturating_sub(wall_us).min(duration_us)
}

/// Returns whether a target names a listed node.
fn names(target: &Target, node: &NodeFacts) -> bool {
    match target {
        Target::Node(address) => *address == node.address,
        Target::Net(net) => net.contains(&node.address.ip()),
        Target::Shard(shard) => *shard == node.shard,
        Target::Zone(zone) => *zone == node.zone,
    }
}

impl Overrides {
    /// Starts with the overrides that an earlier generation of the host acknowledged, in `records`. `next` is the lowest number of a
    /// new override. Overrides whose end has passed meanwhile are returned and do not become active.
    pub fn new(
        now: Instant,
        wall_us: u64,
        settings: Settings,
        records: Vec<Override>,
        next: u64,
    ) -> (Self, Vec<Ended>) {
        let mut overrides = Overrides {
            settings,
            all: BTreeMap::new(),
            index: TargetIndex::default(),
            ends: TimingWheel::new(now),
            ends_at: HashMap::new(),
            next: next.max(1),
            // If a version of an earlier generation were used again, a request based on that old version would be taken for one
            // based on the current version. The wall clock in milliseconds is ahead of all earlier versions.
            version: wall_us / 1000,
            recent_changes: VecDeque::new(),
            nodes: BTreeMap::new(),
            out: BTreeSet::new(),
            recovery_ramps: RecoveryRamps::default(),
            last_polled: BTreeMap::new(),
            dirty: BTreeSet::new(),
            offset_us: wall_us as i64 - micros(now),
        };
        let mut ended = Vec::new();
        for record in records {
            overrides.next = overrides.next.max(record.id.0 + 1);
            let left_us = remaining_us(&record, wall_us);
            if left_us == 0 {
                let audit = Audit::of(wall_us, AuditKind::EndedAway, &record, "");
                ended.push(Ended { record, audit });
                continue;
            }
            overrides.insert(record, now + TimeDelta::from_secs(left_us as f64 / 1e6));
        }
        (overrides, ended)
    }

    /// Returns the version of the overrides; each change increments it.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of active overrides.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Returns whether no override is active.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns all active overrides by number, each with its remaining time in seconds.
    pub fn list(&self, now: Instant) -> Vec<(Override, f64)> {
        let secs_left =
            |id: &OverrideId| self.ends_at.get(id).map_or(0.0, |(ends, _)| (*ends - now).secs().max(0.0));
        self.all.iter().map(|(id, record)| (record.clone(), secs_left(id))).collect()
    }

    /// Returns the override with this number, if it is active.
    pub fn get(&self, id: OverrideId) -> Option<&Override> {
        self.all.get(&id)
    }

    /// Returns the number of nodes on a recovery ramp, and the upper bound on the time until all ramps are complete, in seconds.
    pub fn returning(&self) -> (usize, f64) {
        (self.recovery_ramps.len(), MAX_STAGGER.secs() + RAMP_DURATION.secs())
    }

    fn insert(&mut self, record: Override, ends: Instant) {
        self.index.add(&record);
        let handle = self.ends.put(record.id, ends);
        self.ends_at.insert(record.id, (ends, handle));
        self.all.insert(record.id, record);
    }

    fn remove(&mut self, id: OverrideId) -> Option<Override> {
        let record = self.all.remove(&id)?;
        self.index.remove(&record);
        if let Some((_, handle)) = self.ends_at.remove(&id) {
            self.ends.remove(handle);
        }
        Some(record)
    }

    fn bump_version(&mut self, what: String) {
        self.version += 1;
        self.recent_changes.push_back((self.version, what));
        if self.recent_changes.len() > MAX_RECENT_CHANGES {
            self.recent_changes.pop_front();
        }
    }

    /// Returns the listed nodes that a target names.
    fn named(&self, target: &Target) -> Vec<SocketAddr> {
        self.nodes.values().filter(|node| names(target, node)).map(|node| node.address).collect()
    }

    /// Takes over changed entries of the endpoint list.
    pub fn handle_endpoint_list(&mut self, now: Instant, nodes: impl IntoIterator<Item = NodeFacts>) {
        let mut changed = Vec::new();
        for node in nodes {
            self.nodes.insert(node.address, node);
            changed.push(node.address);
        }
        self.reevaluate(now, &changed);
    }

    /// Determines again which overrides apply to these nodes, and starts recovery ramps for those that are back in service.
    fn reevaluate(&mut self, now: Instant, addresses: &[SocketAddr]) {
        let mut recovering = Vec::new();
        for address in addresses {
            let Some(node) = self.nodes.get(address) else { continue };
            let (effect, _) = effect_on(&self.index, &self.all, node);
            if effect.service == Service::Out {
                self.out.insert(*address);
                self.recovery_ramps.remove(address);
            } else if self.out.remove(address) && node.listed == NodeState::Ready {
                recovering.push(*address);
            }
            self.dirty.insert(*address);
        }
        if !recovering.is_empty() {
            self.recovery_ramps.begin(now, &recovering);
        }
    }

    /// Returns a node's state for the scheduler at `now`, or `None` if the node is not listed.
    pub fn effective(&self, now: Instant, address: &SocketAddr) -> Option<Effective> {
        let node = self.nodes.get(address)?;
        let (effect, _) = effect_on(&self.index, &self.all, node);
        let ramp_share = self.recovery_ramps.get(address).map(|ramp| ramp.share(now));
        let waits_for_ramp = ramp_share == Some(None);
        let is_out = effect.service == Service::Out || waits_for_ramp;
        // The endpoint list takes precedence over every override: an override can only take a ready node out of service.
        let is_kept_out = node.listed == NodeState::Ready && is_out;
        Some(Effective {
            state: if is_kept_out { NodeState::Draining } else { node.listed },
            weight: effect.weight * ramp_share.flatten().unwrap_or(1.0),
            pinned: effect.service == Service::Pinned,
        })
    }

    /// Returns the nodes whose effective state, weight or pin has changed since the last poll.
    pub fn poll_changed(&mut self, now: Instant) -> Vec<(SocketAddr, Effective)> {
        let dirty = std::mem::take(&mut self.dirty);
        let mut changed = Vec::new();
        for address in dirty {
            let Some(effective) = self.effective(now, &address) else { continue };
            if self.last_polled.insert(address, effective) != Some(effective) {
                changed.push((address, effective));
            }
        }
        changed
    }

    /// Reserves a number for an override that may never become active. No other override gets the same number.
    pub fn reserve(&mut self) -> OverrideId {
        self.next += 1;
        OverrideId(self.next - 1)
    }

    /// Activates an override that has been persisted.
    pub fn put(&mut self, now: Instant, record: Override) {
        let left_us = (record.ends_us as i64 - self.offset_us - micros(now)).max(0);
        self.next = self.next.max(record.id.0 + 1);
        self.bump_version(format!("{} set {} {}", record.who, record.target, record.kind));
        let target = record.target;
        self.insert(record, now + TimeDelta::from_secs(left_us as f64 / 1e6));
        self.reevaluate(now, &self.named(&target));
    }

    /// Deactivates an override whose removal has been persisted. `who` is the person who cleared it.
    pub fn clear(&mut self, now: Instant, id: OverrideId, who: &str) -> Result<(), Refusal> {
        let record = self.remove(id).ok_or(Refusal::Unknown { id })?;
        self.bump_version(format!("{who} cleared {} {}", record.target, record.kind));
        self.reevaluate(now, &self.named(&record.target));
        Ok(())
    }

    /// Ends the overrides that are due and advances the recovery ramps. `wall_us` is the Unix time in microseconds, for the audit
    /// log. Returns the overrides that ended.
    pub fn handle_timeout(&mut self, now: Instant, wall_us: u64) -> Vec<Ended> {
        let mut ended = Vec::new();
        let mut nodes = BTreeSet::new();
        for id in self.ends.advance(now) {
            let Some(record) = self.remove(id) else { continue };
            self.bump_version(format!("{} {} ended", record.target, record.kind));
            nodes.extend(self.named(&record.target));
            let audit = Audit::of(wall_us, AuditKind::Ended, &record, "");
            ended.push(Ended { record, audit });
        }
        // Overrides that end at the same time are evaluated together. One by one, each ramp would begin at once, and all their
        // nodes would get load at the same time.
        self.reevaluate(now, &nodes.into_iter().collect::<Vec<_>>());
        self.dirty.extend(self.recovery_ramps.handle_timeout(now));
        ended
    }

    /// Returns when `handle_timeout` has to be called next, or `None` if nothing is scheduled.
    pub fn poll_timeout(&self, now: Instant) -> Option<Instant> {
        [self.ends.next(), self.recovery_ramps.poll_timeout(now)].into_iter().flatten().min()
    }

    /// Compares the wall clock, in microseconds of Unix time, with the steady clock. Returns a step of the wall clock if there was
    /// one. Overrides keep their running time across a step; so the records with their new ends in wall time have to be persisted
    /// again, for a later generation of the host.
    pub fn handle_wall_clock(&mut self, now: Instant, wall_us: u64) -> Option<ClockStep> {
        let offset = wall_us as i64 - micros(now);
        let step = offset - self.offset_us;
        if step.abs() < MIN_CLOCK_STEP_US {
            return None;
        }
        self.offset_us = offset;
        for record in self.all.values_mut() {
            // Both times move, so that the duration stays the same.
            record.ends_us = (record.ends_us as i64 + step).max(0) as u64;
            record.set_us = (record.set_us as i64 + step).max(0) as u64;
        }
        let what =
            format!("the wall clock moved by {:.3} s; ends keep their running time", step as f64 / 1e6);
        let audit =
            Audit { at_us: wall_us, kind: AuditKind::ClockStepped, id: None, who: String::new(), what };
        let moved_by = TimeDelta::from_secs(step as f64 / 1e6);
        Some(ClockStep { records: self.all.values().cloned().collect(), audit, moved_by })
    }
}
