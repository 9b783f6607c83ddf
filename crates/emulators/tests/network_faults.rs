//! Paths that are cut, lossy, slow or reset, by pair and direction.

use std::collections::HashSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};
use tackmast_emulators::network_faults::{
    CallerKind, DatagramProxies, Endpoint, Network, NetworkFault, PathState, Proxy,
};
use tackmast_trace::{Event, Recorder};

/// How long an event may take at most.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

fn endpoints(all: &[Endpoint]) -> HashSet<Endpoint> {
    all.iter().copied().collect()
}

fn wait_until(what: &str, mut is_done: impl FnMut() -> bool) {
    let give_up_at = Instant::now() + TEST_TIMEOUT;
    while !is_done() {
        assert!(Instant::now() < give_up_at, "not within 10 s: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Several faults are injected on overlapping sets of paths, and some are cleared again. Each path shows what remains on it, by direction.
#[test]
fn path_combines_all_faults_on_it() {
    let network = Network::default();
    let (a, b, c) = (Endpoint::Host(1), Endpoint::Host(2), Endpoint::List);
    let cut = network.inject(endpoints(&[a]), endpoints(&[b, c]), NetworkFault::Cut);
    let lose = network.inject(endpoints(&[a, b]), endpoints(&[a, b]), NetworkFault::Loss(0.5));
    network.inject(endpoints(&[a]), endpoints(&[b]), NetworkFault::Loss(0.5));
    network.inject(endpoints(&[a]), endpoints(&[b]), NetworkFault::Delay(0.2));
    let lossy = |loss| PathState { loss, ..PathState::default() };
    assert_eq!(
        network.path(a, b),
        PathState { is_cut: true, loss: 0.75, max_delay_s: 0.2, ..PathState::default() }
    );
    assert_eq!(
        (network.path(b, a), network.path(a, c).is_cut, network.path(c, a)),
        (lossy(0.5), true, PathState::default())
    );
    network.clear(cut);
    network.clear(lose);
    assert_eq!(
        (network.path(a, b), network.path(b, a)),
        (PathState { loss: 0.5, max_delay_s: 0.2, ..PathState::default() }, PathState::default())
    );
}

/// Two hosts with proxies: their sockets, and the addresses at which each reaches the other.
fn pair(network: &Network) -> (DatagramProxies, [UdpSocket; 2], [SocketAddr; 2]) {
    let proxies = DatagramProxies::start(network.clone(), 7).unwrap();
    let bind = || UdpSocket::bind("127.0.0.1:0").unwrap();
    let sockets = [bind(), bind()];
    let addresses = [0, 1].map(|host| {
        let proxy_address = bind().local_addr().unwrap();
        proxies.add_host(host, proxy_address, sockets[host as usize].local_addr().unwrap()).unwrap();
        sockets[host as usize].set_read_timeout(Some(Duration::from_millis(150))).unwrap();
        proxy_address
    });
    (proxies, sockets, addresses)
}

fn received(socket: &UdpSocket) -> Vec<(u8, SocketAddr)> {
    let mut buffer = [0; 16];
    let mut all = Vec::new();
    while let Ok((_, from)) = socket.recv_from(&mut buffer) {
        all.push((buffer[0], from));
    }
    all
}

/// Two hosts send each other datagrams through their proxies, while the path is cut, duplicates, loses or delays them. A host that moves
/// is reached at its new proxy and no longer at the old one.
#[test]
fn datagrams_pass_with_the_faults_of_their_path() {
    let network = Network::default();
    let (proxies, [a, b], [at_a, at_b]) = pair(&network);
    a.send_to(&[1], at_b).unwrap();
    assert_eq!(received(&b), [(1, at_a)], "it comes from the proxy of its sender");
    let cut =
        network.inject(endpoints(&[Endpoint::Host(0)]), endpoints(&[Endpoint::Host(1)]), NetworkFault::Cut);
    a.send_to(&[2], at_b).unwrap();
    b.send_to(&[3], at_a).unwrap();
    assert_eq!((received(&b).len(), received(&a)), (0, vec![(3, at_b)]), "one direction alone");
    network.clear(cut);
    let double = network.inject(
        endpoints(&[Endpoint::Host(0)]),
        endpoints(&[Endpoint::Host(1)]),
        NetworkFault::Duplicate(1.0),
    );
    a.send_to(&[4], at_b).unwrap();
    assert_eq!(received(&b).len(), 2);
    network.clear(double);
    let lose = network.inject(
        endpoints(&[Endpoint::Host(0)]),
        endpoints(&[Endpoint::Host(1)]),
        NetworkFault::Loss(0.3),
    );
    (0..200).for_each(|i| _ = a.send_to(&[i], at_b));
    let count = received(&b).len();
    assert!((100..180).contains(&count), "{count} of 200");
    network.clear(lose);
    let late = network.inject(
        endpoints(&[Endpoint::Host(0)]),
        endpoints(&[Endpoint::Host(1)]),
        NetworkFault::Delay(0.1),
    );
    (0..50).for_each(|i| _ = a.send_to(&[i], at_b));
    let order: Vec<u8> = received(&b).into_iter().map(|(n, _)| n).collect();
    assert!(order.len() == 50 && !order.is_sorted(), "they overtake each other: {order:?}");
    network.clear(late);
    // A host that has moved is reached at its new proxy, and no longer at the old one.
    let (b2, at_b2) = (UdpSocket::bind("127.0.0.1:0").unwrap(), UdpSocket::bind("127.0.0.1:0").unwrap());
    b2.set_read_timeout(Some(Duration::from_millis(150))).unwrap();
    let moved_to = at_b2.local_addr().unwrap();
    drop(at_b2);
    proxies.add_host(1, moved_to, b2.local_addr().unwrap()).unwrap();
    a.send_to(&[9], moved_to).unwrap();
    a.send_to(&[8], at_b).unwrap();
    assert_eq!((received(&b2), received(&b).len()), (vec![(9, at_a)], 0));
    network.stop();
}

/// An echo server behind a proxy, and a client of it.
fn echo(network: &Network, recorder: &Recorder) -> (Proxy, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let (mut from, mut to) = (stream.try_clone().unwrap(), stream);
                _ = std::io::copy(&mut from, &mut to);
            });
        }
    });
    let proxy = Proxy::start(network, CallerKind::Clients, Some(Endpoint::Host(5)), recorder).unwrap();
    proxy.set_target(to);
    let client = TcpStream::connect(proxy.address).unwrap();
    client.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    (proxy, client)
}

fn echo_of(stream: &mut TcpStream, byte: u8) -> Result<u8, ErrorKind> {
    stream.write_all(&[byte]).map_err(|e| e.kind())?;
    let mut back = [0];
    match stream.read(&mut back) {
        Ok(0) => Err(ErrorKind::UnexpectedEof),
        Ok(_) => Ok(back[0]),
        Err(e) => Err(e.kind()),
    }
}

/// The path of an open connection is cut. It hangs without an error, and when the path is whole again it is reset if bytes were lost, and
/// continues otherwise. A connection opened meanwhile hangs too; a path that resets does so at each try.
#[test]
fn connection_over_cut_path_is_reset_if_bytes_were_lost() {
    let (network, recorder) = (Network::default(), Recorder::default());
    // Which direction is cut, and whether the client sends meanwhile.
    let (clients, host) = (endpoints(&[Endpoint::Clients]), endpoints(&[Endpoint::Host(5)]));
    for (name, from, to, sends) in [
        ("to the host, with a byte sent", &clients, &host, true),
        ("to the client, with a byte sent", &host, &clients, true),
        ("to the host, nothing sent", &clients, &host, false),
    ] {
        let (_proxy, mut client) = echo(&network, &recorder);
        assert_eq!(echo_of(&mut client, 1), Ok(1), "{name}");
        let cut = network.inject(from.clone(), to.clone(), NetworkFault::Cut);
        std::thread::sleep(Duration::from_millis(30));
        if sends {
            let echoed = echo_of(&mut client, 2);
            assert!(matches!(echoed, Err(ErrorKind::WouldBlock | ErrorKind::TimedOut)), "{name}: {echoed:?}");
        }
        network.clear(cut);
        if sends {
            wait_until(name, || {
                !matches!(echo_of(&mut client, 3), Err(ErrorKind::WouldBlock | ErrorKind::TimedOut))
            });
            assert!(echo_of(&mut client, 4).is_err(), "{name}: reset once the path was whole");
        } else {
            assert_eq!(echo_of(&mut client, 3), Ok(3), "{name}: nothing was lost");
        }
    }
    let lost = recorder.take().iter().filter(|l| matches!(l.event, Event::ConnectionLost { .. })).count();
    assert!(lost >= 2, "{lost} noted");
    // A connection that is opened while the path is cut hangs, and is reset.
    let (proxy, _) = echo(&network, &recorder);
    let cut = network.inject(clients.clone(), host.clone(), NetworkFault::Cut);
    let mut late = TcpStream::connect(proxy.address).unwrap();
    late.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    assert!(matches!(echo_of(&mut late, 1), Err(ErrorKind::WouldBlock | ErrorKind::TimedOut)));
    network.clear(cut);
    wait_until("reset", || {
        !matches!(echo_of(&mut late, 1), Err(ErrorKind::WouldBlock | ErrorKind::TimedOut))
    });
    // A path that resets does so at once, and at each further try.
    let (proxy, mut client) = echo(&network, &recorder);
    assert_eq!(echo_of(&mut client, 1), Ok(1));
    let resets = network.inject(clients, host, NetworkFault::Reset);
    wait_until("reset", || echo_of(&mut client, 1).is_err());
    let mut again = TcpStream::connect(proxy.address).unwrap();
    again.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
    assert!(
        matches!(echo_of(&mut again, 1), Err(e) if e != ErrorKind::WouldBlock && e != ErrorKind::TimedOut)
    );
    network.clear(resets);
    network.stop();
}
