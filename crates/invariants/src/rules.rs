//! The rules, one function each. `skew` is how far two ends of a socket may see the same thing apart.

use crate::index::{Attempt, Figures, Index};
use crate::{Break, RuleReport};
use std::collections::{BTreeMap, HashMap, VecDeque};
use tackmast_trace::{AnswerKind, EffectKind, ListedState};

/// Units by which a sum of many floats may be off.
const ROUNDING: f64 = 1e-6;
/// Part of the work at a cold node that must come from hosts told of its start, for the break to be theirs.
const TOLD_PART: f64 = 2.0 / 3.0;

fn report(
    rule: u8,
    name: &'static str,
    cases: &'static str,
    checked: usize,
    breaks: Vec<Break>,
) -> RuleReport {
    RuleReport { rule, name, checked, cases, breaks }
}

fn broken(x: &Index, rule: u8, attempt: &Attempt, what: String) -> Break {
    Break { rule, t: attempt.t, request: x.title(attempt), node: attempt.node.clone(), what }
}

fn ms(us: u64) -> f64 {
    us as f64 / 1e3
}

/// 1: exactly one final answer, in time, and nothing goes out after it.
pub fn answers(x: &Index) -> RuleReport {
    let mut breaks = Vec::new();
    let mut checked = 0;
    let f = &x.facts;
    for c in &x.commands {
        let (host, session, command) = c.name;
        let due = x.due(c);
        let mut add = |t, what| {
            let request = format!("{host}/{session}/{command}");
            breaks.push(Break { rule: 1, t, request, node: String::new(), what });
        };
        match c.answers.as_slice() {
            [] => {
                let excused = [c.left, c.lost, c.host_down].into_iter().flatten().any(|t| t <= due);
                if !excused && due <= x.end {
                    checked += 1;
                    add(due, format!("no answer within {} ms", ms(c.deadline_us)));
                }
            }
            [(t, _)] => {
                checked += 1;
                if *t > due {
                    add(*t, format!("answered after {} ms of {}", ms(t - c.t), ms(c.deadline_us)));
                }
            }
            [_, (t, _), ..] => {
                checked += 1;
                add(*t, format!("{} final answers", c.answers.len()));
            }
        }
    }
    for attempt in &x.attempts {
        let Some(c) = attempt.command.map(|c| &x.commands[c]) else {
            breaks.push(broken(x, 1, attempt, "an attempt for no command of any client".into()));
            continue;
        };
        let gone = c.left.or(c.lost).map(|t| x.knows(c.name.0, t));
        let over = c.answers.first().map(|(t, _)| *t).or(gone);
        if let Some(t) = over.filter(|t| attempt.t > t.saturating_add(f.skew_us)) {
            let what = format!("an attempt arrived {} ms after its request was over", ms(attempt.t - t));
            breaks.push(broken(x, 1, attempt, what));
        }
    }
    report(1, "one answer", "answers due", checked, breaks)
}

/// 2: no double effect, and never two attempts of a request out at once.
pub fn double_effects(x: &Index) -> RuleReport {
    let mut breaks = Vec::new();
    let mut checked = 0;
    let skew = x.facts.skew_us;
    let mut by_command: HashMap<usize, Vec<usize>> = HashMap::new();
    for attempts in x.requests.values() {
        let Some(traffic_class) = x.traffic_class(x.attempts[attempts[0]].command) else { continue };
        for (i, b) in attempts.iter().enumerate() {
            let b = &x.attempts[*b];
            if let Some(c) = b.command {
                by_command.entry(c).or_default().push(attempts[i]);
            }
            for a in attempts[..i].iter().map(|a| &x.attempts[*a]) {
                checked += 1;
                let (over, _) = a.over();
                if over > b.t + skew {
                    let what = format!(
                        "attempt {} arrived while attempt {} was out at {}",
                        b.name.attempt, a.name.attempt, a.node
                    );
                    breaks.push(broken(x, 2, b, what));
                }
                if a.never_ran() {
                    continue;
                }
                let same = match traffic_class.effect {
                    EffectKind::Idempotent => continue,
                    EffectKind::NonIdempotent => {
                        breaks.push(broken(
                            x,
                            2,
                            b,
                            format!("unrepeatable, and attempt {} may have run", a.name.attempt),
                        ));
                        continue;
                    }
                    EffectKind::IdempotentByKeyAll => true,
                    EffectKind::IdempotentByKeyZone => a.group(x, true) == b.group(x, true),
                    EffectKind::IdempotentByKeyShard => a.group(x, false) == b.group(x, false),
                };
                if !same {
                    breaks.push(broken(
                        x,
                        2,
                        b,
                        format!("outside the discard group of attempt {}", a.name.attempt),
                    ));
                } else if b.t.saturating_sub(a.t) > traffic_class.window_us + skew {
                    let what = format!(
                        "{} ms after attempt {}; nodes know marks for {}",
                        ms(b.t - a.t),
                        a.name.attempt,
                        { ms(traffic_class.window_us) }
                    );
                    breaks.push(broken(x, 2, b, what));
                }
            }
        }
    }
    for (c, command) in x.commands.iter().enumerate() {
        let Some(traffic_class) = x.facts.traffic_classes.get(command.traffic_class as usize) else {
            continue;
        };
        if traffic_class.effect == EffectKind::Idempotent {
            continue;
        }
        let attempts: Vec<&Attempt> =
            by_command.get(&c).into_iter().flatten().map(|l| &x.attempts[*l]).collect();
        let rejected = command.answers.iter().find(|(_, k)| *k == AnswerKind::Rejected);
        if let Some((t, _)) = rejected {
            checked += 1;
            // The client's next try is a new request with a mark of its own, so any run counts.
            for attempt in attempts.iter().filter(|l| l.t <= *t && !l.never_ran()) {
                let what = format!(
                    "rejected, and attempt {} at {} may have run",
                    attempt.name.attempt, attempt.node
                );
                let request = x.title(attempt);
                breaks.push(Break { rule: 2, t: *t, request, node: attempt.node.clone(), what });
            }
        }
        let mut ran: BTreeMap<u16, u32> = BTreeMap::new();
        for attempt in &attempts {
            if let Some((_, _, true)) = attempt.end {
                *ran.entry(attempt.part).or_default() += 1;
                if ran[&attempt.part] > 1 {
                    breaks.push(broken(x, 2, attempt, "its effect was had twice".into()));
                }
            }
        }
    }
    report(2, "no double effect", "retries and rejections", checked, breaks)
}

/// 3: nothing new to a node that drains or is gone, after the grace.
pub fn drains(x: &Index) -> RuleReport {
    let mut breaks = Vec::new();
    let mut used: HashMap<(u32, &str), u64> = HashMap::new();
    for attempt in &x.attempts {
        used.entry((attempt.name.host, attempt.node.as_str())).or_insert(attempt.t);
    }
    let mut checked = 0;
    for ((host, node), told) in &x.told {
        let first = used.get(&(*host, node.as_str()));
        checked +=
            told.iter().filter(|t| t.state != ListedState::Ready && first.is_some_and(|f| *f <= t.t)).count();
    }
    for attempt in &x.attempts {
        let Some(told) = x.told.get(&(attempt.name.host, attempt.node.clone())) else { continue };
        let Some(last) = told.iter().rposition(|t| t.t <= attempt.t) else { continue };
        // It counts from the first word of the stretch in which the node was not ready.
        let since = told[..=last].iter().rev().take_while(|t| t.state != ListedState::Ready).last();
        if let Some(s) = since.filter(|s| attempt.t > s.t + x.facts.grace_us + x.facts.skew_us) {
            let what = format!("{} ms after its host was told {:?}", ms(attempt.t - s.t), s.state);
            breaks.push(broken(x, 3, attempt, what));
        }
    }
    // An operator's order counts as told from the moment it was acknowledged.
    for ((host, node), orders) in &x.ordered {
        checked += orders
            .iter()
            .filter(|(t, out)| *out && used.get(&(*host, node.as_str())).is_some_and(|f| f <= t))
            .count();
    }
    for attempt in &x.attempts {
        let Some(orders) = x.ordered.get(&(attempt.name.host, attempt.node.clone())) else { continue };
        let Some((t, out)) = orders.iter().rev().find(|(t, _)| *t <= attempt.t) else { continue };
        if *out && attempt.t > t + x.facts.grace_us + x.facts.skew_us {
            let what = format!("{} ms after its host had it out of service", ms(attempt.t - t));
            breaks.push(broken(x, 3, attempt, what));
        }
    }
    report(3, "drains", "times a host was told to stop", checked, breaks)
}

/// 4: all hosts together never push a cold node over.
pub fn cold_nodes(x: &Index) -> RuleReport {
    let f = &x.facts;
    let mut breaks = Vec::new();
    let mut checked = 0;
    for generation in x.generations.iter().filter(|l| l.cold_from < 1.0 && l.warm_us > 0) {
        let next = x
            .generations
            .iter()
            .filter(|l| l.node == generation.node && l.t > generation.t)
            .map(|l| l.t)
            .min();
        let until = (generation.t + generation.warm_us).min(next.unwrap_or(u64::MAX));
        let mut window: VecDeque<(u64, f64, bool)> = VecDeque::new();
        for attempt in
            x.attempts.iter().filter(|l| l.node == generation.node && l.t >= generation.t && l.t < until)
        {
            checked += 1;
            let told = x.told.get(&(attempt.name.host, attempt.node.clone()));
            let knew = told.is_some_and(|t| {
                t.iter()
                    .any(|t| t.t <= attempt.t && t.started_us + f.skew_us >= generation.t && t.started_us > 0)
            });
            window.push_back((attempt.t, attempt.units, knew));
            while window.front().is_some_and(|(t, _, _)| t + f.slow_start_window_us < attempt.t) {
                window.pop_front();
            }
            let sent: f64 = window.iter().map(|(_, u, _)| u).sum();
            let by_told: f64 = window.iter().filter(|(_, _, k)| *k).map(|(_, u, _)| u).sum();
            let part = (attempt.t - generation.t) as f64 / generation.warm_us as f64;
            let warmth = generation.cold_from + (1.0 - generation.cold_from) * part;
            let window_s = f.slow_start_window_us as f64 / 1e6;
            let bears = (f.slow_start_multiple * generation.capacity * warmth * window_s)
                .max(f.slow_start_safe_units);
            if sent > bears + ROUNDING && by_told >= TOLD_PART * sent {
                let what = format!(
                    "{sent:.1} units in {window_s} s, by hosts that knew of its start; it bears {bears:.1}"
                );
                breaks.push(broken(x, 4, attempt, what));
            }
        }
    }
    report(4, "cold nodes", "attempts to cold nodes", checked, breaks)
}

/// 5: requests of one key run one at a time, in the order their host took them.
pub fn order(x: &Index) -> RuleReport {
    let mut breaks = Vec::new();
    let mut checked = 0;
    let skew = x.facts.skew_us;
    let mut keys: BTreeMap<(u32, u64, u64), Vec<usize>> = BTreeMap::new();
    for (i, attempt) in x.attempts.iter().enumerate().filter(|(_, l)| l.key != 0) {
        if x.traffic_class(attempt.command).is_some_and(|s| s.in_order) {
            keys.entry((attempt.name.host, attempt.name.generation, attempt.key)).or_default().push(i);
        }
    }
    for attempts in keys.values() {
        for (i, b) in attempts.iter().enumerate() {
            let b = &x.attempts[*b];
            let mut seen = false;
            for a in
                attempts[..i].iter().map(|a| &x.attempts[*a]).filter(|a| a.name.request != b.name.request)
            {
                seen = true;
                let (over, unknown) = a.over();
                let free = if unknown { over.saturating_add(x.facts.settle_us) } else { over };
                if free > b.t + skew {
                    let why = if unknown { "is still settling" } else { "is still out" };
                    let what =
                        format!("arrived while number {} of its key {why} at {}", a.name.request, a.node);
                    breaks.push(broken(x, 5, b, what));
                }
            }
            checked += usize::from(seen);
            // The one taken first goes first: by the host's numbers, and within a session by the client's.
            for a in
                attempts[i + 1..].iter().map(|a| &x.attempts[*a]).filter(|a| a.name.request != b.name.request)
            {
                let by_client = match (a.command, b.command) {
                    (Some(p), Some(q)) if x.commands[p].name.1 == x.commands[q].name.1 => {
                        Some(x.commands[p].name.2 < x.commands[q].name.2)
                    }
                    _ => None,
                };
                let earlier = by_client.unwrap_or(a.name.request < b.name.request);
                if earlier && a.part == b.part {
                    let what = format!("overtook number {}, which its host had taken before", a.name.request);
                    breaks.push(broken(x, 5, b, what));
                    break;
                }
            }
        }
    }
    report(5, "order", "attempts behind another of their key", checked, breaks)
}

/// 6: retries stay within the budget over any window.
pub fn budget(x: &Index) -> RuleReport {
    let cases = "retries";
    let Some((free, share, window)) = x.facts.retry_budget else {
        return report(6, "budget", cases, 0, Vec::new());
    };
    let skew = x.facts.skew_us;
    let mut breaks = Vec::new();
    let mut checked = 0;
    let mut generations: BTreeMap<(u32, u64), Vec<&Attempt>> = BTreeMap::new();
    for attempt in x.attempts.iter().filter(|l| l.name.attempt > 0) {
        generations.entry((attempt.name.host, attempt.name.generation)).or_default().push(attempt);
    }
    for ((host, _), attempts) in generations {
        let taken: Vec<u64> = x.commands.iter().filter(|c| c.name.0 == host).map(|c| c.t).collect();
        for (i, attempt) in attempts.iter().enumerate() {
            checked += 1;
            let from = attempt.t.saturating_sub(window);
            let sent = attempts[..=i].iter().filter(|l| l.t > from + skew).count();
            let taken = taken.partition_point(|t| *t <= attempt.t)
                - taken.partition_point(|t| *t < from.saturating_sub(skew));
            // A command may count as several requests, one for each extent it touches.
            let parts = x.max_parts(host, from.saturating_sub(skew), attempt.t, taken);
            let allowed = free + share * parts;
            if sent as f64 > allowed + ROUNDING {
                let what = format!("{sent} retries in {} ms; {allowed:.1} are allowed", ms(window));
                breaks.push(broken(x, 6, attempt, what));
            }
        }
    }
    report(6, "budget", cases, checked, breaks)
}

/// What counts of a volume's limit at a moment: the largest of the figures that some host may go by.
fn counting(figures: &[Figures], t: u64) -> Figures {
    let none = Figures { from: t, until: t, limit: 0.0, burst: 0.0, slack: 0.0 };
    let all = figures.iter().filter(|f| f.from <= t && t < f.until);
    all.fold(none, |most, f| {
        // Without a limit all may pass.
        let (limit, burst) = if f.limit > 0.0 { (f.limit, f.burst) } else { (f64::INFINITY, f64::INFINITY) };
        let (limit, burst) = (most.limit.max(limit), most.burst.max(burst));
        Figures { limit, burst, slack: most.slack.max(f.slack), ..most }
    })
}

/// 7: all hosts together never pass a volume's limit plus its slack. Where the limit moves, the store holds at each moment
/// what the figures that count then let it hold, and fills at their rate.
pub fn limits(x: &Index) -> RuleReport {
    let mut breaks = Vec::new();
    let mut checked = 0;
    let limited = |(_, figures): &(&u32, &Vec<Figures>)| figures.iter().any(|f| f.limit > 0.0);
    for (volume, figures) in x.figures.iter().filter(limited) {
        let mut firsts: Vec<&Attempt> =
            x.requests.values().map(|attempts| &x.attempts[attempts[0]]).collect();
        firsts.retain(|l| l.volume == *volume);
        firsts.sort_by_key(|l| l.t);
        let mut edges: Vec<u64> = figures.iter().flat_map(|f| [f.from, f.until]).collect();
        edges.sort_unstable();
        let mut last = firsts.first().map_or(0, |l| l.t);
        let mut room = counting(figures, last).burst;
        let fill = |room: f64, from: u64, to: u64| {
            let now = counting(figures, from);
            let added = if to > from { (to - from) as f64 / 1e6 * now.limit } else { 0.0 };
            (room + added).min(now.burst)
        };
        for attempt in firsts {
            for edge in edges.iter().filter(|e| **e > last && **e <= attempt.t).copied().collect::<Vec<_>>() {
                room = fill(room, last, edge);
                last = edge;
            }
            room = fill(room, last, attempt.t);
            last = attempt.t;
            let now = counting(figures, attempt.t);
            if now.limit.is_infinite() {
                continue;
            }
            checked += 1;
            // A host that counts fewer units than the bytes make draws more than it says.
            room -= attempt.units.max(attempt.told_units);
            let floor = -(now.slack + now.limit * x.facts.skew_us as f64 / 1e6);
            if room < floor - ROUNDING {
                let what =
                    format!("volume {volume} is {:.1} units past its limit; slack {}", -room, now.slack);
                breaks.push(broken(x, 7, attempt, what));
            }
        }
    }
    report(7, "limits", "first attempts under a limit", checked, breaks)
}
