//! The service through the client libraries: both protocols beside each other, and what a greedy client does to a
//! polite one.

use crate::load::Shown;
use hdrhistogram::Histogram;
use std::time::{Duration, Instant};
use tackmast_client::{Client, Op, Options, Outcome, Pending};

/// Threads that call at the same time, at most; further sessions are open and idle in turn.
const CALLERS: usize = 64;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the library takes these constants")
}

fn shown(times: &Histogram<u64>, other: u64, seconds: f64) -> Shown {
    Shown {
        done: times.len(),
        other,
        per_s: times.len() as f64 / seconds,
        p50_us: times.value_at_quantile(0.5),
        p99_us: times.value_at_quantile(0.99),
        mean_us: times.mean(),
    }
}

/// So many sessions, each caller reading one after the other.
pub fn through_library(options: &Options, sessions: usize, seconds: f64) -> Result<Shown, String> {
    let callers = sessions.min(CALLERS);
    let mut clients = Vec::new();
    for i in 0..callers {
        let mut own = options.clone();
        own.sessions = sessions / callers + usize::from(i < sessions % callers);
        own.seed = i as u64;
        clients.push(Client::open(own, Duration::from_secs(20)).map_err(|e| e.to_string())?);
    }
    // All sessions of the pools get their time to open.
    std::thread::sleep(Duration::from_millis(200 + sessions as u64));
    let run = move |client: Client, seed: u64| {
        let mut chance = oorandom::Rand64::new(u128::from(seed));
        let (mut times, mut other) = (histogram(), 0);
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < until {
            let began = Instant::now();
            match client.read(chance.rand_range(0..100_000) * 4096, 4096) {
                Outcome::Done(_) => _ = times.record(began.elapsed().as_micros().max(1) as u64),
                _ => other += 1,
            }
        }
        client.close();
        (times, other)
    };
    let threads: Vec<_> =
        clients.into_iter().enumerate().map(|(i, c)| std::thread::spawn(move || run(c, i as u64))).collect();
    let (mut all, mut not) = (histogram(), 0);
    for t in threads {
        let (times, other) = t.join().map_err(|_| "a client failed")?;
        _ = all.add(&times);
        not += other;
    }
    Ok(shown(&all, not, seconds))
}

/// A polite client's reads, 100 a second, alone or beside one that keeps so many calls open.
pub fn beside_greedy(options: &Options, greedy_calls: usize, seconds: f64) -> Result<Shown, String> {
    let open = |o: &Options| Client::open(o.clone(), Duration::from_secs(20)).map_err(|e| e.to_string());
    let polite = open(options)?;
    let until = Instant::now() + Duration::from_secs_f64(seconds + 0.5);
    let greedy = match greedy_calls {
        0 => None,
        n => {
            let client = open(&Options { sessions: 16, max_calls: n, ..options.clone() })?;
            Some(std::thread::spawn(move || {
                let mut open: std::collections::VecDeque<Pending> = std::collections::VecDeque::new();
                let mut chance = oorandom::Rand64::new(3);
                while Instant::now() < until {
                    while open.len() < n {
                        let offset = chance.rand_range(0..100_000) * 4096;
                        open.push_back(client.submit(Op::Read { offset, length: 4096 }, None));
                    }
                    if let Some(p) = open.pop_front() {
                        p.wait();
                    }
                }
                client.close();
            }))
        }
    };
    std::thread::sleep(Duration::from_millis(500));
    let (mut times, mut other) = (histogram(), 0);
    let mut chance = oorandom::Rand64::new(9);
    while Instant::now() < until {
        let began = Instant::now();
        match polite.read(chance.rand_range(0..100_000) * 4096, 4096) {
            Outcome::Done(_) => _ = times.record(began.elapsed().as_micros().max(1) as u64),
            _ => other += 1,
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    if let Some(g) = greedy {
        _ = g.join();
    }
    polite.close();
    Ok(shown(&times, other, seconds))
}
