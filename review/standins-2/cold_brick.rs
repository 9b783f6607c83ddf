//! Two hundred and forty hosts. A brick crashes and comes back cold. It warms by the requests that it serves, and gets few of them
//! until a burst comes. The brick counts what reaches it against what the settings allow at its capacity of the moment.

#[path = "common.rs"]
mod common;

use common::*;
use std::collections::VecDeque;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HOSTS: usize = 240;
const BRICKS: u32 = 2;
/// A warm brick: slots, and the work of a request of mean size in one of them.
const SLOTS: usize = 3;
const WORK_S: f64 = 0.1;
/// Requests a second that a warm brick can do.
const CAPACITY: f64 = SLOTS as f64 / WORK_S;
const QUEUE: usize = 70;
/// The rule's figures.
const COLD_FROM: f64 = 0.28;
const COLD_S: f64 = 15.0;
const MULTIPLE: f64 = 2.5;
const WINDOW_S: f64 = 3.0;
const UNIT_MEAN: f64 = 2.0;
/// Requests after which the brick is warm, if `COLD_S` is not over before.
const WARM_AFTER: f64 = 300.0;
/// When the brick crashes, when it is back, and when the burst comes, in seconds since the clients began.
const CRASH_S: f64 = 20.0;
const BACK_S: f64 = 22.0;
const BURST_S: f64 = 33.0;
const END_S: f64 = 40.0;

/// What the clients of the eight volumes with data on the brick ask for, in parts of what it can do when it is warm: usually, while
/// they are quiet after it is back, and in the burst. In the burst two of the volumes ask for 20 times their usual rate.
const USUAL: f64 = 0.6;
const QUIET: f64 = 0.04;
const BURST: f64 = 2.0 * 20.0 * USUAL / 8.0;

/// The part of a cold brick that decides: its warmth, its slots, and what reached it.
#[derive(Default)]
struct State {
    is_down: bool,
    has_fallen: bool,
    back_at: Option<f64>,
    served: f64,
    busy: usize,
    queue: VecDeque<u64>,
    arrivals: VecDeque<f64>,
    last_ticket: u64,
    peak: f64,
}

impl State {
    /// The fraction of its capacity that the brick has.
    fn warmth(&self, now: f64) -> f64 {
        match self.back_at {
            Some(back_at) if now - back_at < COLD_S => {
                COLD_FROM + (1.0 - COLD_FROM) * (self.served / WARM_AFTER).min(1.0)
            }
            _ => 1.0,
        }
    }

    /// Counts a request, and returns how many came in the window and how many are allowed.
    fn count(&mut self, now: f64) -> (f64, f64) {
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|at| now - at > WINDOW_S) {
            self.arrivals.pop_front();
        }
        let n = MULTIPLE * self.warmth(now) * CAPACITY * WINDOW_S;
        let chance = if n < 30.0 { 3.0 * n.sqrt() + 3.0 } else { 2.0 * n.sqrt() + 2.0 };
        (self.arrivals.len() as f64, n + chance)
    }
}

fn main() {
    let stage = Stage::open("cold-brick");
    let record = stage.record.clone();
    let cold: Arc<(Mutex<State>, Condvar)> = Arc::default();
    let state = cold.clone();
    let behaviour: Arc<Behaviour> = Arc::new(move |brick, host, request, stream| {
        let mut work = WORK_S;
        let mut ticket = None;
        if brick.shard == 0 {
            let (lock, changed) = &*state;
            let mut state = lock.lock().unwrap();
            if state.is_down || state.has_fallen {
                return false;
            }
            let (came, allowed) = state.count(request.at);
            let is_cold = state.back_at.is_some_and(|back| request.at - back < COLD_S);
            if is_cold && came / allowed > state.peak {
                state.peak = came / allowed;
                brick.record.line(&format!("brick-0 got {came} requests in {WINDOW_S} s; {allowed:.1} are allowed, warmth {:.3}", state.warmth(request.at)));
            }
            if is_cold && came > allowed {
                state.has_fallen = true;
                let text = format!(
                    "brick-0 FALLS {:.2} s after its start: {came} requests in {WINDOW_S} s, {allowed:.1} allowed, warmth {:.3}",
                    request.at - state.back_at.unwrap_or(0.0), state.warmth(request.at)
                );
                brick.record.say(&text);
                changed.notify_all();
                return false;
            }
            if state.busy >= SLOTS && state.queue.len() >= QUEUE {
                drop(state);
                return stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n").is_ok();
            }
            state.last_ticket += 1;
            let mine = state.last_ticket;
            state.queue.push_back(mine);
            while !state.has_fallen && !state.is_down && (state.busy >= SLOTS || state.queue.front() != Some(&mine)) {
                state = changed.wait_timeout(state, Duration::from_millis(50)).unwrap().0;
                // Waiting work whose host has given up is dropped.
                if has_left(stream) {
                    state.queue.retain(|waiting| *waiting != mine);
                    changed.notify_all();
                    return false;
                }
            }
            state.queue.retain(|waiting| *waiting != mine);
            if state.has_fallen || state.is_down {
                return false;
            }
            state.busy += 1;
            work /= state.warmth(brick.record.now());
            ticket = Some(mine);
            changed.notify_all();
        }
        thread::sleep(Duration::from_secs_f64(work));
        let mut waiting = 0;
        if ticket.is_some() {
            let (lock, changed) = &*state;
            let mut state = lock.lock().unwrap();
            state.busy -= 1;
            state.served += 1.0;
            waiting = state.queue.len();
            changed.notify_all();
            if state.has_fallen || state.is_down {
                return false;
            }
        }
        _ = host;
        let body = data_of(request.target(), request.header("x-call-id").unwrap_or("-"));
        let head = answer_head(body.len(), &format!("X-Load-Report: queue={waiting}\r\n"));
        stream.write_all(&[head.as_bytes(), &body].concat()).is_ok()
    });
    let bricks: Vec<Arc<Brick>> = (0..BRICKS)
        .map(|shard| Brick::start(&record, &format!("brick-{shard}"), shard, 1, behaviour.clone()))
        .collect();
    let members = bricks.iter().map(|brick| Member::new(&format!("s-{}", brick.name), brick.addresses.clone(), brick.shard));
    let discovery = Discovery::start(&record, "houston-studio-a", 1, members.collect());
    let settings = Settings {
        hosts: HOSTS,
        zone: "houston-studio-a".to_owned(),
        shards: BRICKS as usize,
        discovery: "ask",
        peers: false,
        drain_grace_s: 1.0,
        cold_from: COLD_FROM,
        cold_s: COLD_S,
        cold_bears: MULTIPLE * COLD_FROM * CAPACITY * WINDOW_S * UNIT_MEAN,
        fall_s: WINDOW_S,
        fall_multiple: MULTIPLE,
        unit_mean: UNIT_MEAN,
        largest: 6,
        max_attempts: 3,
        plans: r#"[{"ceiling_rate":0.0,"floor_rate":20.0,"most_at_once":0.0,"name":"production-grade","proportion":2.0,"slack":0.0,"usual_rate":20.0,"worth_factor":0.9}]"#.to_owned(),
        classes: r#"[{"effect":"repeatable","give_up":5.0,"group":"all","late_value":0.1,"name":"session-pull","streamed":false,"target":1.5,"window":3.0,"worth":1.0}]"#.to_owned(),
        writes: "[false]",
        memory_mb: 64,
        sockets: 512,
        cores: 1.0,
    };
    let hosts: Vec<Host> = (0..HOSTS)
        .map(|host| {
            let (listen, list) = (free_address(), discovery.address(host));
            let configuration = settings.configuration(host, listen, list, &discovery.complete(host), &[]);
            stage.start_host(&format!("n{host}"), listen, list, &configuration)
        })
        .collect();
    if !hosts.iter().all(|host| host.wait_ready(Duration::from_secs(30))) {
        record.say("a host was not ready in 30 s");
        stage.end(COULD_NOT_RUN);
    }
    let served = Arc::new(AtomicU64::new(0));
    let over = Arc::new(AtomicBool::new(false));
    let begin = Instant::now();
    let clients: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(number, host)| {
            let (pool, record) = (Pool::new(host.listen), record.clone());
            let (served, over) = (served.clone(), over.clone());
            thread::spawn(move || clients_of(number, begin, &pool, &record, &served, &over))
        })
        .collect();
    let wait_until = |at: f64| thread::sleep(Duration::from_secs_f64((at - begin.elapsed().as_secs_f64()).max(0.0)));
    wait_until(CRASH_S);
    if trouble() {
        record.say("brick-0 crashes");
        cold.0.lock().unwrap().is_down = true;
        bricks[0].reset_connections();
        wait_until(BACK_S);
        {
            let mut state = cold.0.lock().unwrap();
            state.is_down = false;
            state.arrivals.clear();
            state.queue.clear();
            (state.back_at, state.served) = (Some(record.now()), 0.0);
        }
        bricks[0].accept_again();
        let up_since = unix_ms();
        thread::sleep(Duration::from_millis(500));
        discovery.change("s-brick-0", |member| member.up_since_ms = up_since);
    }
    wait_until(BURST_S);
    let told = discovery.told.load(Ordering::SeqCst);
    wait_until(END_S);
    over.store(true, Ordering::SeqCst);
    for client in clients {
        _ = client.join();
    }
    let state = cold.0.lock().unwrap();
    record.say(&format!("{told} of {HOSTS} hosts were told of the start before the burst"));
    record.say(&format!(
        "{} answers 200; after its start brick-0 got at most {:.2} times what is allowed in {WINDOW_S} s",
        served.load(Ordering::SeqCst), state.peak
    ));
    let is_told = told as usize * 3 > HOSTS * 2;
    if served.load(Ordering::SeqCst) == 0 || (trouble() && !is_told) {
        stage.end(COULD_NOT_RUN);
    }
    stage.end(if state.has_fallen { RULE_BROKEN } else { RULE_HELD })
}

/// Sends the requests for the brick that come through one host.
fn clients_of(number: usize, begin: Instant, pool: &Arc<Pool>, record: &Arc<Record>, served: &Arc<AtomicU64>, over: &AtomicBool) {
    let mut random = Random::new(number as u64 + 11);
    let mut running = Vec::new();
    let mut count = 0;
    while !over.load(Ordering::SeqCst) {
        let at = begin.elapsed().as_secs_f64();
        let rate = match at {
            at if at < CRASH_S => USUAL,
            at if at < BURST_S => QUIET,
            _ => BURST,
        } * CAPACITY / HOSTS as f64;
        thread::sleep(Duration::from_millis(10));
        if random.fraction() > rate * 0.01 {
            continue;
        }
        count += 1;
        let ask = Ask {
            id: fresh_id(),
            class: "session-pull".to_owned(),
            plan: "production-grade".to_owned(),
            volume: 0x3b4d60000 + count % if at >= BURST_S { 2 } else { 8 },
            key: random.next(),
            budget_ms: 5000,
            units: UNIT_MEAN as u32,
            shard: 0,
            hosts: 3,
            write: None,
        };
        let (pool, record, served) = (pool.clone(), record.clone(), served.clone());
        let send = move || {
            record.line(&format!("client to host {number}: id={}", ask.id));
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
