//! Closed loops: each session keeps some commands open. Both routes send the same reads and count alike.

mod direct;
mod through_host;

use crate::measurement::LoadRecorder;
use crate::xorshift::Xorshift;
use crate::{BenchmarkError, Measurement};
use std::net::SocketAddr;
use std::time::Duration;

/// Stack of a session's thread, in bytes.
const STACK_BYTES: usize = 256 << 10;
/// How long a session waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of a block.
const BLOCK_BYTES: u32 = 512;
/// Extents that reads are spread over.
const EXTENT_COUNT: u64 = 100_000;
/// Blocks of an extent.
const EXTENT_BLOCKS: u64 = 8;

/// Where the commands of a load are sent.
#[derive(Clone, Debug)]
pub enum Route {
    /// To a host, over iSCSI.
    Host(SocketAddr),
    /// Straight to nodes, over the node protocol. Node `n` holds extent `n` modulo their number.
    Nodes(Vec<SocketAddr>),
}

/// A load of sessions that each keep some commands open.
#[derive(Clone, Copy, Debug)]
pub struct ClosedLoop {
    /// Number of sessions.
    pub sessions: usize,
    /// Commands that each session keeps open.
    pub depth: usize,
    /// Blocks of a read.
    pub blocks: u32,
    /// How long the load lasts, in seconds.
    pub seconds: f64,
    /// Pause of a session after each answer, in microseconds, for less than full load.
    pub think_us: u64,
}

impl ClosedLoop {
    /// Runs the load over a route.
    pub fn run(&self, route: &Route) -> Result<Measurement, BenchmarkError> {
        let mut threads = Vec::new();
        for session in 0..self.sessions {
            let (load, route) = (*self, route.clone());
            let thread = std::thread::Builder::new().name(format!("load {session}")).stack_size(STACK_BYTES);
            let run = move || load.run_session(&route, session as u64);
            threads.push(thread.spawn(run).map_err(BenchmarkError::Thread)?);
        }
        let mut all = LoadRecorder::new();
        for thread in threads {
            all.add(&thread.join().map_err(|_| BenchmarkError::LoadPanicked)??);
        }
        Ok(all.finish(self.seconds))
    }

    fn run_session(&self, route: &Route, session: u64) -> Result<LoadRecorder, BenchmarkError> {
        match route {
            Route::Host(address) => through_host::run(self, *address, session),
            Route::Nodes(nodes) => {
                let node = nodes[session as usize % nodes.len()];
                direct::run(self, node, session, nodes.len() as u64)
            }
        }
    }

    fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    fn think(&self) {
        if self.think_us > 0 {
            std::thread::sleep(Duration::from_micros(self.think_us));
        }
    }
}

/// The next extent that is read.
fn draw_extent(random: &mut Xorshift) -> u64 {
    random.next_u64() % EXTENT_COUNT
}
