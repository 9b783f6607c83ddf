//! The emulator of the endpoint list.

use super::acceptor::{Acceptor, Connection};
use super::RECHECK_INTERVAL;
use crate::threads::lock;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// When the list closes an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A member of the list.
#[derive(Clone, Debug)]
pub struct ListMember {
    /// Its name, which stays when it moves.
    pub id: String,
    /// Where its node listens.
    pub address: SocketAddr,
    /// The shard that it serves.
    pub shard: u32,
    /// Ready, Terminating or Gone.
    pub phase: &'static str,
    /// When its node started, in milliseconds since 1970.
    pub up_since_ms: u64,
}

/// What the list does with a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListFault {
    /// Answers once there is a change, or after the wait that the poll asks for.
    Healthy,
    /// Answers at once, whether there is a change or not.
    AnswersAtOnce,
    /// Status 503.
    Unavailable,
    /// An answer whose body is cut off.
    Garbage,
    /// No answer.
    Silent,
    /// The connection is reset.
    Reset,
}

/// A poll that the list has received.
#[derive(Clone, Debug)]
pub struct Poll {
    /// When it was complete.
    pub at: Instant,
    /// What it asked for.
    pub target: String,
}

/// A member, and the version in which it last changed.
struct VersionedMember {
    version: u64,
    member: ListMember,
}

#[derive(Default)]
struct Members {
    by_id: BTreeMap<String, VersionedMember>,
    version: u64,
    polls: Vec<Poll>,
}

impl Members {
    fn insert(&mut self, member: ListMember) {
        let version = self.version;
        self.by_id.insert(member.id.clone(), VersionedMember { version, member });
    }

    /// The members that changed after a version; without one, all that are not gone.
    fn to_json(&self, after: Option<u64>) -> String {
        let is_listed = |entry: &&VersionedMember| match after {
            Some(after) => entry.version > after,
            None => entry.member.phase != "Gone",
        };
        let members = self.by_id.values().filter(is_listed).map(|entry| member_json(&entry.member));
        let members: Vec<String> = members.collect();
        let (version, is_complete) = (self.version, after.is_none());
        format!(r#"{{"revision":{version},"complete":{is_complete},"members":[{}]}}"#, members.join(","))
    }
}

fn member_json(member: &ListMember) -> String {
    format!(
        r#"{{"id":"{}","host_port":"{}","locality":"a","flavor":"m","cell":{},"phase":"{}","size":1.0,"up_since_ms":{}}}"#,
        member.id, member.address, member.shard, member.phase, member.up_since_ms
    )
}

struct ListState {
    members: Mutex<Members>,
    fault: Mutex<EndpointListFault>,
}

/// The endpoint list, until it is dropped.
pub struct HttpEndpointList {
    acceptor: Acceptor,
    state: Arc<ListState>,
}

impl HttpEndpointList {
    /// Starts an empty list on a port of its own.
    pub fn start() -> std::io::Result<Self> {
        let fault = Mutex::new(EndpointListFault::Healthy);
        let state = Arc::new(ListState { members: Mutex::default(), fault });
        let serving = state.clone();
        let acceptor = Acceptor::start(move |connection| _ = serving.serve(connection))?;
        Ok(HttpEndpointList { acceptor, state })
    }

    /// Where the list is served.
    pub fn address(&self) -> SocketAddr {
        self.acceptor.address()
    }

    /// Adds a member without a new version, as if it had been there from the start.
    pub fn add_initial(&self, member: ListMember) {
        lock(&self.state.members).insert(member);
    }

    /// Adds or changes a member, in a new version.
    pub fn update(&self, member: ListMember) {
        let mut members = lock(&self.state.members);
        members.version += 1;
        members.insert(member);
    }

    /// Applies a fault to all polls from now on.
    pub fn set_fault(&self, fault: EndpointListFault) {
        *lock(&self.state.fault) = fault;
    }

    /// The version of the last change.
    pub fn version(&self) -> u64 {
        lock(&self.state.members).version
    }

    /// The polls that the list has received, in order.
    pub fn polls(&self) -> Vec<Poll> {
        lock(&self.state.members).polls.clone()
    }

    /// The complete list, as a host's configuration holds it.
    pub fn to_json(&self) -> String {
        lock(&self.state.members).to_json(None)
    }
}

impl ListState {
    fn fault(&self) -> EndpointListFault {
        *lock(&self.fault)
    }

    fn serve(&self, mut connection: Connection) -> std::io::Result<()> {
        while let Some(request) = connection.next_request(IDLE_TIMEOUT) {
            let target = request.target;
            lock(&self.members).polls.push(Poll { at: Instant::now(), target: target.clone() });
            let after = query_number(&target, "after");
            let wait = Duration::from_millis(query_number(&target, "wait_ms").unwrap_or(0));
            if let Some(after) = after {
                self.wait_for_change(&connection, after, wait);
            }
            let body = match self.fault() {
                EndpointListFault::Healthy | EndpointListFault::AnswersAtOnce => {
                    lock(&self.members).to_json(after)
                }
                EndpointListFault::Garbage => "{\"revision\":".to_owned(),
                EndpointListFault::Unavailable => {
                    let answer = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                    connection.stream.write_all(answer)?;
                    continue;
                }
                EndpointListFault::Silent => continue,
                EndpointListFault::Reset => {
                    connection.reset_on_close();
                    return Ok(());
                }
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            connection.stream.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
        }
        Ok(())
    }

    /// Waits until the list has a later version than this, for at most `max_wait`.
    fn wait_for_change(&self, connection: &Connection, version: u64, max_wait: Duration) {
        let until = Instant::now() + max_wait;
        while lock(&self.members).version <= version && Instant::now() < until {
            if connection.is_stopped() || self.fault() != EndpointListFault::Healthy {
                return;
            }
            std::thread::sleep(RECHECK_INTERVAL);
        }
    }
}

/// The number of this name in a target's query.
fn query_number(target: &str, name: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}
