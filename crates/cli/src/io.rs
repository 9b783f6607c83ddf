//! `tackmast io`: the client libraries at work, over either protocol.

use hdrhistogram::Histogram;
use std::collections::VecDeque;
use std::io::{IsTerminal, Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use tackmast_client::{Client, Op, Options, Outcome, Protocol};

/// Bytes of one call of a copy.
const PIECE: u32 = 256 << 10;
/// Commands that are open at the same time.
const OPEN: usize = 16;
/// Longest load, in seconds.
const LONGEST: f64 = 3600.0;

#[derive(Clone, Copy, Debug, clap::ValueEnum)]
enum ProtocolName {
    Iscsi,
    Nbd,
}

/// The volume that is used, and how it is reached.
#[derive(clap::Args)]
pub struct Volume {
    /// Where the gateway listens for this protocol.
    #[arg(long)]
    address: SocketAddr,
    #[arg(long, value_enum, default_value_t = ProtocolName::Iscsi)]
    protocol: ProtocolName,
    /// LUN of the volume, over iSCSI.
    #[arg(long, default_value_t = 0)]
    lun: u32,
    /// Name of the volume, over NBD.
    #[arg(long, default_value = "")]
    volume: String,
    #[arg(long, default_value = "iqn.2026-12.org.tackmast:pool")]
    target: String,
    #[arg(long, default_value_t = 2)]
    sessions: usize,
    /// Time for one call.
    #[arg(long, alias = "expiry", default_value = "3s")]
    timeout: humantime::Duration,
}

/// Arguments of `tackmast io`.
#[derive(clap::Subcommand)]
pub enum IoCommand {
    /// Reads bytes to standard output.
    Read {
        offset: u64,
        length: u64,
        #[command(flatten)]
        volume: Volume,
    },
    /// Writes standard input.
    Write {
        offset: u64,
        #[command(flatten)]
        volume: Volume,
    },
    /// Copies a file into the volume.
    Copy {
        file: PathBuf,
        #[arg(long, default_value_t = 0)]
        offset: u64,
        #[command(flatten)]
        volume: Volume,
    },
    /// Compares a file with what the volume holds.
    Verify {
        file: PathBuf,
        #[arg(long, default_value_t = 0)]
        offset: u64,
        #[command(flatten)]
        volume: Volume,
    },
    /// Reads and writes at random places at a set pace, for a set time; overwrites what is there.
    Load {
        /// Calls a second; they come on their own clock, whatever becomes of those before.
        #[arg(long, default_value_t = 100.0)]
        rate: f64,
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        /// Part of the calls that read.
        #[arg(long, default_value_t = 0.7)]
        reads: f64,
        /// Blocks of one call.
        #[arg(long, default_value_t = 8)]
        blocks: u32,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[command(flatten)]
        volume: Volume,
    },
}

fn open(v: &Volume) -> Result<Client, String> {
    let protocol = match v.protocol {
        ProtocolName::Iscsi => Protocol::Iscsi,
        ProtocolName::Nbd => Protocol::Nbd,
    };
    let mut options = Options::new(protocol, v.address, &v.volume, v.lun);
    options.volume.target.clone_from(&v.target);
    options.sessions = v.sessions.clamp(1, 64);
    options.timeout = v.timeout.into();
    Client::open(options, Duration::from_secs(5)).map_err(|e| e.to_string())
}

/// The outcome of a call that has to be done for the command to go on.
fn done(o: Outcome, what: impl Fn() -> String) -> Result<bytes::Bytes, String> {
    match o {
        Outcome::Done(data) => Ok(data),
        Outcome::Rejected { retry_after } => {
            let when = retry_after.map_or(String::new(), |w| format!(", retry after {:.3} s", w.secs()));
            Err(format!("{}: rejected, it did not run{when}", what()))
        }
        Outcome::Failed => Err(format!("{}: failed, whether it ran is unknown", what())),
        Outcome::InvalidRequest(why) => Err(format!("{}: {why}", what())),
    }
}

/// Opens the volume, and does what the arguments ask for.
pub fn run(command: IoCommand) -> Result<ExitCode, String> {
    match command {
        IoCommand::Read { offset, length, volume } => {
            let mut out = std::io::stdout().lock();
            let client = open(&volume)?;
            read_all(&client, offset, length, |_, data| out.write_all(&data).map_err(|e| e.to_string()))?;
        }
        IoCommand::Write { offset, volume } => {
            let client = open(&volume)?;
            let n = write_all(&client, offset, std::io::stdin().lock())?;
            eprintln!("{n} bytes written");
        }
        IoCommand::Copy { file, offset, volume } => {
            let from = std::fs::File::open(&file).map_err(|e| format!("{}: {e}", file.display()))?;
            let client = open(&volume)?;
            let n = write_all(&client, offset, from)?;
            eprintln!("{n} bytes copied");
        }
        IoCommand::Verify { file, offset, volume } => return verify(&file, offset, &volume),
        IoCommand::Load { rate, seconds, reads, blocks, seed, volume } => {
            if !(rate > 0.0 && rate <= 1e6 && seconds > 0.0 && seconds <= LONGEST) {
                return Err(format!(
                    "--rate {rate} --seconds {seconds}; expected up to 1000000, and up to {LONGEST}"
                ));
            }
            let client = open(&volume)?;
            load(&client, rate, seconds, reads.clamp(0.0, 1.0), blocks.max(1), seed)?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Whole blocks in pieces, several at a time, given on in order.
fn read_all(
    client: &Client,
    offset: u64,
    length: u64,
    mut take: impl FnMut(u64, bytes::Bytes) -> Result<(), String>,
) -> Result<(), String> {
    let piece = u64::from(PIECE.min(client.volume().max_bytes));
    let mut open = VecDeque::new();
    let (mut next, end) = (offset, offset + length);
    while next < end || !open.is_empty() {
        while next < end && open.len() < OPEN {
            let n = piece.min(end - next);
            open.push_back((next, client.submit(Op::Read { offset: next, length: n as u32 }, None)));
            next += n;
        }
        if let Some((at, pending)) = open.pop_front() {
            take(at, done(pending.wait(), || format!("read at {at}"))?)?;
        }
    }
    Ok(())
}

fn write_all(client: &Client, offset: u64, mut from: impl Read) -> Result<u64, String> {
    let block = client.volume().block_bytes as usize;
    let piece = PIECE.min(client.volume().max_bytes) as usize / block * block;
    let mut open: VecDeque<(u64, tackmast_client::Pending)> = VecDeque::new();
    let mut at = offset;
    loop {
        let mut data = Vec::with_capacity(piece);
        from.by_ref().take(piece as u64).read_to_end(&mut data).map_err(|e| format!("input: {e}"))?;
        let n = data.len();
        // The last block is filled up with zeroes: a volume knows whole blocks only.
        data.resize(n.next_multiple_of(block), 0);
        if n > 0 {
            open.push_back((at, client.submit(Op::Write { offset: at, data: data.into() }, None)));
        }
        at += n as u64;
        while open.len() >= OPEN || (n < piece && !open.is_empty()) {
            if let Some((at, pending)) = open.pop_front() {
                done(pending.wait(), || format!("write at {at}"))?;
            }
        }
        if n < piece {
            done(client.flush(), || "flush".into())?;
            return Ok(at - offset);
        }
    }
}

fn verify(file: &std::path::Path, offset: u64, volume: &Volume) -> Result<ExitCode, String> {
    let at = |e: std::io::Error| format!("{}: {e}", file.display());
    let mut from = std::fs::File::open(file).map_err(at)?;
    let length = from.metadata().map_err(at)?.len();
    let client = open(volume)?;
    let block = u64::from(client.volume().block_bytes);
    let mut wrong: Option<u64> = None;
    read_all(&client, offset, length.next_multiple_of(block), |place, data| {
        let mut expected = Vec::with_capacity(data.len());
        Read::take(&mut from, data.len() as u64).read_to_end(&mut expected).map_err(|e| e.to_string())?;
        let differs = expected.iter().zip(&data).position(|(a, b)| a != b);
        wrong = wrong.or(differs.map(|i| place - offset + i as u64));
        Ok(())
    })?;
    Ok(match wrong {
        None => {
            eprintln!("{length} bytes are the same");
            ExitCode::SUCCESS
        }
        Some(i) => {
            eprintln!("they differ from byte {i} on");
            ExitCode::from(1)
        }
    })
}

fn load(client: &Client, rate: f64, seconds: f64, reads: f64, blocks: u32, seed: u64) -> Result<(), String> {
    let v = client.volume();
    let bytes = blocks.saturating_mul(v.block_bytes);
    if bytes > v.max_bytes || u64::from(bytes) > v.bytes {
        return Err(format!("--blocks {blocks}; expected at most {} bytes a call", v.max_bytes));
    }
    let places = (v.bytes - u64::from(bytes)) / u64::from(v.block_bytes) + 1;
    let mut chance = oorandom::Rand64::new(u128::from(seed));
    let mut times = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    let mut counts = [0u64; 4]; // done, rejected, failed, invalid
    let mut open: Vec<(Instant, tackmast_client::Pending)> = Vec::new();
    let start = Instant::now();
    let until = start + Duration::from_secs_f64(seconds);
    let (mut next, mut shown) = (start, start);
    let live = std::io::stderr().is_terminal();
    while Instant::now() < until || !open.is_empty() {
        let now = Instant::now();
        // Calls are counted from when they should have begun, also where this loop is behind.
        while next <= now && next < until {
            let offset = chance.rand_range(0..places) * u64::from(v.block_bytes);
            let op = match chance.rand_float() < reads {
                true => Op::Read { offset, length: bytes },
                false => Op::Write { offset, data: vec![chance.rand_u64() as u8; bytes as usize].into() },
            };
            open.push((next, client.submit(op, None)));
            next += Duration::from_secs_f64(-(1.0 - chance.rand_float()).ln() / rate);
        }
        open.retain(|(began, pending)| match pending.poll() {
            None => true,
            Some(outcome) => {
                let i = match outcome {
                    Outcome::Done(_) => 0,
                    Outcome::Rejected { .. } => 1,
                    Outcome::Failed => 2,
                    Outcome::InvalidRequest(_) => 3,
                };
                counts[i] += 1;
                if i == 0 {
                    _ = times.record(began.elapsed().as_micros().max(1) as u64);
                }
                false
            }
        });
        if shown.elapsed() > Duration::from_millis(500) && live {
            shown = Instant::now();
            let [done, rejected, failed, invalid] = counts;
            let per_s = done as f64 / start.elapsed().as_secs_f64();
            eprint!(
                "\r{:5.1} s  {per_s:8.0} done/s  {} open  {rejected} rejected  {failed} failed  {invalid} invalid  ",
                start.elapsed().as_secs_f64(),
                open.len()
            );
        }
        std::thread::sleep(Duration::from_micros(200));
    }
    if live {
        eprintln!();
    }
    let [done, rejected, failed, invalid] = counts;
    println!("{done} done, {rejected} rejected, {failed} failed, {invalid} invalid in {seconds} s");
    let at = |q| times.value_at_quantile(q) as f64 / 1e3;
    println!(
        "answered after {:.2} ms at the median, {:.2} ms at p99, {:.2} ms at most",
        at(0.5),
        at(0.99),
        at(1.0)
    );
    Ok(())
}
