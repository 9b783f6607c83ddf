//! Traffic of one volume's clients: arrivals on their own clock, whatever becomes of those before, and a reference
//! for every byte that is read.

use crate::registers::Registers;
use crate::script::TrafficBlock;
use bytes::Bytes;
use crossbeam_channel::{Receiver, Sender};
use hdrhistogram::Histogram;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;
use tackmast::interface::Effect;
use tackmast_config::{HostSettings, Volume};
use tackmast_emulators::initiator::{Initiator, IoOperation, IoRequest, LabelledReply, Login, Reply};
use tackmast_trace::{now_us, Recorder};
use tackmast_wire::iscsi::Digests;

/// Longest time that is told apart, in microseconds.
const LONGEST: u64 = 120_000_000;

/// What became of first tries and their retries.
#[derive(Clone, Debug)]
pub struct Tally {
    /// First tries, and those of them done within their latency objective, done at all.
    pub asked: u64,
    pub in_time: u64,
    pub done: u64,
    /// Answers of all tries.
    pub rejected: u64,
    pub failed: u64,
    pub lost: u64,
    pub invalid: u64,
    /// Tries that found no session, or a shut window.
    pub unreached: u64,
    pub shut: u64,
    pub times: Histogram<u64>,
}

impl Tally {
    pub fn new() -> Tally {
        let times = Histogram::new_with_bounds(1, LONGEST, 3).unwrap_or_else(|_| unreachable_histogram());
        let (asked, in_time, done, rejected, failed) = (0, 0, 0, 0, 0);
        let (lost, invalid, unreached, shut) = (0, 0, 0, 0);
        Tally { asked, in_time, done, rejected, failed, lost, invalid, unreached, shut, times }
    }

    pub fn add(&mut self, other: &Tally) {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.done += other.done;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.lost += other.lost;
        self.invalid += other.invalid;
        self.unreached += other.unreached;
        self.shut += other.shut;
        _ = self.times.add(&other.times);
    }
}

/// The bounds above are constants that the library takes.
fn unreachable_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits are within the library's one to five")
}

struct Try {
    first_at: u64,
    sent: u64,
    latency_objective_us: u64,
    traffic_class: usize,
    block: u64,
    blocks: u32,
    version: u64, // 0: a read
    tries: u32,
}

struct State {
    registers: Registers,
    tries: HashMap<u64, Try>,
    next: u64,
    chance: oorandom::Rand64,
    tallies: Vec<Tally>, // by stream
    wrong: Vec<String>,
}

struct Again {
    at: u64,
    first_at: u64,
    traffic_class: usize,
    block: u64,
    blocks: u32,
    write: bool,
    tries: u32,
}

impl PartialEq for Again {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}
impl Eq for Again {}
impl PartialOrd for Again {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Again {
    /// The earliest is the greatest: the heap gives it first.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.at.cmp(&self.at)
    }
}

type Channel<T> = (Sender<T>, Receiver<T>);
type Seats = Vec<RwLock<Option<Initiator>>>;

pub struct Flow {
    pub name: String,
    block: TrafficBlock,
    volume: Volume,
    settings: Arc<HostSettings>,
    base: u64,
    state: Mutex<State>,
    /// Seats for sessions by host.
    seats: Vec<(u32, Seats)>,
    hosts: Arc<RwLock<Vec<SocketAddr>>>,
    lead: AtomicUsize,
    times_milli: AtomicU64,
    over: AtomicBool,
    closed: AtomicBool,
    recorder: Recorder,
    replies: Channel<LabelledReply>,
    again: Channel<Again>,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Flow {
    /// `place` is this flow's place among those of its volume: each has blocks of its own.
    pub fn start(
        name: &str,
        block: &TrafficBlock,
        place: u64,
        seed: u64,
        settings: Arc<HostSettings>,
        hosts: Arc<RwLock<Vec<SocketAddr>>>,
        recorder: Recorder,
    ) -> Result<Arc<Flow>, String> {
        let volume = settings.volumes.iter().find(|v| v.name == block.volume).cloned();
        let volume = volume.ok_or_else(|| format!("traffic {name}: no volume {}", block.volume))?;
        let base = place * block.span_blocks;
        if base + block.span_blocks > volume.blocks {
            return Err(format!(
                "traffic {name}: span_blocks {}; the volume has too few blocks",
                block.span_blocks
            ));
        }
        let registers = Registers::new(seed, volume.block_bytes as usize);
        let state = State {
            registers,
            tries: HashMap::new(),
            next: 0,
            chance: oorandom::Rand64::new(u128::from(seed)),
            tallies: settings.traffic_classes.iter().map(|_| Tally::new()).collect(),
            wrong: Vec::new(),
        };
        let seats = |h: &u32| (*h, (0..block.sessions).map(|_| RwLock::new(None)).collect());
        let flow = Arc::new(Flow {
            name: name.to_owned(),
            volume,
            base,
            state: Mutex::new(state),
            seats: block.hosts.iter().map(seats).collect(),
            hosts,
            lead: AtomicUsize::new(0),
            times_milli: AtomicU64::new(1000),
            over: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            recorder,
            replies: crossbeam_channel::unbounded(),
            again: crossbeam_channel::unbounded(),
            block: block.clone(),
            settings,
        });
        flow.fill();
        for (what, run) in [("logins", Flow::keep_seats as fn(&Flow)), ("answers", Flow::take_replies)] {
            let f = flow.clone();
            let thread = std::thread::Builder::new().name(format!("{name} {what}")).stack_size(256 << 10);
            thread.spawn(move || run(&f)).map_err(|e| format!("traffic {name}: {e}"))?;
        }
        Ok(flow)
    }

    /// Arrivals begin; `day` is how long the day is.
    pub fn go(self: &Arc<Self>, day: Duration) -> Result<std::thread::JoinHandle<()>, String> {
        let f = self.clone();
        let thread =
            std::thread::Builder::new().name(format!("{} arrivals", self.name)).stack_size(256 << 10);
        thread.spawn(move || f.arrive(day)).map_err(|e| format!("traffic {}: {e}", self.name))
    }

    pub fn surge(&self, times: f64) {
        self.times_milli.store((times * 1000.0) as u64, Ordering::Relaxed);
    }

    pub fn move_lead(&self) {
        self.lead.fetch_add(1, Ordering::Relaxed);
    }

    /// No new arrivals; what is open gets its answers.
    pub fn stop(&self) {
        self.over.store(true, Ordering::Release);
    }

    pub fn open(&self) -> usize {
        lock(&self.state).tries.len()
    }

    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
        for seat in self.seats.iter().flat_map(|(_, s)| s) {
            if let Some(i) = seat.write().unwrap_or_else(PoisonError::into_inner).take() {
                i.logout();
            }
        }
    }

    /// Tallies by stream, wrong reads, and blocks that were checked.
    pub fn result(&self) -> (Vec<Tally>, Vec<String>, u64) {
        let s = lock(&self.state);
        (s.tallies.clone(), s.wrong.clone(), s.registers.checked)
    }

    pub fn plan(&self) -> usize {
        self.volume.plan as usize
    }

    fn login(&self, host: u32) -> Option<Initiator> {
        let address = *self.hosts.read().unwrap_or_else(PoisonError::into_inner).get(host as usize)?;
        let login = Login {
            address,
            target: self.settings.host.target.clone(),
            name: format!("iqn.2026-12.org.tackmast:client-{}", self.name),
            digests: Digests { header: self.block.digests, data: self.block.digests },
            deadline_ms: self.block.deadline_ms,
            timeout: Duration::from_secs(2),
        };
        Initiator::login(&login, host, self.replies.0.clone(), self.recorder.clone()).ok()
    }

    fn fill(&self) {
        for (host, seats) in &self.seats {
            for seat in seats {
                let open = seat
                    .read()
                    .unwrap_or_else(PoisonError::into_inner)
                    .as_ref()
                    .is_some_and(Initiator::is_open);
                if !open {
                    let new = self.login(*host);
                    if new.is_some() {
                        *seat.write().unwrap_or_else(PoisonError::into_inner) = new;
                    }
                }
            }
        }
    }

    fn keep_seats(&self) {
        while !self.closed.load(Ordering::Acquire) {
            std::thread::sleep(Duration::from_millis(30));
            if !self.over.load(Ordering::Acquire) {
                self.fill();
            }
        }
    }

    fn arrive(&self, day: Duration) {
        let start = now_us();
        let from = start + (self.block.from_s * 1e6) as u64;
        let until = self.block.for_s.map_or(start + day.as_micros() as u64, |s| from + (s * 1e6) as u64);
        let mut next = from;
        let mut retries: BinaryHeap<Again> = BinaryHeap::new();
        let mut surge: Option<u64> = None; // when it ends
        let mut surge_at = self.block.surges.map_or(u64::MAX, |(_, _, every)| from + self.gap(every));
        let mut move_at = self.block.moves_s.map_or(u64::MAX, |every| from + self.gap(every));
        while !self.over.load(Ordering::Acquire) {
            retries.extend(self.again.1.try_iter());
            let now = now_us();
            if surge.is_some_and(|end| end <= now) {
                surge = None;
            }
            if surge_at <= now {
                if let Some((_, length, every)) = self.block.surges {
                    surge = Some(now + (length * 1e6) as u64);
                    surge_at = now + self.gap(every);
                }
            }
            if move_at <= now {
                self.move_lead();
                move_at = now + self.gap(self.block.moves_s.unwrap_or(f64::MAX));
            }
            while let Some(r) = retries.pop() {
                if r.at > now {
                    retries.push(r);
                    break;
                }
                self.send(r);
            }
            while next <= now && next < until {
                self.send(self.draw(next));
                let own = self.block.surges.filter(|_| surge.is_some()).map_or(1.0, |(times, _, _)| times);
                let rate = self.block.rate * own * self.times_milli.load(Ordering::Relaxed) as f64 / 1000.0;
                next += self.gap(1.0 / rate.max(0.001));
            }
            let wake = retries.peek().map_or(next, |r| r.at.min(next));
            let wait = wake.saturating_sub(now_us()).clamp(100, 2_000);
            std::thread::sleep(Duration::from_micros(wait));
        }
    }

    /// A time between two events that come by chance, so many seconds apart in the mean.
    fn gap(&self, mean_s: f64) -> u64 {
        let gap = -(1.0 - lock(&self.state).chance.rand_float()).ln() * mean_s;
        (gap.min(1e6) * 1e6) as u64
    }

    fn draw(&self, at: u64) -> Again {
        let mut s = lock(&self.state);
        let (least, most) = self.block.blocks;
        let blocks = s.chance.rand_range(u64::from(least)..u64::from(most) + 1) as u32;
        let block = self.base + s.chance.rand_range(0..self.block.span_blocks - u64::from(blocks) + 1);
        let write = s.chance.rand_float() >= self.block.reads;
        let large = self
            .volume
            .large
            .filter(|large| blocks >= large.min_blocks && !write)
            .map(|large| large.traffic_class);
        let traffic_class =
            large.unwrap_or(if write { self.volume.writes } else { self.volume.reads }) as usize;
        Again { at, first_at: at, traffic_class, block, blocks, write, tries: 0 }
    }

    fn send(&self, a: Again) {
        let mut s = lock(&self.state);
        let now = now_us();
        let st = &self.settings.traffic_classes[a.traffic_class];
        if a.tries == 0 {
            s.tallies[a.traffic_class].asked += 1;
        }
        let lead = self.lead.load(Ordering::Relaxed) % self.seats.len();
        let (host, seat) = (s.chance.rand_float(), s.chance.rand_u64() as usize);
        let host = if host < self.block.lead {
            lead
        } else {
            (lead + 1 + seat % self.seats.len()) % self.seats.len()
        };
        let seats = &self.seats[host].1;
        let session = seats[seat / 7 % seats.len()].read().unwrap_or_else(PoisonError::into_inner).clone();
        let Some(session) = session.filter(Initiator::is_open) else {
            s.tallies[a.traffic_class].unreached += 1;
            return;
        };
        s.next += 1;
        let label = s.next;
        let (block, blocks) = (a.block, a.blocks);
        let version = if a.write { label } else { 0 };
        let work = match a.write {
            true => IoOperation::Write { data: Bytes::from(s.registers.write(now, block, blocks, version)) },
            false => IoOperation::Read { blocks },
        };
        let deadline = self.block.deadline_ms.map_or(st.deadline.secs(), |ms| f64::from(ms) / 1e3);
        let ask = IoRequest {
            lun: self.volume.lun,
            traffic_class: a.traffic_class as u32,
            block,
            block_bytes: self.volume.block_bytes,
            operation: work,
            deadline_us: (deadline * 1e6) as u64,
        };
        let latency_objective_us = (st.latency_objective.secs() * 1e6) as u64;
        let new = Try {
            first_at: a.first_at,
            sent: now,
            latency_objective_us,
            traffic_class: a.traffic_class,
            block,
            blocks,
            version,
            tries: a.tries,
        };
        s.tries.insert(label, new);
        let (abort, leave) =
            (s.chance.rand_float() < self.block.aborts, s.chance.rand_float() < self.block.leaves);
        drop(s);
        match session.submit(label, &ask, Duration::ZERO) {
            None => {
                let mut s = lock(&self.state);
                s.tallies[a.traffic_class].shut += 1;
                s.tries.remove(&label);
                if a.write {
                    s.registers.wrote(now, block, blocks, version, Some(false));
                }
            }
            Some(command) if abort => {
                session.abort(command);
                // No answer is owed any more: what became of it is unknown.
                let mut s = lock(&self.state);
                if s.tries.remove(&label).is_some() {
                    s.tallies[a.traffic_class].lost += 1;
                    s.registers.wrote(now, block, blocks, version, None);
                }
            }
            Some(_) if leave => session.close(),
            Some(_) => {}
        }
    }

    fn take_replies(&self) {
        let mut pruned = now_us();
        while let Ok(LabelledReply { label, reply }) =
            self.replies.1.recv_timeout(Duration::from_millis(100)).or_else(|e| {
                match self.closed.load(Ordering::Acquire) {
                    true => Err(e),
                    false => Ok(LabelledReply { label: 0, reply: Reply::Lost }),
                }
            })
        {
            let now = now_us();
            let mut s = lock(&self.state);
            if now - pruned > 500_000 {
                // No read that is open began before the oldest open try.
                let oldest = s.tries.values().map(|t| t.sent).min().unwrap_or(now);
                s.registers.prune(oldest);
                pruned = now;
            }
            let Some(t) = s.tries.remove(&label) else { continue };
            let effect = self.settings.traffic_classes[t.traffic_class].effect;
            let (traffic_class, write) = (t.traffic_class, t.version > 0);
            let ran = match &reply {
                Reply::Done(data) => {
                    let tally = &mut s.tallies[traffic_class];
                    tally.done += 1;
                    let took = now.saturating_sub(t.first_at);
                    tally.in_time += u64::from(took <= t.latency_objective_us);
                    _ = tally.times.record(took.clamp(1, LONGEST));
                    if !write {
                        let wanted = t.blocks as usize * self.volume.block_bytes as usize;
                        let read = match data.len() == wanted {
                            true => s.registers.read(t.sent, now, t.block, data),
                            false => Err(format!("block {}: {} bytes of {wanted}", t.block, data.len())),
                        };
                        if let Err(e) = read {
                            s.wrong.push(format!("traffic {}: {e}", self.name));
                        }
                    }
                    Some(true)
                }
                Reply::Rejected { retry_after_us } => {
                    s.tallies[traffic_class].rejected += 1;
                    if t.tries < self.block.retries {
                        let wait = if self.block.waits { *retry_after_us } else { 0 };
                        let again = Again {
                            at: now + wait,
                            first_at: t.first_at,
                            traffic_class,
                            block: t.block,
                            blocks: t.blocks,
                            write,
                            tries: t.tries + 1,
                        };
                        _ = self.again.0.send(again);
                    }
                    // For what bears no second run, a rejection promises that it did not run at all.
                    if effect == Effect::Idempotent {
                        None
                    } else {
                        Some(false)
                    }
                }
                Reply::Failed => {
                    s.tallies[traffic_class].failed += 1;
                    None
                }
                Reply::Lost => {
                    s.tallies[traffic_class].lost += 1;
                    None
                }
                Reply::InvalidRequest(sense) => {
                    s.tallies[traffic_class].invalid += 1;
                    let (name, blocks, block) = (&self.name, t.blocks, t.block);
                    let what = format!("traffic {name}: {blocks} blocks at {block} rejected with {sense:?}");
                    s.wrong.push(what);
                    Some(false)
                }
            };
            if write {
                s.registers.wrote(now, t.block, t.blocks, t.version, ran);
            }
        }
    }
}
