//! Closed loops: each session keeps so many commands open. The two routes send the same reads and count alike.

use bytes::BytesMut;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use tackmast_emulators::initiator::{Initiator, IoOperation, IoRequest, LabelledReply, Login, Reply};
use tackmast_trace::{now_us, Recorder};
use tackmast_wire::iscsi::Digests;
use tackmast_wire::node::{self, Frame, NodeOutcome, Origin, SendAttempt, Work};

#[derive(Clone, Debug)]
pub enum Route {
    Host(SocketAddr),
    /// Node `n` holds extent `n` modulo their number.
    Nodes(Vec<SocketAddr>),
}

#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub sessions: usize,
    /// Commands open in each.
    pub depth: usize,
    pub blocks: u32,
    pub seconds: f64,
    /// Pause of each slot between an answer and its next command, to load by less than all.
    pub think_us: u64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Shown {
    pub done: u64,
    pub other: u64,
    pub per_s: f64,
    pub p50_us: u64,
    pub p99_us: u64,
    pub mean_us: f64,
}

struct Count {
    times: Histogram<u64>,
    done: u64,
    other: u64,
}

fn count() -> Count {
    let times = Histogram::new_with_bounds(1, 60_000_000, 3).expect("the library takes these constants");
    Count { times, done: 0, other: 0 }
}

impl Load {
    pub fn run(&self, route: &Route) -> Result<Shown, String> {
        let mut threads = Vec::new();
        for i in 0..self.sessions {
            let (load, route) = (*self, route.clone());
            let run = move || match route {
                Route::Host(a) => load.through_host(a, i as u64),
                Route::Nodes(nodes) => load.straight(nodes[i % nodes.len()], i as u64, nodes.len() as u64),
            };
            let thread = std::thread::Builder::new().name(format!("load {i}")).stack_size(256 << 10);
            threads.push(thread.spawn(run).map_err(|e| format!("load: {e}"))?);
        }
        let mut all = count();
        for t in threads {
            let one = t.join().map_err(|_| "load: a client failed")??;
            _ = all.times.add(&one.times);
            all.done += one.done;
            all.other += one.other;
        }
        Ok(Shown {
            done: all.done,
            other: all.other,
            per_s: all.done as f64 / self.seconds,
            p50_us: all.times.value_at_quantile(0.5),
            p99_us: all.times.value_at_quantile(0.99),
            mean_us: all.times.mean(),
        })
    }

    fn through_host(&self, address: SocketAddr, seed: u64) -> Result<Count, String> {
        let login = Login {
            address,
            target: "iqn.2026-12.org.tackmast:pool".into(),
            name: "iqn.2026-12.org.tackmast:measure".into(),
            digests: Digests::default(),
            deadline_ms: None,
            timeout: Duration::from_secs(10),
        };
        let (to, replies) = crossbeam_channel::unbounded();
        let client = Initiator::login(&login, 0, to, Recorder::off()).map_err(|e| format!("login: {e}"))?;
        let mut c = count();
        let mut sent: HashMap<u64, u64> = HashMap::new();
        let mut label = 0;
        let until = Instant::now() + Duration::from_secs_f64(self.seconds);
        let mut chance = oorandom(seed);
        let send = |label: u64, sent: &mut HashMap<u64, u64>, draw: u64| {
            sent.insert(label, now_us());
            let operation = IoOperation::Read { blocks: self.blocks };
            let block = draw % 100_000 * 8;
            let ask =
                IoRequest { lun: 0, traffic_class: 0, block, block_bytes: 512, operation, deadline_us: 0 };
            client.submit(label, &ask, Duration::from_secs(1))
        };
        let mut open = 0;
        while Instant::now() < until || open > 0 {
            while open < self.depth && Instant::now() < until {
                label += 1;
                send(label, &mut sent, chance()).ok_or("the session ended")?;
                open += 1;
            }
            if open == 0 {
                break;
            }
            let Ok(LabelledReply { label, reply }) = replies.recv_timeout(Duration::from_secs(10)) else {
                return Err("no answer in 10 s".into());
            };
            open -= 1;
            let took = now_us() - sent.remove(&label).unwrap_or_default();
            match reply {
                Reply::Done(_) => {
                    c.done += 1;
                    _ = c.times.record(took.max(1));
                }
                Reply::Lost => return Err("the session ended".into()),
                _ => c.other += 1,
            }
            self.think();
        }
        client.logout();
        Ok(c)
    }

    fn think(&self) {
        if self.think_us > 0 {
            std::thread::sleep(Duration::from_micros(self.think_us));
        }
    }

    fn straight(&self, address: SocketAddr, seed: u64, nodes: u64) -> Result<Count, String> {
        let fail = |e: std::io::Error| format!("node: {e}");
        let mut stream = TcpStream::connect(address).map_err(fail)?;
        stream.set_nodelay(true).map_err(fail)?;
        stream.set_read_timeout(Some(Duration::from_secs(10))).map_err(fail)?;
        let hello = Frame::HostHello {
            version: node::VERSION,
            host: 1000 + seed as u32,
            generation: seed,
            sent_us: now_us(),
        };
        stream.write_all(&hello.to_bytes()).map_err(fail)?;
        let mut frames = node::frames(1 << 20);
        let mut buffer = vec![0; 64 << 10];
        let mut c = count();
        let mut sent: HashMap<u64, u64> = HashMap::new();
        let (mut attempt, mut open) = (0, 0);
        let until = Instant::now() + Duration::from_secs_f64(self.seconds);
        let mut chance = oorandom(seed);
        while Instant::now() < until || open > 0 {
            let mut bytes = BytesMut::new();
            while open < self.depth && Instant::now() < until {
                attempt += 1;
                let now = now_us();
                sent.insert(attempt, now);
                Frame::Send(SendAttempt {
                    attempt,
                    request: attempt,
                    attempt_number: 0,
                    origin: Origin { session: 0, command: attempt as u32, part: 0 },
                    sent_us: now,
                    left_us: 5_000_000,
                    mark: 0,
                    key: 0,
                    volume: 0,
                    offset: chance() % 100_000 * 4096 * nodes,
                    units: 1.0,
                    work: Work::Read { length: self.blocks * 512 },
                })
                .encode(&mut bytes);
                open += 1;
            }
            if open == 0 {
                break;
            }
            stream.write_all(&bytes).map_err(fail)?;
            let n = stream.read(&mut buffer).map_err(fail)?;
            if n == 0 {
                return Err("the node closed the connection".into());
            }
            frames.push(&buffer[..n]);
            while let Some(frame) = node::next(&mut frames).map_err(|e| e.to_string())? {
                let Frame::Answer(a) = frame else { continue };
                open -= 1;
                let took = now_us() - sent.remove(&a.attempt).unwrap_or_default();
                if a.outcome == NodeOutcome::Done {
                    c.done += 1;
                    _ = c.times.record(took.max(1));
                } else {
                    c.other += 1;
                }
                self.think();
            }
        }
        Ok(c)
    }
}

/// A small generator for the places of reads.
fn oorandom(seed: u64) -> impl FnMut() -> u64 {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    move || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state
    }
}
