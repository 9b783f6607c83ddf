//! Some answers of the bricks are spoilt: the length that they say does not fit their body, which is longer. Each client compares the
//! body that it gets with the data that the brick has for its request.

#[path = "common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BRICKS: u32 = 3;
/// The zones of the site; the host is in the first one, the bricks are in the second.
const ROOMS: &str = "north-room\",\"center-room\",\"south-room";
const CLIENTS: u64 = 45;
const RUN_S: f64 = 20.0;
/// The work of a request.
const WORK: Duration = Duration::from_millis(15);
/// One in this many answers is spoilt.
const ONE_IN: u64 = 10;

fn main() {
    let stage = Stage::open("short-length");
    let record = stage.record.clone();
    let random = Arc::new(Mutex::new(Random::new(7)));
    let spoilt = Arc::new(AtomicU64::new(0));
    let counted = spoilt.clone();
    let behaviour: Arc<Behaviour> = Arc::new(move |brick, _, request, stream| {
        thread::sleep(WORK);
        let is_spoilt = trouble() && random.lock().unwrap().next() % ONE_IN == 0;
        let id = request.header("x-call-id").unwrap_or("-").to_owned();
        let body = data_of(request.target(), &id);
        let length = if is_spoilt { body.len() / 2 } else { body.len() };
        if is_spoilt {
            counted.fetch_add(1, Ordering::SeqCst);
            brick.record.line(&format!("{} answers id={id} with {} bytes and says that they are {length}", brick.name, body.len()));
        }
        stream.write_all(&[answer_head(length, "X-Load-Report: queue=0\r\n").as_bytes(), &body].concat()).is_ok()
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
        "{} answers with the data asked for, {} with other data, {} other ends; {} spoilt answers",
        count(&good), count(&foreign), count(&other), count(&spoilt)
    ));
    if count(&good) == 0 || (trouble() && count(&spoilt) == 0) {
        stage.end(COULD_NOT_RUN);
    }
    stage.end(if count(&foreign) > 0 { RULE_BROKEN } else { RULE_HELD })
}
