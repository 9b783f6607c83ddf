//! The overrides of one host: setting, clearing and ending them, and what follows for each node.

mod proposal;

use crate::audit::{Audit, AuditKind, Ended};
use crate::explanation::Explanation;
use crate::order::{Override, OverrideId, Target};
use crate::precedence::{effect_on, superseded, Applies, NodeFacts, Service, TargetIndex};
use crate::recovery_ramp::{RecoveryRamps, MAX_STAGGER_S, RAMP_S};
use crate::refusal::Refusal;
use crate::timing_wheel::{Handle, TimingWheel};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use tackmast::interface::{Instant, NodeState, TimeDelta};

/// Differences between the two clocks below this are no step of the wall clock.
const MIN_CLOCK_STEP_US: i64 = 1_000_000;
/// Changes that a conflict can name.
const MAX_RECENT_CHANGES: usize = 64;

/// Bounds on the overrides of a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Overrides that may stand at a time.
    pub max_overrides: usize,
    /// Fraction of a zone's nodes that may be out of service without force.
    pub max_zone_fraction: f64,
}

/// What the scheduler has to be told of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Effective {
    /// Ready, or draining where the list or an override says so.
    pub state: NodeState,
    /// Fraction of what the node would be given otherwise.
    pub weight: f64,
    /// In service whatever its health.
    pub pinned: bool,
}

/// A step of the wall clock, by which the ends of all overrides move in wall time.
#[derive(Clone, Debug, PartialEq)]
pub struct ClockStep {
    /// The overrides with their new times, to be persisted again.
    pub records: Vec<Override>,
    /// What the audit log gets.
    pub audit: Audit,
    /// How far the clock moved, forwards if positive.
    pub moved_by: TimeDelta,
}

/// The overrides of one host, and what follows from them for each node.
pub struct Overrides {
    settings: Settings,
    all: BTreeMap<OverrideId, Override>,
    index: TargetIndex,
    ends: TimingWheel<OverrideId>,
    ends_at: HashMap<OverrideId, (Instant, Handle)>,
    /// The next number of an override.
    next: u64,
    version: u64,
    /// The latest changes, by version.
    recent_changes: VecDeque<(u64, String)>,
    nodes: BTreeMap<SocketAddr, NodeFacts>,
    /// Nodes that are out of service.
    out: BTreeSet<SocketAddr>,
    recovery_ramps: RecoveryRamps,
    /// What was polled last for each node.
    last_polled: BTreeMap<SocketAddr, Effective>,
    /// Nodes for which something may have changed since the last poll.
    dirty: BTreeSet<SocketAddr>,
    /// Wall time less steady time, as last seen, in microseconds.
    offset_us: i64,
}

/// The state of a node as an explanation shows it.
fn listed_text(state: NodeState) -> &'static str {
    match state {
        NodeState::Ready => "ready",
        NodeState::Draining => "draining",
        NodeState::Gone => "gone",
    }
}

fn micros(at: Instant) -> i64 {
    (at.secs() * 1e6).round() as i64
}

impl Overrides {
    /// `records` are those that an earlier generation acknowledged; what ended meanwhile is reported and dropped.
    pub fn new(
        now: Instant,
        wall_us: u64,
        settings: Settings,
        records: Vec<Override>,
        next: u64,
    ) -> (Self, Vec<Ended>) {
        let mut o = Overrides {
            settings,
            all: BTreeMap::new(),
            index: TargetIndex::default(),
            ends: TimingWheel::new(now),
            ends_at: HashMap::new(),
            next: next.max(1),
            // Versions of an earlier generation must not be met again, or an old one would pass for the present.
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
        for r in records {
            o.next = o.next.max(r.id.0 + 1);
            // A wall clock that was set back while the host was down must not lengthen it past its whole time.
            let whole = r.ends_us.saturating_sub(r.set_us);
            let left = r.ends_us.saturating_sub(wall_us).min(whole);
            if left == 0 {
                let audit = Audit::of(wall_us, AuditKind::EndedAway, &r, "");
                ended.push(Ended { record: r, audit });
                continue;
            }
            o.insert(r, now + TimeDelta::from_secs(left as f64 / 1e6));
        }
        (o, ended)
    }

    /// Grows with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Overrides that stand.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// None stands.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// All that stand, with the seconds left of each.
    pub fn list(&self, now: Instant) -> Vec<(Override, f64)> {
        let left = |id: &OverrideId| self.ends_at.get(id).map_or(0.0, |(t, _)| (*t - now).secs().max(0.0));
        self.all.iter().map(|(id, o)| (o.clone(), left(id))).collect()
    }

    /// The override of a number, if it stands.
    pub fn get(&self, id: OverrideId) -> Option<&Override> {
        self.all.get(&id)
    }

    /// Nodes on their recovery ramp, and the bound in seconds on how long that may take.
    pub fn returning(&self) -> (usize, f64) {
        (self.recovery_ramps.len(), MAX_STAGGER_S + RAMP_S)
    }

    fn insert(&mut self, o: Override, ends: Instant) {
        self.index.add(&o);
        let handle = self.ends.put(o.id, ends);
        self.ends_at.insert(o.id, (ends, handle));
        self.all.insert(o.id, o);
    }

    fn remove(&mut self, id: OverrideId) -> Option<Override> {
        let o = self.all.remove(&id)?;
        self.index.remove(&o);
        if let Some((_, handle)) = self.ends_at.remove(&id) {
            self.ends.remove(handle);
        }
        Some(o)
    }

    fn bump_version(&mut self, what: String) {
        self.version += 1;
        self.recent_changes.push_back((self.version, what));
        if self.recent_changes.len() > MAX_RECENT_CHANGES {
            self.recent_changes.pop_front();
        }
    }

    fn named(&self, t: &Target) -> Vec<SocketAddr> {
        let names = |n: &&NodeFacts| match t {
            Target::Node(a) => *a == n.address,
            Target::Net(net) => net.contains(&n.address.ip()),
            Target::Shard(s) => *s == n.shard,
            Target::Zone(z) => *z == n.zone,
        };
        self.nodes.values().filter(names).map(|n| n.address).collect()
    }

    /// Entries of the endpoint list.
    pub fn handle_endpoint_list(&mut self, now: Instant, nodes: impl IntoIterator<Item = NodeFacts>) {
        let mut changed = Vec::new();
        for n in nodes {
            self.nodes.insert(n.address, n);
            changed.push(n.address);
        }
        self.reevaluate(now, &changed);
    }

    /// Evaluates again what holds for these nodes.
    fn reevaluate(&mut self, now: Instant, nodes: &[SocketAddr]) {
        let mut recovering = Vec::new();
        for a in nodes {
            let Some(n) = self.nodes.get(a) else { continue };
            let (effect, _) = effect_on(&self.index, &self.all, n);
            if effect.service == Service::Out {
                self.out.insert(*a);
                self.recovery_ramps.drop(a);
            } else if self.out.remove(a) && n.listed == NodeState::Ready {
                recovering.push(*a);
            }
            self.dirty.insert(*a);
        }
        if !recovering.is_empty() {
            self.recovery_ramps.begin(now, &recovering);
        }
    }

    /// What a node is to be given now.
    pub fn effective(&self, now: Instant, a: &SocketAddr) -> Option<Effective> {
        let n = self.nodes.get(a)?;
        let (effect, _) = effect_on(&self.index, &self.all, n);
        // The list goes before every override; a node whose ramp has not begun is still out.
        let ramp = self.recovery_ramps.get(a).map(|r| r.share(now));
        let held = effect.service == Service::Out || ramp == Some(None);
        Some(Effective {
            state: if n.listed == NodeState::Ready && held { NodeState::Draining } else { n.listed },
            weight: effect.weight * ramp.flatten().unwrap_or(1.0),
            pinned: effect.service == Service::Pinned,
        })
    }

    /// Nodes for which something else holds than at the last poll.
    pub fn poll_changed(&mut self, now: Instant) -> Vec<(SocketAddr, Effective)> {
        let dirty = std::mem::take(&mut self.dirty);
        let mut changed = Vec::new();
        for a in dirty {
            let Some(e) = self.effective(now, &a) else { continue };
            if self.last_polled.insert(a, e) != Some(e) {
                changed.push((a, e));
            }
        }
        changed
    }

    /// Reserves a number that no other override gets, though this one may never stand.
    pub fn reserve(&mut self) -> OverrideId {
        self.next += 1;
        OverrideId(self.next - 1)
    }

    /// An override was persisted: from now on it stands.
    pub fn put(&mut self, now: Instant, o: Override) {
        let left = (o.ends_us as i64 - self.offset_us - micros(now)).max(0);
        self.next = self.next.max(o.id.0 + 1);
        self.bump_version(format!("{} set {} {}", o.who, o.target, o.kind));
        let target = o.target;
        self.insert(o, now + TimeDelta::from_secs(left as f64 / 1e6));
        self.reevaluate(now, &self.named(&target));
    }

    /// Its clearing was persisted: from now on it does not stand.
    pub fn clear(&mut self, now: Instant, id: OverrideId, who: &str) -> Result<(), Refusal> {
        let o = self.remove(id).ok_or(Refusal::Unknown { id })?;
        self.bump_version(format!("{who} cleared {} {}", o.target, o.kind));
        self.reevaluate(now, &self.named(&o.target));
        Ok(())
    }

    /// Ends the overrides whose time has come, and moves nodes on along their recovery ramps.
    pub fn handle_timeout(&mut self, now: Instant, wall_us: u64) -> Vec<Ended> {
        let mut ended = Vec::new();
        let mut nodes = BTreeSet::new();
        for id in self.ends.advance(now) {
            let Some(o) = self.remove(id) else { continue };
            self.bump_version(format!("{} {} ended", o.target, o.kind));
            nodes.extend(self.named(&o.target));
            let audit = Audit::of(wall_us, AuditKind::Ended, &o, "");
            ended.push(Ended { record: o, audit });
        }
        // All that end at one moment are evaluated together, so that the ramps of their nodes are staggered.
        self.reevaluate(now, &nodes.into_iter().collect::<Vec<_>>());
        self.dirty.extend(self.recovery_ramps.handle_timeout(now));
        ended
    }

    /// When `handle_timeout` is due next.
    pub fn poll_timeout(&self, now: Instant) -> Option<Instant> {
        [self.ends.next(), self.recovery_ramps.poll_timeout(now)].into_iter().flatten().min()
    }

    /// Compares the wall clock with the steady one. After a step of the wall clock overrides keep their running time; the records
    /// with their new ends in wall time have to be persisted again, for a later generation.
    pub fn handle_wall_clock(&mut self, now: Instant, wall_us: u64) -> Option<ClockStep> {
        let offset = wall_us as i64 - micros(now);
        let step = offset - self.offset_us;
        if step.abs() < MIN_CLOCK_STEP_US {
            return None;
        }
        self.offset_us = offset;
        for o in self.all.values_mut() {
            // Both move, so that the whole time of it stays what it was.
            o.ends_us = (o.ends_us as i64 + step).max(0) as u64;
            o.set_us = (o.set_us as i64 + step).max(0) as u64;
        }
        let what =
            format!("the wall clock moved by {:.3} s; ends keep their running time", step as f64 / 1e6);
        let audit =
            Audit { at_us: wall_us, kind: AuditKind::ClockStepped, id: None, who: String::new(), what };
        let moved_by = TimeDelta::from_secs(step as f64 / 1e6);
        Some(ClockStep { records: self.all.values().cloned().collect(), audit, moved_by })
    }

    /// Why a node is given what it is given.
    pub fn explain(&self, now: Instant, address: SocketAddr) -> Explanation {
        // One that is not listed meets the overrides that name it by address.
        let unlisted = NodeFacts { address, zone: u32::MAX, shard: u32::MAX, listed: NodeState::Gone };
        let n = self.nodes.get(&address).copied().unwrap_or(unlisted);
        let (effect, Applies { service, weight }) = effect_on(&self.index, &self.all, &n);
        let record = |id: Option<OverrideId>| id.and_then(|id| self.all.get(&id)).cloned();
        let left = |id: Option<OverrideId>| {
            id.and_then(|id| self.ends_at.get(&id)).map(|(t, _)| (*t - now).secs().max(0.0))
        };
        let losers = superseded(&self.index, &self.all, &n).into_iter();
        let returning = self.recovery_ramps.get(&address).map(|r| {
            let wait = (r.starts - now).secs().max(0.0);
            (wait, r.share(now).unwrap_or(0.0))
        });
        let given = match self.effective(now, &address) {
            None => "nothing: the node is not listed".to_owned(),
            Some(e) => match (n.listed, e.state) {
                (NodeState::Draining, _) => "nothing new: the list says that it drains".to_owned(),
                (NodeState::Gone, _) => "nothing: the list says that it is gone".to_owned(),
                (_, NodeState::Ready) if e.pinned => format!("weight {:.2}, whatever its health", e.weight),
                (_, NodeState::Ready) => format!("weight {:.2}, as its health allows", e.weight),
                _ => "nothing new: out of service".to_owned(),
            },
        };
        Explanation {
            address,
            listed: if self.nodes.contains_key(&address) {
                listed_text(n.listed).to_owned()
            } else {
                "no".into()
            },
            standing: effect,
            service_by: record(service),
            weight_by: record(weight),
            service_left_s: left(service),
            weight_left_s: left(weight),
            beaten: losers.filter_map(|b| Some((self.all.get(&b.id)?.clone(), b))).collect(),
            returning,
            given,
            up_s: None,
        }
    }
}
