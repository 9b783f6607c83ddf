//! Some bad clients send the same request again as soon as it is turned away, at full speed. The usual clients must still get their
//! final answers: at the latest half a second after their time is up.

#[path = "common.rs"]
mod common;

use common::*;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

const BAD_CLIENTS: u64 = 40;
const FLOOD_S: u64 = 30;

fn main() {
    let record_file = std::env::args().nth(1).unwrap_or_else(|| give_up("no record file"));
    let record = Record::new();
    let bricks: Vec<_> = (0..9).map(|cell| Brick::start(&record, &format!("s-{cell}"), cell, 0, 20)).collect();
    let members = bricks.iter().map(|brick| Member::of(brick, 1)).collect();
    let discovery = Discovery::start(&record, members, false);
    let mut platform = Platform::new(&record);
    let deployment = Deployment { hosts: 2, shards: 9 };
    let hosts: Vec<_> = (0..2).map(|me| platform.start_host(&deployment, me, &discovery)).collect();

    // The usual clients: eight connections to each host, five reads a second on each.
    let stop = Arc::new(AtomicBool::new(false));
    let mut usual = Vec::new();
    for host in &hosts {
        for client in 0..8u64 {
            usual.push(steady_client(&record, *host, 5.0, &stop, move |number| {
                let shard = ((number + client) % 9) as u32;
                let volume = 0x100 + u64::from(shard);
                Ask { class: "track-read", plan: "standard", volume, shard, units: 2, hosts: 2, budget_ms: 3000, body: 0 }
                    .request()
            }));
        }
    }
    sleep_ms(2000);

    // The bad clients, all at the first host. Each asks for one piece of data with very little time left, reads the answer, and sends
    // the same again under a fresh id. Without the disruption, each sends its request twenty times a second.
    let turned_away = Arc::new(AtomicU64::new(0));
    let mut bad = Vec::new();
    for client in 0..BAD_CLIENTS {
        let (turned_away, stop, host, floods) = (turned_away.clone(), stop.clone(), hosts[0], trouble());
        bad.push(std::thread::spawn(move || {
            let mut stream: Option<TcpStream> = None;
            while !stop.load(Ordering::SeqCst) {
                let Some(mut open) = stream.take().or_else(|| TcpStream::connect(host).ok()) else { continue };
                let ask = Ask {
                    class: "track-read",
                    plan: "standard",
                    volume: 0x900,
                    shard: 7,
                    units: 2,
                    hosts: 2,
                    budget_ms: 3,
                    body: 0,
                };
                let request = ask.request_for(0xaa);
                if let Some(answer) = exchange(&mut open, &request.bytes, 10.0) {
                    turned_away.fetch_add(u64::from(answer.status() == 503), Ordering::SeqCst);
                    stream = Some(open);
                }
                if !floods {
                    sleep_ms(50 + client % 7);
                }
            }
        }));
    }
    for _ in 0..FLOOD_S {
        sleep_ms(1000);
        record.add(format!("bad clients: {} requests turned away so far", turned_away.load(Ordering::SeqCst)));
    }
    stop.store(true, Ordering::SeqCst);
    let answers: Vec<_> = usual.into_iter().flat_map(|client| client.join().unwrap()).collect();
    let hosts_run = platform.all_run();
    platform.end();

    let lost = count(&answers, 0);
    let served = count(&answers, 200);
    let longest = record.longest_answer();
    if lost > 0 {
        record.add(format!("BROKEN: {lost} requests had no answer {ANSWER_SLACK_S} s after their time"));
    }
    record.add(format!("usual clients: {} requests, {served} served, {lost} lost; longest {longest:.3} s; hosts run: {hosts_run}", answers.len()));
    record.write(Path::new(&record_file));
    println!("usual clients: {} requests, {served} served, {lost} lost; the longest wait {longest:.3} s", answers.len());
    if served * 10 < answers.len() || !hosts_run {
        give_up("the usual clients were not served");
    }
    std::process::exit(if lost > 0 { BROKEN } else { HELD });
}
