//! `tackmast members`: the view of one host, of many beside each other, and how it changes.

use crate::orders::{each, span, Hosts, PATIENCE};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::process::ExitCode;
use std::time::Duration;
use tackmast_admin::{Answer, Call};
use tackmast_host_core::{AdminRequest, AdminResponse, MembersStatus};

/// Hosts up to which a matrix has a column each; beyond, what differs is summed up.
const MATRIX: usize = 24;
/// Lines of differences that are told.
const LINES: usize = 20;

#[derive(clap::Args)]
pub struct MembersArguments {
    #[command(flatten)]
    hosts: Hosts,
    /// All the hosts named beside each other: what each thinks of each where they differ, and whether the view has settled.
    #[arg(long)]
    all: bool,
    /// Looks again every so often, such as 1s, and tells what has changed; ends with the process.
    #[arg(long, value_name = "TIME")]
    watch: Option<humantime::Duration>,
}

pub fn run(a: &MembersArguments) -> Result<ExitCode, String> {
    match (a.all, a.watch) {
        (false, None) => each(&a.hosts, &Call::AdminRequest(AdminRequest::Members)),
        (_, Some(every)) => watch(&a.hosts, every.into()),
        (true, None) => {
            let asked = ask_all(&a.hosts);
            print!("{}", all(&asked));
            let good = asked.iter().all(|(_, m)| m.is_ok()) && differences(&asked).is_empty();
            Ok(ExitCode::from(u8::from(!good)))
        }
    }
}

type Asked = (String, Result<MembersStatus, String>);

fn ask_all(hosts: &Hosts) -> Vec<Asked> {
    let one = |path: &std::path::PathBuf| {
        let status = match tackmast_admin::call(path, &Call::AdminRequest(AdminRequest::Members), PATIENCE) {
            Ok(Answer::AdminResponse(r)) => match *r {
                AdminResponse::Members(m) => Ok(*m),
                other => Err(format!("{other:?}; expected what it knows of members")),
            },
            Ok(other) => Err(format!("{other:?}")),
            Err(e) => Err(e.to_string()),
        };
        (path.display().to_string(), status)
    };
    hosts.hosts.iter().map(one).collect()
}

/// One host's view.
pub fn one(m: &MembersStatus) -> String {
    let mut out = String::new();
    let Some(host) = m.host else { return "this host has no membership block in its settings\n".into() };
    let site = m.site.map_or(String::new(), |s| format!(" of site {s}"));
    _ = writeln!(
        out,
        "host {host}{site} at {}: {} hosts are there; digest {:08x}, still for {}",
        m.address,
        m.alive_hosts,
        m.digest,
        span(m.still_s)
    );
    _ = writeln!(
        out,
        "{} datagrams sent ({} bytes), {} taken, {} dropped; strain {}, stood still {} times, accused {} times",
        m.sent, m.sent_bytes, m.taken, m.dropped, m.local_health, m.pauses, m.accused
    );
    _ = writeln!(
        out,
        "{} suspicions begun here, {} taken back, {} deaths found, {} words of hosts beyond the told number, {} changes of hosts that flap",
        m.suspected, m.refuted, m.found_dead, m.beyond, m.damped
    );
    if m.displaced {
        _ = writeln!(
            out,
            "another life of this host's number was heard of: it uses nothing that hosts share"
        );
    }
    if m.taken_over > 0 {
        _ = writeln!(
            out,
            "it took its number back from a later life that does not run: {} times",
            m.taken_over
        );
    }
    for s in &m.sites {
        let name = s.site.map_or("no site told".to_owned(), |n| format!("site {n}"));
        _ = writeln!(
            out,
            "{name:<12} {:<20} {} alive, {} suspect, {} dead, {} left",
            s.state, s.alive, s.suspect, s.dead, s.left
        );
    }
    for p in &m.peers {
        let site = p.site.map_or("-".to_owned(), |s| s.to_string());
        let flaps = if p.flaps { ", comes and goes" } else { "" };
        _ = writeln!(
            out,
            "{:>6}  site {site:<4} {:<8} {:<24} for {}{flaps}",
            p.host,
            p.health,
            p.address,
            span(p.since_s)
        );
    }
    for (lun, own, lent, borrowed, need) in &m.quota_leases {
        _ = writeln!(
            out,
            "LUN {lun}: owns {own:.3} of the limit, lent {lent:.3}, borrowed {borrowed:.3}, needs {need:.3}"
        );
    }
    out
}

/// What one host thinks of another, as a letter and the number of its word.
fn word(m: &MembersStatus, of: u32) -> String {
    if m.host == Some(of) {
        return if m.displaced { "!".into() } else { "o".into() };
    }
    m.peers.iter().find(|p| p.host == of).map_or("?".into(), |p| {
        let letter = match p.health.as_str() {
            "alive" => "a",
            "suspect" => "s",
            "dead" => "D",
            _ => "L",
        };
        if p.incarnation == 0 {
            letter.to_owned()
        } else {
            format!("{letter}{}", p.incarnation)
        }
    })
}

/// Of whom hosts think differently: what they think, and which hosts think so.
fn differences(asked: &[Asked]) -> BTreeMap<u32, BTreeMap<String, Vec<u32>>> {
    let good: Vec<&MembersStatus> = asked.iter().filter_map(|(_, m)| m.as_ref().ok()).collect();
    let mut of: BTreeMap<u32, BTreeMap<String, Vec<u32>>> = BTreeMap::new();
    let subjects: std::collections::BTreeSet<u32> =
        good.iter().flat_map(|m| m.peers.iter().map(|p| p.host).chain(m.host)).collect();
    for s in subjects {
        let mut words: BTreeMap<String, Vec<u32>> = BTreeMap::new();
        for m in good.iter().filter(|m| m.host != Some(s)) {
            let generation = m.peers.iter().find(|p| p.host == s).map_or(0, |p| p.generation);
            words.entry(format!("{} of life {generation:x}", word(m, s))).or_default().extend(m.host);
        }
        let own = good.iter().find(|m| m.host == Some(s) && !m.displaced);
        let wrong = own.is_some_and(|o| {
            words.keys().any(|w| !w.starts_with('a') || !w.ends_with(&format!("{:x}", o.generation)))
        });
        if words.len() > 1 || wrong {
            of.insert(s, words);
        }
    }
    of
}

/// Many hosts beside each other.
fn all(asked: &[Asked]) -> String {
    let mut out = String::new();
    let good: Vec<&MembersStatus> = asked.iter().filter_map(|(_, m)| m.as_ref().ok()).collect();
    for (path, m) in asked {
        if let Err(e) = m {
            _ = writeln!(out, "{path}: {e}");
        }
    }
    let mut digests: BTreeMap<u32, Vec<u32>> = BTreeMap::new();
    good.iter().for_each(|m| digests.entry(m.digest).or_default().extend(m.host));
    let differ = differences(asked);
    let still = good.iter().map(|m| m.still_s).fold(f64::INFINITY, f64::min);
    match (digests.len(), differ.is_empty()) {
        (0, _) => _ = writeln!(out, "no host answered"),
        (1, true) => {
            let (digest, n) = digests.first_key_value().map_or((0, 0), |(d, h)| (*d, h.len()));
            _ = writeln!(
                out,
                "settled: {n} hosts with digest {digest:08x}, nothing changed for {}",
                span(still)
            );
        }
        (n, _) => {
            _ = writeln!(out, "not settled: {n} digests among {} hosts", good.len());
            for (digest, hosts) in digests.iter().take(LINES) {
                _ = writeln!(out, "  {digest:08x}: hosts {}", ranges(hosts));
            }
        }
    }
    let mut sites: BTreeMap<Option<u32>, Vec<&&MembersStatus>> = BTreeMap::new();
    good.iter().for_each(|m| sites.entry(m.site).or_default().push(m));
    for (site, of) in &sites {
        let name = site.map_or("no site told".to_owned(), |s| format!("site {s}"));
        let strained = of.iter().filter(|m| m.local_health > 0).count();
        _ = writeln!(out, "{name}: {} answer, {strained} of them under strain", of.len());
    }
    if good.len() <= MATRIX && !differ.is_empty() {
        _ = writeln!(out, "rows think of columns: a alive, s suspect, D dead, L left, ? unknown, o itself, ! yields; with the number of the word");
        let columns: Vec<u32> = differ.keys().copied().collect();
        let width = 5;
        _ = write!(out, "{:>6}", "");
        columns.iter().for_each(|c| _ = write!(out, "{c:>width$}"));
        out.push('\n');
        for m in &good {
            _ = write!(out, "{:>6}", m.host.unwrap_or(0));
            columns.iter().for_each(|c| _ = write!(out, "{:>width$}", word(m, *c)));
            out.push('\n');
        }
        return out;
    }
    for (of, words) in differ.iter().take(LINES) {
        let said: Vec<String> =
            words.iter().map(|(w, by)| format!("{w} by {} ({})", by.len(), ranges(by))).collect();
        _ = writeln!(out, "host {of}: {}", said.join("; "));
    }
    if differ.len() > LINES {
        _ = writeln!(out, "and {} more hosts of whom they think differently", differ.len() - LINES);
    }
    out
}

/// Numbers as ranges, such as 0-3, 7.
fn ranges(all: &[u32]) -> String {
    let mut sorted = all.to_vec();
    sorted.sort_unstable();
    sorted.dedup();
    let mut parts: Vec<(u32, u32)> = Vec::new();
    for n in sorted {
        match parts.last_mut() {
            Some((_, to)) if *to + 1 == n => *to = n,
            _ => parts.push((n, n)),
        }
    }
    let one = |(a, b): &(u32, u32)| if a == b { a.to_string() } else { format!("{a}-{b}") };
    parts.iter().map(one).collect::<Vec<String>>().join(", ")
}

fn watch(hosts: &Hosts, every: Duration) -> Result<ExitCode, String> {
    let mut before = String::new();
    loop {
        let asked = ask_all(hosts);
        // What changes all the time is no news.
        let now = match hosts.hosts.len() {
            1 => asked
                .iter()
                .map(|(p, m)| m.as_ref().map_or_else(|e| format!("{p}: {e}\n"), changes))
                .collect(),
            _ => all(&asked).lines().filter(|l| !l.starts_with("settled")).fold(
                if differences(&asked).is_empty() { "settled\n".to_owned() } else { String::new() },
                |mut s, l| {
                    _ = writeln!(s, "{l}");
                    s
                },
            ),
        };
        if now != before {
            let us = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
            println!("{}", crate::orders::time(us.as_micros() as u64));
            print!("{now}");
            before = now;
        }
        std::thread::sleep(every.max(Duration::from_millis(50)));
    }
}

/// What of one view is worth a line when it changes.
fn changes(m: &MembersStatus) -> String {
    let mut out =
        format!("{} hosts are there, strain {}, displaced {}\n", m.alive_hosts, m.local_health, m.displaced);
    for s in m.sites.iter().filter(|s| s.state != "there" || s.suspect + s.dead > 0) {
        let name = s.site.map_or("no site told".to_owned(), |n| format!("site {n}"));
        _ = writeln!(out, "{name} {}: {} alive, {} suspect, {} dead", s.state, s.alive, s.suspect, s.dead);
    }
    for p in m.peers.iter().filter(|p| p.health != "alive") {
        _ = writeln!(out, "host {} {}", p.host, p.health);
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use tackmast_host_core::PeerStatus;

    fn asked(host: u32, digest: u32, peers: &[(u32, &str, u32)]) -> Asked {
        let peer = |(host, health, incarnation): &(u32, &str, u32)| PeerStatus {
            host: *host,
            health: (*health).into(),
            incarnation: *incarnation,
            generation: 7,
            ..PeerStatus::default()
        };
        let peers = peers.iter().map(peer).collect();
        let m = MembersStatus {
            host: Some(host),
            digest,
            generation: 7,
            peers,
            still_s: 3.0,
            ..Default::default()
        };
        (format!("host {host}"), Ok(m))
    }

    #[test]
    fn many_hosts_beside_each_other() {
        let settled = [asked(0, 5, &[(1, "alive", 0)]), asked(1, 5, &[(0, "alive", 0)])];
        assert!(all(&settled).starts_with("settled: 2 hosts with digest 00000005, nothing changed for 3s"));
        let parted = [
            asked(0, 5, &[(1, "alive", 0), (2, "dead", 3)]),
            asked(1, 5, &[(0, "alive", 0), (2, "suspect", 3)]),
            asked(2, 6, &[(0, "alive", 0)]),
        ];
        let text = all(&parted);
        assert!(text.starts_with("not settled: 2 digests among 3 hosts\n  00000005: hosts 0-1\n"), "{text}");
        let rows: Vec<Vec<&str>> =
            text.lines().rev().take(4).map(|l| l.split_whitespace().collect()).collect();
        assert_eq!(
            rows,
            [vec!["2", "?", "o"], vec!["1", "o", "s3"], vec!["0", "a", "D3"], vec!["1", "2"]],
            "{text}"
        );
        // Of three hundred, what differs is summed up.
        let many: Vec<Asked> =
            (0..300).map(|h| asked(h, 5, &[(1, if h < 100 { "dead" } else { "alive" }, 0)])).collect();
        let text = all(&many);
        assert!(text.contains("host 1: D of life 7 by 99 (0, 2-99); a of life 7 by 200 (100-299)"), "{text}");
        assert!(text.lines().count() < 40, "{text}");
    }

    #[test]
    fn numbers_as_ranges() {
        for (all, text) in
            [(vec![], ""), (vec![4], "4"), (vec![3, 1, 2, 7], "1-3, 7"), (vec![5, 5, 6], "5-6")]
        {
            assert_eq!(ranges(&all), text);
        }
    }
}
