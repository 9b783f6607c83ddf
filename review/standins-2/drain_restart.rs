//! Lists are pushed. A brick begins to drain, discovery goes down, and a host that was killed is started again during the outage, with
//! the list that it had last. The agent has the drain, and the brick that takes the shard over, since before the outage.

#[path = "common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const BRICKS: u32 = 3;
const GRACE_S: f64 = 0.5;
/// Every time limit is this much longer on sockets.
const SLACK_S: f64 = 0.05;
/// How long discovery is down.
const OUTAGE: Duration = Duration::from_secs(8);

fn main() {
    let stage = Stage::open("drain-restart");
    let record = stage.record.clone();
    let is_draining = Arc::new(AtomicBool::new(false));
    let arrived: Arc<Mutex<Vec<(f64, usize)>>> = Arc::default();
    let (drains, arrivals) = (is_draining.clone(), arrived.clone());
    let behaviour: Arc<Behaviour> = Arc::new(move |brick, host, request, stream| {
        if brick.name == "brick-0" && drains.load(Ordering::SeqCst) {
            arrivals.lock().unwrap().push((request.at, host));
            // A draining brick finishes what it holds and turns new requests away, unrun.
            return stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n").is_ok();
        }
        thread::sleep(Duration::from_millis(20));
        let body = data_of(request.target(), request.header("x-call-id").unwrap_or("-"));
        stream.write_all(&[answer_head(body.len(), "").as_bytes(), &body].concat()).is_ok()
    });
    let bricks: Vec<Arc<Brick>> = (0..BRICKS)
        .map(|shard| Brick::start(&record, &format!("brick-{shard}"), shard, 2, behaviour.clone()))
        .collect();
    let successor = Brick::start(&record, "brick-0b", 0, 2, behaviour.clone());
    let members = bricks.iter().map(|brick| Member::new(&format!("s-{}", brick.name), brick.addresses.clone(), brick.shard));
    let discovery = Discovery::start(&record, "north-room", 2, members.collect());
    let settings = Settings {
        hosts: 2,
        zone: "north-room".to_owned(),
        shards: BRICKS as usize,
        discovery: "push",
        peers: false,
        drain_grace_s: GRACE_S,
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
    let listens = [free_address(), free_address()];
    let start = |number: usize, known: &str| {
        let list = discovery.address(number);
        let configuration = settings.configuration(number, listens[number], list, known, &[]);
        stage.start_host(&format!("n{number}"), listens[number], list, &configuration)
    };
    let known = [discovery.complete(0), discovery.complete(1)];
    let (first, second) = (start(0, &known[0]), start(1, &known[1]));
    if !first.wait_ready(Duration::from_secs(30)) || !second.wait_ready(Duration::from_secs(30)) {
        record.say("a host was not ready in 30 s");
        stage.end(COULD_NOT_RUN);
    }
    // Clients use a host while it is ready.
    let in_use = Arc::new([AtomicBool::new(true), AtomicBool::new(true)]);
    let over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..2)
        .map(|number| {
            let (pool, record) = (Pool::new(listens[number]), record.clone());
            let (in_use, over, served) = (in_use.clone(), over.clone(), served.clone());
            thread::spawn(move || clients_of(number, &pool, &record, &in_use[number], &over, &served))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    in_use[0].store(false, Ordering::SeqCst);
    record.say("host n0 is killed");
    let known_last = discovery.complete(0);
    first.kill();
    thread::sleep(Duration::from_millis(500));
    is_draining.store(true, Ordering::SeqCst);
    let mut entry = Member::new("s-brick-0b", successor.addresses.clone(), 0);
    entry.up_since_ms = unix_ms();
    discovery.add(entry);
    discovery.change("s-brick-0", |member| member.phase = "Terminating");
    let told_others = record.now();
    thread::sleep(Duration::from_millis(1000));
    if trouble() {
        discovery.set_down(true);
    }
    thread::sleep(Duration::from_millis(500));
    let started = record.now();
    let again = start(0, &known_last);
    let is_ready = again.wait_ready(Duration::from_secs(10));
    record.say(&format!("host n0 is ready again: {is_ready}, {:.2} s after its start", record.now() - started));
    in_use[0].store(is_ready, Ordering::SeqCst);
    thread::sleep(OUTAGE.saturating_sub(Duration::from_secs_f64(record.now() - started + 0.5)));
    if trouble() {
        discovery.set_down(false);
    }
    thread::sleep(Duration::from_secs(2));
    in_use[0].store(again.wait_ready(Duration::from_secs(10)), Ordering::SeqCst);
    thread::sleep(Duration::from_secs(2));
    over.store(true, Ordering::SeqCst);
    for client in clients {
        _ = client.join();
    }
    let told = [started, told_others];
    let mut late = [0u64; 2];
    for (at, host) in arrived.lock().unwrap().iter() {
        let after = at - told[*host];
        if after > GRACE_S + SLACK_S {
            late[*host] += 1;
            let text = format!("host n{host} sent a request to the draining brick {after:.3} s after it counted as told");
            if late[*host] == 1 { record.say(&text) } else { record.line(&text) }
        }
    }
    record.say(&format!("requests to the draining brick after the grace: {} of n0, {} of n1; {} answers 200", late[0], late[1], served.load(Ordering::SeqCst)));
    if served.load(Ordering::SeqCst) == 0 {
        stage.end(COULD_NOT_RUN);
    }
    stage.end(if late[0] + late[1] > 0 { RULE_BROKEN } else { RULE_HELD })
}

/// Sends requests through one host, 30 a second.
fn clients_of(number: usize, pool: &Arc<Pool>, record: &Arc<Record>, in_use: &AtomicBool, over: &AtomicBool, served: &Arc<AtomicU64>) {
    let mut count = 0u64;
    let mut running = Vec::new();
    while !over.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(33));
        if !in_use.load(Ordering::SeqCst) {
            continue;
        }
        count += 1;
        let ask = Ask {
            id: fresh_id(),
            class: "track-read".to_owned(),
            plan: "premium".to_owned(),
            volume: 0x3b4d60000 + count % 5,
            key: 0x7f3a_0000_0000_0000 + count,
            budget_ms: 1500,
            units: 2,
            shard: (count % u64::from(BRICKS)) as i64,
            hosts: 2,
            write: None,
        };
        let (pool, record, served) = (pool.clone(), record.clone(), served.clone());
        let send = move || {
            record.line(&format!("client to host {number}: id={} shard={}", ask.id, ask.shard));
            let end = pool.ask(&ask, Duration::from_millis(500));
            let text = match &end {
                End::Answer(status, _) => status.to_string(),
                End::None(why) => why.clone(),
            };
            served.fetch_add(u64::from(matches!(end, End::Answer(200, _))), Ordering::SeqCst);
            record.line(&format!("host {number} to client: id={} -> {text}", ask.id));
        };
        running.push(thread::Builder::new().stack_size(128 * 1024).spawn(send).unwrap());
    }
    for client in running {
        _ = client.join();
    }
}
