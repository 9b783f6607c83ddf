//! A project on a plan with a limit uses its hosts unevenly: through each host come the requests for data of another brick. The
//! sum that all hosts send for it during a surge is held up against the plan's limit.

#[path = "common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const HOSTS: usize = 3;
/// The plan's limit, its refill and its slack, scaled as `archive-grade` of houston-studio has them: 8 times the usual rate, 1.6 s of it
/// at once, and a slack of 10% or one of the largest requests.
const USUAL: f64 = 3.75;
const LIMIT: f64 = 30.0;
const AT_ONCE: f64 = 48.0;
const SLACK: f64 = 6.0;
const UNITS: u32 = 2;
const VOLUME: u64 = 0x3b4d60021;
/// The slack that sockets add: what the limit allows in 150 ms.
const SOCKET_SLACK_S: f64 = 0.15;
/// Usual traffic through all hosts to all bricks, then the same traffic in its uneven form, then a surge.
const EVEN_S: f64 = 8.0;
const SURGE_FROM_S: f64 = 40.0;
const SURGE_S: f64 = 12.0;

fn main() {
    let stage = Stage::open("uneven-limit");
    let record = stage.record.clone();
    let taken: Arc<Mutex<Vec<(f64, String, f64)>>> = Arc::default();
    let takes = taken.clone();
    let behaviour: Arc<Behaviour> = Arc::new(move |brick, host, request, stream| {
        let id = request.header("x-call-id").unwrap_or("-").to_owned();
        takes.lock().unwrap().push((request.at, id.clone(), f64::from(UNITS)));
        thread::sleep(Duration::from_millis(25));
        let others = brick.serve_units(path_of(request.target()).0, host, f64::from(UNITS));
        let delta = if others > 0.0 { format!("X-Delta: {others}\r\n") } else { String::new() };
        let body = data_of(request.target(), &id);
        let head = answer_head(body.len(), &format!("X-Load-Report: queue=0\r\n{delta}"));
        stream.write_all(&[head.as_bytes(), &body].concat()).is_ok()
    });
    let bricks: Vec<Arc<Brick>> = (0..HOSTS as u32)
        .map(|shard| Brick::start(&record, &format!("brick-{shard}"), shard, HOSTS, behaviour.clone()))
        .collect();
    let members = bricks.iter().map(|brick| Member::new(&format!("s-{}", brick.name), brick.addresses.clone(), brick.shard));
    let discovery = Discovery::start(&record, "houston-studio-a", HOSTS, members.collect());
    let settings = Settings {
        hosts: HOSTS,
        zone: "houston-studio-a".to_owned(),
        shards: HOSTS,
        discovery: "ask",
        peers: true,
        drain_grace_s: 1.0,
        cold_from: 0.28,
        cold_s: 15.0,
        cold_bears: 20.0,
        fall_s: 3.0,
        fall_multiple: 2.5,
        unit_mean: 2.0,
        largest: 6,
        max_attempts: 3,
        plans: format!(
            r#"[{{"ceiling_rate":{LIMIT:?},"floor_rate":1.9,"most_at_once":{AT_ONCE:?},"name":"archive-grade","proportion":1.0,"slack":{SLACK:?},"usual_rate":{USUAL:?},"worth_factor":0.96}},{{"ceiling_rate":0.0,"floor_rate":7.5,"most_at_once":0.0,"name":"production-grade","proportion":2.0,"slack":0.0,"usual_rate":7.5,"worth_factor":0.9}}]"#
        ),
        classes: r#"[{"effect":"repeatable","give_up":1.5,"group":"all","late_value":0.1,"name":"take-read","streamed":false,"target":0.3,"window":3.0,"worth":2.0}]"#.to_owned(),
        writes: "[false]",
        memory_mb: 192,
        sockets: 1024,
        cores: 1.0,
    };
    let peers: Vec<SocketAddr> = (0..HOSTS).map(|_| free_udp_address()).collect();
    let hosts: Vec<Host> = (0..HOSTS)
        .map(|host| {
            let (listen, list) = (free_address(), discovery.address(host));
            let known = discovery.complete(host);
            let configuration = settings.configuration(host, listen, list, &known, &peers);
            stage.start_host(&format!("n{host}"), listen, list, &configuration)
        })
        .collect();
    if !hosts.iter().all(|host| host.wait_ready(Duration::from_secs(30))) {
        record.say("a host was not ready in 30 s");
        stage.end(COULD_NOT_RUN);
    }
    let served = Arc::new(AtomicU64::new(0));
    let begin = record.now();
    let clients: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(number, host)| {
            let (pool, record, served) = (Pool::new(host.listen), record.clone(), served.clone());
            thread::spawn(move || clients_of(number, begin, &pool, &record, &served))
        })
        .collect();
    for client in clients {
        _ = client.join();
    }
    thread::sleep(Duration::from_secs(2));
    if let Some(host) = hosts.iter().find(|host| !host.is_running()) {
        record.say(&format!("host {} has ended", host.name));
    }
    let lowest = lowest_level(&taken.lock().unwrap(), &record);
    let allowed = -(SLACK + LIMIT * SOCKET_SLACK_S);
    let (served, sent) = (served.load(Ordering::SeqCst), taken.lock().unwrap().len());
    record.say(&format!("{sent} requests reached bricks, {served} were answered 200"));
    record.say(&format!("lowest level of the plan's store: {lowest:.1} units; allowed: {allowed:.1}"));
    if served == 0 {
        stage.end(COULD_NOT_RUN);
    }
    stage.end(if lowest < allowed { RULE_BROKEN } else { RULE_HELD })
}

/// Sends the requests that come through one host.
fn clients_of(number: usize, begin: f64, pool: &Arc<Pool>, record: &Arc<Record>, served: &Arc<AtomicU64>) {
    let mut count = 0u64;
    let mut running = Vec::new();
    loop {
        let at = record.now() - begin;
        if at >= SURGE_FROM_S + SURGE_S {
            break;
        }
        let in_surge = at >= SURGE_FROM_S;
        // A busy project, which asks for 3 times its rate, or 1.9 requests a second through each host. In the surge it is 19 times.
        let times = if in_surge { 19.0 } else { 3.0 };
        let pause_ms = (1000.0 * f64::from(UNITS) * HOSTS as f64 / (times * USUAL)) as u64;
        let is_uneven = trouble() && at >= EVEN_S;
        let shard = if is_uneven { number as i64 } else { ((count + number as u64) % HOSTS as u64) as i64 };
        let ask = Ask {
            id: fresh_id(),
            class: "take-read".to_owned(),
            plan: "archive-grade".to_owned(),
            volume: VOLUME,
            key: 0x7f3a_0000_0000_0000 + count * HOSTS as u64 + number as u64,
            budget_ms: 1500,
            units: UNITS,
            shard,
            hosts: HOSTS as u32,
            write: None,
        };
        count += 1;
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
        thread::sleep(Duration::from_millis(pause_ms));
    }
    for client in running {
        _ = client.join();
    }
}

/// Replays what reached the bricks against the store of the volume: it begins full, fills at the limit's rate, and the first arrival of
/// each request takes its units.
fn lowest_level(taken: &[(f64, String, f64)], record: &Record) -> f64 {
    let mut taken = taken.to_vec();
    taken.sort_by(|left, right| left.0.total_cmp(&right.0));
    let mut seen = std::collections::HashSet::new();
    let (mut level, mut last, mut lowest) = (AT_ONCE, 0.0, f64::MAX);
    for (at, id, units) in taken {
        if !seen.insert(id.clone()) {
            continue;
        }
        level = (level + LIMIT * (at - last)).min(AT_ONCE) - units;
        last = at;
        if level < lowest {
            lowest = level;
            record.line(&format!("the store is at {level:.2} units after id={id}, taken at {at:.6}"));
        }
    }
    lowest
}
