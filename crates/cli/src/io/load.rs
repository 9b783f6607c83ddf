//! `tackmast io load`: reads and writes at random places, at a rate that does not follow the answers.

use super::error::IoError;
use hdrhistogram::{CreationError, Histogram};
use std::io::IsTerminal;
use std::time::{Duration, Instant};
use tackmast_client::{Client, Op, Outcome, Pending};

/// Largest rate, in calls a second.
const MAX_RATE: f64 = 1e6;
/// Longest load, in seconds.
const MAX_SECONDS: f64 = 3600.0;
/// How often progress is shown on a terminal.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// How long the loop sleeps between two looks at its calls.
const POLL_INTERVAL: Duration = Duration::from_micros(200);
/// Significant figures of recorded latencies.
const LATENCY_FIGURES: u8 = 3;

/// Arguments of `tackmast io load`, but for the volume.
#[derive(clap::Args)]
pub(crate) struct LoadArguments {
    /// Calls a second; they arrive at random times, whatever becomes of those before.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// Length of the load in seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Fraction of the calls that read.
    #[arg(long, default_value_t = 0.7)]
    reads: f64,
    /// Blocks of one call.
    #[arg(long, default_value_t = 8)]
    blocks: u32,
    /// Seed of the arrival times and places.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl LoadArguments {
    /// Refuses a rate and a length that are out of bounds.
    pub(super) fn check(&self) -> Result<(), IoError> {
        let LoadArguments { rate, seconds, .. } = *self;
        match rate > 0.0 && rate <= MAX_RATE && seconds > 0.0 && seconds <= MAX_SECONDS {
            true => Ok(()),
            false => Err(IoError::Load { rate, seconds }),
        }
    }
}

/// Runs a load, and prints its figures.
pub(super) fn run(client: &Client, arguments: &LoadArguments) -> Result<(), IoError> {
    let mut generator = CallGenerator::new(client, arguments)?;
    let mut figures = Figures::new()?;
    let mut in_flight: Vec<InFlight> = Vec::new();
    let start = Instant::now();
    let end = start + Duration::from_secs_f64(arguments.seconds);
    let (mut next, mut last_shown) = (start, start);
    let is_terminal = std::io::stderr().is_terminal();
    while Instant::now() < end || !in_flight.is_empty() {
        let now = Instant::now();
        // A call counts from its arrival time, even where this loop is late.
        while next <= now && next < end {
            in_flight.push(InFlight { arrival: next, pending: client.submit(generator.call(), None) });
            next += generator.interval();
        }
        in_flight.retain(|call| match call.pending.poll() {
            None => true,
            Some(outcome) => {
                figures.record(&outcome, call.arrival.elapsed());
                false
            }
        });
        if is_terminal && last_shown.elapsed() > PROGRESS_INTERVAL {
            last_shown = Instant::now();
            figures.show_progress(start.elapsed(), in_flight.len());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    if is_terminal {
        eprintln!();
    }
    figures.print(arguments.seconds);
    Ok(())
}

/// A call that has no answer yet.
struct InFlight {
    /// When the call was due.
    arrival: Instant,
    pending: Pending,
}

/// Draws calls and the times between them.
struct CallGenerator {
    random: oorandom::Rand64,
    rate: f64,
    read_fraction: f64,
    /// Size of a block in bytes.
    block_bytes: u32,
    /// Size of a call in bytes.
    call_bytes: u32,
    /// Blocks at which a call may start.
    start_blocks: u64,
}

impl CallGenerator {
    fn new(client: &Client, arguments: &LoadArguments) -> Result<Self, IoError> {
        let volume = client.volume();
        let blocks = arguments.blocks.max(1);
        let call_bytes = blocks.saturating_mul(volume.block_bytes);
        if call_bytes > volume.max_bytes || u64::from(call_bytes) > volume.bytes {
            return Err(IoError::Blocks { blocks, max_bytes: volume.max_bytes });
        }
        Ok(CallGenerator {
            random: oorandom::Rand64::new(u128::from(arguments.seed)),
            rate: arguments.rate,
            read_fraction: arguments.reads.clamp(0.0, 1.0),
            block_bytes: volume.block_bytes,
            call_bytes,
            start_blocks: (volume.bytes - u64::from(call_bytes)) / u64::from(volume.block_bytes) + 1,
        })
    }

    fn call(&mut self) -> Op {
        let offset = self.random.rand_range(0..self.start_blocks) * u64::from(self.block_bytes);
        if self.random.rand_float() < self.read_fraction {
            return Op::Read { offset, length: self.call_bytes };
        }
        let byte = self.random.rand_u64() as u8;
        Op::Write { offset, data: vec![byte; self.call_bytes as usize].into() }
    }

    /// The time until the next call: exponentially distributed, so that arrivals are a Poisson process.
    fn interval(&mut self) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.random.rand_float()).ln() / self.rate)
    }
}

/// What became of the calls.
struct Figures {
    done: u64,
    rejected: u64,
    failed: u64,
    invalid: u64,
    /// Latencies of the calls that were done, in microseconds.
    latencies: Histogram<u64>,
}

impl Figures {
    fn new() -> Result<Self, CreationError> {
        let latencies = Histogram::new(LATENCY_FIGURES)?;
        Ok(Figures { done: 0, rejected: 0, failed: 0, invalid: 0, latencies })
    }

    fn record(&mut self, outcome: &Outcome, latency: Duration) {
        match outcome {
            Outcome::Done(_) => {
                self.done += 1;
                _ = self.latencies.record(latency.as_micros().max(1) as u64);
            }
            Outcome::Rejected { .. } => self.rejected += 1,
            Outcome::Failed => self.failed += 1,
            Outcome::InvalidRequest(_) => self.invalid += 1,
        }
    }

    /// Writes the line of progress over the one before.
    fn show_progress(&self, elapsed: Duration, in_flight: usize) {
        let elapsed_s = elapsed.as_secs_f64();
        let done_per_s = self.done as f64 / elapsed_s;
        let Figures { rejected, failed, invalid, .. } = self;
        eprint!(
            "\r{elapsed_s:5.1} s  {done_per_s:8.0} done/s  {in_flight} in flight  {rejected} rejected  {failed} failed  {invalid} invalid  "
        );
    }

    fn print(&self, seconds: f64) {
        let Figures { done, rejected, failed, invalid, .. } = self;
        println!("{done} done, {rejected} rejected, {failed} failed, {invalid} invalid in {seconds} s");
        let latency_ms = |quantile| self.latencies.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "latency of done calls: median {:.2} ms, p99 {:.2} ms, max {:.2} ms",
            latency_ms(0.5),
            latency_ms(0.99),
            latency_ms(1.0)
        );
    }
}
