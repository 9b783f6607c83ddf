//! A host process at the smallest limits that the platform's pages allow, under hostile clients.
//!
//! CI runs a short soak. A long one, with another seed: `TACKMAST_SOAK_SECS=1800 TACKMAST_SOAK_SEED=2 cargo test --release -p tackmast-cli
//! --test hostile_clients -- --nocapture`.

#[path = "hostile/clients.rs"]
mod clients;
#[path = "hostile/cluster.rs"]
mod cluster;

use clients::{run_attack, run_usual_client, Attack, Closed, ClosedClient, Measured};
use cluster::{Cluster, NodeBehaviour, DESCRIPTORS, MEMORY_MB};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Duration of the soak in CI, in seconds.
const SOAK_SECS: u64 = 60;
/// Duration of one mixture of attacks.
const STAGE: Duration = Duration::from_secs(5);
/// Number of different attacks beside each other.
const ATTACKS_PER_STAGE: usize = 4;
/// Maximum number of clients of one attack.
const MAX_CLIENTS_PER_ATTACK: u32 = 50;
/// Number of usual clients.
const USUAL_CLIENTS: usize = 4;
/// The time after its client's close in which an attempt may still begin: 0.1 s, and 50 ms on sockets.
const ATTEMPT_AFTER_CLOSE: Duration = Duration::from_millis(150);
/// Stack size of a client's thread.
const CLIENT_STACK_BYTES: usize = 256 * 1024;

/// A mixture of hostile clients that runs until it is dropped.
struct Stage {
    ends: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Stage {
    fn start(cluster: &Cluster, attacks: &[(Attack, u32)], closed: &Closed) -> Stage {
        let ends = Arc::new(AtomicBool::new(false));
        let mut clients = Vec::new();
        for (attack, count) in attacks.iter().copied() {
            for _ in 0..count {
                let (ends, closed, host) = (ends.clone(), closed.clone(), cluster.address);
                let run = move || run_attack(attack, host, &ends, &closed);
                let thread = std::thread::Builder::new().stack_size(CLIENT_STACK_BYTES);
                clients.push(thread.spawn(run).unwrap());
            }
        }
        Stage { ends, clients }
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        self.clients.drain(..).for_each(|client| _ = client.join());
    }
}

fn number_from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().expect(name))
}

fn draw_attacks(random: &mut oorandom::Rand32) -> Vec<(Attack, u32)> {
    let mut drawn: Vec<(Attack, u32)> = Vec::new();
    while drawn.len() < ATTACKS_PER_STAGE {
        let attack = Attack::ALL[random.rand_range(0..Attack::ALL.len() as u32) as usize];
        if drawn.iter().all(|(other, _)| *other != attack) {
            drawn.push((attack, 1 + random.rand_range(0..MAX_CLIENTS_PER_ATTACK)));
        }
    }
    drawn
}

/// Returns how long after its client's close the latest attempt began, of the clients for which `counts` returns `true`.
fn latest_attempt_after_close(
    cluster: &Cluster,
    closed: &Closed,
    counts: impl Fn(&ClosedClient) -> bool,
) -> Duration {
    let received = cluster.received.lock().unwrap();
    let after_close = |client: &ClosedClient| {
        let last = received.get(&client.request_id)?.iter().max()?;
        last.checked_duration_since(client.closed_at)
    };
    let closed = closed.lock().unwrap();
    closed.iter().filter(|client| counts(client)).filter_map(after_close).max().unwrap_or_default()
}

/// Guards against attempts for clients that have left: they send a request and 6 MB behind it and close, beside others that keep the host
/// busy, so that their systems still hold a part of it and the close when the host has read all that has arrived.
#[test]
fn no_attempt_begins_late_after_a_close_behind_many_bytes() {
    let behaviour = NodeBehaviour { delay: Duration::from_millis(2), body_bytes: 60_000, stalls: false };
    let (cluster, closed) = (Cluster::start(behaviour), Closed::default());
    let attacks = [
        (Attack::CloseBehindManyBytes, 36),
        (Attack::CloseWithLongDeadline, 35),
        (Attack::HalfChunked, 18),
        (Attack::ShortFieldsHalfBody, 32),
    ];
    let stage = Stage::start(&cluster, &attacks, &closed);
    std::thread::sleep(3 * STAGE);
    drop(stage);
    let latest = latest_attempt_after_close(&cluster, &closed, |_| true);
    let count = closed.lock().unwrap().len();
    assert!(
        latest <= ATTEMPT_AFTER_CLOSE,
        "an attempt began {latest:?} after its client's close, of {count}"
    );
}

/// Guards against a host that is killed for its memory, leaves usual clients without an answer, runs an id twice, or sends requests of
/// clients that have left, while hostile clients of any kind, beside each other, do what they can.
#[test]
#[cfg_attr(debug_assertions, ignore = "the limit on memory is that of a release build, which CI tests apart")]
fn host_keeps_its_limits_and_its_rules_beside_hostile_clients() {
    let seed = number_from_environment("TACKMAST_SOAK_SEED", 1);
    let soak = Duration::from_secs(number_from_environment("TACKMAST_SOAK_SECS", SOAK_SECS));
    println!("seed {seed}, {} s", soak.as_secs());
    let mut random = oorandom::Rand32::new(seed);
    let behaviour =
        NodeBehaviour { delay: Duration::from_millis(2), body_bytes: 60_000, stalls: seed.is_multiple_of(2) };
    let cluster = Cluster::start(behaviour);
    let (ends, measured, closed) = (Arc::new(AtomicBool::new(false)), Arc::default(), Closed::default());
    let usual_client = |_| {
        let (ends, measured, host) = (ends.clone(), Arc::clone(&measured), cluster.address);
        std::thread::spawn(move || run_usual_client(host, &ends, &measured))
    };
    let usual_clients: Vec<JoinHandle<()>> = (0..USUAL_CLIENTS).map(usual_client).collect();
    let since = Instant::now();
    let (mut max_descriptors, mut max_memory_kb) = (0, 0);
    while since.elapsed() < soak {
        let attacks = draw_attacks(&mut random);
        let stage = Stage::start(&cluster, &attacks, &closed);
        std::thread::sleep(STAGE);
        max_descriptors = max_descriptors.max(cluster.descriptors());
        let memory_kb = cluster.memory_kb();
        println!("{:3} s: {memory_kb:?} KB, {attacks:?}", since.elapsed().as_secs());
        drop(stage);
        max_memory_kb =
            max_memory_kb.max(memory_kb.unwrap_or_else(|| panic!("seed {seed}: the host has ended")));
    }
    ends.store(true, Ordering::Relaxed);
    usual_clients.into_iter().for_each(|client| client.join().unwrap());
    let peak_kb = cluster.peak_memory_kb().expect("the host runs").max(max_memory_kb);
    // Those of `CloseBehindManyBytes` have a test of their own.
    let closed_at_once = |client: &ClosedClient| client.attack != Attack::CloseBehindManyBytes;
    let latest = latest_attempt_after_close(&cluster, &closed, closed_at_once);
    let measured: Measured = Mutex::lock(&measured).unwrap().clone();
    let run_twice = cluster.ids_run_twice();
    println!("peak {peak_kb} KB, {max_descriptors} descriptors, latest attempt {latest:?} after a close, {measured:?}");
    assert!(peak_kb <= MEMORY_MB * 1024, "seed {seed}: {peak_kb} KB");
    assert!(max_descriptors <= DESCRIPTORS, "seed {seed}: {max_descriptors} descriptors");
    assert!(run_twice.is_empty(), "seed {seed}: run twice: {run_twice:?}");
    assert!(
        latest <= ATTEMPT_AFTER_CLOSE,
        "seed {seed}: an attempt began {latest:?} after its client's close"
    );
    assert_eq!(measured.unanswered, 0, "seed {seed}: {measured:?}");
    assert!(measured.answered_200 > 0, "seed {seed}: {measured:?}");
}
