//! One of five bricks is cut off for 6 s: open connections fall silent, new ones never come up. A volume on a plan with a limit, whose
//! data lies there, begins a surge before the end. What reaches the brick is held up against the plan's limit.

#[path = "common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    /// The C library's `listen`, which also changes the backlog of a socket that listens already.
    fn listen(socket: i32, backlog: i32) -> i32;
}

const BRICKS: u32 = 5;
/// The plan as austin-main has it: the limit is 4 times the usual rate, 1.9 s of it at once, and a slack of one of the largest requests.
const USUAL: f64 = 4.5;
const LIMIT: f64 = 18.0;
const AT_ONCE: f64 = 34.0;
const SLACK: f64 = 8.0;
const SOCKET_SLACK_S: f64 = 0.15;
const UNITS: u32 = 8;
/// When the brick is cut off and when it is back, when the surge begins and ends, in seconds since the clients began.
const CUT_S: f64 = 6.0;
const BACK_S: f64 = 12.0;
const SURGE_S: f64 = 9.9;
const END_S: f64 = 17.0;

/// The network in front of brick-0. While it is cut, bytes wait here and new connections never come up.
struct Cut {
    is_cut: AtomicBool,
    listener: TcpListener,
    to: std::net::SocketAddr,
}

impl Cut {
    /// Passes on the connections that come up, with all that is sent on them.
    fn run(self: Arc<Self>) {
        loop {
            while self.is_cut.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(1));
            }
            _ = self.listener.set_nonblocking(true);
            let Ok((stream, _)) = self.listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            _ = stream.set_nonblocking(false);
            let Ok(brick) = TcpStream::connect(self.to) else { continue };
            for (from, to) in [(&stream, &brick), (&brick, &stream)] {
                let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                let cut = self.clone();
                thread::spawn(move || cut.pass_on(from, to));
            }
        }
    }

    fn pass_on(&self, mut from: TcpStream, mut to: TcpStream) {
        use std::io::Read;
        _ = to.set_nodelay(true);
        let mut bytes = [0; 16384];
        loop {
            let count = from.read(&mut bytes).unwrap_or(0);
            while self.is_cut.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(1));
            }
            if count == 0 || to.write_all(&bytes[..count]).is_err() {
                _ = to.shutdown(std::net::Shutdown::Both);
                _ = from.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }

    /// Cuts the brick off. The listener takes no further connections: its backlog is filled with connections of this process.
    fn cut(&self) -> Vec<TcpStream> {
        self.is_cut.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(20));
        // SAFETY: the descriptor is open, and `listen` takes two integers.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        let address = self.listener.local_addr().unwrap();
        let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(30)).ok();
        std::iter::from_fn(fill).take(64).collect()
    }

    fn heal(&self, fill: Vec<TcpStream>) {
        drop(fill);
        // SAFETY: as above.
        unsafe { listen(self.listener.as_raw_fd(), 128) };
        self.is_cut.store(false, Ordering::SeqCst);
    }
}

fn main() {
    let stage = Stage::open("held-limit");
    let record = stage.record.clone();
    let taken: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
    let takes = taken.clone();
    let behaviour: Arc<Behaviour> = Arc::new(move |_, _, request, stream| {
        let id = request.header("x-call-id").unwrap_or("-").to_owned();
        takes.lock().unwrap().push((request.at, id.clone()));
        thread::sleep(Duration::from_millis(25));
        let body = data_of(request.target(), &id);
        let head = answer_head(body.len(), "X-Load-Report: inflight=1,queue=0\r\n");
        stream.write_all(&[head.as_bytes(), &body].concat()).is_ok()
    });
    let bricks: Vec<Arc<Brick>> = (0..BRICKS)
        .map(|shard| Brick::start(&record, &format!("brick-{shard}"), shard, 1, behaviour.clone()))
        .collect();
    let cut = Arc::new(Cut {
        is_cut: AtomicBool::new(false),
        listener: TcpListener::bind("127.0.0.1:0").unwrap(),
        to: bricks[0].addresses[0],
    });
    let network = cut.clone();
    thread::spawn(move || network.run());
    let members = bricks.iter().map(|brick| {
        let address = if brick.shard == 0 { cut.listener.local_addr().unwrap() } else { brick.addresses[0] };
        Member::new(&format!("s-{}", brick.name), vec![address], brick.shard)
    });
    let discovery = Discovery::start(&record, "austin-bldg1", 1, members.collect());
    let settings = Settings {
        hosts: 1,
        zone: "austin-bldg1".to_owned(),
        shards: BRICKS as usize,
        discovery: "push",
        peers: false,
        drain_grace_s: 0.25,
        cold_from: 0.17,
        cold_s: 17.0,
        cold_bears: 10.0,
        fall_s: 3.0,
        fall_multiple: 2.0,
        unit_mean: 2.0,
        largest: 8,
        max_attempts: 4,
        plans: format!(
            r#"[{{"ceiling_rate":{LIMIT:?},"floor_rate":0.0,"most_at_once":{AT_ONCE:?},"name":"basic","proportion":1.0,"slack":{SLACK:?},"usual_rate":{USUAL:?},"worth_factor":0.8}}]"#
        ),
        classes: r#"[{"effect":"repeatable","give_up":7.5,"group":"all","late_value":0.3,"name":"tour-export","streamed":false,"target":2.5,"window":5.0,"worth":1.0}]"#.to_owned(),
        writes: "[false]",
        memory_mb: 192,
        sockets: 1024,
        cores: 1.0,
    };
    let (address, list) = (free_address(), discovery.address(0));
    let configuration = settings.configuration(0, address, list, &discovery.complete(0), &[]);
    let host = stage.start_host("n0", address, list, &configuration);
    if !host.wait_ready(Duration::from_secs(30)) {
        record.say("the host was not ready in 30 s");
        stage.end(COULD_NOT_RUN);
    }
    let served = Arc::new(AtomicU64::new(0));
    let begin = Instant::now();
    let (pool, counter, notes) = (Pool::new(host.listen), served.clone(), record.clone());
    let clients = thread::spawn(move || clients(begin, &pool, &notes, &counter));
    let wait_until = |at: f64| thread::sleep(Duration::from_secs_f64((at - begin.elapsed().as_secs_f64()).max(0.0)));
    wait_until(CUT_S);
    if trouble() {
        let fill = cut.cut();
        record.say(&format!("brick-0 is cut off ({} connections fill the backlog)", fill.len()));
        wait_until(BACK_S);
        cut.heal(fill);
        record.say("brick-0 is back");
    }
    _ = clients.join();
    thread::sleep(Duration::from_millis(500));
    let lowest = lowest_level(&taken.lock().unwrap(), &record);
    let allowed = -(SLACK + LIMIT * SOCKET_SLACK_S);
    record.say(&format!("{} requests reached bricks, {} were answered 200", taken.lock().unwrap().len(), served.load(Ordering::SeqCst)));
    record.say(&format!("lowest level of the volume's store: {lowest:.1} units; allowed: {allowed:.1}"));
    if served.load(Ordering::SeqCst) == 0 {
        stage.end(COULD_NOT_RUN);
    }
    stage.end(if lowest < allowed { RULE_BROKEN } else { RULE_HELD })
}

/// Sends the requests of the volume: its usual rate at first, nothing for some seconds, and then 17 times its usual rate.
fn clients(begin: Instant, pool: &Arc<Pool>, record: &Arc<Record>, served: &Arc<AtomicU64>) {
    let mut count = 0u64;
    let mut running = Vec::new();
    loop {
        let at = begin.elapsed().as_secs_f64();
        if at >= END_S {
            break;
        }
        if (3.0..SURGE_S).contains(&at) {
            thread::sleep(Duration::from_millis(5));
            continue;
        }
        count += 1;
        let ask = Ask {
            id: fresh_id(),
            class: "tour-export".to_owned(),
            plan: "basic".to_owned(),
            volume: 0x3b4d60021,
            key: 0x7f3a_0000_0000_0000 + count,
            budget_ms: 7500,
            units: UNITS,
            shard: 0,
            hosts: 1,
            write: None,
        };
        let (pool, record, served) = (pool.clone(), record.clone(), served.clone());
        let send = move || {
            record.line(&format!("client: id={}", ask.id));
            let end = pool.ask(&ask, Duration::from_millis(500));
            let text = match &end {
                End::Answer(status, _) => status.to_string(),
                End::None(why) => why.clone(),
            };
            served.fetch_add(u64::from(matches!(end, End::Answer(200, _))), Ordering::SeqCst);
            record.line(&format!("host to client: id={} -> {text}", ask.id));
        };
        running.push(thread::Builder::new().stack_size(128 * 1024).spawn(send).unwrap());
        thread::sleep(Duration::from_millis((1000.0 * f64::from(UNITS) / (if at < SURGE_S { USUAL } else { 17.0 * USUAL })) as u64));
    }
    for client in running {
        _ = client.join();
    }
}

/// Replays what reached the bricks against the store of the volume: it begins full, fills at the limit's rate, and the first arrival of
/// each request takes its units.
fn lowest_level(taken: &[(f64, String)], record: &Record) -> f64 {
    let mut taken = taken.to_vec();
    taken.sort_by(|left, right| left.0.total_cmp(&right.0));
    let mut seen = std::collections::HashSet::new();
    let (mut level, mut last, mut lowest) = (AT_ONCE, 0.0, f64::MAX);
    for (at, id) in taken {
        if !seen.insert(id.clone()) {
            continue;
        }
        level = (level + LIMIT * (at - last)).min(AT_ONCE) - f64::from(UNITS);
        last = at;
        if level < lowest {
            lowest = level;
            record.line(&format!("the store is at {level:.2} units after id={id}, taken at {at:.6}"));
        }
    }
    lowest
}
