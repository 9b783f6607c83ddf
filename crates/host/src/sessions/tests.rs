//! Sessions whose threads can't be started, and the bound of sessions.

use super::*;
use std::io::ErrorKind;
use std::sync::atomic::AtomicUsize;

const SETTINGS: &str = r#"
host {
  number = 0
  hosts = 1
  listen = "127.0.0.1:0"
  node_list = "127.0.0.1:1"
}
bounds {
  sessions = 1
}
units {
  bytes = 4096
  most = 8
  mean = 2
}
plan "basic" {}
stream "s" {
  slo_ms = 200
  expiry_ms = 1000
  effect = "repeatable"
}
volume "v" {
  lun = 0
  plan = "basic"
  blocks = 1000
  extent_blocks = 64
  shards = [0]
  hosts = 1
  reads = "s"
  writes = "s"
}
"#;

/// A system that has no thread left.
fn spawn_nothing(name: String, _run: Box<dyn FnOnce() + Send>) -> Result<JoinHandle<()>, StartError> {
    Err(StartError::Thread { name, error: ErrorKind::WouldBlock.into() })
}

/// The sessions of a host that may have one, on a system that has no thread left.
fn hub_without_threads() -> Arc<SessionHub> {
    let settings = Arc::new(HostSettings::parse("test", SETTINGS).unwrap());
    let (events, _) = crossbeam_channel::unbounded();
    let mut hub = SessionHub::new(settings, Arc::default(), Clock::start(), events);
    Arc::get_mut(&mut hub).unwrap().spawn = spawn_nothing;
    hub
}

/// A client connects, and the hub admits it.
fn admit_client(hub: &Arc<SessionHub>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let _client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    hub.clone().admit(stream, Protocol::Iscsi);
}

/// A host has as many sessions as it may, and more clients connect while no thread can be started that refuses them. Each of them must
/// release its place among the refusals: once all were lost, no later client would be told why it is closed.
#[test]
fn refusal_whose_thread_does_not_start_releases_its_place() {
    let hub = hub_without_threads();
    assert_eq!(hub.reserve_number(), Some(1), "the only session");
    for refused in 0..=MAX_REFUSALS {
        admit_client(&hub);
        assert_eq!(*lock(&hub.refusals), 0, "after {} clients", refused + 1);
    }
    assert_eq!(hub.reserve_number(), Some(REFUSED_SESSION));
}

/// A host has no session, and no thread can be started for clients that connect. Each must release its number: once all were lost, no
/// later client would get in.
#[test]
fn session_whose_thread_does_not_start_releases_its_number() {
    let hub = hub_without_threads();
    for _ in 0..3 {
        admit_client(&hub);
        assert_eq!(lock(&hub.numbers).len(), 0);
    }
    assert!(hub.reserve_number().is_some_and(|number| number != REFUSED_SESSION));
}

/// The two listeners, of iSCSI and of NBD, admit clients at the same time while one more session may be open. Only one of two clients
/// gets it. Repeated, because the listeners rarely meet within the same microsecond.
#[test]
fn listeners_together_admit_no_more_sessions_than_the_bound() {
    const SPINS_OF_A_SESSION: u32 = 100;
    let hub = hub_without_threads();
    let open_sessions = AtomicUsize::new(0);
    let listen = || {
        for _ in 0..300_000 {
            let Some(number) = hub.reserve_number() else { continue };
            if number != REFUSED_SESSION {
                assert_eq!(open_sessions.fetch_add(1, Ordering::SeqCst), 0, "a second session is open");
                // Long enough for the other listener to admit a client too, if it has seen the capacity before.
                (0..SPINS_OF_A_SESSION).for_each(|_| std::hint::spin_loop());
                open_sessions.fetch_sub(1, Ordering::SeqCst);
            }
            hub.release_number(number);
        }
    };
    std::thread::scope(|scope| {
        scope.spawn(listen);
        scope.spawn(listen);
    });
}
