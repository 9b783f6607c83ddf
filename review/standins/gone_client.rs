//! Bad clients send much at once and go. An attempt for such a client must not begin more than 0.1 s after its close.

#[path = "common.rs"]
mod common;

use common::*;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An attempt may begin this long after its client's close (0.1 s), and every limit on sockets is 50 ms longer.
const GRACE_S: f64 = 0.1 + 0.05;
/// Requests that a bad client sends at once, and the length of the body of each.
const AT_ONCE: usize = 700;
const BODY: usize = 2000;
const BAD_CLIENTS: u64 = 6;

fn main() {
    let record_file = std::env::args().nth(1).unwrap_or_else(|| give_up("no record file"));
    let record = Record::new();
    let bricks: Vec<_> = (0..9).map(|cell| Brick::start(&record, &format!("s-{cell}"), cell, 0, 20)).collect();
    let members = bricks.iter().map(|brick| Member::of(brick, 1)).collect();
    let discovery = Discovery::start(&record, members, false);
    let mut platform = Platform::new(&record);
    let deployment = Deployment { hosts: 2, shards: 9 };
    let hosts: Vec<_> = (0..2).map(|me| platform.start_host(&deployment, me, &discovery)).collect();

    // The usual clients: 20 reads a second through each host.
    let stop = Arc::new(AtomicBool::new(false));
    let usual: Vec<_> = hosts
        .iter()
        .map(|host| {
            steady_client(&record, *host, 20.0, &stop, |number| {
                let shard = (number % 9) as u32;
                let volume = 0x100 + number % 9;
                Ask { class: "track-read", plan: "standard", volume, shard, units: 2, hosts: 2, budget_ms: 3000, body: 0 }
                    .request()
            })
        })
        .collect();
    sleep_ms(2000);

    // The bad clients: each connects, sends its requests at once (a volume of its own under the plan with a limit), and closes 40 ms
    // after it began, whether or not all bytes were taken. Without the disruption it sends only the first request before it closes.
    let gone: Arc<Mutex<Vec<(String, f64)>>> = Arc::default();
    let at_once = if trouble() { AT_ONCE } else { 1 };
    for number in 0..BAD_CLIENTS {
        let requests: Vec<Request> = (0..at_once)
            .map(|_| {
                Ask {
                    class: "track-write",
                    plan: "basic",
                    volume: 0x900 + number,
                    shard: (number % 9) as u32,
                    units: 6,
                    hosts: 2,
                    budget_ms: 3000,
                    body: BODY,
                }
                .request()
            })
            .collect();
        let bytes: Vec<u8> = requests.iter().flat_map(|request| request.bytes.clone()).collect();
        let began = Instant::now();
        let Ok(mut stream) = TcpStream::connect(hosts[(number % 2) as usize]) else { give_up("a host refuses") };
        _ = stream.set_nodelay(true);
        _ = stream.set_nonblocking(true);
        record.add(format!("bad client {number} sends {at_once} requests, {} bytes, the first {}", bytes.len(), requests[0].id));
        let mut sent = 0;
        while sent < bytes.len() && began.elapsed() < Duration::from_millis(40) {
            match stream.write(&bytes[sent..]) {
                Ok(len) => sent += len,
                Err(error) if error.kind() == ErrorKind::WouldBlock => sleep_ms(1),
                Err(_) => break,
            }
        }
        std::thread::sleep(Duration::from_millis(40).saturating_sub(began.elapsed()));
        drop(stream);
        let at = record.add(format!("bad client {number} has closed, {sent} bytes were taken from it"));
        gone.lock().unwrap().extend(requests.into_iter().map(|request| (request.id, at)));
        sleep_ms(1500);
    }
    sleep_ms(4000);
    stop.store(true, Ordering::SeqCst);
    let answers: Vec<_> = usual.into_iter().flat_map(|client| client.join().unwrap()).collect();
    let hosts_run = platform.all_run();
    platform.end();

    let gone = gone.lock().unwrap().clone();
    let mut breaks = 0;
    for (at, id) in record.attempts() {
        if let Some((_, closed_at)) = gone.iter().find(|(gone, _)| *gone == id) {
            if at > closed_at + GRACE_S {
                breaks += 1;
                let late = at - closed_at;
                record.add(format!("BROKEN: the attempt of {id} began {late:.3} s after its client's close"));
            }
        }
    }
    let served = count(&answers, 200);
    record.add(format!("usual clients: {} requests, {served} served; hosts run: {hosts_run}; breaks: {breaks}", answers.len()));
    record.write(Path::new(&record_file));
    println!("usual clients: {} requests, {served} served; attempts for gone clients: {breaks}", answers.len());
    if served * 10 < answers.len() * 9 || !hosts_run {
        give_up("the usual clients were not served");
    }
    std::process::exit(if breaks > 0 { BROKEN } else { HELD });
}
