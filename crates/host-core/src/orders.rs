//! Operators' overrides within the host core: orders are judged one at a time, kept durably before they hold, and
//! reach the decision module as node states, weights and pins.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_overrides::{
    Audit, Explanation, Order, Origin, Override, OverrideId, Overrides, Preview, Refusal,
};

/// Orders that may wait for the one before them to be kept.
const WAITING: usize = 256;
/// How often standing overrides are told of in the log, and how many of them line by line.
const TELL_S: f64 = 3600.0;
const TELL_LINES: usize = 20;

/// What an operator asks of one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    Set { order: Order, force: bool, dry_run: bool, if_version: Option<u64> },
    Clear { id: OverrideId, who: String },
    List,
    Explain { address: SocketAddr },
    Status,
    Members,
    Plan(crate::PlanAsk),
    Agreement(crate::AgreementAsk),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    Set {
        record: Override,
        preview: Preview,
        dry_run: bool,
    },
    Cleared {
        id: OverrideId,
    },
    List {
        version: u64,
        standing: Vec<(Override, f64)>,
        returning: usize,
        returning_within_s: f64,
    },
    Explain(Box<Explanation>),
    Status(Box<OrdersStatus>),
    Members(Box<crate::MembersStatus>),
    Plan(crate::PlanReply),
    Agreement(crate::AgreementReply),
    Refused(Refusal),
    /// It could not be kept, so it does not hold.
    NotKept {
        why: String,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrdersStatus {
    pub host: u32,
    pub overrides: usize,
    pub version: u64,
    pub returning: usize,
    /// Hosts that are thought to be there, this one included; 0: it hears of none.
    #[serde(default)]
    pub there: u32,
    pub commands: usize,
    #[serde(rename = "legs")]
    pub attempts: usize,
    pub taken: u64,
    pub done: u64,
    #[serde(rename = "deferred")]
    pub rejected: u64,
    #[serde(rename = "abandoned")]
    pub failed: u64,
    /// Address, what the list says, what it is given.
    pub nodes: Vec<(SocketAddr, String, String)>,
}

/// What has to be written before the host goes on with it; all of it or nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Keep {
    pub put: Vec<Override>,
    pub remove: Vec<OverrideId>,
    pub audits: Vec<Audit>,
    /// Changes of plans by number, as they are written; what the trail begins with is number 0.
    pub changes: Vec<(u64, Vec<u8>)>,
    /// Other hosts for the next generation to call, and the number of this one's generation.
    pub members: Option<tackmast_membership::PersistedMembers>,
    /// Of the agreed log.
    pub agreed: Option<Box<tackmast_consensus::Write>>,
}

enum Pending {
    Put(Box<(Override, Preview)>),
    Clear(OverrideId, String),
}

pub struct Orders {
    pub overrides: Overrides,
    pending: Option<(u64, Pending)>,
    waiting: VecDeque<(u64, Ask)>,
    tell_at: Instant,
    /// Host and generation that name what is taken here, where hosts tell each other of theirs.
    pub me: Option<(u32, u64)>,
}

/// What came of an ask.
pub enum Next {
    Reply(u64, Reply),
    Keep(u64, Keep),
}

impl Orders {
    pub fn new(now: Instant, overrides: Overrides) -> Self {
        Orders { overrides, pending: None, waiting: VecDeque::new(), tell_at: now, me: None }
    }

    /// Takes an ask. Two orders at once could each leave a shard its last node that the other takes, so they are
    /// judged in turn.
    pub fn ask(&mut self, now: Instant, wall_us: u64, request: u64, ask: Ask) -> Option<Next> {
        let writes = matches!(ask, Ask::Clear { .. } | Ask::Set { dry_run: false, .. });
        if writes && self.pending.is_some() {
            if self.waiting.len() >= WAITING {
                let why = format!("{WAITING} orders wait already");
                return Some(Next::Reply(request, Reply::NotKept { why }));
            }
            self.waiting.push_back((request, ask));
            return None;
        }
        Some(match ask {
            Ask::Set { order, force, dry_run, if_version } => {
                match self.overrides.propose(wall_us, &order, force, if_version) {
                    Err(r) => Next::Reply(request, Reply::Refused(r)),
                    Ok((record, preview)) if dry_run => {
                        Next::Reply(request, Reply::Set { record, preview, dry_run })
                    }
                    Ok((mut record, preview)) => {
                        record.id = self.overrides.reserve();
                        let number = record.id.0;
                        let mine = self.me.map(|(slot, generation)| Origin { slot, generation, number });
                        record.origin = record.origin.or(mine);
                        let audit = Audit::set(&record, preview.forced_past.is_some());
                        let keep = Keep { put: vec![record.clone()], audits: vec![audit], ..Keep::default() };
                        self.pending = Some((request, Pending::Put(Box::new((record, preview)))));
                        Next::Keep(request, keep)
                    }
                }
            }
            Ask::Clear { id, who } => match self.overrides.get(id) {
                None => Next::Reply(request, Reply::Refused(Refusal::Unknown { id })),
                Some(o) => {
                    let audits = vec![Audit::cleared(wall_us, o, &who)];
                    self.pending = Some((request, Pending::Clear(id, who)));
                    Next::Keep(request, Keep { remove: vec![id], audits, ..Keep::default() })
                }
            },
            Ask::List => {
                let (returning, returning_within_s) = self.overrides.returning();
                let (version, standing) = (self.overrides.version(), self.overrides.list(now));
                Next::Reply(request, Reply::List { version, standing, returning, returning_within_s })
            }
            Ask::Explain { address } => {
                Next::Reply(request, Reply::Explain(Box::new(self.overrides.explain(now, address))))
            }
            Ask::Status => Next::Reply(request, Reply::Status(Box::default())),
            Ask::Members => Next::Reply(request, Reply::Members(Box::default())),
            Ask::Agreement(_) => Next::Reply(
                request,
                Reply::NotKept { why: "this host has no agreement block in its settings".into() },
            ),
            // Not an order: the host's plans answer it.
            Ask::Plan(_) => Next::Reply(
                request,
                Reply::NotKept { why: "this host has no plans block in its settings".into() },
            ),
        })
    }

    /// The store's word on what it was given: from now on it holds, or it never does. The line is for the log.
    pub fn kept(
        &mut self,
        now: Instant,
        request: u64,
        result: Result<(), String>,
    ) -> Option<(Reply, String)> {
        let (_, pending) = self.pending.take_if(|(r, _)| *r == request)?;
        Some(match (pending, result) {
            (Pending::Put(put), Err(why)) => {
                let (record, _) = *put;
                let line = format!("override of {} not kept: {why}", record.target);
                (Reply::NotKept { why }, line)
            }
            (Pending::Put(put), Ok(())) => {
                let (record, preview) = *put;
                let line = format!(
                    "override {} set by {}: {} {}, {} nodes change: {}",
                    record.id.0,
                    record.who,
                    record.target,
                    record.kind,
                    preview.changes.len(),
                    record.reason
                );
                self.overrides.put(now, record.clone());
                (Reply::Set { record, preview, dry_run: false }, line)
            }
            (Pending::Clear(id, _), Err(why)) => {
                let line = format!("override {} stands on: clearing it was not kept: {why}", id.0);
                (Reply::NotKept { why }, line)
            }
            // It may have ended while its clearing was written; either way it does not stand.
            (Pending::Clear(id, who), Ok(())) => {
                _ = self.overrides.clear(now, id, &who);
                (Reply::Cleared { id }, format!("override {} cleared by {who}", id.0))
            }
        })
    }

    /// The next ask that waited, once none is pending.
    pub fn next_waiting(&mut self) -> Option<(u64, Ask)> {
        if self.pending.is_some() {
            return None;
        }
        self.waiting.pop_front()
    }

    /// Log lines of what stands, at the start and each hour.
    pub fn tell(&mut self, now: Instant) -> Vec<String> {
        if now < self.tell_at {
            return Vec::new();
        }
        self.tell_at = now + TimeDelta::from_secs(TELL_S);
        let standing = self.overrides.list(now);
        let line = |(o, left): &(Override, f64)| {
            format!(
                "override {} stands: {} {}, {left:.0} s left, by {}: {}",
                o.id.0, o.target, o.kind, o.who, o.reason
            )
        };
        let mut lines: Vec<String> = standing.iter().take(TELL_LINES).map(line).collect();
        if standing.len() > TELL_LINES {
            lines.push(format!("{} more overrides stand", standing.len() - TELL_LINES));
        }
        lines
    }

    pub fn next(&self, now: Instant) -> Option<Instant> {
        [self.overrides.poll_timeout(now), Some(self.tell_at)].into_iter().flatten().min()
    }
}
