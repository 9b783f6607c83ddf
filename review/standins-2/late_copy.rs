//! Bricks answer well, and send some answers a second time, some milliseconds late, when nothing else waits on the connection. Each
//! client compares the body that it gets with the data that it asked for.

#[path = "common.rs"]
mod common;

use common::*;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BRICKS: u32 = 3;
/// The zones of the site; the host is in the first one, the bricks are in the second.
const ROOMS: &str = "north-room\",\"center-room\",\"south-room";
const CLIENTS: u64 = 45;
const RUN_S: f64 = 90.0;
/// The time that a message takes one way, in milliseconds: the range between two rooms of san-antonio-depot (`cross_ms`).
const ONE_WAY_MS: (f64, f64) = (0.7, 1.3);
/// The work of a request.
const WORK: Duration = Duration::from_millis(15);
/// A copy that would be written later than planned by more than this is not written.
const HELD_UP: Duration = Duration::from_micros(200);
/// One in this many answers comes twice.
const ONE_IN: u64 = 3;
/// How late the second copy is sent.
const LATE_MS: (f64, f64) = (6.0, 10.0);

fn main() {
    let stage = Stage::open("late-copy");
    let record = stage.record.clone();
    let random = Arc::new(Mutex::new(Random::new(7)));
    let copies = Arc::new(AtomicU64::new(0));
    let counted = copies.clone();
    let behaviour: Arc<Behaviour> = Arc::new(move |brick, _, request, stream| {
        let (ways, is_copied, late) = {
            let mut random = random.lock().unwrap();
            let mut way = || Duration::from_secs_f64(random.between(ONE_WAY_MS.0, ONE_WAY_MS.1) / 1e3);
            let ways = [way(), way(), way()];
            let late = Duration::from_secs_f64(random.between(LATE_MS.0, LATE_MS.1) / 1e3);
            (ways, random.next() % ONE_IN == 0, late)
        };
        let id = request.header("x-call-id").unwrap_or("-").to_owned();
        let body = data_of(request.target(), &id);
        let answer = [answer_head(body.len(), "X-Load-Report: queue=0\r\n").as_bytes(), &body].concat();
        // The request's way here, the brick's work, and the answer's way back.
        sleep_until(Instant::now() + ways[0] + WORK + ways[1]);
        let answered_at = Instant::now() - ways[1];
        if stream.write_all(&answer).is_err() {
            return false;
        }
        if !trouble() || !is_copied {
            return true;
        }
        // The brick sends the copy at `answered_at + late` if nothing else waits on the connection: no request that the host wrote
        // earlier than its own way here before that time.
        let copy_at = answered_at + late;
        if !stays_quiet_until(stream, copy_at - ways[0]) {
            return true;
        }
        counted.fetch_add(1, Ordering::SeqCst);
        brick.record.line(&format!("{} sends the answer to id={id} again, {:.2} ms late", brick.name, late.as_secs_f64() * 1e3));
        sleep_until(copy_at + ways[2]);
        // If this process was held up, the copy would come later than the case allows.
        Instant::now() > copy_at + ways[2] + HELD_UP || stream.write_all(&answer).is_ok()
    });
    let bricks: Vec<Arc<Brick>> = (0..BRICKS)
        .map(|shard| Brick::start(&record, &format!("brick-{shard}"), shard, 1, behaviour.clone()))
        .collect();
    let members = bricks.iter().map(|brick| Member::new(&format!("s-{}", brick.name), brick.addresses.clone(), brick.shard));
    let discovery = Discovery::start(&record, "center-room", 1, members.collect());
    let settings = Settings {
        hosts: 1,
        zone: ROOMS.to_owned(),
        shards: BRICKS as usize,
        discovery: "push",
        peers: false,
        drain_grace_s: 0.5,
        cold_from: 0.18,
        cold_s: 14.0,
        cold_bears: 20.0,
        fall_s: 3.0,
        fall_multiple: 3.0,
        unit_mean: 2.0,
        largest: 8,
        max_attempts: 3,
        plans: r#"[{"ceiling_rate":0.0,"floor_rate":30.0,"most_at_once":0.0,"name":"premium","proportion":3.0,"slack":0.0,"usual_rate":30.0,"worth_factor":1.0}]"#.to_owned(),
        classes: r#"[{"effect":"repeatable","give_up":1.5,"group":"all","late_value":0.25,"name":"track-read","streamed":false,"target":0.25,"window":5.0,"worth":3.0}]"#.to_owned(),
        writes: "[false]",
        memory_mb: 192,
        sockets: 1024,
        cores: 1.0,
    };
    let (listen, list) = (free_address(), discovery.address(0));
    let configuration = settings.configuration(0, listen, list, &discovery.complete(0), &[]);
    let host = stage.start_host("n0", listen, list, &configuration);
    if !host.wait_ready(Duration::from_secs(30)) {
        record.say("the host was not ready in 30 s");
        stage.end(COULD_NOT_RUN);
    }
    let (good, foreign, other) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let pool = Pool::new(host.listen);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (pool, record) = (pool.clone(), record.clone());
            let (good, foreign, other) = (good.clone(), foreign.clone(), other.clone());
            thread::spawn(move || {
                let start = Instant::now();
                let mut count = 0u64;
                while start.elapsed().as_secs_f64() < RUN_S {
                    count += 1;
                    let ask = Ask {
                        id: fresh_id(),
                        class: "track-read".to_owned(),
                        plan: "premium".to_owned(),
                        volume: 0x3b4d60000 + client % 9,
                        key: 0x7f3a_0000_0000_0000 + count * CLIENTS + client,
                        budget_ms: 1500,
                        units: 2,
                        shard: ((count + client) % u64::from(BRICKS)) as i64,
                        hosts: 1,
                        write: None,
                    };
                    record.line(&format!("client: id={} GET {}", ask.id, ask.target()));
                    let end = pool.ask(&ask, Duration::from_millis(500));
                    let expected = data_of(&ask.target(), &ask.id);
                    match end {
                        End::Answer(200, body) if body == expected => {
                            good.fetch_add(1, Ordering::SeqCst);
                            record.line(&format!("client: id={} got its data", ask.id));
                        }
                        End::Answer(200, body) => {
                            let first = foreign.fetch_add(1, Ordering::SeqCst) == 0;
                            let text = format!(
                                "WRONG DATA: a client asked for `{}` and got 200 with `{}`",
                                String::from_utf8_lossy(&expected), String::from_utf8_lossy(&body)
                            );
                            if first { record.say(&text) } else { record.line(&text) }
                        }
                        end => {
                            other.fetch_add(1, Ordering::SeqCst);
                            record.line(&format!("id={} ended with {end:?}", ask.id));
                        }
                    }
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    for client in clients {
        _ = client.join();
    }
    let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    record.say(&format!(
        "{} answers with the data asked for, {} with other data, {} other ends; {} second copies sent",
        count(&good), count(&foreign), count(&other), count(&copies)
    ));
    if count(&good) == 0 || (trouble() && count(&copies) == 0) {
        stage.end(COULD_NOT_RUN);
    }
    stage.end(if count(&foreign) > 0 { RULE_BROKEN } else { RULE_HELD })
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Waits until `at`, and returns whether nothing came on the connection meanwhile and it is still open.
fn stays_quiet_until(stream: &TcpStream, at: Instant) -> bool {
    let left = at.saturating_duration_since(Instant::now()).max(Duration::from_micros(1));
    _ = stream.set_read_timeout(Some(left));
    let is_quiet = matches!(stream.peek(&mut [0; 1]), Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut));
    _ = stream.set_read_timeout(None);
    is_quiet
}
