//! Troubles of processes and ways drawn from a seed, for a hunt; and a find made smaller.

use crate::rig::{How, Who};
use crate::script::{Action, Script, Trouble};
use tackmast_emulators::network_faults::NetworkFault;

/// Troubles of one day, at most.
const MAX: u64 = 6;
/// Seconds at a day's end in which nothing new begins.
const QUIET: f64 = 1.5;

struct Draw<'a> {
    chance: oorandom::Rand64,
    script: &'a Script,
}

impl Draw<'_> {
    fn below(&mut self, n: u64) -> u64 {
        self.chance.rand_range(0..n.max(1))
    }

    fn between(&mut self, low: f64, high: f64) -> f64 {
        // To the hundredth, so that what is printed is what was played.
        ((low + (high - low) * self.chance.rand_float()) * 100.0).round() / 100.0
    }

    fn host(&mut self) -> u32 {
        let n = u64::from(self.script.day.hosts);
        self.below(n) as u32
    }

    /// One host, a part, every so many-th, or a site.
    fn some(&mut self) -> Who {
        let sites = u64::from(self.script.day.sites);
        match self.below(4) {
            0 => Who::Host(self.host()),
            1 => Who::Part(self.below(3) as u32, 3),
            2 if sites > 0 => Who::Site(self.below(sites) as u32),
            _ => Who::Every(self.below(4) as u32, 4),
        }
    }

    fn hosts(&mut self) -> Vec<u32> {
        let day = &self.script.day;
        let (n, sites) = (day.hosts, day.sites);
        let found = self.some().hosts(n, sites);
        match found.is_empty() {
            true => vec![self.host()],
            false => found,
        }
    }

    fn action(&mut self) -> Action {
        let members = self.script.day.members;
        match self.below(12) {
            0 => Action::KillHosts(self.hosts()),
            1 => Action::Hosts { hosts: self.hosts(), how: How::Term },
            2 | 3 => Action::Hosts { hosts: self.hosts(), how: How::Stop },
            4 => Action::Hosts { hosts: vec![self.host()], how: How::Wipe },
            5 => Action::Hosts { hosts: vec![self.host()], how: How::OldDisk },
            6 if members => Action::Hosts { hosts: vec![self.host()], how: How::Twin },
            7 if members => Action::Hosts { hosts: self.hosts(), how: How::Moved },
            8 => {
                let how = How::Clock { off_s: self.between(-20.0, 20.0), pace: 1.0 };
                Action::Hosts { hosts: vec![self.host()], how }
            }
            9 if members => Action::Apart(vec![vec![Who::Part(0, 2)], vec![Who::Part(1, 2)]]),
            10 => {
                let to = match self.below(3) {
                    0 => Who::List,
                    1 => Who::Clients,
                    _ => Who::Nodes(None),
                };
                let what = if self.below(4) == 0 { NetworkFault::Reset } else { NetworkFault::Cut };
                Action::Way { from: vec![self.some()], to: vec![to], what, one_way: self.below(2) == 0 }
            }
            _ => {
                let what = match self.below(4) {
                    0 => NetworkFault::Loss(self.between(0.05, 0.3)),
                    1 => NetworkFault::Delay(self.between(0.01, 0.3)),
                    2 => NetworkFault::Duplicate(self.between(0.05, 0.5)),
                    _ => NetworkFault::Cut,
                };
                Action::Way {
                    from: vec![self.some()],
                    to: vec![Who::Hosts],
                    what,
                    one_way: self.below(2) == 0,
                }
            }
        }
    }
}

/// The script's own troubles, and those of a seed.
pub fn draw(script: &Script, seed: u64) -> Script {
    let mut drawn = script.clone();
    drawn.day.seed = seed;
    let mut d = Draw { chance: oorandom::Rand64::new(u128::from(seed)), script };
    let last = (script.day.seconds - QUIET).max(0.5);
    let mut busy: Vec<u32> = Vec::new();
    for i in 0..1 + d.below(MAX) {
        let (at_s, name) = (d.between(0.5, last), format!("drawn {i}"));
        let for_s = d.between(0.2, (script.day.seconds - at_s).max(0.3));
        let action = d.action();
        // Two things at once with one process would be undone in an order that says nothing.
        if let Action::Hosts { hosts, .. } | Action::KillHosts(hosts) = &action {
            if hosts.iter().any(|h| busy.contains(h)) {
                continue;
            }
            busy.extend(hosts);
        }
        drawn.troubles.push(Trouble { name, at_s, for_s, action });
    }
    drawn
}

/// Takes troubles away one by one for as long as the find stays one.
pub fn smaller<E>(script: Script, mut is_find: impl FnMut(&Script) -> Result<bool, E>) -> Result<Script, E> {
    let mut best = script;
    let mut i = 0;
    while i < best.troubles.len() {
        let mut less = best.clone();
        less.troubles.remove(i);
        match is_find(&less)? {
            true => best = less,
            false => i += 1,
        }
    }
    Ok(best)
}

fn who(all: &[Who]) -> String {
    let one = |w: &Who| match w {
        Who::Hosts => "\"hosts\"".into(),
        Who::Host(n) => format!("\"host/{n}\""),
        Who::Part(i, n) => format!("\"part/{i}/{n}\""),
        Who::Every(i, n) => format!("\"every/{i}/{n}\""),
        Who::Site(n) => format!("\"site/{n}\""),
        Who::List => "\"list\"".into(),
        Who::Nodes(None) => "\"nodes\"".into(),
        Who::Nodes(Some(n)) => format!("\"nodes/{n}\""),
        Who::Clients => "\"clients\"".into(),
    };
    all.iter().map(one).collect::<Vec<String>>().join(", ")
}

/// Troubles of processes and ways as a script has them; others by name alone, as a remark.
pub fn troubles_text(script: &Script) -> String {
    let mut out = format!("# seed {}\n", script.day.seed);
    for t in &script.troubles {
        let lines = match &t.action {
            Action::KillHosts(hosts) => format!("  host  = \"kill\"\n  hosts = {hosts:?}\n"),
            Action::Hosts { hosts, how } => {
                let (word, more) = match how {
                    How::Term => ("term", String::new()),
                    How::Stop => ("stop", String::new()),
                    How::Late => ("late", String::new()),
                    How::Wipe => ("wipe", String::new()),
                    How::OldDisk => ("old-disk", String::new()),
                    How::Twin => ("twin", String::new()),
                    How::Moved => ("moved", String::new()),
                    How::Clock { off_s, pace } => {
                        ("clock", format!("  clock_off_s = {off_s}\n  clock_pace = {pace}\n"))
                    }
                };
                format!("  host  = \"{word}\"\n  hosts = {hosts:?}\n{more}")
            }
            Action::Way { from, to, what, one_way } => {
                let word = match what {
                    NetworkFault::Cut => "cut".into(),
                    NetworkFault::Reset => "reset".into(),
                    NetworkFault::Loss(x) => format!("lose {x}"),
                    NetworkFault::Delay(x) => format!("late {x}"),
                    NetworkFault::Duplicate(x) => format!("double {x}"),
                };
                let (from, to) = (who(from), who(to));
                format!("  way   = \"{word}\"\n  from  = [{from}]\n  to    = [{to}]\n  one_way = {one_way}\n")
            }
            Action::Apart(groups) => {
                let groups: Vec<String> = groups.iter().map(|g| format!("[{}]", who(g))).collect();
                format!("  apart = [{}]\n", groups.join(", "))
            }
            _ => {
                out += &format!("# and the script's own: {}\n", t.name);
                continue;
            }
        };
        out += &format!("trouble {:?} {{\n  at_s  = {}\n  for_s = {}\n{lines}}}\n", t.name, t.at_s, t.for_s);
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    fn script() -> Script {
        let file =
            std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/view/third-killed.hcl");
        Script::read(&file).unwrap_or_else(|e| panic!("{e}"))
    }

    #[test]
    fn what_is_drawn_is_the_same_for_a_seed_and_reads_back_as_it_was() {
        let base = script();
        let rest = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/view/base.hcl");
        let rest = std::fs::read_to_string(rest).unwrap_or_else(|e| panic!("{e}"));
        let mut kinds = std::collections::BTreeSet::new();
        for seed in 0..200 {
            let (a, b) = (draw(&base, seed), draw(&base, seed));
            let text = troubles_text(&a);
            assert_eq!(text, troubles_text(&b), "seed {seed}");
            // What a find is printed as is a script again, with the same troubles.
            let own: String =
                text.lines().filter(|l| !l.starts_with('#')).map(|l| format!("{l}\n")).collect();
            let whole = format!(
                "day {{\n  seconds = 6\n  hosts = 12\n  members = true\n  sites = 3\n}}\n{rest}{own}"
            );
            let read = Script::parse("drawn", &whole).unwrap_or_else(|e| panic!("seed {seed}: {e}\n{text}"));
            let of = |s: &Script| -> Vec<String> {
                s.troubles.iter().map(|t| format!("{} {} {:?}", t.at_s, t.for_s, t.action)).collect()
            };
            assert_eq!(of(&read), of(&a), "seed {seed}");
            for t in &a.troubles[base.troubles.len()..] {
                kinds.insert(format!("{:?}", t.action).split([' ', '(']).take(2).collect::<String>());
            }
        }
        assert!(kinds.len() >= 4, "{kinds:?}");
    }

    #[test]
    fn a_find_is_made_as_small_as_it_stays_one() {
        let mut s = draw(&script(), 3);
        let extra = s.troubles[0].clone();
        s.troubles.extend((0..4).map(|i| Trouble { name: format!("extra {i}"), ..extra.clone() }));
        let mut played = 0;
        let small = smaller(s, |s| {
            played += 1;
            Ok::<bool, ()>(s.troubles.iter().any(|t| t.name == "extra 2"))
        });
        let left: Vec<String> = small.unwrap().troubles.into_iter().map(|t| t.name).collect();
        assert_eq!(left, ["extra 2"]);
        assert!(played < 20);
    }
}
