//! The overrides of one host: what stands, what is refused, what ends, and what each node is to be given.

use crate::order::{Kind, Order, Override, OverrideId, Target};
use crate::precedence::{beaten, standing, Applies, Beaten, Index, NodeFacts, Service, Standing};
use crate::returns::{Returns, RISE_S, SPREAD_S};
use crate::wheel::{Handle, Wheel};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use tackmast::interface::{Instant, NodeState, TimeDelta};

/// An end further off is refused: an override that nobody will remember is what these are against.
const LONGEST_S: f64 = 366.0 * 86_400.0;
const SHORTEST_S: f64 = 0.1;
const TEXT: usize = 200; // characters of a reason or a name
/// Differences between the two clocks that are no step.
const STEP_US: i64 = 1_000_000;
/// Changes that a conflict can name.
const REMEMBERED: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Overrides that may stand at a time.
    pub most: usize,
    /// Part of a zone's nodes that may be out of service without force.
    pub zone_part: f64,
}

/// Why an order is refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    Value {
        what: String,
        found: String,
        expected: String,
    },
    TooMany {
        most: usize,
    },
    /// It would leave a shard without a node in service.
    LastOfShard {
        shard: u32,
        nodes: Vec<String>,
    },
    /// It would take too much of a zone out.
    TooMuchOfZone {
        zone: u32,
        out: usize,
        of: usize,
        #[serde(rename = "most_part")]
        max_part: f64,
    },
    /// Others have changed something since that version.
    Moved {
        asked: u64,
        now: u64,
        changes: Vec<String>,
    },
    Unknown {
        id: OverrideId,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refusal::Value { what, found, expected } => write!(f, "{what}: {found}; expected {expected}"),
            Refusal::TooMany { most } => write!(f, "{most} overrides stand, which is the most; clear some first"),
            Refusal::LastOfShard { shard, nodes } => {
                write!(f, "shard {shard} would have no node in service ({}); force it if that is meant", nodes.join(", "))
            }
            Refusal::TooMuchOfZone { zone, out, of, max_part } => write!(
                f,
                "{out} of {of} nodes of zone {zone} would be out of service; at most {max_part} of them without force"
            ),
            Refusal::Moved { asked, now, changes } => {
                write!(f, "version {asked} was asked for, and {now} holds; since then: {}", changes.join("; "))
            }
            Refusal::Unknown { id } => write!(f, "override {}: none such stands", id.0),
        }
    }
}

/// What an order would do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Preview {
    pub version: u64,
    /// Nodes listed now whose standing changes: address, before, after.
    pub changes: Vec<(SocketAddr, Standing, Standing)>,
    /// Nodes listed now that it names, changed or not.
    pub named: usize,
    /// What it would be refused for without force.
    pub forced_past: Option<Refusal>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditKind {
    Set,
    Cleared,
    Ended,
    /// Its end came while the host was not running.
    EndedAway,
    ClockStepped,
    /// Something that hosts agree on was gone past by force.
    Forced,
}

/// A line that survives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Audit {
    pub at_us: u64,
    pub kind: AuditKind,
    pub id: Option<OverrideId>,
    pub who: String,
    pub what: String,
}

impl Audit {
    pub fn set(o: &Override, forced: bool) -> Audit {
        let mut a = Audit::of(o.set_us, AuditKind::Set, o, &o.who);
        if forced {
            a.what += ", forced";
        }
        a
    }

    pub fn cleared(at_us: u64, o: &Override, who: &str) -> Audit {
        Audit::of(at_us, AuditKind::Cleared, o, who)
    }

    fn of(at_us: u64, kind: AuditKind, o: &Override, who: &str) -> Audit {
        let what = format!("{} {}: {} (set by {})", o.target, o.kind, o.reason, o.who);
        Audit { at_us, kind, id: Some(o.id), who: who.to_owned(), what }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    pub record: Override,
    pub audit: Audit,
}

/// What the scheduler is to be told of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Effective {
    pub state: NodeState,
    pub weight: f64,
    pub pinned: bool,
}

/// Why a node is given what it is given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    pub address: SocketAddr,
    pub listed: String,
    pub standing: Standing,
    pub service_by: Option<Override>,
    pub weight_by: Option<Override>,
    /// Seconds until the applying ones end.
    pub service_left_s: Option<f64>,
    pub weight_left_s: Option<f64>,
    pub beaten: Vec<(Override, Beaten)>,
    /// On its way back: seconds until its turn, and its share now.
    pub returning: Option<(f64, f64)>,
    pub given: String,
    /// Seconds since the node's latest start, where its host knows of one.
    #[serde(default)]
    pub up_s: Option<f64>,
}

impl Explanation {
    /// The applying overrides that were set before the node's latest start: it restarted under them, or another node has
    /// its address now.
    pub fn restarted_under(&self) -> Vec<OverrideId> {
        let Some(up_s) = self.up_s else { return Vec::new() };
        let both = [(&self.service_by, self.service_left_s), (&self.weight_by, self.weight_left_s)];
        let older = both.into_iter().filter_map(|(o, left)| {
            let (o, left) = (o.as_ref()?, left?);
            let stood_s = o.ends_us.saturating_sub(o.set_us) as f64 / 1e6 - left;
            (up_s < stood_s).then_some(o.id)
        });
        older.collect()
    }
}

pub struct Overrides {
    settings: Settings,
    all: BTreeMap<OverrideId, Override>,
    index: Index,
    ends: Wheel<OverrideId>,
    ends_at: HashMap<OverrideId, (Instant, Handle)>,
    next: u64,
    version: u64,
    recent: VecDeque<(u64, String)>,
    nodes: BTreeMap<SocketAddr, NodeFacts>,
    out: BTreeSet<SocketAddr>,
    returns: Returns,
    told: BTreeMap<SocketAddr, Effective>,
    dirty: BTreeSet<SocketAddr>,
    /// Wall time less steady time, as last seen.
    offset_us: i64,
}

fn us(at: Instant) -> i64 {
    (at.secs() * 1e6).round() as i64
}

impl Overrides {
    /// `records` are those that an earlier generation acknowledged; what ended meanwhile is told and dropped.
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
            index: Index::default(),
            ends: Wheel::new(now),
            ends_at: HashMap::new(),
            next: next.max(1),
            // Versions of an earlier generation must not be met again, or an old one would pass for the present.
            version: wall_us / 1000,
            recent: VecDeque::new(),
            nodes: BTreeMap::new(),
            out: BTreeSet::new(),
            returns: Returns::default(),
            told: BTreeMap::new(),
            dirty: BTreeSet::new(),
            offset_us: wall_us as i64 - us(now),
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

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// All that stand, with the seconds left of each.
    pub fn list(&self, now: Instant) -> Vec<(Override, f64)> {
        let left = |id: &OverrideId| self.ends_at.get(id).map_or(0.0, |(t, _)| (*t - now).secs().max(0.0));
        self.all.iter().map(|(id, o)| (o.clone(), left(id))).collect()
    }

    pub fn get(&self, id: OverrideId) -> Option<&Override> {
        self.all.get(&id)
    }

    /// Nodes on their way back, and the bound on how long that may take.
    pub fn returning(&self) -> (usize, f64) {
        (self.returns.len(), SPREAD_S + RISE_S)
    }

    fn insert(&mut self, o: Override, ends: Instant) {
        self.index.add(&o);
        let handle = self.ends.put(o.id, ends);
        self.ends_at.insert(o.id, (ends, handle));
        self.all.insert(o.id, o);
    }

    fn take_out(&mut self, id: OverrideId) -> Option<Override> {
        let o = self.all.remove(&id)?;
        self.index.remove(&o);
        if let Some((_, handle)) = self.ends_at.remove(&id) {
            self.ends.remove(handle);
        }
        Some(o)
    }

    fn moved(&mut self, what: String) {
        self.version += 1;
        self.recent.push_back((self.version, what));
        if self.recent.len() > REMEMBERED {
            self.recent.pop_front();
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

    /// Lines of the node list, as it has them; what it no longer names is gone.
    pub fn nodes_listed(&mut self, now: Instant, nodes: impl IntoIterator<Item = NodeFacts>) {
        let mut changed = Vec::new();
        for n in nodes {
            self.nodes.insert(n.address, n);
            changed.push(n.address);
        }
        self.look_again(now, &changed);
    }

    /// Works out anew what holds for these nodes.
    fn look_again(&mut self, now: Instant, nodes: &[SocketAddr]) {
        let mut back = Vec::new();
        for a in nodes {
            let Some(n) = self.nodes.get(a) else { continue };
            let (st, _) = standing(&self.index, &self.all, n);
            if st.service == Service::Out {
                self.out.insert(*a);
                self.returns.drop(a);
            } else if self.out.remove(a) && n.listed == NodeState::Ready {
                back.push(*a);
            }
            self.dirty.insert(*a);
        }
        if !back.is_empty() {
            self.returns.begin(now, &back);
        }
    }

    /// What a node is to be given now.
    pub fn effective(&self, now: Instant, a: &SocketAddr) -> Option<Effective> {
        let n = self.nodes.get(a)?;
        let (st, _) = standing(&self.index, &self.all, n);
        // The list beats every order; who waits for its turn to come back is still out.
        let turn = self.returns.get(a).map(|r| r.share(now));
        let held = st.service == Service::Out || turn == Some(None);
        Some(Effective {
            state: if n.listed == NodeState::Ready && held { NodeState::Draining } else { n.listed },
            weight: st.weight * turn.flatten().unwrap_or(1.0),
            pinned: st.service == Service::Pinned,
        })
    }

    /// Nodes that are to be given something else than was told before.
    pub fn take_changed(&mut self, now: Instant) -> Vec<(SocketAddr, Effective)> {
        let dirty = std::mem::take(&mut self.dirty);
        let mut changed = Vec::new();
        for a in dirty {
            let Some(e) = self.effective(now, &a) else { continue };
            if self.told.insert(a, e) != Some(e) {
                changed.push((a, e));
            }
        }
        changed
    }

    /// Judges an order: the override it would be, and what it would do. Nothing is changed.
    pub fn propose(
        &mut self,
        wall_us: u64,
        order: &Order,
        force: bool,
        if_version: Option<u64>,
    ) -> Result<(Override, Preview), Refusal> {
        let value = |what: &str, found: String, expected: &str| {
            Err(Refusal::Value { what: what.into(), found, expected: expected.into() })
        };
        if let Kind::Weight(w) = order.kind {
            if !(w > 0.0 && w <= 1.0) {
                return value("weight", w.to_string(), "above 0 and up to 1; for 0, take it out of service");
            }
        }
        if !(SHORTEST_S..=LONGEST_S).contains(&order.seconds) {
            return value(
                "seconds",
                order.seconds.to_string(),
                "from 0.1 up to 366 days: every override ends",
            );
        }
        for (what, text) in [("who", &order.who), ("reason", &order.reason)] {
            if text.trim().is_empty() || text.chars().count() > TEXT || text.contains(char::is_control) {
                return value(what, format!("{text:?}"), "1 to 200 printable characters");
            }
        }
        if let Some(asked) = if_version.filter(|v| *v != self.version) {
            let since = self.recent.iter().filter(|(v, _)| *v > asked).map(|(_, what)| what.clone());
            return Err(Refusal::Moved { asked, now: self.version, changes: since.collect() });
        }
        if self.all.len() >= self.settings.most {
            return Err(Refusal::TooMany { most: self.settings.most });
        }
        let new = Override {
            id: OverrideId(self.next),
            target: order.target,
            kind: order.kind,
            reason: order.reason.clone(),
            who: order.who.clone(),
            set_us: wall_us,
            ends_us: wall_us + (order.seconds * 1e6) as u64,
            origin: order.origin,
        };
        let named = self.named(&new.target);
        let look = |o: &Self| -> BTreeMap<SocketAddr, Standing> {
            o.nodes.values().map(|n| (n.address, standing(&o.index, &o.all, n).0)).collect()
        };
        let before = look(self);
        self.index.add(&new);
        self.all.insert(new.id, new.clone());
        let after = look(self);
        self.all.remove(&new.id);
        self.index.remove(&new);
        let floor = self.floor(&before, &after);
        if let Some(refusal) = floor.clone().filter(|_| !force) {
            return Err(refusal);
        }
        let listed = |a: &SocketAddr| self.nodes.get(a).is_some_and(|n| n.listed != NodeState::Gone);
        let changes = before.iter().filter(|(a, b)| listed(a) && after[a] != **b);
        let changes = changes.map(|(a, b)| (*a, *b, after[a])).collect();
        let named = named.iter().filter(|a| listed(a)).count();
        Ok((new, Preview { version: self.version, changes, named, forced_past: floor }))
    }

    /// What must not be taken out by accident.
    fn floor(
        &self,
        before: &BTreeMap<SocketAddr, Standing>,
        after: &BTreeMap<SocketAddr, Standing>,
    ) -> Option<Refusal> {
        let ready: Vec<&NodeFacts> = self.nodes.values().filter(|n| n.listed == NodeState::Ready).collect();
        let serves =
            |st: &BTreeMap<SocketAddr, Standing>, n: &NodeFacts| st[&n.address].service != Service::Out;
        let shards: BTreeSet<u32> = ready.iter().map(|n| n.shard).collect();
        for shard in shards {
            let mut of = ready.iter().filter(|n| n.shard == shard);
            if of.clone().any(|n| serves(before, n)) && !of.any(|n| serves(after, n)) {
                let nodes = ready.iter().filter(|n| n.shard == shard && serves(before, n));
                let nodes = nodes.map(|n| n.address.to_string()).collect();
                return Some(Refusal::LastOfShard { shard, nodes });
            }
        }
        let zones: BTreeSet<u32> = ready.iter().map(|n| n.zone).collect();
        for zone in zones {
            let of: Vec<_> = ready.iter().filter(|n| n.zone == zone).collect();
            let out = of.iter().filter(|n| !serves(after, n)).count();
            let was = of.iter().filter(|n| !serves(before, n)).count();
            if out > was && out as f64 > self.settings.zone_part * of.len() as f64 {
                let (of, max_part) = (of.len(), self.settings.zone_part);
                return Some(Refusal::TooMuchOfZone { zone, out, of, max_part });
            }
        }
        None
    }

    /// A number that no other override gets, though this one may never stand.
    pub fn reserve(&mut self) -> OverrideId {
        self.next += 1;
        OverrideId(self.next - 1)
    }

    /// It is kept durably: from now on it stands.
    pub fn put(&mut self, now: Instant, o: Override) {
        let left = (o.ends_us as i64 - self.offset_us - us(now)).max(0);
        self.next = self.next.max(o.id.0 + 1);
        self.moved(format!("{} set {} {}", o.who, o.target, o.kind));
        let target = o.target;
        self.insert(o, now + TimeDelta::from_secs(left as f64 / 1e6));
        self.look_again(now, &self.named(&target));
    }

    /// That it is cleared is kept durably: from now on it does not stand.
    pub fn clear(&mut self, now: Instant, id: OverrideId, who: &str) -> Result<(), Refusal> {
        let o = self.take_out(id).ok_or(Refusal::Unknown { id })?;
        self.moved(format!("{who} cleared {} {}", o.target, o.kind));
        self.look_again(now, &self.named(&o.target));
        Ok(())
    }

    /// Those whose end has come, and nodes that take their next step on the way back.
    pub fn tick(&mut self, now: Instant, wall_us: u64) -> Vec<Ended> {
        let mut ended = Vec::new();
        let mut nodes = BTreeSet::new();
        for id in self.ends.advance(now) {
            let Some(o) = self.take_out(id) else { continue };
            self.moved(format!("{} {} ended", o.target, o.kind));
            nodes.extend(self.named(&o.target));
            let audit = Audit::of(wall_us, AuditKind::Ended, &o, "");
            ended.push(Ended { record: o, audit });
        }
        // All that end at one moment are looked at together, so that their nodes take turns.
        self.look_again(now, &nodes.into_iter().collect::<Vec<_>>());
        self.dirty.extend(self.returns.tick(now));
        ended
    }

    /// When something happens next.
    pub fn next(&self, now: Instant) -> Option<Instant> {
        [self.ends.next(), self.returns.next(now)].into_iter().flatten().min()
    }

    /// Compares the two clocks. After a step of the wall clock the ends keep their running time; the records with
    /// their new ends in wall time are to be kept anew, for a later generation.
    pub fn wall_seen(&mut self, now: Instant, wall_us: u64) -> Option<(Vec<Override>, Audit)> {
        let offset = wall_us as i64 - us(now);
        let step = offset - self.offset_us;
        if step.abs() < STEP_US {
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
        Some((self.all.values().cloned().collect(), audit))
    }

    pub fn explain(&self, now: Instant, address: SocketAddr) -> Explanation {
        // One that is not listed meets the overrides that name it by address.
        let unlisted = NodeFacts { address, zone: u32::MAX, shard: u32::MAX, listed: NodeState::Gone };
        let n = self.nodes.get(&address).copied().unwrap_or(unlisted);
        let (st, Applies { service, weight }) = standing(&self.index, &self.all, &n);
        let record = |id: Option<OverrideId>| id.and_then(|id| self.all.get(&id)).cloned();
        let left = |id: Option<OverrideId>| {
            id.and_then(|id| self.ends_at.get(&id)).map(|(t, _)| (*t - now).secs().max(0.0))
        };
        let losers = beaten(&self.index, &self.all, &n).into_iter();
        let returning = self.returns.get(&address).map(|r| {
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
                format!("{:?}", n.listed).to_lowercase()
            } else {
                "no".into()
            },
            standing: st,
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
