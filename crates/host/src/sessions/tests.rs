//! Tests of sessions whose threads can't be started, and of the bound on sessions.

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

/// Fails to start a thread, as on a system that has none left.
fn spawn_nothing(name: String, _run: Box<dyn FnOnce() + Send>) -> Result<JoinHandle<()>, StartError> {
    Err(StartError::Thread { name, error: ErrorKind::WouldBlock.into() })
}

/// Returns a server that may have one session, on a system that has no thread left.
fn server_without_threads() -> Arc<SessionServer> {
    let settings = Arc::new(HostSettings::parse("test", SETTINGS).unwrap());
    let (events, _) = crossbeam_channel::unbounded();
    let mut server = SessionServer::new(settings, Arc::default(), Clock::start(), events);
    Arc::get_mut(&mut server).unwrap().spawn = spawn_nothing;
    server
}

/// Connects a client and has the server admit it.
fn admit_client(server: &Arc<SessionServer>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let _client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    server.clone().admit(stream, Protocol::Iscsi);
}

/// A host is at its bound of sessions, and more clients connect while no thread can be started to refuse them. Each must release its
/// count among the refusals: if all were leaked, later clients would be closed without a reason.
#[test]
fn refusal_whose_thread_does_not_start_is_not_counted() {
    let server = server_without_threads();
    assert_eq!(server.reserve_number(), Some(1), "the only session");
    for refused in 0..=MAX_REFUSALS {
        admit_client(&server);
        assert_eq!(*lock(&server.refusals), 0, "after {} clients", refused + 1);
    }
    assert_eq!(server.reserve_number(), Some(REFUSED_SESSION));
}

/// A host has no session, and no thread can be started for clients that connect. Each must release its number: if all were leaked, no
/// later client would be admitted.
#[test]
fn session_whose_thread_does_not_start_releases_its_number() {
    let server = server_without_threads();
    for _ in 0..3 {
        admit_client(&server);
        assert_eq!(lock(&server.numbers).len(), 0);
    }
    assert!(server.reserve_number().is_some_and(|number| number != REFUSED_SESSION));
}

/// The listeners of iSCSI and NBD admit clients at the same time while only one more session may be open. Only one of two clients may
/// get it. The test repeats this, because the race needs both listeners within the same microsecond.
#[test]
fn listeners_together_admit_no_more_sessions_than_the_bound() {
    const SPINS_PER_SESSION: u32 = 100;
    let server = server_without_threads();
    let open_sessions = AtomicUsize::new(0);
    let listen = || {
        for _ in 0..300_000 {
            let Some(number) = server.reserve_number() else { continue };
            if number != REFUSED_SESSION {
                assert_eq!(open_sessions.fetch_add(1, Ordering::SeqCst), 0, "a second session is open");
                // Keeps the session open long enough for the other listener to admit a client too, if it has checked the bound before.
                (0..SPINS_PER_SESSION).for_each(|_| std::hint::spin_loop());
                open_sessions.fetch_sub(1, Ordering::SeqCst);
            }
            server.release_number(number);
        }
    };
    std::thread::scope(|scope| {
        scope.spawn(listen);
        scope.spawn(listen);
    });
}
