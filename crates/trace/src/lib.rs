//! What clients, nodes and the node list saw on their sockets, as lines of JSON. Times are microseconds of Unix
//! time, all taken on one machine. The first line tells what holds in this deployment.

use serde::{Deserialize, Serialize};
use std::io::{BufRead, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Events that a recorder keeps; a trace that lost some is no proof and says so.
const MAX: usize = 8 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EffectKind {
    #[serde(rename = "repeatable")]
    Idempotent,
    /// Nodes of all zones, of one zone, or of one shard drop a repeat of the same mark.
    #[serde(rename = "keyed_all")]
    IdempotentByKeyAll,
    #[serde(rename = "keyed_zone")]
    IdempotentByKeyZone,
    #[serde(rename = "keyed_shard")]
    IdempotentByKeyShard,
    #[serde(rename = "unrepeatable")]
    NonIdempotent,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrafficClassFacts {
    pub name: String,
    #[serde(rename = "slo_us")]
    pub latency_objective_us: u64,
    pub effect: EffectKind,
    /// For idempotent by key ones: how long nodes know a mark.
    pub window_us: u64,
    pub in_order: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VolumeFacts {
    pub volume: u32,
    pub plan: String,
    /// Units a second and units; 0: no limit.
    pub limit: f64,
    pub burst: f64,
    pub slack: f64,
    /// Bytes of an extent: a command is as many requests as it touches extents. 0: not told.
    #[serde(default)]
    pub extent_bytes: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Facts {
    #[serde(rename = "streams")]
    pub traffic_classes: Vec<TrafficClassFacts>,
    pub volumes: Vec<VolumeFacts>,
    pub unit_bytes: u32,
    #[serde(rename = "most_units")]
    pub max_units: f64,
    /// Rule 1: time after the deadline within which an answer still counts.
    pub answer_slack_us: u64,
    /// Rule 3.
    pub grace_us: u64,
    /// Rule 4: multiple of the present capacity over the window.
    pub cold_multiple: f64,
    pub cold_window_us: u64,
    pub cold_safe_units: f64,
    /// Rule 5.
    pub settle_us: u64,
    /// Rule 6, where there is one: free attempts, share of what was taken, window.
    pub further: Option<(f64, f64, u64)>,
    /// How far two ends of a socket may see the same thing apart.
    pub skew_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerKind {
    Done,
    #[serde(rename = "deferred")]
    Rejected,
    #[serde(rename = "abandoned")]
    Failed,
    /// The command itself was wrong; the host never took it.
    #[serde(rename = "rejected")]
    InvalidRequest,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEndKind {
    Done,
    Error,
    /// Told that it never ran: the queue was full, or it was cancelled or out of time before it began.
    NeverRan,
}

/// Whom a host is cut off from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    Clients,
    List,
}

/// An attempt as its node sees it: host, generation of the host, request within that generation, and number of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptName {
    pub host: u32,
    #[serde(rename = "life")]
    pub generation: u64,
    #[serde(rename = "xfer")]
    pub request: u64,
    #[serde(rename = "leg")]
    pub attempt: u8,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "e", rename_all = "snake_case")]
pub enum Event {
    Facts(Facts),
    /// Client side: a command's first byte leaves.
    Submit {
        host: u32,
        session: u32,
        command: u32,
        volume: u32,
        #[serde(rename = "stream")]
        traffic_class: u32,
        write: bool,
        offset: u64,
        bytes: u64,
        #[serde(rename = "expiry_us")]
        deadline_us: u64,
    },
    Answer {
        host: u32,
        session: u32,
        command: u32,
        kind: AnswerKind,
        #[serde(rename = "come_back_us")]
        retry_after_us: u64,
    },
    /// The client gave this one up, or its session ended from its side.
    Left {
        host: u32,
        session: u32,
        command: u32,
    },
    /// A host's process starts, or is ended; what it had taken is left to its clients.
    HostUp {
        host: u32,
    },
    HostDown {
        host: u32,
    },
    /// A host's process stands still, and goes on.
    HostStops {
        host: u32,
    },
    HostGoes {
        host: u32,
    },
    /// Whoever owns the ways: nothing passes between this host and its clients, or from the list to it; and again it does.
    Cut {
        host: u32,
        side: Side,
        on: bool,
    },
    /// Client side: a session is open over the connection of that local address; the way reset that connection.
    Session {
        host: u32,
        session: u32,
        client: String,
    },
    ConnectionLost {
        client: String,
    },
    /// Node side. Capacity in units a second when warm.
    NodeUp {
        node: String,
        zone: u32,
        shard: u32,
        capacity: f64,
        cold_from: f64,
        warm_us: u64,
    },
    NodeDown {
        node: String,
    },
    #[serde(rename = "leg")]
    Attempt {
        node: String,
        name: AttemptName,
        session: u32,
        command: u32,
        part: u16,
        volume: u32,
        write: bool,
        offset: u64,
        bytes: u64,
        units: f64,
        key: u64,
        mark: String,
        left_us: u64,
    },
    #[serde(rename = "leg_end")]
    AttemptEnd {
        node: String,
        name: AttemptName,
        kind: AttemptEndKind,
        /// Whether the work had its effect.
        ran: bool,
    },
    /// The host called the attempt back.
    Cancel {
        node: String,
        name: AttemptName,
    },
    /// A connection of the host ended; its attempts get no answer.
    LinkDown {
        node: String,
        host: u32,
        #[serde(rename = "life")]
        generation: u64,
        #[serde(rename = "legs")]
        attempts: Vec<AttemptName>,
    },
    /// List side: the host was sent this line.
    Told {
        host: u32,
        node: String,
        state: ListedState,
        started_us: u64,
    },
    /// Operator side: the host has said that it holds the node out of service, or that it no longer does.
    Ordered {
        host: u32,
        node: String,
        out: bool,
    },
    /// Operator side: a change of a volume's plan was acknowledged. The figures before it may still be gone by until then.
    PlanMoved {
        volume: u32,
        limit: f64,
        burst: f64,
        slack: f64,
        in_force_us: u64,
    },
    /// A trouble of the script begins or ends.
    Trouble {
        what: String,
        on: bool,
    },
    /// Events were lost from here on.
    Truncated,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub t: u64,
    #[serde(flatten)]
    pub event: Event,
}

/// Microseconds of Unix time, monotonic within this process: lines of one trace must not run backwards.
pub fn now_us() -> u64 {
    static START: std::sync::OnceLock<(std::time::Instant, u64)> = std::sync::OnceLock::new();
    let (start, unix) = START.get_or_init(|| {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (std::time::Instant::now(), unix.as_micros() as u64)
    });
    unix + start.elapsed().as_micros() as u64
}

/// Keeps what many threads saw.
#[derive(Clone)]
pub struct Recorder(Option<Arc<Mutex<Vec<Line>>>>);

impl Default for Recorder {
    fn default() -> Self {
        Recorder(Some(Arc::default()))
    }
}

impl Recorder {
    /// One that keeps nothing, for measurements.
    pub fn off() -> Recorder {
        Recorder(None)
    }

    pub fn is_on(&self) -> bool {
        self.0.is_some()
    }

    pub fn note(&self, event: Event) {
        self.note_at(now_us(), event);
    }

    /// Notes what is known to have been at an earlier time.
    pub fn note_at(&self, t: u64, event: Event) {
        let Some(kept) = &self.0 else { return };
        let mut lines = kept.lock().unwrap_or_else(PoisonError::into_inner);
        match lines.len() {
            n if n < MAX => lines.push(Line { t, event }),
            MAX => lines.push(Line { t, event: Event::Truncated }),
            _ => {}
        }
    }

    /// All lines so far, by time.
    pub fn take(&self) -> Vec<Line> {
        let Some(kept) = &self.0 else { return Vec::new() };
        let mut lines = std::mem::take(&mut *kept.lock().unwrap_or_else(PoisonError::into_inner));
        lines.sort_by_key(|l| l.t);
        lines
    }
}

pub fn write(lines: &[Line], mut to: impl Write) -> std::io::Result<()> {
    for line in lines {
        serde_json::to_writer(&mut to, line)?;
        to.write_all(b"\n")?;
    }
    to.flush()
}

/// Reads a trace; an error names the line.
pub fn read(from: impl BufRead) -> Result<Vec<Line>, String> {
    let mut lines = Vec::new();
    for (i, text) in from.lines().enumerate() {
        let text = text.map_err(|e| format!("line {}: {e}", i + 1))?;
        if text.trim().is_empty() {
            continue;
        }
        let line = serde_json::from_str(&text)
            .map_err(|e| format!("line {}: {e}; expected an event of a trace", i + 1))?;
        lines.push(line);
    }
    Ok(lines)
}
