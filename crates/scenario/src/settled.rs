//! Whether the view of the hosts has settled, as docs/membership.md defines it, watched from outside over their admin
//! sockets: since the last fault, and for deaths of hosts that were there.

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tackmast_admin::{Answer, Call};
use tackmast_host_core::{AdminRequest, AdminResponse, MembersStatus};

/// How often the hosts are asked, and by so many at a time.
const EVERY: Duration = Duration::from_millis(50);
const ASKERS: usize = 6;
const PATIENCE: Duration = Duration::from_millis(500);
/// Periods before a death in which its host must have been there, and reached, for the death to be false.
const BEFORE: f64 = 70.0;

/// What the player of the day has done to hosts, as far as the watcher has to know.
#[derive(Default)]
pub struct Done {
    /// Processes that run, by number of host and whether it is a second one; with their admin sockets.
    pub up: BTreeMap<(u32, bool), PathBuf>,
    pub stopped: BTreeSet<u32>,
    /// Ways that are not well, by the number of their effect: between which hosts, and since when.
    pub ways: BTreeMap<u64, (HashSet<u32>, HashSet<u32>, Instant)>,
    /// When a host was away, or a way was not well.
    pub away: Vec<(u32, Instant, Option<Instant>)>,
    pub cuts: Vec<(HashSet<u32>, HashSet<u32>, Instant, Instant)>,
    /// The last fault, and its number.
    pub last: Option<(u64, String, Instant)>,
}

impl Done {
    pub fn fault(&mut self, what: &str) {
        let number = self.last.as_ref().map_or(1, |(n, _, _)| n + 1);
        self.last = Some((number, what.to_owned(), Instant::now()));
    }

    pub fn goes(&mut self, host: u32) {
        self.away.push((host, Instant::now(), None));
    }

    pub fn is_back(&mut self, host: u32) {
        let open = self.away.iter_mut().rev().find(|(h, _, to)| *h == host && to.is_none());
        if let Some((_, _, to)) = open {
            *to = Some(Instant::now());
        }
    }

    fn excuses(&self, observer: u32, host: u32, at: Instant, before: Duration) -> bool {
        let within = |from: Instant, to: Option<Instant>| from <= at && to.is_none_or(|to| to + before >= at);
        let away = self.away.iter().any(|(h, from, to)| *h == host && within(*from, *to));
        let between = |a: &HashSet<u32>, b: &HashSet<u32>| {
            (a.contains(&observer) && b.contains(&host)) || (a.contains(&host) && b.contains(&observer))
        };
        let cut = self.cuts.iter().any(|(a, b, from, to)| between(a, b) && within(*from, Some(*to)));
        away || cut || self.ways.values().any(|(a, b, from)| between(a, b) && *from <= at)
    }
}

/// How long the view took after one fault.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct After {
    pub fault: String,
    /// None: not before the next fault, or not at all.
    pub settled_s: Option<f64>,
}

/// What was seen of the view.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ViewSeen {
    pub hosts: u32,
    pub period_s: f64,
    pub after: Vec<After>,
    /// Deaths that hosts found, and those among them of hosts that were there and reached all the time.
    pub deaths: usize,
    pub false_deaths: usize,
    /// Of the false ones, in words.
    pub false_words: Vec<String>,
    /// A second and host, over the day.
    pub bytes: f64,
    pub cpu: f64,
}

impl ViewSeen {
    /// Periods from the last fault until settled.
    pub fn last(&self) -> Option<f64> {
        self.after.last().and_then(|a| a.settled_s).map(|s| s / self.period_s.max(1e-9))
    }
}

pub struct Watcher {
    pub done: Arc<Mutex<Done>>,
    seen: Arc<Mutex<Seen>>,
    over: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
    period: Duration,
}

#[derive(Default)]
struct Seen {
    after: BTreeMap<u64, (String, Option<f64>)>,
    deaths: BTreeMap<(u32, u32, u64, u32), (Instant, bool)>,
    sent: BTreeMap<(u32, u64), u64>,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

fn ask(socket: &Path) -> Option<MembersStatus> {
    match tackmast_admin::call(socket, &Call::AdminRequest(AdminRequest::Members), PATIENCE) {
        Ok(Answer::AdminResponse(r)) => match *r {
            AdminResponse::Members(m) => Some(*m),
            _ => None,
        },
        _ => None,
    }
}

/// All that run hold all that run alive, under their generations, where and at the site they say; all others are not there; and
/// all digests are one. One that knows of a later generation of its number is not among them.
fn is_settled(all: &[MembersStatus]) -> bool {
    let held: Vec<&MembersStatus> = all.iter().filter(|m| !m.displaced).collect();
    let Some(first) = held.first() else { return false };
    if held.iter().any(|m| m.digest != first.digest) {
        return false;
    }
    let numbers: BTreeSet<Option<u32>> = held.iter().map(|m| m.host).collect();
    if numbers.len() != held.len() {
        return false;
    }
    let others = held.iter().skip(1).all(|m| {
        let of = first.peers.iter().find(|p| Some(p.host) == m.host);
        of.is_some_and(|p| {
            p.health == "alive" && (p.generation, p.site, &p.address) == (m.generation, m.site, &m.address)
        })
    });
    let away = |health: &str| matches!(health, "dead" | "left");
    let rest = first.peers.iter().all(|p| numbers.contains(&Some(p.host)) || away(&p.health));
    others && rest
}

impl Watcher {
    pub fn start(period_s: f64) -> Watcher {
        let period = Duration::from_secs_f64(period_s);
        let mut w = Watcher {
            done: Arc::default(),
            seen: Arc::default(),
            over: Arc::default(),
            thread: None,
            period,
        };
        let (done, seen, over) = (w.done.clone(), w.seen.clone(), w.over.clone());
        w.thread = std::thread::Builder::new()
            .name("watcher".into())
            .spawn(move || {
                while !over.load(Ordering::Acquire) {
                    let began = Instant::now();
                    look(&done, &seen);
                    std::thread::sleep(EVERY.saturating_sub(began.elapsed()));
                }
            })
            .ok();
        w
    }

    /// Whether the last fault is over and the view has settled since.
    pub fn is_settled(&self) -> bool {
        let last = lock(&self.done).last.as_ref().map(|(n, _, _)| *n);
        last.is_none_or(|n| lock(&self.seen).after.get(&n).is_some_and(|(_, s)| s.is_some()))
    }

    /// Since the last fault.
    pub fn waited(&self) -> Duration {
        lock(&self.done).last.as_ref().map_or(Duration::ZERO, |(_, _, t)| t.elapsed())
    }

    pub fn end(mut self, hosts: u32, seconds: f64, cpu_s: f64) -> ViewSeen {
        self.over.store(true, Ordering::Release);
        if let Some(t) = self.thread.take() {
            _ = t.join();
        }
        let (done, seen) = (lock(&self.done), lock(&self.seen));
        let before = self.period.mul_f64(BEFORE);
        let own = seen.deaths.iter().filter(|(_, (_, own))| *own);
        let is_false = |((observer, host, _, _), (at, _)): &(&(u32, u32, u64, u32), &(Instant, bool))| {
            !done.excuses(*observer, *host, *at, before)
        };
        let words = own.clone().filter(is_false).take(20).map(|((observer, host, generation, n), (at, _))| {
            let ago = at.elapsed().as_secs_f64();
            format!(
                "host {observer} held host {host} dead (life {generation:x}, word {n}), {ago:.2} s before the end"
            )
        });
        let false_words = words.collect();
        let all_sent: u64 = seen.sent.values().sum();
        let each = seconds.max(1e-9) * f64::from(hosts.max(1));
        ViewSeen {
            hosts,
            period_s: self.period.as_secs_f64(),
            after: seen
                .after
                .values()
                .map(|(fault, settled_s)| After { fault: fault.clone(), settled_s: *settled_s })
                .collect(),
            deaths: own.clone().count(),
            false_deaths: own.filter(is_false).count(),
            false_words,
            bytes: all_sent as f64 / each,
            cpu: cpu_s / each,
        }
    }
}

/// One round: all that run and are reached are asked at once.
fn look(done: &Mutex<Done>, seen: &Mutex<Seen>) {
    let (targets, last, whole) = {
        let d = lock(done);
        let targets: Vec<((u32, bool), PathBuf)> =
            d.up.iter()
                .filter(|((h, _), _)| !d.stopped.contains(h))
                .map(|(who, path)| (*who, path.clone()))
                .collect();
        // While some stand still or are cut off, what is left need not agree.
        (targets, d.last.clone(), d.stopped.is_empty() && d.ways.is_empty())
    };
    let chunk = targets.len().div_ceil(ASKERS).max(1);
    let answers: Vec<Option<MembersStatus>> = std::thread::scope(|s| {
        let askers: Vec<_> = targets
            .chunks(chunk)
            .map(|c| s.spawn(move || c.iter().map(|(_, path)| ask(path)).collect::<Vec<_>>()))
            .collect();
        askers.into_iter().flat_map(|a| a.join().unwrap_or_default()).collect()
    });
    let now = Instant::now();
    let mut seen = lock(seen);
    for m in answers.iter().flatten() {
        let Some(host) = m.host else { continue };
        let sent = seen.sent.entry((host, m.generation)).or_default();
        *sent = (*sent).max(m.sent_bytes);
        for d in &m.deaths {
            let at = now.checked_sub(Duration::from_secs_f64(d.ago_s.max(0.0))).unwrap_or(now);
            seen.deaths.entry((host, d.host, d.generation, d.incarnation)).or_insert((at, d.own));
        }
    }
    let Some((number, what, since)) = last else { return };
    let entry = seen.after.entry(number).or_insert((what, None));
    if entry.1.is_none() && whole && answers.iter().all(Option::is_some) {
        let all: Vec<MembersStatus> = answers.into_iter().flatten().collect();
        // A fault may have begun while they were asked.
        let still = lock(done).last.as_ref().is_some_and(|(n, _, _)| *n == number);
        if still && is_settled(&all) {
            entry.1 = Some((now - since).as_secs_f64());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tackmast_host_core::PeerStatus;

    fn status(host: u32, digest: u32, peers: &[(u32, &str, u64)]) -> MembersStatus {
        let peer = |(host, health, generation): &(u32, &str, u64)| PeerStatus {
            host: *host,
            health: (*health).to_owned(),
            generation: *generation,
            address: format!("a{host}"),
            site: Some(1),
            ..PeerStatus::default()
        };
        MembersStatus {
            host: Some(host),
            digest,
            generation: 7,
            address: format!("a{host}"),
            site: Some(1),
            peers: peers.iter().map(peer).collect(),
            ..MembersStatus::default()
        }
    }

    #[test]
    fn what_counts_as_settled() {
        type Peers<'a> = &'a [(u32, &'a str, u64)];
        // What host 0 holds, the digests of 0 and 1, and whether these two, which run, have settled.
        let cases: &[(&str, Peers, (u32, u32), bool)] = &[
            ("both there", &[(1, "alive", 7)], (5, 5), true),
            ("others gone", &[(1, "alive", 7), (2, "dead", 7), (3, "left", 7)], (5, 5), true),
            ("digests differ", &[(1, "alive", 7)], (5, 6), false),
            ("one is missed", &[], (5, 5), false),
            ("one is suspected", &[(1, "suspect", 7)], (5, 5), false),
            ("an earlier life", &[(1, "alive", 6)], (5, 5), false),
            ("one that is gone is held there", &[(1, "alive", 7), (2, "alive", 7)], (5, 5), false),
        ];
        for (name, peers, digests, expected) in cases {
            let all = [status(0, digests.0, peers), status(1, digests.1, &[(0, "alive", 7)])];
            assert_eq!(is_settled(&all), *expected, "{name}");
        }
        let twin = MembersStatus { displaced: true, ..status(1, 99, &[]) };
        let all = [status(0, 5, &[(1, "alive", 7)]), status(1, 5, &[(0, "alive", 7)]), twin];
        assert!(is_settled(&all), "one that yields is not among them");
        assert!(!is_settled(&[]), "nobody");
    }

    #[test]
    fn which_deaths_are_excused() {
        let t = Instant::now();
        let s = Duration::from_secs;
        let set = |h: &[u32]| h.iter().copied().collect::<HashSet<u32>>();
        let done = Done {
            away: vec![(1, t + s(10), Some(t + s(20)))],
            cuts: vec![(set(&[2]), set(&[3]), t + s(10), t + s(20))],
            ..Done::default()
        };
        // Observer, host, when, whether it is excused with five seconds before.
        let cases = [
            (0, 1, 9, false),
            (0, 1, 12, true),
            (0, 1, 24, true),
            (0, 1, 26, false),
            (1, 0, 12, false),
            (2, 3, 12, true),
            (3, 2, 24, true),
            (2, 4, 12, false),
            (2, 3, 26, false),
        ];
        for (observer, host, at, expected) in cases {
            assert_eq!(done.excuses(observer, host, t + s(at), s(5)), expected, "{observer} {host} {at}");
        }
    }
}
