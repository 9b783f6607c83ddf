//! The service through the client library: both protocols beside each other, and what a greedy client does to a polite one.

use crate::measurement::LoadRecorder;
use crate::{BenchmarkError, Measurement};
use std::collections::VecDeque;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tackmast_client::{Client, Op, Options, Outcome, Pending};

/// Threads that call at the same time at most; further sessions are open and idle in turn.
const MAX_CALLERS: usize = 64;
/// How long a client may take to open its sessions.
const OPEN_TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes of a read.
const READ_BYTES: u32 = 4096;
/// Reads are spread over so many positions.
const POSITION_COUNT: u64 = 100_000;
/// Sessions of the greedy client.
const GREEDY_SESSIONS: usize = 16;
/// How long the greedy client runs before the polite one begins.
const GREEDY_HEAD_START: Duration = Duration::from_millis(500);
/// Pause of the polite client after each read.
const POLITE_PAUSE: Duration = Duration::from_millis(10);
/// Seed of the positions that the greedy client reads.
const GREEDY_SEED: u128 = 3;
/// Seed of the positions that the polite client reads.
const POLITE_SEED: u128 = 9;

/// Measures so many sessions, each of whose callers reads one after the other.
pub fn measure_sessions(
    options: &Options,
    session_count: usize,
    seconds: f64,
) -> Result<Measurement, BenchmarkError> {
    let caller_count = session_count.min(MAX_CALLERS);
    let mut clients = Vec::new();
    for caller in 0..caller_count {
        let options = Options {
            sessions: session_count / caller_count + usize::from(caller < session_count % caller_count),
            seed: caller as u64,
            ..options.clone()
        };
        clients.push(Client::open(options, OPEN_TIMEOUT)?);
    }
    // All sessions of the clients get time to open.
    std::thread::sleep(Duration::from_millis(200 + session_count as u64));
    let start_caller = |(caller, client): (usize, Client)| {
        std::thread::spawn(move || {
            let end = Instant::now() + Duration::from_secs_f64(seconds);
            let recorder = read_until(&client, end, caller as u128, Duration::ZERO);
            client.close();
            recorder
        })
    };
    let threads: Vec<_> = clients.into_iter().enumerate().map(start_caller).collect();
    let mut all = LoadRecorder::new();
    for thread in threads {
        all.add(&thread.join().map_err(|_| BenchmarkError::ClientPanicked)?);
    }
    Ok(all.finish(seconds))
}

/// Measures a polite client's reads, at most 100 a second, alone or beside a client that keeps so many calls open.
pub fn measure_beside_greedy(
    options: &Options,
    greedy_calls: usize,
    seconds: f64,
) -> Result<Measurement, BenchmarkError> {
    let polite = Client::open(options.clone(), OPEN_TIMEOUT)?;
    let end = Instant::now() + GREEDY_HEAD_START + Duration::from_secs_f64(seconds);
    let greedy = match greedy_calls {
        0 => None,
        call_count => Some(start_greedy(options, call_count, end)?),
    };
    std::thread::sleep(GREEDY_HEAD_START);
    let recorder = read_until(&polite, end, POLITE_SEED, POLITE_PAUSE);
    if let Some(greedy) = greedy {
        _ = greedy.join();
    }
    polite.close();
    Ok(recorder.finish(seconds))
}

/// Reads one after the other, with a pause between.
fn read_until(client: &Client, end: Instant, seed: u128, pause: Duration) -> LoadRecorder {
    let mut random = oorandom::Rand64::new(seed);
    let mut recorder = LoadRecorder::new();
    while Instant::now() < end {
        let started = Instant::now();
        match client.read(draw_offset(&mut random), READ_BYTES) {
            Outcome::Done(_) => recorder.record_done(started.elapsed().as_micros() as u64),
            _ => recorder.record_not_done(),
        }
        if !pause.is_zero() {
            std::thread::sleep(pause);
        }
    }
    recorder
}

/// A client that keeps so many calls open.
fn start_greedy(
    options: &Options,
    call_count: usize,
    end: Instant,
) -> Result<JoinHandle<()>, BenchmarkError> {
    let options = Options { sessions: GREEDY_SESSIONS, max_calls: call_count, ..options.clone() };
    let client = Client::open(options, OPEN_TIMEOUT)?;
    Ok(std::thread::spawn(move || {
        let mut open_calls: VecDeque<Pending> = VecDeque::new();
        let mut random = oorandom::Rand64::new(GREEDY_SEED);
        while Instant::now() < end {
            while open_calls.len() < call_count {
                let offset = draw_offset(&mut random);
                open_calls.push_back(client.submit(Op::Read { offset, length: READ_BYTES }, None));
            }
            if let Some(oldest) = open_calls.pop_front() {
                oldest.wait();
            }
        }
        client.close();
    }))
}

fn draw_offset(random: &mut oorandom::Rand64) -> u64 {
    random.rand_range(0..POSITION_COUNT) * u64::from(READ_BYTES)
}
