//! The trace put in order: commands with their answers, requests with their attempts, what each host was told.

use std::collections::{BTreeMap, HashMap};
use tackmast_trace::{
    AnswerKind, AttemptEndKind, AttemptName, Event, Facts, Line, ListedState, Side, TrafficClassFacts,
};

pub type CommandName = (u32, u32, u32); // host, session, command

#[derive(Debug)]
pub struct Command {
    pub name: CommandName,
    pub t: u64,
    pub traffic_class: u32,
    /// Requests that it is: one for each extent it touches, where the extents are told.
    pub parts: Option<u64>,
    pub deadline_us: u64,
    pub answers: Vec<(u64, AnswerKind)>,
    pub left: Option<u64>,
    /// The way of its session was cut, and its connection reset for that: no answer can come any more.
    pub lost: Option<u64>,
    /// Its host's end, if that came before the answer.
    pub host_down: Option<u64>,
}

#[derive(Debug)]
pub struct Attempt {
    pub t: u64,
    pub node: String,
    pub name: AttemptName,
    pub part: u16,
    pub volume: u32,
    pub units: f64,
    pub told_units: f64,
    pub key: u64,
    pub left_us: u64,
    pub end: Option<(u64, AttemptEndKind, bool)>,
    pub link_down: Option<u64>,
    /// The command it belongs to, among `commands`.
    pub command: Option<usize>,
}

impl Attempt {
    /// When its host has had the end of it, and whether the work may go on after that.
    pub fn over(&self) -> (u64, bool) {
        // A cancel ends nothing: its host still waits for the node's word, until the attempt's time is up.
        let unknown = [Some(self.t + self.left_us), self.link_down];
        let unknown = unknown.into_iter().flatten().min().unwrap_or(u64::MAX);
        match self.end {
            Some((t, _, _)) if t <= unknown => (t, false),
            _ => (unknown, true),
        }
    }

    pub fn never_ran(&self) -> bool {
        matches!(self.end, Some((_, AttemptEndKind::NeverRan, _)))
    }

    pub fn group(&self, index: &Index, zone: bool) -> Option<u32> {
        let generation = index.node_generation(&self.node, self.t)?;
        Some(if zone { generation.zone } else { generation.shard })
    }
}

#[derive(Debug)]
pub struct NodeGeneration {
    pub node: String,
    pub t: u64,
    pub zone: u32,
    pub shard: u32,
    pub capacity: f64,
    pub cold_from: f64,
    pub warm_us: u64,
}

#[derive(Debug)]
pub struct Told {
    pub t: u64,
    pub state: ListedState,
    pub started_us: u64,
    /// By the list; else a new generation knows nothing.
    pub listed: bool,
}

/// Figures of a volume's limit, from their acknowledgement until the next ones are in force.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    pub from: u64,
    pub until: u64,
    pub limit: f64,
    pub burst: f64,
    pub slack: f64,
}

/// The last span of a host ends.
fn close(all: &mut HashMap<u32, Vec<(u64, u64)>>, host: u32, t: u64) {
    if let Some(last) = all.get_mut(&host).and_then(|a| a.last_mut()).filter(|(_, to)| *to == u64::MAX) {
        last.1 = t;
    }
}

pub struct Index {
    pub facts: Facts,
    pub commands: Vec<Command>,
    /// By arrival at their nodes.
    pub attempts: Vec<Attempt>,
    /// Indices of each request's attempts, by arrival.
    pub requests: BTreeMap<(u32, u64, u64), Vec<usize>>,
    pub told: HashMap<(u32, String), Vec<Told>>,
    /// By host and node: from when on operators have it out of service, and from when on no longer.
    pub ordered: HashMap<(u32, String), Vec<(u64, bool)>>,
    pub generations: Vec<NodeGeneration>,
    /// By volume, the oldest first.
    pub figures: BTreeMap<u32, Vec<Figures>>,
    pub host_ups: Vec<(u64, u32)>,
    /// By host, the oldest first: when its process stood still, and when no client reached it.
    pub stops: HashMap<u32, Vec<(u64, u64)>>,
    pub client_cuts: HashMap<u32, Vec<(u64, u64)>>,
    pub end: u64,
    pub unfit: Option<String>,
}

impl Index {
    pub fn new(lines: &[Line]) -> Result<Index, String> {
        let facts = lines.iter().find_map(|l| match &l.event {
            Event::Facts(f) => Some(f.clone()),
            _ => None,
        });
        let facts = facts.ok_or("no line of facts; expected one at the start of the trace")?;
        let told = facts.volumes.iter().map(|v| {
            let first = Figures { from: 0, until: u64::MAX, limit: v.limit, burst: v.burst, slack: v.slack };
            (v.volume, vec![first])
        });
        let mut x = Index {
            figures: told.collect(),
            facts,
            commands: Vec::new(),
            attempts: Vec::new(),
            requests: BTreeMap::new(),
            told: HashMap::new(),
            ordered: HashMap::new(),
            generations: Vec::new(),
            host_ups: Vec::new(),
            stops: HashMap::new(),
            client_cuts: HashMap::new(),
            end: lines.last().map_or(0, |l| l.t),
            unfit: None,
        };
        let mut by_name: HashMap<CommandName, Vec<usize>> = HashMap::new();
        let mut attempts_of: HashMap<(String, AttemptName), usize> = HashMap::new();
        let mut last = 0;
        let mut down: HashMap<u32, u64> = HashMap::new();
        let mut sessions: HashMap<&str, (u32, u32)> = HashMap::new();
        // Several troubles may cut one way: it is whole when the last of them is over.
        let mut cuts: HashMap<(u32, Side), u32> = HashMap::new();
        // What was said to a host that stood still counts from when it goes on.
        let mut unread: HashMap<u32, Vec<(String, Told)>> = HashMap::new();
        for (i, line) in lines.iter().enumerate() {
            let t = line.t;
            if t < last {
                x.unfit = Some(format!("line {}: time {t} after {last}; expected an order of time", i + 1));
            }
            last = t;
            match &line.event {
                Event::Facts(_) | Event::Fault { .. } | Event::Cancel { .. } => {}
                Event::NodeDown { node } => {
                    let open = |l: &&mut Attempt| l.node == *node && l.end.is_none();
                    x.attempts.iter_mut().filter(open).for_each(|l| l.link_down = l.link_down.or(Some(t)));
                }
                Event::Truncated => x.unfit = Some("events were lost when it was recorded".into()),
                Event::Submit {
                    host,
                    session,
                    command,
                    traffic_class,
                    deadline_us,
                    volume,
                    offset,
                    bytes,
                    ..
                } => {
                    let told = x.facts.volumes.iter().find(|v| v.volume == *volume && v.extent_bytes > 0);
                    let parts = told.map(|v| {
                        let last = (offset + bytes.max(&1) - 1) / v.extent_bytes;
                        last - offset / v.extent_bytes + 1
                    });
                    let name = (*host, *session, *command);
                    by_name.entry(name).or_default().push(x.commands.len());
                    x.commands.push(Command {
                        name,
                        t,
                        traffic_class: *traffic_class,
                        parts,
                        deadline_us: *deadline_us,
                        answers: Vec::new(),
                        left: None,
                        lost: None,
                        // A client may not know yet that its host is gone; no host has taken this one.
                        host_down: down.get(host).copied(),
                    });
                }
                Event::Answer { host, session, command, kind, .. } => {
                    match by_name.get(&(*host, *session, *command)).and_then(|v| v.last()) {
                        Some(c) => x.commands[*c].answers.push((t, *kind)),
                        None => x.unfit = Some(format!("line {}: an answer to no command", i + 1)),
                    }
                }
                Event::Left { host, session, command } => {
                    let c = by_name.get(&(*host, *session, *command)).and_then(|v| v.last());
                    if let Some(c) = c.map(|c| &mut x.commands[*c]).filter(|c| c.answers.is_empty()) {
                        c.left = c.left.or(Some(t));
                    }
                }
                Event::HostDown { host } => {
                    close(&mut x.stops, *host, t);
                    down.insert(*host, t);
                    for c in x.commands.iter_mut().filter(|c| c.name.0 == *host && c.answers.is_empty()) {
                        c.host_down = c.host_down.or(Some(t));
                    }
                }
                Event::HostUp { host } => {
                    down.remove(host);
                    x.host_ups.push((t, *host));
                    // A new generation knows nothing of what the old one was told.
                    for (_, told) in x.told.iter_mut().filter(|((h, _), _)| h == host) {
                        told.push(Told { t, state: ListedState::Ready, started_us: 0, listed: false });
                    }
                }
                Event::NodeUp { node, zone, shard, capacity, initial_capacity, warm_us } => {
                    x.generations.push(NodeGeneration {
                        node: node.clone(),
                        t,
                        zone: *zone,
                        shard: *shard,
                        capacity: *capacity,
                        cold_from: *initial_capacity,
                        warm_us: *warm_us,
                    })
                }
                Event::Attempt {
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
                } => {
                    let at = x.attempts.len();
                    let belongs =
                        by_name.get(&(name.host, *session, *command)).and_then(|v| v.last()).copied();
                    let counted = (*bytes as f64 / f64::from(x.facts.unit_bytes.max(1)))
                        .ceil()
                        .clamp(1.0, x.facts.max_units);
                    // What is ordered is told by the place, where extents are told: a host that forgot the order
                    // would forget the key as well.
                    let told = x.facts.volumes.iter().find(|v| v.volume == *volume && v.extent_bytes > 0);
                    let place = told.map(|v| ((u64::from(*volume) + 1) << 48) | (offset / v.extent_bytes));
                    let key = &place.unwrap_or(*key);
                    attempts_of.insert((node.clone(), *name), at);
                    x.requests.entry((name.host, name.generation, name.request)).or_default().push(at);
                    x.attempts.push(Attempt {
                        t,
                        node: node.clone(),
                        name: *name,
                        part: *part,
                        volume: *volume,
                        units: counted,
                        told_units: *units,
                        key: *key,
                        left_us: *left_us,
                        end: None,
                        link_down: None,
                        command: belongs,
                    });
                }
                Event::AttemptEnd { node, name, kind, ran } => {
                    if let Some(l) = attempts_of.get(&(node.clone(), *name)) {
                        x.attempts[*l].end = x.attempts[*l].end.or(Some((t, *kind, *ran)));
                    }
                }
                Event::LinkDown { node, attempts, .. } => {
                    for name in attempts {
                        if let Some(l) = attempts_of.get(&(node.clone(), *name)) {
                            x.attempts[*l].link_down = x.attempts[*l].link_down.or(Some(t));
                        }
                    }
                }
                Event::Ordered { host, node, out } => {
                    x.ordered.entry((*host, node.clone())).or_default().push((t, *out));
                }
                Event::PlanMoved { volume, limit, burst, slack, in_force_us } => {
                    let of = x.figures.entry(*volume).or_default();
                    // Hosts that act a little late by their own clocks are within the skew.
                    let until = in_force_us + x.facts.skew_us;
                    of.iter_mut().for_each(|f| f.until = f.until.min(until));
                    let (limit, burst, slack) = (*limit, *burst, *slack);
                    of.push(Figures { from: t, until: u64::MAX, limit, burst, slack });
                }
                Event::HostStops { host } => {
                    x.stops.entry(*host).or_default().push((t, u64::MAX));
                    // What had hardly arrived may not have been read.
                    let late = |told: &Told| told.listed && told.t + x.facts.skew_us >= t;
                    for ((_, node), all) in x.told.iter_mut().filter(|((h, _), _)| h == host) {
                        let (held, read): (Vec<Told>, Vec<Told>) = all.drain(..).partition(|w| late(w));
                        *all = read;
                        unread.entry(*host).or_default().extend(held.into_iter().map(|w| (node.clone(), w)));
                    }
                }
                Event::HostGoes { host } => {
                    close(&mut x.stops, *host, t);
                    for (node, told) in unread.remove(host).unwrap_or_default() {
                        x.told.entry((*host, node)).or_default().push(Told { t, ..told });
                    }
                }
                Event::Cut { host, side, on } => {
                    let n = cuts.entry((*host, *side)).or_default();
                    let before = *n;
                    *n = if *on { before + 1 } else { before.saturating_sub(1) };
                    match (side, before, *n) {
                        (Side::Clients, 0, 1) => {
                            x.client_cuts.entry(*host).or_default().push((t, u64::MAX));
                        }
                        (Side::Clients, 1, 0) => close(&mut x.client_cuts, *host, t),
                        (Side::List, 0, 1) => {
                            // What left the list just before may have been cut off on its way.
                            let late = |told: &Told| told.listed && told.t + x.facts.skew_us >= t;
                            let of = x.told.iter_mut().filter(|((h, _), _)| h == host);
                            of.for_each(|(_, all)| all.retain(|w| !late(w)));
                        }
                        _ => {}
                    }
                }
                Event::Session { host, session, client } => {
                    sessions.insert(client, (*host, *session));
                }
                Event::ConnectionLost { client } => {
                    let Some((host, session)) = sessions.remove(client.as_str()) else { continue };
                    let of =
                        |c: &&mut Command| c.name.0 == host && c.name.1 == session && c.answers.is_empty();
                    x.commands.iter_mut().filter(of).for_each(|c| c.lost = c.lost.or(Some(t)));
                }
                Event::Notified { host, node, state, started_us } => {
                    // Over a way that is cut nothing is told.
                    if cuts.get(&(*host, Side::List)).is_some_and(|n| *n > 0) {
                        continue;
                    }
                    let told = Told { t, state: *state, started_us: *started_us, listed: true };
                    match x.stops.get(host).and_then(|s| s.last()) {
                        Some((_, u64::MAX)) => {
                            unread.entry(*host).or_default().push((node.clone(), told));
                        }
                        _ => x.told.entry((*host, node.clone())).or_default().push(told),
                    }
                }
            }
        }
        Ok(x)
    }

    /// By when a command's answer is due. Its host can't answer while it stands still or is cut off from its clients: then
    /// it is due when it could, within the slack. What came while it stood still it can only read when it goes on, and not
    /// tell how long it lay there: that counts from then. A stop or cut that was over in time excuses nothing.
    pub fn due(&self, c: &Command) -> u64 {
        let f = &self.facts;
        let host = c.name.0;
        let of = |all: &HashMap<u32, Vec<(u64, u64)>>| all.get(&host).cloned().unwrap_or_default();
        let stops = of(&self.stops);
        let unread = stops.iter().find(|(from, to)| *from <= c.t + f.skew_us && c.t < *to).map(|(_, to)| *to);
        let own = unread.unwrap_or(c.t).saturating_add(c.deadline_us + f.answer_slack_us);
        let mut away: Vec<(u64, u64)> = stops.into_iter().chain(of(&self.client_cuts)).collect();
        away.sort_unstable();
        away.into_iter().fold(own, |due, (from, to)| match from <= due && to > c.t {
            true => due.max(to.saturating_add(f.answer_slack_us)),
            false => due,
        })
    }

    /// From when on a host knows that a client has gone, which it did at `t`: not while it stood still or was cut off.
    pub fn knows(&self, host: u32, t: u64) -> u64 {
        let of = |all: &HashMap<u32, Vec<(u64, u64)>>| {
            let away = all.get(&host).and_then(|a| a.iter().find(|(from, to)| *from <= t && t < *to));
            away.map_or(t, |(_, to)| *to)
        };
        of(&self.stops).max(of(&self.client_cuts))
    }

    pub fn traffic_class(&self, command: Option<usize>) -> Option<&TrafficClassFacts> {
        self.facts.traffic_classes.get(self.commands[command?].traffic_class as usize)
    }

    pub fn node_generation(&self, node: &str, t: u64) -> Option<&NodeGeneration> {
        self.generations.iter().rev().find(|l| l.node == node && l.t <= t)
    }

    pub fn title(&self, attempt: &Attempt) -> String {
        match attempt.command.map(|c| self.commands[c].name) {
            Some((host, session, command)) => {
                format!("{host}/{session}/{command} part {} attempt {}", attempt.part, attempt.name.attempt)
            }
            None => {
                format!(
                    "{}/{:x} number {} attempt {}",
                    attempt.name.host, attempt.name.generation, attempt.name.request, attempt.name.attempt
                )
            }
        }
    }
}

impl Index {
    /// Requests that a host took in a span: of each command as many as it touches extents or, where these are not
    /// told, one and one more for each further part seen.
    pub fn max_parts(&self, host: u32, from: u64, to: u64, commands: usize) -> f64 {
        let within = self.commands.iter().filter(|c| c.name.0 == host && (from..=to).contains(&c.t));
        let told: Option<u64> = within.map(|c| c.parts).sum();
        if let Some(parts) = told {
            return parts as f64;
        }
        let further = self.requests.values().map(|attempts| &self.attempts[attempts[0]]);
        let further = further.filter(|l| l.part > 0 && l.name.host == host);
        let seen = further.filter(|l| l.command.is_some_and(|c| (from..=to).contains(&self.commands[c].t)));
        (commands + seen.count()) as f64
    }
}
