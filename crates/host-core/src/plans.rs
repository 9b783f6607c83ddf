//! Plans as this host goes by them. One host of the fleet, the home, takes changes: it judges them one at a time, keeps each
//! durably before it holds, and all others take them from each other in the home's order. A host goes by the newest that it
//! has; docs/plans.md argues why rule 7 holds while hosts learn of a change apart.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use tackmast::interface::{Instant, Plan as Figures, PlanId, TimeDelta};
use tackmast_config::{HostSettings, PlansBlock};
use tackmast_membership::{MAX_CATALOG_UPDATES, MAX_UPDATE_LEN};
use tackmast_plans::{
    Agreed, Catalogue, Change, Command, Entry, Fleet, Plan, Step, TrafficClass, Trail, TrailError, Volume,
};

/// Asks that may wait for the one before them to be kept.
const WAITING: usize = 256;
/// Plans that the module knows by number: names that were ever used since this host's start.
const NAMES: usize = 100_000;
/// Units a second that stand for none at all.
const NOTHING: f64 = 1e-6;
/// Bytes of a trail that are shown in one answer.
const SHOWN: usize = 3 << 20;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanAsk {
    Show,
    Apply {
        change: Change,
        dry_run: bool,
    },
    Undo {
        number: u64,
        who: String,
        why: String,
        dry_run: bool,
    },
    /// The trail, as it is kept.
    Log,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanReply {
    Shown(Box<PlanStatus>),
    Applied {
        number: u64,
        version: u64,
        /// What moves, line by line.
        lines: Vec<String>,
        in_force_s: f64,
        dry_run: bool,
    },
    Refused {
        why: String,
    },
    Log {
        text: String,
        fleet: Fleet,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanStatus {
    pub host: u32,
    pub home: u32,
    pub number: u64,
    pub digest: String,
    pub in_force_s: f64,
    pub settle_s: f64,
    pub catalogue: Catalogue,
    pub fleet: Fleet,
    /// Whether clients wait for word of the newest change.
    pub waits: bool,
    /// By host, the change that it last said it goes by.
    pub at: BTreeMap<u32, u64>,
    /// Hosts agree on changes, and this one could not ask whether there is a newer one.
    #[serde(default)]
    pub stale: bool,
}

/// What the module and the layout are to be told.
#[derive(Clone, Debug, PartialEq)]
pub enum Move {
    Plan { plan: PlanId, figures: Figures },
    Volume { name: String, plan: PlanId },
}

/// What came of an ask.
pub enum PlanNext {
    Reply(u64, PlanReply),
    Keep(u64, Box<Entry>),
}

/// A change that holds from now on: what moves, and what others are told.
pub struct Holds {
    pub moves: Vec<Move>,
    pub number: u64,
    pub mark: u64,
    pub text: Vec<u8>,
    pub ends: Instant,
    pub line: String,
}

/// A command of the agreed log that holds: what moves here, the entry of the trail that it made, and what whoever asked for
/// it is told.
pub struct AgreedHolds {
    pub moves: Vec<Move>,
    pub entry: Option<Entry>,
    pub lines: Vec<String>,
}

pub struct Plans {
    trail: Trail,
    /// In place of the trail, where hosts agree on changes.
    agreed: Option<Agreed>,
    /// This host can't know whether what it has still counts: it goes by the floors.
    posture: bool,
    fleet: Fleet,
    me: u32,
    home: u32,
    settle: TimeDelta,
    ends: Instant,
    /// Until when clients wait for word of the newest change, at most.
    waits: Option<Instant>,
    pending: Option<(u64, Box<Entry>, Catalogue)>,
    waiting: VecDeque<(u64, PlanAsk)>,
    numbers: BTreeMap<String, PlanId>,
}

/// What the settings say, as a catalogue.
fn of_settings(s: &HostSettings) -> Catalogue {
    let mut c = Catalogue::default();
    for p in &s.plans {
        let (limit, burst, slack, reserve, weight) = (p.limit, p.burst, p.slack, p.reserve, p.weight);
        c.plans.insert(p.name.clone(), Plan { limit, burst, slack, reserve, weight, floor: p.floor });
    }
    for st in &s.traffic_classes {
        let (latency_objective_ms, deadline_ms) =
            (st.latency_objective.secs() * 1e3, st.deadline.secs() * 1e3);
        c.traffic_classes.insert(st.name.clone(), TrafficClass { latency_objective_ms, deadline_ms });
    }
    for v in &s.volumes {
        let traffic_class = |i: u32| s.traffic_classes[i as usize].name.clone();
        let volume = Volume {
            lun: v.lun,
            plan: s.plans[v.plan as usize].name.clone(),
            blocks: v.blocks,
            extent_blocks: v.extent_blocks,
            shards: v.shards.clone(),
            through: v.through.clone(),
            reads: traffic_class(v.reads),
            writes: traffic_class(v.writes),
        };
        c.volumes.insert(v.name.clone(), volume);
    }
    c
}

fn fleet(s: &HostSettings, b: &PlansBlock) -> Fleet {
    let shards = s.volumes.iter().flat_map(|v| &v.shards);
    let bears = shards.map(|n| (*n, b.bears.get(&n.to_string()).copied().unwrap_or(b.node_units)));
    Fleet { hosts: s.host.hosts, max_units: s.units.max_per_request, bears: bears.collect() }
}

/// The first eight bytes of a digest.
fn mark(digest: &str) -> u64 {
    digest.get(..16).and_then(|h| u64::from_str_radix(h, 16).ok()).unwrap_or(0)
}

impl Plans {
    /// `kept` is the trail of an earlier generation, as it was written; none: this is the first. Clients wait for word of the
    /// newest change for as long as a change may take at most, if there is anyone to hear it from.
    pub fn new(now: Instant, s: &HostSettings, b: &PlansBlock, kept: &[u8]) -> Result<Self, TrailError> {
        let fleet = fleet(s, b);
        let from_settings = Trail::starting(of_settings(s));
        let trail = match kept {
            [] => from_settings.clone(),
            kept => Trail::from_bytes(kept, &fleet)?,
        };
        if trail.anchor != from_settings.anchor {
            let found = "it begins with other plans, volumes or stream types than these settings".to_owned();
            let expected = "the settings that it began with, or no trail".to_owned();
            return Err(TrailError::Broken { number: 0, found, expected });
        }
        let settle = TimeDelta::from_secs(b.settle_s);
        let alone = s.host.number == b.home || s.membership.is_none();
        Ok(Plans {
            trail,
            agreed: None,
            posture: false,
            fleet,
            me: s.host.number,
            home: b.home,
            settle,
            ends: now,
            waits: (!alone).then_some(now + settle),
            pending: None,
            waiting: VecDeque::new(),
            numbers: (0..).zip(&s.plans).map(|(i, p)| (p.name.clone(), PlanId(i))).collect(),
        })
    }

    fn trail(&self) -> &Trail {
        self.agreed.as_ref().map_or(&self.trail, |a| &a.trail)
    }

    /// From here on hosts agree on changes; until it has a lease this host goes by the floors.
    pub fn agree(&mut self) {
        self.agreed = Some(Agreed::starting(self.trail.anchor.catalogue.clone()));
        (self.posture, self.waits) = (true, None);
    }

    /// Of what hosts agree on: the newest version that all have, as was agreed, and whether something waits for that.
    pub fn told(&self) -> (u64, bool) {
        self.agreed.as_ref().map_or((0, false), |a| (a.told(), a.waits()))
    }

    pub fn version(&self) -> u64 {
        self.trail().catalogue.version
    }

    /// What the agreed log's entries led to.
    pub fn agreed_bytes(&self) -> Vec<u8> {
        self.agreed.as_ref().map(Agreed::to_bytes).unwrap_or_default()
    }

    /// As at the beginning of a log.
    pub fn agreed_anew(&mut self) -> Vec<Move> {
        let from = self.trail().catalogue.clone();
        let posture = self.posture;
        self.agree();
        self.posture = posture;
        let to = self.trail().catalogue.clone();
        self.moves(&from, &to)
    }

    pub fn agreed_restore(&mut self, state: &[u8]) -> Result<Vec<Move>, TrailError> {
        let from = self.trail().catalogue.clone();
        self.agreed = Some(Agreed::from_bytes(state, &self.fleet)?);
        let to = self.trail().catalogue.clone();
        Ok(self.moves(&from, &to))
    }

    /// The change that takes an entry back.
    pub fn undoing(&self, number: u64, who: &str, why: &str) -> Result<Change, String> {
        let found = self.trail().undoing(number, who, why);
        found.ok_or_else(|| format!("change {number}: not in the trail; expected one that `log` shows"))
    }

    /// Whether what this host has may count no more; what moves by that.
    pub fn stands(&mut self, posture: bool) -> Vec<Move> {
        if std::mem::replace(&mut self.posture, posture) == posture {
            return Vec::new();
        }
        self.all_moves()
    }

    /// Each plan as it is told now.
    pub fn all_moves(&mut self) -> Vec<Move> {
        let to = self.trail().catalogue.clone();
        let mut nothing = to.clone();
        nothing.plans.clear();
        self.moves(&nothing, &to)
    }

    pub fn is_in_posture(&self) -> bool {
        self.posture
    }

    /// What a change would move, as far as this host knows.
    pub fn agreed_try(&self, at_us: u64, change: Change) -> Result<(u64, u64, Vec<String>), String> {
        let Some(a) = &self.agreed else { return Err("hosts do not agree on plans here".into()) };
        let (entry, next) = a.propose(at_us, change, &self.fleet).map_err(|r| r.to_string())?;
        Ok((entry.number, entry.version, self.trail().catalogue.diff(&next)))
    }

    /// A command of the agreed log holds: what moves here, and what whoever asked for it is told.
    pub fn agreed_holds(&mut self, command: Command) -> Result<AgreedHolds, String> {
        let before = self.trail().catalogue.clone();
        let Some(a) = &mut self.agreed else { return Err("hosts do not agree on plans here".into()) };
        let entry = a.apply(command, &self.fleet).map_err(|r| r.to_string())?;
        let to = self.trail().catalogue.clone();
        Ok(AgreedHolds { moves: self.moves(&before, &to), entry, lines: before.diff(&to) })
    }

    /// As the module is told of a plan. A host that can't know whether it still holds keeps to what none may go below: the
    /// floor, and a burst that every plan of these volumes has to have.
    fn figures(&self, name: &str, p: &Plan, of: &Catalogue) -> Figures {
        let floor = p.kept_floor();
        let (limit, burst, slack, reserve, weight) = (p.limit, p.burst, p.slack, p.reserve, p.weight);
        if !self.posture || floor.is_infinite() {
            return Figures { limit, burst, slack, reserve, weight };
        }
        if floor <= 0.0 {
            // A limit of nothing at all is told as a least one: none would be no limit. Without a burst nothing can leave, and
            // its answer comes at once.
            return Figures { limit: NOTHING, burst: 0.0, slack, reserve: 0.0, weight };
        }
        let through = of.volumes.values().filter(|v| v.plan == name).map(|v| v.through.len()).min();
        let least = self.fleet.max_units * through.unwrap_or(0) as f64;
        let (burst, reserve) = (if burst > 0.0 { burst.min(least) } else { least }, reserve.min(floor));
        Figures { limit: floor, burst, slack, reserve, weight }
    }

    /// Number and mark of the newest change.
    pub fn newest_mark(&self) -> (u64, u64) {
        let (number, digest) = self.trail().newest();
        (number, mark(digest))
    }

    /// Each change as a text, for others that ask.
    pub fn texts(&self) -> impl Iterator<Item = (u64, Vec<u8>)> + '_ {
        self.trail.entries.iter().map(|e| (e.number, Trail::line(e)))
    }

    /// What an earlier generation had taken, on top of the settings.
    pub fn resumed(&mut self) -> Vec<Move> {
        let (from, to) = (self.trail.anchor.catalogue.clone(), self.trail.catalogue.clone());
        self.moves(&from, &to)
    }

    /// The line that a store begins with.
    pub fn anchor_line(&self) -> Vec<u8> {
        let bare = Trail { entries: Vec::new(), ..self.trail.clone() };
        bare.to_bytes()
    }

    /// Whether clients are to wait; they do no longer once this host is up to date, or has waited long enough.
    pub fn clients_wait(&mut self, now: Instant, up_to_date: bool) -> bool {
        self.waits = self.waits.filter(|until| now < *until && !up_to_date);
        self.waits.is_some()
    }

    /// Takes an ask. Each change is judged on what holds once the one before it is kept.
    pub fn ask(&mut self, now: Instant, wall_us: u64, request: u64, ask: PlanAsk) -> Option<PlanNext> {
        let refused = |why: String| Some(PlanNext::Reply(request, PlanReply::Refused { why }));
        let (change, dry_run) = match &ask {
            PlanAsk::Show => {
                let shown = PlanReply::Shown(Box::new(self.status(now)));
                return Some(PlanNext::Reply(request, shown));
            }
            PlanAsk::Log => {
                let text = String::from_utf8(self.trail().to_bytes()).unwrap_or_default();
                if text.len() > SHOWN {
                    return refused(format!("the trail has {} bytes; an answer holds {SHOWN}", text.len()));
                }
                let fleet = self.fleet.clone();
                return Some(PlanNext::Reply(request, PlanReply::Log { text, fleet }));
            }
            PlanAsk::Apply { change, dry_run } => (change.clone(), *dry_run),
            PlanAsk::Undo { number, who, why, dry_run } => match self.undoing(*number, who, why) {
                Ok(change) => (change, *dry_run),
                Err(why) => return refused(why),
            },
        };
        if self.me != self.home {
            return refused(format!(
                "host {} takes changes of plans, and this is host {}; ask it",
                self.home, self.me
            ));
        }
        if self.pending.is_some() && !dry_run {
            if self.waiting.len() >= WAITING {
                return refused(format!("{WAITING} changes wait already"));
            }
            self.waiting.push_back((request, ask));
            return None;
        }
        let (entry, next) = match self.judge(wall_us, change) {
            Ok(judged) => judged,
            Err(why) => return refused(why),
        };
        if dry_run {
            let lines = self.trail.catalogue.diff(&next);
            let (number, version, in_force_s) = (entry.number, entry.version, self.settle.secs());
            let applied = PlanReply::Applied { number, version, lines, in_force_s, dry_run };
            return Some(PlanNext::Reply(request, applied));
        }
        let entry = Box::new(entry);
        self.pending = Some((request, entry.clone(), next));
        Some(PlanNext::Keep(request, entry))
    }

    fn judge(&self, wall_us: u64, change: Change) -> Result<(Entry, Catalogue), String> {
        let (entry, next) = self.trail.propose(wall_us, change, &self.fleet).map_err(|r| r.to_string())?;
        self.trail.catalogue.moves_live(&next).map_err(|r| r.to_string())?;
        let bytes = Trail::line(&entry).len();
        if bytes > MAX_UPDATE_LEN {
            return Err(format!(
                "a change of {bytes} bytes; expected at most {MAX_UPDATE_LEN}, in several changes"
            ));
        }
        if self.trail.entries.len() >= MAX_CATALOG_UPDATES {
            return Err(format!(
                "the trail is full: {MAX_CATALOG_UPDATES} changes; expected it to be begun anew"
            ));
        }
        let new = |s: &&Step| matches!(s, Step::Plan { name, .. } if !self.numbers.contains_key(name));
        if self.numbers.len() + entry.change.steps.iter().filter(new).count() > NAMES {
            return Err(format!(
                "plans have had {NAMES} names since this host's start; expected one of these"
            ));
        }
        Ok((entry, next))
    }

    /// The store's word on a change: from now on it holds, or it never does.
    pub fn kept(
        &mut self,
        now: Instant,
        request: u64,
        result: Result<(), String>,
    ) -> Option<(PlanReply, Option<Holds>)> {
        let (_, entry, next) = self.pending.take_if(|(r, _, _)| *r == request)?;
        if let Err(why) = result {
            return Some((PlanReply::Refused { why: format!("not kept, so it does not hold: {why}") }, None));
        }
        let before = self.trail.catalogue.clone();
        let lines = before.diff(&next);
        let (number, version, in_force_s) = (entry.number, entry.version, self.settle.secs());
        self.trail.kept(*entry, next);
        self.ends = now + self.settle;
        let holds = self.holds(&before)?;
        Some((PlanReply::Applied { number, version, lines, in_force_s, dry_run: false }, Some(holds)))
    }

    /// A change that another host has taken: it holds here from now on, if it is the next one.
    pub fn came(&mut self, text: &[u8], ends: Instant) -> Result<Holds, String> {
        let before = self.trail.clone();
        self.trail.take(text, &self.fleet).map_err(|e| e.to_string())?;
        if let Err(r) = before.catalogue.moves_live(&self.trail.catalogue) {
            self.trail = before;
            return Err(r.to_string());
        }
        self.ends = ends;
        self.holds(&before.catalogue).ok_or_else(|| "no entry".to_owned())
    }

    fn holds(&mut self, before: &Catalogue) -> Option<Holds> {
        let to = self.trail.catalogue.clone();
        let moves = self.moves(before, &to);
        let e = self.trail.entries.last()?;
        let line = format!(
            "plans: change {} holds, by {}: {}; {} things move",
            e.number,
            e.change.who,
            e.change.why,
            moves.len()
        );
        Some(Holds {
            moves,
            number: e.number,
            mark: mark(&e.digest),
            text: Trail::line(e),
            ends: self.ends,
            line,
        })
    }

    /// The next ask that waited, once none is pending.
    pub fn next_waiting(&mut self) -> Option<(u64, PlanAsk)> {
        if self.pending.is_some() {
            return None;
        }
        self.waiting.pop_front()
    }

    /// Plans first: a volume may move to one that is new.
    fn moves(&mut self, from: &Catalogue, to: &Catalogue) -> Vec<Move> {
        let mut all = Vec::new();
        for (name, p) in to.plans.iter().filter(|(n, p)| from.plans.get(*n) != Some(*p)) {
            let next = PlanId(self.numbers.len() as u32);
            let plan = *self.numbers.entry(name.clone()).or_insert(next);
            all.push(Move::Plan { plan, figures: self.figures(name, p, to) });
        }
        let plan_of = |c: &Catalogue, n: &String| c.volumes.get(n).map(|v| v.plan.clone());
        for (name, v) in to.volumes.iter().filter(|(n, v)| plan_of(from, n).as_ref() != Some(&v.plan)) {
            let Some(plan) = self.numbers.get(&v.plan) else { continue };
            all.push(Move::Volume { name: name.clone(), plan: *plan });
        }
        all
    }

    /// Limit, burst and slack of a volume as they hold here.
    pub fn limit_of(&self, volume: &str) -> Option<(f64, f64, f64)> {
        let v = self.trail().catalogue.volumes.get(volume)?;
        self.trail().catalogue.plans.get(&v.plan).map(|p| (p.limit, p.burst, p.slack))
    }

    pub fn newest(&self) -> u64 {
        self.trail().newest().0
    }

    pub fn status(&self, now: Instant) -> PlanStatus {
        let (number, digest) = self.trail().newest();
        PlanStatus {
            host: self.me,
            home: self.home,
            number,
            digest: digest.to_owned(),
            in_force_s: (self.ends - now).secs().max(0.0),
            settle_s: self.settle.secs(),
            catalogue: self.trail().catalogue.clone(),
            fleet: self.fleet.clone(),
            waits: self.waits.is_some(),
            at: BTreeMap::new(),
            stale: false,
        }
    }
}
