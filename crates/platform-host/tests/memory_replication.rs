//! Hosts on loopback that keep for each other what they remember of shards: a host that ends and starts again has it back.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tackmast_emulators::http::{Heard, HttpClient, HttpList, HttpNode, ListLine};
use tackmast_platform::Configuration;
use tackmast_platform_host::{Host, ProcessSignal, Status};

/// Ports of the hosts of one test. Below the range from which the system picks ports by itself.
const PEER_PORTS: [u16; 3] = [20_001, 20_002, 20_003];

/// Addresses for the datagrams of three hosts that nothing else on this machine binds: hosts know each other's address before any of
/// them binds its own, and a port that was free a moment ago may be bound by another test by then. Each call has an address of its
/// own in 127.0.0.0/8, made of the process id (at most 22 bits) and a counter.
fn peer_addresses() -> Vec<SocketAddr> {
    static CALLS: AtomicU32 = AtomicU32::new(0);
    let call = CALLS.fetch_add(1, Ordering::SeqCst);
    assert!(call < 4, "two bits count the calls");
    let own_bits = (std::process::id() << 2 | call) & 0x00ff_ffff;
    let address = Ipv4Addr::from_bits(Ipv4Addr::new(127, 0, 0, 0).to_bits() | own_bits);
    PEER_PORTS.iter().map(|port| SocketAddr::from((address, *port))).collect()
}

struct Run {
    address: SocketAddr,
    term: UnixStream,
    host: JoinHandle<Status>,
}

fn start(me: usize, peers: &[SocketAddr], list: &HttpList) -> Run {
    start_where(me, peers, list, true)
}

/// `allowed`: the platform lets hosts send each other datagrams.
fn start_where(me: usize, peers: &[SocketAddr], list: &HttpList, allowed: bool) -> Run {
    let all: Vec<String> = peers.iter().map(|p| format!("\"{p}\"")).collect();
    let text = format!(
        r#"{{"name":"n{me}","listen":"127.0.0.1:0","discovery":"{}","seed":"7","known":{},
        "limits":{{"cores":1.0,"memory_mb":32,"sockets":256}},
        "peer_listen":"{}","peers":[{}],
        "settings":{{"balancers":{},"me":{me},"granularity":0.002,"areas":["a"],"registry_mode":"ask",
          "limits":{{"peers":{allowed}}},
          "request_classes":[{{"name":"read","effect":"repeatable","target":0.3,"give_up":1.0}}],
          "grades":[{{"name":"gold"}}]}}}}"#,
        list.address(),
        list.text(),
        peers[me],
        all.join(","),
        peers.len()
    );
    let (term, ends) = UnixStream::pair().unwrap();
    let (says, started) = std::sync::mpsc::channel();
    let host = std::thread::spawn(move || {
        let mut host = Host::start(&Configuration::parse(text.as_bytes()).unwrap()).unwrap();
        host.register_signal(ProcessSignal::Shutdown, ends).unwrap();
        says.send(host.address().unwrap()).unwrap();
        host.run(|| Err("nothing to read again"));
        host.status()
    });
    Run { address: started.recv().unwrap(), term, host }
}

impl Run {
    fn end(mut self) -> Status {
        self.term.write_all(b"x").unwrap();
        self.host.join().unwrap()
    }

    fn ask(&self, number: u32) {
        let mut client = HttpClient::connect(self.address).unwrap();
        client.say(
            format!(
                "GET /api/00000000000000aa/{number:016x} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {number:016x}\r\n\
                 X-Call-Class: read\r\nX-Storage-Class: gold\r\nX-Budget-Ms: 1000\r\n\
                 X-Extent: units=1,shard=0,hosts=1\r\n\r\n"
            )
            .as_bytes(),
        );
        match client.hear(Duration::from_secs(5)) {
            Heard::Answer(a) => assert_eq!(a.status, 200),
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn a_host_that_starts_again_has_back_what_it_remembered() {
    let node = HttpNode::start().unwrap();
    let list = HttpList::start().unwrap();
    let address = node.address();
    list.holds(ListLine { id: "s-0".into(), address, shard: 0, phase: "Ready", up_since_ms: 0 });
    let peers = peer_addresses();
    let (first, second, third) = (start(0, &peers, &list), start(1, &peers, &list), start(2, &peers, &list));
    (1..20).for_each(|n| first.ask(n));
    assert_eq!(first.end().restored_shards, 0, "there was no life before");
    let again = start(0, &peers, &list);
    let began = Instant::now();
    // Noise beside it changes nothing.
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    stranger.send_to(b"tk\x03\x00\x01\x00\x05\x40\x00", peers[0]).unwrap();
    while began.elapsed() < Duration::from_millis(1500) {
        again.ask(1000 + began.elapsed().as_millis() as u32);
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(again.end().restored_shards, 1, "the shard that it had asked");
    assert_eq!((second.end().restored_shards, third.end().restored_shards), (0, 0), "they had asked none");
}

#[test]
fn on_the_platform_no_datagram_leaves_but_what_hosts_leave_with_each_other_where_that_is_allowed() {
    let list = HttpList::start().unwrap();
    let node = HttpNode::start().unwrap();
    let address = node.address();
    list.holds(ListLine { id: "s-0".into(), address, shard: 0, phase: "Ready", up_since_ms: 0 });
    // A host asks two others three times at its start, and has nothing to leave yet; so many datagrams, and none where the
    // platform allows none. Views, votes and leases of hosts that know of each other begin with 0x746d: none of them leaves.
    for (allowed, most) in [(true, 6), (false, 0)] {
        let peers = peer_addresses();
        let others: Vec<UdpSocket> = peers[1..].iter().map(|peer| UdpSocket::bind(peer).unwrap()).collect();
        others.iter().for_each(|s| s.set_read_timeout(Some(Duration::from_millis(50))).unwrap());
        let run = start_where(0, &peers, &list, allowed);
        let began = Instant::now();
        let mut came = Vec::new();
        let mut room = [0; 2048];
        while began.elapsed() < Duration::from_millis(2500) {
            for s in &others {
                while let Ok((n, _)) = s.recv_from(&mut room) {
                    came.push(room[..n].to_vec());
                }
            }
        }
        run.end();
        assert!(came.len() <= most, "allowed {allowed}: {} datagrams", came.len());
        assert!(!allowed || came.len() >= 2, "it asks where it may");
        let of_members = came.iter().filter(|d| d.starts_with(&0x746du16.to_be_bytes())).count();
        assert_eq!(of_members, 0, "allowed {allowed}");
    }
}
