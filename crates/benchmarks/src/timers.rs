//! The timing wheel of overrides beside a plain heap.

use crate::xorshift::{Xorshift, GOLDEN_RATIO};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::time::Instant as WallInstant;
use tackmast::interface::Instant;
use tackmast_overrides::timing_wheel::TimingWheel;

/// Seconds within which all timers expire.
const DAY_S: f64 = 86_400.0;
/// Seconds between two looks at the timers.
const STEP_S: f64 = 0.05;
/// Looks in an hour; the rest of the day passes at once.
const STEP_COUNT: u32 = 72_000;
/// Fraction of timers that are removed.
const REMOVED_FRACTION: f64 = 0.5;

/// Nanoseconds of an operation.
#[derive(Clone, Copy, Debug)]
pub struct Comparison {
    /// In the timing wheel.
    pub wheel_ns: f64,
    /// In the heap.
    pub heap_ns: f64,
}

/// What operations on timers cost.
#[derive(Clone, Copy, Debug)]
pub struct TimerCosts {
    /// To start a timer.
    pub insert: Comparison,
    /// To remove a timer.
    pub remove: Comparison,
    /// To let a timer expire, with the looks at which none does.
    pub expire: Comparison,
}

/// Nanoseconds of each operation of one kind of timers.
struct Costs {
    insert_ns: f64,
    remove_ns: f64,
    expire_ns: f64,
    expired_count: usize,
}

/// Starts so many timers over a day, removes half of them, and lets the day pass: an hour in steps of 50 ms, the rest at once.
pub fn timer_costs(timer_count: usize) -> TimerCosts {
    let mut random = Xorshift::from_state(GOLDEN_RATIO);
    let ends: Vec<Instant> =
        (0..timer_count).map(|_| Instant::from_secs(random.next_fraction() * DAY_S)).collect();
    let removed: Vec<usize> =
        (0..timer_count).filter(|_| random.next_fraction() < REMOVED_FRACTION).collect();
    let wheel = wheel_costs(&ends, &removed);
    let heap = heap_costs(&ends, &removed);
    assert_eq!(wheel.expired_count, heap.expired_count, "the same timers expire in both");
    let compare = |wheel_ns, heap_ns| Comparison { wheel_ns, heap_ns };
    TimerCosts {
        insert: compare(wheel.insert_ns, heap.insert_ns),
        remove: compare(wheel.remove_ns, heap.remove_ns),
        expire: compare(wheel.expire_ns, heap.expire_ns),
    }
}

/// The moments at which timers are looked at.
fn looks() -> impl Iterator<Item = Instant> {
    let steps = (1..=STEP_COUNT).map(|step| Instant::from_secs(f64::from(step) * STEP_S));
    steps.chain(std::iter::once(Instant::from_secs(DAY_S + 1.0)))
}

fn wheel_costs(ends: &[Instant], removed: &[usize]) -> Costs {
    let mut wheel = TimingWheel::new(Instant::from_secs(0.0));
    let started = WallInstant::now();
    let handles: Vec<_> = ends.iter().enumerate().map(|(id, end)| wheel.put(id as u32, *end)).collect();
    let insert_ns = nanoseconds_each(started, ends.len());
    let started = WallInstant::now();
    removed.iter().for_each(|id| _ = wheel.remove(handles[*id]));
    let remove_ns = nanoseconds_each(started, removed.len());
    let started = WallInstant::now();
    let expired_count = looks().map(|now| wheel.advance(now).len()).sum();
    let expire_ns = nanoseconds_each(started, expired_count);
    Costs { insert_ns, remove_ns, expire_ns, expired_count }
}

/// A plain heap can't remove a timer: it keeps a set of those that were removed, and ignores them when they expire.
fn heap_costs(ends: &[Instant], removed: &[usize]) -> Costs {
    let mut heap = BinaryHeap::new();
    let mut ignored: HashSet<u32> = HashSet::new();
    let started = WallInstant::now();
    ends.iter().enumerate().for_each(|(id, end)| heap.push(Reverse((*end, id as u32))));
    let insert_ns = nanoseconds_each(started, ends.len());
    let started = WallInstant::now();
    removed.iter().for_each(|id| _ = ignored.insert(*id as u32));
    let remove_ns = nanoseconds_each(started, removed.len());
    let started = WallInstant::now();
    let mut expired_count = 0;
    for now in looks() {
        while heap.peek().is_some_and(|Reverse((end, _))| *end <= now) {
            if let Some(Reverse((_, id))) = heap.pop() {
                expired_count += usize::from(!ignored.remove(&id));
            }
        }
    }
    let expire_ns = nanoseconds_each(started, expired_count);
    Costs { insert_ns, remove_ns, expire_ns, expired_count }
}

fn nanoseconds_each(started: WallInstant, count: usize) -> f64 {
    started.elapsed().as_secs_f64() * 1e9 / count.max(1) as f64
}
