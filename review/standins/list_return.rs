//! Lists are pushed. Discovery is down for 8 s, into the start of a release: a brick begins to drain. What discovery has at its return
//! counts as told at once, so a host must send that brick nothing new once the grace of the drain is over.

#[path = "common.rs"]
mod common;

use common::*;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The grace of the drain (`guarantees.drain_grace`), and 50 ms that every limit is longer on sockets.
const GRACE_S: f64 = 0.25 + 0.05;
const HOSTS: u32 = 5;
/// The shard whose brick is replaced.
const SHARD: u32 = 4;

fn main() {
    let record_file = std::env::args().nth(1).unwrap_or_else(|| give_up("no record file"));
    let record = Record::new();
    let bricks: Vec<_> = (0..9).map(|cell| Brick::start(&record, &format!("s-{cell}"), cell, 0, 20)).collect();
    let members = bricks.iter().map(|brick| Member::of(brick, 1)).collect();
    let discovery = Discovery::start(&record, members, false);
    let mut platform = Platform::new(&record);
    let deployment = Deployment { hosts: HOSTS, shards: 9 };
    let hosts: Vec<_> = (0..HOSTS).map(|me| platform.start_host(&deployment, me, &discovery)).collect();

    // Through each host: six volumes of the shard whose brick is replaced, with the three classes each, 36 requests a second together;
    // and 20 reads a second of the other shards.
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for host in &hosts {
        for volume in 0..6u64 {
            for class in ["track-read", "track-write", "tour-export"] {
                clients.push(steady_client(&record, *host, 2.0, &stop, move |_| {
                    let (volume, body) = (0x400 + volume, if class == "track-write" { 200 } else { 0 });
                    let budget_ms = if class == "tour-export" { 7500 } else { 3000 };
                    Ask { class, plan: "standard", volume, shard: SHARD, units: 2, hosts: HOSTS, budget_ms, body }.request()
                }));
            }
        }
        clients.push(steady_client(&record, *host, 20.0, &stop, move |number| {
            let shard = [0, 1, 2, 3, 5, 6, 7, 8][(number % 8) as usize];
            let volume = 0x100 + u64::from(shard);
            Ask { class: "track-read", plan: "standard", volume, shard, units: 2, hosts: HOSTS, budget_ms: 3000, body: 0 }
                .request()
        }));
    }
    sleep_ms(3000);

    // Discovery is down for 8 s. The release begins one second before its return: the brick drains, its successor joins.
    if trouble() {
        discovery.set_down(true);
    }
    sleep_ms(7000);
    let successor = Brick::start(&record, "s-4b", SHARD, unix_ms(), 20);
    let begins = discovery.change(|members, revision| {
        for member in members.iter_mut().filter(|member| member.cell == SHARD) {
            (member.phase, member.revision) = ("Terminating", revision);
        }
        members.push(Member::of(&successor, revision));
    });
    bricks[SHARD as usize].draining.store(true, Ordering::SeqCst);
    record.add_at(begins, "brick s-4 begins to drain, s-4b has started in its place");
    let told_at = if trouble() {
        sleep_ms(1000);
        discovery.set_down(false)
    } else {
        begins
    };
    record.add_at(told_at, "the hosts count as told of the drain");
    sleep_ms(4000);
    stop.store(true, Ordering::SeqCst);
    let answers: Vec<_> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    let hosts_run = platform.all_run();
    platform.end();

    let late: Vec<f64> = record.attempts_at("s-4").into_iter().map(|at| at - told_at).filter(|late| *late > GRACE_S).collect();
    let last = late.iter().copied().fold(0.0, f64::max);
    if !late.is_empty() {
        record.add(format!("BROKEN: {} attempts began at s-4 after the grace, the last {last:.3} s after the hosts were told", late.len()));
    }
    let served = count(&answers, 200);
    record.add(format!("clients: {} requests, {served} served; hosts run: {hosts_run}", answers.len()));
    record.write(Path::new(&record_file));
    println!("clients: {} requests, {served} served; {} attempts after the grace, the last at {last:.3} s", answers.len(), late.len());
    if served * 2 < answers.len() || !hosts_run {
        give_up("the clients were not served");
    }
    std::process::exit(if late.is_empty() { HELD } else { BROKEN });
}
