//! What overrides cost: the timing wheel beside a plain heap, and the host core's way of a request with none and with
//! many set.

use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::time::Instant as Wall;
use tackmast::interface::Instant;
use tackmast_overrides::timing_wheel::TimingWheel;

/// Nanoseconds an operation, wheel and heap.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Timers {
    pub entries: usize,
    pub put: (f64, f64),
    pub remove: (f64, f64),
    pub come_out: (f64, f64),
}

fn ns(started: Wall, n: usize) -> f64 {
    started.elapsed().as_secs_f64() * 1e9 / n.max(1) as f64
}

/// Puts so many in, over a day; takes half of them out again; then lets the day pass in steps of 50 ms for as long
/// as an hour, and the rest in one.
pub fn timers(entries: usize) -> Timers {
    let mut state = 0x9e37_79b9_7f4a_7c15u64;
    let mut chance = move || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 11) as f64 / (1u64 << 53) as f64
    };
    let ends: Vec<Instant> = (0..entries).map(|_| Instant::from_secs(chance() * 86_400.0)).collect();
    let half: Vec<usize> = (0..entries).filter(|_| chance() < 0.5).collect();

    let mut wheel = TimingWheel::new(Instant::from_secs(0.0));
    let t = Wall::now();
    let handles: Vec<_> = ends.iter().enumerate().map(|(i, e)| wheel.put(i as u32, *e)).collect();
    let put_wheel = ns(t, entries);
    let t = Wall::now();
    half.iter().for_each(|i| _ = wheel.remove(handles[*i]));
    let remove_wheel = ns(t, half.len());
    let t = Wall::now();
    let mut out_wheel = 0;
    for step in 1..=72_000 {
        out_wheel += wheel.advance(Instant::from_secs(f64::from(step) * 0.05)).len();
    }
    out_wheel += wheel.advance(Instant::from_secs(86_401.0)).len();
    let come_wheel = ns(t, out_wheel);

    // The plain heap can't take one out: it keeps a set of those that count no more, and passes over them.
    let mut heap = BinaryHeap::new();
    let mut gone: HashSet<u32> = HashSet::new();
    let t = Wall::now();
    ends.iter().enumerate().for_each(|(i, e)| heap.push(Reverse((*e, i as u32))));
    let put_heap = ns(t, entries);
    let t = Wall::now();
    half.iter().for_each(|i| _ = gone.insert(*i as u32));
    let remove_heap = ns(t, half.len());
    let t = Wall::now();
    let mut out_heap = 0;
    let mut until = |now: Instant| {
        while heap.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            if let Some(Reverse((_, id))) = heap.pop() {
                out_heap += usize::from(!gone.remove(&id));
            }
        }
    };
    for step in 1..=72_000 {
        until(Instant::from_secs(f64::from(step) * 0.05));
    }
    until(Instant::from_secs(86_401.0));
    let come_heap = ns(t, out_heap);
    assert_eq!(out_wheel, out_heap, "both let the same come out");
    Timers {
        entries,
        put: (put_wheel, put_heap),
        remove: (remove_wheel, remove_heap),
        come_out: (come_wheel, come_heap),
    }
}
