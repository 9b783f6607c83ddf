//! Tests of hosts on loopback that replicate the service rates of their shards to each other.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tackmast_emulators::http::{HttpClient, HttpEndpointList, HttpNode, ListMember, Received};
use tackmast_platform::Configuration;
use tackmast_platform_host::{Host, ProcessSignal, Status};

/// The first bytes of each datagram of the membership protocol.
const MEMBERSHIP_MAGIC: [u8; 2] = [0x74, 0x6d];
/// Ports of the hosts of one test, below the system's range of ephemeral ports.
const PEER_PORTS: [u16; 3] = [20_001, 20_002, 20_003];

/// Returns addresses for the datagrams of three hosts that nothing else on this machine binds. Hosts know each other's addresses before
/// any of them binds its own, and another test may bind a port that was free until then. Each call therefore uses a distinct address
/// in 127.0.0.0/8, made of the process id (at most 22 bits) and a counter.
fn peer_addresses() -> Vec<SocketAddr> {
    static CALLS: AtomicU32 = AtomicU32::new(0);
    let call = CALLS.fetch_add(1, Ordering::SeqCst);
    assert!(call < 4, "two bits count the calls");
    let own_bits = (std::process::id() << 2 | call) & 0x00ff_ffff;
    let address = Ipv4Addr::from_bits(Ipv4Addr::new(127, 0, 0, 0).to_bits() | own_bits);
    PEER_PORTS.iter().map(|port| SocketAddr::from((address, *port))).collect()
}

/// A host that runs in its own thread.
struct RunningHost {
    address: SocketAddr,
    shutdown_signal: UnixStream,
    thread: JoinHandle<Status>,
}

fn start(me: usize, peers: &[SocketAddr], list: &HttpEndpointList) -> RunningHost {
    start_with(me, peers, list, true)
}

/// Starts a host. `peers_allowed` is whether the platform allows datagrams between hosts.
fn start_with(me: usize, peers: &[SocketAddr], list: &HttpEndpointList, peers_allowed: bool) -> RunningHost {
    let all: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    let text = format!(
        r#"{{"name":"n{me}","listen":"127.0.0.1:0","discovery":"{}","seed":"7","known":{},
        "limits":{{"cores":1.0,"memory_mb":32,"sockets":256}},
        "peer_listen":"{}","peers":[{}],
        "settings":{{"balancers":{},"me":{me},"granularity":0.002,"areas":["a"],"registry_mode":"ask",
          "limits":{{"peers":{peers_allowed}}},
          "request_classes":[{{"name":"read","effect":"repeatable","target":0.3,"give_up":1.0}}],
          "grades":[{{"name":"gold"}}]}}}}"#,
        list.address(),
        list.to_json(),
        peers[me],
        all.join(","),
        peers.len()
    );
    let (shutdown_signal, shutdown_receiver) = UnixStream::pair().unwrap();
    let (address_sender, address_receiver) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || {
        let mut host = Host::start(&Configuration::parse(text.as_bytes()).unwrap()).unwrap();
        host.register_signal(ProcessSignal::Shutdown, shutdown_receiver).unwrap();
        address_sender.send(host.address().unwrap()).unwrap();
        host.run(|| Err("nothing to read again"));
        host.status()
    });
    RunningHost { address: address_receiver.recv().unwrap(), shutdown_signal, thread }
}

impl RunningHost {
    fn shut_down(mut self) -> Status {
        self.shutdown_signal.write_all(b"x").unwrap();
        self.thread.join().unwrap()
    }

    /// Sends a request with this number, which must succeed.
    fn call(&self, number: u32) {
        let mut client = HttpClient::connect(self.address).unwrap();
        client.send(
            format!(
                "GET /api/00000000000000aa/{number:016x} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {number:016x}\r\n\
                 X-Call-Class: read\r\nX-Storage-Class: gold\r\nX-Budget-Ms: 1000\r\n\
                 X-Extent: units=1,shard=0,hosts=1\r\n\r\n"
            )
            .as_bytes(),
        );
        match client.receive(Duration::from_secs(5)) {
            Received::Response(response) => assert_eq!(response.status, 200),
            other => panic!("{other:?}"),
        }
    }
}

/// A host restarts. Without the service rates of its shards it would send far too little to nodes in slow start, so it must restore them
/// from its peers. Its peers, which served nothing, must restore none, and a datagram of an unknown sender must change nothing.
#[test]
fn restarted_host_restores_its_service_rates_from_peers() {
    let node = HttpNode::start().unwrap();
    let list = HttpEndpointList::start().unwrap();
    let address = node.address();
    list.add_initial(ListMember { id: "s-0".into(), address, shard: 0, phase: "Ready", up_since_ms: 0 });
    let peers = peer_addresses();
    let (first, second, third) = (start(0, &peers, &list), start(1, &peers, &list), start(2, &peers, &list));
    (1..20).for_each(|number| first.call(number));
    assert_eq!(first.shut_down().restored_shards, 0, "there was no generation before");
    let restarted = start(0, &peers, &list);
    let since = Instant::now();
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    unknown_sender.send_to(b"tk\x03\x00\x01\x00\x05\x40\x00", peers[0]).unwrap();
    while since.elapsed() < Duration::from_millis(1500) {
        restarted.call(1000 + since.elapsed().as_millis() as u32);
        std::thread::sleep(Duration::from_millis(100));
    }
    let status = restarted.shut_down();
    assert_eq!(status.restored_shards, 1, "the shard that the first generation had called");
    assert!(status.rejected_datagrams >= 1, "the datagram of the unknown sender");
    assert_eq!(
        (second.shut_down().restored_shards, third.shut_down().restored_shards),
        (0, 0),
        "the peers had called no shard"
    );
}

/// The platform allows hosts to send a few small datagrams, or none. A host that sent more, or datagrams of the membership protocol, would
/// violate its rules.
#[test]
fn hosts_send_only_replication_datagrams_and_none_where_the_platform_forbids_them() {
    let list = HttpEndpointList::start().unwrap();
    let node = HttpNode::start().unwrap();
    let address = node.address();
    list.add_initial(ListMember { id: "s-0".into(), address, shard: 0, phase: "Ready", up_since_ms: 0 });
    // After its start a host fetches three times from two peers, and has no rates to replicate yet.
    for (peers_allowed, max_datagrams) in [(true, 6), (false, 0)] {
        let peers = peer_addresses();
        let others: Vec<UdpSocket> = peers[1..].iter().map(|peer| UdpSocket::bind(peer).unwrap()).collect();
        others.iter().for_each(|socket| socket.set_read_timeout(Some(Duration::from_millis(50))).unwrap());
        let host = start_with(0, &peers, &list, peers_allowed);
        let since = Instant::now();
        let mut datagrams = Vec::new();
        let mut buffer = [0; 2048];
        while since.elapsed() < Duration::from_millis(2500) {
            for socket in &others {
                while let Ok((len, _)) = socket.recv_from(&mut buffer) {
                    datagrams.push(buffer[..len].to_vec());
                }
            }
        }
        host.shut_down();
        assert!(datagrams.len() <= max_datagrams, "allowed {peers_allowed}: {}", datagrams.len());
        assert!(!peers_allowed || datagrams.len() >= 2, "the host fetches its rates where that is allowed");
        let is_membership = |datagram: &&Vec<u8>| datagram.starts_with(&MEMBERSHIP_MAGIC);
        assert_eq!(datagrams.iter().filter(is_membership).count(), 0, "allowed {peers_allowed}");
    }
}
